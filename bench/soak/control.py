# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Client of the stand-ins' control port."""

import typing

import httpcore
import orjson

from bench.soak import budget
from bench.soak import unanswered

HOST = "127.0.0.1"


class Control:
    """Sends commands and queries to the stand-ins."""

    def __init__(self, port: int) -> None:
        self.port = port

    async def do(self, command: str, **fields: typing.Any) -> None:
        """Send a command."""
        async with httpcore.AsyncConnectionPool() as pool:
            await pool.request(
                "POST",
                f"http://{HOST}:{self.port}/do",
                content=orjson.dumps({"what": command, **fields}),
            )

    async def runs(self) -> list[list[str]]:
        """Return which request ran at which instance, in order."""
        found: list[list[str]] = await self._fetch("runs")
        return found

    async def stream_runs(self) -> list[unanswered.StreamRun]:
        """Return the runs of streams, in order."""
        return [
            unanswered.StreamRun(
                fields["request"],
                tuple(fields["instances"]),
                fields["event_count"],
                fields["is_lost"],
                fields["started_at"],
            )
            for fields in await self._fetch("stream_runs")
        ]

    async def crashes(self) -> list[int]:
        """Return the numbers of instances that crashed under a request."""
        found: list[int] = await self._fetch("falls")
        return found

    async def arrivals(self) -> budget.Arrivals:
        """Return when each request arrived at each service."""
        found: budget.Arrivals = await self._fetch("arrivals")
        return found

    async def _fetch(self, path: str) -> typing.Any:
        async with httpcore.AsyncConnectionPool() as pool:
            response = await pool.request(
                "GET", f"http://{HOST}:{self.port}/{path}"
            )
        return orjson.loads(response.content)
