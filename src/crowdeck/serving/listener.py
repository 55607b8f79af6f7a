# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Listening sockets whose accepted connections are counted."""

import socket
import typing

from crowdeck.serving import account as accounts
from crowdeck.serving import sockets


# asyncio accepts as many connections at once. One that is given up for a new
# one is closed a round later, so this many more may be open for a moment.
ACCEPT_BATCH = 64


class _CountedSocket(socket.socket):
    """An accepted socket, counted until it is closed."""

    listener_account: accounts.ListenerAccount | None = None

    def close(self) -> None:
        """Close the socket."""
        super().close()
        if self.listener_account is not None:
            self.listener_account.release()
            self.listener_account = None


class CountingListener(socket.socket):
    """A listening socket that accepts as many connections as may be open.

    They are counted here, as nothing else sees them before a TLS handshake
    has ended.
    """

    listener_account: accounts.ListenerAccount

    def accept(self) -> tuple[socket.socket, typing.Any]:
        """Accept a connection.

        :raises ConnectionAbortedError: if it had to be closed at once.
        """
        accepted, address = super().accept()
        if not self.listener_account.accept():
            accepted.close()
            raise ConnectionAbortedError("too many connections are open")
        counted = _CountedSocket(fileno=accepted.detach())
        counted.listener_account = self.listener_account
        return counted, address


def counting(
    listener: socket.socket, listener_account: accounts.ListenerAccount
) -> CountingListener:
    """Return a listening socket that counts, in place of another."""
    counting_listener = CountingListener(fileno=listener.detach())
    counting_listener.setblocking(False)
    counting_listener.listener_account = listener_account
    return counting_listener


def listen(
    host: str, port: int, listener_account: accounts.ListenerAccount
) -> CountingListener:
    """Return a new listening socket that counts.

    :raises OSError: if the address is invalid or in use.
    """
    return counting(sockets.listen(host, port), listener_account)
