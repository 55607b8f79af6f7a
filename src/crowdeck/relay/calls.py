# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Calls of plain services: one answer, at most as many runs as allowed."""

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
from crowdeck.routing import routes as tables
from crowdeck import verdict as verdicts

# A repeatable call that got no answer within this share of its time is
# tried at another instance while there is time left for that.
FIRST_TRY_SHARE = 0.4
# The caller is told before its own time is over, not after.
ANSWER_MARGIN = 0.03
# With less than this left no upstream could answer in time.
LEAST_SECONDS = 0.05
# Instances whose connection is refused did not get the request: others
# are tried, but not all of a large fleet.
CONNECT_TRIES = 4
RETRY_AFTER = 0.5
# While all instances are at their limits, or want rest, a call waits for so
# much of its objective. It is served in time then; what takes longer is told
# at once when to come back.
WAIT_SHARE = 0.5
CALL_BYTES = http.RESPONSE_LIMIT_BYTES


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
    """Passes calls on to the instances of plain services."""

    def __init__(
        self, context: contexts.RelayContext, watch: attempts.StreamMonitor
    ) -> None:
        self._context = context
        self._watch = watch
        self._balancer = balance.Balancer(context.usage, context.zone)

    async def serve(
        self,
        request: requests.CallerRequest,
        admitted: tables.Admitted,
        service: routes.Service,
        sink: requests.Sink,
    ) -> None:
        """Answer one call.

        :raises CrowdeckError: with the verdict, when there is no answer.
        """
        budget = self._context.budget(service.name)
        budget.earn()
        sends = budget.track_sends()
        call = _Call(
            self._context,
            self._watch,
            self._balancer,
            request,
            admitted,
            service,
            sends,
        )
        with contextlib.closing(sends):
            answer = await call.run()
        await sink.reply(answer.status, answer.headers, answer.body)


class _Call:
    """One call in progress.

    ``_sent`` counts the instances that may have got it, ``_verdict``
    is the worst that became of it at any of them.
    """

    def __init__(
        self,
        context: contexts.RelayContext,
        watch: attempts.StreamMonitor,
        balancer: balance.Balancer,
        request: requests.CallerRequest,
        admitted: tables.Admitted,
        service: routes.Service,
        sends: budgets.SendTracker,
    ) -> None:
        self._context = context
        self._watch = watch
        self._balancer = balancer
        self._sends = sends
        self._request = request
        self._admitted = admitted
        self._service = service
        self._route = admitted.route
        timeout_seconds = request.timeout_seconds or self._route.timeout
        limit = min(timeout_seconds, self._route.timeout)
        self._deadline = request.arrived + limit - ANSWER_MARGIN
        self._tried: set[str] = set()
        self._sent = 0
        self._verdict = verdicts.Verdict.NOT_RUN
        self._held_back = ""

    async def run(self) -> _Answer:
        failed: _Answer | None = None
        for _ in range(CONNECT_TRIES + self._route.max_attempts):
            self._refuse_culprit()
            try:
                upstream = await self._choose()
            except errors.CrowdeckError:
                if failed is not None:
                    return failed
                raise
            try:
                answer = await self._try(upstream)
            except errors.CrowdeckError as error:
                self._note(upstream, error)
                await self._note_loss(upstream, error)
                if self._may_go_on(error.verdict):
                    continue
                if failed is not None:
                    # An upstream's own failure says more than ours.
                    return failed
                raise self._failure(error) from None
            if not answer.has_failed:
                self._context.quarantine.note_served(self._fingerprint)
                return answer
            failed = answer
            if not self._may_go_on(answer.verdict):
                break
        if failed is not None:
            return failed
        raise self._failure(self._none_left(0.0))

    @property
    def _fingerprint(self) -> fingerprint.Fingerprint:
        return requests.fingerprint_of(self._request, self._admitted.team)

    def _refuse_culprit(self) -> None:
        """Send a call on no more under which instances ended.

        :raises CrowdeckError: ``QUARANTINED``.
        """
        quarantine = self._context.quarantine
        if quarantine.is_empty or not quarantine.is_quarantined(
            self._fingerprint
        ):
            return
        has_run = self._verdict is not verdicts.Verdict.NOT_RUN
        raise quarantine.refusal_error(self._fingerprint, has_run)

    async def _note_loss(
        self, upstream: chain.Upstream, error: errors.CrowdeckError
    ) -> None:
        """Find out whether an instance ended while it had the call."""
        if error.verdict is verdicts.Verdict.NOT_RUN:
            return
        if error.code is not errors.Code.UPSTREAM_LOST:
            return
        attempt_record = trackers.AttemptRecord(self._fingerprint, None)
        self._context.quarantine.note_connection_lost(
            upstream.name, attempt_record
        )
        if await self._watch.has_ended(upstream):
            self._context.note_end(upstream)

    async def _choose(self) -> chain.Upstream:
        """Return the instance to try, waiting a little for one.

        :raises CrowdeckError: ``NO_PATH`` where none takes a call in time.
        """
        until = self._request.arrived + WAIT_SHARE * self._route.objective
        self._held_back = self._context.backpressure.held_back(
            self._service.name
        )
        wait_queue = self._context.wait_queue(self._service.name)
        # One that is tried again is not held up by those that can go to
        # instances which it has left behind.
        if self._tried or not len(wait_queue):
            upstream = self._pick()
            if upstream is not None:
                return upstream
        if self._tried:
            return await self._await_turn(until)
        # Counted before its wait: all that wait for one instance cannot be
        # served by the next request that it takes.
        seconds = self._seconds_until(len(wait_queue))
        if not self._may_wait(seconds, until):
            raise self._failure(self._none_left(seconds))
        async with wait_queue.turn(until) as is_first:
            if not is_first:
                raise self._failure(self._none_left(self._seconds_until()))
            return await self._await_turn(until)

    async def _await_turn(self, until: float) -> chain.Upstream:
        """Return the instance to try once one takes a call."""
        while (upstream := self._pick()) is None:
            seconds = self._seconds_until()
            if not self._may_wait(seconds, until):
                raise self._failure(self._none_left(seconds))
            await anyio.sleep(seconds)
        return upstream

    def _pick(self) -> chain.Upstream | None:
        """Take an instance that takes a call now, if there is one."""
        if self._left() < LEAST_SECONDS:
            raise self._failure(
                errors.CrowdeckError(errors.Code.DEADLINE, "no time is left")
            )
        limits = self._context.limits
        usable = self._context.registry.usable(self._service.name)
        fresh = self._fresh(usable)
        upstream = self._balancer.pick(filter(limits.allows, fresh))
        if upstream is not None:
            # At once: whoever chooses next has to know.
            limits.take(upstream)
        return upstream

    def _seconds_until(self, ahead: int = 0) -> float:
        """Return in how long an instance takes this call, 0 if unknown.

        :param ahead: calls that are served before it.
        """
        registry = self._context.registry
        soon = self._fresh(registry.usable_after_backoff(self._service.name))
        return self._context.seconds_until_any(soon, ahead)

    @staticmethod
    def _may_wait(seconds: float, until: float) -> bool:
        """Whether a call is to be served within its wait."""
        return 0.0 < seconds <= until - anyio.current_time()

    def _fresh(
        self, upstreams: typing.Iterable[chain.Upstream]
    ) -> list[chain.Upstream]:
        """Return those of some instances that were not tried yet."""
        return [one for one in upstreams if one.name not in self._tried]

    async def _try(self, upstream: chain.Upstream) -> _Answer:
        self._tried.add(upstream.name)
        self._context.usage.add_call(upstream)
        began = anyio.current_time()
        seconds = self._try_seconds()
        try:
            with anyio.fail_after(seconds):
                answer = await self._exchange(upstream)
        except TimeoutError:
            self._sends.give_up()
            self._balancer.note_failure(upstream)
            raise errors.CrowdeckError(
                errors.Code.DEADLINE,
                f"no answer within {seconds:.2f} s",
                verdict=verdicts.Verdict.MAY_HAVE_RUN,
                culprit=upstream.name,
            ) from None
        finally:
            self._context.usage.remove_call(upstream)
        took = anyio.current_time() - began
        self._balancer.note_answer(upstream, took, answer.has_failed)
        self._context.registry.note_healthy(upstream.name)
        logs.decision(
            "call_answered",
            self._request.id,
            upstream=upstream.name,
            status=answer.status,
            seconds=round(took, 4),
            tries=self._sent,
            held_back=self._held_back,
        )
        return answer

    def _try_seconds(self) -> float:
        left = self._left()
        if self._route.may_repeat and self._sent < self._max_sends:
            return min(left, self._route.timeout * FIRST_TRY_SHARE)
        return left

    async def _exchange(self, upstream: chain.Upstream) -> _Answer:
        dispatch = interfaces.Dispatch(
            self._admitted.team,
            self._admitted.priority,
            self._left(),
            last_event=self._request.last_event,
        )
        timeouts = http.Timeouts(self._context.connect_seconds, self._left())
        self._sent += 1
        self._sends.send()
        async with self._context.client.open(
            upstream, self._request, dispatch, timeouts
        ) as answer:
            self._sends.arrive()
            return await self._read(upstream, answer)

    async def _read(
        self, upstream: chain.Upstream, answer: interfaces.Answer
    ) -> _Answer:
        if answer.load is not None:
            self._balancer.note_load(upstream, answer.load)
        if answer.has_not_run:
            raise errors.CrowdeckError(
                errors.Code.OVERLOADED,
                f"{upstream.name} refused with {answer.status}",
                culprit=upstream.name,
            )
        if not answer.belongs_to(self._request):
            raise _wrong(upstream, "it bears another request's id")
        if answer.status < 300 and not answer.is_signed:
            raise _wrong(upstream, "it bears no signature")
        body = await answer.read(CALL_BYTES)
        if answer.status in requests.NOT_RUN_STATUSES:
            raise _wrong(upstream, f"{answer.status} without a promise")
        return _Answer(
            answer.status,
            answer.caller_headers,
            body,
            verdicts.Verdict.RAN,
        )

    def _note(
        self, upstream: chain.Upstream, error: errors.CrowdeckError
    ) -> None:
        if error.verdict is not verdicts.Verdict.NOT_RUN:
            self._verdict = verdicts.Verdict.MAY_HAVE_RUN
            self._balancer.note_failure(upstream)
            self._sends.arrive()
        elif error.code is errors.Code.UPSTREAM_LOST:
            # No connection was had, so it was not sent after all.
            self._sent -= 1
            self._sends.fail_to_send()
            self._context.registry.avoid(upstream.name, error.message)
        elif not self._context.registry.backoff_seconds_left(upstream.name):
            # One that refuses at once has nothing under way, and would look
            # like the freest to the next call. One that says for how long it
            # wants rest is sent nothing until then, and is sound afterwards.
            self._balancer.note_failure(upstream)
        logs.decision(
            "call_failed",
            self._request.id,
            upstream=upstream.name,
            reason=error.message,
            verdict=str(error.verdict),
            tries=self._sent,
            content=str(self._fingerprint),
        )

    @property
    def _max_sends(self) -> int:
        return max(1, self._route.max_attempts)

    def _may_go_on(self, verdict: verdicts.Verdict) -> bool:
        """Whether the call is tried at another instance."""
        if verdict is not verdicts.Verdict.NOT_RUN:
            if not self._route.may_repeat:
                return False
        if self._sent >= self._max_sends:
            return False
        if not self._sent:
            return True
        service = self._service.name
        if not self._sends.reserve():
            self._context.note_unrepeated(service, self._request.id)
            return False
        counters.COUNTERS.add("relay.call.repeated")
        self._context.note_repeat(service, self._request.id)
        return True

    def _none_left(self, seconds: float) -> errors.CrowdeckError:
        """Return the refusal of a call that no instance takes.

        :param seconds: in how long one does, 0 where that is not known.
        """
        logs.decision(
            "no_instance",
            self._request.id,
            service=self._service.name,
            listed=len(self._context.registry.listed(self._service.name)),
            held_back=self._held_back,
            ready_in=round(seconds, 3) if seconds else None,
            waited=round(anyio.current_time() - self._request.arrived, 3),
        )
        if not seconds:
            return errors.CrowdeckError(
                errors.Code.NO_PATH,
                "no instance of the service can take it now",
                retry_after=RETRY_AFTER,
            )
        counters.COUNTERS.add("relay.limited")
        spread = self._context.rng.uniform(0.0, RETRY_AFTER)
        return errors.CrowdeckError(
            errors.Code.NO_PATH,
            "all instances are at their limits or want rest",
            retry_after=seconds + spread,
        )

    def _failure(self, error: errors.CrowdeckError) -> errors.CrowdeckError:
        """Return the error with what is known of all tries together."""
        verdict = error.verdict
        if self._verdict is not verdicts.Verdict.NOT_RUN:
            verdict = self._verdict
        return errors.CrowdeckError(
            error.code,
            error.message,
            verdict=verdict,
            retry_after=error.retry_after or RETRY_AFTER,
            culprit=error.culprit,
        )

    def _left(self) -> float:
        return self._deadline - anyio.current_time()


def _wrong(upstream: chain.Upstream, why: str) -> errors.CrowdeckError:
    return errors.CrowdeckError(
        errors.Code.WRONG_ANSWER,
        f"an answer of {upstream.name} cannot be passed on: {why}",
        verdict=verdicts.Verdict.MAY_HAVE_RUN,
        culprit=upstream.name,
    )
