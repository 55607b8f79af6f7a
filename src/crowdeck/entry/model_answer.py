# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""A model request's answer, streamed to its caller or collected."""

import anyio
import anyio.abc
import attrs
from starlette import requests
from starlette import responses
from starlette import types

from crowdeck.entry import admission as admissions
from crowdeck.entry import context as context_module
from crowdeck.entry import driver
from crowdeck.entry import keys
from crowdeck.entry import model_request as model_requests
from crowdeck.entry import openai
from crowdeck.entry import replies
from crowdeck.entry import turns
from crowdeck import errors
from crowdeck.observe import counters
from crowdeck.wire import messages


class ModelAnswer(responses.Response):
    """One model request's answer, streamed or collected."""

    def __init__(
        self,
        dependencies: driver.DriverDependencies,
        answer_keys: keys.AnswerKeys,
        session_turns: turns.SessionTurns,
        admission: admissions.Admission,
        context: context_module.RequestContext,
        body: openai.CompletionBody,
        model_request: model_requests.ModelRequest,
        resume: openai.EventId | None,
    ) -> None:
        # super().__init__ is not called: __call__ sends its own status and
        # headers.
        self._dependencies = dependencies
        self._keys = answer_keys
        self._turns = session_turns
        self._admission = admission
        self._context = context
        self._body = body
        self._model_request = model_request
        self._resume = resume

    async def collect(self, request: requests.Request) -> responses.Response:
        """Return the whole answer as one JSON object."""
        texts: list[str] = []
        sink = _Collector(texts)
        finish = await self._run(sink)
        self._context.span.end("answered")
        response = openai.completion_response(
            self._model_request.request,
            self._body,
            "".join(texts),
            len(texts),
            finish,
        )
        return replies.json_response(response)

    async def __call__(
        self, scope: types.Scope, receive: types.Receive, send: types.Send
    ) -> None:
        """Stream the answer as server-sent events."""
        writer = openai.EventWriter(
            self._model_request.request, self._body.model, self._body.is_chat
        )
        sink = _Streamer(send, writer, self._model_request.request)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(_cancel_on_disconnect, receive, tasks)
            try:
                await self._stream(sink, scope, receive, send)
            finally:
                self._context.span.end("ended")
            tasks.cancel_scope.cancel()

    async def _stream(
        self,
        sink: "_Streamer",
        scope: types.Scope,
        receive: types.Receive,
        send: types.Send,
    ) -> None:
        try:
            finish = await self._run(sink)
            await sink.finish(finish)
        except errors.CrowdeckError as error:
            counters.COUNTERS.add(f"entry.failed.{error.code.lower()}")
            self._context.span.set_attribute("error", str(error.code))
            if sink.has_begun:
                await sink.fail(errors.ErrorReport.of(error))
            else:
                await replies.error_response(error)(scope, receive, send)

    async def _run(self, sink: "_Collector | _Streamer") -> str:
        settings_scope = self._context.caller.settings_scope(self._body.model)
        tree = self._context.tree
        team = self._context.caller.team
        limit = tree.integer(settings_scope, "concurrency")
        weight = tree.number(settings_scope, "weight")
        with self._admission.enter(team, limit, weight):
            gap_seconds = tree.number(settings_scope, "token_gap_seconds")
            factor = self._admission.gap_limit_factor(team)
            self._model_request = attrs.evolve(
                self._model_request, gap_limit_seconds=gap_seconds * factor
            )
            if self._resume is not None:
                # The request's first connection took the session's turn.
                return await self._make_driver(sink).run(
                    self._resume.to_resume_point()
                )
            return await self._run_in_turn(sink)

    async def _run_in_turn(self, sink: "_Collector | _Streamer") -> str:
        session = self._context.session_name
        deadline = self._dependencies.clock.now() + self._context.seconds_left
        async with self._turns.hold(
            session,
            self._model_request.request,
            self._context.sequence,
            deadline,
        ):
            if not self._context.key:
                return await self._make_driver(sink).run()
            return await self._run_keyed(sink)

    async def _run_keyed(self, sink: "_Collector | _Streamer") -> str:
        """Resume the answer that the key's claim names, or begin it."""
        key = self._context.key
        claimed = await self._keys.claim(self._model_request, key)
        while claimed.resume is not None:
            claimed_request = attrs.evolve(
                self._model_request, request=claimed.request
            )
            request_driver = driver.RequestDriver(
                self._dependencies, claimed_request, sink, self._context.span
            )
            try:
                return await request_driver.run(claimed.resume)
            except errors.CrowdeckError as error:
                if (
                    error.code != errors.Code.ANSWER_GONE
                    or request_driver.pieces
                ):
                    raise
            # That answer is no longer kept. A model's answer may be computed
            # again, so the key is claimed for a new one.
            claimed = await self._keys.claim(
                self._model_request, key, claimed.nonce
            )
        return await self._make_driver(sink).run(path=claimed.path)

    def _make_driver(
        self, sink: "_Collector | _Streamer"
    ) -> driver.RequestDriver:
        return driver.RequestDriver(
            self._dependencies, self._model_request, sink, self._context.span
        )


class _Collector:
    """Collects an answer's texts."""

    def __init__(self, texts: list[str]) -> None:
        self._texts = texts

    async def put(self, position: int, piece: messages.Piece) -> None:
        self._texts.append(piece.text)

    def set_location(self, epoch: int, head: str, tail: str) -> None:
        """Do nothing: an answer that is not streamed cannot be resumed."""


class _Streamer:
    """Writes an answer as server-sent events, at its caller's pace."""

    def __init__(
        self, send: types.Send, writer: openai.EventWriter, request: str
    ) -> None:
        self._send = send
        self._writer = writer
        self._request = request
        self._head = ""
        self._tail = ""
        self._has_begun = False

    @property
    def has_begun(self) -> bool:
        """Whether the response's status has been sent."""
        return self._has_begun

    def set_location(self, epoch: int, head: str, tail: str) -> None:
        """Set the instances that the ids of the next events name."""
        self._head = head
        self._tail = tail

    async def put(self, position: int, piece: messages.Piece) -> None:
        """Write one event; waits while the caller's buffers are full."""
        event = openai.EventId(self._request, self._head, self._tail, position)
        if self._has_begun:
            await self._write(self._writer.piece(event, piece.text))
            return
        await self._begin()
        await self._write(self._writer.first(event, piece.text))

    async def finish(self, finish: str) -> None:
        """Write the closing events."""
        if not self._has_begun:
            await self._begin()
        await self._write(self._writer.last(finish), is_last=True)

    async def fail(self, report: errors.ErrorReport) -> None:
        """End the answer with an error event."""
        await self._write(self._writer.error(report), is_last=True)

    async def _begin(self) -> None:
        self._has_begun = True
        await self._send(
            {
                "type": "http.response.start",
                "status": 200,
                "headers": [
                    (b"content-type", b"text/event-stream; charset=utf-8"),
                    (b"cache-control", b"no-store"),
                ],
            }
        )

    async def _write(self, event: bytes, is_last: bool = False) -> None:
        await self._send(
            {
                "type": "http.response.body",
                "body": event,
                "more_body": not is_last,
            }
        )


async def _cancel_on_disconnect(
    receive: types.Receive, tasks: anyio.abc.TaskGroup
) -> None:
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            counters.COUNTERS.add("entry.caller_left")
            tasks.cancel_scope.cancel()
            return
