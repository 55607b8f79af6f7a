# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""HTTP client that uses connections to upstreams again where it is safe."""

import contextlib
import re
import typing

import anyio
import h11

from crowdeck import connection as connections
from crowdeck import errors
from crowdeck import http
from crowdeck import kept_connections
from crowdeck.observe import counters
from crowdeck.routing import connection_policy
from crowdeck import verdict as verdicts

_KEEP_ALIVE = b"keep-alive"
_SECONDS = re.compile(rb"^\s*(?:timeout\s*=\s*)?(\d{1,6})\s*$")
_Reason = connection_policy.CloseReason
_NOT_RUN = verdicts.Verdict.NOT_RUN
_MAY_HAVE_RUN = verdicts.Verdict.MAY_HAVE_RUN


class _Use:
    """The use of a connection by one exchange.

    :ivar has_failed: whether a kept connection was lost before an answer.
    :ivar rested_seconds: how long a kept connection was idle, ``None`` for a
        fresh one.
    """

    def __init__(
        self,
        exchange: http.Exchange,
        connection: connections.Connection,
        timeouts: http.Timeouts,
        rested_seconds: float | None,
    ) -> None:
        self._exchange = exchange
        self._connection = connection
        self._timeouts = timeouts
        self.rested_seconds = rested_seconds
        self._head: connections.Head | None = None
        self.has_failed = False

    @property
    def connection(self) -> connections.Connection:
        """The connection in use."""
        return self._connection

    @property
    def has_answer(self) -> bool:
        """Whether the head of an answer was read."""
        return self._head is not None

    @property
    def keep_alive_seconds(self) -> float | None:
        """The idle time that the upstream states, if any."""
        if self._head is None:
            return None
        for part in self._head.find(_KEEP_ALIVE).split(b","):
            found = _SECONDS.match(part)
            if found:
                return float(found.group(1))
        return None

    async def read_head(self) -> http.OpenResponse:
        """Send the request and return the answer, its body unread."""
        exchange = self._exchange
        timeout_seconds = self._timeouts.read_seconds
        deadline = anyio.current_time() + timeout_seconds
        with self._mapping_errors(), anyio.fail_after(timeout_seconds):
            await self._connection.send(
                exchange.method,
                exchange.target,
                _complete_headers(exchange),
                exchange.body,
                timeout_seconds,
            )
            head = self._head = await self._connection.read_head(
                timeout_seconds
            )
        if self.rested_seconds is not None and not self._has_own_id(head):
            raise errors.KeptConnectionFailed(
                "the answer has the id of another request"
            )
        return http.OpenResponse(
            head.status, head.headers, self._chunks(), deadline
        )

    def completion(self) -> connection_policy.Completion | None:
        """Return how the exchange ended, ``None`` without an answer."""
        head, connection = self._head, self._connection
        if head is None:
            return None
        has_own_id = self._has_own_id(head)
        has_length = bool(head.find(b"content-length"))
        has_chunks = bool(head.find(b"transfer-encoding"))
        return connection_policy.Completion(
            status=head.status,
            is_whole=connection.is_whole,
            has_own_id=has_own_id,
            has_foreign_id=not has_own_id and self.rested_seconds is not None,
            is_framed=has_length != has_chunks,
            requests_close=connection.requests_close,
            was_sent_at_once=connection.was_sent_at_once,
            has_surplus=connection.is_whole and connection.has_surplus,
        )

    def _has_own_id(self, head: connections.Head) -> bool:
        if self._exchange.id_header is None:
            return False
        name, value = self._exchange.id_header
        return head.find(name) == value

    async def _chunks(self) -> typing.AsyncIterator[bytes]:
        with self._mapping_errors():
            async for chunk in self._connection.chunks(
                self._timeouts.read_seconds
            ):
                yield chunk

    @contextlib.contextmanager
    def _mapping_errors(self) -> typing.Iterator[None]:
        """Note a loss, and tell losses of kept connections apart.

        Silence is no sign of a failed connection: it is not worth a second
        try, which would double the time until the silence is noticed.
        """
        try:
            yield
        except h11.LocalProtocolError as error:
            raise http.upstream_lost(error, _NOT_RUN) from None
        except TimeoutError as error:
            raise http.upstream_lost(error, _MAY_HAVE_RUN) from None
        except OSError as error:
            if self.rested_seconds is not None and not self.has_answer:
                self.has_failed = True
                raise errors.KeptConnectionFailed(
                    f"a kept connection was lost ({type(error).__name__})"
                ) from None
            raise http.upstream_lost(error, _MAY_HAVE_RUN) from None


class ReusingClient:
    """Sends requests to upstreams, on kept connections where it is safe.

    :param connection_limit: maximum number of open connections.
    """

    def __init__(
        self,
        policy: connection_policy.ConnectionPolicy,
        connection_limit: int,
    ) -> None:
        self._policy = policy
        self._in_use = anyio.Semaphore(connection_limit)
        self.kept: kept_connections.KeptConnections[connections.Connection] = (
            kept_connections.KeptConnections(policy)
        )

    @contextlib.asynccontextmanager
    async def open(
        self, exchange: http.Exchange, timeouts: http.Timeouts
    ) -> typing.AsyncIterator[http.OpenResponse]:
        """Send a request and yield its answer once the head has arrived.

        :raises KeptConnectionFailed: if it was sent on a kept connection
            that gave no answer to it. The next request to the instance uses
            a fresh connection.
        :raises CrowdeckError: ``UPSTREAM_LOST``, with the verdict.
        """
        name = exchange.upstream.name
        await self._acquire(timeouts.connect_seconds)
        try:
            use = await self._begin(exchange, timeouts)
            is_finished = False
            try:
                yield await use.read_head()
                is_finished = True
            finally:
                self._end(name, use, is_finished=is_finished)
        finally:
            self._in_use.release()

    def close(self) -> None:
        """Close all idle connections."""
        self.kept.close_all()

    async def _acquire(self, timeout_seconds: float) -> None:
        try:
            with anyio.fail_after(timeout_seconds):
                await self._in_use.acquire()
        except TimeoutError as error:
            raise http.upstream_lost(error, _NOT_RUN) from None

    async def _begin(
        self, exchange: http.Exchange, timeouts: http.Timeouts
    ) -> _Use:
        """Return the use of a kept connection, or else of a fresh one."""
        max_rest_seconds = self._policy.max_rest_seconds(exchange.kind)
        if max_rest_seconds is not None:
            kept = self.kept.take(exchange.upstream.name, max_rest_seconds)
            if kept is not None:
                counters.COUNTERS.add(
                    f"upstream.connections.reused.{exchange.kind}"
                )
                return _Use(
                    exchange, kept.connection, timeouts, kept.rested_seconds
                )
        if self.kept.count > self._in_use.value:
            self.kept.close_oldest()
        counters.COUNTERS.add(f"upstream.connections.opened.{exchange.kind}")
        connection = await connections.connect(
            exchange.upstream.address, timeouts.connect_seconds
        )
        return _Use(exchange, connection, timeouts, None)

    def _end(self, name: str, use: _Use, *, is_finished: bool) -> None:
        """Keep the connection if it may be kept, or close it."""
        reason = self._reason_to_close(use)
        if reason is None and not is_finished:
            reason = _Reason.UNFINISHED
        if use.rested_seconds is not None and (
            use.has_answer or use.has_failed
        ):
            self._policy.note_reused(
                name, use.rested_seconds, has_failed=use.has_failed
            )
        if reason is not None:
            self.kept.discard(name, use.connection, reason)
            return
        use.connection.begin_next()
        self.kept.keep(
            name,
            use.connection,
            self._policy.idle_seconds(name, use.keep_alive_seconds),
        )

    def _reason_to_close(
        self, use: _Use
    ) -> connection_policy.CloseReason | None:
        if use.has_failed:
            return _Reason.FAILED
        completion = use.completion()
        if completion is None:
            return _Reason.UNFINISHED
        return self._policy.reason_to_close(completion)


def _complete_headers(exchange: http.Exchange) -> http.RawHeaders:
    headers = list(exchange.headers)
    names = {name.lower() for name, _ in headers}
    if b"host" not in names:
        host = str(exchange.upstream.address).encode()
        headers.insert(0, (b"Host", host))
    if b"content-length" not in names:
        length = str(len(exchange.body)).encode()
        headers.append((b"Content-Length", length))
    return headers
