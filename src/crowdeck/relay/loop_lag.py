# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""How late an entry itself is, so that it blames no engine for that."""

import anyio

from crowdeck.observe import counters
from crowdeck.observe import logs

# A beat of those that a silent engine is waited out with.
TICK_SECONDS = 0.009
# A beat of the meter that runs all day. What holds the loop up for longer
# is always noticed; shorter than a quarter of the shortest pause after which
# a stream is looked into, it does no harm unnoticed.
METER_TICK_SECONDS = 0.02
# Only beats count that came on time. While our own loop was late, by its
# share of the processor or a long task, answers lay unread and questions
# unsent: entries with 0.4 of a core took five sound engines for silent at
# one moment when a large config came.
ON_TIME_SECONDS = 0.006
# Lateness from which the loop's own work shows in the log.
LOGGED_LAG_SECONDS = 0.03
# How long after a late beat streams may seem silent that only wait to be
# read.
SETTLE_SECONDS = 0.03
# Lateness is remembered for so long: a burst of work comes in pieces.
RECENT_SECONDS = 0.3
# So late, an entry does not keep up with what it has; what comes on top
# makes all of it late. A large config that is read takes up to 0.09 s.
OVERLOAD_SECONDS = 0.15


class LoopLagMeter:
    """Measures how late the event loop runs its tasks."""

    def __init__(self) -> None:
        self._late_at = float("-inf")
        self._peak = 0.0
        self._peak_at = float("-inf")
        self._due = float("inf")

    async def run(self) -> None:
        """Measure until cancelled."""
        while True:
            self._due = anyio.current_time() + METER_TICK_SECONDS
            late = await tick(METER_TICK_SECONDS)
            if late <= ON_TIME_SECONDS:
                continue
            now = self._late_at = anyio.current_time()
            if late >= self._peak or now - self._peak_at > RECENT_SECONDS:
                self._peak, self._peak_at = late, now
            if late > LOGGED_LAG_SECONDS:
                counters.COUNTERS.time("loop.late", late)
                logs.change("loop_late", seconds=round(late, 4))

    @property
    def is_overloaded(self) -> bool:
        """Whether the process does not keep up with its work."""
        return self.recent_lag() > OVERLOAD_SECONDS

    def recent_lag(self) -> float:
        """Return by how much the loop was late at the most just now."""
        now = anyio.current_time()
        overdue = max(0.0, now - self._due)
        if now - self._peak_at > RECENT_SECONDS:
            return overdue
        return max(overdue, self._peak)

    def is_settling(self) -> bool:
        """Whether the loop was late just now."""
        return anyio.current_time() - self._late_at < SETTLE_SECONDS


async def tick(seconds: float = TICK_SECONDS) -> float:
    """Sleep for one beat; returns by how much it was late, in seconds."""
    due = anyio.current_time() + seconds
    await anyio.sleep(seconds)
    return anyio.current_time() - due
