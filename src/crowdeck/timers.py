# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Clocks, and the timer service that runs a process's periodic tasks.

Components subscribe here instead of running polling loops of their own, so
that tests can run all periodic tasks in virtual time.
"""

import asyncio
from collections import abc
import heapq
import itertools
import time
import typing

import anyio
import attrs
import eliot

# Not every system has a clock that counts time while suspended.
_BOOT_CLOCK_ID: int = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)

TimerCallback = abc.Callable[[], abc.Awaitable[None]]


@attrs.define(eq=False)
class Subscription:
    """A periodic call; cancelling it twice has no further effect."""

    name: str
    interval_seconds: float
    callback: TimerCallback
    _is_cancelled: bool = False
    _is_running: bool = False

    @property
    def is_cancelled(self) -> bool:
        """Whether the subscription was cancelled."""
        return self._is_cancelled

    def cancel(self) -> None:
        """Cancel the subscription; a call in progress still finishes."""
        self._is_cancelled = True


class Clock(typing.Protocol):
    """A source of monotonic seconds."""

    def now(self) -> float:
        """Return monotonic seconds since an arbitrary moment."""
        ...


class LoopClock:
    """The clock of the running event loop, virtual in tests.

    In the daemons it includes time while the machine was suspended, see
    :class:`BootTimeEventLoop`.
    """

    def now(self) -> float:
        """Return the event loop's monotonic seconds."""
        return anyio.current_time()


class BootClock:
    """Seconds since boot, including time while suspended.

    For everything that expires while the machine is suspended: leases,
    caches, trusted keys and deadlines.
    """

    def now(self) -> float:
        """Return the seconds since boot."""
        return time.clock_gettime(_BOOT_CLOCK_ID)


class MonotonicClock:
    """Monotonic seconds without time while suspended.

    For durations of the process's own work.
    """

    def now(self) -> float:
        """Return the monotonic seconds."""
        return time.monotonic()


class BootTimeEventLoop(asyncio.SelectorEventLoop):
    """An event loop whose time includes time while suspended.

    Python's own event loops exclude that time, so after a resume a process
    would still trust leases and keys that expired meanwhile.
    """

    def time(self) -> float:
        """Return the seconds since boot."""
        return time.clock_gettime(_BOOT_CLOCK_ID)


class TimerService:
    """Calls its subscribers at their intervals.

    The clock must have the event loop's time: the service sleeps by the event
    loop until the next call is due.

    >>> timers = TimerService()
    >>> async def poll() -> None: ...
    >>> subscription = timers.subscribe("poll", 1.0, poll)
    >>> subscription.cancel()
    """

    def __init__(
        self, clock: Clock | None = None, monotonic_clock: Clock | None = None
    ) -> None:
        self._clock = clock or LoopClock()
        self._monotonic_clock = monotonic_clock or MonotonicClock()
        self._tie_breakers = itertools.count()
        self._scheduled: list[tuple[float, int, Subscription]] = []
        self._unscheduled: list[Subscription] = []
        self._wake = anyio.Event()

    def now(self) -> float:
        """Return the seconds of the service's clock."""
        return self._clock.now()

    def monotonic_now(self) -> float:
        """Return monotonic seconds, without time while suspended."""
        return self._monotonic_clock.now()

    def subscribe(
        self, name: str, interval: float, callback: TimerCallback
    ) -> Subscription:
        """Call ``callback`` every ``interval`` seconds from now on.

        Calls that fall due while one is running are skipped.

        :raises ValueError: if ``interval`` is not above zero.
        """
        if interval <= 0:
            raise ValueError(
                f"timer {name}: interval must be above zero, not {interval:g}"
            )
        subscription = Subscription(name, interval, callback)
        self._unscheduled.append(subscription)
        self._wake.set()
        return subscription

    async def run(self) -> None:
        """Serve subscribers until cancelled."""
        async with anyio.create_task_group() as tasks:
            while True:
                self._schedule_new()
                self._start_due(tasks)
                await self._sleep_until_due()

    def _schedule_new(self) -> None:
        self._wake = anyio.Event()
        for subscription in self._unscheduled:
            self._schedule(subscription)
        self._unscheduled.clear()

    def _schedule(self, subscription: Subscription) -> None:
        due = self.now() + subscription.interval_seconds
        heapq.heappush(
            self._scheduled, (due, next(self._tie_breakers), subscription)
        )

    def _start_due(self, tasks: anyio.abc.TaskGroup) -> None:
        while self._scheduled and self._scheduled[0][0] <= self.now():
            subscription = heapq.heappop(self._scheduled)[2]
            if subscription.is_cancelled:
                continue
            self._schedule(subscription)
            if not subscription._is_running:
                subscription._is_running = True
                tasks.start_soon(self._call, subscription)

    async def _call(self, subscription: Subscription) -> None:
        try:
            await subscription.callback()
        except Exception as error:
            # A failed call must not end the other timers; it is repeated at
            # the next interval.
            eliot.log_message(
                message_type="crowdeck:timer_failed",
                timer=subscription.name,
                error=repr(error),
            )
        finally:
            subscription._is_running = False

    async def _sleep_until_due(self) -> None:
        wake = self._wake
        if not self._scheduled:
            await wake.wait()
            return
        with anyio.move_on_at(self._scheduled[0][0]):
            await wake.wait()
