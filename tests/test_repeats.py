# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Tests of the retry budget, with repeats counted at the service.

A repeat is a retry that arrived at the service. A service must not receive
more repeats in any window than its budget allows, also while entries restart,
join or lose the store, or instances are suspended.
"""

import anyio
import pytest

from crowdeck import route as routes
from tests import repeats_system

FAILURE_FREE_SECONDS = repeats_system.FAILURE_FREE_SECONDS
# Rate at which the slack is a small part of the budget.
HIGH_PER_SECOND = 240.0
# Rate at which the slack is most of the budget.
LOW_PER_SECOND = 18.0
KINDS = (routes.RepeatPolicy.IDEMPOTENT, routes.RepeatPolicy.STREAM)
ENTRY_COUNTS = (1, 5, 70)

kinds = pytest.mark.parametrize("kind", KINDS, ids=str)
entry_counts = pytest.mark.parametrize("count", ENTRY_COUNTS)


async def _spend_all(traffic: repeats_system.Traffic) -> None:
    """Spend the whole budget after a time without failures."""
    await traffic.send(FAILURE_FREE_SECONDS, fails=False)
    await traffic.send(3.0)


def _restart_all(traffic: repeats_system.Traffic, count: int) -> None:
    for number in range(count):
        traffic.entries.restart(number)


class TestRestartedEntries:
    """The repeats of an entry's successive processes count together."""

    @kinds
    @entry_counts
    def test_restart_together(
        self, count: int, kind: routes.RepeatPolicy
    ) -> None:
        async def body(traffic: repeats_system.Traffic) -> None:
            await _spend_all(traffic)
            _restart_all(traffic, count)
            await traffic.send(15.0)

        peak = repeats_system.simulate(body, count, kind).peak
        assert not peak.is_over, peak

    @entry_counts
    def test_restart_one_each_second(self, count: int) -> None:
        async def body(traffic: repeats_system.Traffic) -> None:
            await _spend_all(traffic)
            for number in range(10):
                traffic.entries.restart(number % count)
                await traffic.send(1.0)
            await traffic.send(5.0)

        peak = repeats_system.simulate(body, count).peak
        assert not peak.is_over, peak

    @entry_counts
    def test_restart_together_many_times(self, count: int) -> None:
        async def body(traffic: repeats_system.Traffic) -> None:
            await _spend_all(traffic)
            for _ in range(10):
                _restart_all(traffic, count)
                await traffic.send(1.0)
            await traffic.send(5.0)

        peak = repeats_system.simulate(body, count).peak
        assert not peak.is_over, peak


class TestUnknownNumberOfEntries:
    """An entry that does not know the number of entries has no share."""

    @kinds
    @pytest.mark.parametrize("count", (5, 70))
    def test_all_start_during_a_store_outage(
        self, count: int, kind: routes.RepeatPolicy
    ) -> None:
        async def body(traffic: repeats_system.Traffic) -> None:
            await traffic.send(FAILURE_FREE_SECONDS, fails=False)
            traffic.entries.store.is_down = True
            _restart_all(traffic, count)
            await traffic.send(15.0)
            traffic.entries.store.is_down = False
            await traffic.send(5.0)

        peak = repeats_system.simulate(body, count, kind).peak
        assert not peak.is_over, peak

    @pytest.mark.parametrize("count", (5, 70))
    def test_store_outage_before_all_have_registered(self, count: int) -> None:
        async def body(traffic: repeats_system.Traffic) -> None:
            await traffic.entries.wait_until_registered()
            traffic.entries.store.is_down = True
            await traffic.send(FAILURE_FREE_SECONDS, fails=False)
            await traffic.send(12.0)

        peak = repeats_system.simulate(body, count, are_registered=False).peak
        assert not peak.is_over, peak


class TestEntriesThatJoin:
    """A new entry waits until the others count it."""

    @pytest.mark.parametrize("count", (1, 5))
    def test_double_the_entries(self, count: int) -> None:
        async def body(traffic: repeats_system.Traffic) -> None:
            await _spend_all(traffic)
            for _ in range(count):
                traffic.entries.start()
            await traffic.send(25.0)

        peak = repeats_system.simulate(body, count).peak
        assert not peak.is_over, peak

    @pytest.mark.parametrize("count", (1, 5))
    def test_join_during_a_store_outage(self, count: int) -> None:
        # A new entry registers in the store before it takes a share.
        async def body(traffic: repeats_system.Traffic) -> None:
            await traffic.send(FAILURE_FREE_SECONDS, fails=False)
            traffic.entries.store.is_down = True
            for _ in range(count):
                traffic.entries.start()
            await traffic.send(25.0)

        peak = repeats_system.simulate(body, count).peak
        assert not peak.is_over, peak

    @pytest.mark.parametrize("count", (1, 5, 12))
    def test_while_those_there_are_cut_off(self, count: int) -> None:
        # Entries that are cut off from the store do not count the new one.
        async def body(traffic: repeats_system.Traffic) -> None:
            await traffic.send(FAILURE_FREE_SECONDS, fails=False)
            for number in range(count):
                traffic.entries.cut_off(number)
            for _ in range(max(1, count // 4)):
                traffic.entries.start()
            await traffic.send(30.0, LOW_PER_SECOND, fails=False)
            await traffic.send(12.0, LOW_PER_SECOND)

        peak = repeats_system.simulate(body, count).peak
        assert not peak.is_over, peak

    @pytest.mark.parametrize(
        "there, cut_off, joining",
        ((1, 1, 3), (2, 1, 1), (2, 2, 1), (3, 3, 3), (4, 3, 4)),
    )
    def test_while_some_are_cut_off(
        self, there: int, cut_off: int, joining: int
    ) -> None:
        """Guards against shares of entries that do not count one another."""

        async def body(traffic: repeats_system.Traffic) -> None:
            await traffic.send(FAILURE_FREE_SECONDS, fails=False)
            for number in range(cut_off):
                traffic.entries.cut_off(number)
            for _ in range(joining):
                traffic.entries.start()
            await traffic.send(30.0, LOW_PER_SECOND, fails=False)
            await traffic.send(12.0, LOW_PER_SECOND)

        peak = repeats_system.simulate(body, there).peak
        assert not peak.is_over, peak

    @pytest.mark.parametrize("per_second", (LOW_PER_SECOND, 60.0))
    @pytest.mark.parametrize("seconds_before", (0.0, 1.0, 15.0))
    def test_while_the_only_one_is_cut_off(
        self, seconds_before: float, per_second: float
    ) -> None:
        """Guards against a share that grows before the others have shrunk."""

        async def body(traffic: repeats_system.Traffic) -> None:
            await traffic.send(FAILURE_FREE_SECONDS, fails=False)
            traffic.entries.cut_off(0)
            traffic.entries.start()
            await traffic.send(seconds_before, per_second, fails=False)
            await traffic.send(45.0, per_second)

        peak = repeats_system.simulate(body, 1).peak
        assert not peak.is_over, peak


class TestMovingCallers:
    """Requests earn repeats once, whichever entries receive them."""

    @pytest.mark.parametrize("per_second", (60.0, HIGH_PER_SECOND))
    @pytest.mark.parametrize("count", (5, 70))
    def test_from_one_entry_to_all_others(
        self, count: int, per_second: float
    ) -> None:
        async def body(traffic: repeats_system.Traffic) -> None:
            others = range(1, count)
            await traffic.send(20.0, fails=False, among=[0])
            await traffic.send(10.0, per_second, fails=False, among=[0])
            await traffic.send(1.0, per_second, among=[0])
            await traffic.send(14.0, per_second, among=others)

        peak = repeats_system.simulate(body, count).peak
        assert not peak.is_over, peak


class TestSuspendedInstances:
    """A repeat counts until a window after it has arrived."""

    @pytest.mark.parametrize("count", (1, 5))
    def test_late_arrivals_count_with_new_repeats(self, count: int) -> None:
        async def body(traffic: repeats_system.Traffic) -> None:
            await traffic.send(FAILURE_FREE_SECONDS, fails=False)
            traffic.suspend()
            await traffic.send(8.0)
            traffic.resume()
            await traffic.send(12.0)

        peak = repeats_system.simulate(body, count).peak
        assert not peak.is_over, peak

    @pytest.mark.parametrize("count", (2, 5))
    def test_late_arrivals_count_after_callers_moved(self, count: int) -> None:
        async def body(traffic: repeats_system.Traffic) -> None:
            others = range(1, count)
            await traffic.send(
                FAILURE_FREE_SECONDS, HIGH_PER_SECOND, fails=False, among=[0]
            )
            traffic.suspend()
            await traffic.send(2.0, HIGH_PER_SECOND, among=[0])
            await traffic.send(6.0, HIGH_PER_SECOND, among=others)
            traffic.resume()
            await traffic.send(12.0, HIGH_PER_SECOND, among=others)

        peak = repeats_system.simulate(body, count).peak
        assert not peak.is_over, peak

    @pytest.mark.parametrize("count", (1, 5))
    def test_late_arrivals_count_after_restarts(self, count: int) -> None:
        async def body(traffic: repeats_system.Traffic) -> None:
            await traffic.send(FAILURE_FREE_SECONDS, fails=False)
            traffic.suspend()
            await traffic.send(3.0)
            _restart_all(traffic, count)
            await traffic.send(5.0)
            traffic.resume()
            await traffic.send(15.0)

        peak = repeats_system.simulate(body, count).peak
        assert not peak.is_over, peak


class TestUseOfTheBudget:
    """Repeats within the budget are sent."""

    @kinds
    @entry_counts
    def test_most_of_the_budget_is_used(
        self, count: int, kind: routes.RepeatPolicy
    ) -> None:
        async def body(traffic: repeats_system.Traffic) -> None:
            await traffic.send(FAILURE_FREE_SECONDS, fails=False)
            await traffic.send(12.0)

        peak = repeats_system.simulate(body, count, kind).peak
        assert 0.6 * peak.allowed <= peak.repeats <= peak.allowed, peak

    def test_a_restarted_entry_repeats_soon(self) -> None:
        async def body(traffic: repeats_system.Traffic) -> None:
            await traffic.send(FAILURE_FREE_SECONDS, fails=False)
            _restart_all(traffic, 5)
            await anyio.sleep(2.0)
            await traffic.send(3.0)

        traffic = repeats_system.simulate(body, 5)
        assert len(traffic.counter.repeats()) >= 5
