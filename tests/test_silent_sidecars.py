# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Nothing is given up because a sidecar is silent for a moment and goes on."""

import typing

import anyio
import pytest

from crowdeck.entry import model_request as model_requests
from crowdeck import errors
from crowdeck.routing import retry
from tests import system as systems
from tests import virtual

PROMPT = "why did the recharge fail"
RUN_SECONDS = 0.3


class TestAnswers:
    """A stage of an answer's path is silent, while the answer is read."""

    @pytest.mark.parametrize("stage", [0, 1, 2])
    @pytest.mark.parametrize("silent_seconds", [0.8, 1.3])
    @pytest.mark.parametrize("is_budget_spent", [False, True])
    @pytest.mark.parametrize("others", ["sound", "failing", "none"])
    def test_are_complete(
        self,
        stage: int,
        silent_seconds: float,
        is_budget_spent: bool,
        others: str,
    ) -> None:
        """The other replica of each stage is sound, fails or is missing."""

        async def check() -> None:
            replicas = 1 if others == "none" else 2
            async with systems.System(replicas=replicas) as system:
                caller = systems.Caller()

                def silence() -> None:
                    running = _running_sidecars(system)
                    if others == "failing":
                        _fail_engines(system, set(system.engines) - running)
                    if is_budget_spent:
                        _spend(
                            system.entry().driver_dependencies.budgets,
                            systems.MODEL,
                        )
                    (name,) = (
                        each for each in running if each[1] == str(stage)
                    )
                    system.tasks.start_soon(
                        _silence, system, name, silent_seconds
                    )

                caller.on_position[5] = silence
                finish = await system.answer(PROMPT, caller)
                assert caller.texts == system.expected(PROMPT, 20)
                assert finish == "length"

        virtual.run(check)

    @pytest.mark.parametrize("stage", [0, 1, 2])
    @pytest.mark.parametrize("others", ["failing", "none"])
    def test_are_complete_although_the_last_retry_fails(
        self, stage: int, others: str
    ) -> None:
        async def check() -> None:
            replicas = 1 if others == "none" else 2
            async with systems.System(replicas=replicas) as system:
                caller = systems.Caller()

                def silence() -> None:
                    running = _running_sidecars(system)
                    _fail_engines(system, set(system.engines) - running)
                    _spend(
                        system.entry().driver_dependencies.budgets,
                        systems.MODEL,
                        retries_left=1,
                    )
                    for name in running:
                        if name[1] == str(stage):
                            system.tasks.start_soon(
                                _silence, system, name, 1.3
                            )

                caller.on_position[5] = silence
                await system.answer(PROMPT, caller)
                assert caller.texts == system.expected(PROMPT, 20)

        virtual.run(check)

    @pytest.mark.parametrize("is_budget_spent", [False, True])
    def test_are_resumed_although_the_head_is_silent(
        self, is_budget_spent: bool
    ) -> None:
        """The first entry is lost, and the head is silent at that time."""

        async def check() -> None:
            async with systems.System() as system:
                first, second = systems.Caller(), systems.Caller()
                request = system.request(PROMPT)
                async with anyio.create_task_group() as tasks:

                    def kill() -> None:
                        system.kill("e0")
                        tasks.cancel_scope.cancel()

                    first.on_position[5] = kill
                    await system.make_driver(request, first).run()
                head, tail = first.location
                system.tasks.start_soon(_silence, system, head, 1.3)
                await anyio.sleep(0.3)
                await system.entry(1).fleet.probe((head,))
                if is_budget_spent:
                    _spend(
                        system.entry(1).driver_dependencies.budgets,
                        systems.MODEL,
                    )
                resume = model_requests.ResumePoint(
                    len(first.pieces), head, tail
                )
                await system.make_driver(request, second, 1).run(resume)
                together = first.texts + second.texts
                assert together == system.expected(PROMPT, 20)

        virtual.run(check)

    @pytest.mark.parametrize("stage", [0, 1, 2])
    def test_are_not_awaited_past_their_deadline(self, stage: int) -> None:
        async def check() -> None:
            async with systems.System() as system:
                caller = systems.Caller()

                def silence() -> None:
                    _spend(
                        system.entry().driver_dependencies.budgets,
                        systems.MODEL,
                    )
                    for name in _running_sidecars(system):
                        if name[1] == str(stage):
                            system.network.freeze(name)

                caller.on_position[5] = silence
                request = system.request(PROMPT, seconds_left=6.0)
                started = anyio.current_time()
                with pytest.raises(errors.CrowdeckError) as caught:
                    await system.make_driver(request, caller).run()
                assert not caught.value.verdict.is_retry_safe
                assert anyio.current_time() - started < 6.5
                assert caller.texts == system.expected(PROMPT, 20)[:6]

        virtual.run(check)

    @pytest.mark.parametrize("stage", [0, 1, 2])
    def test_end_with_a_process_that_is_lost(self, stage: int) -> None:
        """A lost stage that is told from a silent one is not waited for."""

        async def check() -> None:
            async with systems.System() as system:
                caller = systems.Caller()

                async def restart(name: str) -> None:
                    offer = await system.engines[name].describe()
                    system.kill(name)
                    await system.add_engine(name, offer)

                def lose() -> None:
                    _spend(
                        system.entry().driver_dependencies.budgets,
                        systems.MODEL,
                    )
                    for name in _running_sidecars(system):
                        if name[1] == str(stage):
                            system.tasks.start_soon(restart, name)

                caller.on_position[5] = lose
                started = anyio.current_time()
                with pytest.raises(errors.CrowdeckError) as caught:
                    await system.answer(PROMPT, caller)
                assert caught.value.code == errors.Code.LINK_LOST
                assert not caught.value.verdict.is_retry_safe
                assert anyio.current_time() - started < 4.0

        virtual.run(check)


class TestCalls:
    """The sidecar of a plain service is silent while its call runs."""

    @pytest.mark.parametrize("silent_seconds", [0.8, 1.3])
    @pytest.mark.parametrize("is_repeatable", [False, True])
    @pytest.mark.parametrize("is_budget_spent", [False, True])
    @pytest.mark.parametrize("key", ["", "key"])
    @pytest.mark.parametrize("services", [1, 2])
    def test_are_answered(
        self,
        silent_seconds: float,
        is_repeatable: bool,
        is_budget_spent: bool,
        key: str,
        services: int,
    ) -> None:
        async def check() -> None:
            async with systems.System(services=services) as system:
                system.service.run_seconds = RUN_SECONDS
                call = system.service_call(
                    "a", key=key, is_repeatable=is_repeatable, seconds=20.0
                )

                async def silence() -> None:
                    await anyio.sleep(RUN_SECONDS / 2)
                    if is_budget_spent:
                        _spend(system.entry().calls._budgets, "records")
                    (name,) = (
                        each
                        for each in system.nodes
                        if each.startswith("r")
                        and system.sidecar(each).running
                    )
                    await _silence(system, name, silent_seconds)

                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(silence)
                    reply = await system.entry().calls.call(call)
                assert reply.status == 200
                if not is_repeatable or is_budget_spent:
                    assert system.service.runs["a"] == 1

        virtual.run(check)

    @pytest.mark.parametrize("silent_seconds", [0.8, 1.3])
    def test_are_answered_although_no_other_instance_is_there(
        self, silent_seconds: float
    ) -> None:
        """The last retry finds no instance."""

        async def check() -> None:
            async with systems.System(services=1) as system:
                system.service.run_seconds = RUN_SECONDS
                call = system.service_call(
                    "a", is_repeatable=True, seconds=20.0
                )

                async def silence() -> None:
                    await anyio.sleep(RUN_SECONDS / 2)
                    budgets = system.entry().calls._budgets
                    _spend(budgets, "records", retries_left=1)
                    await _silence(system, "r0", silent_seconds)

                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(silence)
                    reply = await system.entry().calls.call(call)
                assert reply.status == 200

        virtual.run(check)


def _running_sidecars(system: systems.System) -> set[str]:
    return {name for name in system.engines if system.sidecar(name).running}


def _fail_engines(system: systems.System, names: typing.Iterable[str]) -> None:
    for name in names:
        system.engines[name].failure = systems.make_error(
            errors.Code.UPSTREAM_LOST
        )


def _spend(
    budgets: retry.RetryBudgets, service: str, retries_left: int = 0
) -> None:
    budget = budgets.get("kiosks", service)
    while budget.tokens >= 1.0 + retries_left:
        budget.spend()


async def _silence(system: systems.System, name: str, seconds: float) -> None:
    system.network.freeze(name)
    await anyio.sleep(seconds)
    system.network.thaw(name)
