# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Tests of placement scores and of layouts for engines that start empty."""

import attrs
import pytest

from crowdeck import chain
from crowdeck import pipeline
from crowdeck.placement import capacity
from crowdeck.placement import initial_layout
from crowdeck.placement import plan
from tests import fleet_system

# A model, and the mixed cards of an availability zone that hold 1.7 copies of
# it.
MIXED_PROFILE = attrs.evolve(
    fleet_system.PROFILE,
    kv_bytes_per_token=590_000.0,
    cards={
        "wide": chain.AcceleratorType("wide", 72_000.0, 2.4, 3.2),
        "middle": chain.AcceleratorType("middle", 21_600.0, 16.0, 8.2),
        "narrow": chain.AcceleratorType("narrow", 14_400.0, 5.3, 7.9),
    },
)
ZONE_CARDS = ("wide",) * 2 + ("middle",) * 4 + ("narrow",) * 4


def make_engine(number: int, card: str) -> chain.Upstream:
    return fleet_system.upstream(f"e{number}", "plateau", None, card)


def capacity_by_layer(
    fleet: list[chain.Upstream], layout: initial_layout.Layout
) -> list[float]:
    """Return the token capacity at each layer."""
    capacities = [0.0] * MIXED_PROFILE.layer_count
    for engine in fleet:
        layers = layout[engine.name]
        token_capacity = MIXED_PROFILE.token_capacity(
            engine.card, layers.end - layers.first
        )
        for layer in range(layers.first, layers.end):
            capacities[layer] += token_capacity
    return capacities


class TestInitialLayout:
    """Layouts of engines that start together without layers."""

    def layout(self, fleet: list[chain.Upstream]) -> initial_layout.Layout:
        search = initial_layout.InitialLayoutSearch(
            MIXED_PROFILE,
            lambda engine, token_capacity: plan.fitting_layer_count(
                engine, MIXED_PROFILE, token_capacity
            ),
            plan.MIN_CONCURRENT_REQUESTS
            * capacity.request_tokens(MIXED_PROFILE),
        )
        return search.find_layout(fleet)

    def test_no_layer_limits_the_capacity(self) -> None:
        # With the same capacity kept on every engine, only some layers would
        # get two copies, and those with one would limit all paths.
        fleet = [
            make_engine(number, card) for number, card in enumerate(ZONE_CARDS)
        ]
        capacities = capacity_by_layer(fleet, self.layout(fleet))
        assert min(capacities) >= 2.0 * capacity.needed_tokens(MIXED_PROFILE)

    def test_spare_memory_holds_more_copies(self) -> None:
        fleet = [
            make_engine(number, card) for number, card in enumerate(ZONE_CARDS)
        ]
        layout = self.layout(fleet)
        held = sum(layers.end - layers.first for layers in layout.values())
        assert held >= 1.4 * MIXED_PROFILE.layer_count

    def test_coverage_comes_before_capacity(self) -> None:
        # Cards that hold the model once, with the minimum capacity.
        fleet = [make_engine(number, "narrow") for number in range(10)]
        assert min(capacity_by_layer(fleet, self.layout(fleet))) > 0.0

    @pytest.mark.parametrize(
        ("count", "cards"), [(60, ZONE_CARDS), (18, ("wide",))]
    )
    def test_search_stays_bounded_in_a_large_group(
        self,
        monkeypatch: pytest.MonkeyPatch,
        count: int,
        cards: tuple[str, ...],
    ) -> None:
        # The search blocks the event loop, so its time must not grow with the
        # square of the number of engines, nor with the number of layers that
        # each can hold.
        searches = 0
        best_range = capacity.LayerCapacity.best_range

        def count_searches(
            layer_capacity: capacity.LayerCapacity,
            engine: chain.Upstream,
            max_layers: int,
        ) -> capacity.ScoredRange | None:
            nonlocal searches
            searches += 1
            return best_range(layer_capacity, engine, max_layers)

        monkeypatch.setattr(
            capacity.LayerCapacity, "best_range", count_searches
        )
        fleet = [
            make_engine(number, cards[number % len(cards)])
            for number in range(count)
        ]
        capacities = capacity_by_layer(fleet, self.layout(fleet))
        assert searches <= len(fleet)
        assert min(capacities) >= 4.0 * capacity.needed_tokens(MIXED_PROFILE)


class TestLayerCapacity:
    """The range that is chosen for one more engine."""

    def test_a_missing_layer_comes_first(self) -> None:
        layer_capacity = capacity.LayerCapacity(
            MIXED_PROFILE, capacity.needed_tokens(MIXED_PROFILE)
        )
        layer_capacity.add(make_engine(0, "wide"), pipeline.LayerRange(0, 30))
        layer_capacity.add(make_engine(1, "wide"), pipeline.LayerRange(36, 80))
        best = layer_capacity.best_range(make_engine(2, "narrow"), 8)
        assert best is not None
        assert best.layers.first <= 30
        assert best.layers.end >= 36

    def test_layers_with_least_capacity_come_next(self) -> None:
        layer_capacity = capacity.LayerCapacity(
            MIXED_PROFILE, capacity.needed_tokens(MIXED_PROFILE)
        )
        layer_capacity.add(make_engine(0, "wide"), pipeline.LayerRange(0, 40))
        layer_capacity.add(make_engine(1, "wide"), pipeline.LayerRange(40, 80))
        layer_capacity.add(
            make_engine(2, "middle"), pipeline.LayerRange(0, 10)
        )
        layer_capacity.add(
            make_engine(3, "middle"), pipeline.LayerRange(70, 80)
        )
        best = layer_capacity.best_range(make_engine(4, "middle"), 12)
        assert best is not None
        assert best.layers.first >= 10
        assert best.layers.end <= 70

    def test_drop_reverts_add(self) -> None:
        layer_capacity = capacity.LayerCapacity(
            MIXED_PROFILE, capacity.needed_tokens(MIXED_PROFILE)
        )
        before = layer_capacity.score
        layer_capacity.add(make_engine(0, "wide"), pipeline.LayerRange(0, 40))
        assert layer_capacity.score > before
        layer_capacity.drop(make_engine(0, "wide"), pipeline.LayerRange(0, 40))
        assert layer_capacity.score == before
