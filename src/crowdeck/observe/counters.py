# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Counters, gauges and timers of one process.

Updates only change a table in memory, as they occur for every token. A
periodic flush sends the changes as statsd packets; the table is also
available in the Prometheus text format. ``docs/METRICS.md`` lists the names.
"""

import bisect
import collections
import typing

import attrs


class StatsdClient(typing.Protocol):
    """The methods of a statsd client that are used here."""

    def incr(self, stat: str, count: int) -> None:
        """Add to a counter."""
        ...

    def gauge(self, stat: str, value: float) -> None:
        """Set a gauge."""
        ...

    def timing(self, stat: str, delta: float) -> None:
        """Record a duration in milliseconds."""
        ...


# Maximum number of timings kept between two flushes. Further ones are left
# out of the statsd timers but counted in the histograms.
TIMING_LIMIT = 1_000

# Upper bounds of the histogram buckets, in seconds.
BUCKET_BOUNDS_SECONDS = (
    *(0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.35),
    *(0.5, 0.75, 1.0, 1.5, 2.0, 3.5, 5.0, 10.0, 20.0, 45.0),
)


@attrs.define
class Histogram:
    """A histogram of durations.

    :ivar counts: number of durations per bucket; the last is unbounded.
    :ivar total_seconds: sum of the durations.
    """

    counts: list[int] = attrs.field(
        factory=lambda: [0] * (len(BUCKET_BOUNDS_SECONDS) + 1)
    )
    total_seconds: float = 0.0

    def add(self, seconds: float) -> None:
        """Count one duration."""
        self.counts[bisect.bisect_left(BUCKET_BOUNDS_SECONDS, seconds)] += 1
        self.total_seconds += seconds


class Counters:
    """A table of counters, gauges, histograms and recent timings."""

    def __init__(self) -> None:
        self._counts: collections.Counter[str] = collections.Counter()
        self._sent_counts: collections.Counter[str] = collections.Counter()
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
        """Record a duration."""
        self._histograms.setdefault(name, Histogram()).add(seconds)
        if len(self._timings) < TIMING_LIMIT:
            self._timings.append((name, seconds))

    def get(self, name: str) -> int:
        """Return the value of a counter, 0 if it was never incremented."""
        return self._counts[name]

    def gauge(self, name: str) -> float:
        """Return the value of a gauge, 0 if it was never set."""
        return self._gauges.get(name, 0.0)

    def as_dict(self) -> dict[str, int]:
        """Return all counters by name, sorted."""
        return dict(sorted(self._counts.items()))

    def as_text(self) -> str:
        """Return all metrics in the Prometheus text format."""
        lines = []
        for name, value in self.as_dict().items():
            lines.append(f"{_prometheus_name(name)}_total {value}")
        for name, level in sorted(self._gauges.items()):
            lines.append(f"{_prometheus_name(name)} {level:g}")
        for name, histogram in sorted(self._histograms.items()):
            lines += _histogram_lines(_prometheus_name(name), histogram)
        return "\n".join(lines) + "\n"

    def flush(self, client: StatsdClient) -> None:
        """Send new counts and timings since the last flush, and all gauges."""
        for name, value in self._counts.items():
            change = value - self._sent_counts[name]
            if change:
                client.incr(name, change)
                self._sent_counts[name] = value
        for name, level in self._gauges.items():
            client.gauge(name, level)
        for name, seconds in self._timings:
            client.timing(name, seconds * 1000.0)
        self._timings.clear()


def _prometheus_name(name: str) -> str:
    return "crowdeck_" + name.replace(".", "_").replace("-", "_")


def _histogram_lines(name: str, histogram: Histogram) -> list[str]:
    lines = []
    cumulative = 0
    bounds = [f"{bound:g}" for bound in BUCKET_BOUNDS_SECONDS] + ["+Inf"]
    for bound, count in zip(bounds, histogram.counts, strict=True):
        cumulative += count
        lines.append(f'{name}_seconds_bucket{{le="{bound}"}} {cumulative}')
    lines.append(f"{name}_seconds_sum {histogram.total_seconds:.6f}")
    lines.append(f"{name}_seconds_count {cumulative}")
    return lines


COUNTERS = Counters()
