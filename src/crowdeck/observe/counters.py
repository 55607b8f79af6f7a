# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Counters, gauges and timers of one process, sent on by statsd.

Parts add to a plain table in memory, since they do so for every token;
a timer sends what changed as statsd packets. ``docs/METRICS.md`` lists
the names.
"""

import collections
import typing


class StatsdPipe(typing.Protocol):
    """The part of a statsd client that is used here."""

    def incr(self, stat: str, count: int) -> None:
        """Add to a counter."""
        ...

    def gauge(self, stat: str, value: float) -> None:
        """Set a gauge."""
        ...

    def timing(self, stat: str, delta: float) -> None:
        """Note a duration in milliseconds."""
        ...


# Timings kept between two flushes; beyond these a process under load
# sends a sample, which is what statsd timers are for.
TIMING_LIMIT = 1_000


class Counters:
    """A table of counts, gauges and recent durations."""

    def __init__(self) -> None:
        self._counts: collections.Counter[str] = collections.Counter()
        self._sent: collections.Counter[str] = collections.Counter()
        self._gauges: dict[str, float] = {}
        self._timings: list[tuple[str, float]] = []

    def add(self, name: str, count: int = 1) -> None:
        """Add ``count`` to a counter."""
        self._counts[name] += count

    def set_gauge(self, name: str, value: float) -> None:
        """Set a gauge to ``value``."""
        self._gauges[name] = value

    def time(self, name: str, seconds: float) -> None:
        """Note a duration."""
        if len(self._timings) < TIMING_LIMIT:
            self._timings.append((name, seconds))

    def get(self, name: str) -> int:
        """Return a counter's value, 0 for one never added to."""
        return self._counts[name]

    def as_dict(self) -> dict[str, int]:
        """Return all counters by name, sorted."""
        return dict(sorted(self._counts.items()))

    def flush(self, pipe: StatsdPipe) -> None:
        """Send what changed since the last flush."""
        for name, value in self._counts.items():
            change = value - self._sent[name]
            if change:
                pipe.incr(name, change)
                self._sent[name] = value
        for name, level in self._gauges.items():
            pipe.gauge(name, level)
        for name, seconds in self._timings:
            pipe.timing(name, seconds * 1000.0)
        self._timings.clear()


COUNTERS = Counters()
