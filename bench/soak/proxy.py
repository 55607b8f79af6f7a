# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""A loopback TCP proxy that delays, holds, resets or refuses connections."""

import enum
import random
import socket
import struct

import anyio
import anyio.abc

HOST = "127.0.0.1"
CHUNK_BYTES = 65_536
DELAY_SECONDS = 0.05
POLL_SECONDS = 0.02
# SO_LINGER with a time-out of zero: closing sends a reset.
RESET = struct.pack("ii", 1, 0)


class Mode(enum.StrEnum):
    """What happens to bytes and to new connections."""

    PASS = "pass"  # noqa: S105
    DELAY = "delay"
    HOLD = "hold"
    HOLD_REPLIES = "hold_replies"  # requests pass, replies do not
    REFUSE = "refuse"


class Proxy:
    """Forwards the connections of one port to a target port."""

    def __init__(self, port: int, target_port: int) -> None:
        self.port = port
        self._target_port = target_port
        self._streams: set[anyio.abc.SocketStream] = set()
        self.mode = Mode.PASS

    async def run(
        self,
        *,
        task_status: anyio.abc.TaskStatus[None] = anyio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serve until cancelled."""
        listener = await anyio.create_tcp_listener(
            local_host=HOST, local_port=self.port
        )
        async with listener:
            task_status.started()
            await listener.serve(self._serve)

    def reset(self, probability: float, rng: random.Random) -> None:
        """Reset each open socket with this probability."""
        for stream in tuple(self._streams):
            if rng.random() < probability:
                _reset(stream)

    async def impair(self, seconds: float, rng: random.Random) -> None:
        """Reset some connections, and delay or hold bytes for some time."""
        self.reset(rng.random(), rng)
        self.mode = rng.choice((Mode.DELAY, Mode.HOLD, Mode.HOLD_REPLIES))
        await anyio.sleep(seconds)
        self.mode = Mode.PASS

    async def _serve(self, client: anyio.abc.SocketStream) -> None:
        async with client:
            if self.mode is Mode.REFUSE:
                _reset(client)
                return
            try:
                server = await anyio.connect_tcp(HOST, self._target_port)
            except OSError:
                _reset(client)
                return
            async with server, anyio.create_task_group() as tasks:
                self._streams |= {client, server}
                tasks.start_soon(self._forward, client, server, False, tasks)
                tasks.start_soon(self._forward, server, client, True, tasks)
            self._streams -= {client, server}

    async def _forward(
        self,
        source: anyio.abc.SocketStream,
        sink: anyio.abc.SocketStream,
        is_response: bool,
        tasks: anyio.abc.TaskGroup,
    ) -> None:
        try:
            while True:
                chunk = await source.receive(CHUNK_BYTES)
                await self._delay(is_response)
                await sink.send(chunk)
        except anyio.EndOfStream:
            if is_response:
                tasks.cancel_scope.cancel()
        except (anyio.BrokenResourceError, anyio.ClosedResourceError):
            # Propagate a reset of one side to the other.
            _reset(sink)
            tasks.cancel_scope.cancel()

    async def _delay(self, is_response: bool) -> None:
        if self.mode is Mode.DELAY:
            await anyio.sleep(DELAY_SECONDS)
        while self.mode is Mode.HOLD or (
            self.mode is Mode.HOLD_REPLIES and is_response
        ):
            await anyio.sleep(POLL_SECONDS)


def _reset(stream: anyio.abc.SocketStream) -> None:
    raw = stream.extra(anyio.abc.SocketAttribute.raw_socket, None)
    if raw is None:
        return
    try:
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        transport = getattr(stream, "_transport", None)
        if transport is not None:
            transport.abort()
    except OSError:
        # The connection has closed already.
        return
