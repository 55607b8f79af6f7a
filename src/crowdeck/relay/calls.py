# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Relays calls to plain services, whose answers are not streamed."""

import contextlib
import typing

import anyio
import attrs

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
from crowdeck.relay import request as requests
from crowdeck import route as routes
from crowdeck.routing import balance
from crowdeck.routing import budget as budgets
from crowdeck.routing import routes as route_tables
from crowdeck import verdict as verdicts

# Share of the route's timeout after which a call that may be repeated is
# tried at another instance.
FIRST_ATTEMPT_SHARE = 0.4
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


@attrs.frozen
class _Answer:
    status: int
    headers: http.RawHeaders
    body: bytes
    verdict: verdicts.Verdict

    @property
    def has_failed(self) -> bool:
        return self.status >= 500


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
    ``_verdict`` combines the verdicts of all tries.
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
        self._tried: set[str] = set()
        self._send_count = 0
        self._attempt_began_at = request.arrived
        self._verdict = verdicts.Verdict.NOT_RUN
        self._unavailable_addresses = ""

    async def run(self) -> _Answer:
        failed_answer: _Answer | None = None
        for _ in range(EXTRA_CONNECT_TRIES + self._route.max_attempts):
            self._refuse_if_quarantined()
            try:
                upstream = await self._choose()
            except errors.CrowdeckError:
                if failed_answer is not None:
                    return failed_answer
                raise
            try:
                answer = await self._attempt(upstream)
            except errors.CrowdeckError as error:
                self._record_failure(upstream, error)
                await self._record_loss(upstream, error)
                if self._prepare_retry(error.verdict):
                    continue
                if failed_answer is not None:
                    # The upstream's own error is more specific.
                    return failed_answer
                raise self._final_error(error) from None
            if not answer.has_failed:
                self._context.quarantine.note_served(
                    trackers.AttemptRecord(
                        self._content,
                        anyio.current_time() - self._attempt_began_at,
                    )
                )
                return answer
            failed_answer = answer
            if not self._prepare_retry(answer.verdict):
                break
        if failed_answer is not None:
            return failed_answer
        raise self._final_error(self._no_instance_error(0.0))

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
        limits = self._context.limits
        usable = self._context.registry.usable(self._service.name)
        untried = self._untried(usable)
        upstream = self._balancer.pick(filter(limits.allows, untried))
        if upstream is not None:
            # Counted at once, so that other tasks do not exceed the limit.
            limits.take(upstream)
        return upstream

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

    async def _attempt(self, upstream: chain.Upstream) -> _Answer:
        self._tried.add(upstream.name)
        self._context.usage.add_call(upstream)
        began = self._attempt_began_at = anyio.current_time()
        seconds = self._attempt_seconds()
        try:
            with anyio.fail_after(seconds):
                answer = await self._exchange(upstream)
        except TimeoutError:
            self._send_tracker.note_abandoned()
            self._balancer.note_failure(upstream)
            raise errors.CrowdeckError(
                errors.Code.DEADLINE,
                f"no answer within {seconds:.2f} s",
                verdict=verdicts.Verdict.MAY_HAVE_RUN,
                culprit=upstream.name,
            ) from None
        finally:
            self._context.usage.remove_call(upstream)
        elapsed = anyio.current_time() - began
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

    def _attempt_seconds(self) -> float:
        seconds_left = self._seconds_left()
        if self._route.may_repeat and self._send_count < self._max_sends:
            return min(
                seconds_left, self._route.timeout_seconds * FIRST_ATTEMPT_SHARE
            )
        return seconds_left

    async def _exchange(self, upstream: chain.Upstream) -> _Answer:
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
        self._send_count += 1
        self._send_tracker.note_sent()
        async with self._context.client.open(
            upstream, self._request, dispatch, timeouts
        ) as answer:
            self._send_tracker.note_arrived()
            return await self._read(upstream, answer)

    async def _read(
        self, upstream: chain.Upstream, answer: interfaces.Answer
    ) -> _Answer:
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
        return _Answer(
            answer.status,
            answer.caller_headers,
            body,
            verdicts.Verdict.RAN,
        )

    def _record_failure(
        self, upstream: chain.Upstream, error: errors.CrowdeckError
    ) -> None:
        if error.verdict is not verdicts.Verdict.NOT_RUN:
            self._verdict = verdicts.Verdict.MAY_HAVE_RUN
            self._balancer.note_failure(upstream)
            self._send_tracker.note_arrived()
        elif error.code is errors.Code.UPSTREAM_LOST:
            # There was no connection, so the request was not sent.
            self._send_count -= 1
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

    def _prepare_retry(self, verdict: verdicts.Verdict) -> bool:
        """Reserve a retry if the call may be tried at another instance.

        :returns: whether it may.
        """
        if verdict is not verdicts.Verdict.NOT_RUN:
            if not self._route.may_repeat:
                return False
        if self._send_count >= self._max_sends:
            return False
        if not self._send_count:
            # Nothing was sent yet, so this is not a retry.
            return True
        service = self._service.name
        if not self._send_tracker.reserve():
            self._context.log_retry_refused(service, self._request.id)
            return False
        counters.COUNTERS.add("relay.call.repeated")
        self._context.log_retry(service, self._request.id)
        return True

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
