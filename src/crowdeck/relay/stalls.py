# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Detects stalled streams, finds the cause and reroutes them."""

import enum
import typing

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

if typing.TYPE_CHECKING:
    # Entries of fleets that rank no streams must not load this module.
    from crowdeck.relay import ranked_silence

# Minimum time between two checks of the streams.
CHECK_SECONDS = 0.02
# Maximum time between two checks. An idle entry checks only avoided engines,
# and should use little processor time. Engines are avoided for a second or
# more. With checks every 0.02 s and ticks of 9 ms an idle entry would be woken
# 200 times a second and use 2 % of a core.
IDLE_CHECK_SECONDS = 0.2

# A stream is silent after PAUSE_FACTOR mean pauses without an event, but no
# earlier than EARLIEST_SHARE and no later than LATEST_SHARE of its maximum
# pause. The rest of that pause is for probing and rerouting.
PAUSE_FACTOR = 2.5
EARLIEST_SHARE = 0.3
LATEST_SHARE = 0.45
# Share of the latency objective after which a stream without a first event is
# silent. The engines process the prompt in that time.
FIRST_EVENT_SHARE = 0.4
# A stream is checked again after this share of its maximum pause, and then
# each time after twice as long; sooner if some engines were left.
RECHECK_SHARE = 0.5
PARTIAL_RECHECK_SHARE = 0.1
# Time that an event takes to pass all stages.
PASSAGE_SECONDS = 0.03

# An engine may accept a request and never work on it, while its report and its
# other streams look healthy. Share of the objective after which a stream
# without a first event may count as hung. An engine that is merely slow has
# nearly always begun by then.
HUNG_SHARE = 0.8
# Number of maximum pauses without an event after which another stream may.
HUNG_PAUSES = 3.0
# If streams at another first engine start within this share of the objective,
# a stream without a first event after that time counts as hung.
QUICK_SHARE = 0.5
# After this share of the objective the first event is late.
LATE_SHARE = 1.2
# Another stream of the same first engine with an event within this many of its
# mean pauses shows that the engine works.
ACTIVE_STREAM_PAUSES = 3.0


class CheckExtent(enum.Enum):
    """How many of the engines that a check needs were asked.

    ``WHOLE``: all. ``PARTIAL``: all but those left for the next check.
    ``BOUNDED``: fewer, as too many questions were asked.
    """

    WHOLE = enum.auto()
    PARTIAL = enum.auto()
    BOUNDED = enum.auto()


@attrs.frozen
class Finding:
    """The result of checking a silent stream.

    :ivar culprits: engines that stall it.
    :ivar is_sure: whether missing answers are due to the engines and not to
        the lag of this entry.
    :ivar head_report: the report of the first engine, if there is one.
    :ivar reason: what the answers show, empty if the silence was not judged.
    :ivar extent: whether engines that may be culprits were not asked.
    """

    culprits: list[chain.Upstream]
    is_sure: bool
    head_report: chain.EngineReport | None = None
    reason: str = ""
    extent: CheckExtent = CheckExtent.WHOLE


class StallMonitor:
    """Monitors the streams of one entry for stalls."""

    def __init__(self, context: contexts.RelayContext) -> None:
        self._context = context
        self._lag_meter = context.lag_meter
        self._prober = probes.Prober(
            context.client,
            context.registry.claim_probe,
            lambda: context.is_link_full(),
            self._note_late_answer,
        )
        # In the order in which they began, so that decisions do not depend on
        # where the objects are stored.
        self._streams: dict[live.LiveStream, None] = {}
        self._checking: set[live.LiveStream] = set()
        self._rerouter = rerouting.Rerouter(
            context, self._streams.keys(), self._prober, self.verify
        )
        self._ranked_silence: ranked_silence.RankedSilence | None = None
        self._to_verify: dict[str, chain.Upstream] = {}
        self._woken = anyio.Event()
        context.registry.subscribe_lapses(self.verify)
        context.quarantine.subscribe(self._abandon_quarantined)

    @property
    def is_probing(self) -> bool:
        """Whether any probe is in progress."""
        return self._prober.is_probing

    def add(self, stream: live.LiveStream) -> None:
        """Start monitoring a stream."""
        if stream.urgency.is_ranked and self._ranked_silence is None:
            parts = self._context.ranked_parts()
            self._ranked_silence = parts.judge_silence(
                self._streams, self._prober, self._is_lost
            )
        self._streams[stream] = None

    def drop(self, stream: live.LiveStream) -> None:
        """Stop monitoring a stream."""
        self._streams.pop(stream, None)
        if self._ranked_silence is not None:
            self._ranked_silence.drop(stream)

    def verify(self, upstream: chain.Upstream) -> None:
        """Probe an engine soon, and reroute its streams if it is lost."""
        self._to_verify[upstream.name] = upstream
        self._woken.set()

    async def verify_report(self, upstream: chain.Upstream) -> probes.Verdict:
        """Probe an engine that other entries found lost.

        Avoid it and reroute its streams if it is lost for this entry too. If
        an event passed it meanwhile, it is only too busy to answer.
        """
        passage_at = anyio.current_time() + PASSAGE_SECONDS
        probe = await self._prober.probe(upstream)
        has_passed = (
            self._ranked_silence is not None
            and self._ranked_silence.has_passed_event(upstream, passage_at)
        )
        if has_passed and not probe.has_error:
            return probes.Verdict.WORKS
        return await self._conclude(probe)

    def _note_late_answer(self, upstream: chain.Upstream) -> None:
        """Use an engine again that was taken for lost and works."""
        logs.change(
            "upstream_answered_late",
            upstream=upstream.name,
            address=str(upstream.address),
        )
        self._context.registry.note_healthy(upstream.name)

    async def has_ended(self, upstream: chain.Upstream) -> bool:
        """Probe an instance whose connection broke.

        If it has ended, avoid it and reroute its streams. Awaited before a
        retry elsewhere: the end of an instance counts against its requests,
        and a broken connection does not.

        :returns: whether it has ended.
        """
        probe = await self._prober.probe(upstream)
        if probe.is_gone:
            self._context.registry.avoid(
                upstream.name,
                probe.reason,
                has_ended=True,
                is_found_lost=True,
            )
            await self._rerouter.reroute_around(upstream)
        elif upstream.card:
            # The probe of a plain service shows only whether it has ended.
            self.verify(upstream)
        return probe.is_gone

    def _abandon_quarantined(self) -> None:
        """Abandon attempts of quarantined requests without a first event.

        Several copies may be in progress. An engine drops a request that it
        has not started when its connection closes.
        """
        quarantine = self._context.quarantine
        for stream in tuple(self._streams):
            if stream.is_starting and quarantine.is_quarantined(
                stream.content
            ):
                stream.stop("the request is quarantined: it crashes engines")

    def check_now(self, upstream: chain.Upstream) -> None:
        """Check all streams that pass an engine as soon as possible.

        Called when a first engine refuses a request because of that engine,
        which may happen before its streams are silent. Where services are
        full at times, most such refusals are due to load; only streams that
        pause are checked then.
        """
        for stream in self._streams:
            path = stream.path
            if path is not None and path.passes(upstream.name):
                ranked = self._ranked(stream)
                if ranked is not None and not ranked.is_paused(stream):
                    continue
                stream.next_check_at = 0.0
                stream.needs_check = True
                self._woken.set()

    async def run(self) -> None:
        """Check all streams at intervals, until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._lag_meter.run)
            with self._prober.keep_questions_open(tasks):
                while True:
                    await self._wait_for_check()
                    self._start_checks(tasks)

    def _start_checks(self, tasks: anyio.abc.TaskGroup) -> None:
        """Start the probes and the checks of streams that are due."""
        for upstream in self._to_verify.values():
            tasks.start_soon(self._verify, upstream)
        self._to_verify.clear()
        for upstream in self._context.registry.due_for_probe():
            tasks.start_soon(self._verify, upstream)
        if self._is_unreliable():
            return
        now = anyio.current_time()
        if self._ranked_silence is not None:
            self._ranked_silence.update(now)
        for stream in self._streams_to_check(now):
            self._checking.add(stream)
            tasks.start_soon(self._check, stream)

    def _is_unreliable(self) -> bool:
        """Whether streams may seem silent because of this entry."""
        return self._lag_meter.is_settling() or self._context.is_link_full()

    async def _wait_for_check(self) -> None:
        """Sleep until woken, or until a stream may be silent for too long."""
        await anyio.sleep(CHECK_SECONDS)
        with anyio.move_on_at(self._next_check_at()):
            await self._woken.wait()
        self._woken = anyio.Event()

    def _next_check_at(self) -> float:
        """Return the loop time before which no stream has to be checked.

        A first event may shorten a stream's limit to
        ``EARLIEST_SHARE`` of its maximum pause, so the wait is never
        longer than that.
        """
        now = anyio.current_time()
        if self._is_unreliable():
            return now
        wait_seconds = IDLE_CHECK_SECONDS
        for stream in self._streams:
            if stream in self._checking:
                continue
            wait_seconds = min(
                wait_seconds, EARLIEST_SHARE * stream.max_pause_seconds
            )
            if stream.path is not None:
                wait_seconds = min(wait_seconds, self._silent_at(stream) - now)
        return now + wait_seconds

    def _streams_to_check(self, now: float) -> list[live.LiveStream]:
        """Return the streams to check now, the most telling first."""
        counts: dict[live.LiveStream, int] = {}
        for stream in tuple(self._streams):
            if not self._claim_check(stream, now):
                continue
            ranked = self._ranked(stream)
            if ranked is None:
                counts[stream] = 0
                continue
            silent_streams = ranked.claim_check(stream, now)
            if silent_streams is not None:
                counts[stream] = silent_streams
        return sorted(counts, key=lambda stream: -counts[stream])

    def _ranked(
        self, stream: live.LiveStream
    ) -> "ranked_silence.RankedSilence | None":
        """Return what judges the silence of a stream, if it is ranked."""
        return self._ranked_silence if stream.urgency.is_ranked else None

    async def _verify(self, upstream: chain.Upstream) -> None:
        await self._conclude(await self._prober.probe(upstream))

    async def _conclude(self, probe: probes.Probe) -> probes.Verdict:
        """Act on a probe, and return what it shows."""
        upstream = probe.upstream
        if await self._is_lost(probe, ()):
            self._context.registry.avoid(
                upstream.name,
                probe.reason,
                has_ended=probe.is_gone,
                is_found_lost=True,
            )
            await self._rerouter.reroute_around(upstream)
            return probes.Verdict.LOST
        if probe.report is None:
            return probes.Verdict.UNSURE
        self._context.registry.note_healthy(upstream.name)
        return probes.Verdict.WORKS

    async def _is_lost(
        self, probe: probes.Probe, others: tuple[chain.Upstream, ...]
    ) -> bool:
        """Whether a probed engine is lost.

        Silence counts only if other engines answer: when the entry's own
        network fails, all engines are silent, and abandoning them would
        end every stream.

        :param others: engines to probe in addition to the usual controls.
        """
        if not probe.is_unreachable:
            return False
        if probe.has_error:
            return True
        usable = self._context.registry.usable(probe.upstream.service)
        controls = [*others, *probes.pick_controls(probe.upstream, usable)]
        answers: list[probes.Probe] = []

        async def ask(upstream: chain.Upstream) -> None:
            answers.append(await self._prober.probe(upstream))

        async with anyio.create_task_group() as tasks:
            for control in controls:
                tasks.start_soon(ask, control)
        return any(
            answer.report is not None or answer.has_error for answer in answers
        )

    def _claim_check(self, stream: live.LiveStream, now: float) -> bool:
        """Whether to check a stream now; resets its ``needs_check``."""
        if stream.path is None or stream in self._checking:
            return False
        if stream.waits_for_caller:
            stream.next_check_at = now + RECHECK_SHARE * (
                stream.max_pause_seconds
            )
            return False
        if stream.needs_check:
            stream.needs_check = False
            return True
        return now >= self._silent_at(stream)

    def _silent_at(self, stream: live.LiveStream) -> float:
        """Return when a stream counts as silent if no event arrives."""
        ranked = self._ranked(stream)
        if ranked is not None:
            return ranked.silent_at(stream, anyio.current_time())
        if stream.has_events:
            limit_seconds = PAUSE_FACTOR * stream.mean_pause_seconds
            limit_seconds = max(
                limit_seconds,
                EARLIEST_SHARE * stream.max_pause_seconds,
            )
            limit_seconds = min(
                limit_seconds, LATEST_SHARE * stream.max_pause_seconds
            )
        else:
            limit_seconds = FIRST_EVENT_SHARE * stream.objective_seconds
        return max(stream.progress_at + limit_seconds, stream.next_check_at)

    async def _check(self, stream: live.LiveStream) -> None:
        extent = CheckExtent.WHOLE
        try:
            extent = await self._handle_silence(stream)
        finally:
            share = EARLIEST_SHARE
            if extent is not CheckExtent.BOUNDED:
                stream.check_count += 1
                share = RECHECK_SHARE * 2.0 ** (stream.check_count - 1)
            if extent is CheckExtent.PARTIAL:
                share = PARTIAL_RECHECK_SHARE
            delay = share * stream.max_pause_seconds
            stream.next_check_at = anyio.current_time() + delay
            self._checking.discard(stream)

    async def _handle_silence(self, stream: live.LiveStream) -> CheckExtent:
        """Find the cause of a silence and act on it."""
        path = stream.path
        if path is None:
            return CheckExtent.WHOLE
        silent_since = stream.progress_at
        ranked = self._ranked(stream)
        if ranked is not None:
            finding = await ranked.ask(stream, path)
        else:
            finding = await self._find_culprits(stream, path)
        if stream.path is not path or stream.progress_at != silent_since:
            return CheckExtent.WHOLE
        if ranked is not None:
            ranked.note_finding(stream, path, finding)
        if finding.extent is CheckExtent.BOUNDED:
            # A first check is made up for soon.
            if stream.check_count:
                return CheckExtent.WHOLE
            return CheckExtent.BOUNDED
        reason_fields = {"reason": finding.reason} if finding.reason else {}
        report = finding.head_report
        logs.decision(
            "stream_silent",
            stream.request.id,
            silent=round(anyio.current_time() - silent_since, 3),
            usual=round(stream.mean_pause_seconds, 4),
            after=stream.last_event_id,
            culprits=[str(engine.address) for engine in finding.culprits],
            is_sure=finding.is_sure,
            running=report.running if report else None,
            waiting=report.waiting if report else None,
            **reason_fields,
        )
        for culprit in finding.culprits:
            # An engine that its first engine names may work: its link may be
            # lost, of which other entries learn nothing by asking.
            self._context.registry.avoid(
                culprit.name,
                "a stream waits for it",
                is_found_lost=self._prober.knows_unreachable(culprit.name),
            )
        await self._rerouter.reroute_around_all(finding.culprits)
        if not finding.culprits and self._is_hung(stream, path, finding):
            self._abandon_hung(stream, path)
        return CheckExtent.WHOLE if finding.culprits else finding.extent

    def _is_hung(
        self,
        stream: live.LiveStream,
        path: chain.ChainPath,
        finding: Finding,
    ) -> bool:
        """Whether a stream's first engine does not work on it."""
        if not stream.may_resume or path.zone_crossings:
            return False
        if stream.waits_for_caller:
            return False
        if finding.head_report is None or not finding.is_sure:
            return False
        limit_seconds = HUNG_PAUSES * stream.max_pause_seconds
        if stream.is_starting:
            limit_seconds = HUNG_SHARE * stream.objective_seconds
        now = anyio.current_time()
        if now - stream.progress_at < limit_seconds:
            return False
        if not self._context.may_restart_stream(stream.service.name):
            return False
        if stream.is_starting and self._is_quicker_elsewhere(stream, path):
            return True
        ranked = self._ranked(stream)
        if finding.head_report.waiting or (
            ranked is not None and ranked.may_be_queued(stream, path)
        ):
            return False
        return any(
            other.path is not None
            and other.path.head.name == path.head.name
            and other.has_events
            and now - other.progress_at
            < ACTIVE_STREAM_PAUSES * other.mean_pause_seconds
            for other in self._streams
            if other is not stream
        )

    def _is_quicker_elsewhere(
        self, stream: live.LiveStream, path: chain.ChainPath
    ) -> bool:
        """Whether a stream should start sooner at another first engine.

        Streams at other first engines show whether only this engine is
        stuck or the whole fleet is slow.
        """
        heads = self._context.heads
        name = path.head.name
        if heads.has_first_event_since(name, stream.progress_at):
            return False
        if heads.has_fast_alternative(
            name, QUICK_SHARE * stream.objective_seconds
        ):
            return True
        # An entry with few streams may have no record of other first engines.
        # A late stream is then moved, unless one of them is known to be slow.
        waited = anyio.current_time() - stream.progress_at
        return (
            waited > LATE_SHARE * stream.objective_seconds
            and not heads.is_another_engine_slow(
                name, stream.objective_seconds
            )
        )

    def _abandon_hung(
        self, stream: live.LiveStream, path: chain.ChainPath
    ) -> None:
        counters.COUNTERS.add("relay.hung")
        reason = f"{path.head.address} accepted it but does not work on it"
        self._context.heads.bar(path.head.name)
        logs.change(
            "upstream_barred",
            upstream=path.head.name,
            address=str(path.head.address),
            reason="it accepts streams but does not work on them",
        )
        if stream.current_attempt is not None:
            stream.current_attempt.is_hung = True
        stream.abandon(reason)

    async def _find_culprits(
        self, stream: live.LiveStream, path: chain.ChainPath
    ) -> Finding:
        """Return the engines that stall a stream.

        The first engine reports for which engines its requests wait; the
        report may be slightly old. If it names no engine for this request,
        the other engines of the path are probed.
        """
        max_age_seconds = probes.REUSE_SECONDS
        if stream.is_starting:
            max_age_seconds = probes.STARTING_REUSE_SECONDS
        head = await self._prober.probe(path.head, max_age_seconds)
        if head.report is None:
            others = tuple(hop.upstream for hop in path.hops[1:])
            if await self._is_lost(head, others):
                return Finding([path.head], True)
            return Finding([], False)
        named = [
            self._context.registry.find_by_address(stall.address)
            for stall in head.report.stalls
            if stall.request == stream.request.id
        ]
        found = [engine for engine in named if engine is not None]
        if found:
            return Finding(found, True, head.report)
        answers: list[probes.Probe] = []

        async def ask(upstream: chain.Upstream) -> None:
            answers.append(await self._prober.probe(upstream, max_age_seconds))

        active = self._recently_active()
        async with anyio.create_task_group() as tasks:
            for hop in path.hops[1:]:
                if hop.upstream.name not in active:
                    tasks.start_soon(ask, hop.upstream)
        silent = [
            answer.upstream for answer in answers if answer.is_unreachable
        ]
        is_sure = all(answer.is_sure for answer in answers)
        return Finding(silent, is_sure, head.report)

    def _recently_active(self) -> set[str]:
        """Return the names of engines that an event passed recently."""
        since = anyio.current_time() - PASSAGE_SECONDS
        return {
            hop.upstream.name
            for stream in self._streams
            if stream.path is not None
            and not stream.is_starting
            and stream.progress_at >= since
            for hop in stream.path.hops
        }
