# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Callers that disconnect, at each stage of a stream.

Afterwards nothing more is sent to engines for them, and all resources of the
stream are released.
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
# Longer than any work that a request starts.
SETTLE_SECONDS = 3.0
# Times of disconnection after a fault, which cover a complete change of path.
# The interval is shorter than a probe.
DISCONNECT_COUNT = 300
DISCONNECT_INTERVAL_SECONDS = 0.0005

System = fleet_system.FleetSystem
Work = typing.Callable[[System], typing.Awaitable[None]]


def run_scenario(work: Work) -> None:
    async def body() -> None:
        system = System()
        system.install(fleet_system.make_config())
        system.add_model()
        await fleet_system.run_with(system, work)

    virtual.run(body)


async def disconnect_after(
    system: System, request: requests.CallerRequest, seconds: float
) -> fleet_system.Caller:
    """Send a request, and cancel it as a disconnecting caller would."""
    caller = fleet_system.Caller()
    with anyio.move_on_after(seconds):
        await system.relay.serve(request, caller)
    return caller


def assert_released(system: System) -> None:
    for upstream in system.listed.values():
        assert system.usage.sequences(upstream) == 0
        assert system.usage.own_requests(upstream) == 0
    assert not system.monitor._streams
    assert not system.monitor._checking
    assert len(system.context.wait_queue(fleet_system.MODEL)) == 0
    assert not system.context.heads._records or not any(
        record.waiting for record in system.context.heads._records.values()
    )


def fill_kv_caches(system: System) -> None:
    """Note so much load that no engine has capacity for a stream."""
    for upstream in system.listed.values():
        assert upstream.layers is not None
        count = upstream.layers.end - upstream.layers.first
        kv_capacity = (
            fleet_system.PROFILE.token_capacity(upstream.card, count) * count
        )
        system.usage.note_existing_load(upstream, 1.6 * kv_capacity)


class TestDisconnect:
    """State of a stream after its caller disconnected."""

    def test_while_it_waits_for_capacity(self) -> None:
        async def work(system: System) -> None:
            fill_kv_caches(system)
            first = system.request(STREAM)
            second = system.request(STREAM)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(disconnect_after, system, first, 0.3)
                tasks.start_soon(disconnect_after, system, second, 0.4)
            assert_released(system)
            await anyio.sleep(SETTLE_SECONDS)
            assert not system.fleet.runs

        run_scenario(work)

    def test_while_it_connects_to_an_engine(self) -> None:
        async def work(system: System) -> None:
            for target in system.fleet.upstreams:
                target.is_unresponsive = True
            request = system.request(STREAM)
            await disconnect_after(system, request, 0.05)
            assert_released(system)
            for target in system.fleet.upstreams:
                target.is_unresponsive = False
            await anyio.sleep(SETTLE_SECONDS)
            assert not system.fleet.runs

        run_scenario(work)

    def test_before_its_first_event(self) -> None:
        async def work(system: System) -> None:
            for target in system.fleet.upstreams:
                target.hanging_streams = 5
            request = system.request(STREAM)
            await disconnect_after(system, request, 0.1)
            runs = len(system.fleet.runs)
            assert_released(system)
            await anyio.sleep(SETTLE_SECONDS)
            assert len(system.fleet.runs) == runs

        run_scenario(work)

    @pytest.mark.parametrize("seconds", [0.1, 0.2, 0.3])
    def test_after_some_events(self, seconds: float) -> None:
        async def work(system: System) -> None:
            request = system.request(STREAM)
            caller = await disconnect_after(system, request, seconds)
            assert caller.has_started
            assert not caller.is_complete
            assert_released(system)
            await anyio.sleep(SETTLE_SECONDS)
            assert len(system.fleet.runs) == 1

        run_scenario(work)

    @pytest.mark.parametrize("fault", ["is_dead", "is_unresponsive"])
    def test_while_it_is_rerouted(
        self, fault: str, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        # Disconnects at each step of detecting the stall, probing engines and
        # changing the path.
        for step in range(DISCONNECT_COUNT):
            self.disconnect_while_rerouted(
                fault, step * DISCONNECT_INTERVAL_SECONDS, monkeypatch
            )

    def disconnect_while_rerouted(
        self, fault: str, after: float, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        async def work(system: System) -> None:
            request = system.request(STREAM)

            async def inject_fault() -> None:
                await anyio.sleep(0.1)
                run = system.fleet.runs_of(request.id)[-1]
                address = run.path.split(",")[2].partition("=")[0]
                setattr(system.fleet.at(address), fault, True)

            repath_times: list[float] = []
            repath = system.fleet.repath

            async def record_repath(
                head: chain.Upstream, request_id: str, path: chain.ChainPath
            ) -> interfaces.RepathOutcome:
                repath_times.append(anyio.current_time())
                return await repath(head, request_id, path)

            monkeypatch.setattr(system.fleet, "repath", record_repath)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(inject_fault)
                await disconnect_after(system, request, 0.1 + after)
            disconnected_at = anyio.current_time()
            assert not system.monitor._streams
            await anyio.sleep(SETTLE_SECONDS)
            assert all(at <= disconnected_at for at in repath_times)
            assert len(system.fleet.runs) == 1
            assert_released(system)

        run_scenario(work)

    def test_while_a_retry_waits_for_the_budget(self) -> None:
        async def work(system: System) -> None:
            request = system.request(STREAM)
            budget = system.context.budget(fleet_system.MODEL)
            while fleet_system.spend_retry(budget):
                pass

            async def inject_fault() -> None:
                await anyio.sleep(0.1)
                run = system.fleet.runs_of(request.id)[-1]
                head = run.path.partition("=")[0]
                system.fleet.at(head).is_dead = True

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(inject_fault)
                await disconnect_after(system, request, 0.4)
            runs = len(system.fleet.runs)
            assert_released(system)
            await anyio.sleep(SETTLE_SECONDS)
            assert len(system.fleet.runs) == runs

        run_scenario(work)
