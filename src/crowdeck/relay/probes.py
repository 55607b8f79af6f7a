# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Probes of engines; simultaneous probes of an engine share one request."""

import contextlib
import enum
import math
import typing

import anyio
import anyio.abc
import attrs

from crowdeck import chain
from crowdeck import errors
from crowdeck.observe import counters
from crowdeck.relay import interfaces
from crowdeck.relay import loop_lag

# Ticks on time after which an engine that has not answered is silent. Healthy
# engines answer within 2 ms, those of another zone within 3 ms. With 60 ms
# instead of these 36 ms, streams through an engine that fell silent would go
# on 230 ms after their last event, and 200 ms are allowed.
SILENT_TICKS = 4
# Ticks after which a probe ends without a result, on time or not. An entry
# that is so late learns nothing by probing.
MAX_TICKS = 25
# How long a result is reused. When an engine fails, all its streams probe it
# at once.
REUSE_SECONDS = 0.05
# How long a report is reused for streams without a first event. Many wait when
# a fleet is full, and their probes would overload its engines. With 50 ms, 29
# entries send the engines six probes for each request.
STARTING_REUSE_SECONDS = 0.25
# How long a question stays open. An answer after the engine counted as silent
# still shows that it works, and its connection is kept. Shorter than the time
# in which a connection must open, whose end would look like a failure.
ANSWER_SECONDS = 0.24
# An engine that answered late counts as silent only after this many times its
# delay, for a while: it works, but it or the links to it lack time.
LATE_FACTOR = 1.5
LATE_MEMORY_SECONDS = 5.0
# If this many engines answered late, all are awaited as long: the cause is
# something that they share, such as the link or the machine.
COMMON_LATE_ENGINES = 2
MAX_SILENT_TICKS = 16
# Time until an engine is asked again after an unanswered question; it doubles
# with each further one. Entries that keep asking engines without processor
# time, each time on a fresh connection, take what the engines need to answer.
MIN_RETRY_SECONDS = 0.25
MAX_RETRY_SECONDS = 1.0

# Other engines probed beside a silent one. If none answers either, the entry's
# own network may be at fault.
CONTROL_COUNT = 2


class Verdict(enum.StrEnum):
    """What a probe and its controls show of an engine."""

    LOST = "lost"
    WORKS = "works"
    UNSURE = "unsure"


@attrs.frozen
class Probe:
    """The result of probing an engine.

    :ivar report: its report, ``None`` if there was none.
    :ivar reason: why there is no report, or empty.
    :ivar is_sure: whether a missing report is due to the engine; false if
        this entry lagged, the engine is backing off or its report was
        unreadable.
    :ivar completed_at: loop time of the result.
    :ivar has_error: whether the request failed instead of staying
        unanswered. A failure, such as a refused connection, counts as a sign
        that the network works.
    :ivar is_gone: whether its process is known to have ended.
    :ivar is_inconclusive: whether only a kept connection failed, so that the
        engine has to be probed again.
    """

    upstream: chain.Upstream
    report: chain.EngineReport | None
    reason: str
    is_sure: bool
    completed_at: float
    has_error: bool = False
    is_gone: bool = False
    is_inconclusive: bool = False

    @property
    def is_unreachable(self) -> bool:
        """Whether the engine certainly gave no report, by silence or error."""
        return self.report is None and self.is_sure


@attrs.define(eq=False)
class _Question:
    """A request for a report that is under way.

    :ivar asked_at: loop time in seconds.
    :ivar result: the probe, ``None`` if the question was given up.
    """

    asked_at: float
    done: anyio.Event = attrs.field(factory=anyio.Event)
    result: Probe | None = None


@attrs.frozen
class _Unanswered:
    """Questions to an engine since its last answer.

    :ivar count: number of questions that were given up.
    :ivar retry_at: loop time from which on the engine is asked again.
    """

    count: int
    retry_at: float


@attrs.frozen
class _LateAnswer:
    """The latest answer of an engine that had counted as silent."""

    seconds: float
    answered_at: float


LateAnswerListener = typing.Callable[[chain.Upstream], None]


class Prober:
    """Probes engines, each at most once at a time.

    A probe ends when the engine counts as silent. Its question stays open a
    little longer, and further probes wait for the same answer. An engine
    that leaves questions unanswered is asked again after an exponential delay;
    until then its probes show nothing.

    :param may_probe: returns whether the engine of this name may be probed
        now. An engine that is backing off may not; it does not count as
        unreachable then.
    :param is_link_full: returns whether answers may wait behind other bytes at
        this entry, so that silence shows nothing.
    :param note_late_answer: called with an engine that counted as silent and
        then answered.
    """

    def __init__(
        self,
        upstreams: interfaces.Upstreams,
        may_probe: typing.Callable[[str], bool],
        is_link_full: typing.Callable[[], bool] = lambda: False,
        note_late_answer: LateAnswerListener | None = None,
    ) -> None:
        self._upstreams = upstreams
        self._may_probe = may_probe
        self._is_link_full = is_link_full
        self._note_late_answer = note_late_answer
        self._late_answers: dict[str, _LateAnswer] = {}
        self._results: dict[str, Probe] = {}
        self._in_progress: dict[str, anyio.Event] = {}
        self._questions: dict[str, _Question] = {}
        self._unanswered: dict[str, _Unanswered] = {}
        self._tasks: anyio.abc.TaskGroup | None = None

    @property
    def is_probing(self) -> bool:
        """Whether any probe is in progress."""
        return bool(self._in_progress)

    @contextlib.contextmanager
    def keep_questions_open(
        self, tasks: anyio.abc.TaskGroup
    ) -> typing.Iterator[None]:
        """Let questions outlast their probes in the body.

        Elsewhere a question is given up at the end of its probe.

        :param tasks: runs the questions.
        """
        self._tasks = tasks
        try:
            yield
        finally:
            # Requests may outlast the task group while the process stops.
            self._tasks = None
            self._questions.clear()

    async def probe(
        self, upstream: chain.Upstream, max_age_seconds: float = REUSE_SECONDS
    ) -> Probe:
        """Return a new or recent probe of an engine.

        :param max_age_seconds: how long a probe with a report is reused.
        """
        while True:
            known = self._results.get(upstream.name)
            now = anyio.current_time()
            if known is not None:
                if now - known.completed_at < _reuse_seconds(
                    known, max_age_seconds
                ):
                    return known
            probe_done = self._in_progress.get(upstream.name)
            if probe_done is None:
                if not self._may_probe(upstream.name):
                    return Probe(
                        upstream, None, "it is backing off", False, now
                    )
                if self._must_wait(upstream.name, now):
                    counters.COUNTERS.add("relay.probes_delayed")
                    return Probe(
                        upstream, None, "its answer is overdue", False, now
                    )
                return await self._run_probe(upstream)
            await probe_done.wait()

    def knows_unreachable(self, name: str) -> bool:
        """Whether the latest probe found an engine unreachable."""
        known = self._results.get(name)
        return known is not None and known.is_unreachable

    def has_answer(
        self, upstream: chain.Upstream, max_age_seconds: float
    ) -> bool:
        """Whether :meth:`probe` needs no further question to the engine."""
        known = self._results.get(upstream.name)
        if upstream.name in self._in_progress:
            return True
        if known is None:
            return False
        age_seconds = anyio.current_time() - known.completed_at
        return age_seconds < _reuse_seconds(known, max_age_seconds)

    async def _run_probe(self, upstream: chain.Upstream) -> Probe:
        done = self._in_progress[upstream.name] = anyio.Event()
        try:
            probe = await self._exchange(upstream)
            if probe.is_inconclusive:
                # The time of silence begins anew on a fresh connection.
                probe = await self._exchange(upstream)
            self._forget()
            self._results[upstream.name] = probe
            return probe
        finally:
            del self._in_progress[upstream.name]
            done.set()

    def _forget(self) -> None:
        """Drop probes that are too old to be reused, and engines not asked.

        Engines that start again have other names.
        """
        since = anyio.current_time() - STARTING_REUSE_SECONDS
        for stale in [
            name
            for name, probe in self._results.items()
            if probe.completed_at < since
        ]:
            del self._results[stale]
        since = anyio.current_time() - LATE_MEMORY_SECONDS
        self._unanswered = {
            name: unanswered
            for name, unanswered in self._unanswered.items()
            if unanswered.retry_at >= since
        }

    def _must_wait(self, name: str, now: float) -> bool:
        """Whether an engine may not be asked again yet."""
        unanswered = self._unanswered.get(name)
        return (
            unanswered is not None
            and now < unanswered.retry_at
            and name not in self._questions
        )

    async def _exchange(self, upstream: chain.Upstream) -> Probe:
        """Wait for an answer until the engine counts as silent."""
        is_sure = False
        open_question = self._questions.get(upstream.name)
        question = open_question or _Question(anyio.current_time())
        async with anyio.create_task_group() as tasks:
            if open_question is None:
                counters.COUNTERS.add("relay.probed")
                self._questions[upstream.name] = question
                (self._tasks or tasks).start_soon(
                    self._ask, upstream, question
                )
            tasks.start_soon(_await_end, question, tasks.cancel_scope)
            is_sure = await _wait_for_silence(
                self._is_link_full, self._silent_ticks(upstream.name)
            )
            tasks.cancel_scope.cancel()
        if question.result is not None:
            return question.result
        now = anyio.current_time()
        return Probe(upstream, None, "no answer", is_sure, now)

    async def _ask(
        self, upstream: chain.Upstream, question: _Question
    ) -> None:
        """Ask an engine for a report, and take in a late one too."""
        name = upstream.name
        try:
            with anyio.move_on_after(ANSWER_SECONDS) as scope:
                question.result = await self._request_report(upstream)
        finally:
            if self._questions.get(name) is question:
                del self._questions[name]
            question.done.set()
        if scope.cancelled_caught:
            self._note_unanswered(name)
        else:
            self._unanswered.pop(name, None)
        if question.result is None or question.result.report is None:
            return
        known = self._results.get(name)
        self._results[name] = question.result
        if (
            known is not None
            and known.report is None
            and known.completed_at >= question.asked_at
        ):
            self._take_late_answer(upstream, question)

    def _take_late_answer(
        self, upstream: chain.Upstream, question: _Question
    ) -> None:
        """Wait longer for an engine that had counted as silent."""
        now = anyio.current_time()
        seconds = now - question.asked_at
        self._late_answers[upstream.name] = _LateAnswer(seconds, now)
        counters.COUNTERS.time("relay.late_answer", seconds)
        if self._note_late_answer is not None:
            self._note_late_answer(upstream)

    def _silent_ticks(self, name: str) -> int:
        """Return the ticks on time after which an engine counts as silent."""
        since = anyio.current_time() - LATE_MEMORY_SECONDS
        self._late_answers = {
            engine: late
            for engine, late in self._late_answers.items()
            if late.answered_at >= since
        }
        late = self._late_answers.get(name)
        if len(self._late_answers) >= COMMON_LATE_ENGINES:
            late = max(
                self._late_answers.values(), key=lambda late: late.seconds
            )
        if late is None:
            return SILENT_TICKS
        ticks = math.ceil(LATE_FACTOR * late.seconds / loop_lag.TICK_SECONDS)
        return min(MAX_SILENT_TICKS, max(SILENT_TICKS, ticks))

    def _note_unanswered(self, name: str) -> None:
        known = self._unanswered.get(name)
        count = known.count + 1 if known is not None else 1
        delay_seconds = min(
            MIN_RETRY_SECONDS * 2.0 ** (count - 1), MAX_RETRY_SECONDS
        )
        self._unanswered[name] = _Unanswered(
            count, anyio.current_time() + delay_seconds
        )

    async def _request_report(self, upstream: chain.Upstream) -> Probe:
        report: chain.EngineReport | None = None
        reason = ""
        is_gone = False
        is_sure = True
        is_inconclusive = False
        try:
            report = await self._upstreams.report(upstream)
        except errors.CrowdeckError as error:
            reason = error.message
            is_gone = isinstance(error, errors.InstanceGone)
            is_inconclusive = isinstance(error, errors.KeptConnectionFailed)
            # An unreadable answer still shows that the engine runs.
            is_sure = (
                error.code is not errors.Code.MALFORMED and not is_inconclusive
            )
        return Probe(
            upstream,
            report,
            reason,
            is_sure,
            anyio.current_time(),
            report is None and is_sure,
            is_gone,
            is_inconclusive,
        )


class ReportSource(typing.Protocol):
    """Asks engines for reports."""

    async def report(self, upstream: chain.Upstream) -> chain.EngineReport:
        """Request an engine's report of its state."""
        ...


async def request_report(
    source: ReportSource, upstream: chain.Upstream
) -> chain.EngineReport:
    """Return an engine's report, asked for again if a connection failed.

    :raises CrowdeckError: when there is no readable report.
    """
    try:
        return await source.report(upstream)
    except errors.KeptConnectionFailed:
        return await source.report(upstream)


def pick_controls(
    upstream: chain.Upstream, usable: typing.Iterable[chain.Upstream]
) -> list[chain.Upstream]:
    """Return engines to probe beside a silent engine.

    Engines of other zones come first, since a whole zone may be lost.
    """
    zone = upstream.availability_zone
    others = [engine for engine in usable if engine.name != upstream.name]
    others.sort(
        key=lambda engine: (engine.availability_zone == zone, engine.name)
    )
    return others[:CONTROL_COUNT]


def _reuse_seconds(probe: Probe, max_age_seconds: float) -> float:
    if probe.report is None:
        return min(REUSE_SECONDS, max_age_seconds)
    return max_age_seconds


async def _await_end(question: _Question, scope: anyio.CancelScope) -> None:
    """Cancel the scope once the question has a result."""
    await question.done.wait()
    if question.result is not None:
        scope.cancel()


async def _wait_for_silence(
    is_link_full: typing.Callable[[], bool], ticks: int
) -> bool:
    """Wait for enough ticks on time; return whether there were enough."""
    on_time = 0
    for _ in range(MAX_TICKS):
        lag = await loop_lag.tick()
        if lag <= loop_lag.ON_TIME_SECONDS and not is_link_full():
            on_time += 1
        if on_time >= ticks:
            return True
    return False
