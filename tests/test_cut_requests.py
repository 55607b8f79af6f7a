# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Requests whose bytes arrive in any pieces, over loopback sockets."""

import typing

import anyio
import anyio.abc
import pytest

from crowdeck.cmd import caller_server
from crowdeck.cmd import http_server
from crowdeck.relay import request as requests
from crowdeck.serving import account as accounts
from crowdeck.serving import limits as client_limits
from tests import test_caller_connections

HOST = test_caller_connections.HOST
LIMITS = client_limits.Limits(
    header_bytes=16_384,
    header_seconds=60.0,
    idle_seconds=60.0,
    body_seconds=60.0,
    unread_seconds=60.0,
)


@pytest.mark.parametrize("piece_bytes", [1, 7, 64, 100_000])
class TestCutRequests:
    """Requests arrive whole and in order, however their bytes are cut."""

    REQUESTS = (
        b"\r\n\r\n",
        test_caller_connections.head("r1"),
        test_caller_connections.head("r2", 9) + b"\r\n\r\nbody\n",
        b"POST /x HTTP/1.1\r\nX-Request-Id: r3\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n"
        b"8;a=b\r\n\r\n\r\nbody\r\n004\r\n\r\n\r\n\r\n0\r\nX-Note: n\r\n\r\n",
        b"POST /x HTTP/1.1\r\nX-Request-Id: r4\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        b"\r\n",
        test_caller_connections.head("r5", 3) + b"end",
    )
    BODIES: typing.ClassVar[dict[str, bytes]] = {
        "r1": b"",
        "r2": b"\r\n\r\nbody\n",
        "r3": b"\r\n\r\nbody\r\n\r\n",
        "r4": b"",
        "r5": b"end",
    }

    def test_are_served_in_order(self, piece_bytes: int) -> None:
        bodies: dict[str, bytes] = {}

        class EchoServer(test_caller_connections.AnsweringServer):
            async def serve(
                self, request: requests.CallerRequest, sink: requests.Sink
            ) -> None:
                bodies[request.id] = request.body
                await sink.reply(200, [], f"answer-{request.id}".encode())

        async def body() -> None:
            account = accounts.Account(accounts.size_for())
            intake = client_limits.Intake(
                account.open_listener("callers"), lambda: LIMITS
            )
            http = caller_server.build(EchoServer(), HOST, 0, intake=intake)
            async with anyio.create_task_group() as tasks:

                async def serve(
                    *, task_status: anyio.abc.TaskStatus[int]
                ) -> None:
                    await http_server.run(http, task_status=task_status)

                port = await tasks.start(serve)
                content = b"".join(self.REQUESTS)
                async with await anyio.connect_tcp(HOST, port) as stream:
                    for at in range(0, len(content), piece_bytes):
                        await stream.send(content[at : at + piece_bytes])
                        await anyio.sleep(0)
                    answers = await test_caller_connections.read_until(
                        stream, b"answer-r5"
                    )
                    while account.held_bytes:
                        await anyio.sleep(0.01)
                tasks.cancel_scope.cancel()
            positions = [
                answers.index(f"answer-{name}".encode())
                for name in self.BODIES
            ]
            assert positions == sorted(positions)

        anyio.run(body)
        assert bodies == self.BODIES
