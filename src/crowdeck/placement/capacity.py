# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Scores placements of layers by capacity and redundancy.

A request needs KV cache memory at every layer, so the layer with the least
capacity limits a group of engines. More copies of a layer make it survive the
loss of engines, but their weights take memory from requests. The score of each
layer combines both.
"""

import math

import attrs

from crowdeck import chain
from crowdeck import pipeline

# Each layer should have memory for this share of the requests that one engine
# has slots for. With half of the slots in use an engine is as busy as it was
# sized for.
NEEDED_SLOT_SHARE = 0.5
# Probability that an engine is unavailable because it is lost, being replaced
# or loading. See docs/decisions/0013 for how it was measured.
UNAVAILABLE_PROBABILITY = 0.1
# Share of requests that count as served if a layer has no capacity, because
# another availability zone may serve them. Keeps the logarithm finite. It sets
# how much worse no capacity is than little.
MIN_SERVED_SHARE = 0.02
# Outweighs every other term: a model with an unheld layer serves nothing.
UNHELD_LAYER_SCORE = -1000.0
# Resolution and range of the score table. Relative capacities are multiples of
# the needed tokens; beyond the range more capacity gains nothing.
_STEPS_PER_NEEDED_TOKENS = 32
_MAX_RELATIVE_CAPACITY = 12
# Bounds the memory of the cache of layer scores. They take a few MB.
_MAX_CACHED_SCORES = 20_000


def _score(relative_capacity: float) -> float:
    """Return the score of a capacity in multiples of the needed tokens.

    This is the logarithm of the share of requests that find capacity. A
    request needs it at every layer, so the shares multiply.
    """
    return math.log(MIN_SERVED_SHARE + 1.0 - math.exp(-relative_capacity))


_SCORES = tuple(
    _score(step / _STEPS_PER_NEEDED_TOKENS)
    for step in range(_STEPS_PER_NEEDED_TOKENS * _MAX_RELATIVE_CAPACITY + 1)
)


def _lookup_score(relative_capacity: float) -> float:
    return _SCORES[
        min(
            int(relative_capacity * _STEPS_PER_NEEDED_TOKENS + 0.5),
            len(_SCORES) - 1,
        )
    ]


def request_tokens(profile: chain.EngineProfile) -> float:
    """Return the mean number of tokens that a running request holds."""
    return max(
        1.0, profile.mean_prompt_tokens + profile.mean_answer_tokens / 2.0
    )


def needed_tokens(profile: chain.EngineProfile) -> float:
    """Return for how many tokens each layer should have capacity."""
    return max(
        1.0, NEEDED_SLOT_SHARE * profile.slots * request_tokens(profile)
    )


@attrs.frozen
class ScoredRange:
    """A range of layers for one engine, and its gain in the score."""

    layers: pipeline.LayerRange
    gain: float


class LayerCapacity:
    """The token capacity at each layer of engines that serve together.

    :param needed_tokens: tokens for which each layer should have capacity.
    """

    def __init__(
        self, profile: chain.EngineProfile, needed_tokens: float
    ) -> None:
        self._profile = profile
        self._needed_tokens = needed_tokens
        self._capacities_by_layer: list[tuple[float, ...]] = [
            ()
        ] * profile.layer_count
        # A search evaluates the same combinations of capacities many times.
        self._score_cache: dict[tuple[float, ...], float] = {}

    @property
    def score(self) -> float:
        """The score of the placement; greater is better."""
        return sum(
            self._layer_score(capacities)
            for capacities in self._capacities_by_layer
        )

    @property
    def has_gap(self) -> bool:
        """Whether there is a layer that no engine holds."""
        return not all(self._capacities_by_layer)

    def add(self, engine: chain.Upstream, layers: pipeline.LayerRange) -> None:
        """Add the capacity of an engine that holds ``layers``."""
        relative_capacity = self._relative_capacity(
            engine, layers.end - layers.first
        )
        for layer in range(layers.first, layers.end):
            self._capacities_by_layer[layer] = (
                *self._capacities_by_layer[layer],
                relative_capacity,
            )

    def drop(
        self, engine: chain.Upstream, layers: pipeline.LayerRange
    ) -> None:
        """Remove the capacity that :meth:`add` added."""
        relative_capacity = self._relative_capacity(
            engine, layers.end - layers.first
        )
        for layer in range(layers.first, layers.end):
            capacities = list(self._capacities_by_layer[layer])
            capacities.remove(relative_capacity)
            self._capacities_by_layer[layer] = tuple(capacities)

    def best_range(
        self, engine: chain.Upstream, max_layer_count: int
    ) -> ScoredRange | None:
        """Return the range for an engine that improves the score most."""
        best: ScoredRange | None = None
        for count in range(
            1, min(max_layer_count, len(self._capacities_by_layer)) + 1
        ):
            gains = self._gains(self._relative_capacity(engine, count))
            first, gain = _best_run(gains, count)
            if best is None or gain > best.gain + 1e-9:
                layers = pipeline.LayerRange(first, first + count)
                best = ScoredRange(layers, gain)
        return best

    def _relative_capacity(self, engine: chain.Upstream, count: int) -> float:
        """Return an engine's relative capacity with ``count`` layers.

        This is its token capacity in multiples of the needed tokens, up to a
        maximum.
        """
        relative_capacity = (
            self._profile.token_capacity(engine.card, count)
            / self._needed_tokens
        )
        return min(max(0.0, relative_capacity), float(_MAX_RELATIVE_CAPACITY))

    def _gains(self, relative_capacity: float) -> list[float]:
        """Return the gain of each layer's score by an engine that holds it.

        :param relative_capacity: capacity of that engine.
        """
        known_gains: dict[tuple[float, ...], float] = {}
        gains = []
        for capacities in self._capacities_by_layer:
            gain = known_gains.get(capacities)
            if gain is None:
                gain = self._layer_score((*capacities, relative_capacity))
                gain -= self._layer_score(capacities)
                known_gains[capacities] = gain
            gains.append(gain)
        return gains

    def _layer_score(self, capacities: tuple[float, ...]) -> float:
        score = self._score_cache.get(capacities)
        if score is None:
            if len(self._score_cache) >= _MAX_CACHED_SCORES:
                self._score_cache.clear()
            score = self._score_cache[capacities] = _holders_score(capacities)
        return score


def _holders_score(capacities: tuple[float, ...]) -> float:
    """Return the score of a layer whose holders have the given capacities.

    Approximates the expected score, assuming that at most one holder is
    unavailable. Valid for up to 1 / ``UNAVAILABLE_PROBABILITY`` holders.

    :param capacities: capacity of each holder, in multiples of the needed
        tokens.
    """
    if not capacities:
        return UNHELD_LAYER_SCORE
    total = sum(capacities)
    unavailable_probability = UNAVAILABLE_PROBABILITY * len(capacities)
    score = max(0.0, 1.0 - unavailable_probability) * _lookup_score(total)
    for relative_capacity in capacities:
        score += UNAVAILABLE_PROBABILITY * _lookup_score(
            total - relative_capacity
        )
    return score


def _best_run(gains: list[float], count: int) -> tuple[int, float]:
    """Return the start and sum of the best ``count`` adjacent gains."""
    total = sum(gains[:count])
    first, best_sum = 0, total
    for start in range(1, len(gains) - count + 1):
        total += gains[start + count - 1] - gains[start - 1]
        if total > best_sum + 1e-9:
            first, best_sum = start, total
    return first, best_sum
