# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0
"""Remembers how long streams pause because engines are loaded."""

import math

import attrs

# Time after which a remembered silence counts half.
HALF_LIFE_SECONDS = 2.0
# How long a first engine counts as loaded after its report.
LOADED_SECONDS = 1.0
# Shorter remembered silences are dropped.
MIN_SECONDS = 0.01


@attrs.frozen
class _Silence:
    seconds: float
    noted_at: float

    def at(self, now: float) -> float:
        """Return its length, less the longer ago it ended."""
        age_seconds = max(0.0, now - self.noted_at)
        return float(self.seconds * 0.5 ** (age_seconds / HALF_LIFE_SECONDS))


class LoadPauses:
    """Silences that ended by themselves, by first engine and in the fleet.

    All times are loop times, in seconds.
    """

    def __init__(self) -> None:
        self._by_head: dict[str, _Silence] = {}
        self._fleet = _Silence(0.0, 0.0)
        self._loaded_at: dict[str, float] = {}

    def note_loaded(self, head: str, now: float) -> None:
        """Note that a first engine reported that it runs or queues."""
        self._loaded_at[head] = now

    def is_loaded(self, head: str, now: float) -> bool:
        """Whether a first engine reported so shortly before."""
        return now - self._loaded_at.get(head, -math.inf) < LOADED_SECONDS

    def note_ended(self, head: str, seconds: float, now: float) -> None:
        """Note a silence that had no culprit and ended by itself.

        :param head: name of the stream's first engine.
        """
        self._forget(now)
        if seconds >= self.expected(head, now):
            self._by_head[head] = _Silence(seconds, now)
        if seconds >= self._fleet.at(now):
            self._fleet = _Silence(seconds, now)

    def expected(self, head: str, now: float) -> float:
        """Return how long a silence is to be expected from load alone.

        That of the whole fleet, if none of this first engine is remembered.
        """
        known = self._by_head.get(head)
        if known is not None and known.at(now) >= MIN_SECONDS:
            return known.at(now)
        return self._fleet.at(now)

    def _forget(self, now: float) -> None:
        self._loaded_at = {
            name: at
            for name, at in self._loaded_at.items()
            if now - at < LOADED_SECONDS
        }
        self._by_head = {
            name: silence
            for name, silence in self._by_head.items()
            if silence.at(now) >= MIN_SECONDS
        }
