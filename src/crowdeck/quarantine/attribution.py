# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Attribution of instances' unplanned ends to the requests that cause them.

A request that ran at an instance when it ended need not be the cause. Many
others ran there too, and those that are retried may run beside the cause
again at another instance. So each end is attributed to the request that was
present at the most ends, or to all requests that tie for that place.
"""

import collections
import typing

import attrs

from crowdeck.quarantine import evidence
from crowdeck.quarantine import fingerprint

# Number of ends at which a request must have been present to be quarantined.
# With two, a request that is merely unlucky twice would be refused: when
# several engines are lost one after the other, streams that move away from one
# meet the next. With three, the culprit takes one more engine for some
# seconds.
QUARANTINE_THRESHOLD = 3
# The same for requests that rank equally. One more end may distinguish them;
# if not, all of them are quarantined, except those that are served meanwhile.
QUARANTINE_THRESHOLD_TIED = QUARANTINE_THRESHOLD + 1
# A request that was served is not a suspect of earlier ends, nor of ends
# within this time after. Otherwise identical requests of many callers, which
# are present at every end, would be quarantined. With a longer time, a request
# that a new release of the engines cannot run would crash them for longer.
SERVED_EXEMPTION_SECONDS = 30.0


Fingerprints = frozenset[fingerprint.Fingerprint]


@attrs.frozen
class UnexplainedEnd:
    """One instance's end, with the requests that may have caused it.

    :ivar at: wall-clock time in seconds.
    :ivar unbegun: requests that had not produced an event.
    :ivar begun: requests that had just produced their first event.
    """

    at: float
    unbegun: Fingerprints
    begun: Fingerprints

    @property
    def suspects(self) -> Fingerprints:
        """All requests that may have caused it."""
        return self.unbegun | self.begun


def without_served_suspects(
    ends: typing.Iterable[evidence.InstanceEnd],
    served_at: typing.Mapping[fingerprint.Fingerprint, float],
) -> list[UnexplainedEnd]:
    """Return the ends without the suspects that were served recently.

    A request that crashes its engine is never served. So a request is not a
    suspect of ends before it was served, or within
    ``SERVED_EXEMPTION_SECONDS`` after.

    :param ends: one per instance, merged from all entries.
    :param served_at: wall-clock times at which suspects were last served.
    """
    never = float("-inf")

    def unserved(suspects: Fingerprints, at: float) -> Fingerprints:
        return frozenset(
            request
            for request in suspects
            if served_at.get(request, never) + SERVED_EXEMPTION_SECONDS < at
        )

    return [
        UnexplainedEnd(
            end.at,
            unserved(end.unbegun, end.at),
            unserved(end.begun, end.at),
        )
        for end in ends
    ]


def without_recent_begun_suspects(
    unexplained: list[UnexplainedEnd], before: float
) -> list[UnexplainedEnd]:
    """Return the ends, without the begun suspects of recent ends.

    :param before: wall-clock time; other entries may not have reported on
        later ends yet.
    """
    return [
        end if end.at <= before else attrs.evolve(end, begun=frozenset())
        for end in unexplained
    ]


def count_ends(
    unexplained: list[UnexplainedEnd],
) -> collections.Counter[fingerprint.Fingerprint]:
    """Return the number of ends at which each suspect was present."""
    return collections.Counter(
        suspect for end in unexplained for suspect in end.suspects
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
            ranks,
            key=lambda suspect: (ranks[suspect], str(suspect)),
            default=None,
        )
        if top_suspect is None or ranks[top_suspect][0] < threshold:
            return found
        tied = _find_tied(top_suspect, ranks, remaining)
        end_count = ranks[top_suspect][0]
        if len(tied) == 1 or end_count >= threshold_tied:
            found |= dict.fromkeys(tied, end_count)
        # These ends are explained, so they count for no other request.
        remaining = [end for end in remaining if not end.suspects & tied]


def _find_tied(
    top_suspect: fingerprint.Fingerprint,
    ranks: dict[fingerprint.Fingerprint, tuple[int, int]],
    unexplained: list[UnexplainedEnd],
) -> Fingerprints:
    """Return the suspects with which a suspect ties, itself included.

    They have the rank of ``top_suspect`` and were present at an end with it.
    """
    present = frozenset[fingerprint.Fingerprint]().union(
        *(end.suspects for end in unexplained if top_suspect in end.suspects)
    )
    return frozenset(
        suspect for suspect in present if ranks[suspect] == ranks[top_suspect]
    )


def _rank(
    unexplained: list[UnexplainedEnd],
) -> dict[fingerprint.Fingerprint, tuple[int, int]]:
    """Return each suspect's rank.

    It is the number of ends at which it was present, and of those before its
    first event. A request that crashes its engine has had no event, while
    most other requests have had one at some of the ends.
    """
    unbegun_ends = collections.Counter(
        suspect for end in unexplained for suspect in end.unbegun
    )
    return {
        suspect: (end_count, unbegun_ends[suspect])
        for suspect, end_count in count_ends(unexplained).items()
    }
