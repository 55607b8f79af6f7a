# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0


"""An answer of a stand-in for upstreams that chain their stages themselves."""

import typing

from crowdeck import backpressure as pressures
from crowdeck import http
from crowdeck.relay import interfaces
from crowdeck.relay import request as requests


class StandinAnswer:
    """An answer of a stand-in upstream."""

    def __init__(
        self,
        status: int,
        request_id: str,
        pieces: typing.AsyncIterator[bytes],
        *,
        has_not_run: bool = False,
        culprit: str = "",
        backpressure: pressures.Backpressure = pressures.NONE,
        load: interfaces.Load | None = None,
    ) -> None:
        self.status = status
        self.has_not_run = has_not_run
        self.is_signed = not has_not_run
        self.culprit = culprit
        self.load = load
        self.backpressure = backpressure
        self.caller_headers: http.RawHeaders = []
        self._request_id = request_id
        self._pieces = pieces

    def belongs_to(self, request: requests.CallerRequest) -> bool:
        """Whether it answers ``request``."""
        return self._request_id == request.id

    def event_id(self, event: bytes) -> int | None:
        """Return an event's id."""
        first = event.split(b"\n")[0]
        return int(first[4:]) if first.startswith(b"id: ") else None

    async def chunks(self) -> typing.AsyncIterator[bytes]:
        """Yield the body."""
        async for piece in self._pieces:
            yield piece

    async def read(self, limit: int) -> bytes:
        """Return the body."""
        return b"".join([piece async for piece in self.chunks()])
