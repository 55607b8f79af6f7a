# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Answers of the stand-ins in :mod:`crowdeck.standin.chain_fleet`."""

import typing

from crowdeck import backpressure as pressures
from crowdeck import http
from crowdeck.relay import interfaces
from crowdeck.relay import request as requests


class StandinAnswer:
    """The answer to one request; implements ``relay.interfaces.Answer``.

    :param culprit: address of the engine that caused a rejection, or empty.
    """

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
        """Whether this is the answer to ``request``."""
        return self._request_id == request.id

    def event_id(self, event: bytes) -> int | None:
        """Return the id of an event, or ``None`` if it has none."""
        first_line = event.split(b"\n")[0]
        return int(first_line[4:]) if first_line.startswith(b"id: ") else None

    async def chunks(self) -> typing.AsyncIterator[bytes]:
        """Yield the body."""
        async for chunk in self._pieces:
            yield chunk

    async def read(self, limit: int) -> bytes:
        """Return the body."""
        return b"".join([chunk async for chunk in self.chunks()])
