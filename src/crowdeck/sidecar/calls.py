# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Runs each attempt at a call of a plain service at most once.

Plain services are HTTP upstreams other than model engines. A call runs in a
task of the sidecar and its answer is kept, so that a stopped entry or a lost
link neither cancels the call nor loses its answer.
"""

import collections
import re

import anyio
import anyio.abc
import attrs

from crowdeck import errors
from crowdeck import header as http_header
from crowdeck.observe import counters
from crowdeck.observe import traces
from crowdeck.sidecar import gate as gates
from crowdeck import timers
from crowdeck import upstream
from crowdeck import verdict as verdicts
from crowdeck.wire import questions

# How long after the start of its call an answer is kept for callers that
# repeat their request. Longer than any caller waits before it does.
ANSWER_TTL_SECONDS = 300.0
# Total size of the kept answers, of which the oldest are dropped first.
MAX_KEPT_BYTES = 64 * 1024 * 1024
MAX_COMPANIONS = 16

_COMPANION_LINK = re.compile(r'<([^>]+)>\s*;\s*rel="?companion"?')


@attrs.define(eq=False)
class _CallRecord:
    team: str
    epoch: int
    begun_at: float
    done: anyio.Event = attrs.field(factory=anyio.Event)
    reply: questions.Called | errors.CrowdeckError | None = None

    @property
    def size(self) -> int:
        """Size of the answer's bodies in bytes."""
        if not isinstance(self.reply, questions.Called):
            return 0
        companions = sum(
            len(companion.body) for companion in self.reply.companions
        )
        return len(self.reply.body) + companions


class CallRunner:
    """Runs the calls of the plain services beside one sidecar."""

    def __init__(
        self,
        services: dict[str, upstream.PlainService],
        gate: gates.Gate,
        clock: timers.Clock,
        tracer: traces.Tracer,
        tasks: anyio.abc.TaskGroup,
    ) -> None:
        self._services = services
        self._gate = gate
        self._clock = clock
        self._tracer = tracer
        self._tasks = tasks
        self._records: collections.OrderedDict[str, _CallRecord] = (
            collections.OrderedDict()
        )
        self._running = 0

    @property
    def running(self) -> int:
        """Calls in progress."""
        return self._running

    @property
    def services(self) -> tuple[str, ...]:
        """Names of the services beside this sidecar."""
        return tuple(sorted(self._services))

    async def call(self, call: questions.Call) -> questions.Called:
        """Run a call, or wait for the run that an earlier arrival began.

        :raises CrowdeckError: with the verdict of the gate or the call.
        """
        record = self._records.get(call.request)
        if record is None or self._is_retry(call, record):
            record = self._begin(call)
        return await self._wait_for_reply(record, call.team, call.seconds_left)

    async def collect(self, question: questions.Collect) -> questions.Called:
        """Return the answer of an earlier call, waiting while it runs."""
        record = self._records.get(question.request)
        if record is None:
            raise _gone_error()
        return await self._wait_for_reply(
            record, question.team, ANSWER_TTL_SECONDS
        )

    async def sweep(self) -> None:
        """Drop answers of old calls, and those that exceed the total size."""
        limit = self._clock.now() - ANSWER_TTL_SECONDS
        total = sum(record.size for record in self._records.values())
        for request, record in tuple(self._records.items()):
            is_old = record.begun_at < limit
            if record.reply is None or not (is_old or total > MAX_KEPT_BYTES):
                continue
            total -= record.size
            del self._records[request]

    def _is_retry(self, call: questions.Call, record: _CallRecord) -> bool:
        """Return whether a call retries one that ended in an error.

        An entry retries a call only if it did not run, or if the service's
        contract allows it to run again.
        """
        has_failed = isinstance(record.reply, errors.CrowdeckError)
        is_own = record.team == call.team
        return has_failed and is_own and call.epoch > record.epoch

    def _begin(self, call: questions.Call) -> _CallRecord:
        if call.incarnation != self._gate.incarnation:
            raise errors.CrowdeckError(
                errors.Code.WRONG_INCARNATION,
                f"the call is for incarnation {call.incarnation}, but this "
                f"sidecar has incarnation {self._gate.incarnation}",
            )
        service = self._services.get(call.service)
        if service is None:
            raise errors.CrowdeckError(
                errors.Code.NOT_FOUND, f"no service {call.service} here"
            )
        self._gate.admit(call.request, call.epoch, is_new_work=True)
        record = self._records[call.request] = _CallRecord(
            call.team, call.epoch, self._clock.now()
        )
        self._running += 1
        counters.COUNTERS.add("calls.begun")
        self._tasks.start_soon(self._run, call, service, record)
        return record

    async def _wait_for_reply(
        self, record: _CallRecord, team: str, timeout_seconds: float
    ) -> questions.Called:
        if record.team != team:
            raise _gone_error()
        with anyio.move_on_after(timeout_seconds):
            await record.done.wait()
        if record.reply is None:
            raise errors.CrowdeckError(
                errors.Code.DEADLINE,
                "the call did not end in time",
                verdict=verdicts.Verdict.MAY_HAVE_RUN,
            )
        if isinstance(record.reply, errors.CrowdeckError):
            raise record.reply
        return record.reply

    async def _run(
        self,
        call: questions.Call,
        service: upstream.PlainService,
        record: _CallRecord,
    ) -> None:
        span = self._tracer.begin(
            "service",
            call.traceparent,
            {"service": call.service, "request": call.request},
        )
        try:
            record.reply = await self._call_service(call, service, span)
            self._gate.finish(call.request)
            span.end("answered")
        except errors.CrowdeckError as error:
            record.reply = error
            span.end(error.code)
            if error.verdict is verdicts.Verdict.NOT_RUN:
                # The upstream was never reached: allow a retry, but prevent
                # this attempt from running here later.
                self._gate.withdraw(call.request, call.epoch)
                del self._records[call.request]
        finally:
            self._running -= 1
            record.done.set()

    async def _call_service(
        self,
        call: questions.Call,
        service: upstream.PlainService,
        span: traces.OpenSpan,
    ) -> questions.Called:
        headers = (
            *call.headers,
            http_header.Header("traceparent", span.traceparent),
        )
        response = await service.call(
            upstream.ServiceRequest(
                method=call.method,
                path=call.path,
                headers=headers,
                body=call.body,
                timeout_seconds=call.seconds_left,
            )
        )
        companions: tuple[questions.Companion, ...] = ()
        if call.has_companions:
            companions = await self._fetch_companions(call, service, response)
        return questions.Called(
            status=response.status,
            headers=response.headers,
            body=response.body,
            companions=companions,
        )

    async def _fetch_companions(
        self,
        call: questions.Call,
        service: upstream.PlainService,
        response: upstream.ServiceResponse,
    ) -> tuple[questions.Companion, ...]:
        """Fetch the paths in Link headers with ``rel=companion``."""
        paths = _companion_paths(response.headers)
        if len(paths) > MAX_COMPANIONS:
            raise _companion_missing_error(
                f"the answer has {len(paths)} companions, at most "
                f"{MAX_COMPANIONS} are supported"
            )
        found = []
        for path in paths:
            found.append(await self._fetch_companion(call, service, path))
        return tuple(found)

    async def _fetch_companion(
        self, call: questions.Call, service: upstream.PlainService, path: str
    ) -> questions.Companion:
        request = upstream.ServiceRequest(
            method="GET",
            path=path,
            headers=call.headers,
            body=b"",
            timeout_seconds=call.seconds_left,
        )
        try:
            response = await service.call(request)
        except errors.CrowdeckError as error:
            raise _companion_missing_error(
                f"companion {path} could not be fetched: {error.code}"
            ) from error
        if response.status != 200:
            raise _companion_missing_error(
                f"companion {path} could not be fetched: expected status 200, "
                f"received {response.status}"
            )
        return questions.Companion(
            path=path,
            content_type=_media_type(response.headers, "content-type"),
            body=response.body,
        )


def _companion_paths(headers: tuple[http_header.Header, ...]) -> list[str]:
    paths: list[str] = []
    for header in headers:
        if header.name == "link":
            paths.extend(_COMPANION_LINK.findall(header.value))
    return paths


def _media_type(headers: tuple[http_header.Header, ...], name: str) -> str:
    """Return the media type in a header, or the generic one without it."""
    for header in headers:
        if header.name == name:
            return header.value
    return "application/octet-stream"


def _gone_error() -> errors.CrowdeckError:
    return errors.CrowdeckError(
        errors.Code.ANSWER_GONE,
        "no such answer is kept here",
        verdict=verdicts.Verdict.MAY_HAVE_RUN,
    )


def _companion_missing_error(message: str) -> errors.CrowdeckError:
    # The call itself has run; only its companions are missing.
    return errors.CrowdeckError(
        errors.Code.COMPANION_MISSING, message, verdict=verdicts.Verdict.RAN
    )
