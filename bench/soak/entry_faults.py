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
from bench.soak import harm as harms

# Time after SIGTERM from which an entry may end answers.
GRACE_SECONDS = 3.0


class EntryFaults:
    """Injects faults into one random entry at a time."""

    def __init__(
        self,
        rng: random.Random,
        targets: entries.Entries,
        harm: harms.HarmLog,
    ) -> None:
        self._rng = rng
        self._entries = targets
        self._harm = harm
        self._stopping: set[anyio.abc.Process] = set()

    async def kill_entry(self, seconds: float) -> None:
        """Kill an entry, and start it again after some time."""
        number, process = self._choose_entry()
        if process.returncode is None:
            with self._harm.harming(harms.name_entry(number)):
                await entries.kill(process)
                await anyio.sleep(seconds)
            await self._entries.start_again(number, process)

    async def stop_entry(self, seconds: float) -> None:
        """Stop an entry gracefully, and start it again."""
        number, process = self._choose_entry()
        if process.returncode is None:
            name = harms.name_entry(number)
            if process in self._stopping:
                self._harm.note(name)
            self._stopping.add(process)
            process.terminate()
            with anyio.move_on_after(GRACE_SECONDS):
                await process.wait()
            with self._harm.harming(name):
                await process.wait()
            await self._entries.start_again(number, process)

    async def freeze_entry(self, seconds: float) -> None:
        """Freeze an entry for some time."""
        number, process = self._choose_entry()
        if process.returncode is None:
            process.send_signal(signal.SIGSTOP)
            with self._harm.harming(harms.name_entry(number)):
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
