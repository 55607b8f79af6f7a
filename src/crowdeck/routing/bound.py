# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Upper bound on what a group of chained engines can serve.

Every request needs an engine for each layer, so the layer whose engines
together have the least capacity limits all requests.
"""

import enum
import typing

import attrs

from crowdeck import chain
from crowdeck import pipeline


class LimitingResource(enum.StrEnum):
    """The resource that limits throughput."""

    MISSING_LAYERS = "layers that no engine holds"
    MEMORY = "memory for requests"
    SLOTS = "requests at once at first engines"
    PREFILL = "reading of prompts"


@attrs.frozen
class Bound:
    """The most that a group of engines can serve.

    :ivar concurrent_requests: maximum number of requests in progress at the
        same time.
    :ivar answer_seconds: time to generate an answer of mean length at that
        concurrency.
    :ivar per_second: requests served in a second.
    :ivar limiting_resource: the resource whose shortage sets the bound.
    :ivar bottleneck: the layers for which that resource is short.
    """

    concurrent_requests: float
    answer_seconds: float
    per_second: float
    limiting_resource: LimitingResource
    bottleneck: pipeline.LayerRange


# Returns an engine's capacity for its layers: requests, or requests a second.
CapacityFunction = typing.Callable[
    [chain.Upstream, pipeline.LayerRange], float
]


def compute_bound(
    engines: typing.Iterable[chain.Upstream], profile: chain.EngineProfile
) -> Bound:
    """Return the bound of the engines of one model."""
    holders = [engine for engine in engines if engine.layers is not None]
    mean_tokens = max(
        1.0, profile.mean_prompt_tokens + profile.mean_answer_tokens / 2.0
    )

    def request_capacity(
        engine: chain.Upstream, layers: pipeline.LayerRange
    ) -> float:
        tokens = profile.token_capacity(engine.card, layers.end - layers.first)
        return max(0.0, tokens) / mean_tokens

    def prefill_rate(
        engine: chain.Upstream, layers: pipeline.LayerRange
    ) -> float:
        layer_share = (layers.end - layers.first) / profile.layer_count
        factor = _accelerator_type(engine, profile).prefill_factor
        tokens_per_second = (
            profile.prefill_tokens_per_second / factor / layer_share
        )
        return tokens_per_second / max(1.0, profile.mean_prompt_tokens)

    memory_requests, memory_bottleneck = _find_bottleneck(
        holders, profile, request_capacity
    )
    if memory_requests <= 0.0:
        return Bound(
            0.0, 0.0, 0.0, LimitingResource.MISSING_LAYERS, memory_bottleneck
        )
    slots = float(
        sum(
            engine.slots
            for engine in holders
            if engine.layers and not engine.layers.first
        )
    )
    concurrent_requests, limiting_resource, bottleneck = (
        memory_requests,
        LimitingResource.MEMORY,
        memory_bottleneck,
    )
    if slots < memory_requests:
        concurrent_requests, limiting_resource = slots, LimitingResource.SLOTS
        bottleneck = pipeline.LayerRange(0, 1)
    seconds = _answer_seconds(
        holders, profile, concurrent_requests, mean_tokens
    )
    per_second = concurrent_requests / seconds
    prefills_per_second, prefill_bottleneck = _find_bottleneck(
        holders, profile, prefill_rate
    )
    if prefills_per_second < per_second:
        per_second, limiting_resource, bottleneck = (
            prefills_per_second,
            LimitingResource.PREFILL,
            prefill_bottleneck,
        )
    return Bound(
        concurrent_requests, seconds, per_second, limiting_resource, bottleneck
    )


def _find_bottleneck(
    engines: list[chain.Upstream],
    profile: chain.EngineProfile,
    capacity_of: CapacityFunction,
) -> tuple[float, pipeline.LayerRange]:
    """Return the least total capacity of a layer, and the layers that have it.

    Of these layers, only the first group of adjacent ones is returned.
    """
    capacities = [0.0] * profile.layer_count
    for engine in engines:
        assert engine.layers is not None
        capacity = capacity_of(engine, engine.layers)
        for layer in range(engine.layers.first, engine.layers.end):
            capacities[layer] += capacity
    least = min(capacities)
    first = end = capacities.index(least)
    while end < len(capacities) and capacities[end] == least:
        end += 1
    return least, pipeline.LayerRange(first, end)


def _answer_seconds(
    engines: list[chain.Upstream],
    profile: chain.EngineProfile,
    concurrent_requests: float,
    mean_tokens: float,
) -> float:
    """Return the seconds that an answer of mean length takes.

    Assumes that the requests of a layer are spread evenly over its engines.
    Ignores the time of transfers between engines, which can only raise the
    bound.
    """
    context_ms = profile.context_ms_per_1000_tokens * mean_tokens / 1000.0
    token_ms = 0.0
    for layer in range(profile.layer_count):
        holders = [
            engine
            for engine in engines
            if engine.layers is not None
            and engine.layers.first <= layer < engine.layers.end
        ]
        batch_size = concurrent_requests / len(holders)
        batch_ms = profile.step_ms + batch_size * (
            profile.sequence_ms + context_ms
        )
        factors = [
            _accelerator_type(engine, profile).step_factor
            for engine in holders
        ]
        token_ms += (
            batch_ms * sum(factors) / len(factors) / profile.layer_count
        )
    return max(1e-3, token_ms * max(1.0, profile.mean_answer_tokens) / 1000.0)


def _accelerator_type(
    engine: chain.Upstream, profile: chain.EngineProfile
) -> chain.AcceleratorType:
    """Return an engine's accelerator type.

    An unknown type gets the speed that the profile states.
    """
    return profile.cards.get(
        engine.card, chain.AcceleratorType(engine.card, 0.0, 1.0, 1.0)
    )
