# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0
"""Bounds how many questions about silent streams an entry asks."""

# Questions a second, whatever the number of streams.
BASE_PER_SECOND = 5.0
# Questions a second for each stream in progress.
PER_STREAM_SECOND = 1.0
# Questions that may be asked at once after a quiet time: enough for all
# engines of two paths.
BURST = 20.0
# Further questions that may be asked at once about engines that several
# silent streams have in common.
URGENT_RESERVE = 20.0


class QuestionBudget:
    """A bound that grows with the number of streams."""

    def __init__(self) -> None:
        self._left = BURST
        self._updated_at = float("-inf")

    @property
    def is_spent(self) -> bool:
        """Whether only urgent questions may be asked now."""
        return self._left < 1.0

    def update(self, streams: int, now: float) -> None:
        """Take in the time that has passed.

        :param streams: number of streams in progress.
        """
        per_second = BASE_PER_SECOND + PER_STREAM_SECOND * streams
        elapsed_seconds = now - self._updated_at
        self._left = min(BURST, self._left + per_second * elapsed_seconds)
        self._updated_at = now

    def claim(self, *, is_urgent: bool) -> bool:
        """Claim one question; return whether it may be asked."""
        least = -URGENT_RESERVE if is_urgent else 0.0
        if self._left - 1.0 < least:
            return False
        self._left -= 1.0
        return True
