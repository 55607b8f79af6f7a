# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Requests that wait for capacity, and the survey at an entry's start."""

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


def run_scenario(
    work: typing.Callable[[fleet_system.FleetSystem], typing.Awaitable[None]],
) -> None:
    async def body() -> None:
        system = fleet_system.FleetSystem()
        system.install(system.config)
        system.add_model(copies=1)
        await fleet_system.run_with(system, work)

    virtual.run(body)


def kv_capacity(upstream: chain.Upstream) -> float:
    """Return the KV cache capacity of an engine, in tokens times layers."""
    assert upstream.layers is not None
    count = upstream.layers.end - upstream.layers.first
    return PROFILE.token_capacity(upstream.card, count) * count


def fill(system: fleet_system.FleetSystem, share: float) -> None:
    for upstream in system.listed.values():
        system.usage.note_existing_load(
            upstream, share * kv_capacity(upstream)
        )


class TestWaitQueue:
    """Order and timeouts of waiting requests."""

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

    def test_timeout_removes_it_from_the_queue(self) -> None:
        async def body() -> None:
            wait_queue = waiting.WaitQueue()
            outcomes: list[tuple[str, bool]] = []

            async def wait(
                name: str, until: float, hold_seconds: float
            ) -> None:
                async with wait_queue.turn(until) as is_first:
                    outcomes.append((name, is_first))
                    if is_first:
                        await anyio.sleep(hold_seconds)

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


class TestWaitingForCapacity:
    """New streams while all engines are full."""

    def test_waits_until_there_is_capacity(self) -> None:
        async def work(system: fleet_system.FleetSystem) -> None:
            fill(system, 1.3)
            caller = await system.ask(system.request(STREAM))
            assert caller.error is None
            assert caller.is_complete
            assert 0.4 < caller.times[0] < paths.QUEUE_WAIT_SECONDS
            assert not system.fleet.rejection_counts

        run_scenario(work)

    def test_is_refused_at_once_if_capacity_comes_too_late(self) -> None:
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

        run_scenario(work)

    def test_wait_is_bounded(self) -> None:
        async def work(system: fleet_system.FleetSystem) -> None:
            fill(system, 5.0)
            began = anyio.current_time()
            caller = await system.ask(system.request(STREAM))
            assert caller.error is not None
            waited = anyio.current_time() - began
            assert waited < paths.QUEUE_WAIT_SECONDS + paths.QUEUE_POLL_SECONDS

        run_scenario(work)

    def test_later_request_does_not_skip_the_queue(self) -> None:
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
            assert all(caller.is_complete for caller in callers)
            assert callers[0].times[0] <= callers[1].times[0]

        run_scenario(work)


class _ReportClient:
    """Client of engines that report their load, except a silent engine."""

    def __init__(self, silent: str) -> None:
        self.requested: list[str] = []
        self._silent = silent

    async def report(self, upstream: chain.Upstream) -> chain.EngineReport:
        self.requested.append(upstream.name)
        if upstream.name == self._silent:
            raise errors.CrowdeckError(errors.Code.UPSTREAM_LOST, "silent")
        return chain.EngineReport(
            orders_taken=1,
            is_busy=False,
            layers=upstream.layers,
            running=1,
            waiting=0,
            cache_used=0.5 * kv_capacity(upstream),
            cache_total=kv_capacity(upstream),
            slowdown=1.0,
            stalls=(),
        )


class _EmptySubset:
    """A subset without engines."""

    def pick(
        self, engines: typing.Sequence[chain.Upstream]
    ) -> typing.Sequence[chain.Upstream]:
        return ()


class TestSubset:
    """An entry whose subset of a large fleet has no path."""

    def test_all_engines_are_used_if_the_subset_has_no_path(self) -> None:
        async def work(system: fleet_system.FleetSystem) -> None:
            system.context.subset = _EmptySubset()  # type: ignore[assignment]
            caller = await system.ask(
                system.request(routes.RepeatPolicy.STREAM)
            )
            assert caller.error is None
            assert caller.is_complete

        run_scenario(work)


class TestSurvey:
    """An entry that starts while engines are loaded."""

    def test_learns_the_load_of_engines(self) -> None:
        async def work(system: fleet_system.FleetSystem) -> None:
            names = sorted(system.listed)
            without_layers = attrs.evolve(system.listed[names[0]], layers=None)
            system.list_instance(without_layers)
            client = _ReportClient(silent=names[1])
            system.context.client = client  # type: ignore[assignment]
            await surveys.Survey(system.context).run(system.holder.services)
            assert sorted(client.requested) == names[1:]
            utilization = {
                name: system.usage.cache_utilization(upstream, PROFILE)
                for name, upstream in system.listed.items()
            }
            assert utilization[names[0]] == utilization[names[1]] == 0.0
            assert all(0.45 < utilization[name] <= 0.5 for name in names[2:])
            await anyio.sleep(2.6)
            upstream = system.listed[names[2]]
            assert system.usage.cache_utilization(upstream, PROFILE) == 0.0

        run_scenario(work)

    def test_number_of_surveyed_engines_is_bounded(self) -> None:
        # A survey of a large fleet would delay the start of a small entry.
        async def work(system: fleet_system.FleetSystem) -> None:
            for number in range(60):
                zone = fleet_system.ZONES[number % 2]
                name = f"more-{number}"
                system.list_instance(fleet_system.upstream(name, zone, (0, 9)))
            client = _ReportClient(silent="")
            system.context.client = client  # type: ignore[assignment]
            await surveys.Survey(system.context).run(system.holder.services)
            assert len(client.requested) == surveys.MAX_ENGINES
            own_zone_names = [
                name
                for name, upstream in system.listed.items()
                if upstream.availability_zone == system.context.zone
            ]
            assert set(own_zone_names) <= set(client.requested)

        run_scenario(work)
