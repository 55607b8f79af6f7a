# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Faults in series that overlap, while what may be repeated fails."""

import random
import signal
import typing

import anyio
import anyio.abc
import attrs

from bench.soak import callers as callers_module
from bench.soak import control as controls
from bench.soak import entries as entries_module
from bench.soak import proxy as proxies

GUST_SECONDS = (2.0, 5.0)
# Mean time between two series of a gust.
PAUSE = 0.8
KILLS_IN_A_ROW = 4
# Entries that are killed one a second.
TURNS = 6
CUTS = (proxies.Mode.SILENT, proxies.Mode.DEAF, proxies.Mode.REFUSE)

Kinds = tuple[typing.Callable[[], typing.Awaitable[None]], ...]


@attrs.frozen
class Struck:
    """What a storm may strike.

    :ivar ways: the proxies before the instances.
    :ivar models: how many instances, the first ones, are models.
    :ivar newcomers: numbers of entries that may join.
    """

    entries: entries_module.Entries
    control: controls.Control
    ways: typing.Sequence[proxies.Proxy]
    models: int
    callers: callers_module.Callers
    newcomers: list[int]


class Storm:
    """Series of faults, several at once.

    :param freezes: draws of gusts that also freeze all instances of a kind,
        ``None`` where none do.
    """

    def __init__(
        self,
        rng: random.Random,
        struck: Struck,
        told: list[str],
        freezes: random.Random | None,
    ) -> None:
        self._chance = rng
        self._freezes = freezes
        self._struck = struck
        self._entries = struck.entries
        self._control = struck.control
        self._told = told
        self._locks: dict[int, anyio.Lock] = {}
        self._began = 0.0

    async def run(self, seconds: float, calm: float) -> None:
        """Strike for some time, and wait until all is undone.

        Calm and gusts take turns: only what a calm time left unspent can be
        spent at once.

        :param calm: seconds in which a budget comes back.
        """
        self._began = anyio.current_time()
        until = self._began + seconds
        async with anyio.create_task_group() as striking:
            while anyio.current_time() < until:
                await anyio.sleep(calm)
                await self._blow(striking)
        self._aim(self._known)

    async def _blow(self, striking: anyio.abc.TaskGroup) -> None:
        """Begin one series after another; they overlap."""
        until = anyio.current_time() + self._chance.uniform(*GUST_SECONDS)
        striking.start_soon(self._fail_instances)
        if self._freezes is not None:
            striking.start_soon(self._freeze_kind, self._freezes)
        while anyio.current_time() < until:
            await anyio.sleep(self._chance.expovariate(1 / PAUSE))
            striking.start_soon(self._chance.choice(self._kinds))

    @property
    def _kinds(self) -> Kinds:
        return (
            self._fail_instances,
            self._silence_instances,
            self._kill_all,
            self._kill_all,
            self._kill_all,
            self._kill_in_turn,
            self._kill_again,
            self._freeze_some,
            self._stop_some,
            self._start_blind,
            self._start_blind,
            self._cut_some,
            self._join,
            self._move_callers,
        )

    @property
    def _known(self) -> list[int]:
        return sorted(self._entries.processes)

    def _tell(self, what: str) -> None:
        at = anyio.current_time() - self._began
        self._told.append(f"{at:.1f} {what}")

    def _some(self, least: int = 1) -> list[int]:
        known = self._known
        return self._chance.sample(
            known, self._chance.randint(least, len(known))
        )

    async def _fail_instances(self) -> None:
        """Have all instances fail for a time, of one kind or of all."""
        count, models = len(self._struck.ways), self._struck.models
        numbers = self._chance.choice(
            (range(models), range(models, count), range(count), range(count))
        )
        what = self._chance.choice(
            ("fail_all", "fail_all", "fail_all", "lose_all", "reject_all")
        )
        seconds = self._chance.uniform(2.0, 6.0)
        self._tell(f"{what} {numbers.start}-{numbers.stop} {seconds:.1f} s")
        for number in numbers:
            await self._control.do(what, upstream=number)
        await anyio.sleep(seconds)
        for number in numbers:
            await self._control.do("mend", upstream=number)

    async def _silence_instances(self) -> None:
        """Freeze instances, or have them go dark.

        What a frozen one was sent it reads once it goes on; to a dark one
        it is lost.
        """
        count = len(self._struck.ways)
        numbers = self._chance.sample(
            range(count), self._chance.randint(1, count // 2)
        )
        is_frozen = self._chance.random() < 0.6
        seconds = self._chance.uniform(0.5, 4.0)
        await self._silence(numbers, seconds, is_frozen)

    async def _freeze_kind(self, rng: random.Random) -> None:
        """Freeze all instances that a service has."""
        count, models = len(self._struck.ways), self._struck.models
        numbers = rng.choice((range(models), range(models, count)))
        await self._silence(list(numbers), rng.uniform(2.0, 8.0), True)

    async def _silence(
        self, numbers: list[int], seconds: float, is_frozen: bool
    ) -> None:
        what = "freeze" if is_frozen else "darken"
        self._tell(f"{what} {numbers} {seconds:.1f} s")
        for number in numbers:
            self._struck.ways[number].mode = proxies.Mode.SILENT
            await self._control.do("dark", upstream=number)
        await anyio.sleep(seconds)
        for number in numbers:
            way = self._struck.ways[number]
            if not is_frozen:
                way.reset(1.0, self._chance)
            await self._control.do("back", upstream=number)
            way.mode = proxies.Mode.PASS

    async def _kill(self, number: int, pause: float = 0.0) -> None:
        """Kill an entry and start it again, one series after another."""
        async with self._locks.setdefault(number, anyio.Lock()):
            await entries_module.end(self._entries.processes[number])
            await anyio.sleep(pause)
            await self._entries.start(number)

    async def _kill_all(self) -> None:
        pause = self._chance.choice((0.0, 0.0, 0.5))
        self._tell(f"kill_all, {pause} s")
        await self._kill_those(self._known, pause)

    async def _kill_those(
        self, numbers: typing.Sequence[int], pause: float = 0.0
    ) -> None:
        async with anyio.create_task_group() as tasks:
            for number in numbers:
                tasks.start_soon(self._kill, number, pause)

    async def _kill_in_turn(self) -> None:
        self._tell("kill_in_turn")
        known = self._known
        for number in self._chance.sample(known, min(TURNS, len(known))):
            await self._kill(number)
            await anyio.sleep(1.0)

    async def _kill_again(self) -> None:
        number = self._chance.choice(self._known)
        pause = self._chance.uniform(0.6, 1.6)
        self._tell(f"kill_again {number} each {pause:.1f} s")
        for _ in range(KILLS_IN_A_ROW):
            await self._kill(number)
            await anyio.sleep(pause)

    async def _freeze_some(self) -> None:
        numbers = self._some()
        seconds = self._chance.uniform(0.3, 4.0)
        self._tell(f"freeze_entries {numbers} {seconds:.1f} s")
        frozen = [self._entries.processes[number] for number in numbers]
        for process in frozen:
            if process.returncode is None:
                process.send_signal(signal.SIGSTOP)
        await anyio.sleep(seconds)
        for process in frozen:
            if process.returncode is None:
                process.send_signal(signal.SIGCONT)

    async def _stop_some(self) -> None:
        """Stop entries as planned, while callers keep their connections."""
        numbers = self._some()
        self._tell(f"stop_entries {numbers}")
        async with anyio.create_task_group() as tasks:
            for number in numbers:
                tasks.start_soon(self._stop, number)

    async def _stop(self, number: int) -> None:
        async with self._locks.setdefault(number, anyio.Lock()):
            process = self._entries.processes[number]
            if process.returncode is None:
                process.terminate()
                await process.wait()
            await self._entries.start(number)

    async def _start_blind(self) -> None:
        """Start entries while the store says nothing, to some or to all."""
        numbers = self._some()
        seconds = self._chance.uniform(1.0, 4.0)
        is_down = self._chance.random() < 0.5
        self._tell(f"start_blind {numbers} {is_down} {seconds:.1f} s")
        ways = [self._entries.places[number].store for number in numbers]
        if is_down:
            await self._control.do("store", is_down=True)
        else:
            self._cut(ways)
        await self._kill_those(numbers)
        await anyio.sleep(seconds)
        if is_down:
            await self._control.do("store", is_down=False)
        for way in ways:
            way.mode = proxies.Mode.PASS

    async def _cut_some(self) -> None:
        numbers = self._some()
        seconds = self._chance.uniform(1.0, 5.0)
        self._tell(f"cut_store {numbers} {seconds:.1f} s")
        ways = [self._entries.places[number].store for number in numbers]
        self._cut(ways)
        await anyio.sleep(seconds)
        for way in ways:
            way.mode = proxies.Mode.PASS

    def _cut(self, ways: typing.Sequence[proxies.Proxy]) -> None:
        for way in ways:
            way.reset(1.0, self._chance)
            way.mode = self._chance.choice(CUTS)

    async def _join(self) -> None:
        """Have an entry under a new name join, and callers use it."""
        if not self._struck.newcomers:
            return
        number = self._struck.newcomers.pop(0)
        self._tell(f"join {number}")
        async with self._locks.setdefault(number, anyio.Lock()):
            await self._entries.start(number)
        self._aim(self._known)

    async def _move_callers(self) -> None:
        """Have callers move from one entry to the others, and back to all."""
        known = self._known
        one = self._chance.choice(known)
        seconds = self._chance.uniform(1.0, 4.0)
        self._tell(f"move_callers {one} {seconds:.1f} s")
        self._aim([one])
        await anyio.sleep(seconds)
        self._aim([other for other in known if other != one] or known)
        await anyio.sleep(seconds)
        self._aim(self._known)

    def _aim(self, numbers: typing.Sequence[int]) -> None:
        """Have callers ask these entries."""
        places = self._entries.places
        self._struck.callers.ports = [
            places[number].callers for number in numbers
        ]
