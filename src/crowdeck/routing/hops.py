# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Choice of a path over engines that each hold a range of layers."""

import typing

import attrs

from crowdeck import chain
from crowdeck import pipeline
from crowdeck.routing import cheapest
from crowdeck.routing import heads as head_records

# What an engine charges for being nearly full: its cost grows by up to
# this factor as its memory for requests fills, so that load spreads
# before anything is refused.
FULL_FACTOR = 2.0
# A crossing between zones costs its delay at each token, and the time
# that the prompt holds the shared pipe, during which others wait: the
# pipe serves one request after the other, so its time counts many fold.
# With 20, a third of all paths crossed on a calm day, prompts queued for
# the pipe, and streams of others paused for 0.1 s behind them.
CROSSING_MS = 0.5
PIPE_FACTOR = 50.0
# A pipe is taken for full at this share of its capacity: what else goes
# over it, and how slow it may have become, is not known here.
PIPE_MOST = 0.7
# An answer from another zone crosses once more, to the entry. Events are
# small, but such bytes are dear, and its engines are nearer to others:
# taken when the own zone's engines are about half full, or broken.
FOREIGN_HEAD_MS = 8.0


class Usage(typing.Protocol):
    """What is known of the engines' load."""

    def sequences(self, upstream: chain.Upstream) -> float:
        """Return how many requests pass an engine."""
        ...

    def cache_utilization(
        self, upstream: chain.Upstream, profile: chain.EngineProfile
    ) -> float:
        """Return the used share of an engine's memory for requests."""
        ...

    def zone_link_utilization(
        self, one: str, other: str, profile: chain.EngineProfile
    ) -> float:
        """Return the used share of the pipe between two zones."""
        ...


def _anyone(_: chain.Upstream) -> bool:
    return True


@attrs.frozen
class PathRequest:
    """What a path is wanted for.

    :ivar tokens: tokens that the request holds on average as it runs.
    :ivar zone: the availability zone of the entry.
    :ivar objective: seconds in which the first event is in time.
    :ivar may_begin: whether an engine takes a request as the first.
    """

    profile: chain.EngineProfile
    tokens: float
    zone: str
    objective: float = 0.5
    may_begin: typing.Callable[[chain.Upstream], bool] = _anyone


class HopPlanner:
    """Finds the cheapest path that runs each layer once, in order."""

    def __init__(self, usage: Usage) -> None:
        self._usage = usage
        self._heads = head_records.HeadRecords()
        # Of one choice of path: what is known does not change within it,
        # and each engine is weighed at many positions.
        self._fullness: dict[str, float] = {}
        self._layer_costs: dict[str, float] = {}
        self._rooms: dict[tuple[str, int], float] = {}
        self._crossings: dict[tuple[str, str], float] = {}

    @property
    def heads(self) -> head_records.HeadRecords:
        """How first engines have served lately."""
        return self._heads

    def plan(
        self,
        engines: typing.Iterable[chain.Upstream],
        wanted: PathRequest,
        head: chain.Hop | None = None,
    ) -> chain.ChainPath | None:
        """Return a path, or ``None`` where there is none with room.

        :param engines: those that may be used.
        :param head: the first part, where it has to stay as it is.
        """
        self._forget()
        usable = [one for one in engines if self._has_room(one, wanted)]
        holders = self._holders(usable, wanted, head)
        search = cheapest.CheapestPathSearch(
            holders,
            wanted.profile.layer_count,
            lambda before, after: self._crossing(before, after, wanted),
        )
        if head is not None:
            search.offer(cheapest.PartialPath(0.0, 1, head, None))
        else:
            for leg in self._beginnings(usable, wanted):
                search.offer(leg)
        return search.run()

    def cost(self, path: chain.ChainPath, wanted: PathRequest) -> float:
        """Return what a token costs along a path as planned, in ms."""
        self._forget()
        head = path.hops[0]
        total = self._beginning(head.upstream, wanted)
        for before, hop in zip(path.hops, path.hops[1:], strict=False):
            zones = (
                before.upstream.availability_zone,
                hop.upstream.availability_zone,
            )
            total += cheapest.HOP_MS + self._crossing(*zones, wanted)
            total += self._cost(hop.upstream, hop.layers.first, wanted)
        return total

    def detour(
        self,
        engines: typing.Sequence[chain.Upstream],
        wanted: PathRequest,
        path: chain.ChainPath,
        refused: typing.Container[str],
    ) -> chain.ChainPath | None:
        """Return a path that replaces only the parts that failed.

        The other parts keep what they remember of the request; only the
        new ones have to read it again.

        :param path: the path in use; its first part stays.
        :param refused: names of engines that must not be passed.
        """
        self._forget()
        kept = {
            hop.upstream.name
            for hop in path.hops
            if hop.upstream.name not in refused
        }
        fresh = [one for one in engines if one.name not in kept]
        found: list[chain.Hop] = []
        for hop in path.hops:
            if hop.upstream.name in kept:
                found.append(hop)
                continue
            taken = {one.upstream.name for one in found}
            unused = [one for one in fresh if one.name not in taken]
            before = found[-1] if found else None
            part = self._bridge(unused, wanted, hop.layers, before)
            if part is None:
                return self.plan(engines, wanted, path.hops[0])
            found += part
        if len(found) > cheapest.MAX_HOPS:
            return None
        return chain.ChainPath(tuple(found))

    def _forget(self) -> None:
        self._fullness.clear()
        self._layer_costs.clear()
        self._rooms.clear()
        self._crossings.clear()

    def _bridge(
        self,
        engines: list[chain.Upstream],
        wanted: PathRequest,
        layers: pipeline.LayerRange,
        before: chain.Hop | None,
    ) -> list[chain.Hop] | None:
        """Return parts that cover ``layers``, the cheapest at each step."""
        usable = [one for one in engines if self._has_room(one, wanted)]
        found: list[chain.Hop] = []
        position = layers.first
        while position < layers.end:
            zone = before.upstream.availability_zone if before else wanted.zone
            best = self._next_part(usable, wanted, position, zone)
            if best is None:
                return None
            assert best.layers is not None
            end = min(best.layers.end, layers.end)
            before = chain.Hop(best, pipeline.LayerRange(position, end))
            found.append(before)
            usable.remove(best)
            position = end
        return found

    def _next_part(
        self,
        usable: list[chain.Upstream],
        wanted: PathRequest,
        position: int,
        zone: str,
    ) -> chain.Upstream | None:
        def cost(engine: chain.Upstream) -> float:
            assert engine.layers is not None
            crossing = self._crossing(zone, engine.availability_zone, wanted)
            length = engine.layers.end - position
            total = (
                self._cost(engine, position, wanted)
                + cheapest.HOP_MS
                + crossing
            )
            return total / length

        fitting = [
            one
            for one in usable
            if one.layers is not None
            and one.layers.first <= position < one.layers.end
        ]
        best = min(fitting, key=cost, default=None)
        if best is not None and cost(best) == float("inf"):
            return None
        return best

    def _crossing(self, before: str, after: str, wanted: PathRequest) -> float:
        """Return what going from zone to zone costs, in ms a token.

        Infinite when the pipe between them is full: one prompt more would
        hold up every stream that crosses there.
        """
        if before == after:
            return 0.0
        found = self._crossings.get((before, after))
        if found is None:
            load = self._usage.zone_link_utilization(
                before, after, wanted.profile
            )
            found = float("inf")
            if load <= PIPE_MOST:
                found = _crossing(wanted.profile) * (1.0 + load)
            self._crossings[before, after] = found
        return found

    def _has_room(self, engine: chain.Upstream, wanted: PathRequest) -> bool:
        if engine.layers is None:
            return False
        kind = (engine.card, engine.layers.end - engine.layers.first)
        token_capacity = self._rooms.get(kind)
        if token_capacity is None:
            token_capacity = self._rooms[kind] = wanted.profile.token_capacity(
                *kind
            )
        if token_capacity == float("inf"):
            return True
        used = self._full(engine, wanted) * token_capacity
        return used + wanted.tokens <= token_capacity

    def _beginnings(
        self, usable: list[chain.Upstream], wanted: PathRequest
    ) -> typing.Iterator[cheapest.PartialPath]:
        """Yield the parts that a path may begin with."""
        for engine in usable:
            layers = engine.layers
            if layers is None or layers.first != 0:
                continue
            if layers.end > wanted.profile.layer_count:
                continue
            if not wanted.may_begin(engine):
                continue
            cost = self._beginning(engine, wanted)
            yield cheapest.PartialPath(
                cost, 1, chain.Hop(engine, layers), None
            )

    def _beginning(self, engine: chain.Upstream, wanted: PathRequest) -> float:
        """Return what a token costs at an engine that is the first."""
        cost = self._cost(engine, 0, wanted)
        if engine.availability_zone != wanted.zone:
            cost += FOREIGN_HEAD_MS
        return cost + self._heads.cost(engine.name, wanted.objective)

    def _holders(
        self,
        usable: list[chain.Upstream],
        wanted: PathRequest,
        head: chain.Hop | None,
    ) -> list[cheapest.Holder]:
        """Return for each zone and range of layers whom to pass there.

        What an engine costs grows evenly with the layers it runs, and the
        way to it depends on its zone alone. So of those that hold the same
        layers in a zone one is the cheapest wherever a path joins it.
        """
        found: dict[tuple[int, int, str], cheapest.Holder] = {}
        for engine in usable:
            layers = engine.layers
            if layers is None or (head and engine == head.upstream):
                continue
            if layers.end > wanted.profile.layer_count:
                continue
            zone = engine.availability_zone
            key = (layers.first, layers.end, zone)
            token_ms = self._layer_ms(engine, wanted)
            held = found.get(key)
            if held is None or token_ms < held.token_ms:
                found[key] = cheapest.Holder(engine, *key, token_ms)
        return list(found.values())

    def _cost(
        self, engine: chain.Upstream, position: int, wanted: PathRequest
    ) -> float:
        """Return what a token costs at an engine, in ms."""
        assert engine.layers is not None
        count = engine.layers.end - position
        return self._layer_ms(engine, wanted) * count

    def _layer_ms(self, engine: chain.Upstream, wanted: PathRequest) -> float:
        """Return what a token costs at an engine for each layer, in ms."""
        found = self._layer_costs.get(engine.name)
        if found is None:
            whole = self._rate(engine, wanted)
            found = whole / wanted.profile.layer_count
            self._layer_costs[engine.name] = found
        return found

    def _rate(self, engine: chain.Upstream, wanted: PathRequest) -> float:
        """Return what a token would cost with all layers, in ms."""
        profile = wanted.profile
        card = profile.cards.get(engine.card)
        factor = card.step_factor if card else 1.0
        context = wanted.tokens / 1000.0 * profile.context_ms
        sequences = 1.0 + self._usage.sequences(engine)
        step = profile.step_ms + sequences * (profile.sequence_ms + context)
        full = self._full(engine, wanted)
        return step * factor * (1.0 + FULL_FACTOR * full * full)

    def _full(self, engine: chain.Upstream, wanted: PathRequest) -> float:
        found = self._fullness.get(engine.name)
        if found is None:
            found = self._usage.cache_utilization(engine, wanted.profile)
            self._fullness[engine.name] = found
        return found


def _crossing(profile: chain.EngineProfile) -> float:
    """Return what a crossing between zones costs, in ms a token."""
    if not profile.zone_link_bytes_per_second:
        return CROSSING_MS
    token_ms = (
        1000.0 * profile.activation_bytes / profile.zone_link_bytes_per_second
    )
    answer = max(1.0, profile.mean_answer_tokens)
    tokens = 1.0 + profile.mean_prompt_tokens / answer
    return CROSSING_MS + PIPE_FACTOR * token_ms * tokens
