# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Calls of plain services: each runs at most once, its answer is kept.

A call runs in the sidecar's own task, not in its asker's: an entry that
dies, or a link that breaks, neither cuts the call nor loses the answer.
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

# Longer than any caller waits before it asks again with the same key.
KEEP_SECONDS = 300.0
# Kept answers' bodies together; the oldest go first.
KEEP_BYTES = 64 * 1024 * 1024
COMPANION_LIMIT = 16

_COMPANION = re.compile(r'<([^>]+)>\s*;\s*rel="?companion"?')


@attrs.define(eq=False)
class _Kept:
    team: str
    epoch: int
    time: float
    done: anyio.Event = attrs.field(factory=anyio.Event)
    reply: questions.Called | errors.CrowdeckError | None = None

    @property
    def size(self) -> int:
        """Bytes that the kept answer takes, roughly."""
        if not isinstance(self.reply, questions.Called):
            return 0
        companions = sum(len(one.body) for one in self.reply.companions)
        return len(self.reply.body) + companions


class CallRunner:
    """The calls of the plain services beside one sidecar."""

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
        self._kept: collections.OrderedDict[str, _Kept] = (
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
        """Run a call, or join the run of an earlier arrival of it.

        :raises CrowdeckError: with the verdict of the gate or the call.
        """
        kept = self._kept.get(call.request)
        if kept is None or self._is_retry(call, kept):
            kept = self._begin(call)
        return await self._wait(kept, call.team, call.seconds_left)

    async def collect(self, question: questions.Collect) -> questions.Called:
        """Return the answer of an earlier call, waiting while it runs."""
        kept = self._kept.get(question.request)
        if kept is None:
            raise _gone()
        return await self._wait(kept, question.team, KEEP_SECONDS)

    async def sweep(self) -> None:
        """Drop answers that nobody will ask for any more."""
        limit = self._clock.now() - KEEP_SECONDS
        total = sum(kept.size for kept in self._kept.values())
        for request, kept in tuple(self._kept.items()):
            is_old = kept.time < limit
            if kept.reply is None or not (is_old or total > KEEP_BYTES):
                continue
            total -= kept.size
            del self._kept[request]

    def _is_retry(self, call: questions.Call, kept: _Kept) -> bool:
        """Whether a call is a further try of one that ended in an error.

        An entry makes one only where the first did not run, or where the
        service's contract allows it to run again.
        """
        has_failed = isinstance(kept.reply, errors.CrowdeckError)
        is_own = kept.team == call.team
        return has_failed and is_own and call.epoch > kept.epoch

    def _begin(self, call: questions.Call) -> _Kept:
        if call.incarnation != self._gate.incarnation:
            raise errors.CrowdeckError(
                errors.Code.WRONG_INCARNATION,
                "the call was meant for another run of this sidecar",
            )
        service = self._services.get(call.service)
        if service is None:
            raise errors.CrowdeckError(
                errors.Code.NOT_FOUND, f"no service {call.service} here"
            )
        self._gate.enter(call.request, call.epoch, is_new_work=True)
        kept = self._kept[call.request] = _Kept(
            call.team, call.epoch, self._clock.now()
        )
        self._running += 1
        counters.COUNTERS.add("calls.begun")
        self._tasks.start_soon(self._run, call, service, kept)
        return kept

    async def _wait(
        self, kept: _Kept, team: str, timeout: float
    ) -> questions.Called:
        if kept.team != team:
            raise _gone()
        with anyio.move_on_after(timeout):
            await kept.done.wait()
        if kept.reply is None:
            raise errors.CrowdeckError(
                errors.Code.DEADLINE,
                "the call has not ended by its deadline",
                verdict=verdicts.Verdict.MAY_HAVE_RUN,
            )
        if isinstance(kept.reply, errors.CrowdeckError):
            raise kept.reply
        return kept.reply

    async def _run(
        self,
        call: questions.Call,
        service: upstream.PlainService,
        kept: _Kept,
    ) -> None:
        span = self._tracer.begin(
            "service",
            call.traceparent,
            {"service": call.service, "request": call.request},
        )
        try:
            kept.reply = await self._call_service(call, service, span)
            self._gate.finish(call.request)
            span.end("answered")
        except errors.CrowdeckError as error:
            kept.reply = error
            span.end(error.code)
            if error.verdict is verdicts.Verdict.NOT_RUN:
                # The upstream was never reached: let another try, but
                # keep this attempt from ever running here.
                self._gate.withdraw(call.request, call.epoch)
                del self._kept[call.request]
        finally:
            self._running -= 1
            kept.done.set()

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
                timeout=call.seconds_left,
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
        paths = _companion_paths(response.headers)
        if len(paths) > COMPANION_LIMIT:
            raise _missing(f"more than {COMPANION_LIMIT} companions")
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
            timeout=call.seconds_left,
        )
        try:
            response = await service.call(request)
        except errors.CrowdeckError as error:
            raise _missing(f"{path}: {error.code}") from error
        if response.status != 200:
            raise _missing(f"{path}: status {response.status}")
        return questions.Companion(
            path=path,
            content_type=_header(response.headers, "content-type"),
            body=response.body,
        )


def _companion_paths(headers: tuple[http_header.Header, ...]) -> list[str]:
    paths: list[str] = []
    for header in headers:
        if header.name == "link":
            paths.extend(_COMPANION.findall(header.value))
    return paths


def _header(headers: tuple[http_header.Header, ...], name: str) -> str:
    for header in headers:
        if header.name == name:
            return header.value
    return "application/octet-stream"


def _gone() -> errors.CrowdeckError:
    return errors.CrowdeckError(
        errors.Code.ANSWER_GONE,
        "no such answer is kept here",
        verdict=verdicts.Verdict.MAY_HAVE_RUN,
    )


def _missing(what: str) -> errors.CrowdeckError:
    # The call itself did run; only its companions are wanting.
    return errors.CrowdeckError(
        errors.Code.COMPANION_MISSING, what, verdict=verdicts.Verdict.RAN
    )
