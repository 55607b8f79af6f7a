# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""One entry's share of a service's retry budget, without a network."""

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
WINDOW = 10.0
PART = WINDOW / budgets.WINDOW_PARTS


@attrs.define
class Members:
    """A membership that a test changes."""

    entries: int = 1
    since: float = float("-inf")
    is_settled: bool = True


def _budget(
    slack: float = SLACK,
    began: float = float("-inf"),
    membership: budgets.Membership | None = None,
) -> budgets.SharedRetryBudget:
    return budgets.SharedRetryBudget(
        RATIO, slack, WINDOW, began, membership or Members()
    )


def _spend_all(budget: budgets.SharedRetryBudget) -> int:
    spent = 0
    while fleet_system.spend_retry(budget):
        spent += 1
    return spent


async def _earn_for(budget: budgets.SharedRetryBudget, seconds: float) -> None:
    """Have ten requests come in each part of a window for some time."""
    until = anyio.current_time() + seconds - PART / 2
    while anyio.current_time() < until:
        for _ in range(10):
            budget.earn()
        await anyio.sleep(PART)


class TestSlack:
    """The part of the slack that an entry takes."""

    @pytest.mark.parametrize("entries, spent", [(1, 80), (5, 16), (70, 1)])
    def test_is_shared_among_those_known(
        self, entries: int, spent: int
    ) -> None:
        async def body() -> None:
            budget = _budget(membership=Members(entries))
            assert _spend_all(budget) == spent

        virtual.run(body)

    def test_is_none_while_it_is_not_known_how_many_there_are(self) -> None:
        async def body() -> None:
            members = Members(entries=0)
            budget = _budget(membership=members)
            assert not _spend_all(budget)
            members.entries = 2
            assert _spend_all(budget)

        virtual.run(body)

    def test_grows_from_when_the_others_know_of_this_entry(self) -> None:
        async def body() -> None:
            members = Members(entries=2, since=float("inf"))
            budget = _budget(membership=members)
            await anyio.sleep(30.0)
            assert not _spend_all(budget)
            members.since = anyio.current_time()
            assert not _spend_all(budget)
            await anyio.sleep(5.0)
            few = _spend_all(budget)
            assert 0 < few <= budgets.RESTART_SHARE * SLACK / 2

        virtual.run(body)

    def test_of_a_new_process_is_small_until_what_was_under_way_is_over(
        self,
    ) -> None:
        async def body() -> None:
            await anyio.sleep(30.0)
            budget = _budget(began=anyio.current_time())
            assert not _spend_all(budget)
            spent: list[int] = []
            full_at = 30.0 + budgets.RESTART_WINDOWS * WINDOW
            while anyio.current_time() < full_at - 2 * PART:
                await anyio.sleep(PART)
                spent.append(_spend_all(budget))
            most = max(
                sum(spent[first : first + budgets.WINDOW_PARTS])
                for first in range(len(spent))
            )
            assert 0 < most <= budgets.RESTART_SHARE * SLACK + 0.001
            await anyio.sleep(3 * PART)
            assert _spend_all(budget) > budgets.RESTART_SHARE * SLACK

        virtual.run(body)

    def test_of_a_new_process_is_small_half_a_window_after_the_first(
        self,
    ) -> None:
        # The one before it may have ended with all of its part under way.
        async def body() -> None:
            budget = _budget(began=anyio.current_time())
            await anyio.sleep(1.5 * WINDOW - PART)
            assert _spend_all(budget) <= budgets.RESTART_SHARE * SLACK + 0.001

        virtual.run(body)

    def test_is_small_until_those_are_counted_that_started_alike(self) -> None:
        async def body() -> None:
            members = Members(entries=1, is_settled=False)
            budget = _budget(membership=members)
            assert _spend_all(budget) <= budgets.RESTART_SHARE * SLACK

        virtual.run(body)

    def test_shrinks_with_what_was_spent_as_others_join(self) -> None:
        async def body() -> None:
            members = Members(entries=1)
            budget = _budget(membership=members)
            assert _spend_all(budget) == 80
            members.entries = 10
            await anyio.sleep(WINDOW + PART)
            assert _spend_all(budget) == 8

        virtual.run(body)


class TestRequestsThatEarn:
    """A request earns in the window before, and in no other."""

    def test_earns_nothing_in_its_own_window(self) -> None:
        async def body() -> None:
            budget = _budget(slack=0.0)
            await _earn_for(budget, WINDOW)
            assert not _spend_all(budget)
            await _earn_for(budget, WINDOW + PART)
            spent = _spend_all(budget)
            requests = 10 * (budgets.WINDOW_PARTS - 1)
            assert spent == int(budgets.STEADY_SHARE * RATIO * requests)

        virtual.run(body)

    def test_earns_in_no_window_that_begins_later_than_the_next(self) -> None:
        async def body() -> None:
            budget = _budget(slack=0.0)
            await _earn_for(budget, 3 * WINDOW)
            await anyio.sleep(WINDOW)
            assert not _spend_all(budget)

        virtual.run(body)

    def test_what_falls_into_the_part_of_the_edge_earns_nothing(self) -> None:
        # The window may begin before it in the same part.
        async def body() -> None:
            budget = _budget(slack=0.0)
            await anyio.sleep(PART / 2)
            await _earn_for(budget, 3 * WINDOW)
            requests = 10 * (budgets.WINDOW_PARTS - 1)
            assert budget.remaining <= budgets.STEADY_SHARE * RATIO * requests

        virtual.run(body)

    def test_repeats_of_the_part_of_the_edge_count(self) -> None:
        async def body() -> None:
            budget = _budget()
            await anyio.sleep(PART / 2)
            assert _spend_all(budget) == 80
            await anyio.sleep(WINDOW)
            assert not _spend_all(budget)
            await anyio.sleep(PART)
            assert _spend_all(budget) == 80

        virtual.run(body)


class TestSends:
    """A repeat counts from its reservation until a window after it came."""

    def test_one_under_way_counts_however_long_that_takes(self) -> None:
        async def body() -> None:
            budget = _budget(slack=1.0 / budgets.STEADY_SHARE)
            sends = budget.track_sends()
            assert sends.reserve()
            sends.send()
            await anyio.sleep(5 * WINDOW)
            assert budget.remaining < 1.0
            sends.arrive()
            await anyio.sleep(WINDOW - PART)
            assert budget.remaining < 1.0
            await anyio.sleep(2 * PART)
            assert budget.remaining >= 1.0

        virtual.run(body)

    def test_those_under_way_keep_to_what_earns_later(self) -> None:
        # They may arrive half a window from now, when what was asked in the
        # first half of this window earns no more.
        async def body() -> None:
            budget = _budget(slack=0.0)
            await _earn_for(budget, 3 * WINDOW)
            accounts = [budget.track_sends() for _ in range(200)]
            sent = sum(1 for one in accounts if one.reserve())
            requests = 10 * (budgets.WINDOW_PARTS - budgets.PARTS_AHEAD)
            most = budgets.STEADY_SHARE * RATIO * requests
            assert 0.9 * most <= sent <= most

        virtual.run(body)

    def test_one_given_up_counts_for_two_windows(self) -> None:
        async def body() -> None:
            budget = _budget(slack=1.0 / budgets.STEADY_SHARE)
            with contextlib.closing(budget.track_sends()) as sends:
                assert sends.reserve()
                sends.send()
                sends.give_up()
            for _ in range(2 * budgets.WINDOW_PARTS - 1):
                await anyio.sleep(PART)
                assert budget.remaining < 1.0
            await anyio.sleep(2 * PART)
            assert budget.remaining >= 1.0

        virtual.run(body)

    def test_those_given_up_count_with_those_that_arrived(self) -> None:
        async def body() -> None:
            budget = _budget(slack=2.0 / budgets.STEADY_SHARE)
            with contextlib.closing(budget.track_sends()) as sends:
                assert sends.reserve()
                sends.send()
                sends.give_up()
            assert fleet_system.spend_retry(budget)
            await anyio.sleep(WINDOW / 2)
            assert budget.remaining < 1.0

        virtual.run(body)

    def test_one_after_one_given_up_counts_for_two_windows(self) -> None:
        # The first may be read after the second was answered.
        async def body() -> None:
            budget = _budget(slack=1.0 / budgets.STEADY_SHARE)
            with contextlib.closing(budget.track_sends()) as sends:
                sends.send()
                sends.give_up()
                assert sends.reserve()
                sends.send()
                sends.arrive()
            await anyio.sleep(2 * WINDOW - PART)
            assert budget.remaining < 1.0
            await anyio.sleep(2 * PART)
            assert budget.remaining >= 1.0

        virtual.run(body)

    def test_one_whose_caller_leaves_counts_as_given_up(self) -> None:
        async def body() -> None:
            budget = _budget(slack=1.0 / budgets.STEADY_SHARE)
            with contextlib.closing(budget.track_sends()) as sends:
                assert sends.reserve()
                sends.send()
            await anyio.sleep(2 * WINDOW - PART)
            assert budget.remaining < 1.0

        virtual.run(body)

    def test_one_that_is_not_sent_is_given_back(self) -> None:
        async def body() -> None:
            budget = _budget(slack=1.0 / budgets.STEADY_SHARE)
            with contextlib.closing(budget.track_sends()) as sends:
                assert sends.reserve()
                assert budget.remaining < 1.0
            assert budget.remaining >= 1.0

        virtual.run(body)

    def test_one_that_was_not_connected_serves_once_more(self) -> None:
        async def body() -> None:
            budget = _budget(slack=2.0 / budgets.STEADY_SHARE)
            with contextlib.closing(budget.track_sends()) as sends:
                for _ in range(3):
                    assert sends.reserve()
                    sends.send()
                    sends.fail_to_send()
                assert budget.remaining >= 1.0
                assert sends.reserve()
                sends.send()
                sends.arrive()
                assert sends.reserve()
                assert budget.remaining < 1.0
            assert budget.remaining >= 1.0

        virtual.run(body)

    def test_the_first_is_no_repeat(self) -> None:
        async def body() -> None:
            budget = _budget()
            before = budget.remaining
            with contextlib.closing(budget.track_sends()) as sends:
                sends.send()
                sends.arrive()
            with contextlib.closing(budget.track_sends()) as sends:
                sends.send()
                sends.give_up()
            assert budget.remaining == before

        virtual.run(body)


@attrs.frozen
class Step:
    """What one entry does, some time after the step before.

    :ivar late: seconds until the repeats of this step arrive.
    """

    pause: float
    entry: int
    requests: int
    repeats: int
    late: float
    ends_before: bool


steps = strategies.lists(
    strategies.builds(
        Step,
        pause=strategies.sampled_from((0.0, 0.1, 0.3, 1.0, 2.5)),
        entry=strategies.integers(0, 4),
        requests=strategies.sampled_from((0, 10, 100)),
        repeats=strategies.sampled_from((0, 5, 300)),
        late=strategies.sampled_from((0.0, 0.0, 0.2, 1.0, 4.9)),
        ends_before=strategies.sampled_from((False, False, False, True)),
    ),
    min_size=20,
    max_size=60,
)


class Service:
    """Entries that send one service what their budgets allow."""

    def __init__(self, count: int) -> None:
        self._members = Members(count)
        self._budgets = [
            _budget(membership=self._members) for _ in range(count)
        ]
        self._number = 0
        self.account = repeats.RepeatAccount()

    async def take(self, step: Step, tasks: anyio.abc.TaskGroup) -> None:
        """Take one step."""
        await anyio.sleep(step.pause)
        at = step.entry % len(self._budgets)
        if step.ends_before:
            self._budgets[at] = _budget(
                began=anyio.current_time(), membership=self._members
            )
        budget = self._budgets[at]
        for _ in range(step.requests):
            budget.earn()
            self.account.note_request(anyio.current_time())
        for _ in range(step.repeats):
            sends = budget.track_sends()
            if not sends.reserve():
                break
            sends.send()
            tasks.start_soon(self._arrive, sends, step.late)

    async def _arrive(self, sends: budgets.SendTracker, late: float) -> None:
        self._number += 1
        request = str(self._number)
        self.account.note_arrival(request, anyio.current_time())
        await anyio.sleep(late)
        self.account.note_arrival(request, anyio.current_time())
        sends.arrive()


class TestAllEntriesTogether:
    """The service gets no more than its budget, whatever entries do."""

    @pytest.mark.parametrize("count", (1, 2, 5))
    @hypothesis.given(plan=steps)
    @hypothesis.settings(
        max_examples=60, deadline=None, derandomize=True, database=None
    )
    def test_no_window_is_over(self, count: int, plan: list[Step]) -> None:
        async def body() -> repeats.Peak:
            service = Service(count)
            async with anyio.create_task_group() as tasks:
                for step in plan:
                    await service.take(step, tasks)
            allowance = repeats.Allowance(RATIO, SLACK, WINDOW)
            return service.account.peak(allowance)

        peak = virtual.run(body)
        assert not peak.is_over, peak


class TestLeftShare:
    """What is left, for those who ask before they give up a stream."""

    @pytest.mark.parametrize("slack", (1.0, 2.0, 2.5, 3.0, 4.0, 100.0))
    def test_is_nothing_where_no_repeat_may_be_made(
        self, slack: float
    ) -> None:
        # What was given up to begin anew elsewhere is lost where it may not.
        async def body() -> None:
            budget = _budget(slack)
            _spend_all(budget)
            assert budget.remaining < 1.0
            assert budget.remaining_share == 0.0

        virtual.run(body)

    def test_is_all_where_nothing_was_spent(self) -> None:
        async def body() -> None:
            assert _budget().remaining_share == 1.0

        virtual.run(body)
