# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Callers' connections over loopback sockets: when and how they are closed."""

import contextlib
import typing

import anyio
import anyio.abc
import pytest

from crowdeck.cmd import caller_server
from crowdeck.cmd import http_server
from crowdeck.relay import request as requests

HOST = "127.0.0.1"
ANSWER_SECONDS = 0.05
REST_SECONDS = 0.2
# Long enough for every answer of these tests.
READ_SECONDS = 5.0
# Time for an answer to a request that may have been read.
SETTLE_SECONDS = 0.3
# More than the buffers of both ends of a loopback connection hold.
LARGE_BODY_BYTES = 16_000_000
PIECE_BYTES = 200_000


class AnsweringServer:
    """Answers each request with its id, after a time.

    :ivar body_limit: maximum size of a request body in bytes.
    :ivar closes_connections: whether answers close their connections.
    """

    def __init__(self) -> None:
        self.body_limit = LARGE_BODY_BYTES
        self.closes_connections = False
        self.served: list[str] = []
        self.was_served = anyio.Event()

    async def serve(
        self, request: requests.CallerRequest, sink: requests.Sink
    ) -> None:
        self.served.append(request.id)
        self.was_served.set()
        await anyio.sleep(ANSWER_SECONDS)
        await sink.reply(200, [], f"answer-{request.id}".encode())


def head(request_id: str, length: int = 0, extra: bytes = b"") -> bytes:
    """Return the head of a request with a body of a length."""
    return (
        b"POST /x HTTP/1.1\r\nHost: desk\r\nX-Request-Id: %s\r\n"
        b"Content-Length: %d\r\n%s\r\n" % (request_id.encode(), length, extra)
    )


async def read_all(
    stream: anyio.abc.SocketStream, seconds: float = READ_SECONDS
) -> bytes:
    """Return all that arrives until the connection is closed, or a time."""
    content = b""
    with contextlib.suppress(anyio.EndOfStream, anyio.BrokenResourceError):
        with anyio.move_on_after(seconds):
            while True:
                content += await stream.receive()
    return content


async def read_until(stream: anyio.abc.SocketStream, end: bytes) -> bytes:
    """Return what arrives until some bytes, without a wait without end."""
    content = b""
    with anyio.fail_after(READ_SECONDS):
        while end not in content:
            content += await stream.receive()
    return content


Scenario = typing.Callable[
    [AnsweringServer, http_server.EmbeddedServer, int],
    typing.Awaitable[None],
]


def run_scenario(
    scenario: Scenario,
    keep_alive_seconds: float = caller_server.KEEP_ALIVE_SECONDS,
) -> None:
    async def body() -> None:
        server = AnsweringServer()
        http = caller_server.build(server, HOST, 0, keep_alive_seconds)
        async with anyio.create_task_group() as tasks:
            port = await tasks.start(_run, http)
            await scenario(server, http, port)
            tasks.cancel_scope.cancel()

    async def _run(
        http: http_server.EmbeddedServer,
        *,
        task_status: anyio.abc.TaskStatus[int],
    ) -> None:
        await http_server.run(http, task_status=task_status)

    anyio.run(body)


class TestClosing:
    """A request that was read in full gets a complete answer."""

    @pytest.mark.parametrize("begins_to_close", ["before", "meanwhile"])
    def test_pipelined_request_on_a_closing_connection_is_answered(
        self, begins_to_close: str
    ) -> None:
        async def scenario(
            server: AnsweringServer,
            http: http_server.EmbeddedServer,
            port: int,
        ) -> None:
            server.closes_connections = begins_to_close == "before"
            async with await anyio.connect_tcp(HOST, port) as stream:
                await stream.send(head("r1") + head("r2") + head("r3"))
                await server.was_served.wait()
                server.closes_connections = True
                content = await read_all(stream)
            for request_id in ("r1", "r2", "r3"):
                assert f"answer-{request_id}".encode() in content

        run_scenario(scenario)

    def test_pipelined_request_beside_a_stop_is_answered(self) -> None:
        async def scenario(
            server: AnsweringServer,
            http: http_server.EmbeddedServer,
            port: int,
        ) -> None:
            async with await anyio.connect_tcp(HOST, port) as stream:
                await stream.send(head("r1") + head("r2"))
                await server.was_served.wait()
                http.should_exit = True
                content = await read_all(stream)
            assert b"answer-r1" in content
            assert b"answer-r2" in content

        run_scenario(scenario)

    def test_request_in_the_moment_of_the_close_is_not_served(self) -> None:
        """Guards against requests that run and whose answer is lost."""

        async def scenario(
            server: AnsweringServer,
            http: http_server.EmbeddedServer,
            port: int,
        ) -> None:
            for number in range(20):
                first, second = f"a{number}", f"b{number}"
                server.closes_connections = False
                async with await anyio.connect_tcp(HOST, port) as stream:
                    await stream.send(head(first))
                    await anyio.sleep(ANSWER_SECONDS + (number - 10) * 0.0005)
                    server.closes_connections = True
                    with contextlib.suppress(anyio.BrokenResourceError):
                        await stream.send(head(second))
                    content = await read_all(stream, SETTLE_SECONDS)
                assert f"answer-{first}".encode() in content
                was_served = second in server.served
                answer = f"answer-{second}".encode()
                assert was_served == (answer in content)

        run_scenario(scenario)

    def test_request_as_the_rest_ends_is_answered_or_not_served(self) -> None:
        async def scenario(
            server: AnsweringServer,
            http: http_server.EmbeddedServer,
            port: int,
        ) -> None:
            for number in range(20):
                first, second = f"a{number}", f"b{number}"
                async with await anyio.connect_tcp(HOST, port) as stream:
                    await stream.send(head(first))
                    await read_until(stream, f"answer-{first}".encode())
                    await anyio.sleep(REST_SECONDS + (number - 10) * 0.0005)
                    with contextlib.suppress(anyio.BrokenResourceError):
                        await stream.send(head(second))
                    content = await read_all(stream, SETTLE_SECONDS)
                was_served = second in server.served
                answer = f"answer-{second}".encode()
                assert was_served == (answer in content)

        run_scenario(scenario, REST_SECONDS)

    @pytest.mark.parametrize("closes", [False, True])
    def test_request_sent_slowly_is_answered(self, closes: bool) -> None:
        async def scenario(
            server: AnsweringServer,
            http: http_server.EmbeddedServer,
            port: int,
        ) -> None:
            request = head("r1", 300) + b"x" * 300
            async with await anyio.connect_tcp(HOST, port) as stream:
                for at in range(0, len(request), 40):
                    await stream.send(request[at : at + 40])
                    await anyio.sleep(0.1)
                    server.closes_connections = closes
                content = await read_until(stream, b"answer-r1")
            assert content.startswith(b"HTTP/1.1 200")

        run_scenario(scenario, 0.05)


class TestEarlyRefusal:
    """A body that is larger than the limit in force."""

    @pytest.mark.parametrize("closing", ["kept", "server", "caller"])
    def test_caller_that_still_sends_gets_the_refusal(
        self, closing: str
    ) -> None:
        """Guards against refusals that are lost by a reset."""

        async def scenario(
            server: AnsweringServer,
            http: http_server.EmbeddedServer,
            port: int,
        ) -> None:
            server.closes_connections = closing == "server"
            extra = b"Connection: close\r\n" if closing == "caller" else b""
            async with await anyio.connect_tcp(HOST, port) as stream:
                await stream.send(head("r1", LARGE_BODY_BYTES, extra))
                await stream.send(b"x" * PIECE_BYTES)
                await anyio.sleep(0.05)
                # A change of the config, while the body is being read.
                server.body_limit = PIECE_BYTES
                with contextlib.suppress(anyio.BrokenResourceError):
                    for _ in range(1, LARGE_BODY_BYTES // PIECE_BYTES):
                        await stream.send(b"x" * PIECE_BYTES)
                content = await read_until(stream, b"\r\n\r\n")
            assert content.startswith(b"HTTP/1.1 413")
            assert server.served == []

        run_scenario(scenario)

    def test_caller_that_stops_sending_gets_the_refusal(self) -> None:
        async def scenario(
            server: AnsweringServer,
            http: http_server.EmbeddedServer,
            port: int,
        ) -> None:
            server.body_limit = PIECE_BYTES
            async with await anyio.connect_tcp(HOST, port) as stream:
                await stream.send(head("r1", LARGE_BODY_BYTES))
                await stream.send(b"x" * (2 * PIECE_BYTES))
                content = await read_until(stream, b"\r\n\r\n")
            assert content.startswith(b"HTTP/1.1 413")

        run_scenario(scenario)
