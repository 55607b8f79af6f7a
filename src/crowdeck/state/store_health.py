# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Whether the store can be reached, tracked once for the whole process."""

import collections
import contextlib
import enum
import typing

import anyio
import anyio.lowlevel

from crowdeck.observe import counters
from crowdeck.observe import logs

# Interval between probes of a lost store. All processes probe it at the
# same time during an outage, and each call is charged for. It cannot be much
# longer, as the records of upstreams return within two seconds of the store.
PROBE_INTERVAL_SECONDS = 0.3

# Returns seconds.
ProbeInterval = typing.Callable[[], float]


class CallPermit(enum.Enum):
    """Whether a caller may call the store.

    ``PROBE`` permits the one call that tests a lost store.
    """

    NONE = enum.auto()
    CALL = enum.auto()
    PROBE = enum.auto()


class StoreHealth:
    """The store's health, shared by all its callers in one process.

    A store that stops answering may keep its connections open, and a watch
    then blocks until its timeout even after the store has recovered. So when
    one call fails, all watches are cancelled. Then one caller at a time
    probes the store, and all others go on once a probe succeeds.
    """

    def __init__(self) -> None:
        self._disrupted_at: float | None = None
        self._own_failed_at = float("-inf")
        self._outage_at: float | None = None
        self._lost_at: float | None = None
        self._failures = 0
        self._is_probing = False
        self._probe_count = 0
        self._next_probe_at = 0.0
        self._probe_interval: ProbeInterval = lambda: PROBE_INTERVAL_SECONDS
        self._epoch: int | None = None
        self._queue: collections.deque[object] = collections.deque()
        self._changed = anyio.Event()
        self._watches: set[anyio.CancelScope] = set()

    @property
    def is_lost(self) -> bool:
        """Whether the last call failed."""
        return self._lost_at is not None

    @property
    def disrupted_at(self) -> float | None:
        """Event-loop time of the store's last disruption.

        That is a restore of the store, or a failed call here or at a peer.
        """
        return self._disrupted_at

    @property
    def own_failed_at(self) -> float:
        """Event-loop time at which this process's own call last failed."""
        return self._own_failed_at

    @property
    def outage_at(self) -> float | None:
        """Event-loop time at which the store was last found to be away.

        That is a restore, or a failed probe. Unlike a call that fails by
        itself, a probe follows another failure, so that more than one
        connection was lost.
        """
        return self._outage_at

    async def acquire(self) -> CallPermit:
        """Wait until the store may be called.

        A caller that gets a probe has to end it with :meth:`record_success`
        or :meth:`record_failure`.
        """
        ticket = object()
        self._queue.append(ticket)
        try:
            while self.is_lost:
                if self._may_probe(ticket):
                    self._is_probing = True
                    return CallPermit.PROBE
                await self._wait(ticket)
            return CallPermit.CALL
        finally:
            self._queue.remove(ticket)
            self._notify()

    @contextlib.asynccontextmanager
    async def permit(
        self, timeout: float = float("inf")
    ) -> typing.AsyncIterator[CallPermit]:
        """Hold a permit for a block, as returned by :meth:`acquire`.

        A probe ends with the block at the latest. Otherwise the other callers
        would wait forever for one that is cancelled during its probe.

        :param timeout: seconds to wait at most, after which the permit is
            ``NONE``.
        """
        permit = CallPermit.NONE
        with anyio.move_on_after(timeout):
            permit = await self.acquire()
        is_probe = permit is CallPermit.PROBE
        # A later probe may begin while the block still runs, and must not be
        # ended by it.
        probe_number = self._probe_count = self._probe_count + is_probe
        try:
            yield permit
        finally:
            if (
                is_probe
                and self._is_probing
                and self._probe_count == probe_number
            ):
                self._end_probe()

    @contextlib.contextmanager
    def watch_scope(self) -> typing.Iterator[anyio.CancelScope]:
        """Yield the scope of a watch, cancelled on a loss or a restore."""
        with anyio.CancelScope() as scope:
            self._watches.add(scope)
            try:
                yield scope
            finally:
                self._watches.discard(scope)

    def set_probe_interval(self, interval: ProbeInterval) -> None:
        """Set the function that returns the seconds until the next probe."""
        self._probe_interval = interval

    def note_peer_failure(self) -> None:
        """Note that a peer has lost the store.

        Objects that are missing soon after may have expired during the
        outage, even if this process could reach the store throughout.
        """
        self._disrupted_at = anyio.current_time()

    def observe_epoch(self, epoch: int) -> None:
        """Note an epoch that the store or a peer has reported.

        A new epoch cancels all watches, and each is sent again. A watch
        from the previous epoch may wait for versions that the store assigns
        a second time.
        """
        previous, self._epoch = self._epoch, max(epoch, self._epoch or 0)
        counters.COUNTERS.set_gauge("store.epoch", self._epoch)
        if previous is None or epoch <= previous:
            return
        logs.change("store_restored", epoch=epoch, before=previous)
        counters.COUNTERS.add("store.restored")
        # The latest writes of instances may be missing until repeated.
        self._disrupted_at = self._outage_at = anyio.current_time()
        for scope in self._watches:
            scope.cancel()

    def record_success(self) -> None:
        """Record that a call was answered."""
        if self._lost_at is None:
            return
        logs.change(
            "store_regained",
            after=round(anyio.current_time() - self._lost_at, 3),
            failures=self._failures,
        )
        self._lost_at = None
        self._failures = 0
        self._end_probe()

    async def record_failure(self, reason: str, was_probe: bool) -> None:
        """Record that a call was not answered.

        After a failed probe the next one waits. The first probe is sent at
        once, as the connection may merely have been cut.
        """
        now = anyio.current_time()
        self._disrupted_at = self._own_failed_at = now
        self._failures += 1
        if self._lost_at is None:
            self._lost_at = self._next_probe_at = now
            logs.change("store_lost", reason=reason)
            for scope in self._watches:
                scope.cancel()
        if was_probe:
            self._outage_at = now
            self._next_probe_at = now + self._probe_interval()
            self._end_probe()
        # Let the other callers probe first, so that a caller whose calls
        # always fail does not starve them.
        await anyio.lowlevel.checkpoint()

    def _may_probe(self, ticket: object) -> bool:
        is_next = self._queue[0] is ticket and not self._is_probing
        return is_next and anyio.current_time() >= self._next_probe_at

    async def _wait(self, ticket: object) -> None:
        is_next = self._queue[0] is ticket and not self._is_probing
        with anyio.move_on_at(
            self._next_probe_at if is_next else float("inf")
        ):
            await self._changed.wait()

    def _notify(self) -> None:
        self._changed.set()
        self._changed = anyio.Event()

    def _end_probe(self) -> None:
        self._is_probing = False
        self._notify()
