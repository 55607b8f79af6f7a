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
from crowdeck.state import contact as contacts
from crowdeck.state import objects as stores


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
    :param contact: what all mirrors of a process know of the store.
    """

    def __init__(
        self,
        store: stores.ObjectStore,
        kind: str,
        follower: Follower,
        wait: float,
        linger: Linger = lambda: 0.0,
        contact: contacts.StoreContact | None = None,
    ) -> None:
        self._store = store
        self._kind = kind
        self._follower = follower
        self._wait = wait
        self._linger = linger
        self._contact = contact or contacts.StoreContact()
        self._version: int | None = None
        self._current_at: float | None = None
        self._has_failed = False

    @property
    def version(self) -> int:
        """The store's version up to which changes are known."""
        return self._version or 0

    @property
    def has_listed(self) -> bool:
        """Whether the kind was ever listed."""
        return self._current_at is not None

    def age(self) -> float:
        """Return for how many seconds the copy has not been proved current."""
        if self._current_at is None:
            return float("inf")
        return anyio.current_time() - self._current_at

    async def run(self) -> None:
        """Follow the kind until cancelled."""
        while True:
            async with self._contact.turn() as is_try:
                try:
                    await self._step()
                except errors.CrowdeckError as error:
                    await self._note(error, is_try)

    async def _step(self) -> None:
        """Make one call and take what it tells."""
        # After a failure the first question is one that is answered at
        # once: it shows that the store is back, and proves the copy.
        wait = 0.0 if self._has_failed else self._wait
        sent_at = anyio.current_time()
        if self._version is None:
            listing = await self._store.list(self._kind)
            self._contact.succeed()
            self._version = listing.version
            self._current_at = sent_at
            self._follower.on_listed(listing.objects)
            return
        changes: stores.Changes | None = None
        with self._contact.watching():
            changes = await self._store.watch(self._kind, self._version, wait)
        if changes is None:
            # Contact was lost meanwhile: the watch is sent anew.
            self._has_failed = True
            return
        self._has_failed = False
        self._contact.succeed()
        self._version = max(self._version, changes.version)
        if not changes.objects and not changes.removed:
            # The store waited to the end and still knew of no change.
            took = anyio.current_time() - sent_at
            self._current_at = sent_at + min(took, wait)
            return
        self._current_at = sent_at
        self._follower.on_changed(changes.objects, changes.removed)
        await anyio.sleep(self._linger())

    async def _note(self, error: errors.CrowdeckError, is_try: bool) -> None:
        counters.COUNTERS.add(f"store.{self._kind}.failed")
        if error.code is errors.Code.STORE_HISTORY:
            logs.change("store_history_lost", kind=self._kind)
            self._version = None
            self._contact.succeed()
            return
        logs.change(
            "store_call_failed",
            kind=self._kind,
            reason=error.message,
            age=round(self.age(), 3),
            version=self._version,
        )
        self._has_failed = True
        await self._contact.fail(error.message, is_try)
