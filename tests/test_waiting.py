# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Requests that wait for room, and what a starting entry asks engines."""

import typing

import anyio
import attrs

from crowdeck import chain
from crowdeck import errors
from crowdeck.relay import paths
from crowdeck.relay import survey as surveys
from crowdeck.relay import waiting
from crowdeck import route as routes
from tests import fleet_system
from tests import virtual

STREAM = routes.RepeatPolicy.STREAM
PROFILE = fleet_system.PROFILE


def play(
    work: typing.Callable[[fleet_system.FleetSystem], typing.Awaitable[None]],
) -> None:
    async def body() -> None:
        system = fleet_system.FleetSystem()
        system.install(system.config)
        system.add_model(copies=1)
        await fleet_system.run_with(system, work)

    virtual.run(body)


def cells_of(one: chain.Upstream) -> float:
    """Return the tokens times layers that an engine has room for."""
    assert one.layers is not None
    count = one.layers.end - one.layers.first
    return PROFILE.token_capacity(one.card, count) * count


def fill(system: fleet_system.FleetSystem, share: float) -> None:
    for one in system.listed.values():
        system.usage.note_existing_load(one, share * cells_of(one))


class TestLine:
    """Turns of those that wait."""

    def test_first_come_first_served(self) -> None:
        async def body() -> None:
            wait_queue = waiting.WaitQueue()
            served: list[int] = []

            async def wait(number: int) -> None:
                await anyio.sleep(number * 0.01)
                async with wait_queue.turn(10.0) as is_first:
                    assert is_first
                    await anyio.sleep(0.5)
                    served.append(number)

            async with anyio.create_task_group() as tasks:
                for number in (2, 0, 1):
                    tasks.start_soon(wait, number)
            assert served == [0, 1, 2]
            assert len(wait_queue) == 0

        virtual.run(body)

    def test_one_that_gives_up_leaves_its_place(self) -> None:
        async def body() -> None:
            wait_queue = waiting.WaitQueue()
            outcomes: list[tuple[str, bool]] = []

            async def wait(name: str, until: float, hold: float) -> None:
                async with wait_queue.turn(until) as is_first:
                    outcomes.append((name, is_first))
                    if is_first:
                        await anyio.sleep(hold)

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(wait, "holds", 5.0, 1.0)
                await anyio.sleep(0.01)
                tasks.start_soon(wait, "gives up", 0.5, 0.0)
                await anyio.sleep(0.01)
                tasks.start_soon(wait, "is next", 5.0, 0.0)
            assert outcomes == [
                ("holds", True),
                ("gives up", False),
                ("is next", True),
            ]

        virtual.run(body)


class TestWaitingForRoom:
    """New streams while the engines are full."""

    def test_waits_until_there_is_room(self) -> None:
        async def work(system: fleet_system.FleetSystem) -> None:
            fill(system, 1.3)
            caller = await system.ask(system.request(STREAM))
            assert caller.error is None
            assert caller.is_whole
            assert 0.4 < caller.times[0] < paths.QUEUE_WAIT_SECONDS
            assert not system.fleet.rejected

        play(work)

    def test_is_refused_at_once_where_room_comes_too_late(self) -> None:
        async def work(system: fleet_system.FleetSystem) -> None:
            fill(system, 3.0)
            system.context.retry_advisor.note_end()
            began = anyio.current_time()
            caller = await system.ask(system.request(STREAM))
            assert caller.error is not None
            assert caller.error.code is errors.Code.NO_PATH
            assert caller.error.verdict.is_retry_safe
            assert caller.error.retry_after
            assert anyio.current_time() - began < 0.01

        play(work)

    def test_wait_ends_before_the_caller_gives_up(self) -> None:
        async def work(system: fleet_system.FleetSystem) -> None:
            fill(system, 5.0)
            began = anyio.current_time()
            caller = await system.ask(system.request(STREAM))
            assert caller.error is not None
            waited = anyio.current_time() - began
            assert waited < paths.QUEUE_WAIT_SECONDS + paths.QUEUE_POLL_SECONDS

        play(work)

    def test_late_comer_does_not_pass_by_the_line(self) -> None:
        async def work(system: fleet_system.FleetSystem) -> None:
            fill(system, 1.3)
            callers: list[fleet_system.Caller] = []

            async def ask() -> None:
                callers.append(await system.ask(system.request(STREAM)))

            wait_queue = system.context.wait_queue(fleet_system.MODEL)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(ask)
                await anyio.sleep(0.05)
                tasks.start_soon(ask)
                await anyio.sleep(0.05)
                assert len(wait_queue) == 2
            assert len(wait_queue) == 0
            assert all(one.is_whole for one in callers)
            assert callers[0].times[0] <= callers[1].times[0]

        play(work)


class _Reports:
    """Engines that tell how full they are; one says nothing."""

    def __init__(self, silent: str) -> None:
        self.asked: list[str] = []
        self._silent = silent

    async def report(self, upstream: chain.Upstream) -> chain.EngineReport:
        self.asked.append(upstream.name)
        if upstream.name == self._silent:
            raise errors.CrowdeckError(errors.Code.UPSTREAM_LOST, "silent")
        return chain.EngineReport(
            orders_taken=1,
            is_busy=False,
            layers=upstream.layers,
            running=1,
            waiting=0,
            cache_used=0.5 * cells_of(upstream),
            cache_total=cells_of(upstream),
            slowdown=1.0,
            stalls=(),
        )


class _Nothing:
    """A subset of the engines that holds no layer."""

    def pick(
        self, engines: typing.Sequence[chain.Upstream]
    ) -> typing.Sequence[chain.Upstream]:
        return ()


class TestSubset:
    """An entry whose part of a large fleet has no path."""

    def test_looks_at_all_engines_then(self) -> None:
        async def work(system: fleet_system.FleetSystem) -> None:
            system.context.subset = _Nothing()  # type: ignore[assignment]
            caller = await system.ask(
                system.request(routes.RepeatPolicy.STREAM)
            )
            assert caller.error is None
            assert caller.is_whole

        play(work)


class TestSurvey:
    """An entry that starts beside engines at work."""

    def test_learns_what_engines_hold_for_others(self) -> None:
        async def work(system: fleet_system.FleetSystem) -> None:
            names = sorted(system.listed)
            empty = attrs.evolve(system.listed[names[0]], layers=None)
            system.list_instance(empty)
            client = _Reports(silent=names[1])
            system.context.client = client  # type: ignore[assignment]
            await surveys.Survey(system.context).run(system.holder.services)
            assert sorted(client.asked) == names[1:]
            full = {
                name: system.usage.cache_utilization(one, PROFILE)
                for name, one in system.listed.items()
            }
            assert full[names[0]] == full[names[1]] == 0.0
            assert all(0.45 < full[name] <= 0.5 for name in names[2:])
            await anyio.sleep(2.6)
            one = system.listed[names[2]]
            assert system.usage.cache_utilization(one, PROFILE) == 0.0

        play(work)

    def test_asks_a_large_fleet_no_more_than_it_can_bear(self) -> None:
        # Each of 68 entries asked 130 engines after a fault of all, and
        # the small ones served nobody for half a second.
        async def work(system: fleet_system.FleetSystem) -> None:
            for number in range(60):
                zone = fleet_system.ZONES[number % 2]
                name = f"more-{number}"
                system.list_instance(fleet_system.upstream(name, zone, (0, 9)))
            client = _Reports(silent="")
            system.context.client = client  # type: ignore[assignment]
            await surveys.Survey(system.context).run(system.holder.services)
            assert len(client.asked) == surveys.MAX_QUESTIONS
            own = [
                name
                for name, one in system.listed.items()
                if one.availability_zone == system.context.zone
            ]
            assert set(own) <= set(client.asked)

        play(work)
