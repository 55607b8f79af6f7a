# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Tests of layouts that restore a model, compared with optimal ones."""

import random

import pytest

from crowdeck import pipeline
from crowdeck.placement import relayout

# Bound on the layers loaded, as a multiple of the optimum.
MAX_LOADING_FACTOR = 1.3
GROUPS_PER_SEED = 300


def optimal_loading(
    members: list[relayout.Member], layer_count: int
) -> int | None:
    """Return the least number of layers to load, by exhaustive search."""
    unreachable_cost = layer_count * len(members) + 1
    costs = [
        [unreachable_cost] * (layer_count + 1)
        for _ in range(2 ** len(members))
    ]
    costs[0][0] = 0
    for placed, row in enumerate(costs):
        for number, member in enumerate(members):
            if placed >> number & 1:
                continue
            next_row = costs[placed | 1 << number]
            for first in range(layer_count):
                # Covering more layers is never worse.
                cost = min(row[first:])
                max_end = min(layer_count, first + member.max_layers)
                for end in range(first + 1, max_end + 1):
                    layers = pipeline.LayerRange(first, end)
                    load = end - first - relayout._overlap(member.held, layers)
                    next_row[end] = min(next_row[end], cost + load)
    least_loaded = min(row[layer_count] for row in costs)
    return least_loaded if least_loaded < unreachable_cost else None


def random_group(rng: random.Random) -> tuple[list[relayout.Member], int]:
    """Return random engines, either with a gap or with arbitrary layers."""
    layer_count = rng.choice((8, 12, 16))
    group: list[relayout.Member] = []
    if rng.random() < 0.5:
        first = 0
        while first < layer_count:
            max_layers = rng.randint(2, max(3, layer_count // 3))
            end = min(
                layer_count,
                first + rng.randint(max(1, max_layers - 2), max_layers),
            )
            layers = pipeline.LayerRange(first, end)
            group.append(relayout.Member(f"e{len(group)}", layers, max_layers))
            first = end
        rng.shuffle(group)
        return group[: max(2, len(group) - rng.randint(1, 2))][:6], layer_count
    for number in range(rng.randint(2, 5)):
        max_layers = rng.randint(2, layer_count // 2 + 2)
        held = None
        if rng.random() < 0.8:
            size = rng.randint(1, max_layers)
            first = rng.randint(0, layer_count - size)
            held = pipeline.LayerRange(first, first + size)
        group.append(relayout.Member(f"e{number}", held, max_layers))
    return group, layer_count


def loaded_and_missing(
    members: list[relayout.Member], layout: relayout.Layout, layer_count: int
) -> tuple[int, int]:
    """Return the layers loaded and the number of layers left unheld."""
    loaded, holder_counts = 0, [0] * layer_count
    for member in members:
        layers = layout.get(member.name, member.held)
        if layers is None:
            continue
        size = layers.end - layers.first
        assert layers.end <= layer_count
        assert size <= member.max_layers
        if member.name in layout:
            assert not member.is_fixed
            loaded += size - relayout._overlap(member.held, layers)
        for layer in range(layers.first, layers.end):
            holder_counts[layer] += 1
    return loaded, holder_counts.count(0)


class TestSmallGroups:
    """Groups small enough for an exhaustive search."""

    @pytest.mark.parametrize("seed", range(4))
    def test_loads_little_more_than_the_optimum(self, seed: int) -> None:
        rng = random.Random(seed)
        for _ in range(GROUPS_PER_SEED):
            members, layer_count = random_group(rng)
            least_loaded = optimal_loading(members, layer_count)
            layout = relayout.cover(members, layer_count)
            if least_loaded is None:
                assert not layout
                continue
            loaded, missing = loaded_and_missing(members, layout, layer_count)
            assert not missing
            assert loaded <= MAX_LOADING_FACTOR * least_loaded

    def test_fixed_engine_keeps_its_layers(self) -> None:
        members = [
            relayout.Member("a", pipeline.LayerRange(0, 4), 4, True),
            relayout.Member("b", pipeline.LayerRange(6, 8), 4),
        ]
        assert relayout.cover(members, 8) == {"b": pipeline.LayerRange(4, 8)}


class TestLargeGroups:
    """Groups that lose engines and have little memory to spare."""

    @pytest.mark.parametrize("lost", (1, 2, 5))
    @pytest.mark.parametrize(
        ("count", "layer_count", "max_layers"),
        ((8, 80, 28), (40, 80, 3), (40, 800, 24), (300, 600, 3)),
    )
    def test_model_is_restored_within_a_bounded_search(
        self, count: int, layer_count: int, max_layers: int, lost: int
    ) -> None:
        for seed in range(3):
            members = [
                relayout.Member(
                    f"e{number:03}",
                    pipeline.LayerRange(
                        layer_count * number // count,
                        layer_count * (number + 1) // count,
                    ),
                    max_layers,
                )
                for number in range(count)
            ]
            random.Random(seed).shuffle(members)
            del members[:lost]
            total_max_layers = sum(member.max_layers for member in members)
            yield_count = 0
            computation = relayout.cover_cooperatively(members, layer_count)
            while True:
                try:
                    next(computation)
                    yield_count += 1
                except StopIteration as done:
                    layout = done.value
                    break
            if total_max_layers < layer_count:
                assert not layout
                continue
            loaded, missing = loaded_and_missing(members, layout, layer_count)
            gap = lost * layer_count // count
            assert not missing
            # Less than loading the whole model again.
            assert gap <= loaded < layer_count
            assert yield_count <= 2_000_000 // relayout.YIELD_TRIES

    def test_model_is_restored_if_the_budget_is_used_up(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(relayout, "MAX_TRIES", 10)
        members = [
            relayout.Member("a", pipeline.LayerRange(0, 20), 30),
            relayout.Member("b", pipeline.LayerRange(40, 60), 30),
            relayout.Member("c", pipeline.LayerRange(60, 80), 30),
        ]
        layout = relayout.cover(members, 80)
        assert loaded_and_missing(members, layout, 80)[1] == 0
