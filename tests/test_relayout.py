# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Layouts that make a model whole again, beside the best there are."""

import random

import pytest

from crowdeck import pipeline
from crowdeck.placement import relayout

# The layers loaded, as a multiple of the least possible.
LOADED_MOST = 1.3
DRAWN = 300


def least_loading(
    members: list[relayout.Member], layer_count: int
) -> int | None:
    """Return how many layers have to be loaded, by trying every order."""
    never = layer_count * len(members) + 1
    costs = [[never] * (layer_count + 1) for _ in range(2 ** len(members))]
    costs[0][0] = 0
    for gone, row in enumerate(costs):
        for number, one in enumerate(members):
            if gone >> number & 1:
                continue
            then = costs[gone | 1 << number]
            for first in range(layer_count):
                # Whoever holds more serves as one that holds less.
                cost = min(row[first:])
                end_most = min(layer_count, first + one.most)
                for end in range(first + 1, end_most + 1):
                    layers = pipeline.LayerRange(first, end)
                    load = end - first - relayout._overlap(one.held, layers)
                    then[end] = min(then[end], cost + load)
    least = min(row[layer_count] for row in costs)
    return least if least < never else None


def drawn(rng: random.Random) -> tuple[list[relayout.Member], int]:
    """Return engines with a gap, or with layers drawn at will."""
    layer_count = rng.choice((8, 12, 16))
    found: list[relayout.Member] = []
    if rng.random() < 0.5:
        first = 0
        while first < layer_count:
            most = rng.randint(2, max(3, layer_count // 3))
            end = min(layer_count, first + rng.randint(max(1, most - 2), most))
            layers = pipeline.LayerRange(first, end)
            found.append(relayout.Member(f"e{len(found)}", layers, most))
            first = end
        rng.shuffle(found)
        return found[: max(2, len(found) - rng.randint(1, 2))][:6], layer_count
    for number in range(rng.randint(2, 5)):
        most = rng.randint(2, layer_count // 2 + 2)
        held = None
        if rng.random() < 0.8:
            size = rng.randint(1, most)
            first = rng.randint(0, layer_count - size)
            held = pipeline.LayerRange(first, first + size)
        found.append(relayout.Member(f"e{number}", held, most))
    return found, layer_count


def carried_out(
    members: list[relayout.Member], layout: relayout.Layout, layer_count: int
) -> tuple[int, int]:
    """Return the layers loaded and those that nobody holds then."""
    loaded, held = 0, [0] * layer_count
    for one in members:
        layers = layout.get(one.name, one.held)
        if layers is None:
            continue
        size = layers.end - layers.first
        assert layers.end <= layer_count
        assert size <= one.most
        if one.name in layout:
            assert not one.is_fixed
            loaded += size - relayout._overlap(one.held, layers)
        for layer in range(layers.first, layers.end):
            held[layer] += 1
    return loaded, held.count(0)


class TestSmall:
    """Groups small enough for every layout to be tried."""

    @pytest.mark.parametrize("seed", range(4))
    def test_loads_little_more_than_the_least(self, seed: int) -> None:
        rng = random.Random(seed)
        for _ in range(DRAWN):
            members, layer_count = drawn(rng)
            least = least_loading(members, layer_count)
            layout = relayout.cover(members, layer_count)
            if least is None:
                assert not layout
                continue
            loaded, missing = carried_out(members, layout, layer_count)
            assert not missing
            assert loaded <= LOADED_MOST * least

    def test_who_cannot_be_ordered_stays(self) -> None:
        members = [
            relayout.Member("a", pipeline.LayerRange(0, 4), 4, True),
            relayout.Member("b", pipeline.LayerRange(6, 8), 4),
        ]
        assert relayout.cover(members, 8) == {"b": pipeline.LayerRange(4, 8)}


class TestLarge:
    """Groups of which some are lost, with little room to spare."""

    @pytest.mark.parametrize("lost", (1, 2, 5))
    @pytest.mark.parametrize(
        ("count", "layer_count", "most"),
        ((8, 80, 28), (40, 80, 3), (40, 800, 24), (300, 600, 3)),
    )
    def test_is_whole_again_and_does_not_take_long(
        self, count: int, layer_count: int, most: int, lost: int
    ) -> None:
        for seed in range(3):
            members = [
                relayout.Member(
                    f"e{number:03}",
                    pipeline.LayerRange(
                        layer_count * number // count,
                        layer_count * (number + 1) // count,
                    ),
                    most,
                )
                for number in range(count)
            ]
            random.Random(seed).shuffle(members)
            del members[:lost]
            capacity = sum(one.most for one in members)
            parts = 0
            search = relayout.cover_in_parts(members, layer_count)
            while True:
                try:
                    next(search)
                    parts += 1
                except StopIteration as done:
                    layout = done.value
                    break
            if capacity < layer_count:
                assert not layout
                continue
            loaded, missing = carried_out(members, layout, layer_count)
            gap = lost * layer_count // count
            assert not missing
            # Fewer than to lay all of them out anew.
            assert gap <= loaded < layer_count
            assert parts <= 2_000_000 // relayout.TURN_TRIES

    def test_is_whole_where_no_search_ends(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(relayout, "TRIES_MOST", 10)
        members = [
            relayout.Member("a", pipeline.LayerRange(0, 20), 30),
            relayout.Member("b", pipeline.LayerRange(40, 60), 30),
            relayout.Member("c", pipeline.LayerRange(60, 80), 30),
        ]
        layout = relayout.cover(members, 80)
        assert carried_out(members, layout, 80)[1] == 0
