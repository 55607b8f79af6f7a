# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0
"""What the entries of a fleet hold on its engines, together."""

import collections
import typing

import attrs


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


def combine(loads: typing.Iterable[EntryLoad]) -> EntryLoad:
    """Return the sum of loads that have no entry in common."""
    entry_count = 0
    engines: dict[str, EngineLoad] = {}
    waiting: collections.Counter[tuple[str, int]] = collections.Counter()
    link_tokens: dict[tuple[str, str], float] = {}
    lost_engines: collections.Counter[str] = collections.Counter()
    for load in loads:
        entry_count += load.entry_count
        for name, engine in load.engines.items():
            known = engines.get(name)
            engines[name] = engine if known is None else known.plus(engine)
        waiting.update(load.waiting)
        lost_engines.update(load.lost_engines)
        for zones, tokens in load.zone_link_tokens.items():
            link_tokens[zones] = link_tokens.get(zones, 0.0) + tokens
    return EntryLoad(
        entry_count, engines, dict(waiting), link_tokens, dict(lost_engines)
    )


def without(total: EntryLoad, part: EntryLoad) -> EntryLoad:
    """Return a sum without one of the loads that it covers."""
    engines = dict(total.engines)
    for name, engine in part.engines.items():
        rest = engines.pop(name, _NO_LOAD).minus(engine)
        if rest != _NO_LOAD:
            engines[name] = rest
    waiting = dict(total.waiting)
    for key, count in part.waiting.items():
        waiting[key] = max(0, waiting.get(key, 0) - count)
    link_tokens = dict(total.zone_link_tokens)
    for zones, tokens in part.zone_link_tokens.items():
        link_tokens[zones] = max(0.0, link_tokens.get(zones, 0.0) - tokens)
    lost_engines = collections.Counter(total.lost_engines)
    lost_engines.subtract(part.lost_engines)
    return EntryLoad(
        max(0, total.entry_count - part.entry_count),
        engines,
        {key: count for key, count in waiting.items() if count},
        {zones: tokens for zones, tokens in link_tokens.items() if tokens},
        dict(+lost_engines),
    )


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
