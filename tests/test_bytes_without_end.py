# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Servers that send bytes without end, in a head or a body, over loopback.

Guards against an exchange that stays open for as long as something arrives.
"""

import contextlib
import typing

import anyio
import anyio.abc
import attrs
import pytest

from crowdeck import connection as connections
from crowdeck import errors
from crowdeck import http
from crowdeck import instance as instances
from crowdeck import reusing_client
from crowdeck import verdict as verdicts
from tests import test_kept_connections

HOST = "127.0.0.1"
TIMEOUT_SECONDS = 0.3
# Far above the timeout: reached only by an exchange that does not end.
GUARD_SECONDS = 4.0
# Shorter than the timeout, so that no single read takes too long.
PAUSE_SECONDS = 0.03
LIMIT_BYTES = 256 * 1024
ID = b"a"
WHOLE = b"HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 4\r\n\r\nbody"
STATUS_LINE = b"HTTP/1.1 200 OK\r\nX-Id: a\r\n"
INTERIM = b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
CHUNKED = STATUS_LINE + b"Transfer-Encoding: chunked\r\n\r\n"


@attrs.frozen
class Script:
    """What a server sends: a beginning, then a piece again and again."""

    beginning: bytes
    piece: bytes


HEADS = {
    "interim": Script(b"", INTERIM),
    "headers": Script(STATUS_LINE, b"X-More: 1\r\n"),
    "status-line": Script(b"HTTP/1.1 200 O", b"O"),
}
BODIES = {
    "chunks": Script(CHUNKED, b"a\r\n0123456789\r\n"),
    "chunk-size": Script(CHUNKED + b"a;", b"x"),
    "trailers": Script(CHUNKED + b"0\r\n", b"X-More: 1\r\n"),
    "length": Script(
        STATUS_LINE + b"Content-Length: 99999999\r\n\r\n", b"0123456789"
    ),
    "until-close": Script(STATUS_LINE + b"\r\n", b"0123456789"),
}


@attrs.define
class Server:
    """Sends a script without end after some sound answers."""

    script: Script
    pause_seconds: float
    sound_answers: int = 0
    connections: int = 0

    async def serve(self, stream: anyio.abc.SocketStream) -> None:
        self.connections += 1
        with (
            contextlib.suppress(anyio.EndOfStream, anyio.BrokenResourceError),
            anyio.move_on_after(2 * GUARD_SECONDS),
        ):
            async with stream:
                await stream.receive()
                while self.sound_answers:
                    self.sound_answers -= 1
                    await stream.send(WHOLE)
                    await stream.receive()
                await self._send_without_end(stream)

    async def _send_without_end(self, stream: anyio.abc.SocketStream) -> None:
        await stream.send(self.script.beginning or self.script.piece)
        piece = self.script.piece
        if not self.pause_seconds:
            piece *= 1000
        while True:
            await anyio.sleep(self.pause_seconds)
            await stream.send(piece)


Opener = typing.Callable[
    [], contextlib.AbstractAsyncContextManager[http.OpenResponse]
]


@contextlib.asynccontextmanager
async def opener(
    server: Server, is_reusing: bool
) -> typing.AsyncIterator[Opener]:
    """Yield what opens an exchange with ``server``."""
    listener = await anyio.create_tcp_listener(local_host=HOST)
    port = listener.extra(anyio.abc.SocketAttribute.local_port)
    timeouts = http.Timeouts(TIMEOUT_SECONDS, TIMEOUT_SECONDS)
    client = http.HttpClient(f"http://{HOST}:{port}")
    reusing = reusing_client.ReusingClient(
        test_kept_connections.System().policy, 4
    )
    exchange = http.Exchange(
        attrs.evolve(
            test_kept_connections.ENGINE,
            address=instances.Address(HOST, port),
        ),
        http.ExchangeKind.REPORT,
        "GET",
        "/x",
        [(b"X-Id", ID)],
        b"",
        (b"x-id", ID),
    )

    def open_exchange() -> contextlib.AbstractAsyncContextManager[
        http.OpenResponse
    ]:
        if is_reusing:
            return reusing.open(exchange, timeouts)
        return client.open("GET", "/x", [(b"X-Id", ID)], b"", timeouts)

    async with listener, anyio.create_task_group() as tasks:
        tasks.start_soon(listener.serve, server.serve)
        yield open_exchange
        reusing.close()
        await client.close()
        tasks.cancel_scope.cancel()


async def ask(open_exchange: Opener) -> bytes:
    async with open_exchange() as response:
        return await response.read(LIMIT_BYTES)


def error_of(
    script: Script, pause_seconds: float, is_reusing: bool, is_kept: bool
) -> errors.CrowdeckError:
    """Return the error of an exchange, which must end by itself."""

    async def body() -> errors.CrowdeckError:
        server = Server(script, pause_seconds, sound_answers=int(is_kept))
        async with opener(server, is_reusing) as open_exchange:
            if is_kept:
                assert await ask(open_exchange) == b"body"
            with pytest.raises(errors.CrowdeckError) as caught:
                with anyio.fail_after(GUARD_SECONDS):
                    await ask(open_exchange)
            assert server.connections == 1
            return caught.value

    return anyio.run(body)


PACES = pytest.mark.parametrize(
    "pause_seconds", [PAUSE_SECONDS, 0.0], ids=["slow", "fast"]
)
CLIENTS = pytest.mark.parametrize(
    "is_reusing, is_kept",
    [(False, False), (False, True), (True, False), (True, True)],
    ids=["plain-new", "plain-kept", "reusing-new", "reusing-kept"],
)


@PACES
@CLIENTS
class TestExchange:
    """An exchange that is read whole ends, and may have run."""

    @pytest.mark.parametrize("script", HEADS.values(), ids=HEADS.keys())
    def test_ends_within_its_head(
        self,
        script: Script,
        pause_seconds: float,
        is_reusing: bool,
        is_kept: bool,
    ) -> None:
        error = error_of(script, pause_seconds, is_reusing, is_kept)
        assert error.code is errors.Code.UPSTREAM_LOST
        assert error.verdict is verdicts.Verdict.MAY_HAVE_RUN

    @pytest.mark.parametrize("script", BODIES.values(), ids=BODIES.keys())
    def test_ends_within_its_body(
        self,
        script: Script,
        pause_seconds: float,
        is_reusing: bool,
        is_kept: bool,
    ) -> None:
        error = error_of(script, pause_seconds, is_reusing, is_kept)
        assert error.code in (
            errors.Code.UPSTREAM_LOST,
            errors.Code.TOO_LARGE,
        )
        assert not error.verdict.is_retry_safe


class TestInterimResponses:
    """Interim responses before the answer, all sent at once."""

    @pytest.mark.parametrize("is_kept", [False, True], ids=["new", "kept"])
    def test_a_flood_of_them_is_no_answer(self, is_kept: bool) -> None:
        flood = INTERIM * (connections.MAX_INTERIM_RESPONSES + 1)
        error = error_of(Script(flood + WHOLE, b"x"), 1.0, True, is_kept)
        assert error.code is errors.Code.UPSTREAM_LOST
        assert error.verdict is verdicts.Verdict.MAY_HAVE_RUN

    @pytest.mark.parametrize("is_kept", [False, True], ids=["new", "kept"])
    def test_some_of_them_precede_an_answer(self, is_kept: bool) -> None:
        some = INTERIM * connections.MAX_INTERIM_RESPONSES

        async def body() -> bytes:
            script = Script(some + WHOLE, b"x")
            server = Server(script, 1.0, sound_answers=int(is_kept))
            async with opener(server, is_reusing=True) as open_exchange:
                if is_kept:
                    assert await ask(open_exchange) == b"body"
                return await ask(open_exchange)

        assert anyio.run(body) == b"body"
