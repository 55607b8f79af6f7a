# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Asking engines whether they live, once for all who want to know."""

import anyio
import attrs

from crowdeck import chain
from crowdeck import errors
from crowdeck.observe import counters
from crowdeck.observe import logs
from crowdeck.relay import reach

# An engine that says nothing for this long is taken for silent. Sound
# ones answer within 2 ms, those of another zone within 3; the rest is for
# a busy entry of our own. With 60 ms, streams through a dark engine went
# on 230 ms after their last event, and 200 ms are in time.
PROBE_SECONDS = 0.035
# An answer serves everybody who asks within this time. When an engine
# fails, all streams through it ask at once.
FRESH_SECONDS = 0.05
# When the loop itself was late by more than this, a probe that ran out of
# time shows nothing: the answer may well have been here unread.
LATE_SECONDS = 0.02
BEAT_SECONDS = 0.01
LATENESS_KEPT_SECONDS = 0.2


@attrs.frozen
class Probe:
    """What came of asking an engine.

    :ivar report: what it said, ``None`` if it said nothing.
    :ivar is_sure: whether silence is the engine's and not our own.
    """

    upstream: chain.Upstream
    report: chain.EngineReport | None
    reason: str
    is_sure: bool
    at: float

    @property
    def is_silent(self) -> bool:
        """Whether the engine is known to say nothing."""
        return self.report is None and self.is_sure


class LatenessMeter:
    """Measures how late the event loop runs its tasks."""

    def __init__(self) -> None:
        self._late_at = float("-inf")

    async def run(self) -> None:
        """Measure until cancelled."""
        while True:
            due = anyio.current_time() + BEAT_SECONDS
            await anyio.sleep(BEAT_SECONDS)
            late = anyio.current_time() - due
            if late > LATE_SECONDS:
                self._late_at = anyio.current_time()
                counters.COUNTERS.time("loop.late", late)
                logs.change("loop_late", seconds=round(late, 4))

    def was_late(self) -> bool:
        """Whether the loop was late within the last moments."""
        age = anyio.current_time() - self._late_at
        return age < LATENESS_KEPT_SECONDS


class Prober:
    """Asks engines for their reports, each at most once at a time."""

    def __init__(
        self, upstreams: reach.Upstreams, lateness: LatenessMeter
    ) -> None:
        self._upstreams = upstreams
        self._lateness = lateness
        self._known: dict[str, Probe] = {}
        self._asking: dict[str, anyio.Event] = {}

    async def ask(self, upstream: chain.Upstream) -> Probe:
        """Return what an engine says now, or said a moment ago."""
        while True:
            known = self._known.get(upstream.name)
            now = anyio.current_time()
            if known is not None and now - known.at < FRESH_SECONDS:
                return known
            waiting = self._asking.get(upstream.name)
            if waiting is None:
                return await self._ask(upstream)
            await waiting.wait()

    async def _ask(self, upstream: chain.Upstream) -> Probe:
        done = self._asking[upstream.name] = anyio.Event()
        try:
            probe = await self._exchange(upstream)
            self._known[upstream.name] = probe
            return probe
        finally:
            del self._asking[upstream.name]
            done.set()

    async def _exchange(self, upstream: chain.Upstream) -> Probe:
        counters.COUNTERS.add("relay.probed")
        report: chain.EngineReport | None = None
        reason = "no answer"
        was_refused = False
        with anyio.move_on_after(PROBE_SECONDS):
            try:
                report = await self._upstreams.report(upstream)
            except errors.CrowdeckError as error:
                reason = error.message
                was_refused = True
        is_sure = was_refused or not self._lateness.was_late()
        return Probe(upstream, report, reason, is_sure, anyio.current_time())
