# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""What a placement of layers is worth, at the losses that it has to bear.

A request needs memory at every layer, so a group of engines serves what
its narrowest layer has room for. More copies of a layer survive losses;
each takes the memory of its weights from requests. Both are weighed in
one figure, layer by layer.
"""

import math

import attrs

from crowdeck import chain
from crowdeck import pipeline

# Requests for which a layer should have memory, as a share of one first
# engine's slots: with half of them in use an engine is as busy as its
# owners sized it for.
NEED_SHARE = 0.5
# Chance that an engine is missing at a moment: lost, being replaced or
# loading again. See docs/decisions/0013 for how it was measured.
LOSS_CHANCE = 0.1
# What a layer that loses its only engine is worth beside one with ample
# room: its requests may yet pass through another zone until an engine has
# loaded it. It sets how much worse no room is than little.
MISSING_WORTH = 0.02
# A layer that no engine is to hold at all comes before everything else:
# without it the others are worth nothing.
UNHELD_WORTH = -1000.0
# Rooms are looked up in steps of this share of the need, up to this many
# times the need; beyond that more room gains nothing.
_STEPS = 32
_MOST_NEEDS = 12
# Worths that are remembered, a few MB.
_WORTHS_MOST = 20_000


def _worth(rooms: float) -> float:
    """Return what room for so many times the need is worth.

    The share of requests that find room, as a logarithm: a request has to
    find room at each of the layers, and shares multiply.
    """
    return math.log(MISSING_WORTH + 1.0 - math.exp(-rooms))


_WORTHS = tuple(
    _worth(step / _STEPS) for step in range(_STEPS * _MOST_NEEDS + 1)
)


def _looked_up(rooms: float) -> float:
    return _WORTHS[min(int(rooms * _STEPS + 0.5), len(_WORTHS) - 1)]


def request_tokens(profile: chain.EngineProfile) -> float:
    """Return what a request holds on average while it runs, in tokens."""
    return max(
        1.0, profile.mean_prompt_tokens + profile.mean_answer_tokens / 2.0
    )


def needed_tokens(profile: chain.EngineProfile) -> float:
    """Return the tokens that each layer should have room for."""
    return max(1.0, NEED_SHARE * profile.slots * request_tokens(profile))


@attrs.frozen
class Window:
    """A range of layers for one engine, and what it adds to the worth."""

    layers: pipeline.LayerRange
    gain: float


class LayerCapacity:
    """The room at each layer of a group of engines that serve together.

    :param need: tokens that each layer should have room for.
    """

    def __init__(self, profile: chain.EngineProfile, need: float) -> None:
        self._profile = profile
        self._need = need
        self._held: list[tuple[float, ...]] = [()] * profile.layer_count
        # The same holders come back again and again in a search.
        self._worths: dict[tuple[float, ...], float] = {}

    @property
    def score(self) -> float:
        """What the placement is worth, greater where it is better."""
        return sum(self._layer_worth(held) for held in self._held)

    @property
    def has_gap(self) -> bool:
        """Whether no engine holds some layer."""
        return not all(self._held)

    def add(self, engine: chain.Upstream, layers: pipeline.LayerRange) -> None:
        """Count an engine that holds layers."""
        token_capacity = self._room(engine, layers.end - layers.first)
        for layer in range(layers.first, layers.end):
            self._held[layer] = (*self._held[layer], token_capacity)

    def drop(
        self, engine: chain.Upstream, layers: pipeline.LayerRange
    ) -> None:
        """Take back what :meth:`add` counted."""
        token_capacity = self._room(engine, layers.end - layers.first)
        for layer in range(layers.first, layers.end):
            held = list(self._held[layer])
            held.remove(token_capacity)
            self._held[layer] = tuple(held)

    def best_window(
        self, engine: chain.Upstream, most_layers: int
    ) -> Window | None:
        """Return the layers that an engine without any had best take."""
        found: Window | None = None
        for count in range(1, min(most_layers, len(self._held)) + 1):
            gains = self._gains(self._room(engine, count))
            first, gain = _best_run(gains, count)
            if found is None or gain > found.gain + 1e-9:
                layers = pipeline.LayerRange(first, first + count)
                found = Window(layers, gain)
        return found

    def _room(self, engine: chain.Upstream, count: int) -> float:
        """Return an engine's room beside so many layers, in needs."""
        token_capacity = (
            self._profile.token_capacity(engine.card, count) / self._need
        )
        return min(max(0.0, token_capacity), float(_MOST_NEEDS))

    def _gains(self, token_capacity: float) -> list[float]:
        """Return what an engine with such room would add at each layer."""
        known: dict[tuple[float, ...], float] = {}
        gains = []
        for held in self._held:
            gain = known.get(held)
            if gain is None:
                gain = self._layer_worth((*held, token_capacity))
                gain -= self._layer_worth(held)
                known[held] = gain
            gains.append(gain)
        return gains

    def _layer_worth(self, held: tuple[float, ...]) -> float:
        score = self._worths.get(held)
        if score is None:
            if len(self._worths) >= _WORTHS_MOST:
                self._worths.clear()
            score = self._worths[held] = _held_worth(held)
        return score


def _held_worth(held: tuple[float, ...]) -> float:
    """Return what a layer is worth that has such rooms, in needs."""
    if not held:
        return UNHELD_WORTH
    total = sum(held)
    losses = LOSS_CHANCE * len(held)
    score = max(0.0, 1.0 - losses) * _looked_up(total)
    for token_capacity in held:
        score += LOSS_CHANCE * _looked_up(total - token_capacity)
    return score


def _best_run(gains: list[float], count: int) -> tuple[int, float]:
    """Return where ``count`` neighbours sum up to most, and the sum."""
    total = sum(gains[:count])
    first, most = 0, total
    for start in range(1, len(gains) - count + 1):
        total += gains[start + count - 1] - gains[start - 1]
        if total > most + 1e-9:
            first, most = start, total
    return first, most
