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
from crowdeck.state import replica as replicas
from crowdeck.state import store_health


Linger = typing.Callable[[], float]
# Between two questions to other processes after one that was of no help:
# a twentieth of what a proof's age may become, in seconds.
ASK_PAUSE = 0.05
# A watch proves the copy anew each time, and a change that ends it just
# before its time leaves a proof one wait old; older, the process slept.
OLD_WAITS = 2.0
# Another process's copy is proved anew once in each of its watches. Whoever
# waits just as long goes away a moment before, with a proof of that age:
# copies were 1.6 s old at the most with a watch of 0.8 s, and 0.8 s with
# this added.
HELPER_SLACK = 0.2


class ChangeListener(typing.Protocol):
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


class PeerReplica(typing.Protocol):
    """Another process's copy, asked instead of the store."""

    async def watch(
        self, kind: str, after: stores.Position, wait: float
    ) -> stores.PeerChanges | None:
        """Return what changed after a position, ``None`` for no help.

        :raises CrowdeckError: when only the store can tell.
        """
        ...


class PeerSelector(typing.Protocol):
    """Knows whether another process may be asked instead of the store."""

    def choose(self) -> PeerReplica | None:
        """Return whom to ask, or ``None`` to ask the store."""
        ...

    def seconds_to_next(self) -> float:
        """Return after how long :meth:`choose` may find one again."""
        ...


class NoPeers:
    """Implements ``PeerSelector`` for a process that is alone."""

    def choose(self) -> PeerReplica | None:
        """Return nobody."""
        return None

    def seconds_to_next(self) -> float:
        """Return infinity."""
        return float("inf")


class Mirror:
    """Lists a kind once, then follows its changes until cancelled.

    :param linger: returns the seconds between one watch and the next, in which
        changes gather. Each watch that is answered is charged for, and
        fleets change many objects at once.
    :param wait: seconds that one watch waits for a change. An answered
        watch proves that the copy was current when the watch was sent,
        so this also decides how old the proof may become.
    :param health: what all mirrors of a process know of the store.
    :param peers: other processes that may be asked instead.
    """

    def __init__(
        self,
        store: stores.ObjectStore,
        kind: str,
        listener: ChangeListener,
        wait: float,
        linger: Linger = lambda: 0.0,
        health: store_health.StoreHealth | None = None,
        peers: PeerSelector | None = None,
    ) -> None:
        self._store = store
        self._kind = kind
        self._listener = listener
        self._wait = wait
        self._linger = linger
        self._health = health or store_health.StoreHealth()
        self._peers = peers or NoPeers()
        self._replica = replicas.Replica()
        self._current_at: float | None = None
        self._must_list = True
        self._must_ask_store = False
        self._has_failed = False
        self._moved_on = anyio.Event()

    @property
    def kind(self) -> str:
        """The kind that is followed."""
        return self._kind

    @property
    def position(self) -> stores.Position:
        """The store's position up to which changes are known."""
        return self._replica.position

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
            helper = self._choose()
            if helper is not None:
                await self._ask(helper)
                continue
            patience = self._peers.seconds_to_next()
            async with self._health.permit(patience) as permit:
                if permit is store_health.CallPermit.NONE:
                    continue
                try:
                    await self._step()
                except errors.CrowdeckError as error:
                    await self._note(
                        error, permit is store_health.CallPermit.PROBE
                    )

    async def changes_since(
        self, after: stores.Position, wait: float
    ) -> stores.PeerChanges:
        """Return what changed after a position, for another process.

        Answers once something has changed, or once the copy was proved
        current after the question came, or when the wait is over.

        :raises CrowdeckError: ``STORE_DOWN`` while the store is lost or its
            present epoch not known here, ``STORE_HISTORY`` when it is not
            known what changed.
        """
        came_at = anyio.current_time()
        with (
            self._health.watch_scope(),
            anyio.move_on_after(wait),
        ):
            while not self._has_news(after, came_at):
                await self._moved_on.wait()
        if self._health.is_lost or self._current_at is None:
            raise errors.CrowdeckError(
                errors.Code.STORE_DOWN, "the store is lost from here as well"
            )
        if after.epoch > self.position.epoch:
            self._health.observe_epoch(after.epoch)
            raise errors.CrowdeckError(
                errors.Code.STORE_DOWN,
                f"epoch {after.epoch} of the store is not known here yet",
            )
        changes = self._replica.changes_since(after)
        if changes is None:
            raise errors.CrowdeckError(
                errors.Code.STORE_HISTORY,
                f"what happened after {after.version} of epoch "
                f"{after.epoch} is not known",
            )
        return stores.PeerChanges(changes, came_at - self._current_at)

    def _has_news(self, after: stores.Position, came_at: float) -> bool:
        if self._health.is_lost:
            return True
        if self._current_at is None:
            return False
        if self._current_at >= came_at:
            return True
        changes = self._replica.changes_since(after)
        return changes is None or bool(changes.objects or changes.removed)

    def _choose(self) -> PeerReplica | None:
        if self._must_list or self._must_ask_store:
            return None
        return self._peers.choose()

    async def _ask(self, helper: PeerReplica) -> None:
        """Ask another process and take what it tells."""
        wait = 0.0 if self._has_failed else self._wait + HELPER_SLACK
        sent_at = anyio.current_time()
        try:
            sighting = await helper.watch(self._kind, self.position, wait)
        except errors.CrowdeckError as error:
            logs.change(
                "store_asked_instead", kind=self._kind, reason=error.message
            )
            # At once: a watch from a position that the store does not have
            # any more may wait to its end before it shows that.
            self._must_ask_store = self._has_failed = True
            return
        if sighting is not None:
            self._take(sighting.changes, sent_at - sighting.age)
        # All copies of a zone are old when the one that they were read from
        # fell silent; the next in line has a proof within a moment.
        self._has_failed = sighting is None or sighting.age > self._wait
        if self._has_failed:
            await anyio.sleep(ASK_PAUSE)

    async def _step(self) -> None:
        """Make one call of the store and take what it tells."""
        # After a failure the first question is one that is answered at
        # once: it shows that the store is back, and proves the copy.
        # So is the first after a suspension: 0.8 s of refusals less.
        is_old = self.age() > OLD_WAITS * self._wait
        wait = 0.0 if self._has_failed or is_old else self._wait
        sent_at = anyio.current_time()
        if self._must_list:
            listing = await self._store.list(self._kind)
            self._health.record_success()
            self._health.observe_epoch(listing.epoch)
            self._must_list = self._must_ask_store = self._has_failed = False
            self._replica.reset(listing)
            self._note_current(sent_at)
            self._listener.on_listed(listing.objects)
            return
        changes: stores.Changes | None = None
        with self._health.watch_scope():
            changes = await self._store.watch(self._kind, self.position, wait)
        if changes is None:
            # Contact was lost meanwhile: the watch is sent anew.
            self._has_failed = True
            return
        self._has_failed = self._must_ask_store = False
        self._health.record_success()
        if not changes.objects and not changes.removed:
            # The store waited to the end and still knew of no change.
            sent_at += min(anyio.current_time() - sent_at, wait)
            self._take(changes, sent_at)
            return
        self._take(changes, sent_at)
        await anyio.sleep(self._linger())

    def _take(self, changes: stores.Changes, current_at: float) -> None:
        self._replica.apply(changes)
        self._note_current(current_at)
        if changes.objects or changes.removed:
            self._listener.on_changed(changes.objects, changes.removed)

    def _note_current(self, at: float) -> None:
        known = self._current_at
        self._current_at = at if known is None else max(known, at)
        self._moved_on.set()
        self._moved_on = anyio.Event()

    async def _note(self, error: errors.CrowdeckError, is_probe: bool) -> None:
        counters.COUNTERS.add(f"store.{self._kind}.failed")
        if error.code is errors.Code.STORE_HISTORY:
            logs.change(
                "store_history_lost",
                kind=self._kind,
                epoch=self.position.epoch,
                version=self.position.version,
            )
            self._must_list = True
            self._health.record_success()
            return
        logs.change(
            "store_call_failed",
            kind=self._kind,
            reason=error.message,
            age=round(self.age(), 3),
            epoch=self.position.epoch,
            version=self.position.version,
        )
        self._has_failed = True
        await self._health.record_failure(error.message, is_probe)
