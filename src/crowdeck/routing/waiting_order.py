# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0
"""Decides which of the requests that wait for a service is served next."""

import typing

import attrs

from crowdeck.routing import team_usage
from crowdeck.routing import usage as usages

# Grants to more urgent requests after which the next is for a less urgent
# rank that waits, so that no kind of request is never served.
MAX_PASSED_OVER = 3
# Share of the requests of a rank that do not leave room to more urgent ones
# at other entries, whatever those tell.
GUARANTEED_SHARE = 1.0 / (MAX_PASSED_OVER + 1)


@attrs.frozen
class Claim:
    """What decides when a request is served.

    :ivar rank: 0 for the most urgent.
    :ivar arrived: loop time of its arrival.
    :ivar late_at: loop time from which on its answer would begin late.
    :ivar must_yield: whether it leaves room to more urgent requests that
        wait at other entries.
    :ivar may_have_run: whether an engine may have run it. Its caller could
        not safely send it again, so it keeps its place.
    """

    rank: int
    team: str
    arrived: float
    late_at: float = float("inf")
    must_yield: bool = False
    may_have_run: bool = False


class WaitingOrder:
    """Order of the requests that wait for one service at one entry.

    The more urgent rank comes first; within a rank those that may have run,
    then those that can be served in time, then the team that has used least
    lately, then the request that arrived first. Times are loop times.

    :param teams: what each team has used.
    """

    def __init__(self, teams: team_usage.TeamUsage) -> None:
        self._teams = teams
        self._passed_over: dict[int, int] = {}
        self._asking: set[int] = set()
        self._owed_yields: dict[int, float] = {}

    def key(
        self, claim: Claim, now: float
    ) -> tuple[int, bool, bool, float, float]:
        """Return the sort key of a request, the next to be served first."""
        used = self._teams.used(claim.team, now)
        return (
            claim.rank,
            not claim.may_have_run,
            now >= claim.late_at,
            used,
            claim.arrived,
        )

    def overdue_rank(self, waiting_ranks: typing.Iterable[int]) -> int | None:
        """Return the rank that is served next though it is less urgent.

        ``None`` if the most urgent that waits is served next.
        """
        ranks = sorted(set(waiting_ranks))
        for rank in ranks[1:]:
            if self._passed_over.get(rank, 0) >= MAX_PASSED_OVER:
                return rank
        return None

    def count_ahead(
        self, claim: Claim, waiting: typing.Iterable[Claim], now: float
    ) -> int:
        """Return after how many of the waiting a request is served.

        :param waiting: all others that wait.
        """
        key = self.key(claim, now)
        more_urgent = 0
        same_rank = 0
        for other in waiting:
            if other.rank < claim.rank:
                more_urgent += 1
            elif other.rank == claim.rank and self.key(other, now) <= key:
                same_rank += 1
        # Each of its rank waits for a limited number of more urgent ones.
        passed_over = self._passed_over.get(claim.rank, 0)
        most = MAX_PASSED_OVER * (same_rank + 1) - passed_over
        return min(more_urgent, max(0, most)) + same_rank

    def note_asked(self, rank: int) -> None:
        """Record that a request of a rank was not served at once.

        It counts also if it does not wait, since a rank that is always passed
        over expects no turn in time.
        """
        self._asking.add(rank)

    def note_granted(self, granted_rank: int) -> None:
        """Record that a request of a rank goes to an engine."""
        self._passed_over[granted_rank] = 0
        self._asking.discard(granted_rank)
        for rank in self._asking:
            if rank > granted_rank:
                count = self._passed_over.get(rank, 0) + 1
                self._passed_over[rank] = min(count, MAX_PASSED_OVER)

    def must_yield(self, rank: int, waiting_elsewhere: float) -> bool:
        """Decide whether a new request leaves room to other entries.

        The share of a rank that does grows with what waits there, so that a
        single entry that cannot serve its requests does not hold back all
        others, and leaves the guaranteed share.

        :param waiting_elsewhere: see :func:`waiting_elsewhere`.
        """
        share = min(1.0 - GUARANTEED_SHARE, waiting_elsewhere)
        if share <= 0.0:
            return False
        owed = self._owed_yields.get(rank, 0.0) + share
        must_yield = owed >= 1.0
        self._owed_yields[rank] = owed - 1.0 if must_yield else owed
        return must_yield


def waiting_elsewhere(
    load: usages.FleetLoad, service: str, rank: int, max_waiting: int
) -> float:
    """Return how many more urgent requests wait at each other entry.

    That is their mean; 0 if the load of the others is not known.

    :param max_waiting: most requests that wait at one entry. No more are
        believed.
    """
    if not load.is_current:
        return 0.0
    others = load.others
    count = sum(
        max(0, waiting)
        for (other_service, other_rank), waiting in others.waiting.items()
        if other_service == service and other_rank < rank
    )
    return min(float(max_waiting), count / max(1, others.entry_count))
