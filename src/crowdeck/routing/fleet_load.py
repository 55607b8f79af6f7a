# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0
"""What the entries of a fleet hold on its engines, together."""

import typing

import attrs


@attrs.frozen
class EngineLoad:
    """What requests in progress hold on one engine.

    :ivar sequences: requests whose path passes the engine.
    :ivar token_layers: expected tokens in its KV cache, times layers.
    :ivar starting: requests that begin at the engine and have had no event.
    :ivar first_event_seconds: recent mean time to the first event of the
        streams that begin at the engine, 0 if there were none.
    """

    sequences: int = 0
    token_layers: float = 0.0
    starting: int = 0
    first_event_seconds: float = 0.0


@attrs.frozen
class EntryLoad:
    """What one entry, or several together, have in progress.

    :ivar entry_count: number of entries that it covers.
    :ivar engines: load by name of the engine.
    :ivar waiting: requests that wait for a path, by service and rank.
    :ivar zone_link_tokens: tokens sent between two availability zones in the
        last second, by the pair of zones in alphabetical order.
    """

    entry_count: int = 0
    engines: typing.Mapping[str, EngineLoad] = attrs.field(factory=dict)
    waiting: typing.Mapping[tuple[str, int], int] = attrs.field(factory=dict)
    zone_link_tokens: typing.Mapping[tuple[str, str], float] = attrs.field(
        factory=dict
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
