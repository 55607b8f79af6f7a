# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""The HTTP server for callers of an entry."""

import typing

from uvicorn.protocols.http import httptools_impl

from crowdeck.cmd import http_server
from crowdeck.observe import counters
from crowdeck.platform import callers
from crowdeck.relay import ingress

KEEP_ALIVE_SECONDS = 15


class CallerProtocol(httptools_impl.HttpToolsProtocol):
    """A connection that tells of requests that wait behind another."""

    def on_headers_complete(self) -> None:
        """Begin to serve a request, or let it wait for earlier answers."""
        super().on_headers_complete()
        extensions = {ingress.HAS_WAITING_REQUESTS: self._has_waiting_requests}
        self.scope["extensions"] = typing.cast(typing.Any, extensions)

    def connection_lost(self, exc: Exception | None) -> None:
        """Count the requests that waited and get no answer."""
        if self.pipeline:
            counters.COUNTERS.add("relay.unbegun", len(self.pipeline))
        super().connection_lost(exc)

    def _has_waiting_requests(self) -> bool:
        return bool(self.pipeline)


def build(
    server: ingress.Server,
    host: str,
    port: int,
    keep_alive_seconds: float = KEEP_ALIVE_SECONDS,
) -> http_server.EmbeddedServer:
    """Return the HTTP server for callers, not yet started.

    :param keep_alive_seconds: time after which an idle connection is closed.
    """
    return http_server.build(
        ingress.Ingress(server, callers),
        host,
        port,
        http=CallerProtocol,
        timeout_keep_alive=keep_alive_seconds,
        date_header=False,
    )
