# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0
"""Foretells first events at an engine from the streams that wait there."""

import typing

import attrs

# Weight of the newest sample in the moving averages.
EWMA_WEIGHT = 0.1
# Least variance of the number of streams ahead from which the time that each
# adds can be told.
MIN_VARIANCE = 0.5


@attrs.define(eq=False)
class HeadQueue:
    """How the time to a first event grows with the streams ahead.

    A recent mean tells of a queue only when its streams have begun. Until
    then all new streams would join it.
    """

    _ahead_by_attempt: dict[typing.Hashable, int] = attrs.field(factory=dict)
    _mean_ahead: float = 0.0
    _mean_seconds: float = 0.0
    _variance: float = 0.0
    _covariance: float = 0.0
    _has_samples: bool = False

    def note_begun(self, attempt: typing.Hashable, ahead: int) -> None:
        """Record an attempt, and the number of streams it waits behind."""
        self._ahead_by_attempt[attempt] = ahead

    def note_first_event(
        self, attempt: typing.Hashable, seconds: float
    ) -> None:
        """Record how long an attempt took to its first event."""
        ahead = self._ahead_by_attempt.pop(attempt, None)
        if ahead is None:
            return
        if not self._has_samples:
            self._has_samples = True
            self._mean_ahead, self._mean_seconds = ahead, seconds
            return
        ahead_change = ahead - self._mean_ahead
        seconds_change = seconds - self._mean_seconds
        self._mean_ahead += EWMA_WEIGHT * ahead_change
        self._mean_seconds += EWMA_WEIGHT * seconds_change
        kept = 1.0 - EWMA_WEIGHT
        self._variance = kept * (
            self._variance + EWMA_WEIGHT * ahead_change**2
        )
        self._covariance = kept * (
            self._covariance + EWMA_WEIGHT * ahead_change * seconds_change
        )

    def note_ended(self, attempt: typing.Hashable) -> None:
        """Record that an attempt has ended, whatever its outcome."""
        self._ahead_by_attempt.pop(attempt, None)

    def expected_seconds(self, ahead: int) -> float | None:
        """Return the expected time to a first event behind other streams.

        ``None`` while it cannot be told that each of them adds to it.
        """
        if self._variance < MIN_VARIANCE:
            return None
        # No stream adds more than its part of all the time.
        most = self._mean_seconds / (self._mean_ahead + 1.0)
        each = min(most, max(0.0, self._covariance / self._variance))
        if not each:
            return None
        change = ahead - self._mean_ahead
        return max(0.0, self._mean_seconds + each * change)
