# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""ASGI application for callers' HTTP connections."""

import typing

import anyio
import attrs
import orjson

from crowdeck import errors
from crowdeck import http
from crowdeck.observe import counters
from crowdeck.observe import logs
from crowdeck.relay import interfaces
from crowdeck.relay import request as requests
from crowdeck import verdict as verdicts

Message = dict[str, typing.Any]
Receive = typing.Callable[[], typing.Awaitable[Message]]
Send = typing.Callable[[Message], typing.Awaitable[None]]
Scope = dict[str, typing.Any]

# Extension of a request's scope: a function that returns whether later
# requests on its connection were read and wait for this one's answer.
HAS_WAITING_REQUESTS = "crowdeck.has_waiting_requests"
_JSON_TYPE = (b"content-type", b"application/json")
_CLOSE = (b"connection", b"close")


class Server(typing.Protocol):
    """Answers callers' requests."""

    @property
    def body_limit(self) -> int:
        """Maximum size of a request body in bytes."""
        ...

    @property
    def closes_connections(self) -> bool:
        """Whether connections are closed after their next answer."""
        ...

    async def serve(
        self, request: requests.CallerRequest, sink: requests.Sink
    ) -> None:
        """Answer one request.

        :raises CrowdeckError: when there is no answer to forward.
        """
        ...


class CallerSink:
    """Writes an answer to a caller's connection.

    :param has_waiting_requests: returns whether later requests on the
        connection wait for this answer.
    """

    def __init__(
        self,
        send: Send,
        server: Server,
        has_waiting_requests: typing.Callable[[], bool],
    ) -> None:
        self._send = send
        self._server = server
        self._has_waiting_requests = has_waiting_requests
        self._has_started = False
        self._has_ended = False

    @property
    def has_started(self) -> bool:
        """Whether the status and headers were sent."""
        return self._has_started

    @property
    def has_ended(self) -> bool:
        """Whether the complete answer was sent."""
        return self._has_ended

    @property
    def _closes_connection(self) -> bool:
        # The last of the waiting requests closes the connection: the others
        # have been read, and would get no answer.
        return (
            self._server.closes_connections
            and not self._has_waiting_requests()
        )

    async def start(self, status: int, headers: http.RawHeaders) -> None:
        """Send the status and headers; the body follows in pieces."""
        self._has_started = True
        headers = [pair for pair in headers if pair[0] != b"content-length"]
        if self._closes_connection:
            headers.append(_CLOSE)
        await self._send(
            {
                "type": "http.response.start",
                "status": status,
                "headers": headers,
            }
        )

    async def write(self, piece: bytes) -> None:
        """Send a piece of the body."""
        await self._send(
            {"type": "http.response.body", "body": piece, "more_body": True}
        )

    async def finish(self) -> None:
        """End the answer as complete."""
        await self._send({"type": "http.response.body", "body": b""})
        self._has_ended = True

    async def reply(
        self, status: int, headers: http.RawHeaders, body: bytes
    ) -> None:
        """Send a complete answer."""
        length = (b"content-length", str(len(body)).encode())
        self._has_started = True
        headers = [*headers, length]
        if self._closes_connection:
            headers.append(_CLOSE)
        await self._send(
            {
                "type": "http.response.start",
                "status": status,
                "headers": headers,
            }
        )
        await self._send({"type": "http.response.body", "body": body})
        self._has_ended = True


@attrs.frozen
class _Body:
    content: bytes
    is_complete: bool


class Ingress:
    """Decodes requests, passes them to a server and reports errors."""

    def __init__(self, server: Server, codec: interfaces.CallerCodec) -> None:
        self._server = server
        self._codec = codec

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Serve one HTTP request, as an ASGI application."""
        assert scope["type"] == "http", "only HTTP is served"
        arrived = anyio.current_time()
        extensions = scope.get("extensions", {})
        sink = CallerSink(
            send,
            self._server,
            extensions.get(HAS_WAITING_REQUESTS, _has_none),
        )
        try:
            self._check_declared_size(scope)
            body = await self._read(receive)
            if not body.is_complete:
                return
            request = self._decode(scope, body.content, arrived)
        except errors.CrowdeckError as error:
            await self._refuse(sink, "", error)
            return
        await self._serve(request, sink, receive)

    async def _serve(
        self,
        request: requests.CallerRequest,
        sink: CallerSink,
        receive: Receive,
    ) -> None:
        counters.COUNTERS.add("relay.requests")
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(
                _cancel_on_disconnect,
                request,
                sink,
                receive,
                tasks.cancel_scope,
            )
            try:
                await self._server.serve(request, sink)
            except errors.CrowdeckError as error:
                await self._refuse(sink, request.id, error, request.arrived)
            except Exception as error:
                _log_failure(request, sink, error)
                raise
            tasks.cancel_scope.cancel()
        elapsed = anyio.current_time() - request.arrived
        counters.COUNTERS.time("relay.answered", elapsed)

    def _check_declared_size(self, scope: Scope) -> None:
        """Refuse a body that is too large by its head.

        :raises CrowdeckError: ``TOO_LARGE``.
        """
        for name, value in scope["headers"]:
            if name == b"content-length" and int(value) > self._body_limit:
                raise self._too_large_error()

    @property
    def _body_limit(self) -> int:
        return self._server.body_limit

    def _too_large_error(self) -> errors.CrowdeckError:
        return errors.CrowdeckError(
            errors.Code.TOO_LARGE,
            f"the body is larger than {self._body_limit} bytes",
        )

    async def _read(self, receive: Receive) -> _Body:
        # One buffer: pieces of few bytes would take many times their size.
        content = bytearray()
        while True:
            message = await receive()
            if message["type"] == "http.disconnect":
                return _Body(b"", is_complete=False)
            content += message.get("body", b"")
            if len(content) > self._body_limit:
                raise self._too_large_error()
            if not message.get("more_body"):
                return _Body(bytes(content), is_complete=True)

    def _decode(
        self, scope: Scope, body: bytes, arrived: float
    ) -> requests.CallerRequest:
        request = self._codec.decode(
            scope["method"],
            scope["raw_path"],
            scope["query_string"],
            list(scope["headers"]),
            body,
            arrived,
        )
        if request is None:
            raise errors.CrowdeckError(
                errors.Code.BAD_REQUEST, "the request has no id"
            )
        return request

    async def _refuse(
        self,
        sink: CallerSink,
        request_id: str,
        error: errors.CrowdeckError,
        arrived: float | None = None,
    ) -> None:
        """Answer with an error, unless an answer has started.

        An answer that has started is left incomplete: the server then
        closes the connection, so that the caller sees a truncated answer.
        """
        status = requests.status_of(error)
        now = anyio.current_time()
        elapsed = 0.0 if arrived is None else now - arrived
        counters.COUNTERS.add(f"relay.ended.{status}")
        logs.decision(
            "answer_cut" if sink.has_started else "refused",
            request_id,
            status=status,
            code=str(error.code),
            reason=error.message,
            verdict=str(error.verdict),
            held=round(elapsed, 3),
            retry_after=error.retry_after,
        )
        if sink.has_started:
            return
        headers: http.RawHeaders = [_JSON_TYPE]
        has_not_run = error.verdict is verdicts.Verdict.NOT_RUN
        if (
            has_not_run
            and error.retry_after
            and status in requests.NOT_RUN_STATUSES
        ):
            headers.append(self._codec.retry_after(error.retry_after))
        body = orjson.dumps(attrs.asdict(errors.ErrorReport.of(error)))
        await sink.reply(status, headers, body)


def _has_none() -> bool:
    return False


def _log_failure(
    request: requests.CallerRequest, sink: CallerSink, error: Exception
) -> None:
    """Log an error that has no code, which the HTTP server answers."""
    counters.COUNTERS.add("relay.failed")
    logs.decision(
        "request_failed",
        request.id,
        error=repr(error),
        has_started=sink.has_started,
        held=round(anyio.current_time() - request.arrived, 3),
    )


async def _cancel_on_disconnect(
    request: requests.CallerRequest,
    sink: CallerSink,
    receive: Receive,
    cancel_scope: anyio.CancelScope,
) -> None:
    """Cancel the work on a request when its caller disconnects."""
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            if sink.has_ended:
                return
            counters.COUNTERS.add("relay.caller_left")
            logs.decision(
                "caller_left",
                request.id,
                after=round(anyio.current_time() - request.arrived, 3),
            )
            cancel_scope.cancel()
            return
