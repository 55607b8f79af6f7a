# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Streams of model engines, carried on when an engine fails."""

import typing

import anyio

from crowdeck import chain
from crowdeck import errors
from crowdeck import http
from crowdeck.membership import upstreams as books
from crowdeck.observe import counters
from crowdeck.observe import logs
from crowdeck.placement import plan
from crowdeck.relay import context as contexts
from crowdeck.relay import events
from crowdeck.relay import live
from crowdeck.relay import reach
from crowdeck.relay import request as requests
from crowdeck import route as routes
from crowdeck.routing import hops
from crowdeck.routing import routes as tables
from crowdeck import verdict as verdicts

CONNECT_SECONDS = 0.25
# Attempts that an engine refused without running them: each shows some
# engine that holds other layers or is full, so a few are worth making.
REFUSED_TRIES = 4
# Without a path a new request waits this share of its objective. Refusals
# within a quarter of it cost the caller little: it may come back in time.
NEW_WAIT_SHARE = 0.2
# A stream that has begun waits longer: its caller gives up only after a
# silence of two seconds or more.
BEGUN_WAIT_SECONDS = 1.6
WAIT_STEP = 0.03
RETRY_AFTER = 0.3
ANSWER_MARGIN = 0.05
LEAST_SECONDS = 0.1
# An engine that does not hold its part of a path, or is another one.
STALE_STATUS = 421
BODY_LIMIT = http.RESPONSE_LIMIT

_MAY_HAVE_RUN = verdicts.Verdict.MAY_HAVE_RUN


class Watch(typing.Protocol):
    """Looks after streams in progress."""

    def add(self, stream: live.LiveStream) -> None:
        """Look after a stream from now on."""
        ...

    def drop(self, stream: live.LiveStream) -> None:
        """Look after it no longer."""
        ...

    def verify(self, upstream: chain.Upstream) -> None:
        """Ask an engine whether it lives; if not, act on it."""
        ...

    def suspect(self, upstream: chain.Upstream) -> None:
        """Look at once into all streams that pass an engine."""
        ...


class StreamRelay:
    """Passes streams on, over paths of engines that it chooses."""

    def __init__(self, context: contexts.RelayContext, watch: Watch) -> None:
        self._context = context
        self._watch = watch

    async def serve(
        self,
        request: requests.CallerRequest,
        admitted: tables.Admitted,
        service: routes.Service,
        sink: requests.Sink,
    ) -> None:
        """Answer one request for a stream.

        :raises CrowdeckError: with the verdict, when it cannot be ended.
        """
        assert service.profile is not None
        self._context.budget(service.name).earn()
        size = request.size or requests.PromptSize(0, 0)
        stream = live.LiveStream(
            request=request,
            service=service,
            profile=service.profile,
            gap=admitted.route.gap or admitted.route.objective,
            objective=admitted.route.objective,
            tokens=size.expected(service.profile.usual_answer),
            usage=self._context.usage,
            last_event=request.last_event,
        )
        self._watch.add(stream)
        try:
            await self._drive(stream, admitted, sink).run()
        finally:
            stream.end()
            self._watch.drop(stream)

    def _drive(
        self,
        stream: live.LiveStream,
        admitted: tables.Admitted,
        sink: requests.Sink,
    ) -> "_Drive":
        return _Drive(self._context, self._watch, stream, admitted, sink)


class _Drive:
    """Drives one stream to its end, attempt by attempt."""

    def __init__(
        self,
        context: contexts.RelayContext,
        watch: Watch,
        stream: live.LiveStream,
        admitted: tables.Admitted,
        sink: requests.Sink,
    ) -> None:
        self._context = context
        self._watch = watch
        self._stream = stream
        self._admitted = admitted
        self._route = admitted.route
        self._request = stream.request
        self._sink = sink
        patience = self._request.patience or self._route.timeout
        limit = min(patience, self._route.timeout)
        self._deadline = self._request.arrived + limit - ANSWER_MARGIN
        self._ran_on: set[str] = set()
        self._refusals = 0
        self._excluded: set[str] = set()

    async def run(self) -> None:
        while True:
            path = await self._await_path()
            error = await self._attempt(path)
            if error is None:
                return
            self._note(path, error)
            if not self._may_go_on(path, error):
                raise self._failure(error)

    async def _await_path(self) -> chain.ChainPath:
        """Return a path, waiting a little where there is none yet."""
        waits_until = self._wait_limit()
        while True:
            path = self._plan()
            if path is not None:
                return path
            now = anyio.current_time()
            if now >= min(waits_until, self._deadline - LEAST_SECONDS):
                self._note_no_path()
                raise self._failure(
                    errors.CrowdeckError(
                        errors.Code.NO_PATH,
                        "no path through the model has room",
                    )
                )
            await anyio.sleep(WAIT_STEP)

    def _note_no_path(self) -> None:
        book = self._context.book
        service = self._stream.service.name
        usable = book.usable(service)
        count = self._stream.profile.layer_count
        held = plan.coverage(usable, count)
        missing = [layer for layer, copies in enumerate(held) if not copies]
        logs.decision(
            "no_path",
            self._request.id,
            listed=len(book.listed(service)),
            usable=len(usable),
            missing_layers=len(missing),
            first_missing=missing[0] if missing else None,
            tokens=int(self._stream.tokens),
            waited=round(anyio.current_time() - self._request.arrived, 3),
        )

    def _wait_limit(self) -> float:
        if self._sink.has_started:
            return anyio.current_time() + BEGUN_WAIT_SECONDS
        return self._request.arrived + NEW_WAIT_SHARE * self._route.objective

    def _plan(self) -> chain.ChainPath | None:
        book = self._context.book
        service = self._stream.service.name
        wanted = hops.Wanted(
            self._stream.profile, self._stream.tokens, self._context.zone
        )
        usable = [
            one
            for one in book.usable(service)
            if one.name not in self._excluded
        ]
        path = self._context.planner.plan(usable, wanted)
        if path is None or path.crossings:
            last = [
                one
                for one in book.last_resort(service)
                if one.name not in self._excluded
            ]
            if last:
                path = self._context.planner.plan(usable + last, wanted)
        if path is None and self._excluded:
            # What refused a moment ago may serve by now.
            self._excluded.clear()
        return path

    async def _attempt(
        self, path: chain.ChainPath
    ) -> errors.CrowdeckError | None:
        """Try one path; returns why the stream is not ended, if so."""
        logs.decision(
            "path_chosen",
            self._request.id,
            path=str(path),
            after=self._stream.last_event,
            tokens=int(self._stream.tokens),
            refusals=self._refusals,
            config=self._admitted.config_version,
        )
        try:
            with anyio.CancelScope() as scope:
                self._stream.begin(path, scope)
                self._stream.may_resume = (
                    self._route.is_resumable
                    and self._runs_left(path.head.name) > 0
                )
                await self._exchange(path)
                return None
        except errors.CrowdeckError as error:
            return error
        finally:
            self._stream.end()
        return errors.CrowdeckError(
            errors.Code.STALLED,
            self._stream.abandoned or "abandoned",
            verdict=_MAY_HAVE_RUN,
            culprit=path.head.name,
        )

    async def _exchange(self, path: chain.ChainPath) -> None:
        left = self._deadline - anyio.current_time()
        dispatch = reach.Dispatch(
            self._admitted.team,
            self._admitted.priority,
            left,
            path,
            self._stream.last_event,
        )
        with anyio.move_on_after(left):
            async with self._context.client.open(
                path.head,
                self._request,
                dispatch,
                http.Timeouts(CONNECT_SECONDS, left),
            ) as answer:
                await self._pass_on(path, answer)
                return
        raise errors.CrowdeckError(
            errors.Code.DEADLINE,
            "the request's time is over",
            verdict=_MAY_HAVE_RUN,
            culprit=path.head.name,
        )

    async def _pass_on(
        self, path: chain.ChainPath, answer: reach.Answer
    ) -> None:
        if answer.load is not None:
            self._context.usage.note_load(path.head, answer.load.running)
        if answer.has_not_run:
            raise self._refusal(path, answer)
        if not answer.belongs_to(self._request):
            raise _wrong(path, "it bears another request's id")
        if answer.status >= 300:
            await self._pass_failure(path, answer)
            return
        if not answer.is_signed:
            raise _wrong(path, "it bears no signature")
        self._ran_on.add(path.head.name)
        splitter = events.EventSplitter(answer.event_id)
        async for chunk in answer.chunks():
            for event in splitter.feed(chunk):
                await self._pass_event(path, answer, event)
        if not splitter.is_between:
            raise _wrong(path, "it ends in the middle of an event")
        if not self._sink.has_started:
            raise _wrong(path, "it holds no event")
        self._context.book.trust(path.head.name)
        await self._sink.finish()
        self._note_end(path)

    async def _pass_event(
        self,
        path: chain.ChainPath,
        answer: reach.Answer,
        event: events.Event,
    ) -> None:
        stream = self._stream
        stream.moved()
        if event.id is not None:
            if event.id <= stream.last_event:
                return
            if stream.last_event >= 0 and event.id != stream.last_event + 1:
                raise _wrong(
                    path, f"event {event.id} follows {stream.last_event}"
                )
        if not self._sink.has_started:
            await self._sink.start(answer.status, answer.caller_headers)
        await self._sink.write(event.content)
        stream.has_events = True
        if event.id is not None:
            stream.last_event = event.id

    def _note_end(self, path: chain.ChainPath) -> None:
        stream = self._stream
        now = anyio.current_time()
        arrived = self._request.arrived
        first = (stream.first_event_at or now) - arrived
        counters.COUNTERS.time("relay.first_event", first)
        counters.COUNTERS.time("relay.longest_pause", stream.longest_pause)
        logs.decision(
            "stream_ended",
            self._request.id,
            head=path.head.name,
            first_event=round(first, 4),
            longest_pause=round(stream.longest_pause, 4),
            last_event=stream.last_event,
            seconds=round(now - arrived, 3),
            attempts=len(self._ran_on),
        )

    def _refusal(
        self, path: chain.ChainPath, answer: reach.Answer
    ) -> errors.CrowdeckError:
        culprit = self._context.book.at(answer.culprit) or path.head
        self._excluded.add(culprit.name)
        if culprit.name != path.head.name:
            self._watch.suspect(culprit)
        is_stale = answer.status == STALE_STATUS
        self._context.book.pause(
            culprit.name,
            books.STALE_SECONDS if is_stale else books.FULL_SECONDS,
            f"refused with {answer.status}",
        )
        return errors.CrowdeckError(
            errors.Code.OVERLOADED,
            f"{culprit.address} refused with {answer.status}",
            culprit=culprit.name,
        )

    async def _pass_failure(
        self, path: chain.ChainPath, answer: reach.Answer
    ) -> None:
        body = await answer.read(BODY_LIMIT)
        if self._sink.has_started or answer.status in requests.PROMISES:
            raise _wrong(path, f"status {answer.status}")
        if self._route.is_resumable and answer.status >= 500:
            raise _wrong(path, f"status {answer.status}")
        await self._sink.reply(answer.status, answer.caller_headers, body)

    def _note(
        self, path: chain.ChainPath, error: errors.CrowdeckError
    ) -> None:
        if error.code is errors.Code.UPSTREAM_LOST:
            # One connection that broke is no proof that the engine did.
            self._watch.verify(path.head)
        if error.verdict is _MAY_HAVE_RUN:
            self._ran_on.add(path.head.name)
            self._excluded.add(path.head.name)
        logs.decision(
            "attempt_failed",
            self._request.id,
            head=path.head.name,
            culprit=error.culprit,
            reason=error.message,
            verdict=str(error.verdict),
            after=self._stream.last_event,
        )

    def _may_go_on(
        self, path: chain.ChainPath, error: errors.CrowdeckError
    ) -> bool:
        """Whether another attempt is made."""
        if self._deadline - anyio.current_time() < LEAST_SECONDS:
            return False
        if error.code is errors.Code.DEADLINE:
            return False
        if error.verdict is _MAY_HAVE_RUN:
            if not self._may_resume():
                return False
        elif error.code is errors.Code.UPSTREAM_LOST:
            self._excluded.add(path.head.name)
            if not self._ran_on:
                # No connection was had: nothing arrived anywhere, so
                # nothing is repeated and no budget is spent.
                return True
        else:
            self._refusals += 1
            if self._refusals > REFUSED_TRIES:
                return False
        counters.COUNTERS.add("relay.stream.repeated")
        return self._context.budget(self._stream.service.name).spend()

    def _may_resume(self) -> bool:
        if not self._route.is_resumable:
            return False
        if self._stream.has_events and self._stream.last_event < 0:
            # Its events bear no ids: none can be asked for again.
            return False
        return self._runs_left() > 0

    def _runs_left(self, running_on: str = "") -> int:
        """Return at how many more engines the request may run.

        Engines that failed do not count: they were not left by choice.
        One that merely leaves, is full or passes a path that broke does.
        """
        names = self._ran_on | {running_on} if running_on else self._ran_on
        book = self._context.book
        sound = sum(1 for name in names if not book.has_failed(name))
        return self._route.max_attempts - sound

    def _failure(self, error: errors.CrowdeckError) -> errors.CrowdeckError:
        verdict = _MAY_HAVE_RUN if self._ran_on else error.verdict
        return errors.CrowdeckError(
            error.code,
            error.message,
            verdict=verdict,
            retry_after=error.retry_after or RETRY_AFTER,
            culprit=error.culprit,
        )


def _wrong(path: chain.ChainPath, why: str) -> errors.CrowdeckError:
    return errors.CrowdeckError(
        errors.Code.WRONG_ANSWER,
        f"a stream of {path.head.name} cannot be passed on: {why}",
        verdict=_MAY_HAVE_RUN,
        culprit=path.head.name,
    )
