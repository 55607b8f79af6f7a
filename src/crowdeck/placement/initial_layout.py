# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Finds a layout for engines that start together without layers."""

import typing

from crowdeck import chain
from crowdeck import pipeline
from crowdeck.placement import capacity

# Token capacity that a starting layout leaves on each engine, in multiples of
# the needed tokens. Low factors give many copies of each layer, high ones few
# copies with more free memory. Each starting layout is improved, and the best
# result is used. On four fleets of mixed cards no single factor was best.
START_CAPACITY_FACTORS = (0.0, 0.5, 1.0, 2.0, 4.0)
# Passes over all engines that improve a starting layout. On three of four
# fleets the third pass changed nothing.
MAX_PASSES = 4
# Groups of more engines, or of engines that can hold more layers in total, get
# one starting layout and one pass: the search time grows with the square of
# the number of engines, and it blocks the event loop. 13 engines with 185 to
# 400 layers in total take 0.1 to 0.25 s of processor time, 107 engines would
# take 4.8 s.
MAX_SEARCHED_ENGINES = 24
MAX_SEARCHED_LAYERS = 500
LARGE_START_CAPACITY_FACTORS = (1.0,)
LARGE_MAX_PASSES = 1

Layout = dict[str, pipeline.LayerRange]
LayerLimit = typing.Callable[[chain.Upstream, float], int]


class InitialLayoutSearch:
    """Assigns layers to engines that serve one model together.

    :param layer_limit: returns how many layers an engine can hold and still
        have capacity for the given number of tokens.
    :param min_token_capacity: token capacity that every engine keeps.
    """

    def __init__(
        self,
        profile: chain.EngineProfile,
        layer_limit: LayerLimit,
        min_token_capacity: float,
    ) -> None:
        self._profile = profile
        self._layer_limit = layer_limit
        self._min_token_capacity = min_token_capacity
        self._needed_tokens = capacity.needed_tokens(profile)

    def find_layout(self, engines: typing.Sequence[chain.Upstream]) -> Layout:
        """Return the layers of each engine that gets some."""
        # Large cards take long ranges first; small ones follow.
        ordered = sorted(
            engines,
            key=lambda engine: (
                -self._layer_limit(engine, self._min_token_capacity),
                engine.name,
            ),
        )
        is_large = len(ordered) > MAX_SEARCHED_ENGINES or (
            sum(
                self._layer_limit(engine, self._min_token_capacity)
                for engine in ordered
            )
            > MAX_SEARCHED_LAYERS
        )
        start_factors = (
            LARGE_START_CAPACITY_FACTORS
            if is_large
            else START_CAPACITY_FACTORS
        )
        passes = LARGE_MAX_PASSES if is_large else MAX_PASSES
        best: Layout = {}
        best_score = float("-inf")
        for factor in start_factors:
            layout = self._start_layout(ordered, factor * self._needed_tokens)
            score = self._improve(ordered, layout, passes)
            if score > best_score + 1e-9:
                best, best_score = layout, score
        return best

    def _start_layout(
        self, engines: list[chain.Upstream], token_capacity: float
    ) -> Layout:
        """Assign consecutive ranges, starting over after the last layer."""
        layer_count = self._profile.layer_count
        layout: Layout = {}
        first = 0
        for engine in engines:
            range_length = self._layer_limit(
                engine, max(token_capacity, self._min_token_capacity)
            )
            if not range_length:
                continue
            end = min(layer_count, first + range_length)
            layout[engine.name] = pipeline.LayerRange(first, end)
            first = end % layer_count
        return layout

    def _improve(
        self, engines: list[chain.Upstream], layout: Layout, passes: int
    ) -> float:
        """Assign each engine in turn the range that improves the score most.

        Returns the score of the improved layout.
        """
        layer_capacity = capacity.LayerCapacity(
            self._profile, self._needed_tokens
        )
        for engine in engines:
            if engine.name in layout:
                layer_capacity.add(engine, layout[engine.name])
        for _ in range(passes):
            if not self._improve_once(layer_capacity, engines, layout):
                break
        return layer_capacity.score

    def _improve_once(
        self,
        layer_capacity: capacity.LayerCapacity,
        engines: list[chain.Upstream],
        layout: Layout,
    ) -> bool:
        """Assign each engine its best range; return whether any changed."""
        has_moved = False
        for engine in engines:
            held = layout.get(engine.name)
            if held is not None:
                layer_capacity.drop(engine, held)
            max_layers = self._layer_limit(engine, self._min_token_capacity)
            best = layer_capacity.best_range(engine, max_layers)
            if best is None:
                continue
            layer_capacity.add(engine, best.layers)
            layout[engine.name] = best.layers
            has_moved = has_moved or best.layers != held
        return has_moved
