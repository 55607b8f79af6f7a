# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0
"""Queue of requests of different urgency that wait for capacity."""

import collections
import contextlib
import typing

import anyio
import attrs

from crowdeck.observe import counters
from crowdeck.relay import live
from crowdeck.relay import waiting
from crowdeck.routing import team_usage
from crowdeck.routing import waiting_order

# Time between two attempts of one request to find a path. Planning on a full
# fleet is costly and would leave a small entry no time to serve requests.
POLL_SECONDS = 0.08
# Number of ranks with metrics of their own; further ones share the last.
MAX_METRIC_RANKS = 8


def count(event: str, rank: int) -> None:
    """Count an event of the waiting requests of a rank."""
    rank = min(rank, MAX_METRIC_RANKS - 1)
    counters.COUNTERS.add(f"relay.rank.{rank}.{event}")


@attrs.define(eq=False)
class Place:
    """The place of one request in a queue.

    :ivar until: loop time at which it stops waiting.
    :ivar next_try_at: earliest loop time at which it looks for a path.
    :ivar is_displaced: whether it lost its place to a more urgent request.
    :ivar is_called: whether it may look for a path before its turn.
    """

    claim: waiting_order.Claim
    until: float
    next_try_at: float
    is_displaced: bool = False
    is_called: bool = False
    _wakeup: anyio.Event = attrs.field(factory=anyio.Event)

    def wake(self) -> None:
        """Make it look whether it is its turn."""
        self._wakeup.set()

    async def rest(self, until: float) -> None:
        """Wait until it is woken or the time is over."""
        with anyio.move_on_at(until):
            await self._wakeup.wait()
        self._wakeup = anyio.Event()


class RankedQueue:
    """Queue of requests for one service, the most urgent first.

    Only the next to be served looks for a path, and one of a less urgent
    rank whose guaranteed share is due. The latter does not keep the former
    from looking, since its bounds on the path may be stricter.

    :param seconds_until_capacity: returns the time in which a number of
        requests get capacity, 0 if that is not known.
    :ivar poll_seconds: least time between two looks for a path.
    """

    def __init__(
        self, seconds_until_capacity: typing.Callable[[float], float]
    ) -> None:
        self._seconds_until_capacity = seconds_until_capacity
        self.poll_seconds = POLL_SECONDS
        self.teams = team_usage.TeamUsage()
        self.order = waiting_order.WaitingOrder(self.teams)
        self._places: list[Place] = []

    def __len__(self) -> int:
        """Return how many requests wait."""
        return len(self._places)

    def count_by_rank(self) -> collections.Counter[int]:
        """Return how many requests wait, by rank."""
        return collections.Counter(place.claim.rank for place in self._places)

    def make_claim(
        self,
        stream: live.LiveStream,
        late_at: float,
        waiting_elsewhere: float,
    ) -> waiting_order.Claim:
        """Return what decides when a request that asks now is served.

        One that may have run keeps its place and never yields.

        :param late_at: loop time from which on its answer would begin late.
        :param waiting_elsewhere: more urgent requests that wait at each other
            entry.
        """
        rank = stream.urgency.rank
        must_yield = not stream.may_have_run and self.order.must_yield(
            rank, waiting_elsewhere
        )
        if must_yield:
            count("yielded", rank)
        return waiting_order.Claim(
            rank,
            stream.team,
            stream.request.arrived,
            late_at,
            must_yield,
            stream.may_have_run,
        )

    def may_pass(self, claim: waiting_order.Claim) -> bool:
        """Whether a new request may look for a path without waiting.

        Not while a request of its rank or a more urgent one waits, nor while
        one of a less urgent rank is to be served next.
        """
        ranks = self._ranks_to_serve()
        return (
            not claim.must_yield
            and all(rank > claim.rank for rank in ranks)
            and self.order.overdue_rank([claim.rank, *ranks]) is None
        )

    def count_ahead(self, claim: waiting_order.Claim) -> int:
        """Return after how many of the waiting a request is served."""
        return self.order.count_ahead(
            claim,
            [
                place.claim
                for place in self._places
                if place.claim is not claim
                and not place.is_displaced
                and (claim.must_yield or not place.claim.must_yield)
            ],
            anyio.current_time(),
        )

    def can_serve(
        self,
        claim: waiting_order.Claim,
        until: float,
        waiting_elsewhere: float = 0.0,
    ) -> bool:
        """Whether a request may get capacity in time, as far as is known.

        :param waiting_elsewhere: more urgent requests that wait at each other
            entry. They count once there is no room here either, so that a
            wrong number alone refuses nobody.
        """
        if claim.must_yield and not self._ranks_to_serve():
            return True
        ahead: float = self.count_ahead(claim)
        if claim.must_yield:
            ahead += waiting_elsewhere
        expected_seconds = self._seconds_until_capacity(ahead)
        return anyio.current_time() + expected_seconds <= until

    def make_room(self, claim: waiting_order.Claim) -> bool:
        """Displace those that a new request leaves no capacity in time.

        Also displaces the last if the queue is full. Those that may have run
        keep their places.

        :returns: whether the new request may join.
        """
        now = anyio.current_time()
        while True:
            waiting_places = [
                place for place in self._places if not place.is_displaced
            ]
            is_full = len(waiting_places) >= waiting.MAX_WAITING
            last = max(
                (
                    place
                    for place in waiting_places
                    if not place.claim.may_have_run
                ),
                key=lambda place: self.order.key(place.claim, now),
                default=None,
            )
            if last is None:
                return not is_full
            if last.claim.rank <= claim.rank:
                if not is_full:
                    return True
                # A team that has used less may still take a place.
                if self.order.key(last.claim, now) <= self.order.key(
                    claim, now
                ):
                    return False
            elif not is_full and self._can_serve_after(last, claim):
                return True
            last.is_displaced = True
            last.wake()
            count("displaced", last.claim.rank)

    def _can_serve_after(
        self, place: Place, newcomer: waiting_order.Claim
    ) -> bool:
        """Whether one that waits is served in time after a newcomer."""
        now = anyio.current_time()
        others = [
            other.claim
            for other in self._places
            if other is not place and not other.is_displaced
        ]
        ahead = self.order.count_ahead(place.claim, [*others, newcomer], now)
        return now + self._seconds_until_capacity(ahead) <= place.until

    @contextlib.contextmanager
    def join(
        self, claim: waiting_order.Claim, until: float, next_try_at: float
    ) -> typing.Iterator[Place]:
        """Join the queue; leave it on exit.

        :param until: loop time at which it stops waiting.
        :param next_try_at: when it may look for a path for the first time.
        """
        place = Place(claim, until, next_try_at)
        self._places.append(place)
        counters.COUNTERS.add("relay.waited")
        count("waited", claim.rank)
        try:
            yield place
        finally:
            self._places.remove(place)
            self._wake_next()

    async def turn(
        self,
        place: Place,
        until: float,
        is_held: typing.Callable[[], bool],
    ) -> bool:
        """Wait until a request may look for a path.

        :param is_held: whether it leaves room to other entries now.
        :returns: false if the time is over or it was displaced.
        """
        while not place.is_displaced:
            now = anyio.current_time()
            if now >= until:
                return False
            if place.is_called:
                place.is_called = False
                return True
            # Nobody is refused for what other entries tell while there is
            # room here.
            if place.claim.must_yield and (
                now + POLL_SECONDS >= place.claim.late_at or not is_held()
            ):
                place.claim = attrs.evolve(place.claim, must_yield=False)
            is_next = place is self._next()
            if is_next and now >= place.next_try_at:
                place.next_try_at = now + POLL_SECONDS
                await self._call_overdue()
                if not place.is_displaced:
                    return True
                continue
            if is_next:
                until_try = place.next_try_at
            else:
                # The order changes with what teams use, also without a
                # request that joins or leaves.
                self._wake_next()
                until_try = until
                if place.claim.must_yield:
                    until_try = now + POLL_SECONDS
            await place.rest(min(until, until_try))
        return False

    def note_refused(self, rank: int) -> None:
        """Record that a request of a rank was refused."""
        count("refused", rank)

    def note_granted(
        self, request: typing.Hashable, claim: waiting_order.Claim
    ) -> None:
        """Record that a request goes to an engine."""
        self.order.note_granted(claim.rank)
        self.teams.note_granted(request, claim.team, anyio.current_time())

    def _places_to_serve(self) -> list[Place]:
        """Return those that wait and leave no room to other entries."""
        return [
            place
            for place in self._places
            if not place.claim.must_yield and not place.is_displaced
        ]

    def _ranks_to_serve(self) -> list[int]:
        return [place.claim.rank for place in self._places_to_serve()]

    def _next(self, rank: int | None = None) -> Place | None:
        """Return the next to be served, of all or of one rank."""
        now = anyio.current_time()
        return min(
            (
                place
                for place in self._places_to_serve()
                if rank is None or place.claim.rank == rank
            ),
            key=lambda place: self.order.key(place.claim, now),
            default=None,
        )

    def _wake_next(self) -> None:
        next_place = self._next()
        if next_place is not None:
            next_place.wake()

    async def _call_overdue(self) -> None:
        """Let one whose share is due look for a path now."""
        rank = self.order.overdue_rank(self._ranks_to_serve())
        overdue = None if rank is None else self._next(rank)
        if overdue is not None:
            overdue.is_called = True
            overdue.wake()
            # It runs before this task goes on.
            await anyio.sleep(0.0)
