# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""What engines that chain their stages can serve at most, and what binds.

An upper bound: every request needs, for each layer, an engine that holds
it, so no more can pass than the engines of the narrowest layer take
together. What routing reaches of it, under faults or without, is
measured; this is what to measure it against.
"""

import enum
import typing

import attrs

from crowdeck import chain
from crowdeck import pipeline


class Binding(enum.StrEnum):
    """What a bound comes from."""

    MISSING = "layers that no engine holds"
    MEMORY = "memory for requests"
    SLOTS = "requests at once at first engines"
    PREFILL = "reading of prompts"


@attrs.frozen
class Bound:
    """The most that a group of engines can serve.

    :ivar concurrent_requests: requests in progress.
    :ivar answer_seconds: how long an answer of usual length takes with so
        many in progress.
    :ivar per_second: requests served in a second.
    :ivar binding: what it is that allows no more.
    :ivar bottleneck: the layers at which that is so.
    """

    concurrent_requests: float
    answer_seconds: float
    per_second: float
    binding: Binding
    bottleneck: pipeline.LayerRange


Weigh = typing.Callable[[chain.Upstream, pipeline.LayerRange], float]


def bound(
    engines: typing.Iterable[chain.Upstream], profile: chain.EngineProfile
) -> Bound:
    """Return the bound of engines that serve one model together."""
    held = [one for one in engines if one.layers is not None]
    usual = max(
        1.0, profile.mean_prompt_tokens + profile.mean_answer_tokens / 2.0
    )

    def token_capacity(
        engine: chain.Upstream, layers: pipeline.LayerRange
    ) -> float:
        tokens = profile.token_capacity(engine.card, layers.end - layers.first)
        return max(0.0, tokens) / usual

    def reading(engine: chain.Upstream, layers: pipeline.LayerRange) -> float:
        share = (layers.end - layers.first) / profile.layer_count
        factor = _card(engine, profile).prefill_factor
        rate = profile.prefill_tokens_per_second / factor / share
        return rate / max(1.0, profile.mean_prompt_tokens)

    memory, at_memory = _narrowest(held, profile, token_capacity)
    if memory <= 0.0:
        return Bound(0.0, 0.0, 0.0, Binding.MISSING, at_memory)
    slots = float(
        sum(one.slots for one in held if one.layers and not one.layers.first)
    )
    concurrent_requests, binding, bottleneck = (
        memory,
        Binding.MEMORY,
        at_memory,
    )
    if slots < memory:
        concurrent_requests, binding = slots, Binding.SLOTS
        bottleneck = pipeline.LayerRange(0, 1)
    seconds = _answer_seconds(held, profile, concurrent_requests, usual)
    per_second = concurrent_requests / seconds
    read, at_read = _narrowest(held, profile, reading)
    if read < per_second:
        per_second, binding, bottleneck = read, Binding.PREFILL, at_read
    return Bound(concurrent_requests, seconds, per_second, binding, bottleneck)


def _narrowest(
    engines: list[chain.Upstream],
    profile: chain.EngineProfile,
    weigh: Weigh,
) -> tuple[float, pipeline.LayerRange]:
    """Return the least that any layer allows, and the layers where."""
    sums = [0.0] * profile.layer_count
    for engine in engines:
        assert engine.layers is not None
        weight = weigh(engine, engine.layers)
        for layer in range(engine.layers.first, engine.layers.end):
            sums[layer] += weight
    least = min(sums)
    first = end = sums.index(least)
    while end < len(sums) and sums[end] == least:
        end += 1
    return least, pipeline.LayerRange(first, end)


def _answer_seconds(
    engines: list[chain.Upstream],
    profile: chain.EngineProfile,
    concurrent_requests: float,
    usual: float,
) -> float:
    """Return how long the tokens of a usual answer take.

    Each engine of a layer is taken for as much as its part of the room;
    the time between stages is left out, which keeps this a bound.
    """
    context = profile.context_ms * usual / 1000.0
    total = 0.0
    for layer in range(profile.layer_count):
        inside = [
            one
            for one in engines
            if one.layers is not None
            and one.layers.first <= layer < one.layers.end
        ]
        together = concurrent_requests / len(inside)
        step = profile.step_ms + together * (profile.sequence_ms + context)
        factors = [_card(one, profile).step_factor for one in inside]
        total += step * sum(factors) / len(factors) / profile.layer_count
    return max(1e-3, total * max(1.0, profile.mean_answer_tokens) / 1000.0)


def _card(
    engine: chain.Upstream, profile: chain.EngineProfile
) -> chain.AcceleratorType:
    """Return an engine's card; an unknown one is taken for the fastest."""
    return profile.cards.get(
        engine.card, chain.AcceleratorType(engine.card, 0.0, 1.0, 1.0)
    )
