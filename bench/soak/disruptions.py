# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Overlapping disruptions that end no process in an orderly way.

Instances are silent for about a second and go on, connections are silent for
good, bytes without end come in place of answers, many lose power at once.
"""

import contextlib
import random
import typing

import anyio
import anyio.abc
import attrs

from bench.soak import control as controls
from bench.soak import entries as entries_module
from bench.soak import flood as floods
from bench.soak import harm as harms
from bench.soak import proxy as proxies

SILENCE_SECONDS = (0.8, 1.5)
FLOOD_SECONDS = (0.5, 2.0)
MAX_FLOODED_REQUESTS = 8
POWER_LOSS_SECONDS = (0.3, 2.5)
# Mean time between two disruptions, which may overlap.
PAUSE_SECONDS = 0.6


@attrs.frozen
class Targets:
    """Targets of the disruptions.

    :ivar instances: service and zone of each instance.
    :ivar links: proxies in front of the instances.
    :ivar store_links: proxies in front of the store.
    """

    instances: typing.Sequence[tuple[str, str]]
    links: typing.Sequence[proxies.Proxy]
    store_links: typing.Sequence[proxies.Proxy]
    entries: entries_module.Entries
    control: controls.Control


class Disruptions:
    """Injects disruptions at random times."""

    def __init__(
        self,
        rng: random.Random,
        targets: Targets,
        harm: harms.HarmLog,
        fault_log: list[str],
    ) -> None:
        self._rng = rng
        self._targets = targets
        self._harm = harm
        self._fault_log = fault_log

    async def run(self, seconds: float) -> None:
        """Inject disruptions for some time, and wait until all have ended."""
        # A repeated kind is more frequent; each occurs in each round.
        kinds = [
            self._silence,
            self._silence,
            self._silence,
            self._flood,
            self._flood,
            self._mute,
            self._cut_power,
        ]
        async with anyio.create_task_group() as tasks:
            with anyio.move_on_after(seconds):
                while True:
                    for kind in self._rng.sample(kinds, len(kinds)):
                        pause = self._rng.expovariate(1 / PAUSE_SECONDS)
                        await anyio.sleep(min(pause, 2 * PAUSE_SECONDS))
                        tasks.start_soon(kind)

    def _choose_instances(self) -> list[int]:
        """Return one, several, or all of a service, a zone or both."""
        instances = self._targets.instances
        numbers = list(range(len(instances)))
        service, zone = self._rng.choice(instances)
        of_service = [n for n in numbers if instances[n][0] == service]
        of_zone = [n for n in numbers if instances[n][1] == zone]
        return self._rng.choice(
            (
                [self._rng.choice(numbers)],
                self._rng.sample(numbers, self._rng.randint(2, len(numbers))),
                of_service,
                of_zone,
                [n for n in of_service if n in of_zone],
            )
        )

    async def _silence(self) -> None:
        """Silence sound instances, which then go on where they stopped."""
        numbers = self._choose_instances()
        seconds = self._rng.uniform(*SILENCE_SECONDS)
        self._fault_log.append(f"silence {sorted(numbers)} {seconds:.1f} s")
        with contextlib.ExitStack() as stack:
            for number in numbers:
                stack.enter_context(self._targets.links[number].paused())
            ends_at = anyio.current_time() + seconds
            async with anyio.create_task_group() as tasks:
                for number in numbers:
                    tasks.start_soon(self._silence_instance, number, ends_at)
            await anyio.sleep_until(ends_at)

    async def _silence_instance(self, number: int, ends_at: float) -> None:
        await self._targets.control.do(
            "silence", upstream=number, value=ends_at
        )

    async def _flood(self) -> None:
        """Answer some requests with bytes without end."""
        numbers = self._choose_instances()
        count = self._rng.randint(1, MAX_FLOODED_REQUESTS)
        seconds = self._rng.uniform(*FLOOD_SECONDS)
        flood = floods.choose(self._rng)
        self._fault_log.append(f"flood {sorted(numbers)} {flood} {count}")
        links = [self._targets.links[number] for number in numbers]
        for link in links:
            link.flood(flood, count)
        await anyio.sleep(seconds)
        for link in links:
            link.flood(flood, 0)

    async def _mute(self) -> None:
        """Silence open connections for good; new ones work."""
        numbers = self._choose_instances()
        probability = self._rng.choice((0.3, 1.0))
        self._fault_log.append(f"mute {sorted(numbers)} {probability}")
        for number in numbers:
            self._harm.note(harms.name_instance(number))
            self._targets.links[number].mute(probability, self._rng)
        if self._rng.random() < 0.5:
            for link in self._targets.store_links:
                link.mute(probability, self._rng)

    async def _cut_power(self) -> None:
        """End many instances and entries at once, without a word."""
        numbers = self._choose_instances()
        entries = self._targets.entries
        entry_numbers = self._rng.sample(
            sorted(entries.processes),
            self._rng.randint(1, max(1, len(entries.processes) - 1)),
        )
        seconds = self._rng.uniform(*POWER_LOSS_SECONDS)
        self._fault_log.append(
            f"cut_power {sorted(numbers)} {sorted(entry_numbers)} "
            f"{seconds:.1f} s"
        )
        async with anyio.create_task_group() as tasks:
            for number in numbers:
                tasks.start_soon(self._cut_instance, number, seconds)
            for number in entry_numbers:
                tasks.start_soon(self._cut_entry, number, seconds)

    async def _cut_instance(self, number: int, seconds: float) -> None:
        link = self._targets.links[number]
        with self._harm.harming(harms.name_instance(number)):
            with link.paused():
                link.mute(1.0, self._rng)
                await self._targets.control.do("cut_power", upstream=number)
                await anyio.sleep(seconds)
                link.reset(1.0, self._rng)
                await self._targets.control.do(
                    self._rng.choice(("back", "back_under_its_id")),
                    upstream=number,
                )

    async def _cut_entry(self, number: int, seconds: float) -> None:
        entries = self._targets.entries
        process = entries.processes[number]
        if process.returncode is not None:
            return
        with self._harm.harming(harms.name_entry(number)):
            await entries_module.kill(process)
            await anyio.sleep(seconds)
        await entries.start_again(number, process)
