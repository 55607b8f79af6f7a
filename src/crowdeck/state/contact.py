# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Whether the store can be reached, found out once for a whole process."""

import contextlib
import typing

import anyio
import anyio.lowlevel

from crowdeck.observe import logs

# How long a process that lost the store waits between its tries. All
# processes meet an outage together and each try is charged for, so not
# less; the entries of upstreams come back within two seconds of the
# store's return, so not much more.
RETRY_SECONDS = 0.3


class StoreContact:
    """What a process's callers of the store know of it together.

    A store that falls silent keeps its connections open: a watch that was
    sent into the silence waits to its end, ten seconds perhaps, while the
    store has long returned. So when one call fails, the watches of all
    are taken back. Then one caller at a time tries, with a question that
    is answered at once, and all others go on when one try succeeds.
    """

    def __init__(self) -> None:
        self._failed_at: float | None = None
        self._lost_at: float | None = None
        self._failures = 0
        self._is_tried = False
        self._tries = 0
        self._changed = anyio.Event()
        self._watches: set[anyio.CancelScope] = set()

    @property
    def is_lost(self) -> bool:
        """Whether the last call failed."""
        return self._lost_at is not None

    @property
    def failed_at(self) -> float | None:
        """The loop's time of the last call that failed."""
        return self._failed_at

    async def enter(self) -> bool:
        """Wait until the store may be called.

        Returns whether the call is a try: the one question that is asked
        while the store is lost. :meth:`succeed` or :meth:`fail` ends it.
        """
        while self.is_lost:
            if not self._is_tried:
                self._is_tried = True
                return True
            await self._changed.wait()
        return False

    @contextlib.asynccontextmanager
    async def turn(self) -> typing.AsyncIterator[bool]:
        """Wait as :meth:`enter` does; a try ends with the block at the latest.

        A caller that is cancelled in its try tells neither success nor
        failure. All others then waited for it for ever, and the process
        never called the store again.
        """
        is_try = await self.enter()
        mine = self._tries = self._tries + is_try
        try:
            yield is_try
        finally:
            if is_try and self._is_tried and self._tries == mine:
                self._let_on()

    @contextlib.contextmanager
    def watching(self) -> typing.Iterator[anyio.CancelScope]:
        """Give a scope for a watch; it is cancelled when contact is lost."""
        with anyio.CancelScope() as scope:
            self._watches.add(scope)
            try:
                yield scope
            finally:
                self._watches.discard(scope)

    def succeed(self) -> None:
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

    async def fail(self, reason: str, was_try: bool) -> None:
        """Note that a call was not answered.

        After a try that failed the next one waits, this caller's or
        another's. The first try does not: most failures are a connection
        that was cut, and no outage.
        """
        now = anyio.current_time()
        self._failed_at = now
        self._failures += 1
        if self._lost_at is None:
            self._lost_at = now
            logs.change("store_lost", reason=reason)
            for scope in self._watches:
                scope.cancel()
        if was_try:
            try:
                await anyio.sleep(RETRY_SECONDS)
            finally:
                self._let_on()
            # Whoever waited is woken first, so that a kind whose answers
            # are never right does not keep the others from trying.
            await anyio.lowlevel.checkpoint()

    def _let_on(self) -> None:
        self._is_tried = False
        self._changed.set()
        self._changed = anyio.Event()
