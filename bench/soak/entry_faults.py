# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Faults of entries: killed, stopped, frozen, told to read settings."""

import random
import signal

import anyio
import anyio.abc

from bench.soak import entries


class EntryFaults:
    """Strikes entries, one at a time."""

    def __init__(self, rng: random.Random, struck: entries.Entries) -> None:
        self._chance = rng
        self._entries = struck

    async def kill_entry(self, seconds: float) -> None:
        """Kill one, and start it again after some time."""
        number, process = self._draw()
        if process.returncode is None:
            await entries.end(process)
            await anyio.sleep(seconds)
            await self._entries.start(number)

    async def stop_entry(self, seconds: float) -> None:
        """Stop one as planned, and start it again."""
        number, process = self._draw()
        if process.returncode is None:
            process.terminate()
            await process.wait()
            await self._entries.start(number)

    async def freeze_entry(self, seconds: float) -> None:
        """Freeze one for some time."""
        _, process = self._draw()
        if process.returncode is None:
            process.send_signal(signal.SIGSTOP)
            await anyio.sleep(seconds)
            if process.returncode is None:
                process.send_signal(signal.SIGCONT)

    async def reload_entry(self, seconds: float) -> None:
        """Have one read its settings again."""
        _, process = self._draw()
        if process.returncode is None:
            process.send_signal(signal.SIGHUP)

    def _draw(self) -> tuple[int, anyio.abc.Process]:
        number = self._chance.randrange(len(self._entries.processes))
        return number, self._entries.processes[number]
