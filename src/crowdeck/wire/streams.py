# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Accepted TCP streams of links, bounded until the remote end has greeted."""

import asyncio
import typing

import anyio

from crowdeck.observe import counters
from crowdeck.observe import logs
from crowdeck.serving import account as accounts

# A greeting takes some hundred bytes. Cap'n Proto would otherwise read a
# message of tens of megabytes from anybody.
MAX_GREETING_BYTES = 16 * 1024


class LinkStream(asyncio.BufferedProtocol):
    """Passes the bytes of an accepted connection on to Cap'n Proto.

    :ivar inner: Cap'n Proto's protocol; set before the connection is made.
    """

    def __init__(self, listener_account: accounts.ListenerAccount) -> None:
        self.inner: typing.Any = None
        self._account = listener_account
        self._transport: asyncio.Transport | None = None
        self._byte_count = 0
        self._is_limited = True
        self._began_at = 0.0

    @property
    def spare_bytes(self) -> int:
        """Bytes that :meth:`shed` would release."""
        return 0

    @property
    def began_at(self) -> float:
        """Loop time at which the connection was made."""
        return self._began_at

    def lift_limit(self) -> None:
        """Note that the remote end has greeted."""
        self._is_limited = False
        self._account.begin_service(self)

    def shed(self) -> None:
        """Release nothing, as no bytes are held before the greeting."""

    def end(self) -> None:
        """Close the connection, whose remote end has not greeted."""
        counters.COUNTERS.add("link.closed.ended")
        if self._transport is not None:
            self._transport.abort()

    def connection_made(  # type: ignore[override]
        self, transport: asyncio.Transport
    ) -> None:
        """Begin to wait for a greeting."""
        self._transport = transport
        self._began_at = anyio.current_time()
        self._account.add(self)
        self.inner.connection_made(transport)

    def connection_lost(self, exc: Exception | None) -> None:
        """Tell Cap'n Proto of the end."""
        self._account.remove(self)
        self.inner.connection_lost(exc)

    def get_buffer(self, sizehint: int) -> typing.Any:
        """Return the buffer to read into."""
        return self.inner.get_buffer(sizehint)

    def buffer_updated(self, nbytes: int) -> None:
        """Pass bytes on, unless they are no greeting."""
        self._byte_count += nbytes
        if self._is_limited and self._byte_count > MAX_GREETING_BYTES:
            counters.COUNTERS.add("link.closed.no_greeting")
            logs.change("link_without_greeting", bytes=self._byte_count)
            assert self._transport is not None, "the connection is made"
            self._transport.abort()
            return
        self.inner.buffer_updated(nbytes)

    def eof_received(self) -> typing.Any:
        """Pass the end of the bytes on."""
        return self.inner.eof_received()

    def pause_writing(self) -> None:
        """Stop writing."""
        self.inner.pause_writing()

    def resume_writing(self) -> None:
        """Write again."""
        self.inner.resume_writing()
