# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Whether the store can be reached, found out once for a whole process."""

import collections
import contextlib
import enum
import typing

import anyio
import anyio.lowlevel

from crowdeck.observe import counters
from crowdeck.observe import logs

# How long a process that lost the store waits between its tries. All
# processes meet an outage together and each try is charged for, so not
# less; the entries of upstreams come back within two seconds of the
# store's return, so not much more.
PROBE_INTERVAL_SECONDS = 0.3


Pause = typing.Callable[[], float]


class CallPermit(enum.Enum):
    """What a caller of the store may do.

    ``TRY`` is the one question that is asked while the store is lost.
    """

    NONE = enum.auto()
    CALL = enum.auto()
    PROBE = enum.auto()


class StoreHealth:
    """What a process's callers of the store know of it together.

    A store that falls silent keeps its connections open: a watch that was
    sent into the silence waits to its end, ten seconds perhaps, while the
    store has long returned. So when one call fails, the watches of all
    are taken back. Then one caller at a time tries, with a question that
    is answered at once, and all others go on when one try succeeds.
    """

    def __init__(self) -> None:
        self._failed_at: float | None = None
        self._tried_at = float("-inf")
        self._lost_at: float | None = None
        self._failures = 0
        self._is_tried = False
        self._tries = 0
        self._next_try_at = 0.0
        self._pause: Pause = lambda: PROBE_INTERVAL_SECONDS
        self._epoch: int | None = None
        self._line: collections.deque[object] = collections.deque()
        self._changed = anyio.Event()
        self._watches: set[anyio.CancelScope] = set()

    @property
    def is_lost(self) -> bool:
        """Whether the last call failed."""
        return self._lost_at is not None

    @property
    def failed_at(self) -> float | None:
        """The loop's time of the last call that failed, here or at a peer."""
        return self._failed_at

    @property
    def own_failed_at(self) -> float:
        """The loop's time at which this process's own call last failed."""
        return self._tried_at

    async def enter(self) -> CallPermit:
        """Wait until the store may be called.

        A try, the one question that is asked while the store is lost, is
        ended by :meth:`succeed` or :meth:`fail`.
        """
        mine = object()
        self._line.append(mine)
        try:
            while self.is_lost:
                if self._may_try(mine):
                    self._is_tried = True
                    return CallPermit.PROBE
                await self._wait(mine)
            return CallPermit.CALL
        finally:
            self._line.remove(mine)
            self._tell()

    @contextlib.asynccontextmanager
    async def permit(
        self, patience: float = float("inf")
    ) -> typing.AsyncIterator[CallPermit]:
        """Wait as :meth:`enter` does; a try ends with the block at the latest.

        A caller that is cancelled in its try tells neither success nor
        failure. All others then waited for it for ever, and the process
        never called the store again.

        :param patience: seconds to wait at most; then the turn is none.
        """
        permit = CallPermit.NONE
        with anyio.move_on_after(patience):
            permit = await self.enter()
        is_probe = permit is CallPermit.PROBE
        mine = self._tries = self._tries + is_probe
        try:
            yield permit
        finally:
            if is_probe and self._is_tried and self._tries == mine:
                self._let_on()

    @contextlib.contextmanager
    def watch_scope(self) -> typing.Iterator[anyio.CancelScope]:
        """Give a scope for a watch; it is cancelled when contact is lost."""
        with anyio.CancelScope() as scope:
            self._watches.add(scope)
            try:
                yield scope
            finally:
                self._watches.discard(scope)

    def set_probe_interval(self, pause: Pause) -> None:
        """Ask ``pause`` for the seconds between two tries, at each try."""
        self._pause = pause

    def note_peer_failure(self) -> None:
        """Note that a peer has lost the store.

        This process's own way there may be well. What is missing from the
        store soon after may have lapsed all the same.
        """
        self._failed_at = anyio.current_time()

    def observe_epoch(self, epoch: int) -> None:
        """Note an epoch of the store, told by itself or by a peer.

        A later one than any before takes the watches of all back. Each is
        sent anew and answered at once, from the new epoch: a watch that was
        sent before may wait on for ten seconds, for versions that the store
        gives out again.
        """
        known, self._epoch = self._epoch, max(epoch, self._epoch or 0)
        counters.COUNTERS.set_gauge("store.epoch", self._epoch)
        if known is None or epoch <= known:
            return
        logs.change("store_restored", epoch=epoch, before=known)
        counters.COUNTERS.add("store.restored")
        # What instances wrote last may be missing until they write again.
        self._failed_at = anyio.current_time()
        for scope in self._watches:
            scope.cancel()

    def record_success(self) -> None:
        """Note that a call was answered."""
        if self._lost_at is None:
            return
        logs.change(
            "store_regained",
            after=round(anyio.current_time() - self._lost_at, 3),
            failures=self._failures,
        )
        self._lost_at = None
        self._failures = 0
        self._let_on()

    async def record_failure(self, reason: str, was_probe: bool) -> None:
        """Note that a call was not answered.

        After a try that failed the next one waits, this caller's or
        another's. The first try does not: most failures are a connection
        that was cut, and no outage.
        """
        now = anyio.current_time()
        self._failed_at = self._tried_at = now
        self._failures += 1
        if self._lost_at is None:
            self._lost_at = self._next_try_at = now
            logs.change("store_lost", reason=reason)
            for scope in self._watches:
                scope.cancel()
        if was_probe:
            self._next_try_at = now + self._pause()
            self._let_on()
        # Whoever waited comes first, so that a kind whose answers are never
        # right does not keep the others from trying.
        await anyio.lowlevel.checkpoint()

    def _may_try(self, mine: object) -> bool:
        is_next = self._line[0] is mine and not self._is_tried
        return is_next and anyio.current_time() >= self._next_try_at

    async def _wait(self, mine: object) -> None:
        is_next = self._line[0] is mine and not self._is_tried
        with anyio.move_on_at(self._next_try_at if is_next else float("inf")):
            await self._changed.wait()

    def _tell(self) -> None:
        self._changed.set()
        self._changed = anyio.Event()

    def _let_on(self) -> None:
        self._is_tried = False
        self._tell()
