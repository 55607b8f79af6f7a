# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Counters, gauges and timers of one process, sent on by statsd.

Parts add to a plain table in memory, since they do so for every token;
a timer sends what changed as statsd packets. ``docs/METRICS.md`` lists
the names.
"""

import bisect
import collections
import typing

import attrs


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


# Upper bounds of a histogram's buckets in seconds: each a little over
# twice the one before, from below a hop's time to above every deadline.
BUCKETS = (
    *(0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.35),
    *(0.5, 0.75, 1.0, 1.5, 2.0, 3.5, 5.0, 10.0, 20.0, 45.0),
)


@attrs.define
class Histogram:
    """How many durations fell into each bucket."""

    counts: list[int] = attrs.field(factory=lambda: [0] * (len(BUCKETS) + 1))
    total: float = 0.0

    def add(self, seconds: float) -> None:
        """Count one duration."""
        self.counts[bisect.bisect_left(BUCKETS, seconds)] += 1
        self.total += seconds


class Counters:
    """A table of counts, gauges and recent durations."""

    def __init__(self) -> None:
        self._counts: collections.Counter[str] = collections.Counter()
        self._sent: collections.Counter[str] = collections.Counter()
        self._gauges: dict[str, float] = {}
        self._timings: list[tuple[str, float]] = []
        self._histograms: dict[str, Histogram] = {}

    def add(self, name: str, count: int = 1) -> None:
        """Add ``count`` to a counter."""
        self._counts[name] += count

    def set_gauge(self, name: str, value: float) -> None:
        """Set a gauge to ``value``."""
        self._gauges[name] = value

    def time(self, name: str, seconds: float) -> None:
        """Note a duration."""
        self._histograms.setdefault(name, Histogram()).add(seconds)
        if len(self._timings) < TIMING_LIMIT:
            self._timings.append((name, seconds))

    def get(self, name: str) -> int:
        """Return a counter's value, 0 for one never added to."""
        return self._counts[name]

    def gauge(self, name: str) -> float:
        """Return a gauge's value, 0 for one never set."""
        return self._gauges.get(name, 0.0)

    def as_dict(self) -> dict[str, int]:
        """Return all counters by name, sorted."""
        return dict(sorted(self._counts.items()))

    def as_text(self) -> str:
        """Return everything in the Prometheus text format."""
        lines = []
        for name, value in self.as_dict().items():
            lines.append(f"{_exposed(name)}_total {value}")
        for name, level in sorted(self._gauges.items()):
            lines.append(f"{_exposed(name)} {level:g}")
        for name, histogram in sorted(self._histograms.items()):
            lines += _histogram_lines(_exposed(name), histogram)
        return "\n".join(lines) + "\n"

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


def _exposed(name: str) -> str:
    return "crowdeck_" + name.replace(".", "_").replace("-", "_")


def _histogram_lines(name: str, histogram: Histogram) -> list[str]:
    lines = []
    running = 0
    bounds = [f"{bound:g}" for bound in BUCKETS] + ["+Inf"]
    for bound, count in zip(bounds, histogram.counts, strict=True):
        running += count
        lines.append(f'{name}_seconds_bucket{{le="{bound}"}} {running}')
    lines.append(f"{name}_seconds_sum {histogram.total:.6f}")
    lines.append(f"{name}_seconds_count {running}")
    return lines


COUNTERS = Counters()
