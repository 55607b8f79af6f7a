# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""The HTTP server for callers of an entry."""

import typing

from crowdeck.cmd import http_server
from crowdeck.observe import counters
from crowdeck.platform import callers
from crowdeck.relay import ingress
from crowdeck import route as routes
from crowdeck.serving import account as accounts
from crowdeck.serving import limits as client_limits
from crowdeck.serving import protocol

KEEP_ALIVE_SECONDS = 15.0
# Without the settings of a machine.
BODY_SECONDS = 300.0
UNREAD_SECONDS = 60.0


class CallerProtocol(protocol.BoundedProtocol):
    """A connection that tells of requests that wait behind another."""

    def on_headers_complete(self) -> None:
        """Begin to serve a request, or let it wait for earlier answers."""
        super().on_headers_complete()
        extensions = {ingress.HAS_WAITING_REQUESTS: self._has_waiting_requests}
        self.scope["extensions"] = typing.cast(typing.Any, extensions)

    def connection_lost(self, exc: Exception | None) -> None:
        """Count connections with later requests that get no answer."""
        if self.has_waiting_requests:
            counters.COUNTERS.add("relay.unbegun")
        super().connection_lost(exc)

    def _has_waiting_requests(self) -> bool:
        return self.has_waiting_requests


def build(
    server: ingress.Server,
    host: str,
    port: int,
    keep_alive_seconds: float = KEEP_ALIVE_SECONDS,
    intake: client_limits.Intake | None = None,
) -> http_server.EmbeddedServer:
    """Return the HTTP server for callers, not yet started.

    :param keep_alive_seconds: time after which an idle connection is closed,
        without an intake.
    :param intake: what bounds callers, by default the limits of a config
        that names none.
    """
    return http_server.build(
        ingress.Ingress(server, callers),
        host,
        port,
        intake=intake or _default_intake(keep_alive_seconds),
        http=CallerProtocol,
        date_header=False,
    )


def _default_intake(keep_alive_seconds: float) -> client_limits.Intake:
    defaults = routes.Limits()
    limits = client_limits.Limits(
        header_bytes=defaults.header_bytes,
        header_seconds=defaults.header_seconds,
        idle_seconds=keep_alive_seconds,
        body_seconds=BODY_SECONDS,
        unread_seconds=UNREAD_SECONDS,
    )
    account = accounts.Account(accounts.size_for())
    return client_limits.Intake(
        account.open_listener("callers"), lambda: limits
    )
