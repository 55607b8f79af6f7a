# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Faults of upstream instances, and their backpressure on entries."""

import random
import typing

import anyio

from bench.soak import control as controls
from bench.soak import harm as harms
from bench.soak import proxy as proxies

# Mean time from the end of one backpressure fault to the start of the next.
BACKPRESSURE_PAUSE_SECONDS = 0.7
# Time after which an engine that crashed under a request is restarted.
DOWNTIME_SECONDS = 1.5


class EngineFaults:
    """Injects faults into instances, and the proxies in front of them.

    :ivar recovered_at: event loop time in seconds of the last restart, or of
        the start of the recovery check if that is later.
    """

    def __init__(
        self,
        rng: random.Random,
        control: controls.Control,
        links: typing.Sequence[proxies.Proxy],
        harm: harms.HarmLog,
    ) -> None:
        self._rng = rng
        self._control = control
        self._links = links
        self._harm = harm
        self.recovered_at = 0.0

    async def fail_engine(self, seconds: float) -> None:
        """Crash an instance, or make it unresponsive for some time."""
        number = self._rng.randrange(len(self._links))
        if self._rng.random() < 0.5:
            await self.restart(number, seconds)
            return
        link = self._links[number]
        with self._harm.harming(harms.name_instance(number)):
            await self._control.do("dark", upstream=number)
            link.mode = proxies.Mode.HOLD
            await anyio.sleep(seconds)
            await self._control.do("back", upstream=number)
            link.mode = proxies.Mode.PASS

    async def lose_answers_or_reject(self, seconds: float) -> None:
        """Make an instance lose answers or reject, and impair its link."""
        number = self._rng.randrange(len(self._links))
        command = self._rng.choice(("lose_answers", "reject"))
        with self._harm.harming(harms.name_instance(number)):
            await self._control.do(command, upstream=number)
            await self._links[number].impair(seconds, self._rng)

    async def restart(self, number: int, seconds: float) -> None:
        """Crash an instance, and start it again after some time."""
        link = self._links[number]
        with self._harm.harming(harms.name_instance(number)):
            link.mode = proxies.Mode.REFUSE
            link.reset(1.0, self._rng)
            await self._control.do("dead", upstream=number)
            await anyio.sleep(seconds)
            restart_command = self._rng.choice(("back", "back_under_its_id"))
            await self._control.do(restart_command, upstream=number)
            link.mode = proxies.Mode.PASS
        # The time for recovery starts again here, as a request may crash the
        # only engine with some layers after the last injected fault.
        self.recovered_at = anyio.current_time()

    async def restart_crashed(self) -> None:
        """Restart engines that crashed under a request."""
        handled = 0
        async with anyio.create_task_group() as tasks:
            while True:
                await anyio.sleep(0.05)
                crashes = await self._control.crashes()
                for number in crashes[handled:]:
                    tasks.start_soon(self.restart, number, DOWNTIME_SECONDS)
                handled = len(crashes)

    async def apply_backpressure(
        self, rng: random.Random, seconds: float, fault_log: list[str]
    ) -> None:
        """Have random instances apply backpressure, each for some time.

        The value of a fault is its duration in seconds, and also the limit in
        requests per second or the back-off in seconds.
        """
        ends_at = anyio.current_time() + seconds
        while True:
            await anyio.sleep(rng.expovariate(1 / BACKPRESSURE_PAUSE_SECONDS))
            if anyio.current_time() >= ends_at:
                return
            number = rng.randrange(len(self._links))
            command = rng.choice(("limit", "rest", "leave"))
            value = rng.uniform(0.3, 2.5)
            fault_log.append(f"{command} {value:.1f} s")
            await self._control.do(command, upstream=number, value=value)
            await anyio.sleep(value)
            if command == "leave":
                await self.restart(number, 0.3)
            await self._control.do("calm", upstream=number)
