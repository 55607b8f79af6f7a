# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""The HTTP side of stand-in upstreams that chain their stages themselves.

Each instance has a port of its own and speaks the platform's published
protocol, so that a whole entry can be run against it.
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
    """One instance's ASGI application."""

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
        try:
            if scope["path"] == names.REPORT_PATH:
                await self._report(send)
            elif scope["path"] == names.ORDER_PATH:
                await self._order(orjson.loads(body), send)
            else:
                await self._serve(scope, body, send)
        except errors.CrowdeckError:
            # It fell over: what began is left without its end.
            return

    @property
    def _target(self) -> chain_fleet.StandinUpstream:
        return self._fleet.at(self._address)

    async def _report(self, send: Send) -> None:
        report = await self._fleet.report(self._target.listed)
        content = {
            names.ORDERS_TAKEN: report.orders_taken,
            names.BUSY: report.is_busy,
            names.LAYERS: _layers(report.layers),
            names.STALLED: [
                {names.ID: one.request, names.ADDRESS: one.address}
                for one in report.stalls
            ],
            **_born(report.started_ms),
        }
        head = _notice(self._target.backpressure, None)
        await _answer(send, 200, orjson.dumps(content), head)

    async def _order(self, order: Json, send: Send) -> None:
        if order[names.OPERATION] == names.REPATH:
            path = self._path(order[names.PATH])
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
        assert request is not None, "the system sends an id"
        hops = headers.get(names.HOPS, b"").decode()
        dispatch = interfaces.Dispatch(
            team=headers.get(names.TEAM, b"").decode(),
            priority=0,
            seconds_left=request.timeout_seconds or 0.0,
            path=self._path(hops) if hops else None,
            last_event_id=request.last_event_id,
        )
        expected = headers[names.EXPECTED_INSTANCE].decode()
        listed = attrs.evolve(
            self._target.listed, name=expected, instance_id=expected
        )
        async with self._fleet.open(
            listed, request, dispatch, CALL_TIMEOUTS
        ) as answer:
            head = [(names.REQUEST_ID, request.id.encode())]
            head += _notice(answer.backpressure, answer.load)
            if answer.has_not_run:
                head.append((names.NOT_EXECUTED, b"1"))
                head.append((names.CULPRIT, answer.culprit.encode()))
            if answer.is_signed:
                head.append((names.SIGNATURE, b"stand-in"))
            await _start(send, answer.status, head)
            async for piece in answer.chunks():
                await _write(send, piece)
        await send({"type": "http.response.body", "body": b""})

    def _path(self, text: str) -> chain.ChainPath:
        found = []
        for part in text.split(","):
            address, _, layers = part.partition("=")
            first, _, end = layers.partition("-")
            listed = self._fleet.at(address).listed
            span = pipeline.LayerRange(int(first), int(end))
            found.append(chain.Hop(listed, span))
        return chain.ChainPath(tuple(found))


async def heartbeat(
    fleet: chain_fleet.ChainFleet, store: standin_store.StandinStore
) -> None:
    """Write each living instance's entry to the store, until cancelled."""
    while True:
        for target in fleet.upstreams:
            if target.answers:
                write_entry(target.listed, store)
        await anyio.sleep(HEARTBEAT_SECONDS)


def write_entry(
    listed: chain.Upstream, store: standin_store.StandinStore
) -> None:
    """Write an instance's entry, if it changed."""
    content = {
        names.SERVICE: listed.service,
        names.ADDRESS: str(listed.address),
        names.ZONE: listed.availability_zone,
        names.SLOTS: listed.slots,
        names.STATE: names.STATE_DRAINING if listed.is_leaving else "ready",
        names.CARD: listed.card,
        names.LAYERS: _layers(listed.layers),
        **_born(listed.started_ms),
    }
    entry = listed.incarnation.id
    store.write_if_new(names.UPSTREAM_KIND, entry, orjson.dumps(content))


async def serve(
    fleet: chain_fleet.ChainFleet,
    listed: chain.Upstream,
    tasks: anyio.abc.TaskGroup,
    *,
    port: int = 0,
    advertised_address: instances.Address | None = None,
) -> chain.Upstream:
    """Serve an instance; returns it with its address.

    :param port: where it listens, 0 for any free port.
    :param advertised_address: the address under which it is listed, where a
        proxy stands in between.
    """
    app = _Deferred()
    port = await tasks.start(http_server.serve_http, app, HOST, port)
    address = advertised_address or instances.Address(HOST, port)
    placed = attrs.evolve(listed, address=address)
    fleet.add(placed)
    app.app = UpstreamApp(fleet, placed.address)
    return placed


class _Deferred:
    """An application that is known only once its port is."""

    app: UpstreamApp

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        await self.app(scope, receive, send)


def _born(started_ms: int) -> Json:
    """Return what an instance tells of its start, if it does."""
    return {names.BORN: started_ms} if started_ms else {}


def _layers(layers: pipeline.LayerRange | None) -> Json | None:
    if layers is None:
        return None
    return {names.FIRST_LAYER: layers.first, names.END_LAYER: layers.end}


async def _read(receive: Receive) -> bytes:
    pieces = []
    while True:
        message = await receive()
        pieces.append(message.get("body", b""))
        if not message.get("more_body"):
            return b"".join(pieces)


def _notice(
    backpressure: pressures.Backpressure, load: interfaces.Load | None
) -> http.RawHeaders:
    """Return the headers in which an instance tells what it can bear."""
    found: http.RawHeaders = []
    if load is not None:
        told = f"{load.running},{load.waiting},{load.slots}"
        found.append((names.LOAD, told.encode()))
    if backpressure.limit is not None:
        found.append((names.LIMIT, str(backpressure.limit).encode()))
    if backpressure.backoff:
        seconds = str(backpressure.backoff).encode()
        found.append((names.RETRY_AFTER, seconds))
    if backpressure.is_leaving:
        found.append((names.LEAVING, b"1"))
    return found


async def _answer(
    send: Send, status: int, body: bytes, head: http.RawHeaders | None = None
) -> None:
    await _start(send, status, head or [])
    await send({"type": "http.response.body", "body": body})


async def _start(send: Send, status: int, head: http.RawHeaders) -> None:
    await send(
        {"type": "http.response.start", "status": status, "headers": head}
    )


async def _write(send: Send, piece: bytes) -> None:
    await send(
        {"type": "http.response.body", "body": piece, "more_body": True}
    )
