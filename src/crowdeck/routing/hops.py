# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Chooses paths over chained HTTP engines, each with a range of layers."""

import typing

import attrs

from crowdeck import chain
from crowdeck import pipeline
from crowdeck.routing import cheapest
from crowdeck.routing import heads as head_records

# Relative increase of an engine's cost when its cache is full. The increase
# grows with the square of the utilization, so that load moves to other
# engines before the cache is full.
FULL_CACHE_FACTOR = 2.0
# Constant part of the cost of crossing an idle link between zones, in ms a
# token.
CROSSING_MS = 0.5
# Weight of the transfer time in the cost of crossing a link; above 1, since a
# prompt also delays the other transfers on the link. A link serves one prompt
# after the other. With 20, a third of all paths cross zones under normal load,
# prompts queue for the link, and other streams pause for 0.1 s behind them.
TRANSFER_TIME_WEIGHT = 50.0
# Utilization above which a link between zones counts as full. It leaves room
# for other traffic, which is unknown here.
MAX_LINK_UTILIZATION = 0.7
# Cost of a first engine in another zone, in ms a token: each event crosses a
# link to the entry. Such transfers are charged for. With this value they are
# used when the engines of the own zone are about half full or failing.
OTHER_ZONE_HEAD_MS = 8.0


class Usage(typing.Protocol):
    """Estimates of the load of engines and links."""

    @property
    def knows_load(self) -> bool:
        """Whether the entries told one another their load."""
        ...

    def sequences(self, upstream: chain.Upstream) -> float:
        """Return the number of sequences, one a request, at an engine."""
        ...

    def cache_utilization(
        self, upstream: chain.Upstream, profile: chain.EngineProfile
    ) -> float:
        """Return the used share of an engine's cache."""
        ...

    def known_cache_utilization(
        self, upstream: chain.Upstream, profile: chain.EngineProfile
    ) -> float:
        """Return the used share of an engine's cache that all entries told.

        Call it only where :attr:`knows_load`.
        """
        ...

    def zone_link_utilization(
        self, zone: str, other_zone: str, profile: chain.EngineProfile
    ) -> float:
        """Return the used share of the link between two zones."""
        ...

    def known_sequences(self, upstream: chain.Upstream) -> float:
        """Return the number of sequences that all entries told.

        Call it only where :attr:`knows_load`.
        """
        ...

    def first_event_seconds(self, upstream: chain.Upstream) -> float:
        """Return other entries' recent mean time to a first event.

        It is 0 if they told none.
        """
        ...


def _accept_any(_: chain.Upstream) -> bool:
    return True


@attrs.frozen
class PathRequest:
    """The request that a path is planned for.

    :ivar tokens: mean number of tokens in the request's KV cache while it
        runs.
    :ivar zone: the availability zone of the entry.
    :ivar objective_seconds: latency objective of the first event.
    :ivar may_be_head: returns whether an engine may be the first of the path.
    :ivar max_cache_utilization: share of an engine's KV cache up to which the
        request may fill it.
    :ivar max_first_event_seconds: longest recent time to a first event at
        the path's first engine.
    :ivar accepts_late_head: whether a slower or barred first engine may be
        used if there is no path otherwise.
    """

    profile: chain.EngineProfile
    tokens: float
    zone: str
    objective_seconds: float = 0.5
    may_be_head: typing.Callable[[chain.Upstream], bool] = _accept_any
    max_cache_utilization: float = 1.0
    max_first_event_seconds: float = float("inf")
    accepts_late_head: bool = False


class HopPlanner:
    """Finds the cheapest path that runs each layer once, in order."""

    def __init__(self, usage: Usage) -> None:
        self._usage = usage
        self._heads = head_records.HeadRecords()
        self._knows_load = False
        # Caches for the choice of one path, which reads the values of each
        # engine many times.
        self._utilization_by_engine: dict[str, float] = {}
        self._layer_ms_by_engine: dict[str, float] = {}
        self._token_capacity_by_size: dict[tuple[str, int], float] = {}
        self._crossing_ms_by_zones: dict[tuple[str, str], float] = {}

    @property
    def heads(self) -> head_records.HeadRecords:
        """How first engines have served recent streams."""
        return self._heads

    def plan(
        self,
        engines: typing.Iterable[chain.Upstream],
        request: PathRequest,
        head: chain.Hop | None = None,
    ) -> chain.ChainPath | None:
        """Return the cheapest path, or ``None`` if none has enough capacity.

        :param engines: engines that may be used.
        :param head: the first hop, if it has to be kept.
        """
        self._clear_caches()
        usable = [
            engine for engine in engines if self._has_capacity(engine, request)
        ]
        path = self._search(usable, request, head)
        if path is not None or not request.accepts_late_head:
            return path
        if not any(self._is_untimely(engine, request) for engine in usable):
            return None
        any_head = attrs.evolve(request, max_first_event_seconds=float("inf"))
        return self._search(usable, any_head, head)

    def _search(
        self,
        usable: list[chain.Upstream],
        request: PathRequest,
        head: chain.Hop | None,
    ) -> chain.ChainPath | None:
        """Return the cheapest path over engines that have room."""
        holders = self._holders(usable, request, head)
        search = cheapest.CheapestPathSearch(
            holders,
            request.profile.layer_count,
            lambda from_zone, to_zone: self._crossing_ms(
                from_zone, to_zone, request
            ),
        )
        if head is not None:
            search.offer(cheapest.PartialPath(0.0, 1, head, None))
        else:
            for partial in self._first_hops(usable, request):
                search.offer(partial)
        return search.run()

    def cost(self, path: chain.ChainPath, request: PathRequest) -> float:
        """Return the cost of a token along a planned path, in ms."""
        self._clear_caches()
        head = path.hops[0]
        total_ms = self._head_ms(head.upstream, request)
        for previous, hop in zip(path.hops, path.hops[1:], strict=False):
            zones = (
                previous.upstream.availability_zone,
                hop.upstream.availability_zone,
            )
            total_ms += cheapest.HOP_MS + self._crossing_ms(*zones, request)
            total_ms += self._engine_ms(
                hop.upstream, hop.layers.first, request
            )
        return total_ms

    def replace_failed_hops(
        self,
        engines: typing.Sequence[chain.Upstream],
        request: PathRequest,
        path: chain.ChainPath,
        excluded: typing.Container[str],
    ) -> chain.ChainPath | None:
        """Return a path that replaces the hops at excluded engines.

        The other hops keep their KV cache of the request; only new ones
        have to compute it again. If single hops cannot be replaced, all
        but the first are planned again. Return ``None`` if there is no such
        path.

        :param path: the path in use. Its first hop stays unless its engine is
            excluded and others replace it.
        :param excluded: names of engines to leave out.
        """
        self._clear_caches()
        kept = {
            hop.upstream.name
            for hop in path.hops
            if hop.upstream.name not in excluded
        }
        candidates = [engine for engine in engines if engine.name not in kept]
        new_hops: list[chain.Hop] = []
        for hop in path.hops:
            if hop.upstream.name in kept:
                new_hops.append(hop)
                continue
            used = {new_hop.upstream.name for new_hop in new_hops}
            unused = [
                engine for engine in candidates if engine.name not in used
            ]
            previous = new_hops[-1] if new_hops else None
            replacement = self._cover(unused, request, hop.layers, previous)
            if replacement is None:
                return self.plan(engines, request, path.hops[0])
            new_hops += replacement
        if len(new_hops) > cheapest.MAX_HOPS:
            return None
        return chain.ChainPath(tuple(new_hops))

    def _clear_caches(self) -> None:
        self._knows_load = self._usage.knows_load
        self._utilization_by_engine.clear()
        self._layer_ms_by_engine.clear()
        self._token_capacity_by_size.clear()
        self._crossing_ms_by_zones.clear()

    def _cover(
        self,
        engines: list[chain.Upstream],
        request: PathRequest,
        layers: pipeline.LayerRange,
        previous: chain.Hop | None,
    ) -> list[chain.Hop] | None:
        """Return hops that run ``layers``, or ``None`` if there are none.

        Chosen greedily: of the engines that hold the next layer, each hop
        takes the one with the least cost per layer, counted to the end of
        the engine's range.

        :param previous: the hop before them, if there is one.
        """
        usable = [
            engine for engine in engines if self._has_capacity(engine, request)
        ]
        hops: list[chain.Hop] = []
        next_layer = layers.first
        while next_layer < layers.end:
            zone = (
                previous.upstream.availability_zone
                if previous
                else request.zone
            )
            best = self._cheapest_at(usable, request, next_layer, zone)
            if best is None:
                return None
            assert best.layers is not None
            end = min(best.layers.end, layers.end)
            previous = chain.Hop(best, pipeline.LayerRange(next_layer, end))
            hops.append(previous)
            usable.remove(best)
            next_layer = end
        return hops

    def _cheapest_at(
        self,
        usable: list[chain.Upstream],
        request: PathRequest,
        first_layer: int,
        zone: str,
    ) -> chain.Upstream | None:
        """Return the engine with the least cost per layer, if there is any.

        :param first_layer: the first layer that it has to run.
        :param zone: zone of the previous engine, or of the entry.
        """

        def cost(engine: chain.Upstream) -> float:
            assert engine.layers is not None
            crossing_ms = self._crossing_ms(
                zone, engine.availability_zone, request
            )
            layer_count = engine.layers.end - first_layer
            total_ms = (
                self._engine_ms(engine, first_layer, request)
                + cheapest.HOP_MS
                + crossing_ms
            )
            return total_ms / layer_count

        candidates = [
            engine
            for engine in usable
            if engine.layers is not None
            and engine.layers.first <= first_layer < engine.layers.end
        ]
        best = min(candidates, key=cost, default=None)
        if best is not None and cost(best) == float("inf"):
            return None
        return best

    def _crossing_ms(
        self, from_zone: str, to_zone: str, request: PathRequest
    ) -> float:
        """Return the cost of going from one zone to another, in ms a token.

        It is infinite while the link between them is full: another prompt
        would delay every stream that crosses it.
        """
        if from_zone == to_zone:
            return 0.0
        cost_ms = self._crossing_ms_by_zones.get((from_zone, to_zone))
        if cost_ms is None:
            utilization = self._usage.zone_link_utilization(
                from_zone, to_zone, request.profile
            )
            cost_ms = float("inf")
            if utilization <= MAX_LINK_UTILIZATION:
                cost_ms = _idle_crossing_ms(request.profile) * (
                    1.0 + utilization
                )
            self._crossing_ms_by_zones[from_zone, to_zone] = cost_ms
        return cost_ms

    def _has_capacity(
        self, engine: chain.Upstream, request: PathRequest
    ) -> bool:
        if engine.layers is None:
            return False
        size_key = (engine.card, engine.layers.end - engine.layers.first)
        token_capacity = self._token_capacity_by_size.get(size_key)
        if token_capacity is None:
            token_capacity = self._token_capacity_by_size[size_key] = (
                request.profile.token_capacity(*size_key)
            )
        if token_capacity == float("inf"):
            return True
        limit = request.max_cache_utilization * token_capacity
        if self._knows_load:
            utilization = self._usage.known_cache_utilization(
                engine, request.profile
            )
        else:
            utilization = self._utilization(engine, request)
        return utilization * token_capacity + request.tokens <= limit

    def _first_hops(
        self, usable: list[chain.Upstream], request: PathRequest
    ) -> typing.Iterator[cheapest.PartialPath]:
        """Yield the partial paths of one hop with which a path may begin."""
        for engine in usable:
            layers = engine.layers
            if layers is None or layers.first != 0:
                continue
            if layers.end > request.profile.layer_count:
                continue
            if not request.may_be_head(engine):
                continue
            if not self._has_slot(engine, request):
                continue
            if self._is_untimely(engine, request):
                continue
            cost_ms = self._head_ms(engine, request)
            yield cheapest.PartialPath(
                cost_ms, 1, chain.Hop(engine, layers), None
            )

    def _is_untimely(
        self, engine: chain.Upstream, request: PathRequest
    ) -> bool:
        """Whether streams at a first engine do not begin in time."""
        if request.max_first_event_seconds == float("inf"):
            return False
        if self._heads.is_barred(engine.name):
            return True
        expected_seconds = self._heads.expected_first_event_seconds(
            engine.name
        )
        if expected_seconds is None:
            return self._is_too_slow(engine, request)
        return expected_seconds > request.max_first_event_seconds

    def _has_slot(self, engine: chain.Upstream, request: PathRequest) -> bool:
        """Whether a first engine would run another request at once.

        It queues what comes beyond its slots, where a more urgent request
        cannot pass the others and none can go elsewhere any more. Without
        the load of other entries the number of requests is not known well
        enough to leave an engine out.
        """
        if not self._knows_load:
            return True
        slots = request.max_cache_utilization * request.profile.slots
        return self._usage.known_sequences(engine) + 1.0 <= slots

    def _is_too_slow(
        self, engine: chain.Upstream, request: PathRequest
    ) -> bool:
        if request.max_first_event_seconds == float("inf"):
            return False
        first_event_seconds = max(
            self._heads.first_event_seconds(engine.name),
            self._usage.first_event_seconds(engine),
        )
        return first_event_seconds > request.max_first_event_seconds

    def _head_ms(self, engine: chain.Upstream, request: PathRequest) -> float:
        """Return the cost of a token at a first engine, in ms."""
        cost_ms = self._engine_ms(engine, 0, request)
        if engine.availability_zone != request.zone:
            cost_ms += OTHER_ZONE_HEAD_MS
        return cost_ms + self._heads.cost(
            engine.name, request.objective_seconds
        )

    def _holders(
        self,
        usable: list[chain.Upstream],
        request: PathRequest,
        head: chain.Hop | None,
    ) -> list[cheapest.Holder]:
        """Return the cheapest engine of each zone and range of layers.

        The others cannot make any path cheaper: an engine's cost is
        proportional to the number of layers it runs, and the cost of reaching
        it depends only on its zone.
        """
        cheapest_engines: dict[tuple[int, int, str], cheapest.Holder] = {}
        for engine in usable:
            layers = engine.layers
            if layers is None or (head and engine == head.upstream):
                continue
            if layers.end > request.profile.layer_count:
                continue
            zone = engine.availability_zone
            key = (layers.first, layers.end, zone)
            layer_ms = self._layer_ms(engine, request)
            known = cheapest_engines.get(key)
            if known is None or layer_ms < known.layer_ms:
                cheapest_engines[key] = cheapest.Holder(engine, *key, layer_ms)
        return list(cheapest_engines.values())

    def _engine_ms(
        self, engine: chain.Upstream, first_layer: int, request: PathRequest
    ) -> float:
        """Return the cost of a token at an engine, in ms.

        :param first_layer: the first of its layers that it runs.
        """
        assert engine.layers is not None
        count = engine.layers.end - first_layer
        return self._layer_ms(engine, request) * count

    def _layer_ms(self, engine: chain.Upstream, request: PathRequest) -> float:
        """Return the cost of a token in one layer at an engine, in ms."""
        layer_ms = self._layer_ms_by_engine.get(engine.name)
        if layer_ms is None:
            all_layers_ms = self._all_layers_ms(engine, request)
            layer_ms = all_layers_ms / request.profile.layer_count
            self._layer_ms_by_engine[engine.name] = layer_ms
        return layer_ms

    def _all_layers_ms(
        self, engine: chain.Upstream, request: PathRequest
    ) -> float:
        """Return the cost of a token if an engine ran all layers, in ms."""
        profile = request.profile
        accelerator_type = profile.cards.get(engine.card)
        factor = accelerator_type.step_factor if accelerator_type else 1.0
        context_ms = (
            request.tokens / 1000.0 * profile.context_ms_per_1000_tokens
        )
        sequences = 1.0 + self._usage.sequences(engine)
        batch_ms = profile.step_ms + sequences * (
            profile.sequence_ms + context_ms
        )
        utilization = self._utilization(engine, request)
        return (
            batch_ms
            * factor
            * (1.0 + FULL_CACHE_FACTOR * utilization * utilization)
        )

    def _utilization(
        self, engine: chain.Upstream, request: PathRequest
    ) -> float:
        utilization = self._utilization_by_engine.get(engine.name)
        if utilization is None:
            utilization = self._usage.cache_utilization(
                engine, request.profile
            )
            self._utilization_by_engine[engine.name] = utilization
        return utilization


def _idle_crossing_ms(profile: chain.EngineProfile) -> float:
    """Return the cost of crossing an idle link, in ms a token."""
    if not profile.zone_link_bytes_per_second:
        return CROSSING_MS
    token_ms = (
        1000.0 * profile.activation_bytes / profile.zone_link_bytes_per_second
    )
    answer_tokens = max(1.0, profile.mean_answer_tokens)
    transfers_per_token = 1.0 + profile.mean_prompt_tokens / answer_tokens
    return CROSSING_MS + TRANSFER_TIME_WEIGHT * token_ms * transfers_per_token
