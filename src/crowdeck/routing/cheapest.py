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

# Cost of each further engine on a path, in ms a token: a request waits for one
# more batch, and one more engine may fail. Derived from 1,807 streams over 3
# to 10 engines: an event of four tokens takes 25 ms over three engines whose
# steps add up to 2.4 ms, 39 ms over five and 45 ms over six engines whose
# steps add up to 5.7 ms.
HOP_MS = 1.2
# Engines reject longer paths.
MAX_HOPS = 32


@attrs.frozen
class PartialPath:
    """A path up to the end of one engine's layers.

    :ivar cost_ms: cost of a token up to the end of ``hop``.
    """

    cost_ms: float
    hop_count: int
    hop: chain.Hop
    previous: "PartialPath | None"


@attrs.frozen
class Holder:
    """An engine that holds a range of layers, and its cost.

    :ivar layer_ms: cost of a token in each of its layers, in ms.
    """

    engine: chain.Upstream
    first: int
    end: int
    zone: str
    layer_ms: float


# Returns the cost of going from one zone to another, in ms a token.
CrossingCost = typing.Callable[[str, str], float]
_UNREACHABLE = float("inf")


class CheapestPathSearch:
    """Best-first (A*) search for the cheapest path over the holders of layers.

    A partial path is ranked by its cost so far plus a lower bound on the cost
    of the remaining layers: each at the cheapest engine that holds it, without
    the costs of hops and crossings. In this order few partial paths are
    extended even in a large fleet, which matters since the search blocks the
    event loop. With every path weighed, a choice over 130 engines in five
    zones takes 10.5 ms of a full core instead of 2.1 ms.

    :param crossing: cost of going from one zone to another, in ms a token;
        infinite where that is not possible.
    """

    def __init__(
        self, holders: list[Holder], layer_count: int, crossing: CrossingCost
    ) -> None:
        self._holders = holders
        self._crossing = crossing
        self._layer_count = layer_count
        self._least_remaining_ms = _least_remaining_costs(
            holders, self._layer_count
        )
        self._queue: list[tuple[float, int, PartialPath]] = []
        # Least cost of a partial path, by the end of its last hop's layers
        # and the zone of that hop.
        self._least_cost_ms: dict[tuple[int, str], float] = {}
        self._holders_by_layer: dict[int, list[Holder]] = {}
        # Breaks ties in the queue, as partial paths have no order.
        self._order = itertools.count()
        self._zones = {holder.zone for holder in holders}
        # Cost of the cheapest complete path found so far.
        self._least_total_ms = _UNREACHABLE

    def offer(self, partial: PartialPath) -> None:
        """Add a partial path that may lead to the cheapest path.

        It is dropped if one to the same layer and zone costs no more, or if
        its lower bound is no less than the cost of a complete path.
        """
        end = partial.hop.layers.end
        state = (end, partial.hop.upstream.availability_zone)
        lower_bound_ms = partial.cost_ms + self._least_remaining_ms[end]
        if (
            lower_bound_ms >= self._least_total_ms
            or partial.cost_ms >= self._least_cost_ms.get(state, _UNREACHABLE)
        ):
            return
        self._least_cost_ms[state] = partial.cost_ms
        if end == self._layer_count:
            self._least_total_ms = partial.cost_ms
        heapq.heappush(
            self._queue, (lower_bound_ms, next(self._order), partial)
        )

    def run(self) -> chain.ChainPath | None:
        """Return the cheapest path to the last layer, if there is one."""
        while self._queue:
            _, _, partial = heapq.heappop(self._queue)
            end = partial.hop.layers.end
            zone = partial.hop.upstream.availability_zone
            if partial.cost_ms > self._least_cost_ms[end, zone]:
                # A cheaper partial path to this layer and zone was found.
                continue
            if end == self._layer_count:
                return _build_path(partial)
            if partial.hop_count < MAX_HOPS:
                self._extend(partial, end, zone)
        return None

    def _extend(
        self, partial: PartialPath, first_layer: int, zone: str
    ) -> None:
        # Each engine runs from ``first_layer`` to the end of its range, which
        # may begin earlier.
        cost_ms_by_zone = {
            to_zone: partial.cost_ms + HOP_MS + self._crossing(zone, to_zone)
            for to_zone in self._zones
        }
        least_cost_ms, least_remaining_ms = (
            self._least_cost_ms,
            self._least_remaining_ms,
        )
        for holder in self._holders_at(first_layer):
            end = holder.end
            cost_ms = cost_ms_by_zone[holder.zone] + holder.layer_ms * (
                end - first_layer
            )
            if cost_ms + least_remaining_ms[end] >= self._least_total_ms:
                continue
            if cost_ms < least_cost_ms.get((end, holder.zone), _UNREACHABLE):
                hop = chain.Hop(
                    holder.engine, pipeline.LayerRange(first_layer, end)
                )
                self.offer(
                    PartialPath(cost_ms, partial.hop_count + 1, hop, partial)
                )

    def _holders_at(self, layer: int) -> list[Holder]:
        found = self._holders_by_layer.get(layer)
        if found is None:
            found = self._holders_by_layer[layer] = [
                holder
                for holder in self._holders
                if holder.first <= layer < holder.end
            ]
        return found


def _least_remaining_costs(
    holders: list[Holder], layer_count: int
) -> list[float]:
    """Return a lower bound on the cost from each layer on, in ms a token."""
    least_ms = [float("inf")] * layer_count
    for holder in holders:
        layer_ms = holder.layer_ms
        for layer in range(holder.first, min(holder.end, layer_count)):
            if layer_ms < least_ms[layer]:
                least_ms[layer] = layer_ms
    remaining_ms = [0.0] * (layer_count + 1)
    for layer in reversed(range(layer_count)):
        remaining_ms[layer] = remaining_ms[layer + 1] + least_ms[layer]
    return remaining_ms


def _build_path(partial: PartialPath) -> chain.ChainPath:
    hops: list[chain.Hop] = []
    current: PartialPath | None = partial
    while current is not None:
        hops.append(current.hop)
        current = current.previous
    return chain.ChainPath(tuple(reversed(hops)))
