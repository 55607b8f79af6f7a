# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""A local copy of one kind of the store's objects, updated by watches."""

import typing

import anyio

from crowdeck import errors
from crowdeck.observe import counters
from crowdeck.observe import logs
from crowdeck.state import objects as stores
from crowdeck.state import replica as replicas
from crowdeck.state import store_health


# Returns seconds.
Linger = typing.Callable[[], float]
# Delay before the next call after a peer failed to answer or its copy was old.
PEER_RETRY_SECONDS = 0.05
# A call does not wait for changes if the copy was last confirmed current more
# than this many watch timeouts ago, as after a suspension or an outage.
MAX_CONFIRMED_AGE_TIMEOUTS = 2.0
# Added to the timeout of a watch at a peer, so that the peer's own watch ends
# first and confirms its copy. Without it copies are up to 1.6 s old with
# watches of 0.8 s, and with it up to 0.8 s.
PEER_WATCH_SLACK_SECONDS = 0.2


class ChangeListener(typing.Protocol):
    """Receives the objects of a mirror and their changes.

    During a call the mirror's age is still that from before the changes: they
    were made at some time since the copy was last confirmed.
    """

    def on_listed(self, objects: tuple[stores.StoredObject, ...]) -> None:
        """Receive all objects of the kind; no others exist any more."""
        ...

    def on_changed(
        self,
        objects: tuple[stores.StoredObject, ...],
        removed: tuple[str, ...],
    ) -> None:
        """Receive what was written and removed since the last call."""
        ...


class PeerReplica(typing.Protocol):
    """Another process's copy, asked instead of the store."""

    async def watch(
        self, kind: str, after: stores.Position, wait: float
    ) -> stores.PeerChanges | None:
        """Return what changed, or ``None`` if the peer did not answer.

        :param wait: seconds to wait at most for a change.
        :raises CrowdeckError: if the peer does not know the changes, so that
            the store has to be asked.
        """
        ...


class PeerSelector(typing.Protocol):
    """Chooses the peer that is asked instead of the store."""

    def choose(self) -> PeerReplica | None:
        """Return the peer to ask, or ``None`` to ask the store."""
        ...

    def seconds_until_retry(self) -> float:
        """Return the seconds after which :meth:`choose` may find a peer."""
        ...


class NoPeers:
    """Implements ``PeerSelector`` for a process without peers."""

    def choose(self) -> PeerReplica | None:
        """Return ``None``, so that the store is asked."""
        return None

    def seconds_until_retry(self) -> float:
        """Return infinity."""
        return float("inf")


class Mirror:
    """Lists a kind and follows its changes until cancelled.

    The kind is listed again when the store no longer knows the changes.

    :param linger: returns the seconds between the end of one watch and the
        next, in which changes are gathered. Each answered watch is charged
        for, and many objects of a fleet change at once.
    :param wait: seconds from one answer of the store to the next at most.
        An answered watch confirms that the copy was current when the watch
        was sent, so this also limits how long ago the copy was confirmed,
        and after how long a connection that has fallen silent is noticed.
    :param health: the store's health, shared by the mirrors of a process.
    :param peers: chooses the peers that are asked instead of the store.
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
        self._wait_seconds = wait
        self._linger = linger
        self._health = health or store_health.StoreHealth()
        self._peers = peers or NoPeers()
        self._replica = replicas.Replica()
        # Latest event-loop time at which the copy is known to be current.
        self._current_at: float | None = None
        # Event-loop time of the store's last answer.
        self._answered_at = float("-inf")
        self._must_list = True
        self._must_ask_store = False
        # Whether the next call returns at once instead of waiting for changes.
        self._skip_wait = False
        self._confirmed = anyio.Event()

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
        """Return the seconds since the copy was last confirmed current."""
        if self._current_at is None:
            return float("inf")
        return anyio.current_time() - self._current_at

    async def run(self) -> None:
        """Follow the kind until cancelled."""
        while True:
            peer = self._choose_peer()
            if peer is not None:
                await self._ask_peer(peer)
                continue
            timeout = self._peers.seconds_until_retry()
            async with self._health.permit(timeout) as permit:
                if permit is store_health.CallPermit.NONE:
                    continue
                is_probe = permit is store_health.CallPermit.PROBE
                # All other callers wait for the answer to a probe.
                self._skip_wait |= is_probe
                try:
                    await self._call_store()
                except errors.CrowdeckError as error:
                    await self._handle_failure(error, is_probe)

    async def changes_since(
        self, after: stores.Position, wait: float
    ) -> stores.PeerChanges:
        """Return what changed after a position, for another process.

        Returns once something has changed, once the copy has been confirmed
        current as of this call, or after ``wait`` seconds.

        :raises CrowdeckError: ``STORE_DOWN`` while the store is lost or its
            current epoch is not known here, ``STORE_HISTORY`` when the
            changes are not known.
        """
        asked_at = anyio.current_time()
        with (
            self._health.watch_scope(),
            anyio.move_on_after(wait),
        ):
            while not self._can_reply(after, asked_at):
                await self._confirmed.wait()
        if self._health.is_lost or self._current_at is None:
            raise errors.CrowdeckError(
                errors.Code.STORE_DOWN,
                "this process has no current copy of the store",
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
                f"the changes after version {after.version} of epoch "
                f"{after.epoch} are not known",
            )
        return stores.PeerChanges(changes, asked_at - self._current_at)

    def _can_reply(self, after: stores.Position, asked_at: float) -> bool:
        if self._health.is_lost:
            return True
        if self._current_at is None:
            return False
        if self._current_at >= asked_at:
            return True
        changes = self._replica.changes_since(after)
        return changes is None or bool(changes.objects or changes.removed)

    def _choose_peer(self) -> PeerReplica | None:
        if self._must_list or self._must_ask_store:
            return None
        return self._peers.choose()

    async def _ask_peer(self, peer: PeerReplica) -> None:
        """Ask a peer for changes and apply them."""
        wait_seconds = (
            0.0
            if self._skip_wait
            else self._wait_seconds + PEER_WATCH_SLACK_SECONDS
        )
        sent_at = anyio.current_time()
        try:
            answer = await peer.watch(self._kind, self.position, wait_seconds)
        except errors.CrowdeckError as error:
            logs.change(
                "store_asked_instead", kind=self._kind, reason=error.message
            )
            # The next call does not wait for changes: the store might report
            # an unknown position only when the watch times out.
            self._must_ask_store = self._skip_wait = True
            return
        if answer is not None:
            self._apply(answer.changes, sent_at - answer.age)
        # An old copy counts as a failure, so that the next call asks again
        # without waiting. All copies of a zone are old when the entry that
        # reads the store fell silent, and the next in the ranking soon has
        # a current one.
        self._skip_wait = answer is None or answer.age > self._wait_seconds
        if self._skip_wait:
            await anyio.sleep(PEER_RETRY_SECONDS)

    async def _call_store(self) -> None:
        """Call the store once and apply its answer."""
        wait_seconds = self._watch_seconds()
        sent_at = anyio.current_time()
        if self._must_list:
            listing = await self._store.list(self._kind)
            self._health.record_success()
            self._health.observe_epoch(listing.epoch)
            self._must_list = self._must_ask_store = self._skip_wait = False
            self._answered_at = anyio.current_time()
            self._replica.reset(listing)
            self._listener.on_listed(listing.objects)
            self._set_current(sent_at)
            return
        changes: stores.Changes | None = None
        with self._health.watch_scope():
            changes = await self._store.watch(
                self._kind, self.position, wait_seconds
            )
        if changes is None:
            # The watch was cancelled; send it again.
            self._skip_wait = True
            return
        self._skip_wait = self._must_ask_store = False
        self._health.record_success()
        self._answered_at = anyio.current_time()
        if not changes.objects and not changes.removed:
            # Without a change, the copy was current until the watch ended.
            sent_at += min(self._answered_at - sent_at, wait_seconds)
            self._apply(changes, sent_at)
            return
        self._apply(changes, sent_at)
        await anyio.sleep(self._linger())

    def _watch_seconds(self) -> float:
        """Return the seconds that the next watch waits for a change."""
        # The first call after a failure or a suspension does not wait, so
        # that its answer confirms the copy at once.
        is_stale = self.age() > MAX_CONFIRMED_AGE_TIMEOUTS * self._wait_seconds
        if self._skip_wait or is_stale:
            return 0.0
        # Counted from the last answer, as the connection may have fallen
        # silent while changes were gathered.
        idle_seconds = anyio.current_time() - self._answered_at
        return max(0.0, self._wait_seconds - idle_seconds)

    def _apply(self, changes: stores.Changes, current_at: float) -> None:
        self._replica.apply(changes)
        if changes.objects or changes.removed:
            self._listener.on_changed(changes.objects, changes.removed)
        self._set_current(current_at)

    def _set_current(self, at: float) -> None:
        # A peer may report an age that lies in the future.
        at = min(at, anyio.current_time())
        previous = self._current_at
        if previous is not None:
            counters.COUNTERS.time(f"store.{self._kind}.age", self.age())
        self._current_at = at if previous is None else max(previous, at)
        self._confirmed.set()
        self._confirmed = anyio.Event()

    async def _handle_failure(
        self, error: errors.CrowdeckError, is_probe: bool
    ) -> None:
        counters.COUNTERS.add(f"store.{self._kind}.failed")
        if error.code is errors.Code.STORE_HISTORY:
            logs.change(
                "store_history_lost",
                kind=self._kind,
                reason=error.message,
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
        self._skip_wait = True
        await self._health.record_failure(error.message, is_probe)
