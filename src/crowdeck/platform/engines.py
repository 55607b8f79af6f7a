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
from crowdeck.observe import logs
from crowdeck import pipeline
from crowdeck.platform import callers
from crowdeck.platform import names
from crowdeck.platform import upstreams
from crowdeck.relay import interfaces
from crowdeck.relay import request as requests

# A report or an order is answered at once by a sound engine; a link
# between availability zones adds less than a millisecond.
CONNECT_SECONDS = 0.25
EXCHANGE_SECONDS = 0.5
_JSON_TYPE = (b"content-type", b"application/json")
_MISDIRECTED = 421
_UNAVAILABLE = 503
_NOT_RUN_STATUSES = frozenset({_MISDIRECTED})
_IS_LEAVING = b"1"
# Of a header that cannot be read the log shows so much.
_TOLD_BYTES = 40


class UpstreamAnswer:
    """An upstream's answer whose body is still to come."""

    def __init__(self, response: http.OpenResponse) -> None:
        self._response = response

    @property
    def status(self) -> int:
        """The upstream's status."""
        return self._response.status

    @property
    def caller_headers(self) -> http.RawHeaders:
        """The headers that go to the caller."""
        return callers.caller_response_headers(self._response.headers)

    @property
    def has_not_run(self) -> bool:
        """Whether the upstream says that it did not run the request."""
        return self.status in _NOT_RUN_STATUSES or bool(
            self._response.find(names.NOT_EXECUTED)
        )

    @property
    def is_signed(self) -> bool:
        """Whether the answer bears the upstream's signature."""
        return bool(self._response.find(names.SIGNATURE))

    @property
    def culprit(self) -> str:
        """Address of the engine that made a path fail, or nothing."""
        return self._response.find(names.CULPRIT).decode("latin-1")

    @property
    def load(self) -> interfaces.Load | None:
        """The load that the upstream tells, if it does."""
        return _load(self._response)

    def belongs_to(self, request: requests.CallerRequest) -> bool:
        """Whether this is the answer to ``request`` and to no other."""
        return self._response.find(names.REQUEST_ID) == request.id.encode()

    def event_id(self, event: bytes) -> int | None:
        """Return the id of one event of a stream, or ``None``."""
        return callers.event_id(event)

    def chunks(self) -> typing.AsyncIterator[bytes]:
        """Yield the body as it comes."""
        return self._response.chunks()

    async def read(self, limit: int) -> bytes:
        """Return the whole body."""
        return await self._response.read(limit)


class OrderOutcome(enum.Enum):
    """What became of an order."""

    BEGUN = "begun"
    HOLDS = "holds"
    REFUSED = "refused"
    UNKNOWN = "unknown"


class UpstreamClient:
    """Speaks to upstream instances, on a new connection for each call."""

    def __init__(self, client: http.HttpClient) -> None:
        self._client = client
        self._listeners: list[interfaces.NoticeListener] = []

    def subscribe(self, listener: interfaces.NoticeListener) -> None:
        """Call ``listener`` with what each answer tells of its sender."""
        self._listeners.append(listener)

    @contextlib.asynccontextmanager
    async def open(
        self,
        upstream: chain.Upstream,
        request: requests.CallerRequest,
        dispatch: interfaces.Dispatch,
        timeouts: http.Timeouts,
    ) -> typing.AsyncIterator[UpstreamAnswer]:
        """Send a request and yield its answer once the head is here.

        :raises CrowdeckError: ``UPSTREAM_LOST``, with the verdict.
        """
        async with self._client.open(
            request.method,
            f"http://{upstream.address}{request.target}",
            callers.upstream_request_headers(request, upstream, dispatch),
            request.body,
            timeouts,
        ) as response:
            self._tell(upstream, response, answers_request=True)
            yield UpstreamAnswer(response)

    async def report(self, upstream: chain.Upstream) -> chain.EngineReport:
        """Return what an engine says of itself.

        :raises CrowdeckError: when it cannot be had.
        """
        status, body, _ = await self._exchange(
            "GET", upstream, names.REPORT_PATH, b""
        )
        if status == _MISDIRECTED:
            raise errors.InstanceGone("another instance is at its address")
        if status != 200:
            raise errors.CrowdeckError(
                errors.Code.UPSTREAM_FAILED, f"a report came with {status}"
            )
        report = upstreams.decode_report(body)
        if report.is_from_later_run(upstream.incarnation):
            raise errors.InstanceGone("its process has started again")
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

        :param stops_streams: whether it is to stop what passes layers that
            it gives up; otherwise it first waits for the end of all.
        :param expected_orders: the engine takes the order only if it has
            taken just so many before; a late copy then no longer fits.
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
        """Have a running request go on along another path.

        :param path: begins with the same first part as before.
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
            is_done=False, is_known=status != 404, culprit=_address_in(body)
        )

    async def _order(
        self, upstream: chain.Upstream, order: typing.Mapping[str, object]
    ) -> tuple[int, bytes, http.RawHeaders]:
        return await self._exchange(
            "POST", upstream, names.ORDER_PATH, orjson.dumps(order)
        )

    async def _exchange(
        self, method: str, upstream: chain.Upstream, path: str, body: bytes
    ) -> tuple[int, bytes, http.RawHeaders]:
        headers = [(names.EXPECTED_INSTANCE, upstream.incarnation.id.encode())]
        if body:
            headers.append(_JSON_TYPE)
        async with self._client.open(
            method,
            f"http://{upstream.address}{path}",
            headers,
            body,
            http.Timeouts(CONNECT_SECONDS, EXCHANGE_SECONDS),
        ) as response:
            self._tell(upstream, response, answers_request=False)
            content = await response.read(http.RESPONSE_LIMIT_BYTES)
            return response.status, content, response.headers

    def _tell(
        self,
        upstream: chain.Upstream,
        response: http.OpenResponse,
        *,
        answers_request: bool,
    ) -> None:
        """Tell the listeners what the head of an answer says.

        Another instance may have given an answer that was misdirected, so
        it says nothing of the one that was meant.
        """
        if response.status == _MISDIRECTED:
            return
        notice = interfaces.Notice(
            _backpressure(response), _load(response), answers_request
        )
        for listener in self._listeners:
            listener(upstream, notice)


def _load(response: http.OpenResponse) -> interfaces.Load | None:
    parts = response.find(names.LOAD).split(b",")
    try:
        running, waiting, slots = (int(part) for part in parts)
    except ValueError:
        return None
    return interfaces.Load(running, waiting, slots)


def _backpressure(response: http.OpenResponse) -> pressures.Backpressure:
    """Return what the head of an answer asks for."""
    backoff = None
    if response.status == _UNAVAILABLE:
        backoff = _rate_or_seconds(response, names.RETRY_AFTER)
    return pressures.Backpressure(
        limit=_rate_or_seconds(response, names.LIMIT),
        backoff=backoff or 0.0,
        is_leaving=response.find(names.LEAVING).strip() == _IS_LEAVING,
    )


def _rate_or_seconds(response: http.OpenResponse, name: bytes) -> float | None:
    """Return a header's decimal number, ``None`` where it has none.

    One that cannot be read asks for nothing, and is told.
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
            value=text[:_TOLD_BYTES].decode("latin-1"),
        )
        return None
    return value


def _address_in(body: bytes) -> str:
    """Return the address that a refusal names, or nothing.

    Without it the whole change of path is taken for impossible, which the
    next look into the stream corrects.
    """
    try:
        return str(orjson.loads(body).get(names.ADDRESS, ""))
    except (orjson.JSONDecodeError, AttributeError) as error:
        logs.change("refusal_unread", size=len(body), reason=repr(error))
        return ""
