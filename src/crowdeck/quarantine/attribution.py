# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Attribution of instances' unplanned ends to what causes them.

The cause is a whole request, or a part that the prompts of many requests have
in common. What ran at an instance when it ended need not be the cause: other
requests ran there too, and those that are retried may run beside the cause
again. So each end is attributed to the suspect that was present at the most
ends, or to all suspects that tie for that place.

Suspects that were in the same request at each of their ends cannot be told
apart. Only requests that have all of them are quarantined. One that has some
of them is sent: it is served, which clears these, or its end shows that the
others are not the cause.
"""

import collections
import typing

import attrs

from crowdeck.quarantine import evidence
from crowdeck.quarantine import fingerprint

# Number of ends at which a suspect must have been present to be quarantined.
# With two, a request that is merely unlucky twice would be refused: when
# several engines are lost one after the other, streams that move away from one
# meet the next. With three, the culprit takes one more engine for some
# seconds.
QUARANTINE_THRESHOLD = 3
# The same for suspects that rank equally. One more end may distinguish them;
# if not, all of them are quarantined, except those that are served meanwhile.
QUARANTINE_THRESHOLD_TIED = QUARANTINE_THRESHOLD + 1
# The same for suspects that were served shortly before the ends. Most of them
# are served again, but a new release of the engines may crash on one.
QUARANTINE_THRESHOLD_SERVED = 5
# The same if they rank equally. What all callers use is at most ends when many
# engines are lost for other reasons, and only one of it can be the cause.
QUARANTINE_THRESHOLD_SERVED_TIED = 2 * QUARANTINE_THRESHOLD_SERVED
# How long a suspect counts as served shortly before. Otherwise what many
# callers send, which is present at every end, would be quarantined.
SERVED_EXEMPTION_SECONDS = 30.0
# The evidence of the other entries arrives within this time after an end.
# Until then only requests without an event count as suspects of that end.
# Entries that judge earlier, each by its own evidence, blame requests that
# merely ran beside the culprit.
SETTLE_SECONDS = 0.5
# What was served shortly before is judged this long after an end, so that a
# request with it may begin elsewhere, last long enough to clear it, and be
# reported by another entry.
SERVED_SETTLE_SECONDS = 1.5

Fingerprints = fingerprint.Fingerprints
ServedTimes = typing.Mapping[fingerprint.Fingerprint, float]

_NEVER = float("-inf")


@attrs.frozen
class UnexplainedEnd:
    """One instance's end, with what may have caused it.

    :ivar unbegun: suspects in requests that had not produced an event.
    :ivar begun: suspects only in requests that had just produced their first.
    """

    end: evidence.InstanceEnd
    unbegun: Fingerprints
    begun: Fingerprints

    @property
    def suspects(self) -> Fingerprints:
        """All fingerprints that may have caused it."""
        return self.unbegun | self.begun

    def companions(self, suspect: fingerprint.Fingerprint) -> Fingerprints:
        """Return the suspects in the requests that have ``suspect``."""
        found = frozenset[fingerprint.Fingerprint]().union(
            *(
                content.fingerprints
                for content in self.end.requests
                if suspect in content.fingerprints
            )
        )
        return found & self.suspects


@attrs.frozen
class Culprit:
    """What is quarantined: requests that have all of its fingerprints.

    :ivar ends: the ends attributed to it, by time.
    """

    fingerprints: Fingerprints
    ends: tuple[evidence.InstanceEnd, ...]

    @property
    def last_end(self) -> evidence.InstanceEnd:
        """The last end that is attributed to it."""
        return self.ends[-1]

    @property
    def names_request(self) -> bool:
        """Whether it is one whole request, and not parts of prompts."""
        return any(
            content.request in self.fingerprints
            for content in self.last_end.requests
        )

    def matches(self, content: fingerprint.RequestContent) -> bool:
        """Whether a request is quarantined because of it."""
        return self.fingerprints <= content.fingerprints

    def others_at_all_ends(self) -> Fingerprints:
        """Return other fingerprints that were present at all of its ends."""
        present = [
            frozenset[fingerprint.Fingerprint]().union(
                *(content.fingerprints for content in end.requests)
            )
            for end in self.ends
        ]
        return frozenset.intersection(*present) - self.fingerprints


@attrs.frozen
class _Rank:
    """How likely one of the suspects at the most ends is the cause.

    :ivar unbegun_count: ends at which a request with it had no event. What
        crashes its engine has had none, most others have had one at some.
    :ivar request_count: different requests in which it was present. A part of
        many requests explains more than one request that was retried.
    """

    unbegun_count: int
    request_count: int

    @property
    def order(self) -> tuple[int, int]:
        """The greater, the more likely."""
        return (self.unbegun_count, self.request_count)


def without_served_suspects(
    ends: typing.Iterable[evidence.InstanceEnd],
    served_at: ServedTimes,
    exemption_seconds: float = SERVED_EXEMPTION_SECONDS,
) -> list[UnexplainedEnd]:
    """Return the ends without the suspects that were served.

    What crashes its engine is never served. So nothing is a suspect of ends
    before it was served, or within ``exemption_seconds`` after.

    :param ends: one per instance, merged from all entries.
    :param served_at: wall-clock times at which suspects last began to be
        served.
    """
    return [
        _without_served(
            UnexplainedEnd(
                end, _fingerprints_of(end.unbegun), _fingerprints_of(end.begun)
            ),
            served_at,
            exemption_seconds,
        )
        for end in ends
    ]


def _fingerprints_of(
    requests: frozenset[fingerprint.RequestContent],
) -> Fingerprints:
    return frozenset[fingerprint.Fingerprint]().union(
        *(request.fingerprints for request in requests)
    )


def _without_served(
    end: UnexplainedEnd, served_at: ServedTimes, exemption_seconds: float
) -> UnexplainedEnd:
    served = frozenset(
        suspect
        for suspect in end.suspects & served_at.keys()
        if served_at[suspect] + exemption_seconds >= end.end.at
    )
    unbegun = end.unbegun - served
    return UnexplainedEnd(end.end, unbegun, end.begun - served - unbegun)


def without_recent_begun_suspects(
    unexplained: list[UnexplainedEnd], before: float
) -> list[UnexplainedEnd]:
    """Return the ends, without the begun suspects of recent ends.

    :param before: wall-clock time; other entries may not have reported on
        later ends yet.
    """
    return [
        end if end.end.at <= before else attrs.evolve(end, begun=frozenset())
        for end in unexplained
    ]


def count_ends(
    unexplained: typing.Iterable[UnexplainedEnd],
) -> collections.Counter[fingerprint.Fingerprint]:
    """Return the number of ends at which each suspect was present."""
    return collections.Counter(
        suspect for end in unexplained for suspect in end.suspects
    )


def judge(
    unexplained: list[UnexplainedEnd],
    served_at: ServedTimes,
    now: float,
) -> list[Culprit]:
    """Return what to quarantine, by the evidence of all entries.

    :param unexplained: the ends, without suspects that were served since.
    :param now: wall-clock time.
    """
    unserved = [
        _without_served(end, served_at, SERVED_EXEMPTION_SECONDS)
        for end in unexplained
    ]
    culprits = find_culprits(
        without_recent_begun_suspects(unserved, now - SETTLE_SECONDS)
    )
    # One request may have caused its ends by a part that was served before, so
    # these ends are not explained yet.
    explained = {
        end.instance
        for culprit in culprits
        if not culprit.names_request
        for end in culprit.ends
    }
    remaining = [
        end
        for end in unexplained
        if end.end.instance not in explained
        and end.end.at <= now - SERVED_SETTLE_SECONDS
    ]
    return culprits + find_culprits(
        remaining,
        QUARANTINE_THRESHOLD_SERVED,
        QUARANTINE_THRESHOLD_SERVED_TIED,
    )


def find_culprits(
    unexplained: list[UnexplainedEnd],
    threshold: int = QUARANTINE_THRESHOLD,
    threshold_tied: int = QUARANTINE_THRESHOLD_TIED,
) -> list[Culprit]:
    """Return what to quarantine, with the ends attributed to each."""
    found: list[Culprit] = []
    remaining = unexplained
    while True:
        end_counts = count_ends(remaining)
        end_count = max(end_counts.values(), default=0)
        if end_count < threshold:
            return found
        leaders = frozenset(
            suspect
            for suspect, count in end_counts.items()
            if count == end_count
        )
        tied = _find_tied(leaders, remaining)
        culprits = _group(tied, remaining)
        if len(culprits) == 1 or end_count >= threshold_tied:
            found.extend(culprits)
        # These ends are explained, so they count for no other suspect.
        remaining = [end for end in remaining if not end.suspects & tied]


def _find_tied(
    leaders: Fingerprints, unexplained: list[UnexplainedEnd]
) -> Fingerprints:
    """Return the likeliest suspect, and those with which it ties.

    They have the same rank and were present at an end with it.

    :param leaders: suspects that were present at the most ends.
    """
    ranks = _rank(leaders, unexplained)
    likeliest = max(
        leaders, key=lambda suspect: (ranks[suspect].order, str(suspect))
    )
    present = frozenset[fingerprint.Fingerprint]().union(
        *(end.suspects for end in unexplained if likeliest in end.suspects)
    )
    return frozenset(
        suspect
        for suspect in present & leaders
        if ranks[suspect] == ranks[likeliest]
    )


def _group(
    tied: Fingerprints, unexplained: list[UnexplainedEnd]
) -> list[Culprit]:
    """Return a culprit for all tied suspects that cannot be told apart."""
    ends_by_group: dict[Fingerprints, tuple[evidence.InstanceEnd, ...]] = {}
    for suspect in sorted(tied, key=str):
        ends = [end for end in unexplained if suspect in end.suspects]
        group = frozenset.intersection(
            *(end.companions(suspect) for end in ends)
        )
        ends_by_group[group] = tuple(
            sorted((end.end for end in ends), key=lambda end: end.at)
        )
    return [Culprit(group, ends) for group, ends in ends_by_group.items()]


def _rank(
    leaders: Fingerprints, unexplained: list[UnexplainedEnd]
) -> dict[fingerprint.Fingerprint, _Rank]:
    """Return the rank of each suspect that was present at the most ends."""
    unbegun_counts = collections.Counter(
        suspect for end in unexplained for suspect in end.unbegun & leaders
    )
    requests: dict[fingerprint.Fingerprint, set[fingerprint.Fingerprint]] = {
        suspect: set() for suspect in leaders
    }
    for end in unexplained:
        for content in end.end.requests:
            for suspect in content.fingerprints & end.suspects & leaders:
                requests[suspect].add(content.request)
    return {
        suspect: _Rank(unbegun_counts[suspect], len(requests[suspect]))
        for suspect in leaders
    }
