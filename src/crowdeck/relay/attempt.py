# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""One attempt at a stream: a request on one path, and its events."""

import typing

import anyio

from crowdeck import chain
from crowdeck import errors
from crowdeck import http
from crowdeck.membership import upstreams as registries
from crowdeck.relay import context as contexts
from crowdeck.relay import events
from crowdeck.relay import interfaces
from crowdeck.relay import live
from crowdeck.relay import request as requests
from crowdeck.routing import routes as tables
from crowdeck import verdict as verdicts

# An engine that does not hold its part of a path, or is another one.
STALE_STATUS = 421
BODY_LIMIT = http.RESPONSE_LIMIT_BYTES

_MAY_HAVE_RUN = verdicts.Verdict.MAY_HAVE_RUN


class StreamMonitor(typing.Protocol):
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

    async def has_ended(self, upstream: chain.Upstream) -> bool:
        """Ask an instance whose connection broke; true if it is gone."""
        ...

    def check_now(self, upstream: chain.Upstream) -> None:
        """Look at once into all streams that pass an engine."""
        ...


class Attempt:
    """Sends a request along one path and passes on what comes.

    :param deadline: the loop's time at which the answer has to be whole.
    """

    def __init__(
        self,
        context: contexts.RelayContext,
        watch: StreamMonitor,
        stream: live.LiveStream,
        admitted: tables.Admitted,
        sink: requests.Sink,
        path: chain.ChainPath,
        deadline: float,
    ) -> None:
        self._context = context
        self._watch = watch
        self._stream = stream
        self._admitted = admitted
        self._route = admitted.route
        self._request = stream.request
        self._sink = sink
        self._path = path
        self._deadline = deadline

    async def run(self) -> None:
        """Make the attempt.

        :raises CrowdeckError: with the verdict, when the answer has not
            come to its end.
        """
        left = self._deadline - anyio.current_time()
        dispatch = interfaces.Dispatch(
            self._admitted.team,
            self._admitted.priority,
            left,
            self._path,
            self._stream.last_event,
        )
        with anyio.move_on_after(left):
            async with self._context.client.open(
                self._path.head,
                self._request,
                dispatch,
                http.Timeouts(self._context.connect_seconds, left),
            ) as answer:
                await self._pass_on(answer)
                return
        raise errors.CrowdeckError(
            errors.Code.DEADLINE,
            "the request's time is over",
            verdict=_MAY_HAVE_RUN,
            culprit=self._path.head.name,
        )

    async def _pass_on(self, answer: interfaces.Answer) -> None:
        self._stream.sends.arrive()
        if answer.load is not None:
            self._context.usage.note_load(self._path.head, answer.load.running)
        if answer.has_not_run:
            raise self._refusal(answer)
        if not answer.belongs_to(self._request):
            raise self._wrong("it bears another request's id")
        if answer.status >= 300:
            await self._pass_failure(answer)
            return
        if not answer.is_signed:
            raise self._wrong("it bears no signature")
        splitter = events.EventSplitter(answer.event_id)
        async for chunk in answer.chunks():
            for event in splitter.feed(chunk):
                await self._pass_event(answer, event)
        if not splitter.is_between:
            raise self._wrong("it ends in the middle of an event")
        if not self._sink.has_started:
            raise self._wrong("it holds no event")
        self._context.registry.note_healthy(self._path.head.name)
        await self._sink.finish()

    async def _pass_event(
        self,
        answer: interfaces.Answer,
        event: events.Event,
    ) -> None:
        stream = self._stream
        self._context.heads.first_event(self._path.head.name, stream)
        stream.moved()
        if event.id is not None:
            if event.id <= stream.last_event:
                return
            if stream.last_event >= 0 and event.id != stream.last_event + 1:
                raise self._wrong(
                    f"event {event.id} follows {stream.last_event}"
                )
        if not self._sink.has_started:
            await self._sink.start(answer.status, answer.caller_headers)
        await self._sink.write(event.content)
        stream.has_events = True
        if event.id is not None:
            stream.last_event = event.id

    def _refusal(self, answer: interfaces.Answer) -> errors.CrowdeckError:
        culprit = self._culprit(answer)
        if culprit.name != self._path.head.name:
            self._watch.check_now(culprit)
            # Full, or gone: one that answers is merely full.
            self._watch.verify(culprit)
        is_stale = answer.status == STALE_STATUS
        self._context.registry.pause(
            culprit.name,
            registries.STALE_SECONDS if is_stale else registries.FULL_SECONDS,
            f"refused with {answer.status}",
        )
        return errors.CrowdeckError(
            errors.Code.OVERLOADED,
            f"{culprit.address} refused with {answer.status}",
            culprit=culprit.name,
        )

    def _culprit(self, answer: interfaces.Answer) -> chain.Upstream:
        """Return the engine that a refusal is due to.

        It names an address; who was meant is whom the path has there.
        """
        for hop in self._path.hops:
            if str(hop.upstream.address) == answer.culprit:
                return hop.upstream
        return (
            self._context.registry.find_by_address(answer.culprit)
            or self._path.head
        )

    async def _pass_failure(self, answer: interfaces.Answer) -> None:
        body = await answer.read(BODY_LIMIT)
        if (
            self._sink.has_started
            or answer.status in requests.NOT_RUN_STATUSES
        ):
            raise self._wrong(f"status {answer.status}")
        if self._route.is_resumable and answer.status >= 500:
            raise self._wrong(f"status {answer.status}")
        await self._sink.reply(answer.status, answer.caller_headers, body)

    def _wrong(self, why: str) -> errors.CrowdeckError:
        head = self._path.head.name
        return errors.CrowdeckError(
            errors.Code.WRONG_ANSWER,
            f"a stream of {head} cannot be passed on: {why}",
            verdict=_MAY_HAVE_RUN,
            culprit=head,
        )
