# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Which requests end the instances that begin them: the decision alone.

A request that ran at an instance when it ended need not be the cause; tens
of others ran there too, and those that go on elsewhere meet the cause again
when it comes. So each end is put down to the request that was at most ends
in all, and no other of its requests is blamed for it.
"""

import collections
import typing

import attrs

from crowdeck.quarantine import evidence
from crowdeck.quarantine import fingerprint

# Instances that a request may end. With two, one that is merely unlucky
# twice is refused: when six of 39 engines are lost one after the other,
# streams that move away from one meet the next. With three the cause takes
# one more engine, for seconds.
ENDS_ALLOWED = 3
# Two that were at the same ends cannot be told apart by them: the one that
# merely ran beside is served at its next attempt, or the cause ends one more
# engine alone. So a tie is judged an end later.
ENDS_ALLOWED_TIED = ENDS_ALLOWED + 1
# Ends this long after a request was last served whole say nothing against
# it. One that many callers send alike is at every engine that ends, and not
# served while the cause comes: in 8 s with faults it was put in quarantine,
# and 68 of 212 requests were served. Longer, a request that a new release of
# the engines cannot run would end them for longer.
SERVED_SECONDS = 30.0


Requests = frozenset[fingerprint.Fingerprint]


@attrs.frozen
class Case:
    """One instance's end, and who may have brought it about.

    :ivar at: time of day.
    :ivar unbegun: requests that had brought no event.
    :ivar begun: requests whose first event had just come.
    """

    at: float
    unbegun: Requests
    begun: Requests

    @property
    def suspects(self) -> Requests:
        """All of them."""
        return self.unbegun | self.begun


def open_cases(
    ends: typing.Iterable[evidence.InstanceEnd],
    served_at: typing.Mapping[fingerprint.Fingerprint, float],
) -> list[Case]:
    """Return the ends less the suspects that were served whole lately.

    The cause never is, so an end before says nothing against those, nor
    one soon after.

    :param ends: one for each instance, of all entries together.
    :param served_at: when a suspect was last served, in the time of day.
    """
    never = float("-inf")

    def unserved(suspects: Requests, at: float) -> Requests:
        return frozenset(
            one
            for one in suspects
            if served_at.get(one, never) + SERVED_SECONDS < at
        )

    return [
        Case(
            one.at,
            unserved(one.unbegun, one.at),
            unserved(one.begun, one.at),
        )
        for one in ends
    ]


def settle(cases: list[Case], before: float) -> list[Case]:
    """Leave out what had begun at ends that are not known in full yet.

    :param before: later ends may have suspects that nobody told of yet.
    """
    return [
        one if one.at <= before else attrs.evolve(one, begun=frozenset())
        for one in cases
    ]


def count(cases: list[Case]) -> collections.Counter[fingerprint.Fingerprint]:
    """Return at how many ends each suspect was."""
    return collections.Counter(one for case in cases for one in case.suspects)


def culprits(
    cases: list[Case],
    allowed: int = ENDS_ALLOWED,
    allowed_tied: int = ENDS_ALLOWED_TIED,
) -> dict[fingerprint.Fingerprint, int]:
    """Return the requests that are to be sent on no more.

    :return: each culprit, and how many ends it is blamed for.
    """
    found: dict[fingerprint.Fingerprint, int] = {}
    left = cases
    while True:
        ranks = _rank(left)
        first = max(
            ranks, key=lambda one: (ranks[one], str(one)), default=None
        )
        if first is None or ranks[first][0] < allowed:
            return found
        tied = _tied(first, ranks, left)
        ends = ranks[first][0]
        if len(tied) == 1 or ends >= allowed_tied:
            found |= dict.fromkeys(tied, ends)
        # Whoever of them it was, nobody else is blamed for these ends.
        left = [case for case in left if not case.suspects & tied]


def _tied(
    first: fingerprint.Fingerprint,
    ranks: dict[fingerprint.Fingerprint, tuple[int, int]],
    cases: list[Case],
) -> Requests:
    """Return who cannot be told from a suspect, itself included."""
    beside = frozenset[fingerprint.Fingerprint]().union(
        *(case.suspects for case in cases if first in case.suspects)
    )
    return frozenset(one for one in beside if ranks[one] == ranks[first])


def _rank(
    cases: list[Case],
) -> dict[fingerprint.Fingerprint, tuple[int, int]]:
    """Return for each suspect its ends, and those without an event.

    The cause ends its engine before its first event; one that ran beside
    it has mostly had some at one end or another.
    """
    without = collections.Counter(
        one for case in cases for one in case.unbegun
    )
    return {one: (ends, without[one]) for one, ends in count(cases).items()}
