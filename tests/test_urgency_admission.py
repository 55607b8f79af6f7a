# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Decisions on less urgent streams while more urgent ones lack capacity."""

import typing

import anyio
import attrs
import pytest

from crowdeck.routing import fleet_load as fleet_loads
from crowdeck.routing import head_queue
from crowdeck.routing import retry_reserve
from crowdeck.routing import stream_admission
from crowdeck.routing import urgency_admission
from crowdeck.routing import urgency_pressure
from crowdeck import urgency as urgencies
from tests import virtual

SERVICE = "assistant"
OBJECTIVE_SECONDS = 0.5
RANKS = [urgencies.Urgency(rank, 3) for rank in range(3)]
MAX_HEADROOM = urgency_admission.MAX_HEADROOM_SHARE
MIN_HEADROOM = urgency_admission.MIN_HEADROOM_SHARE


@attrs.define(eq=False)
class Stream:
    urgency: urgencies.Urgency
    objective_seconds: float = OBJECTIVE_SECONDS
    first_event_at: float | None = None


class Fixture:
    """An admission, and what it reads of this and other entries."""

    def __init__(self) -> None:
        self.waiting: dict[tuple[str, int], int] = {}
        self.fleet_load: fleet_loads.FleetLoad = fleet_loads.UnknownFleetLoad()
        self.entry_count = 1
        self.admission = urgency_admission.UrgencyAdmission(
            lambda: self.waiting,
            lambda: self.fleet_load,
            lambda: self.entry_count,
        )

    def limits(self, rank: int) -> stream_admission.PathLimits:
        return self.admission.limits(SERVICE, RANKS[rank], OBJECTIVE_SECONDS)

    def is_bounded(self, rank: int) -> bool:
        return self.limits(rank).is_bounded

    def arrive(self, rank: int, room_share: float = 0.0) -> Stream:
        stream = Stream(RANKS[rank])
        self.admission.note_arrival(SERVICE, stream, room_share)
        return stream

    def tell(self, is_current: bool, waiting: dict[typing.Any, int]) -> None:
        others = fleet_loads.EntryLoad(entry_count=25, waiting=waiting)
        self.fleet_load = fleet_loads.UnknownFleetLoad(is_current, others)


def run(work: typing.Callable[[Fixture], typing.Awaitable[None]]) -> None:
    async def body() -> None:
        await work(Fixture())

    virtual.run(body)


class TestPressure:
    """When less urgent streams are bounded."""

    def test_a_refusal_bounds_less_urgent_ranks_for_seconds(self) -> None:
        async def work(fixture: Fixture) -> None:
            assert not fixture.is_bounded(2)
            fixture.admission.note_refused(SERVICE, RANKS[1])
            bounded = [fixture.is_bounded(rank) for rank in range(3)]
            assert bounded == [False, False, True]
            await anyio.sleep(urgency_pressure.PRESSURE_SECONDS)
            assert not fixture.is_bounded(2)
            alone = urgencies.Urgency()
            fixture.admission.note_refused(SERVICE, alone)
            limits = fixture.admission.limits(SERVICE, alone, 0.5)
            assert limits == stream_admission.PathLimits()

        run(work)

    def test_an_overdue_first_event_counts_at_once(self) -> None:
        async def work(fixture: Fixture) -> None:
            fixture.arrive(0).first_event_at = OBJECTIVE_SECONDS
            stream = fixture.arrive(0)
            await anyio.sleep(OBJECTIVE_SECONDS)
            assert not fixture.is_bounded(1)
            await anyio.sleep(0.01)
            assert fixture.is_bounded(1)
            fixture.admission.note_ended(SERVICE, stream)
            await anyio.sleep(urgency_pressure.PRESSURE_SECONDS + 0.01)
            assert not fixture.is_bounded(1)

        run(work)

    def test_waiting_here_and_elsewhere_counts(self) -> None:
        async def work(fixture: Fixture) -> None:
            fixture.waiting = {(SERVICE, 1): 1}
            assert fixture.is_bounded(2) and not fixture.is_bounded(1)
            fixture.tell(True, {(SERVICE, 0): 1})
            assert fixture.is_bounded(1) and not fixture.is_bounded(0)

        run(work)

    @pytest.mark.parametrize(
        ("is_current", "waiting"),
        [
            (False, {(SERVICE, 0): 9}),
            (True, {(SERVICE, 0): -9, (SERVICE, 7): 9, ("other", 0): 9}),
        ],
    )
    def test_outdated_and_impossible_loads_do_not_count(
        self, is_current: bool, waiting: dict[typing.Any, int]
    ) -> None:
        async def work(fixture: Fixture) -> None:
            fixture.tell(is_current, waiting)
            assert not fixture.is_bounded(2)

        run(work)


class TestBounds:
    """How far less urgent streams are bounded."""

    @pytest.mark.parametrize(
        ("entry_count", "room_share", "headroom"),
        [
            (0, 0.0, MIN_HEADROOM),
            # 12 in 3 s take 0.02 in the 0.5 s in which one can wait.
            (10, 0.01, 0.2),
            (20, 0.01, MAX_HEADROOM),
            (1, 1e9, MAX_HEADROOM),
        ],
    )
    def test_headroom_is_what_more_urgent_streams_need(
        self, entry_count: int, room_share: float, headroom: float
    ) -> None:
        async def work(fixture: Fixture) -> None:
            fixture.entry_count = entry_count
            fixture.admission.note_refused(SERVICE, RANKS[0])
            for _ in range(12):
                fixture.arrive(0, room_share)
            least = fixture.limits(2).max_cache_utilization
            assert least == pytest.approx(1.0 - headroom)
            for rank in (1, 2):
                fixture.arrive(rank)
                fixture.admission.note_begun(SERVICE, RANKS[rank])
            between = fixture.limits(1).max_cache_utilization
            assert least <= between <= 1.0 - MIN_HEADROOM / 2
            assert between >= 1.0 - MAX_HEADROOM / 2
            # The window moves on.
            await anyio.sleep(3.0)
            fixture.admission.note_refused(SERVICE, RANKS[0])
            assert fixture.limits(2).max_cache_utilization == 1.0

        run(work)

    def test_first_engines_serve_the_strictest_objective(self) -> None:
        async def work(fixture: Fixture) -> None:
            fixture.admission.note_refused(SERVICE, RANKS[0])
            fixture.arrive(0)
            limits = fixture.admission.limits(SERVICE, RANKS[2], 2.0)
            share = urgency_admission.TIMELY_SHARE
            most_seconds = share * OBJECTIVE_SECONDS
            assert limits.max_first_event_seconds == most_seconds
            assert not limits.accepts_late_head
            assert fixture.limits(0).accepts_late_head

        run(work)

    def test_a_fixed_part_of_each_rank_is_let_in(self) -> None:
        async def work(fixture: Fixture) -> None:
            let_in = 0
            for _ in range(100):
                fixture.admission.note_refused(SERVICE, RANKS[0])
                fixture.arrive(2)
                if not fixture.is_bounded(2):
                    let_in += 1
                    fixture.admission.note_begun(SERVICE, RANKS[2])
            assert let_in == 100 * urgency_admission.GUARANTEED_SHARE

        run(work)


class TestRetryReserve:
    """What a stream leaves of the retry budget."""

    def test_grows_with_the_rank_and_after_refusals(self) -> None:
        async def work(fixture: Fixture) -> None:
            # The first rank is one that hardly any stream has.
            for rank in (0, *20 * (1, 2)):
                fixture.arrive(rank)

            def reserved(rank: int, **changes: bool) -> float:
                urgency = RANKS[rank]
                position = fixture.admission.position(SERVICE, urgency)
                need = retry_reserve.RetryNeed(urgency, position, False, True)
                return attrs.evolve(need, **changes).reserved_share

            rank_share = retry_reserve.MAX_RANK_SHARE
            refused_share = retry_reserve.REFUSED_SHARE
            lost = [reserved(rank, was_refused=False) for rank in (1, 2)]
            assert lost == pytest.approx([0.0, rank_share])
            refused = [reserved(rank) for rank in (1, 2)]
            assert refused == [share + refused_share for share in lost]
            assert reserved(2, has_started=True) == 0.0

        run(work)


class TestHeadQueue:
    """Foretold times to a first event."""

    @pytest.mark.parametrize(
        ("each_seconds", "expected"), [(0.05, 2.05), (0.0, None)]
    )
    def test_follows_from_the_streams_ahead(
        self, each_seconds: float, expected: float | None
    ) -> None:
        queue = head_queue.HeadQueue()
        assert queue.expected_seconds(40) is None
        for number in range(60):
            ahead = number % 5
            queue.note_begun(number, ahead)
            queue.note_first_event(number, 0.05 + each_seconds * ahead)
        assert queue.expected_seconds(40) == pytest.approx(expected)
