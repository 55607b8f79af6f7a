# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Relays calls to plain services, whose answers are not streamed."""

import contextlib
import typing

import anyio
import anyio.abc

from crowdeck import chain
from crowdeck import errors
from crowdeck import http
from crowdeck.observe import counters
from crowdeck.observe import logs
from crowdeck.quarantine import fingerprint
from crowdeck.quarantine import tracker as trackers
from crowdeck.relay import attempt as attempts
from crowdeck.relay import context as contexts
from crowdeck.relay import interfaces
from crowdeck.relay import open_tries
from crowdeck.relay import request as requests
from crowdeck import route as routes
from crowdeck.routing import balance
from crowdeck.routing import budget as budgets
from crowdeck.routing import routes as route_tables
from crowdeck import verdict as verdicts

# Share of the route's timeout after which a call that may be repeated is
# tried at another instance too.
FIRST_ATTEMPT_SHARE = 0.4
# If no other try can be made beside a silent one, that is checked again after
# this time.
KEPT_CHECK_SECONDS = 0.2
# Errors reach the caller this long before its own deadline.
ANSWER_MARGIN_SECONDS = 0.03
# A call is not sent with less time left than this. No upstream could answer in
# time.
MIN_ATTEMPT_SECONDS = 0.05
# Additional tries for instances that cannot be connected to, since these do
# not count towards the route's maximum attempts.
EXTRA_CONNECT_TRIES = 4
# Retry delay if none can be computed, and the maximum jitter added to a
# computed delay.
DEFAULT_RETRY_AFTER_SECONDS = 0.5
# Share of the latency objective for which a call waits while all instances
# are rate limited or backing off. If the wait would be longer, the call is
# refused at once with a retry delay.
QUEUE_WAIT_SHARE = 0.5
MAX_ANSWER_BYTES = http.RESPONSE_LIMIT_BYTES


class CallRelay:
    """Relays calls to the instances of plain services."""

    def __init__(
        self, context: contexts.RelayContext, monitor: attempts.StreamMonitor
    ) -> None:
        self._context = context
        self._monitor = monitor
        self._balancer = balance.Balancer(context.usage, context.zone)

    async def serve(
        self,
        request: requests.CallerRequest,
        admitted: route_tables.AdmittedRequest,
        service: routes.Service,
        sink: requests.Sink,
    ) -> None:
        """Answer one call.

        :raises CrowdeckError: when there is no answer; its verdict says
            whether the call may have run.
        """
        budget = self._context.budget(service.name)
        budget.earn()
        send_tracker = budget.track_sends()
        call = _Call(
            self._context,
            self._monitor,
            self._balancer,
            request,
            admitted,
            service,
            send_tracker,
        )
        with contextlib.closing(send_tracker):
            answer = await call.run()
        await sink.reply(answer.status, answer.headers, answer.body)


class _Call:
    """One call in progress.

    ``_send_count`` counts the tries, except those that could not connect;
    ``_verdict`` combines the verdicts of all that ended. ``_look_at`` is when
    to make another try beside those that are open.
    """

    def __init__(
        self,
        context: contexts.RelayContext,
        monitor: attempts.StreamMonitor,
        balancer: balance.Balancer,
        request: requests.CallerRequest,
        admitted: route_tables.AdmittedRequest,
        service: routes.Service,
        send_tracker: budgets.SendTracker,
    ) -> None:
        self._context = context
        self._monitor = monitor
        self._balancer = balancer
        self._send_tracker = send_tracker
        self._request = request
        self._admitted = admitted
        self._service = service
        self._route = admitted.route
        timeout_seconds = (
            request.timeout_seconds or self._route.timeout_seconds
        )
        limit_seconds = min(timeout_seconds, self._route.timeout_seconds)
        self._deadline = (
            request.arrived + limit_seconds - ANSWER_MARGIN_SECONDS
        )
        self._tries = open_tries.OpenTries()
        self._tried: set[str] = set()
        self._send_count = 0
        self._look_at = float("inf")
        self._has_logged_kept = False
        self._verdict = verdicts.Verdict.NOT_RUN
        self._unavailable_addresses = ""

    async def run(self) -> open_tries.CallAnswer:
        """Return the answer of the first try that is served.

        :raises CrowdeckError: if there is none.
        """
        failure: errors.CrowdeckError | None = None
        answer: open_tries.CallAnswer | None = None
        async with anyio.create_task_group() as tasks:
            try:
                answer = await self._await_answer(tasks)
            except errors.CrowdeckError as error:
                failure = error
            tasks.cancel_scope.cancel()
        if failure is not None:
            raise failure
        assert answer is not None
        return answer

    async def _await_answer(
        self, tasks: anyio.abc.TaskGroup
    ) -> open_tries.CallAnswer:
        failed_answer: open_tries.CallAnswer | None = None
        self._refuse_if_quarantined()
        self._begin(tasks, await self._choose())
        while True:
            ended = await self._tries.wait(self._look_at)
            if ended is None:
                self._begin_beside(tasks)
                continue
            if ended.is_served:
                assert ended.answer is not None
                self._note_served(ended)
                return ended.answer
            failed_answer = ended.answer or failed_answer
            if self._tries.are_open:
                self._schedule_look()
                continue
            if self._prepare_retry(ended.verdict):
                self._refuse_if_quarantined()
                try:
                    self._begin(tasks, await self._choose())
                except errors.CrowdeckError:
                    if failed_answer is not None:
                        return failed_answer
                    raise
                continue
            if failed_answer is not None:
                # The upstream's own error is more specific.
                return failed_answer
            assert ended.error is not None
            raise self._final_error(ended.error)

    def _begin(
        self, tasks: anyio.abc.TaskGroup, upstream: chain.Upstream
    ) -> None:
        """Begin a try at an instance."""
        self._tried.add(upstream.name)
        self._send_count += 1
        self._send_tracker.note_sent()
        tasks.start_soon(self._run_try, self._tries.begin(upstream))
        self._schedule_look()

    def _schedule_look(self) -> None:
        """Set when to make another try, once the latest one is silent."""
        self._look_at = float("inf")
        if self._route.may_repeat and self._send_count < self._max_sends:
            self._look_at = (
                self._tries.latest_began_at
                + self._route.timeout_seconds * FIRST_ATTEMPT_SHARE
            )

    def _begin_beside(self, tasks: anyio.abc.TaskGroup) -> None:
        """Begin a try beside those that are open, if one can be made now.

        Otherwise they are waited for, and this is checked again.
        """
        self._look_at = anyio.current_time() + KEPT_CHECK_SECONDS
        for silent_try in self._tries.take_silent():
            self._note_late(silent_try)
        # Only the last send is tracked, and the next may be made below.
        self._send_tracker.note_abandoned()
        if not self._may_send_again(verdicts.Verdict.MAY_HAVE_RUN):
            self._look_at = float("inf")
            self._log_kept("no further try is allowed")
        elif self._context.quarantine.is_quarantined(self._content):
            self._log_kept("it is quarantined")
        elif not self._accepting():
            self._log_kept("no untried instance accepts the call now")
        elif not self._send_tracker.reserve():
            if not self._has_logged_kept:
                self._context.log_retry_refused(
                    self._service.name, self._request.id
                )
            self._log_kept("the retry budget is spent")
        else:
            self._note_retry()
            upstream = self._pick()
            assert upstream is not None, "an instance accepts the call"
            self._begin(tasks, upstream)

    def _note_late(self, silent_try: open_tries.OpenTry) -> None:
        self._balancer.note_failure(silent_try.upstream)
        logs.decision(
            "call_late",
            self._request.id,
            upstream=silent_try.upstream.name,
            silent=round(anyio.current_time() - silent_try.began_at, 3),
            tries=self._send_count,
        )

    def _log_kept(self, reason: str) -> None:
        """Log once why no other try is made beside a silent one."""
        if self._has_logged_kept:
            return
        self._has_logged_kept = True
        counters.COUNTERS.add("relay.call.kept")
        logs.decision("call_kept", self._request.id, reason=reason)

    def _note_served(self, ended: open_tries.OpenTry) -> None:
        if ended.is_late:
            counters.COUNTERS.add("relay.call.resumed")
        self._context.quarantine.note_served(
            trackers.AttemptRecord(
                self._content, anyio.current_time() - ended.began_at
            )
        )

    @property
    def _content(self) -> fingerprint.RequestContent:
        return requests.content_of(self._request, self._admitted.team)

    def _refuse_if_quarantined(self) -> None:
        """Refuse a call that is known to crash instances.

        :raises CrowdeckError: ``QUARANTINED``.
        """
        quarantine = self._context.quarantine
        if quarantine.has_no_suspects:
            return
        content = self._content
        if not quarantine.is_quarantined(content):
            return
        has_run = self._verdict is not verdicts.Verdict.NOT_RUN
        if not has_run and quarantine.claim_trial(content):
            return
        raise self._context.quarantine_error(
            self._request, content, may_have_run=has_run
        )

    async def _record_loss(
        self, upstream: chain.Upstream, error: errors.CrowdeckError
    ) -> None:
        """Record a lost connection, and the instance's end if it ended."""
        if error.verdict is verdicts.Verdict.NOT_RUN:
            return
        if error.code is not errors.Code.UPSTREAM_LOST:
            return
        attempt_record = trackers.AttemptRecord(self._content, None)
        self._context.quarantine.note_connection_lost(
            upstream.name, attempt_record
        )
        if await self._monitor.has_ended(upstream):
            self._context.note_instance_ended(upstream)

    async def _choose(self) -> chain.Upstream:
        """Return the instance to try, waiting briefly if none is free.

        :raises CrowdeckError: ``NO_PATH`` if none accepts a call in time,
            ``DEADLINE`` if too little time is left.
        """
        until = (
            self._request.arrived
            + QUEUE_WAIT_SHARE * self._route.objective_seconds
        )
        self._unavailable_addresses = (
            self._context.backpressure.unavailable_addresses(
                self._service.name
            )
        )
        wait_queue = self._context.wait_queue(self._service.name)
        # A retried call does not join the queue: it can use only untried
        # instances, and would block calls that can use the others.
        if self._tried or not len(wait_queue):
            upstream = self._pick()
            if upstream is not None:
                return upstream
        if self._tried:
            return await self._await_instance(until)
        # Queued calls are served first, so their waits are included.
        seconds = self._seconds_until_accepted(len(wait_queue))
        if not self._may_wait(seconds, until):
            raise self._final_error(self._no_instance_error(seconds))
        async with wait_queue.turn(until) as is_first:
            if not is_first:
                raise self._final_error(
                    self._no_instance_error(self._seconds_until_accepted())
                )
            return await self._await_instance(until)

    async def _await_instance(self, until: float) -> chain.Upstream:
        """Wait until an instance accepts a call, and return it."""
        while (upstream := self._pick()) is None:
            seconds = self._seconds_until_accepted()
            if not self._may_wait(seconds, until):
                raise self._final_error(self._no_instance_error(seconds))
            await anyio.sleep(seconds)
        return upstream

    def _pick(self) -> chain.Upstream | None:
        """Return an instance that accepts a call now, or ``None``.

        The call is counted in the rate limit of the instance.

        :raises CrowdeckError: ``DEADLINE`` if too little time is left.
        """
        if self._seconds_left() < MIN_ATTEMPT_SECONDS:
            raise self._final_error(
                errors.CrowdeckError(
                    errors.Code.DEADLINE,
                    f"less than {MIN_ATTEMPT_SECONDS:g} s are left before the "
                    "deadline",
                )
            )
        upstream = self._balancer.pick(self._accepting())
        if upstream is not None:
            # Counted at once, so that other tasks do not exceed the limit.
            self._context.limits.take(upstream)
        return upstream

    def _accepting(self) -> list[chain.Upstream]:
        """Return the untried instances that accept a call now."""
        usable = self._context.registry.usable(self._service.name)
        limits = self._context.limits
        return [
            upstream
            for upstream in self._untried(usable)
            if limits.allows(upstream)
        ]

    def _seconds_until_accepted(self, ahead: int = 0) -> float:
        """Return the seconds until an instance accepts this call.

        0 if one accepts it now, or if that is not known.

        :param ahead: number of calls that are served before this one.
        """
        registry = self._context.registry
        usable_later = self._untried(
            registry.usable_or_backing_off(self._service.name)
        )
        return self._context.seconds_until_any_accepts(usable_later, ahead)

    @staticmethod
    def _may_wait(seconds: float, until: float) -> bool:
        """Whether the wait is known and ends by ``until``."""
        return 0.0 < seconds <= until - anyio.current_time()

    def _untried(
        self, upstreams: typing.Iterable[chain.Upstream]
    ) -> list[chain.Upstream]:
        """Return the instances at which the call was not tried yet."""
        return [
            upstream
            for upstream in upstreams
            if upstream.name not in self._tried
        ]

    async def _run_try(self, open_try: open_tries.OpenTry) -> None:
        """Run a try, and note how it ended."""
        try:
            open_try.answer = await self._attempt(open_try)
        except errors.CrowdeckError as error:
            open_try.error = error
            self._record_failure(open_try, error)
            await self._record_loss(open_try.upstream, error)
        self._tries.end(open_try)

    async def _attempt(
        self, open_try: open_tries.OpenTry
    ) -> open_tries.CallAnswer:
        upstream = open_try.upstream
        seconds = self._seconds_left()
        self._context.usage.add_call(upstream)
        try:
            with anyio.fail_after(seconds):
                answer = await self._exchange(open_try)
        except TimeoutError:
            raise errors.CrowdeckError(
                errors.Code.DEADLINE,
                f"no answer within {seconds:.2f} s",
                verdict=verdicts.Verdict.MAY_HAVE_RUN,
                culprit=upstream.name,
            ) from None
        finally:
            self._context.usage.remove_call(upstream)
        elapsed = anyio.current_time() - open_try.began_at
        self._balancer.note_answer(upstream, elapsed, answer.has_failed)
        self._context.registry.note_healthy(upstream.name)
        logs.decision(
            "call_answered",
            self._request.id,
            upstream=upstream.name,
            status=answer.status,
            seconds=round(elapsed, 4),
            tries=self._send_count,
            held_back=self._unavailable_addresses,
        )
        return answer

    async def _exchange(
        self, open_try: open_tries.OpenTry
    ) -> open_tries.CallAnswer:
        dispatch = interfaces.Dispatch(
            self._admitted.team,
            self._admitted.priority,
            self._seconds_left(),
            last_event_id=self._request.last_event_id,
            may_repeat=self._route.may_repeat,
        )
        timeouts = http.Timeouts(
            self._context.connect_seconds, self._seconds_left()
        )
        async with self._context.client.open(
            open_try.upstream, self._request, dispatch, timeouts
        ) as answer:
            if self._tries.is_latest(open_try):
                self._send_tracker.note_arrived()
            return await self._read(open_try.upstream, answer)

    async def _read(
        self, upstream: chain.Upstream, answer: interfaces.Answer
    ) -> open_tries.CallAnswer:
        if answer.load is not None:
            self._balancer.note_load(upstream, answer.load)
        if answer.has_not_run:
            raise errors.CrowdeckError(
                errors.Code.OVERLOADED,
                f"{upstream.name} refused with status {answer.status}",
                culprit=upstream.name,
            )
        if not answer.belongs_to(self._request):
            raise _wrong_answer_error(
                upstream, "it has the id of another request"
            )
        if answer.status < 300 and not answer.is_signed:
            raise _wrong_answer_error(upstream, "it has no signature")
        body = await answer.read(MAX_ANSWER_BYTES)
        if answer.status in requests.NOT_RUN_STATUSES:
            raise _wrong_answer_error(
                upstream,
                f"status {answer.status} without a not-executed header",
            )
        return open_tries.CallAnswer(
            answer.status, answer.caller_headers, body
        )

    def _record_failure(
        self, open_try: open_tries.OpenTry, error: errors.CrowdeckError
    ) -> None:
        upstream = open_try.upstream
        is_latest = self._tries.is_latest(open_try)
        if error.verdict is not verdicts.Verdict.NOT_RUN:
            self._verdict = verdicts.Verdict.MAY_HAVE_RUN
            if not open_try.is_late:
                self._balancer.note_failure(upstream)
            if is_latest and error.code is errors.Code.DEADLINE:
                self._send_tracker.note_abandoned()
            elif is_latest:
                self._send_tracker.note_arrived()
        elif error.code is errors.Code.UPSTREAM_LOST:
            # There was no connection, so the request was not sent.
            self._send_count -= 1
            if is_latest:
                self._send_tracker.note_send_failed()
            self._context.registry.avoid(upstream.name, error.message)
        elif not self._context.registry.backoff_seconds_left(upstream.name):
            # An instance that refuses has no calls in progress and would
            # look least loaded. One that is backing off gets none anyway.
            self._balancer.note_failure(upstream)
        logs.decision(
            "call_failed",
            self._request.id,
            upstream=upstream.name,
            reason=error.message,
            verdict=str(error.verdict),
            tries=self._send_count,
            content=str(self._content),
        )

    @property
    def _max_sends(self) -> int:
        return max(1, self._route.max_attempts)

    def _may_send_again(self, verdict: verdicts.Verdict) -> bool:
        """Whether another try is allowed, apart from the retry budget.

        :param verdict: whether an earlier try may have run.
        """
        if self._seconds_left() < MIN_ATTEMPT_SECONDS:
            return False
        if verdict is not verdicts.Verdict.NOT_RUN:
            if not self._route.may_repeat:
                return False
        if len(self._tried) >= EXTRA_CONNECT_TRIES + self._route.max_attempts:
            return False
        return self._send_count < self._max_sends

    def _prepare_retry(self, verdict: verdicts.Verdict) -> bool:
        """Reserve a retry if the call may be tried at another instance.

        :returns: whether it may.
        """
        if not self._may_send_again(verdict):
            return False
        if not self._send_count:
            # Nothing was sent yet, so this is not a retry.
            return True
        if not self._send_tracker.reserve():
            self._context.log_retry_refused(
                self._service.name, self._request.id
            )
            return False
        self._note_retry()
        return True

    def _note_retry(self) -> None:
        counters.COUNTERS.add("relay.call.repeated")
        self._context.log_retry(self._service.name, self._request.id)

    def _no_instance_error(self, seconds: float) -> errors.CrowdeckError:
        """Log that no instance accepts a call, and return the error.

        :param seconds: seconds until an instance accepts it, 0 if unknown.
        """
        logs.decision(
            "no_instance",
            self._request.id,
            service=self._service.name,
            listed=len(self._context.registry.listed(self._service.name)),
            held_back=self._unavailable_addresses,
            ready_in=round(seconds, 3) if seconds else None,
            waited=round(anyio.current_time() - self._request.arrived, 3),
        )
        if not seconds:
            return errors.CrowdeckError(
                errors.Code.NO_PATH,
                "no untried instance of the service accepts the call now",
                retry_after=DEFAULT_RETRY_AFTER_SECONDS,
            )
        counters.COUNTERS.add("relay.limited")
        jitter = self._context.rng.uniform(0.0, DEFAULT_RETRY_AFTER_SECONDS)
        return errors.CrowdeckError(
            errors.Code.NO_PATH,
            "all untried instances of the service are rate limited or "
            "backing off",
            retry_after=seconds + jitter,
        )

    def _final_error(
        self, error: errors.CrowdeckError
    ) -> errors.CrowdeckError:
        """Return the error with the combined verdict of all tries."""
        verdict = error.verdict
        if self._verdict is not verdicts.Verdict.NOT_RUN:
            verdict = self._verdict
        return errors.CrowdeckError(
            error.code,
            error.message,
            verdict=verdict,
            retry_after=error.retry_after or DEFAULT_RETRY_AFTER_SECONDS,
            culprit=error.culprit,
        )

    def _seconds_left(self) -> float:
        return self._deadline - anyio.current_time()


def _wrong_answer_error(
    upstream: chain.Upstream, reason: str
) -> errors.CrowdeckError:
    return errors.CrowdeckError(
        errors.Code.WRONG_ANSWER,
        f"cannot forward an answer from {upstream.name}: {reason}",
        verdict=verdicts.Verdict.MAY_HAVE_RUN,
        culprit=upstream.name,
    )
