# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Finding out why a stream fell silent, and leading it around."""

import anyio
import anyio.abc
import attrs

from crowdeck import chain
from crowdeck.observe import counters
from crowdeck.observe import logs
from crowdeck.relay import context as contexts
from crowdeck.relay import live
from crowdeck.relay import probes
from crowdeck.relay import rerouting

# The shortest time between two looks at the streams: a small part of the
# pause that is allowed, at little cost for some tens of streams.
CHECK_SECONDS = 0.02
# Without streams only engines that were avoided are looked after; their
# pauses are a second and more. With a look every 0.02 s all day, and beats
# of 0.009 s, an entry with nothing to do was woken 200 times a second and
# took 2 % of a core.
IDLE_CHECK_SECONDS = 0.2
# A stream is looked into when it was silent for this many times its own
# usual pause, but neither before the first nor after the second share of
# the longest pause that is in time; the rest is for asking and acting.
PAUSE_FACTOR = 2.5
EARLIEST_SHARE = 0.3
LATEST_SHARE = 0.45
# A first event takes a prompt's reading as well: this share of its
# objective.
FIRST_EVENT_SHARE = 0.4
# A stream whose engines all answer is only slow; it is looked into again
# after this share of the pause, and each time after twice as long.
RECHECK_SHARE = 0.5

# An engine may take a request and never work on it, while its report and
# its other streams are well. This share of the objective without a first
# event, or so many times the allowed pause between events, is taken for
# that; what is merely slow has begun by then on all but the worst days.
HUNG_SHARE = 0.8
HUNG_PAUSES = 3.0
# Streams at another first engine begin within this share of the objective:
# what waits here longer than the whole has more to gain than to lose there.
QUICK_SHARE = 0.5
# After this share of the objective the event is late already.
LATE_SHARE = 1.2
# A sibling that moved within this many pauses shows that the engine works.
SIBLING_PAUSES = 3.0
# An engine that a stream's event passed so lately lives. Events travel for
# 10 to 20 ms from stage to stage.
RECENT_EVENT_SECONDS = 0.03


@attrs.frozen
class _Finding:
    """What a look into a silent stream found.

    :ivar culprits: engines that hold it up.
    :ivar is_sure: whether silence was the engines' and not our own.
    :ivar head: what the first engine said, if it did.
    """

    culprits: list[chain.Upstream]
    is_sure: bool
    head: chain.EngineReport | None = None


class StallMonitor:
    """Looks after the streams of one entry."""

    def __init__(self, context: contexts.RelayContext) -> None:
        self._context = context
        self._lag_meter = context.lag_meter
        self._prober = probes.Prober(
            context.client, context.registry.may_probe
        )
        self._streams: set[live.LiveStream] = set()
        self._checking: set[live.LiveStream] = set()
        self._rerouter = rerouting.Rerouter(
            context, self._streams, self._prober, self.verify
        )
        self._to_verify: dict[str, chain.Upstream] = {}
        self._woken = anyio.Event()
        context.registry.subscribe_lapses(self.verify)
        context.quarantine.subscribe(self._abandon_quarantined)

    @property
    def is_probing(self) -> bool:
        """Whether an engine was asked and has not answered yet."""
        return self._prober.is_probing

    def add(self, stream: live.LiveStream) -> None:
        """Look after a stream from now on."""
        self._streams.add(stream)

    def drop(self, stream: live.LiveStream) -> None:
        """Look after it no longer."""
        self._streams.discard(stream)

    def verify(self, upstream: chain.Upstream) -> None:
        """Ask an engine whether it lives; if not, act on it."""
        self._to_verify[upstream.name] = upstream
        self._woken.set()

    async def has_ended(self, upstream: chain.Upstream) -> bool:
        """Ask an instance whose connection broke; true if it is gone.

        A refused connection is known after a millisecond. Whoever sends a
        request on to another instance has to know: as long as this one
        lives the request is one that merely met a broken connection.
        """
        probe = await self._prober.ask(upstream)
        if probe.is_gone:
            self._context.registry.avoid(
                upstream.name, probe.reason, is_gone=True
            )
            await self._rerouter.reroute_around(upstream)
        elif upstream.card:
            # Plain services answer no such question otherwise.
            self.verify(upstream)
        return probe.is_gone

    def _abandon_quarantined(self) -> None:
        """Call back requests that end engines, where they have not begun.

        Several copies may be on their way at once. An engine drops what it
        has not begun when the connection closes.
        """
        quarantine = self._context.quarantine
        for stream in tuple(self._streams):
            if stream.is_starting and quarantine.is_quarantined(
                stream.fingerprint
            ):
                stream.abandon("it ends the engines that begin it")

    def check_now(self, upstream: chain.Upstream) -> None:
        """Look at once into all streams that pass an engine.

        A first engine refused a request because of it, which it knows
        before the streams' silence shows.
        """
        for stream in self._streams:
            path = stream.path
            if path is not None and path.passes(upstream.name):
                stream.next_check = 0.0
                stream.needs_check = True
                self._woken.set()

    async def run(self) -> None:
        """Look at all streams again and again, until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._lag_meter.run)
            while True:
                await self._wait_for_check()
                for upstream in self._to_verify.values():
                    tasks.start_soon(self._verify, upstream)
                self._to_verify.clear()
                for upstream in self._context.registry.due_for_probe():
                    tasks.start_soon(self._verify, upstream)
                if self._lag_meter.is_settling():
                    continue
                now = anyio.current_time()
                for stream in tuple(self._streams):
                    if self._is_silent(stream, now):
                        self._checking.add(stream)
                        tasks.start_soon(self._check, stream)

    async def _wait_for_check(self) -> None:
        """Sleep until a stream may have been silent for too long."""
        await anyio.sleep(CHECK_SECONDS)
        with anyio.move_on_at(self._next_check()):
            await self._woken.wait()
        self._woken = anyio.Event()

    def _next_check(self) -> float:
        """Return the loop's time before which no stream is silent.

        A stream that begins may be silent sooner than one that has not
        begun, but never sooner than the earliest share of its pause.
        """
        now = anyio.current_time()
        if self._lag_meter.is_settling():
            return now
        soonest = IDLE_CHECK_SECONDS
        for stream in self._streams:
            if stream in self._checking:
                continue
            soonest = min(soonest, EARLIEST_SHARE * stream.max_pause)
            if stream.path is not None:
                soonest = min(soonest, self._silent_at(stream) - now)
        return now + soonest

    async def _verify(self, upstream: chain.Upstream) -> None:
        probe = await self._prober.ask(upstream)
        if await self._is_lost(probe, ()):
            self._context.registry.avoid(
                upstream.name, probe.reason, is_gone=probe.is_gone
            )
            await self._rerouter.reroute_around(upstream)
        elif probe.report is not None:
            self._context.registry.note_healthy(upstream.name)

    async def _is_lost(
        self, probe: probes.Probe, others: tuple[chain.Upstream, ...]
    ) -> bool:
        """Whether an engine that did not answer is lost, and not we.

        Silence counts only while others answer: when our own link is full
        or cut, all engines are silent at once, and leaving them all would
        end every stream for nothing.
        """
        if not probe.is_silent:
            return False
        if probe.was_refused:
            return True
        usable = self._context.registry.usable(probe.upstream.service)
        controls = [*others, *probes.controls(probe.upstream, usable)]
        answers: list[probes.Probe] = []

        async def ask(upstream: chain.Upstream) -> None:
            answers.append(await self._prober.ask(upstream))

        async with anyio.create_task_group() as tasks:
            for control in controls:
                tasks.start_soon(ask, control)
        return any(
            answer.report is not None or answer.was_refused
            for answer in answers
        )

    def _is_silent(self, stream: live.LiveStream, now: float) -> bool:
        if stream.path is None or stream in self._checking:
            return False
        if stream.needs_check:
            stream.needs_check = False
            return True
        return now >= self._silent_at(stream)

    def _silent_at(self, stream: live.LiveStream) -> float:
        """Return when a stream is to be looked into unless it moves."""
        if stream.has_events:
            limit = PAUSE_FACTOR * stream.usual_pause
            limit = max(limit, EARLIEST_SHARE * stream.max_pause)
            limit = min(limit, LATEST_SHARE * stream.max_pause)
        else:
            limit = FIRST_EVENT_SHARE * stream.objective
        return max(stream.progress_at + limit, stream.next_check)

    async def _check(self, stream: live.LiveStream) -> None:
        try:
            await self._find_cause(stream)
        finally:
            stream.checks += 1
            again = (
                RECHECK_SHARE * stream.max_pause * 2.0 ** (stream.checks - 1)
            )
            stream.next_check = anyio.current_time() + again
            self._checking.discard(stream)

    async def _find_cause(self, stream: live.LiveStream) -> None:
        path = stream.path
        if path is None:
            return
        silent_since = stream.progress_at
        found = await self._find_culprits(stream, path)
        if stream.path is not path or stream.progress_at != silent_since:
            return
        logs.decision(
            "stream_silent",
            stream.request.id,
            silent=round(anyio.current_time() - silent_since, 3),
            usual=round(stream.usual_pause, 4),
            after=stream.last_event,
            culprits=[str(one.address) for one in found.culprits],
            is_sure=found.is_sure,
            running=found.head.running if found.head else None,
            waiting=found.head.waiting if found.head else None,
        )
        for culprit in found.culprits:
            self._context.registry.avoid(culprit.name, "silent in a stream")
        await self._rerouter.reroute_around_all(found.culprits)
        if not found.culprits and self._is_hung(stream, path, found):
            self._abandon_hung(stream, path)

    def _is_hung(
        self, stream: live.LiveStream, path: chain.ChainPath, found: _Finding
    ) -> bool:
        """Whether its first engine holds a stream and does not work on it."""
        if not stream.may_resume or path.crossings:
            return False
        if found.head is None or not found.is_sure:
            return False
        limit = HUNG_PAUSES * stream.max_pause
        if stream.is_starting:
            limit = HUNG_SHARE * stream.objective
        now = anyio.current_time()
        if now - stream.progress_at < limit:
            return False
        if not self._context.may_restart_stream(stream.service.name):
            return False
        if stream.is_starting and self._is_quicker_elsewhere(stream, path):
            return True
        return not found.head.waiting and any(
            other.path is not None
            and other.path.head.name == path.head.name
            and other.has_events
            and now - other.progress_at < SIBLING_PAUSES * other.usual_pause
            for other in self._streams
            if other is not stream
        )

    def _is_quicker_elsewhere(
        self, stream: live.LiveStream, path: chain.ChainPath
    ) -> bool:
        """Whether nothing begins at its first engine, and much elsewhere.

        An engine that holds all that it is given, and is well by its
        reports, has no streams that move; others' show that it is not the
        whole fleet which is slow.
        """
        heads = self._context.heads
        name = path.head.name
        if heads.has_first_event_since(name, stream.progress_at):
            return False
        if heads.has_fast_alternative(name, QUICK_SHARE * stream.objective):
            return True
        # An entry with few streams may know of no other. One that was not
        # seen to be slow is worth the try when this one is late anyway.
        waited = anyio.current_time() - stream.progress_at
        return (
            waited > LATE_SHARE * stream.objective
            and not heads.has_slow_alternative(name, stream.objective)
        )

    def _abandon_hung(
        self, stream: live.LiveStream, path: chain.ChainPath
    ) -> None:
        counters.COUNTERS.add("relay.hung")
        reason = f"{path.head.address} holds it and does not work on it"
        self._context.heads.bar(path.head.name)
        logs.change(
            "upstream_barred",
            upstream=path.head.name,
            address=str(path.head.address),
            reason="it holds streams and does not work on them",
        )
        stream.abandon(reason)

    async def _find_culprits(
        self, stream: live.LiveStream, path: chain.ChainPath
    ) -> _Finding:
        """Return the engines that hold a stream up.

        The first engine tells which requests wait for whom, all at once,
        but its report is of some moments ago. When it knows of nothing
        the others are asked; one question serves all who want to know.
        """
        max_age = probes.REUSE_SECONDS
        if stream.is_starting:
            max_age = probes.STARTING_REUSE_SECONDS
        head = await self._prober.ask(path.head, max_age)
        if head.report is None:
            others = tuple(hop.upstream for hop in path.hops[1:])
            if await self._is_lost(head, others):
                return _Finding([path.head], True)
            return _Finding([], False)
        named = [
            self._context.registry.find_by_address(stall.address)
            for stall in head.report.stalls
            if stall.request == stream.request.id
        ]
        found = [one for one in named if one is not None]
        if found:
            return _Finding(found, True, head.report)
        answers: list[probes.Probe] = []

        async def ask(upstream: chain.Upstream) -> None:
            answers.append(await self._prober.ask(upstream, max_age))

        active = self._recently_active()
        async with anyio.create_task_group() as tasks:
            for hop in path.hops[1:]:
                if hop.upstream.name not in active:
                    tasks.start_soon(ask, hop.upstream)
        silent = [one.upstream for one in answers if one.is_silent]
        is_sure = all(one.is_sure for one in answers)
        return _Finding(silent, is_sure, head.report)

    def _recently_active(self) -> set[str]:
        """Return the engines that an event has passed just now."""
        since = anyio.current_time() - RECENT_EVENT_SECONDS
        return {
            hop.upstream.name
            for stream in self._streams
            if stream.path is not None
            and not stream.is_starting
            and stream.progress_at >= since
            for hop in stream.path.hops
        }
