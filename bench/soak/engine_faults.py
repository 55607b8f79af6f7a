# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Faults of upstream instances, and what they ask of entries."""

import random
import typing

import anyio

from bench.soak import control as controls
from bench.soak import proxy as proxies

# Mean time between two instances that ask for less.
PRESS_PAUSE = 0.7
# How long an engine is away that a request ended.
AWAY_SECONDS = 1.5


class EngineFaults:
    """Strikes instances, and the proxies before them.

    :ivar struck_at: when the last instance was back.
    """

    def __init__(
        self,
        rng: random.Random,
        control: controls.Control,
        ways: typing.Sequence[proxies.Proxy],
    ) -> None:
        self._chance = rng
        self._control = control
        self._ways = ways
        self.struck_at = 0.0

    async def fail_engine(self, seconds: float) -> None:
        """Have one end, or say nothing for some time."""
        number = self._chance.randrange(len(self._ways))
        if self._chance.random() < 0.5:
            await self.restart(number, seconds)
            return
        one = self._ways[number]
        await self._control.do("dark", upstream=number)
        one.mode = proxies.Mode.SILENT
        await anyio.sleep(seconds)
        await self._control.do("back", upstream=number)
        one.mode = proxies.Mode.PASS

    async def harm_engine(self, seconds: float) -> None:
        """Have one lose answers or refuse, and harm the way to it."""
        number = self._chance.randrange(len(self._ways))
        what = self._chance.choice(("lose_answers", "reject"))
        await self._control.do(what, upstream=number)
        await self._ways[number].harm(seconds, self._chance)

    async def restart(self, number: int, seconds: float) -> None:
        """Have one end, and start again after some time."""
        one = self._ways[number]
        one.mode = proxies.Mode.REFUSE
        one.reset(1.0, self._chance)
        await self._control.do("dead", upstream=number)
        await anyio.sleep(seconds)
        back = self._chance.choice(("back", "back_under_its_id"))
        await self._control.do(back, upstream=number)
        one.mode = proxies.Mode.PASS
        # A request that ends engines may end some after the last strike too:
        # two of the three it is allowed were all that held some layers, 5 s
        # after a killed giver of orders was replaced (seed 7 of 4 s).
        self.struck_at = anyio.current_time()

    async def bring_back(self) -> None:
        """Start engines again that a request ended."""
        known = 0
        async with anyio.create_task_group() as tasks:
            while True:
                await anyio.sleep(0.05)
                falls = await self._control.falls()
                for number in falls[known:]:
                    tasks.start_soon(self.restart, number, AWAY_SECONDS)
                known = len(falls)

    async def press_back(
        self, rng: random.Random, seconds: float, told: list[str]
    ) -> None:
        """Have instances ask for less, and take that back."""
        ends_at = anyio.current_time() + seconds
        while True:
            await anyio.sleep(rng.expovariate(1 / PRESS_PAUSE))
            if anyio.current_time() >= ends_at:
                return
            number = rng.randrange(len(self._ways))
            what = rng.choice(("limit", "rest", "leave"))
            pressed = rng.uniform(0.3, 2.5)
            told.append(f"{what} {pressed:.1f} s")
            await self._control.do(what, upstream=number, value=pressed)
            await anyio.sleep(pressed)
            if what == "leave":
                await self.restart(number, 0.3)
            await self._control.do("calm", upstream=number)
