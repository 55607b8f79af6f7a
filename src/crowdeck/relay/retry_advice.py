# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""When callers that were refused for want of room should come back."""

import collections
import random

import anyio

# Over this time refusals and ends are counted: about as long as a stream
# takes.
WINDOW_SECONDS = 2.0
# A lone refusal: room comes with the next stream that ends.
MIN_DELAY_SECONDS = 0.3
# Callers follow the advice up to a third of the time they have left, which
# for streams of 20 s is over six seconds.
MAX_DELAY_SECONDS = 4.0
# What one entry cannot serve for a reason of its own another may serve now.
# Callers that come back so soon can still be answered in time; the entry
# stopped welcoming connections two seconds before, so they reach another.
OTHER_ENTRY_DELAY_SECONDS = 0.25


class RetryAdvisor:
    """Spreads returns over the time in which room comes for them.

    Told the same short time, all that were refused in a burst come back
    into it together, and are refused again.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._refused: collections.deque[float] = collections.deque()
        self._ended: collections.deque[float] = collections.deque()

    def note_end(self) -> None:
        """Note that a stream ended, and what it held is free."""
        self._ended.append(anyio.current_time())
        self._forget(self._ended)

    def seconds_until_capacity(self, count: int) -> float:
        """Return in how long room comes for ``count`` more, in seconds.

        0 where no stream was seen to end lately: nothing is known then.
        """
        self._forget(self._ended)
        if not self._ended:
            return 0.0
        return WINDOW_SECONDS * count / len(self._ended)

    def estimate_delay(self) -> float:
        """Return when one that is refused now should come back, in seconds.

        As many as were refused lately need as many ends to have room.
        """
        self._refused.append(anyio.current_time())
        self._forget(self._refused)
        self._forget(self._ended)
        ends = max(1, len(self._ended))
        seconds = WINDOW_SECONDS * (len(self._refused) - 1) / ends
        spread = min(seconds, MAX_DELAY_SECONDS - MIN_DELAY_SECONDS)
        return MIN_DELAY_SECONDS + self._rng.uniform(0.0, spread)

    def _forget(self, times: collections.deque[float]) -> None:
        since = anyio.current_time() - WINDOW_SECONDS
        while times and times[0] < since:
            times.popleft()
