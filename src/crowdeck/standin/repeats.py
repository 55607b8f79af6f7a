# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Counts repeated arrivals of requests at a service."""

import bisect
import collections

import attrs


@attrs.frozen
class Allowance:
    """The repeats that a service allows in any window.

    :ivar ratio: allowed repeats per request.
    :ivar slack: additional allowed repeats.
    :ivar window_seconds: length of the sliding window.
    """

    ratio: float
    slack: float
    window_seconds: float


@attrs.frozen
class RepeatWindow:
    """The number of repeats in one window, and the number allowed in it.

    :ivar started_at: start of the window in seconds, on the clock of the
        arrivals.
    """

    started_at: float
    repeats: int
    allowed: float

    @property
    def is_over(self) -> bool:
        """Whether there are more repeats than allowed."""
        return self.repeats > self.allowed


@attrs.define
class RepeatCounter:
    """Counts the requests and arrivals of one service, from all entries.

    Every arrival of a request after its first is a repeat, even if it is
    rejected. Requests are counted when callers send them, whether or not
    they arrive.
    """

    _requests: list[float] = attrs.field(factory=list)
    _arrivals: dict[str, list[float]] = attrs.field(
        factory=lambda: collections.defaultdict(list)
    )

    @property
    def arrivals(self) -> dict[str, list[float]]:
        """Times of arrival by request."""
        return dict(self._arrivals)

    def count_request(self, at: float) -> None:
        """Count a caller's request; call in order of ``at``."""
        self._requests.append(at)

    def count_arrival(self, request: str, at: float) -> None:
        """Count an arrival; call in order of ``at``."""
        self._arrivals[request].append(at)

    def repeats(self) -> list[float]:
        """Return the times of all repeats, sorted."""
        return sorted(
            at for times in self._arrivals.values() for at in times[1:]
        )

    def peak(self, allowance: Allowance) -> RepeatWindow:
        """Return the window with the most repeats above its allowance."""
        return max(
            self.windows(allowance),
            key=lambda found: found.repeats - found.allowed,
        )

    def windows(self, allowance: Allowance) -> list[RepeatWindow]:
        """Return all windows that start or end at a repeat, or start at 0."""
        repeats = self.repeats()
        window = allowance.window_seconds
        starts = {*repeats, *(at - window for at in repeats), 0.0}
        return [
            self._measure_window(start, repeats, allowance) for start in starts
        ]

    def _measure_window(
        self, since: float, repeats: list[float], allowance: Allowance
    ) -> RepeatWindow:
        window = allowance.window_seconds
        # Requests of the preceding window also allow repeats in this one, so
        # the count is the largest of both and the window halfway between.
        requests = max(
            _count_in_window(self._requests, since - offset, window)
            for offset in (0.0, window / 2, window)
        )
        allowed = allowance.ratio * requests + allowance.slack
        return RepeatWindow(
            since, _count_in_window(repeats, since, window), allowed
        )


def _count_in_window(times: list[float], since: float, seconds: float) -> int:
    first = bisect.bisect_left(times, since)
    return bisect.bisect_right(times, since + seconds) - first
