# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Answers that their clients do not read, over loopback sockets."""

import typing

import anyio
import anyio.abc

from crowdeck.cmd import caller_server
from crowdeck.cmd import http_server
from crowdeck.relay import request as requests
from crowdeck.serving import account as accounts
from crowdeck.serving import limits as client_limits
from tests import test_caller_connections

HOST = test_caller_connections.HOST
# More than the buffers of both ends of a connection hold unread.
ANSWER_BYTES = 8_000_000
PIECE_BYTES = 100_000
UNREAD_SECONDS = 0.3
LONG_SECONDS = 60.0
WAIT_SECONDS = 20.0

Scenario = typing.Callable[
    [accounts.Account, int],
    typing.Awaitable[None],
]


class LargeServer:
    """Answers with many bytes, except a request with the id ``small``."""

    body_limit = 1_000
    closes_connections = False

    async def serve(
        self, request: requests.CallerRequest, sink: requests.Sink
    ) -> None:
        if request.id == "small":
            await sink.reply(200, [], b"answer-small")
            return
        await sink.start(200, [])
        for _ in range(ANSWER_BYTES // PIECE_BYTES):
            await sink.write(b"x" * PIECE_BYTES)
        await sink.finish()


def run(scenario: Scenario, connections: int, unread_seconds: float) -> None:
    limits = client_limits.Limits(
        header_bytes=16_384,
        header_seconds=LONG_SECONDS,
        idle_seconds=LONG_SECONDS,
        body_seconds=LONG_SECONDS,
        unread_seconds=unread_seconds,
    )
    account = accounts.Account(accounts.AccountSize(2**20, connections))

    async def serve(
        server: http_server.EmbeddedServer,
        *,
        task_status: anyio.abc.TaskStatus[int],
    ) -> None:
        await http_server.run(server, task_status=task_status)

    async def body() -> None:
        intake = client_limits.Intake(
            account.open_listener("callers"), lambda: limits
        )
        server = caller_server.build(LargeServer(), HOST, 0, intake=intake)
        async with anyio.create_task_group() as tasks:
            port = await tasks.start(serve, server)
            with anyio.fail_after(WAIT_SECONDS):
                await scenario(account, port)
            tasks.cancel_scope.cancel()

    anyio.run(body)


async def ask_and_leave_unread(port: int) -> anyio.abc.SocketStream:
    stream = await anyio.connect_tcp(HOST, port)
    await stream.send(test_caller_connections.head("large"))
    return stream


async def wait_stalled(account: accounts.Account) -> None:
    while not account.held_bytes > 0:
        await anyio.sleep(0.01)


class TestUnreadAnswers:
    """They are held for a time, and in place of nobody."""

    def test_are_cut_after_their_time(self) -> None:
        async def scenario(account: accounts.Account, port: int) -> None:
            async with await ask_and_leave_unread(port):
                await wait_stalled(account)
                while account.held_bytes:
                    await anyio.sleep(0.01)

        run(scenario, connections=8, unread_seconds=UNREAD_SECONDS)

    def test_are_cut_for_a_new_connection(self) -> None:
        async def scenario(account: accounts.Account, port: int) -> None:
            async with await ask_and_leave_unread(port):
                await wait_stalled(account)
                async with await anyio.connect_tcp(HOST, port) as stream:
                    head = test_caller_connections.head("small")
                    await stream.send(head)
                    answer = await test_caller_connections.read_until(
                        stream, b"answer-small"
                    )
                    assert answer.startswith(b"HTTP/1.1 200")
                while account.held_bytes:
                    await anyio.sleep(0.01)

        run(scenario, connections=1, unread_seconds=LONG_SECONDS)

    def test_are_whole_if_they_are_read_at_last(self) -> None:
        async def scenario(account: accounts.Account, port: int) -> None:
            async with await ask_and_leave_unread(port) as stream:
                await wait_stalled(account)
                size = 0
                while size < ANSWER_BYTES:
                    size += len(await stream.receive())
                assert account.held_bytes >= 0

        run(scenario, connections=1, unread_seconds=LONG_SECONDS)
