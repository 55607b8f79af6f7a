# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Attribution of instances' unplanned ends to the requests that cause them.

A request that ran at an instance when it ended need not be the cause. Many
others ran there too, and those that are retried may meet the cause again at
another instance. So each end is attributed to the request that was present
at the most ends, and to no other.
"""

import collections
import typing

import attrs

from crowdeck.quarantine import evidence
from crowdeck.quarantine import fingerprint

# Number of ends at which a request must have been present to be quarantined.
QUARANTINE_THRESHOLD = 3
# The same for requests that rank equally. One more end may tell them apart; if
# not, all of them are quarantined. One that is served meanwhile is cleared.
QUARANTINE_THRESHOLD_TIED = QUARANTINE_THRESHOLD + 1
# Ends within this time after a request was served are not held against it.
# That protects identical requests sent by many callers, which are present at
# every end. A request that crashes only a new release of the engines is found
# this much later.
SERVED_EXEMPTION_SECONDS = 30.0


Requests = frozenset[fingerprint.Fingerprint]


@attrs.frozen
class UnexplainedEnd:
    """One instance's end, with the requests that may have caused it.

    :ivar at: wall-clock time in seconds.
    :ivar unbegun: requests that had not produced an event.
    :ivar begun: requests that had just produced their first event.
    """

    at: float
    unbegun: Requests
    begun: Requests

    @property
    def suspects(self) -> Requests:
        """All requests that may have caused it."""
        return self.unbegun | self.begun


def without_served_suspects(
    ends: typing.Iterable[evidence.InstanceEnd],
    served_at: typing.Mapping[fingerprint.Fingerprint, float],
) -> list[UnexplainedEnd]:
    """Return the ends without the suspects that were served lately.

    The cause is never served. So ends before a request was served, or soon
    after, are not held against it.

    :param ends: one per instance, merged from all entries.
    :param served_at: wall-clock times at which suspects were last served.
    """
    never = float("-inf")

    def unserved(suspects: Requests, at: float) -> Requests:
        return frozenset(
            one
            for one in suspects
            if served_at.get(one, never) + SERVED_EXEMPTION_SECONDS < at
        )

    return [
        UnexplainedEnd(
            one.at,
            unserved(one.unbegun, one.at),
            unserved(one.begun, one.at),
        )
        for one in ends
    ]


def drop_unsettled(
    unexplained: list[UnexplainedEnd], before: float
) -> list[UnexplainedEnd]:
    """Drop suspects that had begun from ends that are too recent.

    :param before: wall-clock time; other entries may not have reported their
        suspects of later ends yet.
    """
    return [
        one if one.at <= before else attrs.evolve(one, begun=frozenset())
        for one in unexplained
    ]


def count_ends(
    unexplained: list[UnexplainedEnd],
) -> collections.Counter[fingerprint.Fingerprint]:
    """Return the number of ends at which each suspect was present."""
    return collections.Counter(
        one for end in unexplained for one in end.suspects
    )


def find_culprits(
    unexplained: list[UnexplainedEnd],
    threshold: int = QUARANTINE_THRESHOLD,
    threshold_tied: int = QUARANTINE_THRESHOLD_TIED,
) -> dict[fingerprint.Fingerprint, int]:
    """Return the requests to quarantine.

    :return: the number of ends attributed to each of them.
    """
    found: dict[fingerprint.Fingerprint, int] = {}
    remaining = unexplained
    while True:
        ranks = _rank(remaining)
        top_suspect = max(
            ranks, key=lambda one: (ranks[one], str(one)), default=None
        )
        if top_suspect is None or ranks[top_suspect][0] < threshold:
            return found
        tied = _tied(top_suspect, ranks, remaining)
        ends = ranks[top_suspect][0]
        if len(tied) == 1 or ends >= threshold_tied:
            found |= dict.fromkeys(tied, ends)
        # These ends are explained, so they count for no other request.
        remaining = [end for end in remaining if not end.suspects & tied]


def _tied(
    top_suspect: fingerprint.Fingerprint,
    ranks: dict[fingerprint.Fingerprint, tuple[int, int]],
    unexplained: list[UnexplainedEnd],
) -> Requests:
    """Return the suspects that share an end and the rank with a suspect.

    The result includes ``top_suspect``.
    """
    present = frozenset[fingerprint.Fingerprint]().union(
        *(end.suspects for end in unexplained if top_suspect in end.suspects)
    )
    return frozenset(
        one for one in present if ranks[one] == ranks[top_suspect]
    )


def _rank(
    unexplained: list[UnexplainedEnd],
) -> dict[fingerprint.Fingerprint, tuple[int, int]]:
    """Return, for each suspect, its ends and those before its first event.

    Both are counts. The cause ends its engine before its first event, while
    other requests mostly had one at some of the ends.
    """
    without = collections.Counter(
        one for end in unexplained for one in end.unbegun
    )
    return {
        one: (ends, without[one])
        for one, ends in count_ends(unexplained).items()
    }
