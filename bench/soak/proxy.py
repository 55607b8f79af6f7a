# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""A loopback TCP proxy that delays, resets, cuts or silences."""

import enum
import random
import socket
import struct

import anyio
import anyio.abc

HOST = "127.0.0.1"
CHUNK = 65_536
DELAY_SECONDS = 0.05
POLL_SECONDS = 0.02
# SO_LINGER with no time: closing then sends a reset.
RESET = struct.pack("ii", 1, 0)


class Mode(enum.StrEnum):
    """What becomes of bytes."""

    PASS = "pass"  # noqa: S105
    DELAY = "delay"
    SILENT = "silent"
    DEAF = "deaf"  # requests pass, answers do not
    REFUSE = "refuse"


class Proxy:
    """One port before one target."""

    def __init__(self, port: int, target: int) -> None:
        self.port = port
        self._target = target
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

    def reset(self, share: float, rng: random.Random) -> None:
        """Reset a share of the open connections."""
        for stream in tuple(self._streams):
            if rng.random() < share:
                _reset(stream)

    async def harm(self, seconds: float, rng: random.Random) -> None:
        """Reset some connections, and hold up what passes for some time."""
        self.reset(rng.random(), rng)
        self.mode = rng.choice((Mode.DELAY, Mode.SILENT, Mode.DEAF))
        await anyio.sleep(seconds)
        self.mode = Mode.PASS

    async def _serve(self, near: anyio.abc.SocketStream) -> None:
        async with near:
            if self.mode is Mode.REFUSE:
                _reset(near)
                return
            try:
                far = await anyio.connect_tcp(HOST, self._target)
            except OSError:
                _reset(near)
                return
            async with far, anyio.create_task_group() as tasks:
                self._streams |= {near, far}
                tasks.start_soon(self._pump, near, far, False, tasks)
                tasks.start_soon(self._pump, far, near, True, tasks)
            self._streams -= {near, far}

    async def _pump(
        self,
        source: anyio.abc.SocketStream,
        sink: anyio.abc.SocketStream,
        is_back: bool,
        tasks: anyio.abc.TaskGroup,
    ) -> None:
        try:
            while True:
                piece = await source.receive(CHUNK)
                await self._hold(is_back)
                await sink.send(piece)
        except anyio.EndOfStream:
            if is_back:
                tasks.cancel_scope.cancel()
        except (anyio.BrokenResourceError, anyio.ClosedResourceError):
            # A reset on one side is a reset on the other.
            _reset(sink)
            tasks.cancel_scope.cancel()

    async def _hold(self, is_back: bool) -> None:
        if self.mode is Mode.DELAY:
            await anyio.sleep(DELAY_SECONDS)
        while self.mode is Mode.SILENT or (self.mode is Mode.DEAF and is_back):
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
        # It closed by itself in between: as good as reset.
        return
