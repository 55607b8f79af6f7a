# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""The callers' side: HTTP in, answers and errors out."""

import contextlib
import typing
import uuid

import anyio
import anyio.abc
import attrs
import orjson
from starlette import applications
from starlette import requests
from starlette import responses
from starlette import routing
from starlette import types

from crowdeck import contract as contracts
from crowdeck import digest
from crowdeck.entry import admission as admissions
from crowdeck.entry import drive as drives
from crowdeck.entry import keys
from crowdeck.entry import openai
from crowdeck.entry import service_calls
from crowdeck.entry import turns
from crowdeck import errors
from crowdeck.observe import counters
from crowdeck.observe import traces
from crowdeck.settings import holder as settings_holder
from crowdeck.settings import tree as trees
from crowdeck import team as teams
from crowdeck import verdict as verdicts
from crowdeck.wire import messages

HEADER_LIMIT = 100
METHODS = ["GET", "POST", "PUT", "PATCH", "DELETE", "HEAD"]
# Headers that are between the caller and us: never sent to a service.
OWN_HEADERS = frozenset(
    {
        "authorization",
        "idempotency-key",
        "x-session-id",
        "x-session-sequence",
        "x-deadline-seconds",
        "traceparent",
        "tracestate",
    }
)
MULTIPART = "multipart/mixed"


@attrs.frozen
class Limits:
    """Bounds on what one caller may send."""

    body_bytes: int = 1_048_576


@attrs.frozen
class _Context:
    """What every request has: who asks, where, and until when."""

    caller: teams.Caller
    tree: trees.Tree
    sequence: int
    seconds_left: float
    key: str
    span: traces.OpenSpan


class CallerApp:
    """The ASGI application of one entry."""

    def __init__(
        self,
        settings: settings_holder.SettingsHolder,
        drive_parts: drives.DriveParts,
        calls: service_calls.ServiceCalls,
        answer_keys: keys.AnswerKeys,
        session_turns: turns.SessionTurns,
        admission: admissions.Admission,
        tracer: traces.Tracer,
        limits: Limits,
    ) -> None:
        self._settings = settings
        self._drive_parts = drive_parts
        self._calls = calls
        self._keys = answer_keys
        self._turns = session_turns
        self._admission = admission
        self._tracer = tracer
        self._limits = limits

    def build(self) -> applications.Starlette:
        """Return the ASGI application."""
        post = ["POST"]
        return applications.Starlette(
            routes=[
                routing.Route(
                    "/v1/chat/completions", self._chat, methods=post
                ),
                routing.Route("/v1/completions", self._complete, methods=post),
                routing.Route("/v1/models", self._models),
                routing.Route("/healthz", self._health),
                routing.Route("/readyz", self._ready),
                routing.Route(
                    "/services/{service}/{path:path}",
                    self._service,
                    methods=METHODS,
                ),
            ],
            exception_handlers={errors.CrowdeckError: _refuse},
        )

    async def _health(self, request: requests.Request) -> responses.Response:
        is_ready = self._settings.has_tree and not self._admission.is_leaving
        return responses.PlainTextResponse(
            "ready" if is_ready else "not ready", 200 if is_ready else 503
        )

    async def _ready(self, request: requests.Request) -> responses.Response:
        usable = len(self._drive_parts.fleet.usable)
        is_ready = self._settings.has_tree and usable > 0
        body = {
            "usable": usable,
            "generation": self._settings.generation,
            "counters": counters.COUNTERS.as_dict(),
        }
        return responses.Response(
            orjson.dumps(body),
            200 if is_ready else 503,
            media_type="application/json",
        )

    async def _models(self, request: requests.Request) -> responses.Response:
        context = self._context(request, "models")
        context.span.end()
        place = context.caller.place()
        names = [
            name
            for name in self._drive_parts.planner.models
            if context.tree.allows_model(place, name)
        ]
        listed = [
            {"id": name, "object": "model", "created": 0, "owned_by": "-"}
            for name in names
        ]
        return _json({"object": "list", "data": listed})

    async def _chat(self, request: requests.Request) -> responses.Response:
        return await self._model(request, is_chat=True)

    async def _complete(self, request: requests.Request) -> responses.Response:
        return await self._model(request, is_chat=False)

    # Model requests.

    async def _model(
        self, request: requests.Request, is_chat: bool
    ) -> responses.Response:
        context = self._context(request, "entry")
        with _ends_on_error(context.span):
            body = openai.parse_body(await self._read_body(request), is_chat)
            event = request.headers.get("last-event-id", "")
            resume = openai.EventId.parse(event) if event else None
            wanted = self._model_request(context, body, resume)
            answer = ModelAnswer(
                self._drive_parts,
                self._keys,
                self._turns,
                self._admission,
                context,
                body,
                wanted,
                resume,
            )
            if body.is_stream:
                return answer
            return await answer.collect(request)

    def _model_request(
        self,
        context: _Context,
        body: openai.CompletionBody,
        resume: openai.EventId | None,
    ) -> drives.ModelRequest:
        place = context.caller.place(body.model)
        tree = context.tree
        if not tree.allows_model(place, body.model):
            raise errors.CrowdeckError(
                errors.Code.FORBIDDEN,
                f"your team may not use model {body.model}",
            )
        limit = tree.integer(place, "max_tokens")
        if resume is not None:
            name = resume.request
        else:
            name = uuid.uuid4().hex
        return drives.ModelRequest(
            request=name,
            team=context.caller.team,
            session=context.caller.session,
            model=body.model,
            adapter="",
            prompt=body.prompt,
            max_tokens=min(body.max_tokens or limit, limit),
            seconds_left=context.seconds_left,
            priority=tree.integer(place, "priority"),
            window=tree.integer(place, "window"),
        )

    # Plain services.

    async def _service(self, request: requests.Request) -> responses.Response:
        context = self._context(request, "entry")
        with _ends_on_error(context.span):
            order = await self._order(request, context)
            place = context.caller.place(order.service)
            limit = context.tree.integer(place, "concurrency")
            session = ""
            if order.contract.is_ordered and context.caller.session:
                session = _session_name(context)
            with self._admission.enter(context.caller.team, limit):
                called = await self._call_in_turn(order, session, context)
        context.span.end("answered")
        return _service_response(called)

    async def _call_in_turn(
        self,
        order: service_calls.ServiceOrder,
        session: str,
        context: _Context,
    ) -> messages.Called:
        async with self._turns.hold(
            session, order.request, context.sequence, order.deadline
        ):
            return await self._calls.call(order)

    async def _order(
        self, request: requests.Request, context: _Context
    ) -> service_calls.ServiceOrder:
        service = request.path_params["service"]
        contract = self._contract(context, service)
        path = "/" + request.path_params["path"]
        if request.url.query:
            path += "?" + request.url.query
        headers = tuple(
            messages.Header(name, value)
            for name, value in request.headers.items()
            if name not in OWN_HEADERS
        )
        now = self._drive_parts.clock.now()
        return service_calls.ServiceOrder(
            request=uuid.uuid4().hex,
            team=context.caller.team,
            service=service,
            contract=contract,
            method=request.method,
            path=path,
            headers=headers,
            body=await self._read_body(request),
            key=context.key,
            deadline=now + context.seconds_left,
            traceparent=context.span.traceparent,
        )

    def _contract(self, context: _Context, service: str) -> contracts.Contract:
        place = context.caller.place(service)
        allowed = context.tree.names(place, "services")
        contract = context.tree.services.get(service)
        # Whether a service exists is not for other teams to learn.
        if contract is None or not allowed & {service, "*"}:
            raise errors.CrowdeckError(
                errors.Code.NOT_FOUND, f"no service {service} for your team"
            )
        return contract

    # What all requests share.

    def _context(self, request: requests.Request, name: str) -> _Context:
        if len(request.headers) > HEADER_LIMIT:
            raise errors.CrowdeckError(
                errors.Code.TOO_LARGE, f"more than {HEADER_LIMIT} headers"
            )
        tree = self._settings.tree
        session = request.headers.get("x-session-id", "")
        caller = teams.authenticate(
            tree, request.headers.get("authorization", ""), session
        )
        place = caller.place()
        longest = tree.number(place, "deadline_seconds")
        wanted = _number(request, "x-deadline-seconds", longest)
        span = self._tracer.begin(
            name,
            request.headers.get("traceparent", ""),
            {"team": caller.team},
        )
        counters.COUNTERS.add("entry.requests")
        return _Context(
            caller=caller,
            tree=tree,
            sequence=int(_number(request, "x-session-sequence", -1)),
            seconds_left=min(max(wanted, 0.0), longest),
            key=request.headers.get("idempotency-key", ""),
            span=span,
        )

    async def _read_body(self, request: requests.Request) -> bytes:
        limit = self._limits.body_bytes
        chunks = []
        size = 0
        async for chunk in request.stream():
            size += len(chunk)
            if size > limit:
                raise errors.CrowdeckError(
                    errors.Code.TOO_LARGE, f"the body is over {limit} bytes"
                )
            chunks.append(chunk)
        return b"".join(chunks)


class ModelAnswer(responses.Response):
    """One model request's answer, streamed or collected."""

    def __init__(
        self,
        parts: drives.DriveParts,
        answer_keys: keys.AnswerKeys,
        session_turns: turns.SessionTurns,
        admission: admissions.Admission,
        context: _Context,
        body: openai.CompletionBody,
        wanted: drives.ModelRequest,
        resume: openai.EventId | None,
    ) -> None:
        self._parts = parts
        self._keys = answer_keys
        self._turns = session_turns
        self._admission = admission
        self._context = context
        self._body = body
        self._wanted = wanted
        self._resume = resume

    async def collect(self, request: requests.Request) -> responses.Response:
        """Return the whole answer as one JSON object."""
        texts: list[str] = []
        sink = _Collector(texts)
        finish = await self._run(sink)
        self._context.span.end("answered")
        whole = openai.whole_answer(
            self._wanted.request,
            self._body,
            "".join(texts),
            len(texts),
            finish,
        )
        return _json(whole)

    async def __call__(
        self, scope: types.Scope, receive: types.Receive, send: types.Send
    ) -> None:
        """Stream the answer as server-sent events."""
        writer = openai.EventWriter(
            self._wanted.request, self._body.model, self._body.is_chat
        )
        sink = _Streamer(send, writer, self._wanted.request)
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
            self._context.span.note("error", str(error.code))
            if sink.has_begun:
                await sink.fail(errors.ErrorReport.of(error))
            else:
                await error_response(error)(scope, receive, send)

    async def _run(self, sink: "_Collector | _Streamer") -> str:
        place = self._context.caller.place(self._body.model)
        tree = self._context.tree
        team = self._context.caller.team
        limit = tree.integer(place, "concurrency")
        weight = tree.number(place, "weight")
        with self._admission.enter(team, limit, weight):
            gap = tree.number(place, "token_gap_seconds")
            factor = self._admission.share_factor(team)
            self._wanted = attrs.evolve(self._wanted, gap_limit=gap * factor)
            if self._resume is not None:
                # The turn is the first connection's; it is still held.
                return await self._drive(sink).run(self._resume.as_resume())
            return await self._run_in_turn(sink)

    async def _run_in_turn(self, sink: "_Collector | _Streamer") -> str:
        session = ""
        if self._context.caller.session:
            session = _session_name(self._context)
        deadline = self._parts.clock.now() + self._context.seconds_left
        async with self._turns.hold(
            session, self._wanted.request, self._context.sequence, deadline
        ):
            if not self._context.key:
                return await self._drive(sink).run()
            return await self._run_keyed(sink)

    async def _run_keyed(self, sink: "_Collector | _Streamer") -> str:
        """Give the key's first answer again, or begin it."""
        key = self._context.key
        claimed = await self._keys.claim(self._wanted, key)
        while claimed.resume is not None:
            first = attrs.evolve(self._wanted, request=claimed.request)
            drive = drives.Drive(self._parts, first, sink, self._context.span)
            try:
                return await drive.run(claimed.resume)
            except errors.CrowdeckError as error:
                if error.code != errors.Code.ANSWER_GONE or drive.pieces:
                    raise
            # Nobody keeps it any more. A model's answer may be computed
            # again, so the key starts anew rather than being lost.
            claimed = await self._keys.claim(self._wanted, key, claimed.nonce)
        return await self._drive(sink).run(path=claimed.path)

    def _drive(self, sink: "_Collector | _Streamer") -> drives.Drive:
        return drives.Drive(
            self._parts, self._wanted, sink, self._context.span
        )


class _Collector:
    """Keeps an answer's texts."""

    def __init__(self, texts: list[str]) -> None:
        self._texts = texts

    async def put(self, position: int, piece: messages.Piece) -> None:
        self._texts.append(piece.text)

    def locate(self, epoch: int, head: str, tail: str) -> None:
        """Who keeps the answer does not matter to this caller."""


class _Streamer:
    """Writes an answer's events as its caller takes them."""

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

    def locate(self, epoch: int, head: str, tail: str) -> None:
        """Name the answer's keepers in the events from now on."""
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


@contextlib.contextmanager
def _ends_on_error(span: traces.OpenSpan) -> typing.Iterator[None]:
    try:
        yield
    except errors.CrowdeckError as error:
        counters.COUNTERS.add(f"entry.failed.{error.code.lower()}")
        span.end(str(error.code))
        raise


def _session_name(context: _Context) -> str:
    return f"{context.caller.team}/{context.caller.session}"


def _number(request: requests.Request, header: str, default: float) -> float:
    text = request.headers.get(header)
    if text is None:
        return default
    try:
        return float(text)
    except ValueError:
        raise errors.CrowdeckError(
            errors.Code.BAD_REQUEST, f"'{header}' has to be a number"
        ) from None


def _service_response(called: messages.Called) -> responses.Response:
    if called.companions:
        return _multipart(called)
    response = responses.Response(called.body, called.status)
    for header in called.headers:
        if header.name != "content-length":
            response.headers.append(header.name, header.value)
    return response


def _multipart(called: messages.Called) -> responses.Response:
    """Put an answer and its companions into one body, whole or not."""
    body_digest = digest.digest_answer(
        "companions", [(len(one.body), one.path) for one in called.companions]
    )
    boundary = f"crowdeck-{uuid.uuid4().hex}-{body_digest:x}"
    main_type = next(
        (one.value for one in called.headers if one.name == "content-type"),
        "application/octet-stream",
    )
    parts = [_part(boundary, main_type, "", called.body)]
    parts += [
        _part(boundary, one.content_type, one.path, one.body)
        for one in called.companions
    ]
    parts.append(f"--{boundary}--\r\n".encode())
    return responses.Response(
        b"".join(parts),
        called.status,
        media_type=f'{MULTIPART}; boundary="{boundary}"',
    )


def _part(boundary: str, content_type: str, path: str, body: bytes) -> bytes:
    lines = [f"--{boundary}", f"Content-Type: {content_type}"]
    if path:
        lines.append(f"Content-Location: {path}")
    head = "\r\n".join((*lines, "", ""))
    return head.encode() + body + b"\r\n"


def _json(body: typing.Any) -> responses.Response:
    return responses.Response(
        orjson.dumps(body), media_type="application/json"
    )


def error_response(error: errors.CrowdeckError) -> responses.Response:
    """Return the HTTP answer that reports an error."""
    report = errors.ErrorReport.of(error)
    response = responses.Response(
        orjson.dumps({"error": openai.error_body(report)}),
        error.http_status,
        media_type="application/json",
    )
    if error.retry_after is not None:
        response.headers["retry-after"] = f"{error.retry_after:.0f}"
    response.headers["x-crowdeck-verdict"] = str(error.verdict)
    is_safe = error.verdict is verdicts.Verdict.NOT_RUN
    response.headers["x-should-retry"] = "true" if is_safe else "false"
    return response


async def _refuse(
    request: requests.Request, error: Exception
) -> responses.Response:
    assert isinstance(error, errors.CrowdeckError)
    return error_response(error)
