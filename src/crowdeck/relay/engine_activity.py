# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0
"""Tells which engines events of streams have passed, and when."""

import collections
import typing

import attrs

from crowdeck import chain
from crowdeck.relay import live

# How long events are remembered. Longer than any age at which they count.
MEMORY_SECONDS = 1.0


@attrs.frozen
class _SeenEvent:
    path: chain.ChainPath
    at: float


class EngineActivity:
    """The last event that passed each engine, of this entry's streams.

    All times are loop times, in seconds.
    """

    def __init__(self) -> None:
        self._last_event_at: dict[str, float] = {}
        self._seen: dict[live.LiveStream, _SeenEvent] = {}
        self._silent: collections.Counter[str] = collections.Counter()

    def update(
        self,
        streams: typing.Iterable[live.LiveStream],
        now: float,
        silent_share: float,
    ) -> None:
        """Take in the last events of all streams.

        :param silent_share: a stream counts as silent after this share of
            its maximum pause.
        """
        seen: dict[live.LiveStream, _SeenEvent] = {}
        self._silent.clear()
        for stream in streams:
            path = stream.path
            if path is None or stream.is_starting:
                continue
            event = self._seen.get(stream)
            # An event that came before a change of path did not pass the
            # engines of the new one.
            if event is None or event.at != stream.progress_at:
                event = _SeenEvent(path, stream.progress_at)
                self._note(event)
            seen[stream] = event
            if now - stream.progress_at > (
                silent_share * stream.max_pause_seconds
            ):
                self._silent.update({hop.upstream.name for hop in path.hops})
        self._seen = seen
        self._forget(now - MEMORY_SECONDS)

    def last_event_at(self, name: str) -> float:
        """Return when the last event passed an engine, if remembered."""
        return self._last_event_at.get(name, float("-inf"))

    def silent_streams(self, name: str) -> int:
        """Return how many streams that pass an engine are silent."""
        return self._silent[name]

    def _note(self, event: _SeenEvent) -> None:
        for hop in event.path.hops:
            name = hop.upstream.name
            self._last_event_at[name] = max(
                event.at, self._last_event_at.get(name, event.at)
            )

    def _forget(self, before: float) -> None:
        self._last_event_at = {
            name: at
            for name, at in self._last_event_at.items()
            if at >= before
        }
