# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0
"""The room that the engines of a service have for KV caches."""

import typing

import anyio
import attrs

from crowdeck import chain

# How long a computed room is used. Engines are listed and lost more seldom
# than streams arrive.
ROOM_SECONDS = 1.0


@attrs.frozen
class _Room:
    token_layers: float
    computed_at: float


class FleetRoom:
    """Room for KV caches, by service, in tokens times layers.

    :param usable: returns the engines of a service that may get new work.
    """

    def __init__(
        self,
        usable: typing.Callable[[str], typing.Iterable[chain.Upstream]],
    ) -> None:
        self._usable = usable
        self._rooms: dict[str, _Room] = {}

    def share(
        self, service: str, profile: chain.EngineProfile, tokens: float
    ) -> float:
        """Return the share of a service's room that a stream will hold.

        It is 0 if the room is unknown or unbounded.

        :param tokens: mean number of tokens that the stream holds.
        """
        now = anyio.current_time()
        room = self._rooms.get(service)
        if room is None or now - room.computed_at >= ROOM_SECONDS:
            room = _Room(self._token_layers(service, profile), now)
            self._rooms[service] = room
        if room.token_layers <= 0.0:
            return 0.0
        return tokens * profile.layer_count / room.token_layers

    def _token_layers(
        self, service: str, profile: chain.EngineProfile
    ) -> float:
        total = 0.0
        for engine in self._usable(service):
            if engine.layers is None:
                continue
            count = engine.layers.end - engine.layers.first
            capacity = profile.token_capacity(engine.card, count) * count
            total += max(0.0, capacity)
        return total
