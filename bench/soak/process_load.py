# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Processor time and loop lag of the soak's own processes.

They show whether a seed failed because the stand-ins or the callers got no
processor time, rather than the entries.
"""

import collections
import pathlib
import time
import typing

import anyio
import orjson

SAMPLE_SECONDS = 0.05
REPORT_SECONDS = 1.0


class ProcessLoad:
    """Writes one JSON line a second about the calling process.

    Each line has the share of a processor that the process used, the longest
    delay of its event loop in seconds, and how often each counted thing
    happened since the last line.
    """

    def __init__(self, path: pathlib.Path) -> None:
        self._path = path
        self._counts: collections.Counter[str] = collections.Counter()

    def count(self, name: str) -> None:
        """Count something that the next line tells."""
        self._counts[name] += 1

    async def run(self) -> None:
        """Write lines until cancelled."""
        with self._path.open("ab") as lines:
            while True:
                lines.write(orjson.dumps(await self._measure()) + b"\n")
                lines.flush()

    async def _measure(self) -> dict[str, typing.Any]:
        started_at, cpu_at_start = time.monotonic(), time.process_time()
        worst_lag = 0.0
        while time.monotonic() - started_at < REPORT_SECONDS:
            slept_at = time.monotonic()
            await anyio.sleep(SAMPLE_SECONDS)
            lag = time.monotonic() - slept_at - SAMPLE_SECONDS
            worst_lag = max(worst_lag, lag)
        seconds = time.monotonic() - started_at
        cpu_seconds = time.process_time() - cpu_at_start
        counts = dict(self._counts)
        self._counts.clear()
        return {
            "at": round(started_at, 2),
            "cpu_share": round(cpu_seconds / seconds, 2),
            "worst_lag": round(worst_lag, 3),
            "counts": counts,
        }
