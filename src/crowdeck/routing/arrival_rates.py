# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0
"""Arrivals of streams by urgency in a sliding window."""

import collections

import anyio
import attrs

# Length of the sliding window.
WINDOW_SECONDS = 3.0
# Share of the arrivals below which a rank does not count among the others.
ACTIVE_SHARE = 0.05


@attrs.define
class _RankArrivals:
    """Arrivals of one rank.

    :ivar arrivals: loop time and share of the fleet's room of each.
    :ivar objective_seconds: latency objective of the newest.
    """

    arrivals: collections.deque[tuple[float, float]] = attrs.field(
        factory=collections.deque
    )
    objective_seconds: float = float("inf")


@attrs.frozen
class RankPosition:
    """Place of a rank among those of which streams arrive.

    A config may have ranks of which hardly any stream arrives, so that the
    number of a rank does not tell how many are more urgent.

    :ivar ahead: number of more urgent ranks.
    :ivar count: number of ranks, this one included.
    """

    ahead: int = 0
    count: int = 1


class ArrivalRates:
    """The room that arriving streams ask for, by service and rank."""

    def __init__(self) -> None:
        self._by_service: dict[str, dict[int, _RankArrivals]] = {}

    def add(
        self,
        service: str,
        rank: int,
        room_share: float,
        objective_seconds: float,
    ) -> None:
        """Count an arrival."""
        by_rank = self._by_service.setdefault(service, {})
        of_rank = by_rank.setdefault(rank, _RankArrivals())
        of_rank.arrivals.append((anyio.current_time(), room_share))
        of_rank.objective_seconds = objective_seconds
        _forget_old(of_rank)

    def room_to_begin(self, service: str, rank: int) -> float:
        """Return the share of the fleet's room for more urgent arrivals.

        Counts those that arrive within the objective of their first event,
        which is how long one that begins in time can wait for room.
        """
        return sum(
            sum(share for _, share in of_rank.arrivals)
            / WINDOW_SECONDS
            * of_rank.objective_seconds
            for of_rank in self._more_urgent(service, rank)
        )

    def position(self, service: str, rank: int) -> RankPosition:
        """Return the place of a rank among those that arrived lately."""
        by_rank = self._by_service.get(service, {})
        for of_rank in by_rank.values():
            _forget_old(of_rank)
        total = sum(len(of_rank.arrivals) for of_rank in by_rank.values())
        active = {
            other
            for other, of_rank in by_rank.items()
            if of_rank.arrivals
            and len(of_rank.arrivals) >= ACTIVE_SHARE * total
        }
        ahead = sum(1 for other in active if other < rank)
        return RankPosition(ahead, len(active | {rank}))

    def strictest_objective(self, service: str, rank: int) -> float:
        """Return the least objective of more urgent streams, in seconds.

        Infinite if none arrived in the window.
        """
        return min(
            (
                of_rank.objective_seconds
                for of_rank in self._more_urgent(service, rank)
            ),
            default=float("inf"),
        )

    def _more_urgent(self, service: str, rank: int) -> list[_RankArrivals]:
        found = []
        for other, of_rank in self._by_service.get(service, {}).items():
            _forget_old(of_rank)
            if other < rank and of_rank.arrivals:
                found.append(of_rank)
        return found


def _forget_old(of_rank: _RankArrivals) -> None:
    since = anyio.current_time() - WINDOW_SECONDS
    while of_rank.arrivals and of_rank.arrivals[0][0] <= since:
        of_rank.arrivals.popleft()
