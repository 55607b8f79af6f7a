# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""A loopback TCP proxy that impairs connections.

It uses the event loop's transports: with a task for each direction of each
connection, the proxies of a few dozen entries took seconds to forward bytes.
"""

import asyncio
import collections
import contextlib
import enum
import random
import socket
import struct
import typing

import anyio
import anyio.abc

from bench.soak import flood as floods

HOST = "127.0.0.1"
LISTEN_BACKLOG = 1024
DELAY_SECONDS = 0.05
# SO_LINGER with a time-out of zero: closing sends a reset.
RESET = struct.pack("ii", 1, 0)
# How a request begins.
METHODS = (b"GET ", b"POST ")


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
        self._links: set[_Link] = set()
        self._mode = Mode.PASS
        self._pause_count = 0
        self._flood: floods.Flood | None = None
        self._flood_count = 0

    @property
    def is_paused(self) -> bool:
        """Whether all bytes are held, whatever the mode is."""
        return self._pause_count > 0

    @property
    def mode(self) -> Mode:
        """What happens to bytes and to new connections."""
        return self._mode

    @mode.setter
    def mode(self, mode: Mode) -> None:
        self._mode = mode
        self._flush()

    @contextlib.contextmanager
    def paused(self) -> typing.Iterator[None]:
        """Hold all bytes and keep all connections during the body.

        Pauses may overlap each other and the modes.
        """
        self._pause_count += 1
        try:
            yield
        finally:
            self._pause_count -= 1
            self._flush()

    async def run(
        self,
        *,
        task_status: anyio.abc.TaskStatus[None] = anyio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serve until cancelled."""
        loop = asyncio.get_running_loop()
        server = await loop.create_server(
            self._create_client_end, HOST, self.port, backlog=LISTEN_BACKLOG
        )
        try:
            task_status.started()
            await anyio.sleep_forever()
        finally:
            server.close()
            for link in tuple(self._links):
                link.abort()

    def reset(self, probability: float, rng: random.Random) -> None:
        """Reset each open connection with this probability."""
        for link in tuple(self._links):
            if rng.random() < probability:
                link.abort()

    def mute(self, probability: float, rng: random.Random) -> None:
        """Make each open connection silent for good with this probability."""
        for link in tuple(self._links):
            if rng.random() < probability:
                link.mute()

    def flood(self, flood: floods.Flood, count: int) -> None:
        """Answer the next requests with bytes without end.

        :param count: number of requests that are answered so.
        """
        self._flood, self._flood_count = flood, count

    def take_flood(self, data: bytes) -> floods.Flood | None:
        """Return what to answer with if a request is not to be forwarded."""
        if not self._flood_count or not data.startswith(METHODS):
            return None
        self._flood_count -= 1
        return self._flood

    async def impair(self, seconds: float, rng: random.Random) -> None:
        """Reset some connections, and delay or hold bytes for some time."""
        self.reset(rng.random(), rng)
        self.mode = rng.choice((Mode.DELAY, Mode.HOLD, Mode.HOLD_REPLIES))
        await anyio.sleep(seconds)
        self.mode = Mode.PASS

    def _flush(self) -> None:
        for link in tuple(self._links):
            link.flush()

    def _create_client_end(self) -> "_End":
        link = _Link(self, self._target_port)
        return _End(link, link.to_server)

    def add(self, link: "_Link") -> None:
        """Note an open connection."""
        self._links.add(link)

    def drop(self, link: "_Link") -> None:
        """Forget a connection that has ended."""
        self._links.discard(link)


class _Direction:
    """Bytes on their way from one end of a connection to the other.

    :param finish: called once all bytes before the end are written.
    :ivar sink: where they are written, ``None`` while it is connecting.
    :ivar is_muted: whether its bytes are held for good.
    """

    def __init__(
        self,
        proxy: Proxy,
        finish: typing.Callable[[], None],
        *,
        is_response: bool,
    ) -> None:
        self._proxy = proxy
        self._finish = finish
        self._is_response = is_response
        self._delayed: collections.deque[bytes] = collections.deque()
        self._waiting: list[bytes] = []
        self.sink: asyncio.Transport | None = None
        self.is_muted = False

    @property
    def _is_held(self) -> bool:
        if self.is_muted or self._proxy.is_paused:
            return True
        mode = self._proxy.mode
        return mode is Mode.HOLD or (
            mode is Mode.HOLD_REPLIES and self._is_response
        )

    def forward(self, data: bytes) -> None:
        """Pass on bytes now, later or once they are no longer held.

        :param data: the bytes; none for the end of the direction.
        """
        # Later bytes must not overtake those that are delayed.
        if self._proxy.mode is Mode.DELAY or self._delayed:
            self._delayed.append(data)
            loop = asyncio.get_running_loop()
            loop.call_later(DELAY_SECONDS, self._forward_delayed)
            return
        self._waiting.append(data)
        self.flush()

    def flush(self) -> None:
        """Write what waits, unless it is held."""
        if self._is_held or self.sink is None or self.sink.is_closing():
            return
        waiting, self._waiting = self._waiting, []
        for data in waiting:
            if data:
                self.sink.write(data)
            else:
                self._finish()

    def _forward_delayed(self) -> None:
        self._waiting.append(self._delayed.popleft())
        self.flush()


class _Link:
    """One connection of a client, and the one to the target."""

    def __init__(self, proxy: Proxy, target_port: int) -> None:
        self._proxy = proxy
        self._target_port = target_port
        self.to_server = _Direction(
            proxy, self._end_requests, is_response=False
        )
        self._to_client = _Direction(proxy, self._close, is_response=True)
        self._connecting: asyncio.Task[None] | None = None
        self._has_ended = False
        self._is_flooded = False

    def begin(self, end: "_End", transport: asyncio.Transport) -> None:
        """Take in an end that is connected."""
        if end.direction is not self.to_server:
            self.to_server.sink = transport
            self.to_server.flush()
            return
        self._to_client.sink = transport
        if self._proxy.mode is Mode.REFUSE:
            self.abort()
            return
        self._proxy.add(self)
        loop = asyncio.get_running_loop()
        self._connecting = loop.create_task(self._connect())

    async def _connect(self) -> None:
        try:
            await asyncio.get_running_loop().create_connection(
                lambda: _End(self, self._to_client), HOST, self._target_port
            )
        except OSError:
            self.abort()
            return
        if self._has_ended:
            self.abort()

    def flush(self) -> None:
        """Write what waits in both directions, unless it is held."""
        self.to_server.flush()
        self._to_client.flush()

    def mute(self) -> None:
        """Hold all bytes for good, and the news of an end too."""
        self.to_server.is_muted = self._to_client.is_muted = True

    def receive(self, direction: _Direction, data: bytes) -> None:
        """Forward bytes, or answer them with a flood.

        :param data: the bytes; none for the end of the direction.
        """
        if self._is_flooded:
            if direction is self.to_server and not data:
                self._close()
            return
        if direction is self.to_server:
            flood = self._proxy.take_flood(data)
            if flood is not None:
                self._is_flooded = True
                if flood.start:
                    self._to_client.forward(flood.start)
                loop = asyncio.get_running_loop()
                ends_at = loop.time() + floods.MAX_SECONDS
                self._continue_flood(flood, 0, ends_at)
                return
        direction.forward(data)

    def _continue_flood(
        self, flood: floods.Flood, sent_bytes: int, ends_at: float
    ) -> None:
        if self._has_ended:
            return
        loop = asyncio.get_running_loop()
        if loop.time() >= ends_at:
            self.abort()
            return
        piece = flood.piece_after(sent_bytes)
        pause = flood.pause_after(sent_bytes)
        self._to_client.forward(piece)
        loop.call_later(
            pause,
            self._continue_flood,
            flood,
            sent_bytes + len(piece),
            ends_at,
        )

    def abort(self) -> None:
        """Reset both connections."""
        self._note_ended()
        for sink in self._sinks():
            _reset(sink)

    def note_lost(self, error: Exception | None) -> None:
        """Close both connections; propagate a reset as one."""
        if self.to_server.is_muted:
            return
        if error is not None:
            self.abort()
        else:
            self._close()

    def _close(self) -> None:
        self._note_ended()
        for sink in self._sinks():
            sink.close()

    def _end_requests(self) -> None:
        if self.to_server.sink is not None:
            self.to_server.sink.write_eof()

    def _note_ended(self) -> None:
        self._has_ended = True
        self._proxy.drop(self)

    def _sinks(self) -> list[asyncio.Transport]:
        sinks = (self.to_server.sink, self._to_client.sink)
        return [sink for sink in sinks if sink is not None]


class _End(asyncio.Protocol):
    """One of the two connections of a link."""

    def __init__(self, link: _Link, direction: _Direction) -> None:
        self._link = link
        self.direction = direction

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start to forward."""
        assert isinstance(transport, asyncio.Transport)
        self._link.begin(self, transport)

    def data_received(self, data: bytes) -> None:
        """Forward bytes."""
        self._link.receive(self.direction, data)

    def eof_received(self) -> bool:
        """Forward the end; the other direction stays open."""
        self._link.receive(self.direction, b"")
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        """End the link."""
        self._link.note_lost(exc)


def _reset(transport: asyncio.Transport) -> None:
    if transport.is_closing():
        return
    raw = transport.get_extra_info("socket")
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
    transport.abort()
