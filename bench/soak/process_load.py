# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Processor time and loop lag of the soak's own processes.

They show whether a seed failed because the stand-ins or the callers got no
processor time, rather than the entries.
"""

import pathlib
import time

import anyio
import attrs
import orjson

SAMPLE_SECONDS = 0.05
REPORT_SECONDS = 1.0


@attrs.frozen
class Sample:
    """The load of a process in one second.

    :ivar at: start of the second on the machine's monotonic clock.
    :ivar cpu_share: share of one processor that the process used.
    :ivar worst_lag: longest delay of its event loop in seconds.
    """

    at: float
    cpu_share: float
    worst_lag: float


class ProcessLoad:
    """Writes a sample of the calling process each second, as JSON lines."""

    def __init__(self, path: pathlib.Path) -> None:
        self._path = path

    async def run(self) -> None:
        """Write lines until cancelled."""
        with self._path.open("ab") as lines:
            while True:
                sample = await self._measure()
                lines.write(orjson.dumps(attrs.asdict(sample)) + b"\n")
                lines.flush()

    async def _measure(self) -> Sample:
        started_at, cpu_at_start = time.monotonic(), time.process_time()
        worst_lag = 0.0
        while time.monotonic() - started_at < REPORT_SECONDS:
            slept_at = time.monotonic()
            await anyio.sleep(SAMPLE_SECONDS)
            lag = time.monotonic() - slept_at - SAMPLE_SECONDS
            worst_lag = max(worst_lag, lag)
        seconds = time.monotonic() - started_at
        cpu_seconds = time.process_time() - cpu_at_start
        return Sample(
            at=round(started_at, 2),
            cpu_share=round(cpu_seconds / seconds, 2),
            worst_lag=round(worst_lag, 3),
        )
