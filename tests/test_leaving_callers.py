# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Callers that leave, at each point of a stream's life.

Whoever has gone is served no more: nothing is sent to an engine for them,
and nothing is kept that counts them among those under way.
"""

import typing

import anyio
import pytest

from crowdeck import chain
from crowdeck.relay import interfaces
from crowdeck.relay import request as requests
from crowdeck import route as routes
from tests import fleet_system
from tests import virtual

STREAM = routes.RepeatPolicy.STREAM
# Long after everything that a request has set going.
LATER_SECONDS = 3.0
# A change of path is agreed within 0.15 s; asking an engine takes 1.2 ms.
STEPS = 300
STEP_SECONDS = 0.0005

System = fleet_system.FleetSystem
Work = typing.Callable[[System], typing.Awaitable[None]]


def play(work: Work) -> None:
    async def body() -> None:
        system = System()
        system.install(fleet_system.make_config())
        system.add_model()
        await fleet_system.run_with(system, work)

    virtual.run(body)


async def leave_after(
    system: System, request: requests.CallerRequest, seconds: float
) -> fleet_system.Caller:
    """Ask, and leave after a while as the callers' side ends the work."""
    caller = fleet_system.Caller()
    with anyio.move_on_after(seconds):
        await system.relay.serve(request, caller)
    return caller


def assert_forgotten(system: System) -> None:
    for one in system.listed.values():
        assert system.usage.sequences(one) == 0
        assert system.usage.own_requests(one) == 0
    assert not system.monitor._streams
    assert not system.monitor._checking
    assert len(system.context.wait_queue(fleet_system.MODEL)) == 0
    assert not system.context.heads._records or not any(
        record.waiting for record in system.context.heads._records.values()
    )


def fill(system: System) -> None:
    for one in system.listed.values():
        assert one.layers is not None
        count = one.layers.end - one.layers.first
        cells = fleet_system.PROFILE.token_capacity(one.card, count) * count
        system.usage.note_existing_load(one, 1.6 * cells)


class TestLeaving:
    """What is left of a stream whose caller has gone."""

    def test_while_it_waits_for_room(self) -> None:
        async def work(system: System) -> None:
            fill(system)
            first = system.request(STREAM)
            second = system.request(STREAM)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(leave_after, system, first, 0.3)
                tasks.start_soon(leave_after, system, second, 0.4)
            assert_forgotten(system)
            await anyio.sleep(LATER_SECONDS)
            assert not system.fleet.runs

        play(work)

    def test_while_its_engine_is_dialled(self) -> None:
        async def work(system: System) -> None:
            for target in system.fleet.upstreams:
                target.is_unresponsive = True
            request = system.request(STREAM)
            await leave_after(system, request, 0.05)
            assert_forgotten(system)
            for target in system.fleet.upstreams:
                target.is_unresponsive = False
            await anyio.sleep(LATER_SECONDS)
            assert not system.fleet.runs

        play(work)

    def test_before_its_first_event(self) -> None:
        async def work(system: System) -> None:
            for target in system.fleet.upstreams:
                target.hanging_streams = 5
            request = system.request(STREAM)
            await leave_after(system, request, 0.1)
            runs = len(system.fleet.runs)
            assert_forgotten(system)
            await anyio.sleep(LATER_SECONDS)
            assert len(system.fleet.runs) == runs

        play(work)

    @pytest.mark.parametrize("seconds", [0.1, 0.2, 0.3])
    def test_in_the_middle(self, seconds: float) -> None:
        async def work(system: System) -> None:
            request = system.request(STREAM)
            caller = await leave_after(system, request, seconds)
            assert caller.has_started
            assert not caller.is_whole
            assert_forgotten(system)
            await anyio.sleep(LATER_SECONDS)
            assert len(system.fleet.runs) == 1

        play(work)

    @pytest.mark.parametrize("how", ["is_dead", "is_unresponsive"])
    def test_while_it_is_led_around_an_engine(
        self, how: str, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        # Every moment of it: noticing, asking who lives, agreeing.
        for step in range(STEPS):
            self.leave_while_led_around(how, step * STEP_SECONDS, monkeypatch)

    def leave_while_led_around(
        self, how: str, after: float, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        async def work(system: System) -> None:
            request = system.request(STREAM)

            async def strike() -> None:
                await anyio.sleep(0.1)
                run = system.fleet.runs_of(request.id)[-1]
                part = run.path.split(",")[2].partition("=")[0]
                setattr(system.fleet.at(part), how, True)

            asked: list[float] = []
            repath = system.fleet.repath

            async def note(
                head: chain.Upstream, request_id: str, path: chain.ChainPath
            ) -> interfaces.RepathOutcome:
                asked.append(anyio.current_time())
                return await repath(head, request_id, path)

            monkeypatch.setattr(system.fleet, "repath", note)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(strike)
                await leave_after(system, request, 0.1 + after)
            left = anyio.current_time()
            assert not system.monitor._streams
            await anyio.sleep(LATER_SECONDS)
            assert all(at <= left for at in asked)
            assert len(system.fleet.runs) == 1
            assert_forgotten(system)

        play(work)

    def test_while_another_attempt_waits_for_the_budget(self) -> None:
        async def work(system: System) -> None:
            request = system.request(STREAM)
            budget = system.context.budget(fleet_system.MODEL)
            while fleet_system.spend_retry(budget):
                pass

            async def strike() -> None:
                await anyio.sleep(0.1)
                run = system.fleet.runs_of(request.id)[-1]
                head = run.path.partition("=")[0]
                system.fleet.at(head).is_dead = True

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(strike)
                await leave_after(system, request, 0.4)
            runs = len(system.fleet.runs)
            assert_forgotten(system)
            await anyio.sleep(LATER_SECONDS)
            assert len(system.fleet.runs) == runs

        play(work)
