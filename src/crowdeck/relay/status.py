# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Status of an entry, and an ASGI app for its readiness and metrics."""

import typing

from crowdeck.observe import counters
from crowdeck.relay import context as contexts
from crowdeck.relay import ingress
from crowdeck.routing import routes as route_tables

METRICS_PATH = "/metrics"
_TEXT = (b"content-type", b"text/plain; version=0.0.4")


class ReadinessSource(typing.Protocol):
    """Reports whether the entry is ready."""

    @property
    def is_ready(self) -> bool:
        """Whether new connections should be sent here."""
        ...


class _Relay(ReadinessSource, typing.Protocol):
    """Reports whether the entry is ready, and its requests in progress."""

    @property
    def in_progress(self) -> int:
        """Number of requests being served."""
        ...


class _Config(typing.Protocol):
    """Reports which config is in force."""

    @property
    def table(self) -> route_tables.RouteTable | None:
        """The config in force."""
        ...


class _LoadExchange(typing.Protocol):
    """Reports how current the other entries' load is."""

    def as_fields(self) -> dict[str, typing.Any]:
        """Return its state, ready for JSON."""
        ...


class EntryStatus:
    """The status of an entry and of the upstreams it knows.

    :param name: the entry's name.
    """

    def __init__(
        self,
        name: str,
        context: contexts.RelayContext,
        config: _Config,
        relay: _Relay,
    ) -> None:
        self._name = name
        self._load_exchange: _LoadExchange | None = None
        self._context = context
        self._config = config
        self._relay = relay

    def use_load_exchange(self, load_exchange: _LoadExchange) -> None:
        """Report how current the other entries' load is."""
        self._load_exchange = load_exchange

    def read(self) -> dict[str, typing.Any]:
        """Return the current status, ready for JSON."""
        table = self._config.table
        exchange = self._load_exchange
        return {
            **({"load": exchange.as_fields()} if exchange else {}),
            "instance": self._name,
            "role": "entry",
            "zone": self._context.zone,
            "is_ready": self._relay.is_ready,
            "running": self._relay.in_progress,
            "generation": table.version if table is not None else 0,
            "needs": [
                signal.as_fields()
                for signal in self._context.backpressure.active_signals()
            ],
            "unheld": [
                gap.as_fields() for gap in self._context.gaps.current_gaps
            ],
        }


class StatusApp:
    """Answers load balancers and metrics collectors."""

    def __init__(
        self,
        readiness: ReadinessSource,
        metrics: counters.Counters,
        readiness_path: str,
    ) -> None:
        self._readiness = readiness
        self._readiness_path = readiness_path
        self._metrics = metrics

    async def __call__(
        self,
        scope: ingress.Scope,
        receive: ingress.Receive,
        send: ingress.Send,
    ) -> None:
        """Answer one request."""
        path = scope["path"]
        if path == self._readiness_path:
            await _answer(send, 200 if self._readiness.is_ready else 503, b"")
        elif path == METRICS_PATH:
            await _answer(send, 200, self._metrics.as_text().encode())
        else:
            await _answer(send, 404, b"")


async def _answer(send: ingress.Send, status: int, body: bytes) -> None:
    length = (b"content-length", str(len(body)).encode())
    await send(
        {
            "type": "http.response.start",
            "status": status,
            "headers": [_TEXT, length],
        }
    )
    await send({"type": "http.response.body", "body": body})
