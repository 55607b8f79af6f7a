# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Tests of placement plans, the placement controller and its lease."""

import asyncio
import itertools
import typing

import anyio
import attrs
import hypothesis
from hypothesis import strategies
import pytest

from bench import paths
from crowdeck import chain
from crowdeck import errors
from crowdeck import pipeline
from crowdeck.placement import controller as controllers
from crowdeck.placement import initial_layout
from crowdeck.placement import plan
from crowdeck import route as routes
from crowdeck.routing import bound
from crowdeck.standin import store as standin_store
from crowdeck.state import leases
from crowdeck.state import objects as stores
from tests import fleet_system
from tests import virtual

PROFILE = fleet_system.PROFILE
CARDS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(("large", "small")),
        strategies.sampled_from(("plateau", "almadies", "pikine")),
    ),
    min_size=1,
    max_size=40,
)


def make_engines(
    cards: list[tuple[str, str]],
) -> list[chain.Upstream]:
    return [
        fleet_system.upstream(f"e{number}", zone, None, card)
        for number, (card, zone) in enumerate(cards)
    ]


def carry_out(
    fleet: list[chain.Upstream], moves: list[plan.Move]
) -> list[chain.Upstream]:
    held = {move.upstream.name: move.layers for move in moves}
    return [
        attrs.evolve(engine, layers=held.get(engine.name, engine.layers))
        for engine in fleet
    ]


def settle(fleet: list[chain.Upstream]) -> list[chain.Upstream]:
    """Carry out moves until the plan has none left."""
    for _ in range(200):
        moves = plan.next_moves(fleet, PROFILE, lambda _: True)
        if not moves:
            return fleet
        fleet = carry_out(fleet, moves)
    raise AssertionError("the plan does not settle")


def max_held_layers(fleet: list[chain.Upstream]) -> int:
    return sum(
        plan.fitting_layer_count(
            engine, PROFILE, plan.MIN_CONCURRENT_REQUESTS * 900.0
        )
        for engine in fleet
    )


class TestPlan:
    """Properties of plans."""

    @hypothesis.given(CARDS)
    @hypothesis.settings(max_examples=150, deadline=None)
    def test_settles_with_every_layer_held_if_cards_suffice(
        self, cards: list[tuple[str, str]]
    ) -> None:
        fleet = settle(make_engines(cards))
        counts = chain.coverage(fleet, PROFILE.layer_count)
        if max_held_layers(fleet) >= 2 * PROFILE.layer_count:
            assert min(counts) >= 1

    @hypothesis.given(CARDS)
    @hypothesis.settings(max_examples=100, deadline=None)
    def test_no_engine_holds_more_than_fits(
        self, cards: list[tuple[str, str]]
    ) -> None:
        for engine in settle(make_engines(cards)):
            if engine.layers is not None:
                size = engine.layers.end - engine.layers.first
                card = PROFILE.cards[engine.card]
                assert size * PROFILE.layer_mb < card.memory_mb

    @hypothesis.given(
        CARDS, strategies.lists(strategies.integers(0, 39), max_size=6)
    )
    @hypothesis.settings(max_examples=150, deadline=None)
    def test_no_move_gives_up_the_last_copy(
        self, cards: list[tuple[str, str]], lost: list[int]
    ) -> None:
        fleet = settle(make_engines(cards))
        fleet = [
            engine
            for number, engine in enumerate(fleet)
            if number not in set(lost)
        ]
        for _ in range(50):
            before_counts = chain.coverage(fleet, PROFILE.layer_count)
            moves = plan.next_moves(fleet, PROFILE, lambda _: True)
            if not moves:
                break
            # An engine gives up its layers before it loads others.
            moving = {
                move.upstream.name
                for move in moves
                if move.upstream.layers is not None
            }
            others = [engine for engine in fleet if engine.name not in moving]
            during_counts = chain.coverage(others, PROFILE.layer_count)
            for held_before, held_during in zip(
                before_counts, during_counts, strict=True
            ):
                assert held_before == 0 or held_during > 0
            fleet = carry_out(fleet, moves)

    def test_each_capable_zone_holds_the_whole_model(self) -> None:
        cards = [("large", zone) for zone in ("plateau", "almadies")] * 4
        fleet = settle(make_engines(cards))
        for zone in ("plateau", "almadies"):
            inside = [
                engine for engine in fleet if engine.availability_zone == zone
            ]
            assert min(chain.coverage(inside, PROFILE.layer_count)) >= 1

    def test_busy_engines_get_no_moves(self) -> None:
        fleet = make_engines([("large", "plateau")] * 5)
        moves = plan.next_moves(
            fleet, PROFILE, lambda engine: engine.name != "e0"
        )
        assert {move.upstream.name for move in moves} == {
            "e1",
            "e2",
            "e3",
            "e4",
        }

    def test_gap_is_filled_with_least_loading(self) -> None:
        zone_layers_card = ("plateau", (0, 24), "large")
        fleet = [
            fleet_system.upstream("a", "plateau", (0, 24), "large"),
            fleet_system.upstream("b", *zone_layers_card),
            fleet_system.upstream("c", "plateau", (24, 56), "large"),
            fleet_system.upstream("d", "plateau", (60, 80), "large"),
            fleet_system.upstream("e", "plateau", (0, 9), "small"),
        ]
        moves = plan.next_moves(fleet, PROFILE, lambda _: True)
        assert [(move.upstream.name, move.layers) for move in moves] == [
            ("e", pipeline.LayerRange(56, 60))
        ]

    def test_only_moves_to_layers_that_no_zone_holds_are_urgent(self) -> None:
        # No request is served without such layers, so the move must not wait
        # for running streams to end.
        zone = [
            fleet_system.upstream("a", "plateau", (0, 24), "large"),
            fleet_system.upstream("b", "plateau", (0, 24), "large"),
            fleet_system.upstream("c", "plateau", (24, 56), "large"),
            fleet_system.upstream("d", "plateau", (60, 80), "large"),
            fleet_system.upstream("e", "plateau", (0, 9), "small"),
        ]
        moves = plan.next_moves(zone, PROFILE, lambda _: True)
        assert [move.is_urgent for move in moves] == [True]
        other = [
            fleet_system.upstream("f", "pikine", (0, 30), "large"),
            fleet_system.upstream("g", "pikine", (30, 56), "large"),
            fleet_system.upstream("h", "pikine", (56, 80), "large"),
        ]
        moves = plan.next_moves(zone + other, PROFILE, lambda _: True)
        assert [
            move.is_urgent for move in moves if move.upstream.name == "e"
        ] == [False]

    def test_layers_in_doubt_do_not_make_others_redundant(self) -> None:
        # An order to b was not answered, so b may still give up its layers.
        fleet = [
            fleet_system.upstream("a", "plateau", (0, 24), "large"),
            fleet_system.upstream("b", "plateau", (0, 24), "large"),
            fleet_system.upstream("c", "plateau", (24, 56), "large"),
            fleet_system.upstream("d", "plateau", (60, 80), "large"),
        ]
        moves = plan.next_moves(fleet, PROFILE, lambda _: True)
        assert [move.upstream.name for move in moves] == ["a"]
        guaranteed = [
            attrs.evolve(engine, layers=None) if engine.name == "b" else engine
            for engine in fleet
        ]
        moves = plan.next_moves(
            fleet, PROFILE, lambda engine: engine.name != "b", guaranteed
        )
        assert moves == []

    def test_gap_is_filled_by_a_redundant_engine(self) -> None:
        fleet = settle(make_engines([("small", "plateau")] * 16))
        counts = chain.coverage(fleet, PROFILE.layer_count)
        single = next(
            engine
            for engine in fleet
            if engine.layers is not None and counts[engine.layers.first] == 1
        )
        remaining = [engine for engine in fleet if engine.name != single.name]
        after = settle(remaining)
        assert min(chain.coverage(after, PROFILE.layer_count)) >= 1
        moved = sum(
            1
            for engine in after
            if next(
                former for former in remaining if former.name == engine.name
            )
            != engine
        )
        assert moved <= 2


SIX_LAYERS = attrs.evolve(
    PROFILE,
    layer_count=6,
    layer_mb=10_000.0,
    kv_bytes_per_token=6e6,
    cards={
        "big": chain.AcceleratorType("big", 45_000.0, 1.4, 1.0),
        "middle": chain.AcceleratorType("middle", 32_000.0, 3.0, 3.0),
        "little": chain.AcceleratorType("little", 22_000.0, 16.0, 8.2),
    },
)
MAX_LAYERS = {"big": 4, "middle": 3, "little": 2}


class TestExactPlan:
    """Plans compared with optimal placements, on a model of six layers."""

    def test_capacity_is_four_fifths_of_the_optimum(self) -> None:
        for cards in itertools.combinations_with_replacement(MAX_LAYERS, 3):
            best = max(
                concurrent_requests(fleet) for fleet in all_placements(cards)
            )
            if best < plan.MIN_CONCURRENT_REQUESTS:
                # Nothing is planned without memory for serving requests.
                continue
            fleet = [
                make_engine(number, card, None)
                for number, card in enumerate(cards)
            ]
            for _ in range(10):
                moves = plan.next_moves(fleet, SIX_LAYERS, lambda _: True)
                fleet = carry_out(fleet, moves)
            assert concurrent_requests(fleet) >= 0.8 * best


def make_engine(
    number: int, card: str, held: tuple[int, int] | None
) -> chain.Upstream:
    """Return an engine with so many slots that they limit nothing."""
    engine = fleet_system.upstream(f"e{number}", "plateau", held, card)
    return attrs.evolve(engine, slots=1000)


def concurrent_requests(fleet: list[chain.Upstream]) -> float:
    """Return how many concurrent requests a placement has memory for."""
    return bound.compute_bound(fleet, SIX_LAYERS).concurrent_requests


def all_placements(
    cards: tuple[str, ...],
) -> typing.Iterator[list[chain.Upstream]]:
    """Yield engines with each possible choice of layers."""
    count = SIX_LAYERS.layer_count
    choices = [
        [
            (first, end)
            for first in range(count)
            for end in range(
                first + 1, min(count, first + MAX_LAYERS[card]) + 1
            )
        ]
        for card in cards
    ]
    for layers in itertools.product(*choices):
        yield [
            make_engine(number, card, held)
            for number, (card, held) in enumerate(
                zip(cards, layers, strict=True)
            )
        ]


class TestLargeFleet:
    """A fleet of hundreds of engines in each availability zone."""

    def test_groups_are_bounded_and_hold_the_model(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        # Planning one large group would outlast the controller's lease.
        sizes: list[int] = []
        find_layout = initial_layout.InitialLayoutSearch.find_layout

        def record_size(
            search: initial_layout.InitialLayoutSearch,
            engines: typing.Sequence[chain.Upstream],
        ) -> initial_layout.Layout:
            sizes.append(len(engines))
            return find_layout(search, engines)

        monkeypatch.setattr(
            initial_layout.InitialLayoutSearch, "find_layout", record_size
        )
        fleet = [
            attrs.evolve(engine, layers=None)
            for engine in paths.make_fleet(600)
        ]
        moves = plan.next_moves(fleet, paths.PROFILE, lambda _: True)
        assert max(sizes) <= plan.MAX_GROUP_SIZE
        assert {move.upstream.name for move in moves} == {
            engine.name for engine in fleet
        }
        for zone in paths.ZONES:
            held = [
                attrs.evolve(move.upstream, layers=move.layers)
                for move in moves
                if move.upstream.availability_zone == zone
            ]
            counts = chain.coverage(held, paths.LAYER_COUNT)
            # Each group holds two copies. One group of each zone is searched
            # twice, so the number of searches is not the number of groups.
            group_count = len(fleet) // len(paths.ZONES) // plan.GROUP_SIZE
            assert group_count == 3
            assert min(counts) >= 2 * group_count

    def test_planning_does_not_block_the_event_loop(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        find_layout = initial_layout.InitialLayoutSearch.find_layout

        def take_time(
            search: initial_layout.InitialLayoutSearch,
            engines: typing.Sequence[chain.Upstream],
        ) -> initial_layout.Layout:
            loop = asyncio.get_running_loop()
            assert isinstance(loop, virtual.VirtualLoop)
            # CPU time in seconds of a search on a slow entry.
            loop.pass_time(0.13 * (len(engines) / 40.0) ** 2)
            return find_layout(search, engines)

        monkeypatch.setattr(
            initial_layout.InitialLayoutSearch, "find_layout", take_time
        )

        async def work(
            system: fleet_system.FleetSystem, lease: FakeLease
        ) -> None:
            longest_block_seconds = 0.0
            last_run_at = anyio.current_time()
            for _ in range(1_000):
                await anyio.sleep(0.005)
                now = anyio.current_time()
                longest_block_seconds, last_run_at = (
                    max(longest_block_seconds, now - last_run_at),
                    now,
                )
            assert longest_block_seconds < 0.5
            assert all(
                engine.orders_taken for engine in system.fleet.upstreams
            )

        run_with_controller(work, count=120)


class FakeLease:
    """A lease that is held until a test sets ``is_held`` to false."""

    def __init__(self) -> None:
        self.is_held = True
        self.term = 3
        self.memo: tuple[str, ...] = ()

    def set_memo(self, memo: tuple[str, ...]) -> None:
        self.memo = memo


def run_with_controller(
    work: typing.Callable[
        [fleet_system.FleetSystem, FakeLease], typing.Awaitable[None]
    ],
    count: int = 5,
) -> None:
    async def body() -> None:
        system = fleet_system.FleetSystem()
        lease = FakeLease()
        listed = (
            routes.Service(fleet_system.MODEL, 100, PROFILE),
            # The plan of another model must not change the first plan.
            routes.Service("other", 100, PROFILE),
        )
        controller = controllers.PlacementController(
            typing.cast(leases.Lease, lease),
            system.registry,
            system.fleet,
            lambda: listed,
        )
        for number in range(count):
            system.add(
                fleet_system.upstream(f"e{number}", "plateau", None, "large")
            )
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(controller.run)
            await work(system, lease)
            tasks.cancel_scope.cancel()

    virtual.run(body)


def deliver_heartbeats(system: fleet_system.FleetSystem) -> None:
    """List every engine with the layers it holds, as heartbeats do."""
    for engine in list(system.listed.values()):
        target = system.fleet.at(engine.address)
        if target.answers:
            system.list_instance(target.listed)


class TestController:
    """Orders of the controller and their outcomes."""

    def test_first_plan_waits_until_the_fleet_is_listed(self) -> None:
        async def work(
            system: fleet_system.FleetSystem, lease: FakeLease
        ) -> None:
            await anyio.sleep(0.6)
            system.add(fleet_system.upstream("late", "plateau", None, "large"))
            await anyio.sleep(0.9)
            assert all(
                system.fleet.at(engine.address).orders_taken == 0
                for engine in system.listed.values()
            )
            await anyio.sleep(1.0)
            assert all(
                system.fleet.at(engine.address).orders_taken == 1
                for engine in system.listed.values()
            )

        run_with_controller(work)

    @pytest.mark.parametrize("card", ["", "unknown"])
    def test_engine_of_unknown_memory_gets_no_order(self, card: str) -> None:
        # Guards against an order to hold more layers than fit.
        async def work(
            system: fleet_system.FleetSystem, lease: FakeLease
        ) -> None:
            target = system.add(
                fleet_system.upstream("x", "plateau", None, card)
            )
            await anyio.sleep(10.0)
            deliver_heartbeats(system)
            await anyio.sleep(5.0)
            assert target.orders_taken == 0
            assert system.fleet.at(system.listed["e0"].address).orders_taken

        run_with_controller(work)

    def test_without_the_lease_nothing_is_ordered(self) -> None:
        async def work(
            system: fleet_system.FleetSystem, lease: FakeLease
        ) -> None:
            lease.is_held = False
            await anyio.sleep(5.0)
            assert all(
                system.fleet.at(engine.address).orders_taken == 0
                for engine in system.listed.values()
            )

        run_with_controller(work)

    def test_restarted_engine_gets_layers_again(self) -> None:
        async def work(
            system: fleet_system.FleetSystem, lease: FakeLease
        ) -> None:
            await anyio.sleep(3.0)
            deliver_heartbeats(system)
            await anyio.sleep(0.1)
            engine = system.listed["e1"]
            target = system.fleet.at(engine.address)
            target.listed = attrs.evolve(target.listed, layers=None)
            target.orders_taken = 0
            deliver_heartbeats(system)
            await anyio.sleep(controllers.EMPTY_ENGINE_DELAY_SECONDS + 1.0)
            assert target.orders_taken == 1
            assert target.listed.layers is not None

        run_with_controller(work)

    def test_new_engine_gets_layers_after_the_delay(self) -> None:
        async def work(
            system: fleet_system.FleetSystem, lease: FakeLease
        ) -> None:
            await anyio.sleep(3.0)
            deliver_heartbeats(system)
            await anyio.sleep(0.1)
            new = system.add(
                fleet_system.upstream("new", "plateau", None, "large")
            )
            await anyio.sleep(controllers.EMPTY_ENGINE_DELAY_SECONDS + 1.0)
            assert new.orders_taken == 1

        run_with_controller(work)

    def test_new_engine_takes_the_layers_of_one_that_leaves(self) -> None:
        async def work(
            system: fleet_system.FleetSystem, lease: FakeLease
        ) -> None:
            await anyio.sleep(3.0)
            deliver_heartbeats(system)
            await anyio.sleep(0.1)
            new = system.add(
                fleet_system.upstream("new", "plateau", None, "large")
            )
            await anyio.sleep(1.0)
            assert new.orders_taken == 0
            counts = chain.coverage(
                system.listed.values(), PROFILE.layer_count
            )
            old = next(
                engine
                for engine in system.listed.values()
                if engine.layers and counts[engine.layers.end - 1] == 1
            )
            system.list_instance(attrs.evolve(old, is_leaving=True))
            await anyio.sleep(0.1)
            assert new.orders_taken == 1
            assert new.listed.layers is not None
            assert old.layers is not None
            assert new.listed.layers.end >= old.layers.end

        run_with_controller(work)

    def test_late_order_is_refused(self) -> None:
        async def work(
            system: fleet_system.FleetSystem, lease: FakeLease
        ) -> None:
            await anyio.sleep(3.0)
            deliver_heartbeats(system)
            target = system.fleet.at(system.listed["e1"].address)
            assert target.orders_taken == 1
            late = plan.Move(target.listed, pipeline.LayerRange(0, 3))
            is_taken = await system.fleet.place(late, 0, 1)
            assert not is_taken
            assert target.listed.layers != late.layers

        run_with_controller(work)

    def test_redundant_engine_replaces_a_lost_one(self) -> None:
        async def work(
            system: fleet_system.FleetSystem, lease: FakeLease
        ) -> None:
            await anyio.sleep(3.0)
            deliver_heartbeats(system)
            system.fleet.at(system.listed["e0"].address).is_dead = True
            system.registry.avoid("e0", "refused")
            await anyio.sleep(1.5)
            deliver_heartbeats(system)
            await anyio.sleep(0.1)
            live = [
                engine
                for engine in system.listed.values()
                if engine.name != "e0"
            ]
            assert min(chain.coverage(live, PROFILE.layer_count)) >= 1

        run_with_controller(work, count=8)

    def test_unanswered_order_is_in_doubt_until_a_newer_one(
        self,
    ) -> None:
        async def work(
            system: fleet_system.FleetSystem, lease: FakeLease
        ) -> None:
            place = system.fleet.place
            orders_to_lose = 1

            async def lose_first(
                move: plan.Move, expected_orders: int, fencing_token: int
            ) -> bool:
                nonlocal orders_to_lose
                if move.upstream.name == "e0" and orders_to_lose:
                    orders_to_lose -= 1
                    raise errors.CrowdeckError(
                        errors.Code.UPSTREAM_LOST, "no answer"
                    )
                return await place(move, expected_orders, fencing_token)

            system.fleet.place = lose_first  # type: ignore[method-assign]
            with anyio.fail_after(3.0):
                while not lease.memo:
                    await anyio.sleep(0.01)
            assert lease.memo == ("e0@0",)
            deliver_heartbeats(system)
            await anyio.sleep(controllers.EMPTY_ENGINE_DELAY_SECONDS + 2.0)
            # The engine accepted a newer order that expects the same number of
            # earlier orders, so it refuses the late one.
            assert system.fleet.at(system.listed["e0"].address).orders_taken
            assert lease.memo == ()

        run_with_controller(work)

    def test_layers_that_are_loading_are_not_guaranteed(self) -> None:
        system = fleet_system.FleetSystem()
        listed = fleet_system.upstream("b", "plateau", (0, 24), "large")
        system.add(listed)
        controller = controllers.PlacementController(
            typing.cast(leases.Lease, FakeLease()),
            system.registry,
            system.fleet,
            lambda: (),
        )
        expected = attrs.evolve(listed, layers=pipeline.LayerRange(12, 36))
        guaranteed = controller._guaranteed(expected)
        assert guaranteed.layers == pipeline.LayerRange(12, 24)

    def test_next_controller_does_not_rely_on_orders_in_doubt(self) -> None:
        async def work(
            system: fleet_system.FleetSystem, lease: FakeLease
        ) -> None:
            lease.memo = ("b@0",)
            # Their memory is full, so none of them can grow into the gap.
            zone_layers_card = ("plateau", (0, 39), "large")
            for engine in (
                fleet_system.upstream("a", *zone_layers_card),
                fleet_system.upstream("b", *zone_layers_card),
                fleet_system.upstream("c", "plateau", (39, 78), "large"),
            ):
                system.add(engine)
            # Otherwise b itself could move, because a is guaranteed to keep
            # its layers.
            system.registry.back_off("b", 60.0)
            moved = system.fleet.at(system.listed["a"].address)
            await anyio.sleep(controllers.LATE_ORDER_SECONDS - 1.0)
            assert not moved.orders_taken
            await anyio.sleep(2.0)
            assert moved.orders_taken == 1

        run_with_controller(work, count=0)

    @pytest.mark.parametrize(
        "item", ["", "@", "a", "a@", "@1", "a@b", "a@-1", "a@1.5", "a@\u0661"]
    )
    def test_memo_of_another_writer_is_ignored(self, item: str) -> None:
        # Guards against one write to the lease that ends each of its holders.
        async def work(
            system: fleet_system.FleetSystem, lease: FakeLease
        ) -> None:
            lease.memo = (item, "e1@0")
            await anyio.sleep(4.0)
            target = system.fleet.at(system.listed["e0"].address)
            assert target.orders_taken

        run_with_controller(work)

    def test_neighbours_grow_while_another_order_is_in_doubt(self) -> None:
        async def work(
            system: fleet_system.FleetSystem, lease: FakeLease
        ) -> None:
            lease.memo = ("b@0",)
            zone_layers_card = ("plateau", (0, 24), "large")
            for engine in (
                fleet_system.upstream("a", *zone_layers_card),
                fleet_system.upstream("b", *zone_layers_card),
                fleet_system.upstream("c", "plateau", (24, 56), "large"),
                fleet_system.upstream("d", "plateau", (60, 80), "large"),
            ):
                system.add(engine)
            moved = system.fleet.at(system.listed["a"].address)
            await anyio.sleep(3.0)
            deliver_heartbeats(system)
            counts = chain.coverage(
                system.listed.values(), PROFILE.layer_count
            )
            assert min(counts) >= 1
            await anyio.sleep(controllers.LATE_ORDER_SECONDS)
            assert not moved.orders_taken
            assert (
                system.fleet.at(system.listed["b"].address).listed
                == (system.listed["b"])
            )

        run_with_controller(work, count=0)

    def test_engines_lost_together_are_detected_together(self) -> None:
        # Only one of them failed a request. The others must be probed before
        # their records expire.
        async def work(
            system: fleet_system.FleetSystem, lease: FakeLease
        ) -> None:
            await anyio.sleep(3.0)
            deliver_heartbeats(system)
            lost = {"e0", "e1", "e2"}
            for name in lost:
                system.fleet.at(system.listed[name].address).is_dead = True
            system.registry.avoid("e0", "refused")
            await anyio.sleep(0.7)
            assert {engine.name for engine in system.registry.failed()} == lost

        run_with_controller(work, count=8)

    def test_a_fleet_that_is_silent_as_a_whole_is_not_lost(self) -> None:
        # The network of this process is the likely cause.
        async def work(
            system: fleet_system.FleetSystem, lease: FakeLease
        ) -> None:
            await anyio.sleep(3.0)
            deliver_heartbeats(system)
            for engine in list(system.listed.values()):
                system.fleet.at(engine.address).is_unresponsive = True
            system.registry.avoid("e0", "refused")
            await anyio.sleep(3.0)
            for engine in list(system.listed.values()):
                system.fleet.at(engine.address).is_unresponsive = False
            assert {engine.name for engine in system.registry.failed()} == {
                "e0"
            }
            await anyio.sleep(1.0)
            assert all(
                system.fleet.at(engine.address).orders_taken == 1
                for engine in system.listed.values()
            )

        run_with_controller(work, count=8)

    def test_one_failed_request_moves_nothing(self) -> None:
        async def work(
            system: fleet_system.FleetSystem, lease: FakeLease
        ) -> None:
            await anyio.sleep(3.0)
            deliver_heartbeats(system)
            await anyio.sleep(0.1)
            system.registry.avoid("e0", "a connection broke")
            await anyio.sleep(2.0)
            assert all(
                system.fleet.at(engine.address).orders_taken == 1
                for engine in system.listed.values()
            )
            assert system.registry.is_usable("e0")

        run_with_controller(work, count=8)


class TestLease:
    """Holding, renewal and release of the lease."""

    def test_has_at_most_one_holder(self) -> None:
        async def body() -> None:
            store = standin_store.StandinStore()
            candidates = [
                leases.Lease(store, "duty", f"run-{number}")
                for number in range(4)
            ]
            async with anyio.create_task_group() as tasks:
                for candidate in candidates:
                    tasks.start_soon(candidate.run)
                for _ in range(200):
                    await anyio.sleep(0.1)
                    assert (
                        sum(candidate.is_held for candidate in candidates) <= 1
                    )
                assert any(candidate.is_held for candidate in candidates)
                tasks.cancel_scope.cancel()

        virtual.run(body)

    def test_next_holder_reads_the_memo_of_the_last_one(self) -> None:
        async def body() -> None:
            store = standin_store.StandinStore()
            first = leases.Lease(store, "duty", "first")
            second = leases.Lease(store, "duty", "second")
            async with anyio.create_task_group() as tasks:
                with anyio.CancelScope() as first_scope:
                    async with anyio.create_task_group() as inner:
                        inner.start_soon(first.run)
                        await anyio.sleep(1.0)
                        first.set_memo(("e0@3",))
                        # A memo is written before the next renewal.
                        await anyio.sleep(0.1)
                        first_scope.cancel()
                tasks.start_soon(second.run)
                await anyio.sleep(leases.LEASE_SECONDS + 2.0)
                assert second.is_held
                assert second.memo == ("e0@3",)
                tasks.cancel_scope.cancel()

        virtual.run(body)

    def test_next_holder_after_a_crash_has_a_higher_term(self) -> None:
        async def body() -> None:
            store = standin_store.StandinStore()
            first = leases.Lease(store, "duty", "first")
            second = leases.Lease(store, "duty", "second")
            async with anyio.create_task_group() as tasks:
                with anyio.CancelScope() as first_scope:
                    async with anyio.create_task_group() as inner:
                        inner.start_soon(first.run)
                        await anyio.sleep(1.0)
                        assert first.is_held
                        first_scope.cancel()
                tasks.start_soon(second.run)
                await anyio.sleep(2.0)
                assert not second.is_held
                await anyio.sleep(6.0)
                assert second.is_held and not first.is_held
                assert second.term > first.term
                tasks.cancel_scope.cancel()

        virtual.run(body)

    def test_is_not_held_during_a_store_outage(self) -> None:
        async def body() -> None:
            store = standin_store.StandinStore()
            lease = leases.Lease(store, "duty", "one")
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(lease.run)
                await anyio.sleep(1.0)
                assert lease.is_held
                store.is_down = True
                await anyio.sleep(leases.LEASE_SECONDS)
                assert not lease.is_held
                store.is_down = False
                await anyio.sleep(2 * leases.RENEW_SECONDS)
                assert lease.is_held
                tasks.cancel_scope.cancel()

        virtual.run(body)

    def test_is_held_after_a_lost_reply_to_its_own_write(self) -> None:
        async def body() -> None:
            store = standin_store.StandinStore()
            lease = leases.Lease(store, "duty", "one")
            store.lost_replies = 1
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(lease.run)
                await anyio.sleep(2 * leases.RENEW_SECONDS)
                assert lease.is_held
                tasks.cancel_scope.cancel()

        virtual.run(body)

    def test_released_lease_is_acquired_by_another_soon(self) -> None:
        async def body() -> None:
            store = standin_store.StandinStore()
            first = leases.Lease(store, "duty", "first")
            second = leases.Lease(store, "duty", "second")
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(first.run)
                await anyio.sleep(1.0)
                tasks.start_soon(second.run)
                await anyio.sleep(1.0)
                await first.release()
                assert not first.is_held
                await anyio.sleep(leases.RENEW_SECONDS + 0.1)
                assert second.is_held and not first.is_held
                assert second.term == 2
                tasks.cancel_scope.cancel()

        virtual.run(body)

    def test_malformed_lease_counts_as_held_until_it_expires(self) -> None:
        # A malformed object must not block the lease without end.
        async def body() -> None:
            store = standin_store.StandinStore()
            store.write(leases.KIND, "duty", b"[]")
            lease = leases.Lease(store, "duty", "one")
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(lease.run)
                await anyio.sleep(leases.LEASE_SECONDS - 0.1)
                assert not lease.is_held
                await anyio.sleep(leases.RENEW_SECONDS + 0.2)
                assert lease.is_held
                tasks.cancel_scope.cancel()

        virtual.run(body)


def test_lease_is_not_held_if_the_store_was_never_reached() -> None:
    async def body() -> None:
        store = standin_store.StandinStore()
        store.is_down = True
        lease = leases.Lease(store, "duty", "one")
        with anyio.move_on_after(5.0):
            await lease.run()
        assert not lease.is_held

    virtual.run(body)


def test_store_constants_keep_their_values() -> None:
    assert isinstance(errors.Code.STORE_DOWN, str) and stores.NO_VERSION == 0
