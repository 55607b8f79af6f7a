# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""HTTP client over httpcore; its errors say whether a request may have run."""

import contextlib
import enum
import ssl
import typing

import anyio
import attrs
import httpcore

from crowdeck import chain
from crowdeck import errors
from crowdeck import header as http_header
from crowdeck import upstream
from crowdeck import verdict as verdicts

CONNECT_TIMEOUT_SECONDS = 1.0
CONNECTION_LIMIT = 64
KEEPALIVE_SECONDS = 2.0
RESPONSE_LIMIT_BYTES = 4 * 1024 * 1024
# HTTP libraries refuse lengths of more digits.
MAX_LENGTH_DIGITS = 20
# Larger responses hold up other bytes for longer than upstreams may be silent:
# this much takes 26 ms of a link of 20 Mbit/s.
LARGE_BYTES = 64 * 1024
# After a large response, what waited behind it arrives within this time.
DOWNLOAD_SETTLE_SECONDS = 0.1
# A response may take longer than its timeout by what its body takes at this
# rate, which a narrow link that several share still has.
MIN_BODY_BYTES_PER_SECOND = 1024 * 1024
# Hop-by-hop headers, and those that each hop sets itself.
HOP_BY_HOP_HEADERS = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "host",
    }
)

_NOT_SENT = (
    httpcore.ConnectError,
    httpcore.ConnectTimeout,
    httpcore.PoolTimeout,
    httpcore.UnsupportedProtocol,
    httpcore.LocalProtocolError,
)
_MAY_BE_SENT = (
    httpcore.NetworkError,
    httpcore.TimeoutException,
    httpcore.ProtocolError,
)


RawHeaders = list[tuple[bytes, bytes]]

# httpcore's name for the moment in which it begins to send a request.
_SEND_EVENT = "http11.send_request_headers.started"


class ExchangeKind(enum.StrEnum):
    """What a request is to its upstream.

    :ivar REPORT: asks for a report; it changes nothing.
    :ivar STREAM: a request for a stream that may be resumed.
    :ivar CALL: an idempotent call of a plain service.
    :ivar SINGLE: a request that must not run twice.
    :ivar ORDER: an order, which may have been taken without an answer.
    """

    REPORT = "report"
    STREAM = "stream"
    CALL = "call"
    SINGLE = "single"
    ORDER = "order"


@attrs.frozen
class Exchange:
    """One request to an upstream.

    :ivar id_header: header with the request's id, which the answer repeats;
        with an empty id, the answer has none. ``None`` if that is not known.
    """

    upstream: chain.Upstream
    kind: ExchangeKind
    method: str
    target: str
    headers: RawHeaders
    body: bytes
    id_header: tuple[bytes, bytes] | None = None


@attrs.frozen
class Timeouts:
    """Timeouts of one call.

    :ivar connect_seconds: maximum time until a connection is open.
    :ivar read_seconds: maximum time from sending the request to the end of
        the head of its response, and of one read or write after it. A body
        that is read whole has to arrive by then too; each of its bytes adds
        its time at ``MIN_BODY_BYTES_PER_SECOND``.
    """

    connect_seconds: float
    read_seconds: float

    def as_extension(self) -> dict[str, float]:
        """Return the timeouts as httpcore's request extension."""
        return {
            "connect": self.connect_seconds,
            "pool": self.connect_seconds,
            "read": self.read_seconds,
            "write": self.read_seconds,
        }


class LargeDownloads:
    """Large responses that are being read, which fill a narrow link.

    Whatever else arrives at the instance waits behind them, so that its
    upstreams seem silent.
    """

    def __init__(self) -> None:
        self._count = 0
        self._ended_at = float("-inf")

    @property
    def fill_link(self) -> bool:
        """Whether other bytes may be held up behind a large response."""
        if self._count:
            return True
        return anyio.current_time() - self._ended_at < DOWNLOAD_SETTLE_SECONDS

    def begin(self) -> None:
        """Note that a response turned out to be large."""
        self._count += 1

    def end(self) -> None:
        """Note that a large response was read or given up."""
        self._count -= 1
        self._ended_at = anyio.current_time()


class OpenResponse:
    """A response whose head has arrived and whose body may be incomplete.

    :param deadline: loop time by which :meth:`read` has to end, without the
        time of the body's bytes.
    """

    def __init__(
        self,
        status: int,
        headers: RawHeaders,
        content: typing.AsyncIterable[bytes],
        deadline: float = float("inf"),
    ) -> None:
        self._status = status
        self._headers = headers
        self._content = content
        self._deadline = deadline

    @property
    def status(self) -> int:
        """The status code."""
        return self._status

    @property
    def headers(self) -> RawHeaders:
        """Headers in order, with names as they were sent."""
        return self._headers

    @property
    def _declared_bytes(self) -> int:
        """Size of the body by its header, 0 if there is none."""
        length = self.find(b"content-length")
        if not length.isdigit() or len(length) > MAX_LENGTH_DIGITS:
            return 0
        return int(length)

    def find(self, name: bytes) -> bytes:
        """Return a header's value by its lower-case name, empty if absent."""
        for key, value in self._headers:
            if key.lower() == name:
                return value
        return b""

    async def chunks(self) -> typing.AsyncIterator[bytes]:
        """Yield the body as it arrives.

        Only the pauses in it are bounded: a stream may go on for as long as
        its reader wants.

        :raises CrowdeckError: ``UPSTREAM_LOST`` when it ends early.
        """
        try:
            async for chunk in self._content:
                yield chunk
        except _MAY_BE_SENT as error:
            raise upstream_lost(error, verdicts.Verdict.MAY_HAVE_RUN) from None

    async def read(
        self,
        limit_bytes: int,
        downloads: LargeDownloads | None = None,
    ) -> bytes:
        """Return the whole body.

        :param downloads: is told of a large body.
        :raises CrowdeckError: ``UPSTREAM_LOST`` when it ends early or takes
            too long, ``TOO_LARGE`` beyond ``limit_bytes``.
        """
        if self._declared_bytes > limit_bytes:
            raise _too_large_error(limit_bytes)
        try:
            with anyio.fail_after(None) as scope:
                scope.deadline = self._deadline
                return await self._read(limit_bytes, downloads, scope)
        except TimeoutError as error:
            raise upstream_lost(error, verdicts.Verdict.MAY_HAVE_RUN) from None

    async def _read(
        self,
        limit_bytes: int,
        downloads: LargeDownloads | None,
        scope: anyio.CancelScope,
    ) -> bytes:
        body = bytearray()
        with contextlib.ExitStack() as stack:
            async for chunk in self.chunks():
                was_large = len(body) > LARGE_BYTES
                body += chunk
                scope.deadline += len(chunk) / MIN_BODY_BYTES_PER_SECOND
                if len(body) > limit_bytes:
                    raise _too_large_error(limit_bytes)
                is_large = len(body) > LARGE_BYTES
                if downloads is not None and is_large and not was_large:
                    downloads.begin()
                    stack.callback(downloads.end)
        return bytes(body)


class ReusingClient(typing.Protocol):
    """Sends requests to upstreams, on connections used before where safe."""

    def open(
        self, exchange: Exchange, timeouts: Timeouts
    ) -> contextlib.AbstractAsyncContextManager[OpenResponse]:
        """Send a request and yield its response once the head arrives.

        :raises KeptConnectionFailed: if it was sent on a kept connection
            that gave no answer to it.
        :raises CrowdeckError: ``UPSTREAM_LOST``, with the verdict.
        """
        ...


class _HeadLimit:
    """Bounds the time from sending a request to the head of its response.

    Connecting has a timeout of its own, after which nothing was sent.
    """

    def __init__(self, scope: anyio.CancelScope, seconds: float) -> None:
        self._scope = scope
        self._seconds = seconds

    @property
    def deadline(self) -> float:
        """Loop time by which the head has to arrive."""
        return self._scope.deadline

    async def observe(self, event: str, _: typing.Any) -> None:
        """Take an event of httpcore's trace extension."""
        if event == _SEND_EVENT:
            self._scope.deadline = anyio.current_time() + self._seconds


@contextlib.contextmanager
def _head_timeout(seconds: float) -> typing.Iterator[_HeadLimit]:
    try:
        with anyio.fail_after(None) as scope:
            yield _HeadLimit(scope, seconds)
    except TimeoutError as error:
        raise upstream_lost(error, verdicts.Verdict.MAY_HAVE_RUN) from None


class HttpClient:
    """Sends requests; errors carry a verdict on whether they may have run.

    :param base_url: prefix of every path; empty if paths are whole URLs.
    :param keep_alive: whether connections are reused. Without reuse each
        request needs a handshake, but cannot fail because the server closes
        an idle connection, nor receive the rest of an earlier answer.
    :param connection_limit: maximum number of open connections.
    :param downloads: is told of large responses to :meth:`send`.
    """

    def __init__(
        self,
        base_url: str,
        ssl_context: ssl.SSLContext | None = None,
        *,
        keep_alive: bool = True,
        connection_limit: int = CONNECTION_LIMIT,
        downloads: LargeDownloads | None = None,
    ) -> None:
        self._downloads = downloads
        self._base_url = base_url.rstrip("/")
        self._pool = httpcore.AsyncConnectionPool(
            ssl_context=ssl_context,
            max_connections=connection_limit,
            max_keepalive_connections=None if keep_alive else 0,
            # Callers decide on retries by verdict; the library's own would
            # hide whether a request may have run.
            retries=0,
            # Shorter than the keep-alive timeouts of servers, as a request on
            # a connection that the server closes has an unknown outcome.
            keepalive_expiry=KEEPALIVE_SECONDS,
        )

    @contextlib.asynccontextmanager
    async def open(
        self,
        method: str,
        path: str,
        headers: RawHeaders,
        body: bytes,
        timeouts: Timeouts,
    ) -> typing.AsyncIterator[OpenResponse]:
        """Send one request and yield its response once the head arrives.

        :raises CrowdeckError: ``UPSTREAM_LOST``, with the verdict.
        """
        try:
            async with contextlib.AsyncExitStack() as stack:
                with _head_timeout(timeouts.read_seconds) as limit:
                    response = await stack.enter_async_context(
                        self._pool.stream(
                            method,
                            _parse_url(self._base_url + path),
                            headers=headers,
                            content=body,
                            extensions={
                                "timeout": timeouts.as_extension(),
                                "trace": limit.observe,
                            },
                        )
                    )
                yield OpenResponse(
                    response.status,
                    response.headers,
                    response.aiter_stream(),
                    limit.deadline,
                )
        except _NOT_SENT as error:
            if _is_refused(error):
                raise errors.InstanceGone(
                    "the upstream was lost (connection refused)"
                ) from None
            raise upstream_lost(error, verdicts.Verdict.NOT_RUN) from None
        except _MAY_BE_SENT as error:
            raise upstream_lost(error, verdicts.Verdict.MAY_HAVE_RUN) from None

    async def send(
        self,
        method: str,
        path: str,
        headers: RawHeaders,
        body: bytes,
        timeout_seconds: float,
    ) -> upstream.ServiceResponse:
        """Send one request and read its whole response.

        :param timeout_seconds: maximum time from sending the request to the
            end of its response, as in :class:`Timeouts`, and of connecting if
            that is below ``CONNECT_TIMEOUT_SECONDS``.
        :raises CrowdeckError: ``UPSTREAM_LOST``, with the verdict, or
            ``TOO_LARGE`` beyond ``RESPONSE_LIMIT_BYTES``.
        """
        timeouts = Timeouts(
            min(CONNECT_TIMEOUT_SECONDS, timeout_seconds), timeout_seconds
        )
        async with self.open(
            method, path, headers, body, timeouts
        ) as response:
            content = await response.read(
                RESPONSE_LIMIT_BYTES, self._downloads
            )
            return upstream.ServiceResponse(
                response.status, _decode(response.headers), content
            )

    async def close_idle(self) -> None:
        """Close the connections that no request uses.

        After a call that got no answer, they may be silent too: the next
        call should use a new connection.
        """
        for connection in self._pool.connections:
            if connection.is_idle():
                await connection.aclose()

    async def close(self) -> None:
        """Close all connections."""
        await self._pool.aclose()


def _too_large_error(limit_bytes: int) -> errors.CrowdeckError:
    return errors.CrowdeckError(
        errors.Code.TOO_LARGE,
        f"the upstream's answer is over {limit_bytes} bytes",
        verdict=verdicts.Verdict.RAN,
    )


def _parse_url(text: str) -> httpcore.URL:
    """Return a URL whose path and query are sent unchanged.

    httpcore's own parser drops the parameters of the last path segment.
    """
    scheme, _, rest = text.partition("://")
    authority, slash, target = rest.partition("/")
    server = httpcore.URL(f"{scheme}://{authority}")
    return httpcore.URL(
        scheme=server.scheme,
        host=server.host,
        port=server.port,
        target=(slash + target).encode("latin-1") or b"/",
    )


def _decode(headers: RawHeaders) -> tuple[http_header.Header, ...]:
    return tuple(
        http_header.Header(
            name.decode("latin-1").lower(), value.decode("latin-1")
        )
        for name, value in headers
    )


def _is_refused(error: BaseException) -> bool:
    """Whether the connection was refused.

    httpcore raises its own error, with the ``ConnectionRefusedError`` as a
    direct or indirect cause.
    """
    cause: BaseException | None = error
    while cause is not None:
        if isinstance(cause, ConnectionRefusedError):
            return True
        cause = cause.__cause__ or cause.__context__
    return False


def upstream_lost(
    error: Exception, verdict: verdicts.Verdict
) -> errors.CrowdeckError:
    """Return the error of a request whose upstream was lost."""
    return errors.CrowdeckError(
        errors.Code.UPSTREAM_LOST,
        f"the upstream was lost ({type(error).__name__})",
        verdict=verdict,
    )
