# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Asking engines whether they live, once for all who want to know."""

import typing

import anyio
import attrs

from crowdeck import chain
from crowdeck import errors
from crowdeck.observe import counters
from crowdeck.relay import interfaces
from crowdeck.relay import loop_lag

# An engine that says nothing for so many beats is taken for silent. Sound
# ones answer within 2 ms, those of another zone within 3; with 60 ms
# instead of 36, streams through a dark engine went on 230 ms after their
# last event, and 200 ms are in time.
SILENT_TICKS = 4
# Beats in all, on time or not; an entry this busy learns nothing by asking.
MAX_TICKS = 25
# An answer serves everybody who asks within this time. When an engine
# fails, all streams through it ask at once.
REUSE_SECONDS = 0.05
# For streams that have yet to begin a sound answer serves longer: they wait
# for some tenths of a second, and hundreds wait when a fleet is full. Asked
# every 50 ms by 29 entries, engines got six questions for each request.
STARTING_REUSE_SECONDS = 0.25

# Engines asked beside one that is silent, to tell its silence from ours.
CONTROL_COUNT = 2


@attrs.frozen
class Probe:
    """What came of asking an engine.

    :ivar report: what it said, ``None`` if it said nothing.
    :ivar is_sure: whether silence is the engine's and not our own.
    :ivar was_refused: whether a refusal or a reset came back: no answer,
        but a sign that the way there is open.
    :ivar is_gone: whether its process is known to have ended.
    """

    upstream: chain.Upstream
    report: chain.EngineReport | None
    reason: str
    is_sure: bool
    at: float
    was_refused: bool = False
    is_gone: bool = False

    @property
    def is_silent(self) -> bool:
        """Whether the engine is known to say nothing."""
        return self.report is None and self.is_sure


class Prober:
    """Asks engines for their reports, each at most once at a time.

    :param may_probe: whether an engine, by its name, may be asked now. One
        that wants rest is not; that it says nothing then proves nothing.
    """

    def __init__(
        self,
        upstreams: interfaces.Upstreams,
        may_probe: typing.Callable[[str], bool],
    ) -> None:
        self._upstreams = upstreams
        self._may_probe = may_probe
        self._known: dict[str, Probe] = {}
        self._asking: dict[str, anyio.Event] = {}

    @property
    def is_probing(self) -> bool:
        """Whether an engine was asked and has not answered yet."""
        return bool(self._asking)

    async def ask(
        self, upstream: chain.Upstream, max_age: float = REUSE_SECONDS
    ) -> Probe:
        """Return what an engine says now, or said a moment ago.

        :param fresh: seconds for which a sound answer serves.
        """
        while True:
            known = self._known.get(upstream.name)
            now = anyio.current_time()
            if known is not None:
                reuse_seconds = (
                    REUSE_SECONDS if known.report is None else max_age
                )
                if now - known.at < reuse_seconds:
                    return known
            waiting = self._asking.get(upstream.name)
            if waiting is None:
                if not self._may_probe(upstream.name):
                    return Probe(upstream, None, "it wants rest", False, now)
                return await self._ask(upstream)
            await waiting.wait()

    async def _ask(self, upstream: chain.Upstream) -> Probe:
        done = self._asking[upstream.name] = anyio.Event()
        try:
            probe = await self._exchange(upstream)
            self._forget()
            self._known[upstream.name] = probe
            return probe
        finally:
            del self._asking[upstream.name]
            done.set()

    def _forget(self) -> None:
        """Drop what is no longer fresh: engines come and go all day."""
        since = anyio.current_time() - STARTING_REUSE_SECONDS
        for name in [n for n, one in self._known.items() if one.at < since]:
            del self._known[name]

    async def _exchange(self, upstream: chain.Upstream) -> Probe:
        counters.COUNTERS.add("relay.probed")
        found: list[Probe] = []

        async def report(scope: anyio.CancelScope) -> None:
            answer: chain.EngineReport | None = None
            reason = ""
            is_gone = False
            is_sure = True
            try:
                answer = await self._upstreams.report(upstream)
            except errors.CrowdeckError as error:
                reason = error.message
                is_gone = isinstance(error, errors.InstanceGone)
                # One that cannot be read came from a process that lives.
                is_sure = error.code is not errors.Code.MALFORMED
            now = anyio.current_time()
            found.append(
                Probe(
                    upstream,
                    answer,
                    reason,
                    is_sure,
                    now,
                    answer is None and is_sure,
                    is_gone,
                )
            )
            scope.cancel()

        is_sure = False
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(report, tasks.cancel_scope)
            is_sure = await _wait_for_silence()
            tasks.cancel_scope.cancel()
        if found:
            return found[0]
        now = anyio.current_time()
        return Probe(upstream, None, "no answer", is_sure, now)


def controls(
    upstream: chain.Upstream, usable: typing.Iterable[chain.Upstream]
) -> list[chain.Upstream]:
    """Return engines to ask beside one that is silent.

    Those of other zones first: a zone may be lost as a whole.
    """
    zone = upstream.availability_zone
    others = [one for one in usable if one.name != upstream.name]
    others.sort(key=lambda one: (one.availability_zone == zone, one.name))
    return others[:CONTROL_COUNT]


async def _wait_for_silence() -> bool:
    """Wait for the beats of a silent engine; true if enough were on time."""
    on_time = 0
    for _ in range(MAX_TICKS):
        if await loop_lag.tick() <= loop_lag.ON_TIME_SECONDS:
            on_time += 1
        if on_time >= SILENT_TICKS:
            return True
    return False
