# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""One timer service per process, to which its parts subscribe.

Parts never keep their own polling loops: they ask here for a call at an
interval. One task then knows every periodic duty of the process, which
is what lets tests run them all in virtual time and operators count them.
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

# Where a system has no clock that counts suspension, the steady one is all
# there is.
_BOOT: int = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)

TimerCallback = abc.Callable[[], abc.Awaitable[None]]


@attrs.define(eq=False)
class Subscription:
    """A periodic call; ``cancel`` ends it, and ending twice is harmless."""

    name: str
    interval: float
    callback: TimerCallback
    _is_cancelled: bool = False
    _is_running: bool = False

    @property
    def is_cancelled(self) -> bool:
        """Whether the subscription has been ended."""
        return self._is_cancelled

    def cancel(self) -> None:
        """End the subscription; a call in progress is left to finish."""
        self._is_cancelled = True


class Clock(typing.Protocol):
    """A source of monotonic seconds."""

    def now(self) -> float:
        """Return monotonic seconds; only differences mean anything."""
        ...


class LoopClock:
    """The running event loop's clock, virtual when the loop's time is.

    In the daemons it counts the time for which the machine was suspended,
    see :class:`BootTimeEventLoop`.
    """

    def now(self) -> float:
        """Return the event loop's monotonic seconds."""
        return anyio.current_time()


class BootClock:
    """Seconds since the machine started, those of its suspension included.

    For what is promised to others: leases, how old a copy is, until when a
    key is trusted, deadlines. The world goes on while a machine is asleep.
    """

    def now(self) -> float:
        """Return the seconds since the machine started."""
        return time.clock_gettime(_BOOT)


class MonotonicClock:
    """Seconds for which the machine was awake.

    For the pace of our own work, where nothing follows from time asleep.
    """

    def now(self) -> float:
        """Return the seconds for which the machine was awake."""
        return time.monotonic()


class BootTimeEventLoop(asyncio.SelectorEventLoop):
    """An event loop whose time goes on while the machine is suspended.

    Python's own stands still then: a process that woke after a minute held
    its lease, and trusted keys that had been taken away meanwhile, as if no
    time had passed. With this, whatever fell due while it slept is due when
    it wakes, before anything else is done.
    """

    def time(self) -> float:
        """Return the seconds since the machine started."""
        return time.clock_gettime(_BOOT)


class TimerService:
    """Calls its subscribers at their intervals.

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
        self._order = itertools.count()
        self._due: list[tuple[float, int, Subscription]] = []
        self._new: list[Subscription] = []
        self._wake = anyio.Event()

    def now(self) -> float:
        """Return the service's seconds; time asleep counts in daemons."""
        return self._clock.now()

    def monotonic_now(self) -> float:
        """Return steady seconds, in which time asleep does not count."""
        return self._monotonic_clock.now()

    def subscribe(
        self, name: str, interval: float, callback: TimerCallback
    ) -> Subscription:
        """Call ``callback`` every ``interval`` seconds from now on.

        A call that outlasts its interval makes the next one be skipped,
        so a slow duty never runs twice at once.
        """
        if interval <= 0:
            raise ValueError(f"timer {name}: interval must be above zero")
        subscription = Subscription(name, interval, callback)
        self._new.append(subscription)
        self._wake.set()
        return subscription

    async def run(self) -> None:
        """Serve subscribers until cancelled."""
        async with anyio.create_task_group() as tasks:
            while True:
                self._take_new()
                self._start_due(tasks)
                await self._sleep_until_due()

    def _take_new(self) -> None:
        self._wake = anyio.Event()
        for subscription in self._new:
            self._schedule(subscription)
        self._new.clear()

    def _schedule(self, subscription: Subscription) -> None:
        due = self.now() + subscription.interval
        heapq.heappush(self._due, (due, next(self._order), subscription))

    def _start_due(self, tasks: anyio.abc.TaskGroup) -> None:
        while self._due and self._due[0][0] <= self.now():
            subscription = heapq.heappop(self._due)[2]
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
            # A duty that fails must not take the other duties of the
            # process with it; it is tried again at its next interval.
            eliot.log_message(
                message_type="crowdeck:timer_failed",
                timer=subscription.name,
                error=repr(error),
            )
        finally:
            subscription._is_running = False

    async def _sleep_until_due(self) -> None:
        wake = self._wake
        if not self._due:
            await wake.wait()
            return
        with anyio.move_on_at(self._due[0][0]):
            await wake.wait()
