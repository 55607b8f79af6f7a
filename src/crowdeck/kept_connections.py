# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""The idle connections to upstreams that are kept for further requests."""

import typing

import anyio
import attrs

from crowdeck import chain
from crowdeck.observe import counters
from crowdeck.observe import logs
from crowdeck.routing import connection_policy

# Maximum number of idle connections to all upstreams, which bounds the
# descriptors that they use.
MAX_KEPT_CONNECTIONS = 256
# Interval at which connections that may no longer be kept are closed. A
# connection is checked again before it is used.
SWEEP_SECONDS = 0.5

_Reason = connection_policy.CloseReason


class Connection(typing.Protocol):
    """A connection that can be idle."""

    def idle_fault(self) -> connection_policy.CloseReason | None:
        """Return why an idle connection cannot be used, if it cannot."""
        ...

    def close(self) -> None:
        """Close the connection; does not wait."""
        ...


ConnectionType = typing.TypeVar("ConnectionType", bound=Connection)


@attrs.frozen(eq=False)
class KeptConnection(typing.Generic[ConnectionType]):
    """An idle connection; times are event loop times."""

    connection: ConnectionType
    since: float
    expires_at: float

    @property
    def rested_seconds(self) -> float:
        """Seconds since its last use ended."""
        return anyio.current_time() - self.since


class KeptConnections(typing.Generic[ConnectionType]):
    """Idle connections by the name of their instance."""

    def __init__(self, policy: connection_policy.ConnectionPolicy) -> None:
        self._policy = policy
        # The connection that was used last is at the end.
        self._idle: dict[str, list[KeptConnection[ConnectionType]]] = {}
        self._count = 0

    @property
    def count(self) -> int:
        """Number of idle connections."""
        return self._count

    def take(
        self, name: str, max_rest_seconds: float
    ) -> KeptConnection[ConnectionType] | None:
        """Return a sound idle connection to an instance, if there is one.

        :param max_rest_seconds: the longest time that it may have been idle.
        """
        if not self._policy.idle_limit(name):
            self.close_instance(name, _Reason.UNUSABLE)
            return None
        now = anyio.current_time()
        while kept := self._idle.get(name):
            idle = kept[-1]
            if idle.expires_at <= now:
                self._remove(name, idle, _Reason.EXPIRED)
                continue
            if idle.rested_seconds > max_rest_seconds:
                return None
            fault = idle.connection.idle_fault()
            if fault is not None:
                self._remove(name, idle, fault)
                if not self._policy.idle_limit(name):
                    self.close_instance(name, fault)
                continue
            self._remove(name, idle, None)
            return idle
        return None

    def keep(
        self, name: str, connection: ConnectionType, seconds: float
    ) -> None:
        """Keep a connection for ``seconds``, or close it if that is too many.

        The connection that was idle longest is closed if the total is too
        high.
        """
        if len(self._idle.get(name, ())) >= self._policy.idle_limit(name):
            self.discard(name, connection, _Reason.FULL)
            return
        if self._count >= MAX_KEPT_CONNECTIONS:
            self.close_oldest()
        now = anyio.current_time()
        self._idle.setdefault(name, []).append(
            KeptConnection(connection, now, now + seconds)
        )
        self._count += 1
        self._tell_count()

    def discard(
        self,
        name: str,
        connection: ConnectionType,
        reason: connection_policy.CloseReason,
    ) -> None:
        """Close a connection that is in use.

        If that casts doubt on the instance's others, they are closed too.
        """
        connection.close()
        counters.COUNTERS.add(f"upstream.connections.closed.{reason}")
        self._policy.note_closed(name, reason)
        if name in self._idle and not self._policy.idle_limit(name):
            self.close_instance(name, reason)

    def close_oldest(self) -> None:
        """Close the connection that was idle longest, if there is any."""
        if not self._idle:
            return
        name = min(self._idle, key=lambda name: self._idle[name][0].since)
        self._remove(name, self._idle[name][0], _Reason.FULL)

    def close_instance(
        self, name: str, reason: connection_policy.CloseReason
    ) -> None:
        """Close all idle connections to an instance."""
        kept = self._idle.get(name)
        if not kept:
            return
        logs.change(
            "connections_closed",
            upstream=name,
            reason=str(reason),
            count=len(kept),
        )
        for idle in tuple(kept):
            self._remove(name, idle, reason)

    def note_ended(self, upstream: chain.Upstream) -> None:
        """Close the connections to an instance that has ended."""
        self.close_instance(upstream.name, _Reason.ENDED)

    def close_excess(self) -> None:
        """Close connections that have expired or may not be kept any more."""
        now = anyio.current_time()
        for name in tuple(self._idle):
            limit = self._policy.idle_limit(name)
            if not limit:
                self.close_instance(name, _Reason.UNUSABLE)
                continue
            kept = tuple(self._idle[name])
            for idle in kept:
                if idle.expires_at <= now:
                    self._remove(name, idle, _Reason.EXPIRED)
            for idle in tuple(self._idle.get(name, ()))[:-limit]:
                self._remove(name, idle, _Reason.FULL)

    def close_all(self) -> None:
        """Close all idle connections."""
        for name in tuple(self._idle):
            self.close_instance(name, _Reason.STOPPED)

    async def run(self) -> None:
        """Close what may not be kept any more, until cancelled."""
        while True:
            await anyio.sleep(SWEEP_SECONDS)
            self.close_excess()

    def _remove(
        self,
        name: str,
        idle: KeptConnection[ConnectionType],
        reason: connection_policy.CloseReason | None,
    ) -> None:
        """Remove a connection, and close it if there is a reason."""
        kept = self._idle[name]
        kept.remove(idle)
        if not kept:
            del self._idle[name]
        self._count -= 1
        self._tell_count()
        if reason is None:
            return
        idle.connection.close()
        counters.COUNTERS.add(f"upstream.connections.closed.{reason}")
        self._policy.note_closed(name, reason)

    def _tell_count(self) -> None:
        counters.COUNTERS.set_gauge("upstream.connections.kept", self._count)
