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

# Ends at which a request is quarantined. Two may be a coincidence: a stream
# that is moved from an instance that ended may meet the next one.
ENDS_TO_BLAME = 3
# Requests that were present at the same ends cannot be told apart. One more
# end decides, unless the innocent one is served first.
ENDS_TO_BLAME_TIED = ENDS_TO_BLAME + 1
# Ends within this time after a request was served are not held against it.
# That protects requests that many callers send alike, which are present at
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
    threshold: int = ENDS_TO_BLAME,
    threshold_tied: int = ENDS_TO_BLAME_TIED,
) -> dict[fingerprint.Fingerprint, int]:
    """Return the requests to quarantine.

    :return: the number of ends attributed to each of them.
    """
    found: dict[fingerprint.Fingerprint, int] = {}
    left = unexplained
    while True:
        ranks = _rank(left)
        first = max(
            ranks, key=lambda one: (ranks[one], str(one)), default=None
        )
        if first is None or ranks[first][0] < threshold:
            return found
        tied = _tied(first, ranks, left)
        ends = ranks[first][0]
        if len(tied) == 1 or ends >= threshold_tied:
            found |= dict.fromkeys(tied, ends)
        # These ends are explained, so no other request is blamed for them.
        left = [end for end in left if not end.suspects & tied]


def _tied(
    first: fingerprint.Fingerprint,
    ranks: dict[fingerprint.Fingerprint, tuple[int, int]],
    unexplained: list[UnexplainedEnd],
) -> Requests:
    """Return the suspects that share an end and the rank with ``first``.

    The result includes ``first``.
    """
    present = frozenset[fingerprint.Fingerprint]().union(
        *(end.suspects for end in unexplained if first in end.suspects)
    )
    return frozenset(one for one in present if ranks[one] == ranks[first])


def _rank(
    unexplained: list[UnexplainedEnd],
) -> dict[fingerprint.Fingerprint, tuple[int, int]]:
    """Return for each suspect its ends, and how many of them had no event.

    The cause ends its engine before its first event, while an innocent
    request mostly had one at some of the ends.
    """
    without = collections.Counter(
        one for end in unexplained for one in end.unbegun
    )
    return {
        one: (ends, without[one])
        for one, ends in count_ends(unexplained).items()
    }
