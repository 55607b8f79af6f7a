# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Tests of the HTTP client that uses connections again, over loopback."""

import contextlib
import typing

import anyio
import anyio.abc
import attrs
import pytest

from crowdeck import errors
from crowdeck import http
from crowdeck import instance as instances
from crowdeck import reusing_client
from tests import test_kept_connections

HOST = "127.0.0.1"
KIND = http.ExchangeKind
TIMEOUTS = http.Timeouts(1.0, 1.0)
END = "end"


def reply(request_id: str, headers: str = "", body: str = "body") -> str:
    head = f"HTTP/1.1 200 OK\r\nX-Id: {request_id}\r\n{headers}"
    return f"{head}Content-Length: {len(body)}\r\n\r\n{body}"


class Server:
    """Answers the requests of each connection by a script.

    :ivar scripts: what is sent after each request of each connection; a
        connection without a script is answered soundly.
    """

    def __init__(self, *scripts: tuple[str, ...]) -> None:
        self.scripts = scripts
        self.requests: list[tuple[int, str]] = []
        self.connections = 0

    async def serve(self, stream: anyio.abc.SocketStream) -> None:
        number = self.connections
        self.connections += 1
        script = iter(self.scripts[number : number + 1] or ((),))
        replies = list(next(script))
        async with stream:
            with contextlib.suppress(anyio.EndOfStream, OSError):
                while True:
                    text = (await stream.receive()).decode()
                    request_id = text.partition("X-Id: ")[2].split("\r\n")[0]
                    self.requests.append((number, request_id))
                    answer = replies.pop(0) if replies else reply(request_id)
                    if answer == END:
                        return
                    closes = answer.endswith(END)
                    await stream.send(answer.removesuffix(END).encode())
                    if closes:
                        return


@attrs.define
class System:
    """A client of one server."""

    server: Server
    client: reusing_client.ReusingClient
    address: instances.Address

    async def ask(
        self,
        request_id: str,
        kind: http.ExchangeKind = KIND.STREAM,
    ) -> bytes:
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
        async with self.client.open(exchange, TIMEOUTS) as response:
            content = await response.read(1000)
        # The server may close the connection, or send more, until then.
        await anyio.sleep(0.02)
        return content


def run(
    server: Server, scenario: typing.Callable[[System], typing.Awaitable[None]]
) -> None:
    async def body() -> None:
        listener = await anyio.create_tcp_listener(local_host=HOST)
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        policy = test_kept_connections.System().policy
        client = reusing_client.ReusingClient(policy, 4)
        system = System(server, client, instances.Address(HOST, port))
        async with listener, anyio.create_task_group() as tasks:
            tasks.start_soon(listener.serve, server.serve)
            await scenario(system)
            client.close()
            tasks.cancel_scope.cancel()

    anyio.run(body)


class TestReuse:
    """When a connection is used by the next request."""

    def test_whole_answer_keeps_the_connection(self) -> None:
        async def scenario(system: System) -> None:
            for request_id in ("a", "b", "c"):
                assert await system.ask(request_id) == b"body"
            assert system.server.connections == 1

        run(Server(), scenario)

    @pytest.mark.parametrize("kind", [KIND.SINGLE, KIND.ORDER])
    def test_what_must_not_run_twice_uses_a_fresh_connection(
        self, kind: http.ExchangeKind
    ) -> None:
        async def scenario(system: System) -> None:
            await system.ask("a")
            await system.ask("b", kind)
            assert system.server.requests == [(0, "a"), (1, "b")]

        run(Server(), scenario)

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
    def test_doubt_closes_the_connection(self, first: str) -> None:
        async def scenario(system: System) -> None:
            assert await system.ask("a") == b"body"
            assert await system.ask("b") == b"body"
            assert system.server.requests == [(0, "a"), (1, "b")]

        run(Server((first,)), scenario)

    def test_abandoned_answer_closes_the_connection(self) -> None:
        async def scenario(system: System) -> None:
            with anyio.move_on_after(0.05):
                await system.ask("a")
            assert system.client.kept.count == 0
            assert await system.ask("b") == b"body"

        run(Server(("",)), scenario)


class TestFailure:
    """Failures of kept connections, which the server saw or did not see."""

    @pytest.mark.parametrize("second", [END, "nonsense\r\n\r\n", reply("a")])
    def test_is_told_and_the_next_request_uses_a_fresh_connection(
        self, second: str
    ) -> None:
        async def scenario(system: System) -> None:
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

        run(Server((reply("a"), second)), scenario)

    def test_silence_is_not_a_failed_connection(self) -> None:
        async def scenario(system: System) -> None:
            await system.ask("a")
            with pytest.raises(errors.CrowdeckError) as caught:
                await system.ask("b")
            assert not isinstance(caught.value, errors.KeptConnectionFailed)

        run(Server((reply("a"), "")), scenario)

    def test_refused_connection_is_from_a_gone_instance(self) -> None:
        async def scenario(system: System) -> None:
            listener = await anyio.create_tcp_listener(local_host=HOST)
            port = listener.extra(anyio.abc.SocketAttribute.local_port)
            await listener.aclose()
            system.address = instances.Address(HOST, port)
            with pytest.raises(errors.InstanceGone):
                await system.ask("a")

        run(Server(), scenario)

    def test_requests_beyond_the_limit_are_not_sent(self) -> None:
        async def scenario(system: System) -> None:
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

        run(Server(*(("",),) * 4), scenario)
