# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Load of upstreams, from requests in progress here and at other entries."""

import collections
import random
import typing

import anyio
import attrs

from crowdeck import chain
from crowdeck.routing import heads as head_records

# Age at which a load report expires. By then half of the requests that it
# counted have ended.
LOAD_REPORT_TTL_SECONDS = 1.5
# Length of the sliding window for transfers between zones. About the time that
# a prompt takes to cross a link which several others use.
LINK_WINDOW_SECONDS = 1.0
# Time over which the load that an engine had when this entry started is
# reduced to zero. About the duration of a stream.
EXISTING_LOAD_SECONDS = 2.5
# Up to this share of what others hold may have ended since they told it, drawn
# anew for each engine and each news: all entries know the same, and the fuller
# an engine, the fewer should send to it.
MAX_ENDED_SHARE = 0.15
# A mean of less than this many streams is the rest of a subtraction.
MIN_FIRST_EVENT_COUNT = 1e-3


@attrs.frozen
class EngineLoad:
    """What requests in progress hold on one engine.

    :ivar sequences: requests whose path passes the engine.
    :ivar token_layers: expected tokens in its KV cache, times layers.
    :ivar starting: requests that begin at the engine and have had no event.
    :ivar first_event_seconds: recent mean time to the first event of the
        streams that begin at the engine, 0 if there were none.
    :ivar first_event_count: number of streams on which this mean rests;
        older ones count less.
    """

    sequences: int = 0
    token_layers: float = 0.0
    starting: int = 0
    first_event_seconds: float = 0.0
    first_event_count: float = 0.0

    def plus(self, other: "EngineLoad") -> "EngineLoad":
        """Return both loads together."""
        count = self.first_event_count + other.first_event_count
        seconds = (
            self.first_event_seconds * self.first_event_count
            + other.first_event_seconds * other.first_event_count
        )
        return EngineLoad(
            self.sequences + other.sequences,
            self.token_layers + other.token_layers,
            self.starting + other.starting,
            seconds / count if count else 0.0,
            count,
        )

    def minus(self, part: "EngineLoad") -> "EngineLoad":
        """Return this load without a part of it."""
        # Differences of decimal numbers may be slightly below zero.
        count = max(0.0, self.first_event_count - part.first_event_count)
        seconds = (
            self.first_event_seconds * self.first_event_count
            - part.first_event_seconds * part.first_event_count
        )
        has_mean = count >= MIN_FIRST_EVENT_COUNT
        return EngineLoad(
            max(0, self.sequences - part.sequences),
            max(0.0, self.token_layers - part.token_layers),
            max(0, self.starting - part.starting),
            max(0.0, seconds / count) if has_mean else 0.0,
            count if has_mean else 0.0,
        )


_NO_LOAD = EngineLoad()


@attrs.frozen
class EntryLoad:
    """What one entry, or several together, have in progress.

    :ivar entry_count: number of entries that it covers.
    :ivar engines: load by name of the engine.
    :ivar waiting: requests that wait for a path, by service and rank.
    :ivar zone_link_tokens: tokens sent between two availability zones in the
        last second, by the pair of zones in alphabetical order.
    :ivar lost_engines: how many of the entries found an engine lost by
        themselves and still avoid it, by name of the engine.
    """

    entry_count: int = 0
    engines: typing.Mapping[str, EngineLoad] = attrs.field(factory=dict)
    waiting: typing.Mapping[tuple[str, int], int] = attrs.field(factory=dict)
    zone_link_tokens: typing.Mapping[tuple[str, str], float] = attrs.field(
        factory=dict
    )
    lost_engines: typing.Mapping[str, int] = attrs.field(factory=dict)


class FleetLoad(typing.Protocol):
    """What the other entries of the fleet have in progress."""

    @property
    def is_current(self) -> bool:
        """Whether the others were heard recently enough to rely on it."""
        ...

    @property
    def others(self) -> EntryLoad:
        """The load of all other entries; empty while it is not current."""
        ...


@attrs.frozen
class UnknownFleetLoad:
    """The view of an entry that exchanges no load."""

    is_current: bool = False
    others: EntryLoad = EntryLoad()


@attrs.frozen
class _ExistingLoad:
    """The load that an engine had when this entry started.

    :ivar token_layers: tokens in its cache, times layers.
    :ivar recorded_at: loop time.
    """

    token_layers: float
    recorded_at: float


@attrs.frozen
class _LoadReport:
    """The load that a first engine reported.

    :ivar running: requests of all entries in progress.
    :ivar recorded_at: loop time.
    """

    running: int
    recorded_at: float


class InFlight:
    """This entry's requests in progress, by upstream instance.

    Other entries use the same engines. Load is estimated from this entry's own
    requests, multiplied by the ratio of the requests that the first engine
    reports as running to this entry's requests there. Without a recent report,
    each entry of the availability zone is assumed to send as much as this one.

    :param rng: draws what others ended since they told their load.
    """

    def __init__(self, rng: random.Random | None = None) -> None:
        self._rng = rng or random.Random()
        self._draws: dict[str, float] = {}
        self._known_others = EntryLoad()
        # By engine, then by the first engine of the path.
        self._sequences: dict[str, collections.Counter[str]] = {}
        self._token_layers: dict[str, collections.Counter[str]] = {}
        self._own_requests: collections.Counter[str] = collections.Counter()
        self._reported: dict[str, _LoadReport] = {}
        self._existing: dict[str, _ExistingLoad] = {}
        # Loop time and tokens of each transfer, by the pair of zones.
        self._crossings: dict[
            frozenset[str], collections.deque[tuple[float, float]]
        ] = {}
        self._zone_entry_count = 1
        self._entry_count = 1
        self._fleet_load: FleetLoad = UnknownFleetLoad()

    @property
    def knows_load(self) -> bool:
        """Whether the entries told one another their load."""
        return self._fleet_load.others.entry_count > 0

    def set_fleet_load(self, fleet_load: FleetLoad) -> None:
        """Set the source of the other entries' load."""
        self._fleet_load = fleet_load

    def set_entry_count(self, zone_entries: int, all_entries: int = 0) -> None:
        """Set the numbers of entries, this one included.

        :param zone_entries: entries of this availability zone.
        :param all_entries: entries of all zones.
        """
        self._zone_entry_count = max(1, zone_entries)
        self._entry_count = max(self._zone_entry_count, all_entries)

    def zone_link_utilization(
        self, zone: str, other_zone: str, profile: chain.EngineProfile
    ) -> float:
        """Return the used share of the link between two zones."""
        if not profile.zone_link_bytes_per_second:
            return 0.0
        tokens = self._crossed_tokens(frozenset((zone, other_zone)))
        others = self._fleet_load.others
        if others.entry_count:
            zones = _sorted_pair(zone, other_zone)
            tokens += others.zone_link_tokens.get(zones, 0.0)
        else:
            tokens *= self._entry_count
        return (
            tokens
            * profile.activation_bytes
            / (profile.zone_link_bytes_per_second * LINK_WINDOW_SECONDS)
        )

    def _crossed_tokens(self, zones: frozenset[str]) -> float:
        """Return the tokens that this entry recently sent between zones."""
        crossings = self._crossings.get(zones)
        if crossings is None:
            return 0.0
        since = anyio.current_time() - LINK_WINDOW_SECONDS
        while crossings and crossings[0][0] < since:
            crossings.popleft()
        return sum(count for _, count in crossings)

    def note_load(self, head: chain.Upstream, running: int) -> None:
        """Record how many requests a first engine reports as running."""
        now = anyio.current_time()
        for expired in [
            name
            for name, report in self._reported.items()
            if _is_expired(report, now)
        ]:
            del self._reported[expired]
        self._reported[head.name] = _LoadReport(running, now)

    def note_existing_load(
        self, upstream: chain.Upstream, token_layers: float
    ) -> None:
        """Record the load that an engine had when this entry started.

        :param token_layers: tokens in its cache, times layers.
        """
        now = anyio.current_time()
        self._existing[upstream.name] = _ExistingLoad(token_layers, now)

    def sequences(self, upstream: chain.Upstream) -> float:
        """Estimate how many requests, of all entries, use an engine."""
        return self._estimate(self._sequences.get(upstream.name))

    def known_cache_utilization(
        self, upstream: chain.Upstream, profile: chain.EngineProfile
    ) -> float:
        """Return the used share of an engine's cache by what entries told.

        It may exceed 1. Only own requests count unless :attr:`knows_load`.
        """
        if upstream.layers is None:
            return 0.0
        others = self._fleet_load.others
        count = upstream.layers.end - upstream.layers.first
        capacity = profile.token_capacity(upstream.card, count) * count
        engine = others.engines.get(upstream.name, _NO_LOAD)
        ended_share = MAX_ENDED_SHARE * self._draw(upstream.name, others)
        own = _total(self._token_layers.get(upstream.name))
        used = own + (1.0 - ended_share) * engine.token_layers
        return used / max(1.0, capacity)

    def known_sequences(self, upstream: chain.Upstream) -> float:
        """Return how many requests use an engine by what entries told."""
        others = self._fleet_load.others
        engine = others.engines.get(upstream.name, _NO_LOAD)
        ended_share = MAX_ENDED_SHARE * self._draw(upstream.name, others)
        own = _total(self._sequences.get(upstream.name))
        return own + (1.0 - ended_share) * engine.sequences

    def _draw(self, name: str, others: EntryLoad) -> float:
        """Return a random number from 0 to 1 for an engine and this news."""
        if others is not self._known_others:
            self._known_others = others
            self._draws.clear()
        draw = self._draws.get(name)
        if draw is None:
            draw = self._draws[name] = self._rng.random()
        return draw

    def first_event_seconds(self, upstream: chain.Upstream) -> float:
        """Return other entries' recent mean time to a first event.

        It is 0 if they told none.
        """
        others = self._fleet_load.others
        return others.engines.get(upstream.name, _NO_LOAD).first_event_seconds

    def own_load(
        self,
        first_events: typing.Mapping[str, head_records.FirstEvents],
        waiting: typing.Mapping[tuple[str, int], int],
    ) -> EntryLoad:
        """Return what this entry has in progress.

        :param first_events: recent first events by name of the engine.
        :param waiting: requests that wait for a path, by service and rank.
        """
        engines = {
            name: self._own_engine_load(name, first_events.get(name))
            for name in self._sequences.keys() | first_events.keys()
        }
        link_tokens = {
            _sorted_pair(*zones): self._crossed_tokens(zones)
            for zones in self._crossings
        }
        return EntryLoad(
            1,
            engines,
            dict(waiting),
            {zones: tokens for zones, tokens in link_tokens.items() if tokens},
        )

    def _own_engine_load(
        self, name: str, first_events: head_records.FirstEvents | None
    ) -> EngineLoad:
        load = EngineLoad(
            _total(self._sequences.get(name)),
            _total(self._token_layers.get(name)),
        )
        if first_events is None:
            return load
        return attrs.evolve(
            load,
            starting=first_events.starting,
            first_event_seconds=first_events.seconds,
            first_event_count=first_events.count,
        )

    def own_requests(self, upstream: chain.Upstream) -> int:
        """Return the number of this entry's requests at an instance."""
        return self._own_requests[upstream.name]

    def cache_utilization(
        self, upstream: chain.Upstream, profile: chain.EngineProfile
    ) -> float:
        """Estimate the used share of an engine's cache; it may exceed 1."""
        if upstream.layers is None:
            return 0.0
        count = upstream.layers.end - upstream.layers.first
        capacity = profile.token_capacity(upstream.card, count) * count
        used = self._estimate(self._token_layers.get(upstream.name))
        if upstream.layers.first == 0 and not used:
            # Without own requests the reported number cannot be applied as a
            # ratio, so it is used directly.
            mean_tokens = (
                profile.mean_prompt_tokens + profile.mean_answer_tokens / 2.0
            )
            used = self._reported_running(upstream.name) * mean_tokens * count
        used += self._existing_token_layers(upstream.name)
        return used / max(1.0, capacity)

    def _existing_token_layers(self, name: str) -> float:
        """Return the part of an engine's existing load that still counts.

        The result is in tokens times layers.
        """
        existing = self._existing.get(name)
        if existing is None:
            return 0.0
        age_seconds = anyio.current_time() - existing.recorded_at
        if age_seconds >= EXISTING_LOAD_SECONDS:
            del self._existing[name]
            return 0.0
        return existing.token_layers * (
            1.0 - age_seconds / EXISTING_LOAD_SECONDS
        )

    def add_request(self, path: chain.ChainPath, tokens: float) -> None:
        """Count a request on a path.

        :param tokens: mean tokens that it holds while it runs.
        """
        self._add(path, tokens, 1)
        for previous, hop in zip(path.hops, path.hops[1:], strict=False):
            zone = previous.upstream.availability_zone
            other_zone = hop.upstream.availability_zone
            if zone != other_zone:
                crossings = self._crossings.setdefault(
                    frozenset((zone, other_zone)), collections.deque()
                )
                crossings.append((anyio.current_time(), tokens))

    def remove_request(self, path: chain.ChainPath, tokens: float) -> None:
        """Stop counting a request on a path.

        Its transfers between zones still count.
        """
        self._add(path, tokens, -1)

    def add_call(self, upstream: chain.Upstream) -> None:
        """Count a call of a plain service."""
        self._own_requests[upstream.name] += 1

    def remove_call(self, upstream: chain.Upstream) -> None:
        """Undo :meth:`add_call`."""
        self._own_requests[upstream.name] -= 1
        if not self._own_requests[upstream.name]:
            del self._own_requests[upstream.name]

    def _add(self, path: chain.ChainPath, tokens: float, sign: int) -> None:
        head = path.head.name
        self._own_requests[head] += sign
        for hop in path.hops:
            name = hop.upstream.name
            layers = hop.layers.end - hop.layers.first
            sequences = self._sequences.setdefault(name, collections.Counter())
            token_layers = self._token_layers.setdefault(
                name, collections.Counter()
            )
            sequences[head] += sign
            token_layers[head] += sign * int(tokens) * layers
            if not sequences[head]:
                # Prevents a leak: engines get new names when they restart.
                del sequences[head]
                del token_layers[head]
            if not sequences:
                del self._sequences[name]
                del self._token_layers[name]
        if not self._own_requests[head]:
            del self._own_requests[head]

    def _estimate(self, own_by_head: collections.Counter[str] | None) -> float:
        """Estimate the load of all entries from this entry's own load.

        :param own_by_head: this entry's load, by first engine.
        """
        if not own_by_head:
            return 0.0
        return sum(
            count * self._scale(head) for head, count in own_by_head.items()
        )

    def _scale(self, head: str) -> float:
        """Return the ratio of all entries' requests to this entry's own."""
        running = self._reported_running(head)
        if running <= 0:
            return float(self._zone_entry_count)
        return max(1.0, running / max(1, self._own_requests[head]))

    def _reported_running(self, head: str) -> int:
        report = self._reported.get(head)
        if report is None or _is_expired(report, anyio.current_time()):
            return 0
        return report.running


def _total(by_head: collections.Counter[str] | None) -> int:
    return by_head.total() if by_head is not None else 0


def _sorted_pair(zone: str, other_zone: str) -> tuple[str, str]:
    return min(zone, other_zone), max(zone, other_zone)


def _is_expired(report: _LoadReport, now: float) -> bool:
    return now - report.recorded_at > LOAD_REPORT_TTL_SECONDS
