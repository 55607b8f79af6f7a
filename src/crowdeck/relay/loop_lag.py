# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Measures the lag of the event loop.

An entry whose own event loop lags must not treat engines as lost.
"""

import anyio

from crowdeck.observe import counters
from crowdeck.observe import logs

# Default length of a tick. An engine counts as silent after
# probes.SILENT_TICKS ticks on time.
TICK_SECONDS = 0.009
# Length of the meter's ticks. Delays of the loop longer than this plus
# ON_TIME_SECONDS are always noticed, and shorter ones do not make a stream
# look silent.
METER_TICK_SECONDS = 0.02
# A tick that is later than this is not on time. Answers may then be unread, so
# the tick does not count towards an engine's silence. If it did, an entry with
# 0.4 of a core would treat healthy engines as silent while it decodes a large
# config.
ON_TIME_SECONDS = 0.006
# Larger lags are logged.
LOGGED_LAG_SECONDS = 0.03
# How long after a late tick streams may look silent only because their events
# have not been read yet.
SETTLE_SECONDS = 0.03
# How long the peak lag is remembered.
RECENT_SECONDS = 0.3
# Lag above which an entry counts as overloaded. An entry that lags more cannot
# keep up, and new requests would delay all the others. Decoding a large config
# causes a lag of up to 0.09 s.
OVERLOAD_SECONDS = 0.15


class LoopLagMeter:
    """Measures how late the event loop runs its tasks."""

    def __init__(self) -> None:
        self._late_at = float("-inf")
        self._peak_seconds = 0.0
        self._peak_at = float("-inf")
        self._due_at = float("inf")

    async def run(self) -> None:
        """Measure until cancelled."""
        while True:
            self._due_at = anyio.current_time() + METER_TICK_SECONDS
            lag_seconds = await tick(METER_TICK_SECONDS)
            if lag_seconds <= ON_TIME_SECONDS:
                continue
            now = self._late_at = anyio.current_time()
            if (
                lag_seconds >= self._peak_seconds
                or now - self._peak_at > RECENT_SECONDS
            ):
                self._peak_seconds, self._peak_at = lag_seconds, now
            if lag_seconds > LOGGED_LAG_SECONDS:
                counters.COUNTERS.time("loop.late", lag_seconds)
                logs.change("loop_late", seconds=round(lag_seconds, 4))

    @property
    def is_overloaded(self) -> bool:
        """Whether the process does not keep up with its work."""
        return self.recent_lag() > OVERLOAD_SECONDS

    def recent_lag(self) -> float:
        """Return the peak lag of the recent past, in seconds."""
        now = anyio.current_time()
        overdue = max(0.0, now - self._due_at)
        if now - self._peak_at > RECENT_SECONDS:
            return overdue
        return max(overdue, self._peak_seconds)

    def is_settling(self) -> bool:
        """Whether the loop was late in the last ``SETTLE_SECONDS``."""
        return anyio.current_time() - self._late_at < SETTLE_SECONDS


async def tick(seconds: float = TICK_SECONDS) -> float:
    """Sleep for one tick, and return by how many seconds it was late."""
    due = anyio.current_time() + seconds
    await anyio.sleep(seconds)
    return anyio.current_time() - due
