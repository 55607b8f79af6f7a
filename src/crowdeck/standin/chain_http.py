# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""The stand-ins in :mod:`crowdeck.standin.chain_fleet`, served over HTTP.

Each instance listens on its own port and implements the platform's protocol,
so that a complete entry can run against it.
"""

import typing

import anyio
import anyio.abc
import attrs
import orjson

from crowdeck import backpressure as pressures
from crowdeck import chain
from crowdeck.cmd import http_server
from crowdeck import errors
from crowdeck import http
from crowdeck import instance as instances
from crowdeck import pipeline
from crowdeck.placement import plan
from crowdeck.platform import callers
from crowdeck.platform import names
from crowdeck.relay import interfaces
from crowdeck.standin import chain_fleet
from crowdeck.standin import store as standin_store

HOST = "127.0.0.1"
HEARTBEAT_SECONDS = 0.2
CALL_TIMEOUTS = http.Timeouts(1.0, 60.0)

Json = dict[str, typing.Any]
Scope = dict[str, typing.Any]
Receive = typing.Callable[[], typing.Awaitable[Json]]
Send = typing.Callable[[Json], typing.Awaitable[None]]


class UpstreamApp:
    """The ASGI application of one instance."""

    def __init__(
        self, fleet: chain_fleet.ChainFleet, address: instances.Address
    ) -> None:
        self._fleet = fleet
        self._address = address

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Answer one request."""
        body = await _read(receive)
        # A client that times out sees silence, not an error.
        await self._target.wait_while_silent()
        try:
            if scope["path"] == names.REPORT_PATH:
                await self._report(send)
            elif scope["path"] == names.ORDER_PATH:
                await self._order(orjson.loads(body), send)
            else:
                await self._serve(scope, body, send)
        except errors.CrowdeckError:
            # The server answers with status 500, or cuts off a response that
            # has started.
            return

    @property
    def _target(self) -> chain_fleet.StandinUpstream:
        return self._fleet.at(self._address)

    async def _report(self, send: Send) -> None:
        report = await self._fleet.report(self._target.listed)
        content = {
            names.ORDERS_TAKEN: report.orders_taken,
            names.BUSY: report.is_busy,
            names.LAYERS: _layer_fields(report.layers),
            names.STALLED: [
                {names.ID: stall.request, names.ADDRESS: stall.address}
                for stall in report.stalls
            ],
            **_start_time_fields(report.started_ms),
        }
        headers = _backpressure_headers(self._target.backpressure, None)
        await _answer(send, 200, orjson.dumps(content), headers)

    async def _order(self, order: Json, send: Send) -> None:
        if order[names.OPERATION] == names.REPATH:
            path = self._parse_path(order[names.PATH])
            outcome = await self._fleet.repath(
                self._target.listed, order[names.ID], path
            )
            status = 200 if outcome.is_done else 409
            if not outcome.is_known:
                status = 404
            content = {names.ADDRESS: outcome.culprit}
            await _answer(send, status, orjson.dumps(content))
            return
        layers = pipeline.LayerRange(
            order[names.FIRST_LAYER], order[names.END_LAYER]
        )
        is_taken = await self._fleet.place(
            plan.Move(self._target.listed, layers),
            order[names.EXPECTED_ORDERS],
            order[names.FENCING_TOKEN],
        )
        await _answer(send, 202 if is_taken else 409, b"")

    async def _serve(self, scope: Scope, body: bytes, send: Send) -> None:
        headers = dict(scope["headers"])
        request = callers.decode(
            scope["method"],
            scope["raw_path"],
            scope["query_string"],
            list(scope["headers"]),
            body,
            anyio.current_time(),
        )
        assert request is not None, "the request has no id"
        hops = headers.get(names.HOPS, b"").decode()
        dispatch = interfaces.Dispatch(
            team=headers.get(names.TEAM, b"").decode(),
            priority=0,
            seconds_left=request.timeout_seconds or 0.0,
            path=self._parse_path(hops) if hops else None,
            last_event_id=request.last_event_id,
        )
        expected_instance = headers[names.EXPECTED_INSTANCE].decode()
        listed = attrs.evolve(
            self._target.listed,
            name=expected_instance,
            instance_id=expected_instance,
        )
        async with self._fleet.open(
            listed, request, dispatch, CALL_TIMEOUTS
        ) as answer:
            response_headers = [(names.REQUEST_ID, request.id.encode())]
            response_headers += _backpressure_headers(
                answer.backpressure, answer.load
            )
            if answer.has_not_run:
                response_headers.append((names.NOT_EXECUTED, b"1"))
                response_headers.append(
                    (names.CULPRIT, answer.culprit.encode())
                )
            if answer.is_signed:
                response_headers.append((names.SIGNATURE, b"stand-in"))
            await _start(send, answer.status, response_headers)
            async for piece in answer.chunks():
                await _write(send, piece)
        await send({"type": "http.response.body", "body": b""})

    def _parse_path(self, text: str) -> chain.ChainPath:
        hops = []
        for hop in text.split(","):
            address, _, layers = hop.partition("=")
            first, _, end = layers.partition("-")
            listed = self._fleet.at(address).listed
            layer_range = pipeline.LayerRange(int(first), int(end))
            hops.append(chain.Hop(listed, layer_range))
        return chain.ChainPath(tuple(hops))


async def heartbeat(
    fleet: chain_fleet.ChainFleet, store: standin_store.StandinStore
) -> None:
    """Write the store object of each responsive instance periodically."""
    while True:
        for target in fleet.upstreams:
            if target.answers:
                write_upstream_object(target.listed, store)
        await anyio.sleep(HEARTBEAT_SECONDS)


def write_upstream_object(
    listed: chain.Upstream, store: standin_store.StandinStore
) -> None:
    """Write the store object of an instance if it has changed."""
    content = {
        names.SERVICE: listed.service,
        names.ADDRESS: str(listed.address),
        names.ZONE: listed.availability_zone,
        names.VERSION: "v1",
        names.SLOTS: listed.slots,
        names.COLD_MS: 0,
        names.ORDERS_TAKEN: 0,
        names.STATE: names.STATE_DRAINING if listed.is_leaving else "ready",
        names.ACCELERATOR_TYPE: listed.card,
        names.LAYERS: _layer_fields(listed.layers),
        **_start_time_fields(listed.started_ms),
    }
    name = listed.incarnation.id
    store.write_if_changed(names.UPSTREAM_KIND, name, orjson.dumps(content))


async def serve(
    fleet: chain_fleet.ChainFleet,
    listed: chain.Upstream,
    tasks: anyio.abc.TaskGroup,
    *,
    port: int = 0,
    advertised_address: instances.Address | None = None,
) -> chain.Upstream:
    """Serve an instance and return it with its address.

    :param port: port to listen on; 0 for any free one.
    :param advertised_address: address to list instead, such as a proxy's.
    """
    app = _DeferredApp()
    port = await tasks.start(http_server.serve_http, app, HOST, port)
    address = advertised_address or instances.Address(HOST, port)
    bound = attrs.evolve(listed, address=address)
    fleet.add(bound)
    app.app = UpstreamApp(fleet, bound.address)
    return bound


class _DeferredApp:
    """Forwards to ``app``, which is set once the port is known."""

    app: UpstreamApp

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        await self.app(scope, receive, send)


def _start_time_fields(started_ms: int) -> Json:
    """Return the field with the start time, if it is known."""
    return {names.STARTED_MS: started_ms} if started_ms else {}


def _layer_fields(layers: pipeline.LayerRange | None) -> Json | None:
    if layers is None:
        return None
    return {names.FIRST_LAYER: layers.first, names.END_LAYER: layers.end}


async def _read(receive: Receive) -> bytes:
    chunks = []
    while True:
        message = await receive()
        chunks.append(message.get("body", b""))
        if not message.get("more_body"):
            return b"".join(chunks)


def _backpressure_headers(
    backpressure: pressures.Backpressure, load: interfaces.Load | None
) -> http.RawHeaders:
    """Return the response headers for load and backpressure."""
    headers: http.RawHeaders = []
    if load is not None:
        load_text = f"{load.running},{load.waiting},{load.slots}"
        headers.append((names.LOAD, load_text.encode()))
    if backpressure.requests_per_second is not None:
        headers.append(
            (names.RATE_LIMIT, str(backpressure.requests_per_second).encode())
        )
    if backpressure.backoff_seconds:
        seconds = str(backpressure.backoff_seconds).encode()
        headers.append((names.RETRY_AFTER, seconds))
    if backpressure.is_leaving:
        headers.append((names.LEAVING, b"1"))
    return headers


async def _answer(
    send: Send,
    status: int,
    body: bytes,
    headers: http.RawHeaders | None = None,
) -> None:
    await _start(send, status, headers or [])
    await send({"type": "http.response.body", "body": body})


async def _start(send: Send, status: int, headers: http.RawHeaders) -> None:
    await send(
        {"type": "http.response.start", "status": status, "headers": headers}
    )


async def _write(send: Send, piece: bytes) -> None:
    await send(
        {"type": "http.response.body", "body": piece, "more_body": True}
    )
