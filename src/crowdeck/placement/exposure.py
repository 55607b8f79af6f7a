# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Predicts how exposed streams are to the loss of engines in a layout.

The loss of an engine interrupts every stream whose path passes it. So the
exposure of a stream grows with its duration and with the engines on its path.
"""

import typing

from crowdeck import chain
from crowdeck.placement import capacity
from crowdeck.routing import cheapest


def predict(
    engines: typing.Sequence[chain.Upstream],
    profile: chain.EngineProfile,
    need: float,
) -> float:
    """Return the mean product of milliseconds per token and path length.

    The length of a path is its number of engines. Paths are filled in the
    order in which routing prefers them, fastest first, until they hold
    ``need`` tokens. The result is infinite if they cannot. Crossings between
    availability zones cost nothing here.
    """
    free_tokens = {
        one.name: min(_token_capacity(one, profile), need)
        for one in engines
        if one.layers is not None
    }
    held = {one.name: one for one in engines if one.layers is not None}
    min_tokens = capacity.request_tokens(profile)
    left, total = need, 0.0
    while left > 0.0:
        usable = [
            one for one in held.values() if free_tokens[one.name] >= min_tokens
        ]
        path = _fastest_path(usable, profile)
        if path is None:
            return float("inf")
        carried = min(
            left, *(free_tokens[hop.upstream.name] for hop in path.hops)
        )
        total += carried * len(path.hops) * _token_ms(path, profile)
        left -= carried
        for hop in path.hops:
            free_tokens[hop.upstream.name] -= carried
    return total / need


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
    for one in engines:
        assert one.layers is not None
        holders.append(
            cheapest.Holder(
                one,
                one.layers.first,
                one.layers.end,
                one.availability_zone,
                _layer_ms(one, profile),
            )
        )
    search = cheapest.CheapestPathSearch(
        holders, profile.layer_count, lambda before, after: 0.0
    )
    for holder in holders:
        if holder.first == 0:
            assert holder.engine.layers is not None
            hop = chain.Hop(holder.engine, holder.engine.layers)
            cost = holder.token_ms * holder.end
            search.offer(cheapest.PartialPath(cost, 1, hop, None))
    return search.run()


def _layer_ms(engine: chain.Upstream, profile: chain.EngineProfile) -> float:
    card = profile.cards.get(engine.card)
    factor = card.step_factor if card else 1.0
    return profile.step_ms * factor / profile.layer_count


def _token_ms(path: chain.ChainPath, profile: chain.EngineProfile) -> float:
    steps = sum(
        _layer_ms(hop.upstream, profile) * (hop.layers.end - hop.layers.first)
        for hop in path.hops
    )
    return steps + cheapest.HOP_MS * (len(path.hops) - 1)
