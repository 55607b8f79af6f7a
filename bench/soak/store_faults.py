# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Faults of the platform's store, and of the links to it."""

import random
import typing

import anyio

from bench.soak import control as controls
from bench.soak import proxy as proxies

# Mean time from the end of one restore to the start of the next.
RESTORE_PAUSE_SECONDS = 2.0


class StoreFaults:
    """Injects faults into the store, and the proxies in front of it."""

    def __init__(
        self,
        rng: random.Random,
        control: controls.Control,
        links: typing.Sequence[proxies.Proxy],
    ) -> None:
        self._rng = rng
        self._control = control
        self._links = links

    async def cut_store(self, seconds: float) -> None:
        """Impair the link of one entry to the store."""
        await self._rng.choice(self._links).impair(seconds, self._rng)

    async def fail_store(self, seconds: float) -> None:
        """Make the store lose a reply and be down for some time.

        Half of the time it also drops its history.
        """
        if self._rng.random() < 0.5:
            await self._control.do("forget")
        await self._control.do("lose", count=1)
        await self._control.do("store", is_down=True)
        await anyio.sleep(seconds)
        await self._control.do("store", is_down=False)

    async def write_foreign(self, seconds: float) -> None:
        """Write invalid values to the store, as another program might."""
        for _ in range(3):
            number = self._rng.randrange(8)
            await self._control.do("foreign", number=number)
            await anyio.sleep(seconds / 3)

    async def restore(
        self, rng: random.Random, seconds: float, fault_log: list[str]
    ) -> None:
        """Have the store restored from backups at random times."""
        ends_at = anyio.current_time() + seconds
        while True:
            await anyio.sleep(rng.expovariate(1 / RESTORE_PAUSE_SECONDS))
            if anyio.current_time() >= ends_at:
                return
            down_seconds = rng.uniform(0.0, 2.5)
            fault_log.append(f"restore_store {down_seconds:.1f} s")
            await self._control.do(
                "restore", age=rng.randint(1, 10), seconds=down_seconds
            )
