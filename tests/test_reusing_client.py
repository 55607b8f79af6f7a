# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Tests of the HTTP client that uses connections again, over loopback."""

import contextlib
import errno
import functools
import socket
import typing
from unittest import mock

import anyio
import anyio.abc
import attrs
import pytest

from crowdeck import connection as connections
from crowdeck import errors
from crowdeck import http
from crowdeck import instance as instances
from crowdeck import reusing_client
from crowdeck.routing import connection_policy
from tests import test_kept_connections

HOST = "127.0.0.1"
KIND = http.ExchangeKind
TIMEOUTS = http.Timeouts(1.0, 1.0)
END = "end"
# More than the buffers of both sockets hold.
LARGE_BYTES = 64 * 1024 * 1024


def reply(request_id: str, headers: str = "", body: str = "body") -> str:
    head = f"HTTP/1.1 200 OK\r\nX-Id: {request_id}\r\n{headers}"
    return f"{head}Content-Length: {len(body)}\r\n\r\n{body}"


# Without the last chunk.
CHUNKED = (
    "HTTP/1.1 200 OK\r\nX-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n"
    "4\r\nbody\r\n"
)


class Server:
    """Answers the requests of each connection by a script.

    :ivar scripts: what is sent after each request of each connection; a
        connection without a script is answered soundly.
    """

    def __init__(self, *scripts: tuple[str, ...]) -> None:
        self.scripts = scripts
        self.requests: list[tuple[int, str]] = []
        self.connections = 0
        self.ended: list[int] = []
        self.sent_bytes = 0

    async def serve(self, stream: anyio.abc.SocketStream) -> None:
        number = self.connections
        self.connections += 1
        script = iter(self.scripts[number : number + 1] or ((),))
        replies = list(next(script))
        async with stream:
            with contextlib.suppress(
                anyio.EndOfStream, anyio.BrokenResourceError
            ):
                while True:
                    text = (await stream.receive()).decode()
                    request_id = text.partition("X-Id: ")[2].split("\r\n")[0]
                    self.requests.append((number, request_id))
                    answer = replies.pop(0) if replies else reply(request_id)
                    if answer == END:
                        return
                    closes = answer.endswith(END)
                    content = answer.removesuffix(END).encode()
                    await stream.send(content)
                    self.sent_bytes += len(content)
                    if closes:
                        return
            self.ended.append(number)


@attrs.define
class System:
    """A client of one server."""

    server: Server
    policy: connection_policy.ConnectionPolicy
    client: reusing_client.ReusingClient
    address: instances.Address

    def open(
        self, request_id: str, kind: http.ExchangeKind = KIND.STREAM
    ) -> contextlib.AbstractAsyncContextManager[http.OpenResponse]:
        upstream = attrs.evolve(
            test_kept_connections.ENGINE, address=self.address
        )
        id_header = (b"x-id", request_id.encode())
        exchange = http.Exchange(
            upstream,
            kind,
            "GET",
            "/x",
            [(b"X-Id", request_id.encode())],
            b"",
            id_header,
        )
        return self.client.open(exchange, TIMEOUTS)

    async def ask(
        self, request_id: str, kind: http.ExchangeKind = KIND.STREAM
    ) -> bytes:
        async with self.open(request_id, kind) as response:
            content = await response.read(1000)
        # The server may close the connection, or send more, until then.
        await anyio.sleep(0.02)
        return content


def in_loop(
    test: typing.Callable[..., typing.Awaitable[None]],
) -> typing.Callable[..., None]:
    @functools.wraps(test)
    def run(*arguments: typing.Any, **parameters: typing.Any) -> None:
        anyio.run(functools.partial(test, *arguments, **parameters))

    return run


@contextlib.asynccontextmanager
async def serving(*scripts: tuple[str, ...]) -> typing.AsyncIterator[System]:
    server = Server(*scripts)
    listener = await anyio.create_tcp_listener(local_host=HOST)
    port = listener.extra(anyio.abc.SocketAttribute.local_port)
    policy = test_kept_connections.System().policy
    client = reusing_client.ReusingClient(policy, 4)
    address = instances.Address(HOST, port)
    async with listener, anyio.create_task_group() as tasks:
        tasks.start_soon(listener.serve, server.serve)
        yield System(server, policy, client, address)
        client.close()
        tasks.cancel_scope.cancel()


class TestReuse:
    """When a connection is used by the next request."""

    @in_loop
    @pytest.mark.parametrize("kind", [KIND.STREAM, KIND.CALL, KIND.REPORT])
    @pytest.mark.parametrize(
        "first",
        [
            reply("a"),
            "HTTP/1.1 103 Early Hints\r\nX-Id: x\r\n\r\n" + reply("a"),
            CHUNKED + "0\r\n\r\n",
        ],
    )
    async def test_whole_answer_keeps_the_connection(
        self, kind: http.ExchangeKind, first: str
    ) -> None:
        async with serving((first,)) as system:
            for request_id in ("a", "b", "c"):
                assert await system.ask(request_id, kind) == b"body"
            assert system.server.connections == 1

    @in_loop
    @pytest.mark.parametrize("kind", [KIND.SINGLE, KIND.ORDER])
    async def test_what_must_not_run_twice_uses_a_fresh_connection(
        self, kind: http.ExchangeKind
    ) -> None:
        async with serving() as system:
            await system.ask("a")
            await system.ask("b", kind)
            assert system.server.requests == [(0, "a"), (1, "b")]

    @in_loop
    @pytest.mark.parametrize(
        "first",
        [
            reply("a", "Connection: close\r\n"),
            reply("a", "Keep-Alive: timeout=0\r\n"),
            reply("a") + END,
            reply("a") + "surplus",
            reply("a") + reply("a"),
            "HTTP/1.1 200 OK\r\nX-Id: a\r\n\r\nbody" + END,
            "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody",
        ],
    )
    async def test_doubt_closes_the_connection(self, first: str) -> None:
        async with serving((first,)) as system:
            assert await system.ask("a") == b"body"
            assert await system.ask("b") == b"body"
            assert system.server.requests == [(0, "a"), (1, "b")]

    @in_loop
    @pytest.mark.parametrize("first", ["", CHUNKED])
    async def test_abandoned_answer_closes_the_connection(
        self, first: str
    ) -> None:
        # Referenced, so that no collection of garbage closes it.
        opened: list[connections.Connection] = []
        open_connection = connections.connect

        async def connect(*arguments: typing.Any) -> connections.Connection:
            opened.append(await open_connection(*arguments))
            return opened[-1]

        async with serving((first,)) as system:
            with (
                mock.patch.object(connections, "connect", connect),
                anyio.move_on_after(0.05),
            ):
                await system.ask("a")
            await anyio.sleep(0.02)
            assert opened and system.server.ended == [0]
            assert await system.ask("b") == b"body"
            assert system.server.requests == [(0, "a"), (1, "b")]

    @in_loop
    async def test_slow_reader_slows_the_upstream(self) -> None:
        body = "x" * LARGE_BYTES
        async with serving((reply("a", body=body),)) as system:
            async with system.open("a") as response:
                chunks = response.chunks()
                first = await anext(chunks)
                await anyio.sleep(0.1)
                assert system.server.sent_bytes == 0
                rest = [len(chunk) async for chunk in chunks]
                assert len(first) + sum(rest) == LARGE_BYTES


class TestFailure:
    """Failures of kept connections, which the server saw or did not see."""

    @in_loop
    @pytest.mark.parametrize("second", [END, "nonsense\r\n\r\n", reply("a")])
    async def test_is_told_and_the_next_request_uses_a_fresh_connection(
        self, second: str
    ) -> None:
        async with serving((reply("a"), second)) as system:
            await system.ask("a")
            with pytest.raises(errors.KeptConnectionFailed) as caught:
                await system.ask("b", KIND.REPORT)
            assert not caught.value.verdict.is_retry_safe
            assert await system.ask("b", KIND.REPORT) == b"body"
            assert [number for number, _ in system.server.requests] == [
                0,
                0,
                1,
            ]

    @in_loop
    async def test_loss_within_an_answer_is_not_due_to_the_rest(self) -> None:
        async with serving((reply("z"), CHUNKED + END)) as system:
            await system.ask("z")
            with (
                mock.patch.object(system.policy, "note_reused") as noted,
                pytest.raises(errors.CrowdeckError) as caught,
            ):
                await system.ask("a")
            assert not isinstance(caught.value, errors.KeptConnectionFailed)
            assert not caught.value.verdict.is_retry_safe
            assert noted.call_args.kwargs == {"has_failed": False}
            assert system.client.kept.count == 0

    @in_loop
    async def test_without_descriptors_nothing_was_sent(self) -> None:
        async with serving() as system:
            full = OSError(errno.EMFILE, "too many open files")
            with (
                mock.patch.object(socket, "socket", side_effect=full),
                pytest.raises(errors.CrowdeckError) as caught,
            ):
                await system.ask("a")
            assert caught.value.verdict.is_retry_safe

    @in_loop
    async def test_silence_is_not_a_failed_connection(self) -> None:
        async with serving((reply("a"), "")) as system:
            await system.ask("a")
            with (
                mock.patch.object(system.policy, "note_reused") as noted,
                pytest.raises(errors.CrowdeckError) as caught,
            ):
                await system.ask("b")
            assert not isinstance(caught.value, errors.KeptConnectionFailed)
            noted.assert_not_called()

    @in_loop
    async def test_refused_connection_is_from_a_gone_instance(self) -> None:
        async with serving() as system:
            listener = await anyio.create_tcp_listener(local_host=HOST)
            port = listener.extra(anyio.abc.SocketAttribute.local_port)
            await listener.aclose()
            system.address = instances.Address(HOST, port)
            with pytest.raises(errors.InstanceGone):
                await system.ask("a")

    @in_loop
    async def test_requests_beyond_the_limit_are_not_sent(self) -> None:
        async with serving(*(("",),) * 4) as system:

            async def ask(request_id: str) -> None:
                with contextlib.suppress(errors.CrowdeckError):
                    await system.ask(request_id)

            async with anyio.create_task_group() as tasks:
                for number in range(6):
                    tasks.start_soon(ask, str(number))
                await anyio.sleep(0.1)
                assert len(system.server.requests) == 4
                tasks.cancel_scope.cancel()
            assert await system.ask("later") == b"body"
