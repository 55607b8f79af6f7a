# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Calls to sound instances that fall silent for a second and go on."""

import typing

import anyio
import attrs
import pytest

from crowdeck.relay import request as requests
from crowdeck import route as routes
from crowdeck.standin import chain_fleet
from tests import fleet_system
from tests import virtual

ONCE = routes.RepeatPolicy.ONCE
IDEMPOTENT = routes.RepeatPolicy.IDEMPOTENT
CALLS = 12
CALL_SECONDS = 0.1
MAX_ATTEMPTS = 2
SILENT_SECONDS = (1.0, 1.2)
TIMEOUT_SECONDS = (1.5, 3.0)
# Times at which the silence begins, after the calls were sent: before they
# arrive, while they run, and as they are answered.
SILENT_AFTER_SECONDS = (0.0, 0.05, 0.099)
# All calls have been sent to the instance that was chosen first.
SENT_SECONDS = 0.01

System = fleet_system.FleetSystem
Instances = list[chain_fleet.StandinUpstream]


@attrs.frozen
class Served:
    """A call, what its caller got, and at how many instances it ran."""

    request: requests.CallerRequest
    caller: fleet_system.Caller
    run_count: int

    @property
    def is_whole(self) -> bool:
        """Whether the caller got the complete answer."""
        return (
            self.caller.status == 200
            and self.caller.is_complete
            and self.caller.body == self.request.id.encode()
        )


def others(system: System, silent: Instances) -> Instances:
    """Return the instances that are not silent."""
    return [
        instance
        for instance in system.fleet.upstreams
        if instance not in silent
    ]


def nothing_else(system: System, silent: Instances) -> None:
    """Leave everything else sound."""


def spend_budget(system: System, silent: Instances) -> None:
    """Leave nothing of the retry budget."""
    budget = system.context.budget(fleet_system.PLAIN)
    while fleet_system.spend_retry(budget):
        pass


def back_off_elsewhere(system: System, silent: Instances) -> None:
    """Let the others take nothing for the time of the play."""
    for instance in others(system, silent):
        system.registry.back_off(instance.listed.name, 10.0)


def refuse_elsewhere(system: System, silent: Instances) -> None:
    """Let the others refuse each call."""
    for instance in others(system, silent):
        instance.rejected_requests = 10_000


def fail_elsewhere(system: System, silent: Instances) -> None:
    """Let the others answer each further call with an error."""
    for instance in others(system, silent):
        instance.failed_calls = 10_000


def lose_elsewhere(system: System, silent: Instances) -> None:
    """Let the others break off the answer to each further call."""
    for instance in others(system, silent):
        instance.lost_answers = 10_000


def end_elsewhere(system: System, silent: Instances) -> None:
    """Let the others refuse connections."""
    for instance in others(system, silent):
        instance.is_dead = True


def hang_elsewhere(system: System, silent: Instances) -> None:
    """Let the others accept each further call and not answer it."""
    for instance in others(system, silent):
        instance.call_seconds = 60.0


Circumstance = typing.Callable[[System, Instances], None]
CIRCUMSTANCES = (
    nothing_else,
    spend_budget,
    back_off_elsewhere,
    refuse_elsewhere,
    fail_elsewhere,
    lose_elsewhere,
    end_elsewhere,
    hang_elsewhere,
)


def play(
    repeat: routes.RepeatPolicy,
    circumstance: Circumstance,
    silent_seconds: float,
    silent_after: float,
    timeout_seconds: float,
    *,
    instance_count: int = 3,
    silent_count: int = 1,
) -> list[Served]:
    """Serve calls while instances are silent for a second."""
    served: list[Served] = []

    async def ask(system: System) -> None:
        request = system.request(repeat)
        caller = await system.ask(request)
        # Wait for runs elsewhere that were not ended.
        await anyio.sleep(timeout_seconds)
        runs = system.fleet.runs_of(request.id)
        served.append(Served(request, caller, len(runs)))

    async def work(system: System) -> None:
        silent = system.fleet.upstreams[:silent_count]
        async with anyio.create_task_group() as tasks:
            began = anyio.current_time()
            for _ in range(CALLS):
                tasks.start_soon(ask, system)
            await anyio.sleep(silent_after)
            for instance in silent:
                instance.silent_until = anyio.current_time() + silent_seconds
            await anyio.sleep_until(began + max(SENT_SECONDS, silent_after))
            # Calls that were sent before run on.
            await let_answer(system, silent)
            circumstance(system, silent)
        for instance in system.listed.values():
            assert system.usage.own_requests(instance) == 0
        assert system.context.quarantine.has_no_suspects

    async def let_answer(system: System, silent: Instances) -> None:
        """Wait until the calls at the other instances are answered."""
        while any(instance.running for instance in others(system, silent)):
            await anyio.sleep(0.01)

    async def body() -> None:
        system = System()
        route = fleet_system.make_route(
            repeat, timeout_seconds=timeout_seconds, max_attempts=MAX_ATTEMPTS
        )
        system.install(fleet_system.make_config(1, (route,)))
        for number in range(instance_count):
            instance = system.add(
                fleet_system.upstream(
                    f"records-{number}", service=fleet_system.PLAIN
                )
            )
            instance.call_seconds = CALL_SECONDS
        await fleet_system.run_with(system, work)

    virtual.run(body)
    assert len(served) == CALLS
    return served


def assert_whole(served: list[Served], max_runs: int) -> None:
    """Assert that each call is answered and ran no more than it may."""
    assert [item for item in served if not item.is_whole] == []
    assert max(item.run_count for item in served) <= max_runs


@pytest.mark.parametrize("timeout_seconds", TIMEOUT_SECONDS)
@pytest.mark.parametrize("silent_after", SILENT_AFTER_SECONDS)
@pytest.mark.parametrize("silent_seconds", SILENT_SECONDS)
@pytest.mark.parametrize("repeat", [ONCE, IDEMPOTENT])
class TestCall:
    """A call whose instance is silent for less than the route's timeout."""

    @pytest.mark.parametrize("circumstance", CIRCUMSTANCES)
    def test_is_answered_if_no_other_instance_answers(
        self,
        circumstance: Circumstance,
        repeat: routes.RepeatPolicy,
        silent_seconds: float,
        silent_after: float,
        timeout_seconds: float,
    ) -> None:
        served = play(
            repeat, circumstance, silent_seconds, silent_after, timeout_seconds
        )
        assert_whole(served, 1 if repeat is ONCE else MAX_ATTEMPTS)

    @pytest.mark.parametrize("instance_count", [1, 3])
    def test_is_answered_if_all_instances_are_silent(
        self,
        instance_count: int,
        repeat: routes.RepeatPolicy,
        silent_seconds: float,
        silent_after: float,
        timeout_seconds: float,
    ) -> None:
        served = play(
            repeat,
            nothing_else,
            silent_seconds,
            silent_after,
            timeout_seconds,
            instance_count=instance_count,
            silent_count=instance_count,
        )
        assert_whole(served, 1 if repeat is ONCE else MAX_ATTEMPTS)


def test_call_is_tried_again_once_another_instance_accepts_calls() -> None:
    async def work(system: System) -> None:
        first, second = system.fleet.upstreams
        first.call_seconds = 60.0
        system.registry.back_off(second.listed.name, 0.9)
        request = system.request(IDEMPOTENT)
        caller = await system.ask(request)
        assert caller.status == 200
        assert anyio.current_time() < 1.3

    run_with_instances(work)


def test_caller_that_leaves_ends_all_tries() -> None:
    async def work(system: System) -> None:
        for instance in system.fleet.upstreams:
            instance.call_seconds = 60.0
        request = system.request(IDEMPOTENT)
        with anyio.move_on_after(1.0):
            await system.ask(request)
        assert len(system.fleet.runs_of(request.id)) == MAX_ATTEMPTS
        for instance in system.fleet.upstreams:
            assert not instance.running
            assert system.usage.own_requests(instance.listed) == 0

    run_with_instances(work)


@pytest.mark.parametrize("answers", ["first", "second", "none"])
def test_try_beside_a_silent_one_counts_once_in_the_budget(
    answers: str,
) -> None:
    async def work(system: System) -> None:
        budget = system.context.budget(fleet_system.PLAIN)
        before = budget.remaining
        first, second = system.fleet.upstreams
        first.call_seconds = 0.9 if answers == "first" else 60.0
        second.call_seconds = 0.1 if answers == "second" else 60.0
        await system.ask(system.request(IDEMPOTENT))
        assert budget.remaining == before - 1.0
        # It may still arrive where it was abandoned.
        await anyio.sleep(10.5)
        assert budget.remaining < before
        await anyio.sleep(11.0)
        assert budget.remaining == before

    run_with_instances(work)


def test_failure_of_an_earlier_try_leaves_the_latest_its_time() -> None:
    async def work(system: System) -> None:
        first, second, third = system.fleet.upstreams
        first.call_seconds = 0.65
        first.lost_answers = 1
        second.call_seconds = 0.3
        request = system.request(IDEMPOTENT)
        caller = await system.ask(request)
        assert caller.status == 200
        runs = system.fleet.runs_of(request.id)
        assert len(runs) == 2
        assert third.listed.name not in {run.upstream for run in runs}

    run_with_instances(work, 3, max_attempts=3)


@pytest.mark.parametrize("repeat", [ONCE, IDEMPOTENT])
def test_instance_gets_calls_again_soon_after_its_silence(
    repeat: routes.RepeatPolicy,
) -> None:
    async def ask(system: System) -> None:
        await system.ask(system.request(repeat))

    async def work(system: System) -> None:
        silent = system.fleet.upstreams[0]
        async with anyio.create_task_group() as tasks:
            for number in range(300):
                if number == 20:
                    silent.silent_until = anyio.current_time() + 1.2
                tasks.start_soon(ask, system)
                await anyio.sleep(0.05)
        runs = [
            run
            for run in system.fleet.runs
            if run.upstream == silent.listed.name
            and 12.0 <= run.started_at < 15.0
        ]
        # A third of 60 calls is its share.
        assert len(runs) >= 10

    run_with_instances(work, 3, repeat=repeat)


def run_with_instances(
    work: typing.Callable[[System], typing.Awaitable[None]],
    count: int = 2,
    max_attempts: int = MAX_ATTEMPTS,
    repeat: routes.RepeatPolicy = IDEMPOTENT,
) -> None:
    """Run ``work`` on a system with instances of a plain service."""

    async def body() -> None:
        system = System()
        route = fleet_system.make_route(repeat, max_attempts=max_attempts)
        system.install(fleet_system.make_config(1, (route,)))
        for number in range(count):
            system.add(
                fleet_system.upstream(
                    f"records-{number}", service=fleet_system.PLAIN
                )
            )
        await fleet_system.run_with(system, work)

    virtual.run(body)
