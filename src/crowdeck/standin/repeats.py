# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Counts, at a service, how often requests arrive there again."""

import bisect
import collections

import attrs


@attrs.frozen
class Allowance:
    """How many repeats a service takes in any window.

    :ivar ratio: repeats for each request.
    :ivar slack: repeats on top.
    :ivar window: length of the sliding window in seconds.
    """

    ratio: float
    slack: float
    window: float


@attrs.frozen
class Peak:
    """The window in which most repeats came for what it allows.

    :ivar since: when the window begins, in the time of the arrivals.
    """

    since: float
    repeats: int
    allowed: float

    @property
    def is_over(self) -> bool:
        """Whether more came than are allowed."""
        return self.repeats > self.allowed


@attrs.define
class RepeatAccount:
    """What one service got, whichever entry sent it.

    Every arrival of a request beyond its first is a repeat, also one that
    is turned away. Requests count where callers sent them, whether or not
    they arrived.
    """

    _requests: list[float] = attrs.field(factory=list)
    _arrivals: dict[str, list[float]] = attrs.field(
        factory=lambda: collections.defaultdict(list)
    )

    @property
    def arrivals(self) -> dict[str, list[float]]:
        """When each request arrived."""
        return dict(self._arrivals)

    def note_request(self, at: float) -> None:
        """Count a request of a caller, in the order of time."""
        self._requests.append(at)

    def note_arrival(self, request: str, at: float) -> None:
        """Count an arrival, in the order of time."""
        self._arrivals[request].append(at)

    def repeats(self) -> list[float]:
        """Return when requests arrived again."""
        return sorted(
            at for times in self._arrivals.values() for at in times[1:]
        )

    def peak(self, allowance: Allowance) -> Peak:
        """Return the window with most repeats over what it allows."""
        return max(
            self.peaks(allowance), key=lambda one: one.repeats - one.allowed
        )

    def peaks(self, allowance: Allowance) -> list[Peak]:
        """Return all windows that begin or end with a repeat, and one more."""
        repeats = self.repeats()
        window = allowance.window
        starts = {*repeats, *(at - window for at in repeats), 0.0}
        return [self._peak(one, repeats, allowance) for one in starts]

    def _peak(
        self, since: float, repeats: list[float], allowance: Allowance
    ) -> Peak:
        window = allowance.window
        requests = max(
            _count(self._requests, since - back, window)
            for back in (0.0, window / 2, window)
        )
        allowed = allowance.ratio * requests + allowance.slack
        return Peak(since, _count(repeats, since, window), allowed)


def _count(times: list[float], since: float, seconds: float) -> int:
    first = bisect.bisect_left(times, since)
    return bisect.bisect_right(times, since + seconds) - first
