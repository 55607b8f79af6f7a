# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""The cheapest way from the first layer to the last, over engines' ranges."""

import heapq
import itertools
import typing

import attrs

from crowdeck import chain
from crowdeck import pipeline

# One more engine on a path is one more thing to fail and one more batch to
# wait for. In ms a token, from 1,807 streams over 3 to 10 engines of three
# paces: an event of four tokens took 25 ms over three engines that step in
# 2.4 ms together, 39 over five and 45 over six that do so in 5.7.
HOP_MS = 1.2
# Engines refuse longer paths.
MAX_HOPS = 32


@attrs.frozen
class PartialPath:
    """The cheapest way found to the end of one engine's part."""

    cost: float
    count: int
    hop: chain.Hop
    previous: "PartialPath | None"


@attrs.frozen
class Holder:
    """The cheapest of the engines of one zone that hold the same layers.

    :ivar token_ms: what a token costs there for each layer.
    """

    engine: chain.Upstream
    first: int
    end: int
    zone: str
    token_ms: float


Crossing = typing.Callable[[str, str], float]
_NEVER = float("inf")


class CheapestPathSearch:
    """The cheapest way over the holders of layers, the likeliest first.

    Ways are gone on with in the order of what they cost so far and must
    cost at least from there on: each layer left at the cheapest of all that
    hold it, without hand-overs. Most of a large fleet is never looked at:
    with every way weighed, a choice over 130 engines of five zones took
    10.5 ms of a full core instead of 2.1 (``python -m bench.paths``), in
    which an entry relays nothing, a small one for three times as long.

    :param crossing: what going from one zone to another costs, in ms a
        token; infinite where that is not possible.
    """

    def __init__(
        self, holders: list[Holder], layer_count: int, crossing: Crossing
    ) -> None:
        self._holders = holders
        self._crossing = crossing
        self._last = layer_count
        self._rest = _least_rest(holders, self._last)
        self._heap: list[tuple[float, int, PartialPath]] = []
        self._best: dict[tuple[int, str], float] = {}
        self._fitting: dict[int, list[Holder]] = {}
        self._order = itertools.count()
        self._zones = {one.zone for one in holders}
        # What the cheapest whole path found so far costs.
        self._bound = _NEVER

    def offer(self, leg: PartialPath) -> None:
        """Take a way for one to go on with, unless a cheaper one is known."""
        end = leg.hop.layers.end
        state = (end, leg.hop.upstream.availability_zone)
        least = leg.cost + self._rest[end]
        if least >= self._bound or leg.cost >= self._best.get(state, _NEVER):
            return
        self._best[state] = leg.cost
        if end == self._last:
            self._bound = leg.cost
        heapq.heappush(self._heap, (least, next(self._order), leg))

    def run(self) -> chain.ChainPath | None:
        """Return the cheapest path to the last layer, if there is one."""
        while self._heap:
            _, _, leg = heapq.heappop(self._heap)
            end = leg.hop.layers.end
            zone = leg.hop.upstream.availability_zone
            if leg.cost > self._best[end, zone]:
                continue
            if end == self._last:
                return _path(leg)
            if leg.count < MAX_HOPS:
                self._go_on(leg, end, zone)
        return None

    def _go_on(self, leg: PartialPath, position: int, zone: str) -> None:
        # Every engine goes to the end of its range: whoever could follow
        # earlier can follow there too, or is not needed.
        ways_in = {
            after: leg.cost + HOP_MS + self._crossing(zone, after)
            for after in self._zones
        }
        best, rest = self._best, self._rest
        for holder in self._at(position):
            end = holder.end
            cost = ways_in[holder.zone] + holder.token_ms * (end - position)
            if cost + rest[end] >= self._bound:
                continue
            if cost < best.get((end, holder.zone), _NEVER):
                hop = chain.Hop(
                    holder.engine, pipeline.LayerRange(position, end)
                )
                self.offer(PartialPath(cost, leg.count + 1, hop, leg))

    def _at(self, position: int) -> list[Holder]:
        found = self._fitting.get(position)
        if found is None:
            found = self._fitting[position] = [
                one for one in self._holders if one.first <= position < one.end
            ]
        return found


def _least_rest(holders: list[Holder], last: int) -> list[float]:
    """Return what the layers from each one on cost at the least, in ms."""
    least = [float("inf")] * last
    for holder in holders:
        token_ms = holder.token_ms
        for layer in range(holder.first, min(holder.end, last)):
            if token_ms < least[layer]:
                least[layer] = token_ms
    rest = [0.0] * (last + 1)
    for layer in reversed(range(last)):
        rest[layer] = rest[layer + 1] + least[layer]
    return rest


def _path(leg: PartialPath) -> chain.ChainPath:
    hops: list[chain.Hop] = []
    step: PartialPath | None = leg
    while step is not None:
        hops.append(step.hop)
        step = step.previous
    return chain.ChainPath(tuple(reversed(hops)))
