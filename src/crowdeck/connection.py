# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""An HTTP/1.1 connection that can be used for several requests."""

import contextlib
import errno
import os
import socket
import typing

import anyio
import attrs
import h11

from crowdeck import errors
from crowdeck import http
from crowdeck import instance as instances
from crowdeck.routing import connection_policy
from crowdeck import verdict as verdicts

READ_BYTES = 64 * 1024
MAX_HEAD_BYTES = 100 * 1024
# Reading thousands that arrive together holds up the event loop.
MAX_INTERIM_RESPONSES = 100

_WHOLE_STATES = (h11.DONE, h11.MUST_CLOSE, h11.CLOSED)
_Reason = connection_policy.CloseReason


@attrs.frozen
class Head:
    """Status and headers of an answer."""

    status: int
    headers: http.RawHeaders

    def find(self, name: bytes) -> bytes:
        """Return a header's value by its lower-case name, empty if absent."""
        for key, value in self.headers:
            if key.lower() == name:
                return value
        return b""


class Connection:
    """An open connection, used by one request at a time.

    The socket is read without a buffer of the event loop, so that surplus
    bytes are found before the next request is sent.
    """

    def __init__(self, open_socket: socket.socket) -> None:
        self._socket = open_socket
        self._protocol = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES
        )
        self._was_sent_at_once = True

    @property
    def was_sent_at_once(self) -> bool:
        """Whether the last request was sent without waiting."""
        return self._was_sent_at_once

    @property
    def is_whole(self) -> bool:
        """Whether the last answer was read to its end."""
        return self._protocol.their_state in _WHOLE_STATES

    @property
    def requests_close(self) -> bool:
        """Whether HTTP does not allow another request."""
        return (
            self._protocol.our_state is not h11.DONE
            or self._protocol.their_state is not h11.DONE
        )

    @property
    def has_surplus(self) -> bool:
        """Whether bytes were read beyond the end of the last answer."""
        return bool(self._protocol.trailing_data[0])

    def idle_fault(self) -> connection_policy.CloseReason | None:
        """Return why an idle connection cannot be used, if it cannot."""
        try:
            content = self._socket.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return None
        except OSError:
            return _Reason.CLOSED_BY_UPSTREAM
        return _Reason.SURPLUS if content else _Reason.CLOSED_BY_UPSTREAM

    def begin_next(self) -> None:
        """Prepare for the next request, after a whole answer."""
        self._protocol.start_next_cycle()

    async def send(
        self,
        method: str,
        target: str,
        headers: http.RawHeaders,
        body: bytes,
        timeout_seconds: float,
    ) -> None:
        """Send a request as a whole.

        :param timeout_seconds: maximum time of each write.
        :raises h11.LocalProtocolError: if it cannot be expressed; nothing was
            sent.
        :raises TimeoutError: if a write takes too long.
        """
        content = self._encode(method, target, headers, body)
        self._was_sent_at_once = True
        remaining = memoryview(content)
        try:
            while True:
                try:
                    sent_bytes = self._socket.send(remaining)
                except BlockingIOError:
                    sent_bytes = 0
                remaining = remaining[sent_bytes:]
                if not remaining:
                    return
                self._was_sent_at_once = False
                with anyio.fail_after(timeout_seconds):
                    await anyio.wait_writable(self._socket)
        except TimeoutError:
            raise
        except OSError:
            # The upstream may have answered before it closed the connection.
            self._was_sent_at_once = False

    async def read_head(self, timeout_seconds: float) -> Head:
        """Read status and headers of the answer.

        :param timeout_seconds: maximum time of each read.
        :raises TimeoutError: if nothing arrives in time.
        :raises ConnectionError: if the connection is lost, or if more than
            ``MAX_INTERIM_RESPONSES`` come before the answer.
        """
        for _ in range(MAX_INTERIM_RESPONSES + 1):
            event = await self._next_event(timeout_seconds)
            if isinstance(event, h11.Response):
                return Head(event.status_code, list(event.headers.raw_items()))
        raise ConnectionError("too many interim responses")

    async def chunks(
        self, timeout_seconds: float
    ) -> typing.AsyncIterator[bytes]:
        """Yield the body of the answer as it arrives.

        :param timeout_seconds: maximum time of each read.
        :raises TimeoutError: if nothing arrives in time.
        :raises ConnectionError: if it ends early.
        """
        while True:
            event = await self._next_event(timeout_seconds)
            if isinstance(event, h11.Data):
                yield bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                return

    def close(self) -> None:
        """Close the connection; does not wait."""
        self._socket.close()

    def _encode(
        self, method: str, target: str, headers: http.RawHeaders, body: bytes
    ) -> bytes:
        parts = [
            self._protocol.send(
                h11.Request(method=method, target=target, headers=headers)
            )
        ]
        if body:
            parts.append(self._protocol.send(h11.Data(data=body)))
        parts.append(self._protocol.send(h11.EndOfMessage()))
        return b"".join(part for part in parts if part)

    async def _next_event(self, timeout_seconds: float) -> h11.Event:
        try:
            while True:
                event = self._protocol.next_event()
                if isinstance(event, h11.Event):
                    return event
                if event is not h11.NEED_DATA:
                    raise ConnectionError("the connection is at its end")
                content = await self._receive(timeout_seconds)
                self._protocol.receive_data(content)
        except h11.RemoteProtocolError as error:
            raise ConnectionError(str(error)) from error

    async def _receive(self, timeout_seconds: float) -> bytes:
        with anyio.fail_after(timeout_seconds):
            while True:
                await anyio.wait_readable(self._socket)
                try:
                    return self._socket.recv(READ_BYTES)
                except BlockingIOError:
                    continue


async def connect(
    address: instances.Address, timeout_seconds: float
) -> Connection:
    """Open a connection.

    :raises InstanceGone: if the connection is refused.
    :raises CrowdeckError: ``UPSTREAM_LOST`` if it cannot be opened in time.
    """
    family = socket.AF_INET6 if ":" in address.host else socket.AF_INET
    try:
        with contextlib.ExitStack() as stack:
            new_socket = stack.enter_context(
                socket.socket(family, socket.SOCK_STREAM)
            )
            with anyio.fail_after(timeout_seconds):
                await _connect(new_socket, address)
            stack.pop_all()
    except ConnectionRefusedError:
        raise errors.InstanceGone(
            "the upstream was lost (connection refused)"
        ) from None
    except OSError as error:
        raise http.upstream_lost(error, verdicts.Verdict.NOT_RUN) from None
    return Connection(new_socket)


async def _connect(
    new_socket: socket.socket, address: instances.Address
) -> None:
    new_socket.setblocking(False)
    new_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    code = new_socket.connect_ex((address.host, address.port))
    if code == errno.EINPROGRESS:
        await anyio.wait_writable(new_socket)
        code = new_socket.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
    if code:
        raise OSError(code, os.strerror(code))
