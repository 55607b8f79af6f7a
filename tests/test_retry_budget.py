# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Tests of one entry's share of a service's retry budget."""

import contextlib

import anyio
import anyio.abc
import attrs
import hypothesis
from hypothesis import strategies
import pytest

from crowdeck.routing import budget as budgets
from crowdeck.standin import repeats
from tests import fleet_system
from tests import virtual

RATIO = 0.2
SLACK = 100.0
WINDOW_SECONDS = 10.0
BUCKET_SECONDS = WINDOW_SECONDS / budgets.WINDOW_BUCKETS


@attrs.define
class Members:
    """A :class:`budgets.Membership` that a test changes."""

    entry_count: int = 1
    registered_at: float = float("-inf")
    is_settled: bool = True
    is_outdated: bool = False
    all_know_since: float = float("-inf")


def _budget(
    slack: float = SLACK,
    started_at: float = float("-inf"),
    membership: budgets.Membership | None = None,
) -> budgets.SharedRetryBudget:
    return budgets.SharedRetryBudget(
        RATIO, slack, WINDOW_SECONDS, started_at, membership or Members()
    )


def _spend_all(budget: budgets.SharedRetryBudget) -> int:
    spent = 0
    while fleet_system.spend_retry(budget):
        spent += 1
    return spent


async def _earn_for(budget: budgets.SharedRetryBudget, seconds: float) -> None:
    """Count ten requests in each bucket for ``seconds``."""
    until = anyio.current_time() + seconds - BUCKET_SECONDS / 2
    while anyio.current_time() < until:
        for _ in range(10):
            budget.earn()
        await anyio.sleep(BUCKET_SECONDS)


class TestSlack:
    """An entry's part of the slack."""

    @pytest.mark.parametrize("entries, spent", [(1, 80), (5, 16), (70, 1)])
    def test_is_shared_among_known_entries(
        self, entries: int, spent: int
    ) -> None:
        async def body() -> None:
            budget = _budget(membership=Members(entries))
            assert _spend_all(budget) == spent

        virtual.run(body)

    def test_is_none_while_the_number_of_entries_is_unknown(self) -> None:
        async def body() -> None:
            members = Members(entry_count=0)
            budget = _budget(membership=members)
            assert not _spend_all(budget)
            members.entry_count = 2
            assert _spend_all(budget)

        virtual.run(body)

    def test_grows_from_when_others_count_this_entry(self) -> None:
        async def body() -> None:
            members = Members(entry_count=2, registered_at=float("inf"))
            budget = _budget(membership=members)
            await anyio.sleep(30.0)
            assert not _spend_all(budget)
            members.registered_at = anyio.current_time()
            assert not _spend_all(budget)
            await anyio.sleep(5.0)
            few = _spend_all(budget)
            assert 0 < few <= budgets.RESTART_SHARE * SLACK / 2

        virtual.run(body)

    def test_reckons_with_one_more_entry_while_outdated(self) -> None:
        async def body() -> None:
            members = Members(entry_count=4, is_outdated=True)
            assert _spend_all(_budget(membership=members)) == 16

        virtual.run(body)

    def test_is_small_until_all_others_count_this_entry(self) -> None:
        async def body() -> None:
            full_at = 12.0 + budgets.STEADY_AFTER_WINDOWS * WINDOW_SECONDS
            members = Members(entry_count=1, all_know_since=12.0)
            budget = _budget(membership=members)
            await anyio.sleep(full_at - 1.0)
            assert _spend_all(budget) <= budgets.RESTART_SHARE * SLACK + 0.001
            await anyio.sleep(1.0 + BUCKET_SECONDS)
            assert _spend_all(budget) > budgets.RESTART_SHARE * SLACK

        virtual.run(body)

    def test_of_a_new_process_is_small_while_old_retries_may_arrive(
        self,
    ) -> None:
        async def body() -> None:
            await anyio.sleep(30.0)
            budget = _budget(started_at=anyio.current_time())
            assert not _spend_all(budget)
            spent: list[int] = []
            full_at = 30.0 + budgets.STEADY_AFTER_WINDOWS * WINDOW_SECONDS
            while anyio.current_time() < full_at - 2 * BUCKET_SECONDS:
                await anyio.sleep(BUCKET_SECONDS)
                spent.append(_spend_all(budget))
            most = max(
                sum(spent[first : first + budgets.WINDOW_BUCKETS])
                for first in range(len(spent))
            )
            assert 0 < most <= budgets.RESTART_SHARE * SLACK + 0.001
            await anyio.sleep(3 * BUCKET_SECONDS)
            assert _spend_all(budget) > budgets.RESTART_SHARE * SLACK

        virtual.run(body)

    def test_of_a_new_process_is_small_for_one_and_a_half_windows(
        self,
    ) -> None:
        # Its predecessor may have ended with all of its share in flight.
        async def body() -> None:
            budget = _budget(started_at=anyio.current_time())
            await anyio.sleep(1.5 * WINDOW_SECONDS - BUCKET_SECONDS)
            assert _spend_all(budget) <= budgets.RESTART_SHARE * SLACK + 0.001

        virtual.run(body)

    def test_is_small_until_entries_started_together_are_counted(self) -> None:
        async def body() -> None:
            members = Members(entry_count=1, is_settled=False)
            budget = _budget(membership=members)
            assert _spend_all(budget) <= budgets.RESTART_SHARE * SLACK

        virtual.run(body)

    def test_shrinks_as_others_join(self) -> None:
        async def body() -> None:
            members = Members(entry_count=1)
            budget = _budget(membership=members)
            assert _spend_all(budget) == 80
            members.entry_count = 10
            await anyio.sleep(WINDOW_SECONDS + BUCKET_SECONDS)
            assert _spend_all(budget) == 8

        virtual.run(body)


class TestEarnedRetries:
    """A request earns retries only in the window after its own."""

    def test_earns_nothing_in_its_own_window(self) -> None:
        async def body() -> None:
            budget = _budget(slack=0.0)
            await _earn_for(budget, WINDOW_SECONDS)
            assert not _spend_all(budget)
            await _earn_for(budget, WINDOW_SECONDS + BUCKET_SECONDS)
            spent = _spend_all(budget)
            requests = 10 * (budgets.WINDOW_BUCKETS - 1)
            assert spent == int(budgets.STEADY_SHARE * RATIO * requests)

        virtual.run(body)

    def test_earns_nothing_after_the_next_window(self) -> None:
        async def body() -> None:
            budget = _budget(slack=0.0)
            await _earn_for(budget, 3 * WINDOW_SECONDS)
            await anyio.sleep(WINDOW_SECONDS)
            assert not _spend_all(budget)

        virtual.run(body)

    def test_earns_nothing_in_the_first_bucket_of_a_window(self) -> None:
        # The window may begin earlier in the same bucket.
        async def body() -> None:
            budget = _budget(slack=0.0)
            await anyio.sleep(BUCKET_SECONDS / 2)
            await _earn_for(budget, 3 * WINDOW_SECONDS)
            requests = 10 * (budgets.WINDOW_BUCKETS - 1)
            assert budget.remaining <= budgets.STEADY_SHARE * RATIO * requests

        virtual.run(body)

    def test_retries_in_the_first_bucket_of_a_window_count(self) -> None:
        async def body() -> None:
            budget = _budget()
            await anyio.sleep(BUCKET_SECONDS / 2)
            assert _spend_all(budget) == 80
            await anyio.sleep(WINDOW_SECONDS)
            assert not _spend_all(budget)
            await anyio.sleep(BUCKET_SECONDS)
            assert _spend_all(budget) == 80

        virtual.run(body)


class TestSendTracker:
    """A retry counts from its reservation until a window after arrival."""

    def test_a_retry_in_flight_counts_until_it_arrives(self) -> None:
        async def body() -> None:
            budget = _budget(slack=1.0 / budgets.STEADY_SHARE)
            tracker = budget.track_sends()
            assert tracker.reserve()
            tracker.note_sent()
            await anyio.sleep(5 * WINDOW_SECONDS)
            assert budget.remaining < 1.0
            tracker.note_arrived()
            await anyio.sleep(WINDOW_SECONDS - BUCKET_SECONDS)
            assert budget.remaining < 1.0
            await anyio.sleep(2 * BUCKET_SECONDS)
            assert budget.remaining >= 1.0

        virtual.run(body)

    def test_retries_in_flight_are_covered_by_later_windows(self) -> None:
        # They may arrive half a window from now, when the requests of the
        # first half of this window no longer earn.
        async def body() -> None:
            budget = _budget(slack=0.0)
            await _earn_for(budget, 3 * WINDOW_SECONDS)
            trackers = [budget.track_sends() for _ in range(200)]
            sent = sum(1 for tracker in trackers if tracker.reserve())
            requests = 10 * (budgets.WINDOW_BUCKETS - budgets.BUCKETS_AHEAD)
            most = budgets.STEADY_SHARE * RATIO * requests
            assert 0.9 * most <= sent <= most

        virtual.run(body)

    def test_an_abandoned_retry_counts_for_two_windows(self) -> None:
        async def body() -> None:
            budget = _budget(slack=1.0 / budgets.STEADY_SHARE)
            with contextlib.closing(budget.track_sends()) as tracker:
                assert tracker.reserve()
                tracker.note_sent()
                tracker.note_abandoned()
            for _ in range(2 * budgets.WINDOW_BUCKETS - 1):
                await anyio.sleep(BUCKET_SECONDS)
                assert budget.remaining < 1.0
            await anyio.sleep(2 * BUCKET_SECONDS)
            assert budget.remaining >= 1.0

        virtual.run(body)

    def test_abandoned_retries_add_to_arrived_ones(self) -> None:
        async def body() -> None:
            budget = _budget(slack=2.0 / budgets.STEADY_SHARE)
            with contextlib.closing(budget.track_sends()) as tracker:
                assert tracker.reserve()
                tracker.note_sent()
                tracker.note_abandoned()
            assert fleet_system.spend_retry(budget)
            await anyio.sleep(WINDOW_SECONDS / 2)
            assert budget.remaining < 1.0

        virtual.run(body)

    def test_a_retry_after_an_abandoned_send_counts_for_two_windows(
        self,
    ) -> None:
        # The first send may arrive after the second was answered.
        async def body() -> None:
            budget = _budget(slack=1.0 / budgets.STEADY_SHARE)
            with contextlib.closing(budget.track_sends()) as tracker:
                tracker.note_sent()
                tracker.note_abandoned()
                assert tracker.reserve()
                tracker.note_sent()
                tracker.note_arrived()
            await anyio.sleep(2 * WINDOW_SECONDS - BUCKET_SECONDS)
            assert budget.remaining < 1.0
            await anyio.sleep(2 * BUCKET_SECONDS)
            assert budget.remaining >= 1.0

        virtual.run(body)

    def test_closing_abandons_the_last_send(self) -> None:
        async def body() -> None:
            budget = _budget(slack=1.0 / budgets.STEADY_SHARE)
            with contextlib.closing(budget.track_sends()) as tracker:
                assert tracker.reserve()
                tracker.note_sent()
            await anyio.sleep(2 * WINDOW_SECONDS - BUCKET_SECONDS)
            assert budget.remaining < 1.0

        virtual.run(body)

    def test_closing_releases_an_unused_reservation(self) -> None:
        async def body() -> None:
            budget = _budget(slack=1.0 / budgets.STEADY_SHARE)
            with contextlib.closing(budget.track_sends()) as tracker:
                assert tracker.reserve()
                assert budget.remaining < 1.0
            assert budget.remaining >= 1.0

        virtual.run(body)

    def test_a_reservation_survives_failed_connections(self) -> None:
        async def body() -> None:
            budget = _budget(slack=2.0 / budgets.STEADY_SHARE)
            with contextlib.closing(budget.track_sends()) as tracker:
                for _ in range(3):
                    assert tracker.reserve()
                    tracker.note_sent()
                    tracker.note_send_failed()
                assert budget.remaining >= 1.0
                assert tracker.reserve()
                tracker.note_sent()
                tracker.note_arrived()
                assert tracker.reserve()
                assert budget.remaining < 1.0
            assert budget.remaining >= 1.0

        virtual.run(body)

    def test_the_first_send_is_no_retry(self) -> None:
        async def body() -> None:
            budget = _budget()
            before = budget.remaining
            with contextlib.closing(budget.track_sends()) as tracker:
                tracker.note_sent()
                tracker.note_arrived()
            with contextlib.closing(budget.track_sends()) as tracker:
                tracker.note_sent()
                tracker.note_abandoned()
            assert budget.remaining == before

        virtual.run(body)


@attrs.frozen
class Step:
    """One entry's actions, some time after the previous step.

    :ivar pause_seconds: time since the previous step.
    :ivar entry: number of the entry.
    :ivar arrival_delay_seconds: time until the retries of this step arrive.
    :ivar restarts_before: whether the entry restarts before these actions.
    """

    pause_seconds: float
    entry: int
    requests: int
    retries: int
    arrival_delay_seconds: float
    restarts_before: bool


steps = strategies.lists(
    strategies.builds(
        Step,
        pause_seconds=strategies.sampled_from((0.0, 0.1, 0.3, 1.0, 2.5)),
        entry=strategies.integers(0, 4),
        requests=strategies.sampled_from((0, 10, 100)),
        retries=strategies.sampled_from((0, 5, 300)),
        arrival_delay_seconds=strategies.sampled_from(
            (0.0, 0.0, 0.2, 1.0, 4.9)
        ),
        restarts_before=strategies.sampled_from((False, False, False, True)),
    ),
    min_size=20,
    max_size=60,
)


class Entries:
    """Entries that send a service all retries that their budgets allow."""

    def __init__(self, count: int) -> None:
        self._members = Members(count)
        self._budgets = [
            _budget(membership=self._members) for _ in range(count)
        ]
        self._number = 0
        self.counter = repeats.RepeatCounter()

    async def execute(self, step: Step, tasks: anyio.abc.TaskGroup) -> None:
        """Execute one step."""
        await anyio.sleep(step.pause_seconds)
        index = step.entry % len(self._budgets)
        if step.restarts_before:
            self._budgets[index] = _budget(
                started_at=anyio.current_time(), membership=self._members
            )
        budget = self._budgets[index]
        for _ in range(step.requests):
            budget.earn()
            self.counter.count_request(anyio.current_time())
        for _ in range(step.retries):
            tracker = budget.track_sends()
            if not tracker.reserve():
                break
            tracker.note_sent()
            tasks.start_soon(self._arrive, tracker, step.arrival_delay_seconds)

    async def _arrive(
        self, tracker: budgets.SendTracker, delay_seconds: float
    ) -> None:
        self._number += 1
        request = str(self._number)
        # The first arrival is the request itself, the second its retry.
        self.counter.count_arrival(request, anyio.current_time())
        await anyio.sleep(delay_seconds)
        self.counter.count_arrival(request, anyio.current_time())
        tracker.note_arrived()


class TestAllEntriesTogether:
    """The service receives no more retries than its budget allows."""

    @pytest.mark.parametrize("count", (1, 2, 5))
    @hypothesis.given(plan=steps)
    @hypothesis.settings(
        max_examples=60, deadline=None, derandomize=True, database=None
    )
    def test_no_window_exceeds_the_budget(
        self, count: int, plan: list[Step]
    ) -> None:
        async def body() -> repeats.RepeatWindow:
            entries = Entries(count)
            async with anyio.create_task_group() as tasks:
                for step in plan:
                    await entries.execute(step, tasks)
            allowance = repeats.Allowance(RATIO, SLACK, WINDOW_SECONDS)
            return entries.counter.peak(allowance)

        peak = virtual.run(body)
        assert not peak.is_over, peak


class TestRemainingShare:
    """The remaining share, checked before a stream is abandoned."""

    @pytest.mark.parametrize("slack", (1.0, 2.0, 2.5, 3.0, 4.0, 100.0))
    def test_is_zero_without_a_whole_retry(self, slack: float) -> None:
        # A stream abandoned for a retry that is not allowed would be lost.
        async def body() -> None:
            budget = _budget(slack)
            _spend_all(budget)
            assert budget.remaining < 1.0
            assert budget.remaining_share == 0.0

        virtual.run(body)

    def test_is_one_while_nothing_is_spent(self) -> None:
        async def body() -> None:
            assert _budget().remaining_share == 1.0

        virtual.run(body)
