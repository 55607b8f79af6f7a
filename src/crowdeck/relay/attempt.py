# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""One attempt to serve a stream: a request sent along one path."""

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
from crowdeck.relay import open_attempts
from crowdeck.relay import request as requests
from crowdeck.routing import routes as route_tables
from crowdeck import verdict as verdicts

# Status from an engine that does not hold the requested layers, or that is not
# the engine to which the request was addressed.
MISDIRECTED_STATUS = 421
# The least urgent priority that engines know.
MAX_ENGINE_PRIORITY = 9
MAX_ANSWER_BYTES = http.RESPONSE_LIMIT_BYTES

_MAY_HAVE_RUN = verdicts.Verdict.MAY_HAVE_RUN


class StreamMonitor(typing.Protocol):
    """Monitors streams in progress for stalls."""

    def add(self, stream: live.LiveStream) -> None:
        """Start monitoring a stream."""
        ...

    def drop(self, stream: live.LiveStream) -> None:
        """Stop monitoring a stream."""
        ...

    def verify(self, upstream: chain.Upstream) -> None:
        """Probe an engine soon, and reroute its streams if it is lost."""
        ...

    async def has_ended(self, upstream: chain.Upstream) -> bool:
        """Probe an instance whose connection broke.

        If it has ended, avoid it and reroute its streams.

        :returns: whether it has ended.
        """
        ...

    def check_now(self, upstream: chain.Upstream) -> None:
        """Check all streams that pass an engine as soon as possible."""
        ...


class Attempt:
    """Sends a request along one path and forwards the events.

    :param open_attempt: this attempt among those at the same stream.
    :param deadline: loop time by which the answer must be complete.
    """

    def __init__(
        self,
        context: contexts.RelayContext,
        monitor: StreamMonitor,
        stream: live.LiveStream,
        admitted: route_tables.AdmittedRequest,
        sink: requests.Sink,
        path: chain.ChainPath,
        open_attempt: open_attempts.OpenAttempt,
        deadline: float,
    ) -> None:
        self._context = context
        self._monitor = monitor
        self._stream = stream
        self._admitted = admitted
        self._route = admitted.route
        self._request = stream.request
        self._sink = sink
        self._path = path
        self._open_attempt = open_attempt
        self._deadline = deadline
        # Events without an id, until this attempt delivers.
        self._held_events: list[bytes] = []

    @property
    def _engine_priority(self) -> int:
        """Priority by which engines let waiting requests in."""
        urgency = self._stream.urgency
        if not urgency.is_ranked:
            return self._admitted.priority
        return min(urgency.rank, MAX_ENGINE_PRIORITY)

    async def run(self) -> None:
        """Send the request and forward the answer to the sink.

        :raises CrowdeckError: when the answer is not complete; its verdict
            says whether the request may have run.
        """
        seconds_left = self._deadline - anyio.current_time()
        dispatch = interfaces.Dispatch(
            self._admitted.team,
            self._engine_priority,
            seconds_left,
            self._path,
            self._stream.last_event_id,
            may_repeat=self._route.is_resumable,
        )
        with anyio.move_on_after(seconds_left):
            async with self._context.client.open(
                self._path.head,
                self._request,
                dispatch,
                http.Timeouts(self._context.connect_seconds, seconds_left),
            ) as answer:
                await self._forward(answer)
                return
        raise errors.CrowdeckError(
            errors.Code.DEADLINE,
            "the request's deadline has passed",
            verdict=_MAY_HAVE_RUN,
            culprit=self._path.head.name,
        )

    async def _forward(self, answer: interfaces.Answer) -> None:
        if self._open_attempt.is_latest_send:
            self._stream.send_tracker.note_arrived()
        if answer.load is not None:
            self._context.usage.note_load(self._path.head, answer.load.running)
        if answer.has_not_run:
            raise self._handle_refusal(answer)
        if not answer.belongs_to(self._request):
            raise self._wrong_answer_error("it has the id of another request")
        if answer.status >= 300:
            await self._forward_error(answer)
            return
        if not answer.is_signed:
            raise self._wrong_answer_error("it has no signature")
        splitter = events.EventSplitter(answer.event_id)
        async for chunk in answer.chunks():
            for event in splitter.feed(chunk):
                await self._forward_event(answer, event)
        if not splitter.is_complete:
            raise self._wrong_answer_error("it ends in the middle of an event")
        if not self._sink.has_started:
            raise self._wrong_answer_error("it has no events")
        await self._open_attempt.claim()
        self._context.registry.note_healthy(self._path.head.name)
        with self._open_attempt.writing():
            await self._write_held()
            await self._sink.finish()

    async def _forward_event(
        self,
        answer: interfaces.Answer,
        event: events.Event,
    ) -> None:
        stream = self._stream
        if event.id is not None:
            if event.id <= stream.last_event_id:
                if self._open_attempt.is_current:
                    self._note_progress()
                return
            if (
                stream.last_event_id >= 0
                and event.id != stream.last_event_id + 1
            ):
                raise self._wrong_answer_error(
                    f"event {event.id} follows event {stream.last_event_id}"
                )
        shows_progress = self._shows_progress(event)
        if not shows_progress and self._open_attempt.is_one_of_many:
            self._hold(event)
            return
        await self._open_attempt.claim()
        if shows_progress:
            self._note_progress()
        with self._open_attempt.writing():
            if not self._sink.has_started:
                await self._sink.start(answer.status, answer.caller_headers)
            await self._write_held()
            await self._sink.write(event.content)
        stream.has_events = stream.has_events or shows_progress
        if event.id is not None:
            stream.last_event_id = event.id

    def _hold(self, event: events.Event) -> None:
        """Keep an event that does not show that this attempt goes on.

        It is written once the attempt delivers. Comments are left out.

        :raises CrowdeckError: ``WRONG_ANSWER`` if it would keep too much.
        """
        if not event.has_data:
            return
        self._held_events.append(event.content)
        if sum(map(len, self._held_events)) > events.EVENT_LIMIT_BYTES:
            raise self._wrong_answer_error(
                f"over {events.EVENT_LIMIT_BYTES} bytes without an event id"
            )

    async def _write_held(self) -> None:
        held_events, self._held_events = self._held_events, []
        for content in held_events:
            await self._sink.write(content)

    def _shows_progress(self, event: events.Event) -> bool:
        """Whether an event shows that its engine works on the stream.

        A hanging engine may send comments, or events that belong to nothing.
        """
        if event.id is not None:
            return True
        return self._stream.last_event_id < 0 and event.has_data

    def _note_progress(self) -> None:
        """Note an event of the current attempt."""
        stream, state = self._stream, self._open_attempt.state
        self._context.heads.note_first_event(self._path.head.name, state)
        stream.note_event()
        if state.becomes_established():
            self._context.quarantine.note_served(stream.record_of(state))

    def _handle_refusal(
        self, answer: interfaces.Answer
    ) -> errors.CrowdeckError:
        """Pause the engine that caused a refusal, and return the error."""
        culprit = self._culprit(answer)
        if culprit.name != self._path.head.name:
            self._monitor.check_now(culprit)
            # The probe shows whether it is full or gone.
            self._monitor.verify(culprit)
        is_misdirected = answer.status == MISDIRECTED_STATUS
        self._context.registry.pause(
            culprit.name,
            registries.STALE_RECORD_BACKOFF_SECONDS
            if is_misdirected
            else registries.REFUSAL_BACKOFF_SECONDS,
            f"a request was refused with status {answer.status}",
        )
        return errors.CrowdeckError(
            errors.Code.OVERLOADED,
            f"refused because of {culprit.address}, status {answer.status}",
            culprit=culprit.name,
        )

    def _culprit(self, answer: interfaces.Answer) -> chain.Upstream:
        """Return the engine that caused a refusal.

        The answer names an address. The path's engine at that address comes
        first, since the listing may have changed since the path was chosen.
        """
        for hop in self._path.hops:
            if str(hop.upstream.address) == answer.culprit:
                return hop.upstream
        return (
            self._context.registry.find_by_address(answer.culprit)
            or self._path.head
        )

    async def _forward_error(self, answer: interfaces.Answer) -> None:
        body = await answer.read(MAX_ANSWER_BYTES)
        if (
            self._sink.has_started
            or answer.status in requests.NOT_RUN_STATUSES
        ):
            raise self._wrong_answer_error(
                f"status {answer.status} after the answer has started or "
                "without a not-executed header"
            )
        if self._route.is_resumable and answer.status >= 500:
            raise self._wrong_answer_error(
                f"status {answer.status} on a resumable route"
            )
        await self._open_attempt.claim()
        with self._open_attempt.writing():
            await self._sink.reply(answer.status, answer.caller_headers, body)

    def _wrong_answer_error(self, reason: str) -> errors.CrowdeckError:
        head = self._path.head.name
        return errors.CrowdeckError(
            errors.Code.WRONG_ANSWER,
            f"cannot forward a stream from {head}: {reason}",
            verdict=_MAY_HAVE_RUN,
            culprit=head,
        )
