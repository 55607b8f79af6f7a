# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Finding out why a stream fell silent, and leading it around."""

import anyio
import anyio.abc
import attrs

from crowdeck import chain
from crowdeck import errors
from crowdeck.observe import counters
from crowdeck.observe import logs
from crowdeck.platform import engines
from crowdeck.relay import context as contexts
from crowdeck.relay import live
from crowdeck.routing import hops

# How often streams are looked at: a small part of the pause that is
# allowed, at little cost for some tens of streams.
LOOK_SECONDS = 0.025
# A stream is looked into after this share of the longest pause that is
# in time; the rest of the pause is for asking and leading it around.
SILENT_SHARE = 0.4
# A first event takes a prompt's reading as well: this share of its
# objective.
FIRST_SHARE = 0.5
# An engine of the path that says nothing for this long while the stream
# is silent is taken for the cause. Sound ones answer within 2 ms.
PROBE_SECONDS = 0.06
# A stream whose engines all answer is only slow; it is looked into again
# after this many times the pause.
AGAIN_SHARE = 1.0


@attrs.frozen
class _Probe:
    upstream: chain.Upstream
    report: chain.EngineReport | None
    reason: str = ""


class StallWatch:
    """Looks after the streams of one entry."""

    def __init__(self, context: contexts.RelayContext) -> None:
        self._context = context
        self._streams: set[live.LiveStream] = set()
        self._looking: set[live.LiveStream] = set()

    def add(self, stream: live.LiveStream) -> None:
        """Look after a stream from now on."""
        self._streams.add(stream)

    def drop(self, stream: live.LiveStream) -> None:
        """Look after it no longer."""
        self._streams.discard(stream)

    async def run(self) -> None:
        """Look at all streams again and again, until cancelled."""
        async with anyio.create_task_group() as tasks:
            while True:
                await anyio.sleep(LOOK_SECONDS)
                now = anyio.current_time()
                for stream in tuple(self._streams):
                    if self._is_silent(stream, now):
                        self._looking.add(stream)
                        tasks.start_soon(self._look_into, stream)

    def _is_silent(self, stream: live.LiveStream, now: float) -> bool:
        if stream.path is None or stream in self._looking:
            return False
        if stream.has_events:
            limit = SILENT_SHARE * stream.gap
        else:
            limit = FIRST_SHARE * stream.objective
        return now >= max(stream.moved_at + limit, stream.next_look)

    async def _look_into(self, stream: live.LiveStream) -> None:
        try:
            await self._find_cause(stream)
        finally:
            again = AGAIN_SHARE * stream.gap
            stream.next_look = anyio.current_time() + again
            self._looking.discard(stream)

    async def _find_cause(self, stream: live.LiveStream) -> None:
        path = stream.path
        if path is None:
            return
        silent_since = stream.moved_at
        probes = await self._probe(path)
        if stream.path is not path or stream.moved_at != silent_since:
            return
        culprits = self._culprits(stream, probes)
        logs.decision(
            "stream_silent",
            stream.request.id,
            silent=round(anyio.current_time() - silent_since, 3),
            after=stream.last_event,
            culprits=[str(one.address) for one in culprits],
            slow=[
                str(probe.upstream.address)
                for probe in probes
                if probe.report is not None and probe.report.slowdown > 1.0
            ],
        )
        for culprit in culprits:
            self._context.book.avoid(culprit.name, "silent in a stream")
            await self._lead_around(culprit)

    async def _probe(self, path: chain.ChainPath) -> list[_Probe]:
        """Ask every engine of a path for its report, all at once."""
        probes: list[_Probe] = []

        async def ask(upstream: chain.Upstream) -> None:
            report: chain.EngineReport | None = None
            reason = "no answer"
            with anyio.move_on_after(PROBE_SECONDS):
                try:
                    report = await self._context.client.report(upstream)
                except errors.CrowdeckError as error:
                    reason = error.message
            probes.append(_Probe(upstream, report, reason))

        counters.COUNTERS.add("relay.probed", len(path.hops))
        async with anyio.create_task_group() as tasks:
            for hop in path.hops:
                tasks.start_soon(ask, hop.upstream)
        return probes

    def _culprits(
        self, stream: live.LiveStream, probes: list[_Probe]
    ) -> list[chain.Upstream]:
        found = {
            probe.upstream.name: probe.upstream
            for probe in probes
            if probe.report is None
        }
        for probe in probes:
            if probe.report is None:
                continue
            for stall in probe.report.stalls:
                if stall.request != stream.request.id:
                    continue
                upstream = self._context.book.at(stall.address)
                if upstream is not None:
                    found[upstream.name] = upstream
        return list(found.values())

    async def _lead_around(self, culprit: chain.Upstream) -> None:
        """Change the path of every stream that passes a failed engine."""
        async with anyio.create_task_group() as tasks:
            for stream in tuple(self._streams):
                path = stream.path
                if path is None or not path.passes(culprit.name):
                    continue
                if path.head.name == culprit.name:
                    stream.abandon(f"first engine {culprit.address} is silent")
                    continue
                tasks.start_soon(self._repath, stream, path, culprit)

    async def _repath(
        self,
        stream: live.LiveStream,
        path: chain.ChainPath,
        culprit: chain.Upstream,
    ) -> None:
        refused: set[str] = {culprit.name}
        while True:
            other = self._around(stream, path, refused)
            if other is None:
                self._log(stream, path, None, "no other engine has room")
                return
            outcome = await self._context.client.repath(
                path.head, stream.request.id, other
            )
            if stream.path is not path:
                return
            self._log(stream, path, other, _words(outcome))
            if outcome.is_done:
                stream.take_path(other)
                counters.COUNTERS.add("relay.repathed")
                return
            named = self._context.book.at(outcome.culprit)
            if not outcome.is_known or named is None:
                return
            if named.name in refused:
                return
            refused.add(named.name)

    def _around(
        self,
        stream: live.LiveStream,
        path: chain.ChainPath,
        refused: set[str],
    ) -> chain.ChainPath | None:
        usable = [
            one
            for one in self._context.book.usable(stream.service.name)
            if one.name not in refused
        ]
        wanted = hops.Wanted(stream.profile, stream.tokens, self._context.zone)
        return self._context.planner.detour(usable, wanted, path, refused)

    def _log(
        self,
        stream: live.LiveStream,
        path: chain.ChainPath,
        other: chain.ChainPath | None,
        outcome: str,
    ) -> None:
        logs.decision(
            "path_changed",
            stream.request.id,
            before=str(path),
            path=str(other) if other else "",
            outcome=outcome,
            silent=round(anyio.current_time() - stream.moved_at, 3),
        )


def _words(outcome: engines.RepathOutcome) -> str:
    if outcome.is_done:
        return "done"
    if not outcome.is_known:
        return "unknown to its first engine"
    return f"refused because of {outcome.culprit or 'itself'}"
