# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Calls to upstream instances: requests, reports and orders."""

import contextlib
import enum
import math
import typing

import orjson

from crowdeck import backpressure as pressures
from crowdeck import chain
from crowdeck import errors
from crowdeck import http
from crowdeck import json_text
from crowdeck.observe import logs
from crowdeck import pipeline
from crowdeck.platform import callers
from crowdeck.platform import names
from crowdeck.platform import upstreams
from crowdeck.relay import interfaces
from crowdeck.relay import request as requests
from crowdeck import verdict as verdicts

# Short, as an engine answers reports and orders at once, even while it serves
# requests.
CONNECT_TIMEOUT_SECONDS = 0.25
EXCHANGE_TIMEOUT_SECONDS = 0.5
_JSON_TYPE = (b"content-type", b"application/json")
_MISDIRECTED = 421
_UNAVAILABLE = 503
# HTTP servers refuse to send a higher one.
_MAX_STATUS = 599
_NOT_RUN_STATUSES = frozenset({_MISDIRECTED})
_LEAVING_VALUE = b"1"
# Longest part of an unreadable header that is logged.
_MAX_LOGGED_BYTES = 40


class UpstreamAnswer:
    """An upstream's answer whose body has not been read yet."""

    def __init__(self, response: http.OpenResponse) -> None:
        self._response = response

    @property
    def status(self) -> int:
        """The HTTP status."""
        return self._response.status

    @property
    def caller_headers(self) -> http.RawHeaders:
        """The headers that the caller gets."""
        return callers.caller_response_headers(self._response.headers)

    @property
    def has_not_run(self) -> bool:
        """Whether the upstream states that it did not run the request."""
        return self.status in _NOT_RUN_STATUSES or bool(
            self._response.find(names.NOT_EXECUTED)
        )

    @property
    def is_signed(self) -> bool:
        """Whether the answer has a signature."""
        return bool(self._response.find(names.SIGNATURE))

    @property
    def culprit(self) -> str:
        """Address of the engine that made a path fail, or an empty string."""
        return self._response.find(names.CULPRIT).decode("latin-1")

    @property
    def load(self) -> interfaces.Load | None:
        """The load that the upstream reports, if any."""
        return _load(self._response)

    def belongs_to(self, request: requests.CallerRequest) -> bool:
        """Whether this is the answer to ``request``."""
        return self._response.find(names.REQUEST_ID) == request.id.encode()

    def event_id(self, event: bytes) -> int | None:
        """Return the id of a server-sent event, or ``None`` if it has none."""
        return callers.event_id(event)

    def chunks(self) -> typing.AsyncIterator[bytes]:
        """Yield the body as it arrives."""
        return self._response.chunks()

    async def read(self, limit: int) -> bytes:
        """Return the whole body, of at most ``limit`` bytes."""
        return await self._response.read(limit)


class OrderOutcome(enum.Enum):
    """The outcome of an order.

    :ivar BEGUN: the engine accepted it and is carrying it out.
    :ivar HOLDS: the engine already holds the layers.
    :ivar REFUSED: the engine did not accept it.
    :ivar UNKNOWN: the engine may have accepted it.
    """

    BEGUN = "begun"
    HOLDS = "holds"
    REFUSED = "refused"
    UNKNOWN = "unknown"


class UpstreamClient:
    """Calls upstream instances.

    :param client: opens a connection for each call.
    :param reusing_client: used instead of ``client`` if it is given.
    """

    def __init__(
        self,
        client: http.HttpClient,
        reusing_client: http.ReusingClient | None = None,
    ) -> None:
        self._client = client
        self._reusing_client = reusing_client
        self._listeners: list[interfaces.NoticeListener] = []

    def subscribe(self, listener: interfaces.NoticeListener) -> None:
        """Call ``listener`` with the notice in the head of each answer.

        Answers with status 421 are left out, as another instance sent them.
        """
        self._listeners.append(listener)

    @contextlib.asynccontextmanager
    async def open(
        self,
        upstream: chain.Upstream,
        request: requests.CallerRequest,
        dispatch: interfaces.Dispatch,
        timeouts: http.Timeouts,
    ) -> typing.AsyncIterator[UpstreamAnswer]:
        """Send a request and yield its answer once the head has arrived.

        :raises CrowdeckError: ``UPSTREAM_LOST``, with a verdict on whether the
            request ran; ``WRONG_ANSWER`` if its status is none of HTTP.
        """
        kind = http.ExchangeKind.SINGLE
        if dispatch.may_repeat and dispatch.path is not None:
            kind = http.ExchangeKind.STREAM
        elif dispatch.may_repeat:
            kind = http.ExchangeKind.CALL
        exchange = http.Exchange(
            upstream,
            kind,
            request.method,
            request.target,
            callers.upstream_request_headers(request, upstream, dispatch),
            request.body,
            (names.REQUEST_ID, request.id.encode()),
        )
        async with self._open(exchange, timeouts) as response:
            if response.status > _MAX_STATUS:
                raise errors.CrowdeckError(
                    errors.Code.WRONG_ANSWER,
                    f"{upstream.name} answered with status {response.status}; "
                    f"expected at most {_MAX_STATUS}",
                    verdict=verdicts.Verdict.MAY_HAVE_RUN,
                    culprit=upstream.name,
                )
            self._notify(upstream, response, answers_request=True)
            yield UpstreamAnswer(response)

    async def report(self, upstream: chain.Upstream) -> chain.EngineReport:
        """Return an engine's report.

        :raises InstanceGone: if another instance or a later run answered.
        :raises KeptConnectionFailed: if it was asked for on a kept
            connection that failed; the next call uses a fresh one.
        :raises CrowdeckError: if there is no valid report.
        """
        status, body, _ = await self._exchange(
            http.ExchangeKind.REPORT,
            "GET",
            upstream,
            names.REPORT_PATH,
            b"",
        )
        if status == _MISDIRECTED:
            raise errors.InstanceGone("another instance uses its address")
        if status != 200:
            raise errors.CrowdeckError(
                errors.Code.UPSTREAM_FAILED,
                f"the engine answered a report request with status {status}; "
                "expected 200",
            )
        report = upstreams.decode_report(body)
        if report.is_from_later_run(upstream.incarnation):
            raise errors.InstanceGone("its process has restarted")
        return report

    async def place(
        self,
        upstream: chain.Upstream,
        layers: pipeline.LayerRange,
        expected_orders: int,
        fencing_token: int,
        *,
        stops_streams: bool = False,
    ) -> OrderOutcome:
        """Order an engine to hold ``layers`` and no others.

        :param expected_orders: the engine accepts the order only if it has
            accepted this many before, so that it refuses a delayed
            duplicate.
        :param stops_streams: whether to interrupt streams that use layers
            which it gives up. Otherwise it first waits for them to end.
        """
        method = names.METHOD_QUEUE
        if stops_streams:
            method = names.METHOD_TRUNCATE
        order = {
            names.OPERATION: names.PLACE,
            names.FIRST_LAYER: layers.first,
            names.END_LAYER: layers.end,
            names.METHOD: method,
            names.EXPECTED_ORDERS: expected_orders,
            names.FENCING_TOKEN: fencing_token,
        }
        try:
            status, _, _ = await self._order(upstream, order)
        except errors.CrowdeckError as error:
            if error.verdict.is_retry_safe:
                return OrderOutcome.REFUSED
            return OrderOutcome.UNKNOWN
        if status == 202:
            return OrderOutcome.BEGUN
        return OrderOutcome.HOLDS if status == 200 else OrderOutcome.REFUSED

    async def repath(
        self, head: chain.Upstream, request_id: str, path: chain.ChainPath
    ) -> interfaces.RepathOutcome:
        """Move a running request to another path.

        A call without a valid reply raises nothing: its outcome is neither
        done nor known.

        :param path: the new path, which starts with the same hop.
        """
        order = {
            names.OPERATION: names.REPATH,
            names.ID: request_id,
            names.PATH: str(path),
        }
        try:
            status, body, _ = await self._order(head, order)
        except errors.CrowdeckError:
            return interfaces.RepathOutcome(is_done=False, is_known=False)
        if status in (200, 202):
            return interfaces.RepathOutcome(is_done=True, is_known=True)
        return interfaces.RepathOutcome(
            is_done=False,
            is_known=status != 404,
            culprit=_refused_address(body),
        )

    async def _order(
        self, upstream: chain.Upstream, order: typing.Mapping[str, object]
    ) -> tuple[int, bytes, http.RawHeaders]:
        return await self._exchange(
            http.ExchangeKind.ORDER,
            "POST",
            upstream,
            names.ORDER_PATH,
            orjson.dumps(order),
        )

    async def _exchange(
        self,
        kind: http.ExchangeKind,
        method: str,
        upstream: chain.Upstream,
        path: str,
        body: bytes,
    ) -> tuple[int, bytes, http.RawHeaders]:
        headers = [(names.EXPECTED_INSTANCE, upstream.incarnation.id.encode())]
        if body:
            headers.append(_JSON_TYPE)
        id_header = None
        if (
            self._reusing_client is not None
            and kind is http.ExchangeKind.REPORT
        ):
            # Engines take an id for that of a caller's request. An answer
            # with an id belongs to an earlier request.
            id_header = (names.REQUEST_ID, b"")
        exchange = http.Exchange(
            upstream, kind, method, path, headers, body, id_header
        )
        timeouts = http.Timeouts(
            CONNECT_TIMEOUT_SECONDS, EXCHANGE_TIMEOUT_SECONDS
        )
        async with self._open(exchange, timeouts) as response:
            self._notify(upstream, response, answers_request=False)
            content = await response.read(http.RESPONSE_LIMIT_BYTES)
            return response.status, content, response.headers

    def _open(
        self, exchange: http.Exchange, timeouts: http.Timeouts
    ) -> contextlib.AbstractAsyncContextManager[http.OpenResponse]:
        if self._reusing_client is not None:
            return self._reusing_client.open(exchange, timeouts)
        return self._client.open(
            exchange.method,
            f"http://{exchange.upstream.address}{exchange.target}",
            exchange.headers,
            exchange.body,
            timeouts,
        )

    def _notify(
        self,
        upstream: chain.Upstream,
        response: http.OpenResponse,
        *,
        answers_request: bool,
    ) -> None:
        """Pass the notice in the head of an answer to the listeners.

        A misdirected request is answered by another instance, so its answer is
        ignored.
        """
        if response.status == _MISDIRECTED:
            return
        notice = interfaces.Notice(
            _backpressure(response), _load(response), answers_request
        )
        for listener in self._listeners:
            listener(upstream, notice)


def _load(response: http.OpenResponse) -> interfaces.Load | None:
    """Return the reported load, or ``None`` if missing or unreadable."""
    parts = response.find(names.LOAD).split(b",")
    try:
        counts = tuple(int(part) for part in parts)
    except ValueError:
        return None
    if len(counts) != 3 or not all(
        0 <= count <= json_text.MAX_EXACT_INTEGER for count in counts
    ):
        return None
    return interfaces.Load(*counts)


def _backpressure(response: http.OpenResponse) -> pressures.Backpressure:
    """Return the backpressure in the head of an answer."""
    backoff = None
    if response.status == _UNAVAILABLE:
        backoff = _decimal_header(response, names.RETRY_AFTER)
    return pressures.Backpressure(
        requests_per_second=_decimal_header(response, names.RATE_LIMIT),
        backoff_seconds=backoff or 0.0,
        is_leaving=response.find(names.LEAVING).strip() == _LEAVING_VALUE,
    )


def _decimal_header(response: http.OpenResponse, name: bytes) -> float | None:
    """Return the value of a decimal header, or ``None`` if it is missing.

    An unreadable value is logged and ignored.
    """
    text = response.find(name)
    if not text:
        return None
    try:
        value = float(text)
    except ValueError:
        value = math.nan
    if not math.isfinite(value) or value < 0.0:
        logs.change(
            "header_unread",
            name=name.decode("latin-1"),
            value=text[:_MAX_LOGGED_BYTES].decode("latin-1"),
        )
        return None
    return value


def _refused_address(body: bytes) -> str:
    """Return the address of the engine that refused, or an empty string.

    It is in the body of the refusal. Without an address the whole path counts
    as refused.
    """
    try:
        return str(json_text.decode(body).get(names.ADDRESS, ""))
    except (AttributeError, ValueError) as error:
        logs.change("refusal_unread", size=len(body), reason=repr(error))
        return ""
