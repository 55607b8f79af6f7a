# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Faults of entries: killed, stopped, frozen, settings reloaded."""

import random
import signal

import anyio
import anyio.abc

from bench.soak import entries


class EntryFaults:
    """Injects faults into one random entry at a time."""

    def __init__(self, rng: random.Random, targets: entries.Entries) -> None:
        self._rng = rng
        self._entries = targets

    async def kill_entry(self, seconds: float) -> None:
        """Kill an entry, and start it again after some time."""
        number, process = self._choose_entry()
        if process.returncode is None:
            await entries.kill(process)
            await anyio.sleep(seconds)
            await self._entries.start(number)

    async def stop_entry(self, seconds: float) -> None:
        """Stop an entry gracefully, and start it again."""
        number, process = self._choose_entry()
        if process.returncode is None:
            process.terminate()
            await process.wait()
            await self._entries.start(number)

    async def freeze_entry(self, seconds: float) -> None:
        """Freeze an entry for some time."""
        _, process = self._choose_entry()
        if process.returncode is None:
            process.send_signal(signal.SIGSTOP)
            await anyio.sleep(seconds)
            if process.returncode is None:
                process.send_signal(signal.SIGCONT)

    async def reload_entry(self, seconds: float) -> None:
        """Have an entry reload its settings."""
        _, process = self._choose_entry()
        if process.returncode is None:
            process.send_signal(signal.SIGHUP)

    def _choose_entry(self) -> tuple[int, anyio.abc.Process]:
        number = self._rng.randrange(len(self._entries.processes))
        return number, self._entries.processes[number]
