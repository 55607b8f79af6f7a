# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""The memory and the connections that clients of a process may hold.

One account bounds them for the whole process, whatever each request or
connection may hold by itself. When the account is spent, what has cost the
most and is least likely to be an ordinary client's is given up first.
"""

import collections
import typing

import anyio
import attrs

from crowdeck.observe import counters
from crowdeck.observe import logs

# Of a machine whose limits are not known.
MEMORY_MB = 300
FILE_DESCRIPTORS = 4_096
# Part of the machine's memory that clients may hold. The rest is for the
# program, what it knows of the fleet, and the allocator's overhead.
CLIENT_MEMORY_SHARE = 0.5
# Part of that for connections as such; the rest is for bytes.
CONNECTION_MEMORY_SHARE = 0.5
# An accepted connection: its objects, a request in progress, and unread bytes
# in its socket.
CONNECTION_BYTES = 40 * 1024
# asyncio allocates a buffer of 256 KiB for each TLS connection.
TLS_CONNECTION_BYTES = 360 * 1024
# Descriptors that are kept for files.
FILE_DESCRIPTORS_RESERVE = 200
# Part of the others that is kept for connections to upstreams, the store and
# other processes.
OUTGOING_SHARE = 0.25
# Part of the capacity that is made free at once, so that clients that go on
# sending do not cause a search with every byte.
ROOM_SHARE = 0.125


class Connection(typing.Protocol):
    """A client's connection, as the account sees it."""

    @property
    def spare_bytes(self) -> int:
        """Bytes that :meth:`shed` would release."""
        ...

    @property
    def began_at(self) -> float:
        """Loop time from which it has held them."""
        ...

    def shed(self) -> None:
        """Release the bytes, and refuse the request that holds them.

        Requests that are being served are not affected.
        """
        ...

    def end(self) -> None:
        """Close the connection, on which no request is being served."""
        ...


@attrs.frozen
class AccountSize:
    """What all clients of a process may hold together."""

    byte_count: int
    connection_count: int


def size_for(
    memory_mb: float = MEMORY_MB,
    file_descriptors: int = FILE_DESCRIPTORS,
    *,
    has_tls: bool = False,
) -> AccountSize:
    """Return the size of an account from the limits of the machine."""
    total_bytes = int(CLIENT_MEMORY_SHARE * memory_mb * 2**20)
    connection_bytes = TLS_CONNECTION_BYTES if has_tls else CONNECTION_BYTES
    sockets = max(0, file_descriptors - FILE_DESCRIPTORS_RESERVE)
    connection_count = min(
        int((1.0 - OUTGOING_SHARE) * sockets),
        int(CONNECTION_MEMORY_SHARE * total_bytes) // connection_bytes,
    )
    return AccountSize(
        total_bytes - connection_count * connection_bytes,
        max(1, connection_count),
    )


class Account:
    """What the clients of one process hold, over all of its listeners."""

    def __init__(self, size: AccountSize) -> None:
        self._size = size
        self._held_bytes = 0
        self._listeners: list[ListenerAccount] = []

    @property
    def size(self) -> AccountSize:
        """What clients may hold."""
        return self._size

    @property
    def held_bytes(self) -> int:
        """Bytes that clients hold."""
        return self._held_bytes

    def open_listener(
        self, name: str, share: float = 1.0
    ) -> "ListenerAccount":
        """Return the account of another listener.

        :param name: part of the names of its counters.
        :param share: its part of the connections of the process. Those of
            other listeners are not closed for its own.
        """
        count = max(1, int(share * self._size.connection_count))
        listener = ListenerAccount(self, name, count)
        self._listeners.append(listener)
        return listener

    def take(self, byte_count: int, own_bytes: int = 0) -> bool:
        """Hold more bytes, if necessary in place of other clients' bytes.

        The client that asks may be one of those that are refused for it,
        unless the others hold little: the largest request that the config
        allows may take more than the account has.

        :param own_bytes: bytes that the client that asks holds already.
        :return: whether they are held.
        """
        others_bytes = self._held_bytes - own_bytes
        has_room = self._has_room_for(byte_count)
        if not has_room and others_bytes > ROOM_SHARE * self._size.byte_count:
            self._make_room(byte_count)
            has_room = self._has_room_for(byte_count)
            if not has_room:
                counters.COUNTERS.add("clients.bytes_spent")
                return False
        self._held_bytes += byte_count
        return True

    def _has_room_for(self, byte_count: int) -> bool:
        return self._held_bytes + byte_count <= self._size.byte_count

    def give_back(self, byte_count: int) -> None:
        """Release bytes."""
        self._held_bytes -= byte_count
        assert self._held_bytes >= 0, "more bytes were released than held"

    def _make_room(self, byte_count: int) -> None:
        """Let clients shed bytes, those first that cost the most.

        The cost is the product of bytes and time: an ordinary request holds
        few bytes, or holds them for a short time.
        """
        now = anyio.current_time()
        holders = [
            connection
            for listener in self._listeners
            for connection in listener.connections
            if connection.spare_bytes
        ]
        holders.sort(
            key=lambda holder: -holder.spare_bytes * (now - holder.began_at)
        )
        wanted_bytes = (1.0 - ROOM_SHARE) * self._size.byte_count - byte_count
        shed_count = 0
        for holder in holders:
            if self._held_bytes <= wanted_bytes:
                break
            holder.shed()
            shed_count += 1
        counters.COUNTERS.add("clients.shed", shed_count)
        logs.change(
            "clients_shed",
            connections=shed_count,
            of=len(holders),
            held_bytes=self._held_bytes,
            limit_bytes=self._size.byte_count,
        )


class ListenerAccount:
    """The connections of one listener.

    Connections that are not being served are kept in the order in which
    their clients were last answered, or connected. The first of them is
    closed for a new one when there are too many.
    """

    def __init__(
        self, account: Account, name: str, connection_count: int
    ) -> None:
        self._account = account
        self._name = name
        self._connection_limit = connection_count
        self._open_count = 0
        self._connections: set[Connection] = set()
        self._unserved: collections.OrderedDict[Connection, None] = (
            collections.OrderedDict()
        )

    @property
    def account(self) -> Account:
        """The account of the process."""
        return self._account

    @property
    def connections(self) -> typing.Collection[Connection]:
        """All connections that were added."""
        return self._connections

    @property
    def open_count(self) -> int:
        """Number of accepted sockets that are open."""
        return self._open_count

    def accept(self) -> bool:
        """Count an accepted socket, if necessary in place of another.

        :return: whether it may stay open.
        """
        if self._open_count >= self._connection_limit:
            counters.COUNTERS.add(f"clients.{self._name}.full")
            logs.change(
                "connections_full",
                listener=self._name,
                limit=self._connection_limit,
                unserved=len(self._unserved),
            )
            if not self._end_oldest():
                return False
        self._open_count += 1
        return True

    def release(self) -> None:
        """Count the close of an accepted socket."""
        self._open_count -= 1

    def add(self, connection: Connection) -> None:
        """Add a connection, on which no request is being served yet."""
        self._connections.add(connection)
        self._unserved[connection] = None

    def remove(self, connection: Connection) -> None:
        """Remove a connection that is closed."""
        self._connections.discard(connection)
        self._unserved.pop(connection, None)

    def begin_service(self, connection: Connection) -> None:
        """Note that a whole request was read: it is not closed for others."""
        self._unserved.pop(connection, None)

    def end_service(self, connection: Connection) -> None:
        """Note that its request was answered, or that it does not read."""
        if connection in self._connections:
            self._unserved.setdefault(connection)

    def _end_oldest(self) -> bool:
        if not self._unserved:
            return False
        connection, _ = self._unserved.popitem(last=False)
        connection.end()
        return True


class Holding:
    """Bytes that one request holds, from its first byte to its answer."""

    def __init__(self, account: Account) -> None:
        self._account = account
        self._byte_count = 0
        self._is_released = False

    @property
    def byte_count(self) -> int:
        """Bytes that are held."""
        return self._byte_count

    def grow(self, byte_count: int) -> bool:
        """Hold more bytes.

        :return: whether they are held; if not, the request is refused.
        """
        if not self._account.take(byte_count, self._byte_count):
            return False
        if self._is_released:
            # Taking them made this request shed what it held.
            self._account.give_back(byte_count)
            return False
        self._byte_count += byte_count
        return True

    def release(self) -> None:
        """Release all bytes; releasing them twice has no further effect."""
        self._account.give_back(self._byte_count)
        self._byte_count = 0
        self._is_released = True
