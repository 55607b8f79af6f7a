# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Search for the cheapest path over engines that hold ranges of layers."""

import heapq
import itertools
import typing

import attrs

from crowdeck import chain
from crowdeck import pipeline

# Cost of another engine on a path, in ms a token: one more batch to wait for
# and one more point of failure.
HOP_MS = 1.2
# Engines reject longer paths.
MAX_HOPS = 32


@attrs.frozen
class PartialPath:
    """A path up to the end of one engine's layers.

    :ivar cost: in ms a token.
    """

    cost: float
    hop_count: int
    hop: chain.Hop
    previous: "PartialPath | None"


@attrs.frozen
class Holder:
    """The cheapest engine of one zone that holds a given range of layers.

    :ivar token_ms: cost of a token for each layer, in ms.
    """

    engine: chain.Upstream
    first: int
    end: int
    zone: str
    token_ms: float


CrossingCost = typing.Callable[[str, str], float]
_UNREACHABLE = float("inf")


class CheapestPathSearch:
    """Best-first (A*) search for the cheapest path over the holders of layers.

    A partial path is ranked by its cost so far plus a lower bound on the cost
    of the remaining layers: each at the cheapest engine that holds it, without
    hops and crossings. This avoids expanding most engines of a large fleet,
    since the search blocks the event loop.

    :param crossing: cost of going from one zone to another, in ms a token;
        infinite where that is not possible.
    """

    def __init__(
        self, holders: list[Holder], layer_count: int, crossing: CrossingCost
    ) -> None:
        self._holders = holders
        self._crossing = crossing
        self._layer_count = layer_count
        self._least_remaining = _least_costs(holders, self._layer_count)
        self._queue: list[tuple[float, int, PartialPath]] = []
        self._best: dict[tuple[int, str], float] = {}
        self._holders_by_layer: dict[int, list[Holder]] = {}
        self._order = itertools.count()
        self._zones = {one.zone for one in holders}
        # Cost of the cheapest whole path found so far.
        self._best_total = _UNREACHABLE

    def offer(self, partial: PartialPath) -> None:
        """Add a partial path that may lead to the cheapest path.

        It is dropped if one to the same layer and zone costs no more, or if
        its lower bound is no less than the cost of a complete path.
        """
        end = partial.hop.layers.end
        state = (end, partial.hop.upstream.availability_zone)
        least = partial.cost + self._least_remaining[end]
        if least >= self._best_total or partial.cost >= self._best.get(
            state, _UNREACHABLE
        ):
            return
        self._best[state] = partial.cost
        if end == self._layer_count:
            self._best_total = partial.cost
        heapq.heappush(self._queue, (least, next(self._order), partial))

    def run(self) -> chain.ChainPath | None:
        """Return the cheapest path to the last layer, if there is one."""
        while self._queue:
            _, _, partial = heapq.heappop(self._queue)
            end = partial.hop.layers.end
            zone = partial.hop.upstream.availability_zone
            if partial.cost > self._best[end, zone]:
                continue
            if end == self._layer_count:
                return _build_path(partial)
            if partial.hop_count < MAX_HOPS:
                self._extend(partial, end, zone)
        return None

    def _extend(self, partial: PartialPath, position: int, zone: str) -> None:
        # Every engine runs to the end of its range: a successor that could
        # start earlier can also start there, or is not needed.
        entry_costs = {
            after: partial.cost + HOP_MS + self._crossing(zone, after)
            for after in self._zones
        }
        best, least_remaining = self._best, self._least_remaining
        for holder in self._holders_at(position):
            end = holder.end
            cost = entry_costs[holder.zone] + holder.token_ms * (
                end - position
            )
            if cost + least_remaining[end] >= self._best_total:
                continue
            if cost < best.get((end, holder.zone), _UNREACHABLE):
                hop = chain.Hop(
                    holder.engine, pipeline.LayerRange(position, end)
                )
                self.offer(
                    PartialPath(cost, partial.hop_count + 1, hop, partial)
                )

    def _holders_at(self, position: int) -> list[Holder]:
        found = self._holders_by_layer.get(position)
        if found is None:
            found = self._holders_by_layer[position] = [
                one for one in self._holders if one.first <= position < one.end
            ]
        return found


def _least_costs(holders: list[Holder], layer_count: int) -> list[float]:
    """Return a lower bound on the cost from each layer on, in ms a token."""
    least = [float("inf")] * layer_count
    for holder in holders:
        token_ms = holder.token_ms
        for layer in range(holder.first, min(holder.end, layer_count)):
            if token_ms < least[layer]:
                least[layer] = token_ms
    remaining = [0.0] * (layer_count + 1)
    for layer in reversed(range(layer_count)):
        remaining[layer] = remaining[layer + 1] + least[layer]
    return remaining


def _build_path(partial: PartialPath) -> chain.ChainPath:
    hops: list[chain.Hop] = []
    step: PartialPath | None = partial
    while step is not None:
        hops.append(step.hop)
        step = step.previous
    return chain.ChainPath(tuple(reversed(hops)))
