# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""A large fleet of which some engines are listed after the first plan.

What callers saw: of a fleet of 1,001 engines 40 to 135 ever held layers, and
up to nine requests of ten were refused. The order of events: the first plan
was made for the engines listed by then. All others came as newcomers beside
them, and whoever held the lease looked at the plan again.

The cause: a place for each newcomer was found one by one beside all that was
held, in one piece: 961 beside 40 took 62 s of a full core, the longest piece
28 s, and 0.9 ms more for each of them to see whether it might wait. The lease
is held for 3.8 s. So it lapsed before anything was ordered, and the next
holder fared the same. Which of them were listed by the first plan differs
from play to play, and so did what was served.
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

# Large enough for several parts in each zone.
COUNT = 300
HELD = 20
ZONES = ("a", "b", "c")
PROFILE = fleet_system.PROFILE
# What a call takes of a small entry's time, and after how long it is given up.
STEP_SECONDS = 0.0008
EXCHANGE_STEPS = 4
GIVEN_UP_SECONDS = 0.5
ORDERED_SECONDS = 10.0


def a_fleet() -> list[chain.Upstream]:
    """Return engines of which the first few hold a copy of the model."""
    found = [
        fleet_system.upstream(f"e{number}", ZONES[number % 3], None, "large")
        for number in range(COUNT)
    ]
    for number, layers in enumerate(
        pipeline.LayerRange(4 * one, 4 * one + 4) for one in range(HELD)
    ):
        found[number] = attrs.evolve(found[number], layers=layers)
    return found


class TestPlan:
    """What a plan for newcomers takes at a time."""

    def test_is_made_in_small_parts(self) -> None:
        batches = list(plan.iter_moves(a_fleet(), PROFILE, lambda _: True))
        assert sum(map(len, batches)) == COUNT - HELD
        assert max(map(len, batches)) <= plan.MAX_GROUP_SIZE

    def test_a_crowd_is_laid_out_in_groups_that_hold_the_model(self) -> None:
        for batch in plan.iter_moves(a_fleet(), PROFILE, lambda _: True):
            if batch:
                placed = [
                    attrs.evolve(one.upstream, layers=one.layers)
                    for one in batch
                ]
                assert 0 not in chain.coverage(placed, PROFILE.layer_count)

    def test_of_a_few_is_made_in_small_parts(self) -> None:
        fleet = [one for one in a_fleet() if one.layers is not None]
        fleet += a_fleet()[-9 * plan.FILL_BATCH_SIZE :]
        batches = list(plan.iter_moves(fleet, PROFILE, lambda _: True))
        assert sum(map(len, batches)) == 9 * plan.FILL_BATCH_SIZE
        assert max(map(len, batches)) <= plan.FILL_BATCH_SIZE

    def test_is_the_same_as_in_one_piece(self) -> None:
        fleet = a_fleet()
        moves = plan.next_moves(fleet, PROFILE, lambda _: True)
        named = {one.upstream.name: one.layers for one in moves}
        assert len(named) == COUNT - HELD
        held = [
            attrs.evolve(one, layers=named.get(one.name, one.layers))
            for one in fleet
        ]
        assert not plan.next_moves(held, PROFILE, lambda _: True)

    def test_gaps_are_found_once_for_all_moves(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        fleet = a_fleet()
        moves = plan.next_moves(fleet, PROFILE, lambda _: True)
        counted = _count_coverage(monkeypatch)
        gaps = plan.CoverageGaps(fleet, PROFILE)
        filling = [move for move in moves if gaps.is_filled_by(move)]
        assert len(counted) <= len(ZONES)
        # Each zone lacks most of the layers that the others hold.
        assert filling


class TestDuty:
    """Engines that are listed after the first plan was made."""

    def test_all_get_layers(self, monkeypatch: pytest.MonkeyPatch) -> None:
        async def body() -> None:
            system = fleet_system.FleetSystem()
            duty = controllers.PlacementController(
                typing.cast(leases.Lease, test_placement._Ledger()),
                system.registry,
                system.fleet,
                lambda: (routes.Service(fleet_system.MODEL, 100, PROFILE),),
            )
            fleet = [attrs.evolve(one, layers=None) for one in a_fleet()]
            async with anyio.create_task_group() as tasks:
                for one in fleet[:HELD]:
                    system.add(one)
                tasks.start_soon(duty.run)
                await anyio.sleep(controllers.LIST_QUIET_SECONDS + 1.0)
                test_placement.tell_all(system)
                counted = _count_coverage(monkeypatch)
                for one in fleet[HELD:]:
                    system.add(one)
                await anyio.sleep(controllers.EMPTY_ENGINE_DELAY_SECONDS / 2)
                # Of all looks until then, and not of each newcomer.
                assert len(counted) < COUNT
                await anyio.sleep(6.0)
                for one in system.listed.values():
                    assert system.fleet.at(one.address).orders_taken
                tasks.cancel_scope.cancel()

        virtual.run(body)


class CostlyOrders:
    """Calls of engines, each of which takes some of a small entry's time."""

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
        with anyio.move_on_after(GIVEN_UP_SECONDS):
            for _ in range(EXCHANGE_STEPS):
                loop.pass_time(STEP_SECONDS)
                await anyio.sleep(0.0002)
            return
        raise errors.CrowdeckError(errors.Code.UPSTREAM_LOST, "no answer")


class TestThousand:
    """A new fleet of a thousand engines, and a giver of 0.4 of a core.

    What callers saw: 40 engines held layers, and nine requests of ten were
    refused. The order of events: the first part of the plan, 40 orders, was
    carried out; all others were sent within a second, each with a question
    first, and the giver had 988 connections open at once. None was answered
    before it was given up, so all these engines were taken for failed, and
    asked all at once again whether they live, twice a second.
    """

    def test_every_layer_is_ordered_in_time(self) -> None:
        async def body() -> None:
            system = fleet_system.FleetSystem()
            duty = controllers.PlacementController(
                typing.cast(leases.Lease, test_placement._Ledger()),
                system.registry,
                CostlyOrders(system.fleet),
                lambda: (routes.Service(fleet_system.MODEL, 100, PROFILE),),
            )
            async with anyio.create_task_group() as tasks:
                for number in range(1_000):
                    name, zone = f"e{number}", ZONES[number % 3]
                    system.add(
                        fleet_system.upstream(name, zone, None, "large")
                    )
                began = anyio.current_time()
                tasks.start_soon(duty.run)
                while not all(
                    one.orders_taken for one in system.fleet.upstreams
                ):
                    await anyio.sleep(0.1)
                    assert anyio.current_time() < began + ORDERED_SECONDS
                tasks.cancel_scope.cancel()
            assert not system.registry.avoided()

        virtual.run(body)


def _count_coverage(monkeypatch: pytest.MonkeyPatch) -> list[int]:
    """Have each look through a group of engines counted."""
    counted: list[int] = []
    coverage = chain.coverage

    def counting(
        engines: typing.Sequence[chain.Upstream], layer_count: int
    ) -> list[int]:
        counted.append(len(engines))
        return coverage(engines, layer_count)

    monkeypatch.setattr(chain, "coverage", counting)
    return counted
