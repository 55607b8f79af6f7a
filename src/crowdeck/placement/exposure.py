# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Predicts how exposed streams are to the loss of engines in a layout.

The loss of an engine interrupts every stream whose path passes it. So the
exposure of a stream grows with its duration and with the engines on its path.
Layouts of the same capacity may differ in both by half.
"""

import typing

from crowdeck import chain
from crowdeck.placement import capacity
from crowdeck.routing import cheapest


def predict(
    engines: typing.Sequence[chain.Upstream],
    profile: chain.EngineProfile,
    needed_tokens: float,
) -> float:
    """Return milliseconds per token times path length, averaged.

    The average is over ``needed_tokens`` of streams. The length of a path is
    its number of engines. Paths are filled in the order in which routing
    prefers them, fastest first, until they hold ``needed_tokens``. The result
    is infinite if they cannot. Crossings between availability zones cost
    nothing here.
    """
    free_tokens = {
        engine.name: min(_token_capacity(engine, profile), needed_tokens)
        for engine in engines
        if engine.layers is not None
    }
    engines_by_name = {
        engine.name: engine for engine in engines if engine.layers is not None
    }
    mean_request_tokens = capacity.request_tokens(profile)
    remaining_tokens, total = needed_tokens, 0.0
    while remaining_tokens > 0.0:
        usable = [
            engine
            for engine in engines_by_name.values()
            if free_tokens[engine.name] >= mean_request_tokens
        ]
        path = _fastest_path(usable, profile)
        if path is None:
            return float("inf")
        carried_tokens = min(
            remaining_tokens,
            *(free_tokens[hop.upstream.name] for hop in path.hops),
        )
        total += carried_tokens * len(path.hops) * _token_ms(path, profile)
        remaining_tokens -= carried_tokens
        for hop in path.hops:
            free_tokens[hop.upstream.name] -= carried_tokens
    return total / needed_tokens


def _token_capacity(
    engine: chain.Upstream, profile: chain.EngineProfile
) -> float:
    assert engine.layers is not None
    count = engine.layers.end - engine.layers.first
    return profile.token_capacity(engine.card, count)


def _fastest_path(
    engines: list[chain.Upstream], profile: chain.EngineProfile
) -> chain.ChainPath | None:
    """Return the path with the least time per token on idle engines."""
    holders = []
    for engine in engines:
        assert engine.layers is not None
        holders.append(
            cheapest.Holder(
                engine,
                engine.layers.first,
                engine.layers.end,
                engine.availability_zone,
                _layer_ms(engine, profile),
            )
        )
    search = cheapest.CheapestPathSearch(
        holders, profile.layer_count, lambda before, after: 0.0
    )
    for holder in holders:
        if holder.first == 0:
            assert holder.engine.layers is not None
            hop = chain.Hop(holder.engine, holder.engine.layers)
            cost = holder.layer_ms * holder.end
            search.offer(cheapest.PartialPath(cost, 1, hop, None))
    return search.run()


def _layer_ms(engine: chain.Upstream, profile: chain.EngineProfile) -> float:
    card = profile.cards.get(engine.card)
    factor = card.step_factor if card else 1.0
    return profile.step_ms * factor / profile.layer_count


def _token_ms(path: chain.ChainPath, profile: chain.EngineProfile) -> float:
    """Return the milliseconds per token on a path of idle engines."""
    compute_ms = sum(
        _layer_ms(hop.upstream, profile) * (hop.layers.end - hop.layers.first)
        for hop in path.hops
    )
    return compute_ms + cheapest.HOP_MS * (len(path.hops) - 1)
