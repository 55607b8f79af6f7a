# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""A local copy of one kind of the store's objects, kept up by a watch."""

import typing

import anyio

from crowdeck import errors
from crowdeck.observe import counters
from crowdeck.observe import logs
from crowdeck.state import objects as stores

# A failed call is tried again this soon. All processes meet an outage
# together and each try is charged for, so not sooner; the entries of
# upstreams come back within two seconds of the store, so not much later.
RETRY_SECONDS = 0.3
# Tries that follow one another at once before pauses begin: the first
# failure is most often a connection that was cut, not an outage.
QUICK_TRIES = 1


Linger = typing.Callable[[], float]


class Follower(typing.Protocol):
    """Takes what a mirror sees."""

    def on_listed(self, objects: tuple[stores.StoredObject, ...]) -> None:
        """Take all objects of the kind; others are gone."""
        ...

    def on_changed(
        self,
        objects: tuple[stores.StoredObject, ...],
        removed: tuple[str, ...],
    ) -> None:
        """Take what was written and removed since the last call."""
        ...


class Mirror:
    """Lists a kind once, then follows its changes until cancelled.

    :param linger: returns the seconds between one watch and the next, in which
        changes gather. Each watch that is answered is charged for, and
        fleets change many objects at once.
    :param wait: seconds that one watch waits for a change. An answered
        watch proves that the copy was current when the watch was sent,
        so this also decides how old the proof may become.
    """

    def __init__(
        self,
        store: stores.ObjectStore,
        kind: str,
        follower: Follower,
        wait: float,
        linger: Linger = lambda: 0.0,
    ) -> None:
        self._store = store
        self._kind = kind
        self._follower = follower
        self._wait = wait
        self._linger = linger
        self._version: int | None = None
        self._current_at: float | None = None
        self._failed_at: float | None = None
        self._failures = 0

    @property
    def version(self) -> int:
        """The store's version up to which changes are known."""
        return self._version or 0

    @property
    def has_listed(self) -> bool:
        """Whether the kind was ever listed."""
        return self._current_at is not None

    @property
    def failed_at(self) -> float | None:
        """The loop's time of the last call that failed."""
        return self._failed_at

    def age(self) -> float:
        """Return for how many seconds the copy has not been proved current."""
        if self._current_at is None:
            return float("inf")
        return anyio.current_time() - self._current_at

    async def run(self) -> None:
        """Follow the kind until cancelled."""
        while True:
            try:
                current_at = await self._step()
            except errors.CrowdeckError as error:
                await self._pause_after(error)
                continue
            self._current_at = current_at
            if self._failures > QUICK_TRIES:
                logs.change(
                    "store_regained", kind=self._kind, version=self._version
                )
            self._failures = 0

    async def _step(self) -> float:
        """Make one call; returns when the copy was current for certain."""
        sent_at = anyio.current_time()
        if self._version is None:
            listing = await self._store.list(self._kind)
            self._version = listing.version
            self._follower.on_listed(listing.objects)
            return sent_at
        changes = await self._store.watch(
            self._kind, self._version, self._wait
        )
        self._version = max(self._version, changes.version)
        if not changes.objects and not changes.removed:
            # The store waited to the end and still knew of no change.
            took = anyio.current_time() - sent_at
            return sent_at + min(took, self._wait)
        self._follower.on_changed(changes.objects, changes.removed)
        await anyio.sleep(self._linger())
        return sent_at

    async def _pause_after(self, error: errors.CrowdeckError) -> None:
        counters.COUNTERS.add(f"store.{self._kind}.failed")
        if error.code is errors.Code.STORE_HISTORY:
            logs.change("store_history_lost", kind=self._kind)
            self._version = None
            return
        self._failures += 1
        self._failed_at = anyio.current_time()
        if self._failures <= QUICK_TRIES:
            return
        if self._failures == QUICK_TRIES + 1:
            logs.change(
                "store_lost",
                kind=self._kind,
                reason=error.message,
                age=round(self.age(), 3),
            )
        await anyio.sleep(RETRY_SECONDS)
