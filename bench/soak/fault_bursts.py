# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Bursts of overlapping faults, during which instances fail requests."""

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

BURST_SECONDS = (2.0, 5.0)
# Mean time between two faults of a burst.
FAULT_PAUSE_SECONDS = 0.8
KILLS_OF_ONE_ENTRY = 4
# Maximum number of entries killed one after another, a second apart.
MAX_ENTRIES_KILLED_IN_TURN = 6
CUT_MODES = (proxies.Mode.HOLD, proxies.Mode.HOLD_REPLIES, proxies.Mode.REFUSE)

Faults = tuple[typing.Callable[[], typing.Awaitable[None]], ...]


@attrs.frozen
class Targets:
    """Targets of the faults.

    :ivar links: proxies in front of the instances.
    :ivar model_count: number of model instances, which come first.
    :ivar new_entries: numbers of entries that may join.
    """

    entries: entries_module.Entries
    control: controls.Control
    links: typing.Sequence[proxies.Proxy]
    model_count: int
    callers: callers_module.Callers
    new_entries: list[int]


class FaultBursts:
    """Injects faults in bursts, several at once.

    :param freeze_rng: random generator of faults that freeze all instances
        of a service, ``None`` for no such faults.
    """

    def __init__(
        self,
        rng: random.Random,
        targets: Targets,
        fault_log: list[str],
        freeze_rng: random.Random | None,
    ) -> None:
        self._rng = rng
        self._freeze_rng = freeze_rng
        self._targets = targets
        self._entries = targets.entries
        self._control = targets.control
        self._fault_log = fault_log
        self._locks: dict[int, anyio.Lock] = {}
        self._started_at = 0.0

    async def run(self, seconds: float, quiet_seconds: float) -> None:
        """Inject faults for some time, and wait until all have ended.

        A quiet period precedes each burst, so that entries start it with an
        unspent retry budget.

        :param quiet_seconds: time in which a spent budget is restored.
        """
        self._started_at = anyio.current_time()
        ends_at = self._started_at + seconds
        async with anyio.create_task_group() as task_group:
            while anyio.current_time() < ends_at:
                await anyio.sleep(quiet_seconds)
                await self._run_burst(task_group)
        self._direct_callers(self._started_entries)

    async def _run_burst(self, task_group: anyio.abc.TaskGroup) -> None:
        """Start faults at random times; they may overlap."""
        ends_at = anyio.current_time() + self._rng.uniform(*BURST_SECONDS)
        task_group.start_soon(self._fail_instances)
        if self._freeze_rng is not None:
            task_group.start_soon(self._freeze_service, self._freeze_rng)
        while anyio.current_time() < ends_at:
            await anyio.sleep(self._rng.expovariate(1 / FAULT_PAUSE_SECONDS))
            task_group.start_soon(self._rng.choice(self._faults))

    @property
    def _faults(self) -> Faults:
        # A repeated fault is chosen more often.
        return (
            self._fail_instances,
            self._freeze_or_disconnect_instances,
            self._kill_all,
            self._kill_all,
            self._kill_all,
            self._kill_in_turn,
            self._kill_repeatedly,
            self._freeze_entries,
            self._stop_entries,
            self._start_without_store,
            self._start_without_store,
            self._cut_store,
            self._add_entry,
            self._move_callers,
        )

    @property
    def _started_entries(self) -> list[int]:
        return sorted(self._entries.processes)

    def _record(self, description: str) -> None:
        at = anyio.current_time() - self._started_at
        self._fault_log.append(f"{at:.1f} {description}")

    def _sample_entries(self, least: int = 1) -> list[int]:
        started = self._started_entries
        return self._rng.sample(
            started, self._rng.randint(least, len(started))
        )

    async def _fail_instances(self) -> None:
        """Have all instances, or those of one service, fail for some time."""
        count, model_count = (
            len(self._targets.links),
            self._targets.model_count,
        )
        numbers = self._rng.choice(
            (
                range(model_count),
                range(model_count, count),
                range(count),
                range(count),
            )
        )
        command = self._rng.choice(
            ("fail_all", "fail_all", "fail_all", "lose_all", "reject_all")
        )
        seconds = self._rng.uniform(2.0, 6.0)
        self._record(
            f"{command} range({numbers.start}, {numbers.stop}) {seconds:.1f} s"
        )
        for number in numbers:
            await self._control.do(command, upstream=number)
        await anyio.sleep(seconds)
        for number in numbers:
            await self._control.do("mend", upstream=number)

    async def _freeze_or_disconnect_instances(self) -> None:
        """Freeze instances, or disconnect them.

        A frozen instance reads what it was sent once it resumes; what a
        disconnected one was sent is lost.
        """
        count = len(self._targets.links)
        numbers = self._rng.sample(
            range(count), self._rng.randint(1, count // 2)
        )
        is_frozen = self._rng.random() < 0.6
        seconds = self._rng.uniform(0.5, 4.0)
        await self._freeze_or_disconnect(numbers, seconds, is_frozen)

    async def _freeze_service(self, rng: random.Random) -> None:
        """Freeze all instances of one service."""
        count, model_count = (
            len(self._targets.links),
            self._targets.model_count,
        )
        numbers = rng.choice((range(model_count), range(model_count, count)))
        await self._freeze_or_disconnect(
            list(numbers), rng.uniform(2.0, 8.0), True
        )

    async def _freeze_or_disconnect(
        self, numbers: list[int], seconds: float, is_frozen: bool
    ) -> None:
        action = "freeze" if is_frozen else "disconnect"
        self._record(f"{action} {numbers} {seconds:.1f} s")
        for number in numbers:
            self._targets.links[number].mode = proxies.Mode.HOLD
            await self._control.do("dark", upstream=number)
        await anyio.sleep(seconds)
        for number in numbers:
            link = self._targets.links[number]
            if not is_frozen:
                link.reset(1.0, self._rng)
            await self._control.do("back", upstream=number)
            link.mode = proxies.Mode.PASS

    async def _kill(self, number: int, pause: float = 0.0) -> None:
        """Kill an entry and start it again.

        A lock for each entry prevents overlapping restarts.
        """
        async with self._locks.setdefault(number, anyio.Lock()):
            await entries_module.kill(self._entries.processes[number])
            await anyio.sleep(pause)
            await self._entries.start(number)

    async def _kill_all(self) -> None:
        pause = self._rng.choice((0.0, 0.0, 0.5))
        self._record(f"kill_all, down for {pause} s")
        await self._kill_entries(self._started_entries, pause)

    async def _kill_entries(
        self, numbers: typing.Sequence[int], pause: float = 0.0
    ) -> None:
        async with anyio.create_task_group() as tasks:
            for number in numbers:
                tasks.start_soon(self._kill, number, pause)

    async def _kill_in_turn(self) -> None:
        self._record("kill_in_turn")
        started = self._started_entries
        for number in self._rng.sample(
            started, min(MAX_ENTRIES_KILLED_IN_TURN, len(started))
        ):
            await self._kill(number)
            await anyio.sleep(1.0)

    async def _kill_repeatedly(self) -> None:
        number = self._rng.choice(self._started_entries)
        pause = self._rng.uniform(0.6, 1.6)
        self._record(f"kill_repeatedly {number} every {pause:.1f} s")
        for _ in range(KILLS_OF_ONE_ENTRY):
            await self._kill(number)
            await anyio.sleep(pause)

    async def _freeze_entries(self) -> None:
        numbers = self._sample_entries()
        seconds = self._rng.uniform(0.3, 4.0)
        self._record(f"freeze_entries {numbers} {seconds:.1f} s")
        frozen = [self._entries.processes[number] for number in numbers]
        for process in frozen:
            if process.returncode is None:
                process.send_signal(signal.SIGSTOP)
        await anyio.sleep(seconds)
        for process in frozen:
            if process.returncode is None:
                process.send_signal(signal.SIGCONT)

    async def _stop_entries(self) -> None:
        """Stop entries gracefully while callers keep their connections."""
        numbers = self._sample_entries()
        self._record(f"stop_entries {numbers}")
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

    async def _start_without_store(self) -> None:
        """Restart entries while the store is down, or cut off from them."""
        numbers = self._sample_entries()
        seconds = self._rng.uniform(1.0, 4.0)
        is_down = self._rng.random() < 0.5
        self._record(
            f"start_without_store {numbers} store_down={is_down} "
            f"{seconds:.1f} s"
        )
        links = [
            self._entries.endpoints[number].store_proxy for number in numbers
        ]
        if is_down:
            await self._control.do("store", is_down=True)
        else:
            self._cut_links(links)
        await self._kill_entries(numbers)
        await anyio.sleep(seconds)
        if is_down:
            await self._control.do("store", is_down=False)
        for link in links:
            link.mode = proxies.Mode.PASS

    async def _cut_store(self) -> None:
        numbers = self._sample_entries()
        seconds = self._rng.uniform(1.0, 5.0)
        self._record(f"cut_store {numbers} {seconds:.1f} s")
        links = [
            self._entries.endpoints[number].store_proxy for number in numbers
        ]
        self._cut_links(links)
        await anyio.sleep(seconds)
        for link in links:
            link.mode = proxies.Mode.PASS

    def _cut_links(self, links: typing.Sequence[proxies.Proxy]) -> None:
        for link in links:
            link.reset(1.0, self._rng)
            link.mode = self._rng.choice(CUT_MODES)

    async def _add_entry(self) -> None:
        """Start an entry under a new name, and direct callers to it too."""
        if not self._targets.new_entries:
            return
        number = self._targets.new_entries.pop(0)
        self._record(f"join {number}")
        async with self._locks.setdefault(number, anyio.Lock()):
            await self._entries.start(number)
        self._direct_callers(self._started_entries)

    async def _move_callers(self) -> None:
        """Direct callers to one entry, then to the others, then to all."""
        started = self._started_entries
        one = self._rng.choice(started)
        seconds = self._rng.uniform(1.0, 4.0)
        self._record(f"move_callers {one} {seconds:.1f} s")
        self._direct_callers([one])
        await anyio.sleep(seconds)
        self._direct_callers(
            [other for other in started if other != one] or started
        )
        await anyio.sleep(seconds)
        self._direct_callers(self._started_entries)

    def _direct_callers(self, numbers: typing.Sequence[int]) -> None:
        """Have callers send their requests to these entries."""
        endpoints = self._entries.endpoints
        self._targets.callers.ports = [
            endpoints[number].caller_port for number in numbers
        ]
