# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Relays streams of model engines, and resumes them after failures."""

import anyio
import anyio.abc
import anyio.lowlevel

from crowdeck import chain
from crowdeck import errors
from crowdeck.observe import counters
from crowdeck.observe import logs
from crowdeck.relay import attempt as attempts
from crowdeck.relay import context as contexts
from crowdeck.relay import live
from crowdeck.relay import open_attempts
from crowdeck.relay import paths
from crowdeck.relay import request as requests
from crowdeck import route as routes
from crowdeck.routing import routes as route_tables
from crowdeck import verdict as verdicts

# Number of attempts that engines may refuse without running them. The request
# fails at the next such refusal. Each refusal reveals an engine that is full
# or holds other layers, so a few attempts are worth making.
MAX_REFUSALS = 4
# The limit once a part of the answer was sent, which the caller would lose.
# Each further attempt waits for a path and for the retry budget. Three times
# MAX_REFUSALS is an estimate.
MAX_REFUSALS_STARTED = 12
# Errors reach the caller this long before its own deadline.
ANSWER_MARGIN_SECONDS = 0.05
# No attempt is made with less time left than this.
MIN_ATTEMPT_SECONDS = 0.1
# A silent stream for which no other attempt can be made is checked again after
# this time.
KEPT_CHECK_SECONDS = 0.2
# Callers choose the ids of parts, so their number and length are not bounded.
MAX_LOGGED_PARTS_LENGTH = 200

_MAY_HAVE_RUN = verdicts.Verdict.MAY_HAVE_RUN
# Errors that the first engine of a path causes.
_FAILURE_CODES = frozenset(
    {errors.Code.UPSTREAM_LOST, errors.Code.WRONG_ANSWER}
)
# Errors after which the first engine may have ended.
_LOSS_CODES = _FAILURE_CODES | {errors.Code.STALLED}


class StreamRelay:
    """Relays streams over paths of engines."""

    def __init__(
        self, context: contexts.RelayContext, monitor: attempts.StreamMonitor
    ) -> None:
        self._context = context
        self._monitor = monitor

    async def serve(
        self,
        request: requests.CallerRequest,
        admitted: route_tables.AdmittedRequest,
        service: routes.Service,
        sink: requests.Sink,
        urgency: routes.Urgency = routes.Urgency(),
    ) -> None:
        """Answer one request for a stream.

        :raises CrowdeckError: when the stream cannot be completed; its
            verdict says whether the request may have run.
        """
        assert service.profile is not None
        budget = self._context.budget(service.name)
        budget.earn()
        send_tracker = budget.track_sends()
        token_counts = request.token_counts or requests.TokenCounts(0, 0)
        stream = live.LiveStream(
            request=request,
            service=service,
            profile=service.profile,
            max_pause_seconds=admitted.route.max_pause_seconds
            or admitted.route.objective_seconds,
            objective_seconds=admitted.route.objective_seconds,
            tokens=token_counts.mean_tokens(
                service.profile.mean_answer_tokens
            ),
            usage=self._context.usage,
            send_tracker=send_tracker,
            last_event_id=request.last_event_id,
            may_have_run=request.last_event_id >= 0,
            team=admitted.team,
            urgency=urgency,
        )
        self._monitor.add(stream)
        if urgency.is_ranked:
            self._context.ranked_parts().note_arrival(stream)
        try:
            await self._create_run(stream, admitted, sink).run()
        finally:
            if urgency.is_ranked:
                self._context.ranked_parts().note_ended(stream)
            send_tracker.close()
            self._monitor.drop(stream)

    def _create_run(
        self,
        stream: live.LiveStream,
        admitted: route_tables.AdmittedRequest,
        sink: requests.Sink,
    ) -> "_StreamRun":
        return _StreamRun(self._context, self._monitor, stream, admitted, sink)


class _StreamRun:
    """Makes attempts at one stream until it is complete."""

    def __init__(
        self,
        context: contexts.RelayContext,
        monitor: attempts.StreamMonitor,
        stream: live.LiveStream,
        admitted: route_tables.AdmittedRequest,
        sink: requests.Sink,
    ) -> None:
        self._context = context
        self._monitor = monitor
        self._stream = stream
        self._admitted = admitted
        self._route = admitted.route
        self._request = stream.request
        self._sink = sink
        timeout_seconds = (
            self._request.timeout_seconds or self._route.timeout_seconds
        )
        limit_seconds = min(timeout_seconds, self._route.timeout_seconds)
        self._deadline = (
            self._request.arrived + limit_seconds - ANSWER_MARGIN_SECONDS
        )
        self._ran_on: set[str] = set()
        self._refusals = 0
        self._is_trial = False
        self._beginning = (
            context.ranked_parts().begin(stream)
            if stream.urgency.is_ranked
            else None
        )
        self._attempts = open_attempts.OpenAttempts(
            stream, self._note_resumed, self._note_cancelled
        )
        self._path_search = paths.PathSearch(
            context,
            stream,
            self._deadline - MIN_ATTEMPT_SECONDS,
            lambda: self._attempts.kept_heads,
        )

    async def run(self) -> None:
        """Make attempts until one completes the answer.

        :raises CrowdeckError: when none is left.
        """
        failure: errors.CrowdeckError | None = None
        async with anyio.create_task_group() as tasks:
            try:
                await self._refuse_if_quarantined()
                self._begin(tasks, await self._await_path())
                while True:
                    attempt = await self._attempts.wait()
                    if attempt.is_complete:
                        break
                    await self._replace(tasks, attempt)
            except errors.CrowdeckError as error:
                failure = error
            tasks.cancel_scope.cancel()
        if failure is not None:
            raise failure

    async def _replace(
        self,
        tasks: anyio.abc.TaskGroup,
        attempt: open_attempts.OpenAttempt,
    ) -> None:
        """Make another attempt beside one that was abandoned or has ended.

        Ends early if an open attempt delivers. If no other can be made, waits
        for those that are open.

        :raises CrowdeckError: if none can be made and none is open.
        """
        error = attempt.error or self._abandoned_error(attempt)
        with self._attempts.searching():
            try:
                await self._make_another(tasks, attempt, error)
            except errors.CrowdeckError as failure:
                if failure.code is errors.Code.QUARANTINED:
                    self._attempts.end_unstarted()
                if not self._attempts.fall_back():
                    raise self._final_error(failure) from None
                self._note_kept(failure)

    async def _make_another(
        self,
        tasks: anyio.abc.TaskGroup,
        attempt: open_attempts.OpenAttempt,
        error: errors.CrowdeckError,
    ) -> None:
        """Make another attempt once there is a path and a retry for it.

        :raises CrowdeckError: if none can be made.
        """
        is_first_look = not attempt.is_set_aside
        if not attempt.has_ended:
            self._attempts.set_aside(attempt)
        if attempt.has_ended or is_first_look:
            await self._record_failure(attempt, error)
        await self._refuse_if_quarantined()
        if not await self._prepare_retry(attempt.head, error):
            raise error
        if self._context.lag_meter.is_overloaded:
            # Another attempt at once would add to the lag.
            await anyio.sleep(self._context.lag_meter.recent_lag())
        await self._refuse_if_quarantined()
        path = await self._await_path()
        # An open attempt may have delivered as the path was found.
        await anyio.lowlevel.checkpoint_if_cancelled()
        self._begin(tasks, path)

    def _abandoned_error(
        self, attempt: open_attempts.OpenAttempt
    ) -> errors.CrowdeckError:
        return errors.CrowdeckError(
            errors.Code.STALLED,
            self._stream.abandon_reason or "abandoned",
            verdict=_MAY_HAVE_RUN,
            culprit=attempt.head.name,
        )

    def _note_kept(self, failure: errors.CrowdeckError) -> None:
        """Note that no other attempt can be made while one is open."""
        stream = self._stream
        stream.next_check_at = anyio.current_time() + KEPT_CHECK_SECONDS
        counters.COUNTERS.add("relay.kept")
        logs.decision(
            "attempt_kept",
            self._request.id,
            head=stream.path.head.name if stream.path else "",
            code=str(failure.code),
            reason=failure.message,
            silent=round(anyio.current_time() - stream.progress_at, 3),
            open=self._attempts.count,
        )

    def _note_resumed(self, attempt: open_attempts.OpenAttempt) -> None:
        """Note that a silent engine goes on with its stream."""
        counters.COUNTERS.add("relay.resumed")
        silent_seconds = anyio.current_time() - attempt.state.progress_at
        logs.decision(
            "attempt_resumed",
            self._request.id,
            head=attempt.head.name,
            silent=round(silent_seconds, 3),
            after=self._stream.last_event_id,
        )
        self._context.registry.note_healthy(attempt.head.name)

    async def _await_path(self) -> chain.ChainPath:
        """Return a path, waiting briefly if there is none yet."""
        beginning = self._beginning
        if (
            beginning is not None
            and not self._stream.may_have_run
            and not self._stream.has_events
        ):
            beginning.refuse_if_too_late(self._path_search.record_refusal)
        path = None
        with self._attempts.waiting_for_path():
            path = await self._path_search.find(
                has_started=self._sink.has_started
            )
        await self._refuse_if_quarantined()
        if path is not None:
            if beginning is not None:
                beginning.note_let_in()
            return path
        if beginning is not None:
            beginning.note_no_path()
        raise self._final_error(self._path_search.refusal_error())

    async def _refuse_if_quarantined(self) -> None:
        """Refuse a request that is known to crash engines.

        Checked before each attempt, since the request may be quarantined
        while it runs or waits. A request that has run is refused only after
        other entries had time to report another cause.

        :raises CrowdeckError: ``QUARANTINED``.
        """
        quarantine = self._context.quarantine
        content = self._stream.content
        if quarantine.has_no_suspects or not quarantine.is_quarantined(
            content
        ):
            return
        if self._ran_on:
            await anyio.sleep(quarantine.seconds_to_settle())
            if not quarantine.is_quarantined(content):
                return
        elif self._is_trial or quarantine.claim_trial(content):
            self._is_trial = True
            return
        raise self._context.quarantine_error(
            self._request, content, may_have_run=bool(self._ran_on)
        )

    def _begin(
        self, tasks: anyio.abc.TaskGroup, path: chain.ChainPath
    ) -> None:
        """Begin an attempt on a path."""
        logs.decision(
            "path_chosen",
            self._request.id,
            path=str(path),
            after=self._stream.last_event_id,
            tokens=int(self._stream.tokens),
            rank=self._stream.urgency.rank,
            refusals=self._refusals,
            waited=round(anyio.current_time() - self._request.arrived, 3),
            held_back=self._path_search.unavailable_addresses(),
            config=self._admitted.config_version,
        )
        attempt = self._attempts.begin(path)
        self._context.heads.note_begun(path.head.name, attempt.state)
        self._stream.send_tracker.note_sent()
        self._stream.check_may_resume = self._may_resume_now
        tasks.start_soon(self._run_attempt, attempt, path)

    def _may_resume_now(self) -> bool:
        """Whether another attempt is allowed beside the current one."""
        path = self._stream.path
        running_on = path.head.name if path is not None else ""
        return self._route.is_resumable and self._runs_left(running_on) > 0

    async def _run_attempt(
        self, attempt: open_attempts.OpenAttempt, path: chain.ChainPath
    ) -> None:
        """Run an attempt, and note how it ended."""
        try:
            with attempt.scope:
                await attempts.Attempt(
                    self._context,
                    self._monitor,
                    self._stream,
                    self._admitted,
                    self._sink,
                    path,
                    attempt,
                    self._deadline,
                ).run()
                self._note_completed(path, attempt.state)
                attempt.is_complete = True
        except errors.CrowdeckError as error:
            attempt.error = error
            if attempt.is_latest_send:
                self._record_failed_send(error)
            elif error.code is errors.Code.UPSTREAM_LOST:
                # Nobody waits for this attempt, which shows a loss.
                self._monitor.verify(attempt.head)
        except anyio.get_cancelled_exc_class():
            self._note_cancelled(attempt)
            raise
        finally:
            self._context.heads.note_ended(path.head.name, attempt.state)
            self._attempts.end(attempt)

    def _note_cancelled(self, attempt: open_attempts.OpenAttempt) -> None:
        """Note an attempt that was ended before it was answered."""
        self._ran_on.add(attempt.head.name)
        if not attempt.is_set_aside:
            self._context.quarantine.note_cancelled(
                attempt.head.name, self._stream.record_of(attempt.state)
            )

    def _record_failed_send(self, error: errors.CrowdeckError) -> None:
        """Tell the retry budget whether a failed attempt reached an engine."""
        send_tracker = self._stream.send_tracker
        if error.code is not errors.Code.UPSTREAM_LOST:
            send_tracker.note_abandoned()
        elif error.verdict is _MAY_HAVE_RUN:
            send_tracker.note_arrived()
        else:
            send_tracker.note_send_failed()

    def _note_completed(
        self, path: chain.ChainPath, state: live.AttemptState
    ) -> None:
        stream = self._stream
        self._context.quarantine.note_served(stream.record_of(state))
        self._context.retry_advisor.note_end()
        now = anyio.current_time()
        arrived = self._request.arrived
        first_event_seconds = (stream.first_event_at or now) - arrived
        counters.COUNTERS.time("relay.first_event", first_event_seconds)
        counters.COUNTERS.time("relay.longest_pause", stream.longest_pause)
        logs.decision(
            "stream_ended",
            self._request.id,
            head=path.head.name,
            first_event=round(first_event_seconds, 4),
            longest_pause=round(stream.longest_pause, 4),
            last_event=stream.last_event_id,
            seconds=round(now - arrived, 3),
            attempts=len(self._ran_on | {path.head.name}),
            parts=_logged_parts(self._request),
        )

    async def _record_failure(
        self, attempt: open_attempts.OpenAttempt, error: errors.CrowdeckError
    ) -> None:
        head = attempt.head
        # Noted before anything is awaited, as an open attempt that delivers
        # cancels the rest.
        if error.verdict is _MAY_HAVE_RUN:
            self._ran_on.add(head.name)
            self._stream.may_have_run = True
            self._path_search.exclude(head.name)
        elif error.culprit:
            self._path_search.exclude(error.culprit)
        if error.code in _FAILURE_CODES and error.verdict is _MAY_HAVE_RUN:
            self._note_failed(head)
        await self._record_loss(attempt, error)
        if self._beginning is not None and _is_refusal(error):
            self._beginning.note_refused()
        logs.decision(
            "attempt_failed",
            self._request.id,
            head=head.name,
            rank=self._stream.urgency.rank,
            culprit=error.culprit,
            reason=error.message,
            verdict=str(error.verdict),
            after=self._stream.last_event_id,
            silent=round(anyio.current_time() - attempt.state.progress_at, 3),
            is_open=not attempt.has_ended,
            content=str(self._stream.content),
            parts=_logged_parts(self._request),
            has_begun=not attempt.state.is_starting,
        )

    async def _record_loss(
        self, attempt: open_attempts.OpenAttempt, error: errors.CrowdeckError
    ) -> None:
        """Record a lost attempt, and its first engine's end if it ended."""
        head = attempt.head
        if error.verdict is not _MAY_HAVE_RUN:
            if error.code is errors.Code.UPSTREAM_LOST:
                # A failed connection does not prove that the engine ended.
                self._monitor.verify(head)
            return
        if error.code not in _LOSS_CODES:
            return
        attempt_record = self._stream.record_of(attempt.state)
        # It ran too long after its first event to be suspected of a crash.
        if not attempt_record.is_suspect:
            self._context.quarantine.note_served(attempt_record)
        self._context.quarantine.note_connection_lost(
            head.name, attempt_record
        )
        if error.code is errors.Code.STALLED:
            return
        if await self._monitor.has_ended(head):
            self._context.note_instance_ended(head)

    def _note_failed(self, head: chain.Upstream) -> None:
        if self._context.heads.note_failure(head.name):
            counters.COUNTERS.add("upstream.barred")
            logs.change(
                "upstream_barred",
                upstream=head.name,
                address=str(head.address),
                reason="its streams failed",
            )

    async def _prepare_retry(
        self, head: chain.Upstream, error: errors.CrowdeckError
    ) -> bool:
        """Reserve a retry if another attempt may be made.

        Also counts a refusal, and excludes a first engine that could not be
        reached.

        :returns: whether another attempt may be made.
        """
        if self._deadline - anyio.current_time() < MIN_ATTEMPT_SECONDS:
            return False
        if error.code is errors.Code.DEADLINE:
            return False
        if error.verdict is _MAY_HAVE_RUN:
            if not self._may_resume_after_failure():
                return False
        elif error.code is errors.Code.UPSTREAM_LOST:
            self._path_search.exclude(head.name)
            # Nothing was sent, so the retry that was reserved for this
            # attempt is used by the next.
            return True
        else:
            self._refusals += 1
            if self._refusals > self._max_refusals:
                return False
        return await self._reserve_retry(error)

    @property
    def _max_refusals(self) -> int:
        if self._sink.has_started:
            return MAX_REFUSALS_STARTED
        return MAX_REFUSALS

    async def _reserve_retry(self, error: errors.CrowdeckError) -> bool:
        """Reserve a retry in the budget; return whether that succeeded.

        A stream whose answer has not started leaves a part of the budget to
        others, by its urgency.

        A stream whose answer has started waits until the budget allows a
        retry, since its caller would lose the answer, and the budget recovers
        as its window moves.
        """
        service = self._stream.service.name
        if self._must_leave_retry(error):
            return False
        until = anyio.current_time()
        if self._sink.has_started:
            until = min(until + paths.STARTED_WAIT_SECONDS, self._deadline)
        while not self._stream.send_tracker.reserve():
            if anyio.current_time() >= until:
                self._context.log_retry_refused(service, self._request.id)
                return False
            await anyio.sleep(paths.POLL_SECONDS)
        counters.COUNTERS.add("relay.stream.repeated")
        self._context.log_retry(service, self._request.id)
        return True

    def _must_leave_retry(self, error: errors.CrowdeckError) -> bool:
        """Whether the rest of the budget is for other streams."""
        urgency = self._stream.urgency
        if not urgency.is_ranked:
            return False
        service = self._stream.service.name
        reserved_share = self._context.ranked_parts().reserved_retry_share(
            self._stream, self._sink.has_started, _is_refusal(error)
        )
        budget = self._context.budget(service)
        if not reserved_share or budget.remaining < 1.0:
            return False
        remaining_share = budget.remaining_share
        if remaining_share >= reserved_share:
            return False
        counters.COUNTERS.add(f"relay.retry_left.{service}.{urgency.rank}")
        logs.decision(
            "repeat_left",
            self._request.id,
            service=service,
            rank=urgency.rank,
            left=round(remaining_share, 3),
            reserved=round(reserved_share, 3),
            reason=error.message,
        )
        return True

    def _may_resume_after_failure(self) -> bool:
        if not self._route.is_resumable:
            return False
        if self._stream.has_events and self._stream.last_event_id < 0:
            # Its events have no ids, so there is none to resume after.
            return False
        return self._runs_left() > 0

    def _runs_left(self, running_on: str = "") -> int:
        """Return at how many more engines the request may run.

        Of the engines at which it ran, those that ended do not count. Those
        that are leaving, are full, were silent or had a broken path do.

        :param running_on: name of the first engine of the current attempt.
        """
        names = self._ran_on | {running_on} if running_on else self._ran_on
        registry = self._context.registry
        counted = sum(1 for name in names if not registry.has_ended(name))
        return self._route.max_attempts - counted

    def _final_error(
        self, error: errors.CrowdeckError
    ) -> errors.CrowdeckError:
        verdict = _MAY_HAVE_RUN if self._ran_on else error.verdict
        return errors.CrowdeckError(
            error.code,
            error.message,
            verdict=verdict,
            retry_after=error.retry_after
            or self._path_search.record_refusal(),
            culprit=error.culprit,
        )


def _logged_parts(request: requests.CallerRequest) -> str:
    """Return the ids of the parts that other requests may share."""
    return ",".join(request.shared_parts)[:MAX_LOGGED_PARTS_LENGTH]


def _is_refusal(error: errors.CrowdeckError) -> bool:
    """Whether an engine refused an attempt without running it."""
    return (
        error.code is errors.Code.OVERLOADED
        and error.verdict is not _MAY_HAVE_RUN
    )
