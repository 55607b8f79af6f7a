# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Tests of path planning and of the shared retry budget."""

import cProfile
import pstats
import typing

import anyio
import attrs
import hypothesis
from hypothesis import strategies
import pytest

from bench import paths
from crowdeck import chain
from crowdeck import pipeline
from crowdeck.routing import budget as budgets
from crowdeck.routing import hops
from crowdeck.routing import usage as usages
from tests import fleet_system
from tests import virtual

PROFILE = fleet_system.PROFILE
REQUEST = hops.PathRequest(PROFILE, 900.0, "plateau")

RANGES = strategies.lists(
    strategies.tuples(
        strategies.integers(0, 79),
        strategies.integers(1, 40),
        strategies.sampled_from(("plateau", "almadies")),
    ),
    max_size=25,
)


def engines(
    ranges: list[tuple[int, int, str]],
) -> list[chain.Upstream]:
    """Return an engine for each first layer, number of layers and zone."""
    return [
        fleet_system.upstream(
            f"e{number}", zone, (first, min(80, first + count)), "large"
        )
        for number, (first, count, zone) in enumerate(ranges)
    ]


def assert_each_layer_once(path: chain.ChainPath) -> None:
    next_layer = 0
    names = set()
    for hop in path.hops:
        held = hop.upstream.layers
        assert held is not None
        assert hop.layers.first == next_layer
        assert held.first <= hop.layers.first
        assert hop.layers.end <= held.end
        next_layer = hop.layers.end
        names.add(hop.upstream.name)
    assert next_layer == PROFILE.layer_count
    assert len(names) == len(path.hops)


def is_covered(fleet: list[chain.Upstream]) -> bool:
    held: set[int] = set()
    for engine in fleet:
        if engine.layers is not None:
            held.update(range(engine.layers.first, engine.layers.end))
    return len(held) == PROFILE.layer_count


def all_paths(
    fleet: list[chain.Upstream], hops_so_far: tuple[chain.Hop, ...] = ()
) -> typing.Iterator[chain.ChainPath]:
    """Yield every path in which each engine runs to the end of its range."""
    next_layer = hops_so_far[-1].layers.end if hops_so_far else 0
    if next_layer == PROFILE.layer_count:
        yield chain.ChainPath(hops_so_far)
        return
    for engine in fleet:
        held = engine.layers
        if held is None or not held.first <= next_layer < held.end:
            continue
        if not hops_so_far and held.first:
            continue
        layers = pipeline.LayerRange(next_layer, held.end)
        hop = chain.Hop(engine, layers)
        yield from all_paths(fleet, (*hops_so_far, hop))


def has_capacity(engine: chain.Upstream, usage: usages.InFlight) -> bool:
    assert engine.layers is not None
    count = engine.layers.end - engine.layers.first
    token_capacity = PROFILE.token_capacity(engine.card, count)
    return (
        usage.cache_utilization(engine, PROFILE) * token_capacity
        + REQUEST.tokens
        <= token_capacity
    )


class TestCheapestPath:
    """The planned path compared with all possible ones."""

    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.sampled_from((0, 0, 10, 20, 40, 55)),
                strategies.sampled_from((15, 20, 25, 35, 40)),
                strategies.sampled_from(("plateau", "almadies", "pikine")),
            ),
            max_size=9,
        ),
        strategies.lists(strategies.integers(0, 8), max_size=12),
    )
    @hypothesis.settings(max_examples=300, deadline=None)
    def test_no_other_path_is_cheaper(
        self, ranges: list[tuple[int, int, str]], busy_engines: list[int]
    ) -> None:
        async def body() -> None:
            fleet = engines(ranges)
            usage = usages.InFlight()
            for number in busy_engines:
                if number < len(fleet):
                    engine = fleet[number]
                    assert engine.layers is not None
                    hop = chain.Hop(engine, engine.layers)
                    usage.add_request(chain.ChainPath((hop,)), 900.0)
            planner = hops.HopPlanner(usage)
            path = planner.plan(fleet, REQUEST)
            usable = [
                engine for engine in fleet if has_capacity(engine, usage)
            ]
            costs = [
                planner.cost(possible, REQUEST)
                for possible in all_paths(usable)
            ]
            finite_costs = [cost for cost in costs if cost < float("inf")]
            assert (path is None) == (not finite_costs)
            if path is not None:
                assert planner.cost(path, REQUEST) <= min(finite_costs) + 1e-9

        virtual.run(body)

    def test_expands_few_engines_of_a_large_fleet(self) -> None:
        # Planning blocks the event loop, so the search must not expand every
        # engine.
        async def body() -> None:
            fleet = paths.make_fleet(130)
            usage = usages.InFlight()
            usage.set_entry_count(13, 68)
            planner = hops.HopPlanner(usage)
            request = hops.PathRequest(paths.PROFILE, 800.0, paths.ZONES[0])
            profiler = cProfile.Profile(builtins=False)
            planner.plan(fleet, request)
            profiler.runcall(planner.plan, fleet, request)
            call_count = sum(
                function[0]
                for function in pstats.Stats(profiler).stats.values()
            )
            assert call_count < 3_000

        virtual.run(body)


class TestPlan:
    """Paths from the first layer to the last."""

    @hypothesis.given(RANGES)
    @hypothesis.settings(max_examples=200, deadline=None)
    def test_runs_each_layer_once_wherever_that_is_possible(
        self, ranges: list[tuple[int, int, str]]
    ) -> None:
        fleet = engines(ranges)
        planner = hops.HopPlanner(usages.InFlight())
        path = planner.plan(fleet, REQUEST)
        assert (path is not None) == is_covered(fleet)
        if path is not None:
            assert_each_layer_once(path)

    @hypothesis.given(RANGES, strategies.integers(0, 24))
    @hypothesis.settings(max_examples=200, deadline=None)
    def test_replaces_the_failed_hop(
        self, ranges: list[tuple[int, int, str]], failed_hop: int
    ) -> None:
        fleet = engines([(0, 40, "plateau"), (40, 40, "plateau"), *ranges])
        planner = hops.HopPlanner(usages.InFlight())
        path = planner.plan(fleet, REQUEST)
        assert path is not None
        if len(path.hops) < 2:
            return
        failed = path.hops[1 + failed_hop % (len(path.hops) - 1)].upstream
        rest = [engine for engine in fleet if engine.name != failed.name]
        repaired = planner.replace_failed_hops(
            rest, REQUEST, path, {failed.name}
        )
        if repaired is None:
            return
        assert_each_layer_once(repaired)
        assert repaired.hops[0] == path.hops[0]
        assert not repaired.passes(failed.name)

    def test_stays_in_the_zone_of_the_entry(self) -> None:
        fleet = engines(
            [(0, 40, "almadies"), (40, 40, "almadies")]
            + [(0, 40, "plateau"), (40, 40, "plateau")]
        )
        planner = hops.HopPlanner(usages.InFlight())
        path = planner.plan(fleet, REQUEST)
        assert path is not None
        assert path.zone_crossings == 0
        assert path.head.availability_zone == "plateau"

    def test_prefers_another_zone_to_crossing_zones(self) -> None:
        fleet = engines(
            [(0, 40, "almadies"), (40, 40, "almadies"), (0, 40, "plateau")]
        )
        planner = hops.HopPlanner(usages.InFlight())
        path = planner.plan(fleet, REQUEST)
        assert path is not None
        assert path.zone_crossings == 0

    def test_spreads_over_equal_engines(self) -> None:
        fleet = engines([(0, 40, "plateau")] * 3 + [(40, 40, "plateau")] * 3)
        usage = usages.InFlight()
        planner = hops.HopPlanner(usage)
        heads = set()
        for _ in range(3):
            path = planner.plan(fleet, REQUEST)
            assert path is not None
            usage.add_request(path, REQUEST.tokens)
            heads.add(path.head.name)
        assert len(heads) == 3

    def test_full_engines_are_left_out(self) -> None:
        fleet = engines([(0, 40, "plateau"), (40, 40, "plateau")])
        usage = usages.InFlight()
        planner = hops.HopPlanner(usage)
        count = 0
        while True:
            path = planner.plan(fleet, REQUEST)
            if path is None:
                break
            usage.add_request(path, REQUEST.tokens)
            count += 1
        token_capacity = PROFILE.token_capacity("large", 40)
        assert count == int(token_capacity // REQUEST.tokens)

    def test_entries_of_a_zone_share_the_capacity(self) -> None:
        fleet = engines([(0, 40, "plateau"), (40, 40, "plateau")])
        usage = usages.InFlight()
        planner = hops.HopPlanner(usage)
        path = planner.plan(fleet, REQUEST)
        assert path is not None
        usage.add_request(path, REQUEST.tokens)
        single = usage.cache_utilization(fleet[0], PROFILE)
        usage.set_entry_count(3)
        assert usage.cache_utilization(fleet[0], PROFILE) == 3 * single

    def test_load_of_a_first_engine_scales_the_whole_path(self) -> None:
        async def body() -> None:
            fleet = engines([(0, 40, "plateau"), (40, 40, "plateau")])
            usage = usages.InFlight()
            path = hops.HopPlanner(usage).plan(fleet, REQUEST)
            assert path is not None
            usage.add_request(path, REQUEST.tokens)
            single = usage.cache_utilization(fleet[1], PROFILE)
            usage.note_load(fleet[0], 20)
            full = usage.cache_utilization(fleet[1], PROFILE)
            assert full == pytest.approx(20 * single)
            assert usage.sequences(fleet[1]) == 20.0
            await anyio.sleep(usages.LOAD_REPORT_TTL_SECONDS + 0.1)
            assert usage.cache_utilization(fleet[1], PROFILE) == single

        virtual.run(body)

    def test_reported_load_counts_without_own_requests(self) -> None:
        async def body() -> None:
            fleet = engines([(0, 40, "plateau"), (40, 40, "plateau")])
            usage = usages.InFlight()
            usage.note_load(fleet[0], 1000)
            assert hops.HopPlanner(usage).plan(fleet, REQUEST) is None

        virtual.run(body)

    def test_unknown_accelerator_has_unlimited_capacity(self) -> None:
        fleet = [
            attrs.evolve(engine, card="new")
            for engine in engines([(0, 40, "plateau"), (40, 40, "plateau")])
        ]
        planner = hops.HopPlanner(usages.InFlight())
        assert planner.plan(fleet, REQUEST) is not None


class TestBudget:
    """Retries in a sliding window, shared without coordination."""

    def test_all_entries_together_stay_within_it(self) -> None:
        async def body() -> None:
            membership = budgets.FixedMembership(4)
            spent = 0
            for _ in range(membership.entry_count):
                budget = budgets.SharedRetryBudget(
                    0.2, 100.0, 10.0, membership=membership
                )
                for _ in range(50):
                    budget.earn()
                while fleet_system.spend_retry(budget):
                    spent += 1
            assert 0 < spent <= 0.2 * 200 + 100

        virtual.run(body)

    def test_restarted_entries_do_not_spend_it_twice(self) -> None:
        # A restarted process does not know its predecessor's retries.
        async def body() -> None:
            before = budgets.SharedRetryBudget(0.2, 100.0, 10.0)
            spent = 0
            while fleet_system.spend_retry(before):
                spent += 1
            await anyio.sleep(1.5)
            after = budgets.SharedRetryBudget(
                0.2, 100.0, 10.0, anyio.current_time()
            )
            assert not fleet_system.spend_retry(after)
            for _ in range(80):
                await anyio.sleep(0.1)
                while fleet_system.spend_retry(after):
                    spent += 1
            assert 80 < spent <= 100
            await anyio.sleep(10.0)
            assert after.remaining == budgets.STEADY_SHARE * 100.0

        virtual.run(body)

    def test_is_earned_again_as_the_window_slides(self) -> None:
        async def body() -> None:
            budget = budgets.SharedRetryBudget(0.2, 10.0, 10.0)
            while fleet_system.spend_retry(budget):
                pass
            await anyio.sleep(5.0)
            assert not fleet_system.spend_retry(budget)
            # Retries count until their bucket has left the window.
            await anyio.sleep(5.0 + 10.0 / budgets.WINDOW_BUCKETS)
            assert fleet_system.spend_retry(budget)

        virtual.run(body)
