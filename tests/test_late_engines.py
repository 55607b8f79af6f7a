# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Tests of a large fleet whose engines are listed after the first plan.

Planning many empty engines at once must not take longer than the lease is
valid, or no engine is ever ordered.
"""

import asyncio
import typing

import anyio
import attrs
import pytest

from crowdeck import chain
from crowdeck import errors
from crowdeck import pipeline
from crowdeck.placement import controller as controllers
from crowdeck.placement import plan
from crowdeck import route as routes
from crowdeck.standin import chain_fleet
from crowdeck.state import leases
from tests import fleet_system
from tests import test_placement
from tests import virtual

# Large enough for several batches in each availability zone.
ENGINE_COUNT = 300
PLACED_ENGINE_COUNT = 20
ZONES = ("a", "b", "c")
PROFILE = fleet_system.PROFILE
# A call by a slow entry: CPU time of each step, number of steps, and timeout.
CALL_STEP_SECONDS = 0.0008
CALL_STEPS = 4
CALL_TIMEOUT_SECONDS = 0.5
MAX_ORDER_SECONDS = 10.0


def make_fleet() -> list[chain.Upstream]:
    """Return a fleet whose first engines hold one copy of the model."""
    fleet = [
        fleet_system.upstream(f"e{number}", ZONES[number % 3], None, "large")
        for number in range(ENGINE_COUNT)
    ]
    for number, layers in enumerate(
        pipeline.LayerRange(4 * index, 4 * index + 4)
        for index in range(PLACED_ENGINE_COUNT)
    ):
        fleet[number] = attrs.evolve(fleet[number], layers=layers)
    return fleet


class TestBatches:
    """Batches of a plan for many empty engines."""

    def test_batches_are_bounded(self) -> None:
        batches = list(plan.iter_moves(make_fleet(), PROFILE, lambda _: True))
        assert sum(map(len, batches)) == ENGINE_COUNT - PLACED_ENGINE_COUNT
        assert max(map(len, batches)) <= plan.MAX_GROUP_SIZE

    def test_each_batch_of_many_engines_holds_the_model(self) -> None:
        for batch in plan.iter_moves(make_fleet(), PROFILE, lambda _: True):
            if batch:
                placed = [
                    attrs.evolve(move.upstream, layers=move.layers)
                    for move in batch
                ]
                assert 0 not in chain.coverage(placed, PROFILE.layer_count)

    def test_batches_of_few_engines_are_bounded(self) -> None:
        fleet = [
            engine for engine in make_fleet() if engine.layers is not None
        ]
        fleet += make_fleet()[-9 * plan.FILL_BATCH_SIZE :]
        batches = list(plan.iter_moves(fleet, PROFILE, lambda _: True))
        assert sum(map(len, batches)) == 9 * plan.FILL_BATCH_SIZE
        assert max(map(len, batches)) <= plan.FILL_BATCH_SIZE

    def test_all_moves_together_complete_the_plan(self) -> None:
        fleet = make_fleet()
        moves = plan.next_moves(fleet, PROFILE, lambda _: True)
        planned = {move.upstream.name: move.layers for move in moves}
        assert len(planned) == ENGINE_COUNT - PLACED_ENGINE_COUNT
        held = [
            attrs.evolve(
                engine, layers=planned.get(engine.name, engine.layers)
            )
            for engine in fleet
        ]
        assert not plan.next_moves(held, PROFILE, lambda _: True)

    def test_coverage_is_counted_once_for_all_moves(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        fleet = make_fleet()
        moves = plan.next_moves(fleet, PROFILE, lambda _: True)
        engine_counts = _count_coverage(monkeypatch)
        gaps = plan.CoverageGaps(fleet, PROFILE)
        filling = [move for move in moves if gaps.is_filled_by(move)]
        assert len(engine_counts) <= len(ZONES)
        # Each zone lacks most of the layers that other zones hold.
        assert filling


class TestController:
    """Engines that are listed after the first plan was made."""

    def test_all_engines_get_layers(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        async def body() -> None:
            system = fleet_system.FleetSystem()
            controller = controllers.PlacementController(
                typing.cast(leases.Lease, test_placement.FakeLease()),
                system.registry,
                system.fleet,
                lambda: (routes.Service(fleet_system.MODEL, 100, PROFILE),),
            )
            fleet = [
                attrs.evolve(engine, layers=None) for engine in make_fleet()
            ]
            async with anyio.create_task_group() as tasks:
                for engine in fleet[:PLACED_ENGINE_COUNT]:
                    system.add(engine)
                tasks.start_soon(controller.run)
                await anyio.sleep(controllers.LIST_QUIET_SECONDS + 1.0)
                test_placement.deliver_heartbeats(system)
                engine_counts = _count_coverage(monkeypatch)
                for engine in fleet[PLACED_ENGINE_COUNT:]:
                    system.add(engine)
                await anyio.sleep(controllers.EMPTY_ENGINE_DELAY_SECONDS / 2)
                # Coverage is not counted once per empty engine.
                assert len(engine_counts) < ENGINE_COUNT
                await anyio.sleep(6.0)
                for engine in system.listed.values():
                    assert system.fleet.at(engine.address).orders_taken
                tasks.cancel_scope.cancel()

        virtual.run(body)


class SlowOrderClient:
    """Calls engines and spends CPU time on each call."""

    def __init__(self, fleet: chain_fleet.ChainFleet) -> None:
        self._fleet = fleet

    async def report(self, upstream: chain.Upstream) -> chain.EngineReport:
        await self._exchange()
        return await self._fleet.report(upstream)

    async def place(
        self, move: plan.Move, expected_orders: int, fencing_token: int
    ) -> bool:
        await self._exchange()
        return await self._fleet.place(move, expected_orders, fencing_token)

    async def _exchange(self) -> None:
        loop = asyncio.get_running_loop()
        assert isinstance(loop, virtual.VirtualLoop)
        with anyio.move_on_after(CALL_TIMEOUT_SECONDS):
            for _ in range(CALL_STEPS):
                loop.pass_time(CALL_STEP_SECONDS)
                await anyio.sleep(0.0002)
            return
        raise errors.CrowdeckError(errors.Code.UPSTREAM_LOST, "no answer")


class TestThousandEngines:
    """A new fleet of a thousand engines and a controller on a slow entry.

    Without a bound on concurrent calls all orders and probes time out, and all
    engines count as lost.
    """

    def test_every_engine_is_ordered_in_time(self) -> None:
        async def body() -> None:
            system = fleet_system.FleetSystem()
            controller = controllers.PlacementController(
                typing.cast(leases.Lease, test_placement.FakeLease()),
                system.registry,
                SlowOrderClient(system.fleet),
                lambda: (routes.Service(fleet_system.MODEL, 100, PROFILE),),
            )
            async with anyio.create_task_group() as tasks:
                for number in range(1_000):
                    name, zone = f"e{number}", ZONES[number % 3]
                    system.add(
                        fleet_system.upstream(name, zone, None, "large")
                    )
                began = anyio.current_time()
                tasks.start_soon(controller.run)
                while not all(
                    engine.orders_taken for engine in system.fleet.upstreams
                ):
                    await anyio.sleep(0.1)
                    assert anyio.current_time() < began + MAX_ORDER_SECONDS
                tasks.cancel_scope.cancel()
            assert not system.registry.failed()

        virtual.run(body)


def _count_coverage(monkeypatch: pytest.MonkeyPatch) -> list[int]:
    """Record the number of engines of each call of ``chain.coverage``."""
    engine_counts: list[int] = []
    coverage = chain.coverage

    def counting(
        engines: typing.Sequence[chain.Upstream], layer_count: int
    ) -> list[int]:
        engine_counts.append(len(engines))
        return coverage(engines, layer_count)

    monkeypatch.setattr(chain, "coverage", counting)
    return engine_counts
