# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Repeats, counted at the service that gets them.

What was seen: a service got more arrivals beyond the first of each request
than the retry budget allows in ten seconds.
"""

import anyio
import pytest

from crowdeck import route as routes
from tests import repeats_system

CALM = repeats_system.CALM_SECONDS
# Requests a second of which the slack is a small part.
BUSY = 240.0
# Requests a second that earn little, so that the slack decides.
FEW = 18.0
KINDS = (routes.RepeatPolicy.IDEMPOTENT, routes.RepeatPolicy.STREAM)
COUNTS = (1, 5, 70)

kinds = pytest.mark.parametrize("kind", KINDS, ids=str)
counts = pytest.mark.parametrize("count", COUNTS)


async def _spend_all(demand: repeats_system.Demand) -> None:
    """Have all that may be repeated be repeated, after a calm time."""
    await demand.ask(CALM, fails=False)
    await demand.ask(3.0)


def _restart_all(demand: repeats_system.Demand, count: int) -> None:
    for number in range(count):
        demand.entries.stop(number)


class TestEntriesThatEnd:
    """All that the processes of an entry send counts together."""

    @kinds
    @counts
    def test_all_at_once(self, count: int, kind: routes.RepeatPolicy) -> None:
        async def body(demand: repeats_system.Demand) -> None:
            await _spend_all(demand)
            _restart_all(demand, count)
            await demand.ask(15.0)

        peak = repeats_system.play(body, count, kind).peak
        assert not peak.is_over, peak

    @counts
    def test_one_a_second(self, count: int) -> None:
        async def body(demand: repeats_system.Demand) -> None:
            await _spend_all(demand)
            for number in range(10):
                demand.entries.stop(number % count)
                await demand.ask(1.0)
            await demand.ask(5.0)

        peak = repeats_system.play(body, count).peak
        assert not peak.is_over, peak

    @counts
    def test_all_again_and_again(self, count: int) -> None:
        async def body(demand: repeats_system.Demand) -> None:
            await _spend_all(demand)
            for _ in range(10):
                _restart_all(demand, count)
                await demand.ask(1.0)
            await demand.ask(5.0)

        peak = repeats_system.play(body, count).peak
        assert not peak.is_over, peak


class TestEntriesThatKnowNoOther:
    """An entry that does not know how many there are takes no share."""

    @kinds
    @pytest.mark.parametrize("count", (5, 70))
    def test_all_start_while_the_store_is_silent(
        self, count: int, kind: routes.RepeatPolicy
    ) -> None:
        async def body(demand: repeats_system.Demand) -> None:
            await demand.ask(CALM, fails=False)
            demand.entries.store.is_down = True
            _restart_all(demand, count)
            await demand.ask(15.0)
            demand.entries.store.is_down = False
            await demand.ask(5.0)

        peak = repeats_system.play(body, count, kind).peak
        assert not peak.is_over, peak

    @pytest.mark.parametrize("count", (5, 70))
    def test_all_list_before_the_others_have_told_of_themselves(
        self, count: int
    ) -> None:
        async def body(demand: repeats_system.Demand) -> None:
            await demand.entries.wait_until_registered()
            demand.entries.store.is_down = True
            await demand.ask(CALM, fails=False)
            await demand.ask(12.0)

        peak = repeats_system.play(body, count, are_registered=False).peak
        assert not peak.is_over, peak


class TestEntriesThatJoin:
    """A new entry waits until the others leave it a part."""

    @pytest.mark.parametrize("count", (1, 5))
    def test_as_many_as_there_are(self, count: int) -> None:
        async def body(demand: repeats_system.Demand) -> None:
            await _spend_all(demand)
            for _ in range(count):
                demand.entries.start()
            await demand.ask(25.0)

        peak = repeats_system.play(body, count).peak
        assert not peak.is_over, peak

    @pytest.mark.parametrize("count", (1, 5))
    def test_while_the_others_are_cut_off_from_the_store(
        self, count: int
    ) -> None:
        # The new one writes that it is there before it takes a part, so a
        # store that answers nobody leaves it none.
        async def body(demand: repeats_system.Demand) -> None:
            await demand.ask(CALM, fails=False)
            demand.entries.store.is_down = True
            for _ in range(count):
                demand.entries.start()
            await demand.ask(25.0)

        peak = repeats_system.play(body, count).peak
        assert not peak.is_over, peak

    @pytest.mark.parametrize("count", (1, 5, 12))
    def test_while_those_there_are_cut_off(self, count: int) -> None:
        # Who is cut off from the store believes in too few, while a new one
        # takes its part.
        async def body(demand: repeats_system.Demand) -> None:
            await demand.ask(CALM, fails=False)
            for number in range(count):
                demand.entries.cut_off(number)
            for _ in range(max(1, count // 4)):
                demand.entries.start()
            await demand.ask(30.0, FEW, fails=False)
            await demand.ask(12.0, FEW)

        peak = repeats_system.play(body, count).peak
        assert not peak.is_over, peak


class TestCallersThatMove:
    """Requests earn repeats once, whichever entries get them."""

    @pytest.mark.parametrize("per_second", (60.0, BUSY))
    @pytest.mark.parametrize("count", (5, 70))
    def test_from_one_entry_to_all_others(
        self, count: int, per_second: float
    ) -> None:
        async def body(demand: repeats_system.Demand) -> None:
            others = range(1, count)
            await demand.ask(20.0, fails=False, among=[0])
            await demand.ask(10.0, per_second, fails=False, among=[0])
            await demand.ask(1.0, per_second, among=[0])
            await demand.ask(14.0, per_second, among=others)

        peak = repeats_system.play(body, count).peak
        assert not peak.is_over, peak


class TestInstancesThatFreeze:
    """A repeat counts until it is known to have arrived."""

    @pytest.mark.parametrize("count", (1, 5))
    def test_what_it_reads_late_counts_with_what_is_sent_then(
        self, count: int
    ) -> None:
        async def body(demand: repeats_system.Demand) -> None:
            await demand.ask(CALM, fails=False)
            demand.freeze()
            await demand.ask(8.0)
            demand.thaw()
            await demand.ask(12.0)

        peak = repeats_system.play(body, count).peak
        assert not peak.is_over, peak

    @pytest.mark.parametrize("count", (2, 5))
    def test_what_it_reads_late_counts_though_callers_moved(
        self, count: int
    ) -> None:
        async def body(demand: repeats_system.Demand) -> None:
            others = range(1, count)
            await demand.ask(CALM, BUSY, fails=False, among=[0])
            demand.freeze()
            await demand.ask(2.0, BUSY, among=[0])
            await demand.ask(6.0, BUSY, among=others)
            demand.thaw()
            await demand.ask(12.0, BUSY, among=others)

        peak = repeats_system.play(body, count).peak
        assert not peak.is_over, peak

    @pytest.mark.parametrize("count", (1, 5))
    def test_what_it_reads_late_counts_though_entries_ended(
        self, count: int
    ) -> None:
        async def body(demand: repeats_system.Demand) -> None:
            await demand.ask(CALM, fails=False)
            demand.freeze()
            await demand.ask(3.0)
            _restart_all(demand, count)
            await demand.ask(5.0)
            demand.thaw()
            await demand.ask(15.0)

        peak = repeats_system.play(body, count).peak
        assert not peak.is_over, peak


class TestCallersAreServed:
    """What may be repeated still is."""

    @kinds
    @counts
    def test_most_of_the_budget_is_used(
        self, count: int, kind: routes.RepeatPolicy
    ) -> None:
        async def body(demand: repeats_system.Demand) -> None:
            await demand.ask(CALM, fails=False)
            await demand.ask(12.0)

        peak = repeats_system.play(body, count, kind).peak
        assert 0.6 * peak.allowed <= peak.repeats <= peak.allowed, peak

    def test_an_entry_that_starts_repeats_at_once(self) -> None:
        async def body(demand: repeats_system.Demand) -> None:
            await demand.ask(CALM, fails=False)
            _restart_all(demand, 5)
            await anyio.sleep(2.0)
            await demand.ask(3.0)

        demand = repeats_system.play(body, 5)
        assert len(demand.account.repeats()) >= 5
