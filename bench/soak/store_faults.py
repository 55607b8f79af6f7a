# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Faults of the platform's store, and of the ways to it."""

import random
import typing

import anyio

from bench.soak import control as controls
from bench.soak import proxy as proxies

# Mean time between two returns of the store from a copy.
RESTORE_PAUSE = 2.0


class StoreFaults:
    """Strikes the store, and the proxies before it."""

    def __init__(
        self,
        rng: random.Random,
        control: controls.Control,
        ways: typing.Sequence[proxies.Proxy],
    ) -> None:
        self._chance = rng
        self._control = control
        self._ways = ways

    async def cut_store(self, seconds: float) -> None:
        """Harm one entry's way to the store."""
        await self._chance.choice(self._ways).harm(seconds, self._chance)

    async def fail_store(self, seconds: float) -> None:
        """Have the store lose replies, and be down for some time."""
        if self._chance.random() < 0.5:
            await self._control.do("forget")
        await self._control.do("lose", count=1)
        await self._control.do("store", is_down=True)
        await anyio.sleep(seconds)
        await self._control.do("store", is_down=False)

    async def write_foreign(self, seconds: float) -> None:
        """Write entries as another program would."""
        for _ in range(3):
            number = self._chance.randrange(8)
            await self._control.do("foreign", number=number)
            await anyio.sleep(seconds / 3)

    async def restore(
        self, rng: random.Random, seconds: float, told: list[str]
    ) -> None:
        """Have the store come back from copies, now and then."""
        ends_at = anyio.current_time() + seconds
        while True:
            await anyio.sleep(rng.expovariate(1 / RESTORE_PAUSE))
            if anyio.current_time() >= ends_at:
                return
            away = rng.uniform(0.0, 2.5)
            told.append(f"restore_store {away:.1f} s")
            await self._control.do(
                "restore", age=rng.randint(1, 10), seconds=away
            )
