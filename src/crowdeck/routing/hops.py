# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Choice of a path over engines that each hold a range of layers."""

import typing

import attrs

from crowdeck import chain
from crowdeck import pipeline
from crowdeck.routing import heads as head_records

# What an engine charges for being nearly full: its cost grows by up to
# this factor as its memory for requests fills, so that load spreads
# before anything is refused.
FULL_FACTOR = 2.0
# One more engine is one more thing to fail and one more hand-over: the
# engines' own measure of a hand-over within a zone, in ms a token.
HOP_MS = 0.3
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
# Engines refuse longer paths.
HOPS_MOST = 32


class Usage(typing.Protocol):
    """What is known of the engines' load."""

    def sequences(self, upstream: chain.Upstream) -> float:
        """Return how many requests pass an engine."""
        ...

    def fullness(
        self, upstream: chain.Upstream, profile: chain.EngineProfile
    ) -> float:
        """Return the used share of an engine's memory for requests."""
        ...

    def pipe_load(
        self, one: str, other: str, profile: chain.EngineProfile
    ) -> float:
        """Return the used share of the pipe between two zones."""
        ...


@attrs.frozen
class _Leg:
    """The cheapest way found to the end of one engine's part."""

    cost: float
    count: int
    hop: chain.Hop
    previous: "_Leg | None"


@attrs.frozen
class Wanted:
    """What a path is wanted for.

    :ivar tokens: tokens that the request holds on average as it runs.
    :ivar zone: the availability zone of the entry.
    :ivar objective: seconds in which the first event is in time.
    """

    profile: chain.EngineProfile
    tokens: float
    zone: str
    objective: float = 0.5


class HopPlanner:
    """Finds the cheapest path that runs each layer once, in order."""

    def __init__(self, usage: Usage) -> None:
        self._usage = usage
        self._heads = head_records.HeadRecords()
        # Of one choice of path: what is known does not change within it,
        # and each engine is weighed at many positions.
        self._fullness: dict[str, float] = {}
        self._rates: dict[str, float] = {}

    @property
    def heads(self) -> head_records.HeadRecords:
        """How first engines have served lately."""
        return self._heads

    def plan(
        self,
        engines: typing.Iterable[chain.Upstream],
        wanted: Wanted,
        head: chain.Hop | None = None,
    ) -> chain.ChainPath | None:
        """Return a path, or ``None`` where there is none with room.

        :param engines: those that may be used.
        :param head: the first part, where it has to stay as it is.
        """
        self._forget()
        usable = [one for one in engines if self._has_room(one, wanted)]
        best: dict[int, dict[str, _Leg]] = {}
        if head is not None:
            leg = _Leg(0.0, 1, head, None)
            zone = head.upstream.availability_zone
            best[head.layers.end] = {zone: leg}
        else:
            self._begin(usable, wanted, best)
        return self._extend(usable, wanted, best, head)

    def detour(
        self,
        engines: typing.Sequence[chain.Upstream],
        wanted: Wanted,
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
        if len(found) > HOPS_MOST:
            return None
        return chain.ChainPath(tuple(found))

    def _forget(self) -> None:
        self._fullness.clear()
        self._rates.clear()

    def _bridge(
        self,
        engines: list[chain.Upstream],
        wanted: Wanted,
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
        wanted: Wanted,
        position: int,
        zone: str,
    ) -> chain.Upstream | None:
        def cost(engine: chain.Upstream) -> float:
            assert engine.layers is not None
            crossing = self._crossing(zone, engine.availability_zone, wanted)
            length = engine.layers.end - position
            total = self._cost(engine, position, wanted) + HOP_MS + crossing
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

    def _crossing(self, before: str, after: str, wanted: Wanted) -> float:
        """Return what going from zone to zone costs, in ms a token.

        Infinite when the pipe between them is full: one prompt more would
        hold up every stream that crosses there.
        """
        if before == after:
            return 0.0
        load = self._usage.pipe_load(before, after, wanted.profile)
        if load > PIPE_MOST:
            return float("inf")
        return _crossing(wanted.profile) * (1.0 + load)

    def _has_room(self, engine: chain.Upstream, wanted: Wanted) -> bool:
        if engine.layers is None:
            return False
        room = wanted.profile.room(
            engine.card, engine.layers.end - engine.layers.first
        )
        if room == float("inf"):
            return True
        used = self._full(engine, wanted) * room
        return used + wanted.tokens <= room

    def _begin(
        self,
        usable: list[chain.Upstream],
        wanted: Wanted,
        best: dict[int, dict[str, _Leg]],
    ) -> None:
        for engine in usable:
            layers = engine.layers
            if layers is None or layers.first != 0:
                continue
            cost = self._cost(engine, 0, wanted)
            if engine.availability_zone != wanted.zone:
                cost += FOREIGN_HEAD_MS
            cost += self._heads.cost(engine.name, wanted.objective)
            _offer(best, _Leg(cost, 1, chain.Hop(engine, layers), None))

    def _extend(
        self,
        usable: list[chain.Upstream],
        wanted: Wanted,
        best: dict[int, dict[str, _Leg]],
        head: chain.Hop | None,
    ) -> chain.ChainPath | None:
        last = wanted.profile.layer_count
        held = [
            (one, one.layers.first, one.layers.end)
            for one in usable
            if one.layers is not None
            and (head is None or one != head.upstream)
        ]
        # Every engine goes to the end of its range: whoever could follow
        # earlier can follow there too, or is not needed.
        for position in range(1, last):
            for leg in tuple(best.pop(position, {}).values()):
                if leg.count >= HOPS_MOST:
                    continue
                for engine, first, end in held:
                    if first <= position < end:
                        self._follow(leg, position, engine, wanted, best)
        legs = best.get(last, {}).values()
        cheapest = min(legs, key=lambda leg: leg.cost, default=None)
        return _path(cheapest) if cheapest else None

    def _follow(
        self,
        leg: _Leg,
        position: int,
        engine: chain.Upstream,
        wanted: Wanted,
        best: dict[int, dict[str, _Leg]],
    ) -> None:
        layers = engine.layers
        assert layers is not None, "only engines with layers follow"
        cost = leg.cost + HOP_MS + self._cost(engine, position, wanted)
        before = leg.hop.upstream.availability_zone
        cost += self._crossing(before, engine.availability_zone, wanted)
        if cost == float("inf"):
            return
        hop = chain.Hop(engine, pipeline.LayerRange(position, layers.end))
        _offer(best, _Leg(cost, leg.count + 1, hop, leg))

    def _cost(
        self, engine: chain.Upstream, position: int, wanted: Wanted
    ) -> float:
        """Return what a token costs at an engine, in ms."""
        assert engine.layers is not None
        share = (engine.layers.end - position) / wanted.profile.layer_count
        rate = self._rates.get(engine.name)
        if rate is None:
            rate = self._rates[engine.name] = self._rate(engine, wanted)
        return rate * share

    def _rate(self, engine: chain.Upstream, wanted: Wanted) -> float:
        """Return what a token would cost with all layers, in ms."""
        profile = wanted.profile
        card = profile.cards.get(engine.card)
        factor = card.step_factor if card else 1.0
        context = wanted.tokens / 1000.0 * profile.context_ms
        sequences = 1.0 + self._usage.sequences(engine)
        step = profile.step_ms + sequences * (profile.sequence_ms + context)
        full = self._full(engine, wanted)
        return step * factor * (1.0 + FULL_FACTOR * full * full)

    def _full(self, engine: chain.Upstream, wanted: Wanted) -> float:
        found = self._fullness.get(engine.name)
        if found is None:
            found = self._usage.fullness(engine, wanted.profile)
            self._fullness[engine.name] = found
        return found


def _crossing(profile: chain.EngineProfile) -> float:
    """Return what a crossing between zones costs, in ms a token."""
    if not profile.pipe_bytes_per_second:
        return CROSSING_MS
    token_ms = (
        1000.0 * profile.activation_bytes / profile.pipe_bytes_per_second
    )
    answer = max(1.0, profile.usual_answer)
    tokens = 1.0 + profile.usual_prompt / answer
    return CROSSING_MS + PIPE_FACTOR * token_ms * tokens


def _offer(best: dict[int, dict[str, _Leg]], leg: _Leg) -> None:
    by_zone = best.setdefault(leg.hop.layers.end, {})
    zone = leg.hop.upstream.availability_zone
    held = by_zone.get(zone)
    if held is None or leg.cost < held.cost:
        by_zone[zone] = leg


def _path(leg: _Leg) -> chain.ChainPath:
    hops: list[chain.Hop] = []
    step: _Leg | None = leg
    while step is not None:
        hops.append(step.hop)
        step = step.previous
    return chain.ChainPath(tuple(reversed(hops)))
