# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Entries of one availability zone with one store, in virtual time."""

import typing

import anyio
import anyio.abc
import attrs

from crowdeck import errors
from crowdeck import instance as instances
from crowdeck.membership import peer_selection
from crowdeck.standin import store as standin_store
from crowdeck.state import mirror as mirrors
from crowdeck.state import objects as stores
from crowdeck.state import store_health
from tests import virtual

KIND = "config"
WAIT_SECONDS = 0.8
# A watch at a silent peer fails this long after its wait has ended.
TIMEOUT_SLACK_SECONDS = 0.4


class RecordingListener:
    """Records objects, and the event loop time when each version arrived."""

    def __init__(self) -> None:
        self.first_seen_at: dict[int, float] = {}
        self.values: dict[str, bytes] = {}

    def on_listed(self, objects: tuple[stores.StoredObject, ...]) -> None:
        self.values.clear()
        self.on_changed(objects, ())

    def on_changed(
        self,
        objects: tuple[stores.StoredObject, ...],
        removed: tuple[str, ...],
    ) -> None:
        for stored in objects:
            self.first_seen_at.setdefault(stored.version, anyio.current_time())
            self.values[stored.name] = stored.value
        for name in removed:
            self.values.pop(name, None)


class StoreConnection:
    """One entry's connection to the store, which may be cut."""

    def __init__(self, store: standin_store.StandinStore) -> None:
        self._store = store
        self.is_cut = False
        self.calls = 0

    @property
    def epoch(self) -> int | None:
        return self._store.epoch

    async def watch(
        self, kind: str, after: stores.Position, wait_seconds: float
    ) -> stores.Changes:
        self._count_call()
        # A request over HTTP has only the version; the response has the epoch.
        position = stores.Position(after.version, self._store.epoch)
        changes = await self._store.watch(kind, position, wait_seconds)
        self._require_connection()
        if changes.epoch != after.epoch:
            raise errors.CrowdeckError(
                errors.Code.STORE_HISTORY, "the store is in another epoch"
            )
        return changes

    async def list(self, kind: str) -> stores.Changes:
        self._count_call()
        return await self._store.list(kind)

    async def get(
        self, kind: str, name: str, *, allow_stale: bool = False
    ) -> stores.StoredObject | None:
        self._count_call()
        return await self._store.get(kind, name)

    async def put(
        self, kind: str, name: str, value: bytes, expected: int
    ) -> int:
        self._count_call()
        return await self._store.put(kind, name, value, expected)

    def _count_call(self) -> None:
        self.calls += 1
        self._require_connection()

    def _require_connection(self) -> None:
        if self.is_cut:
            raise errors.CrowdeckError(
                errors.Code.STORE_DOWN, "the store responded with 503"
            )


@attrs.define(eq=False)
class Entry:
    """One entry, its mirror of one kind and its selector of peers.

    :ivar is_silent: whether it does not respond to watches of its peers.
    :ivar is_down: whether connections to it fail.
    :ivar is_too_large: whether its changes are too large for a response.
    """

    name: str
    connection: StoreConnection
    health: store_health.StoreHealth
    selector: peer_selection.PeerSelector
    listener: RecordingListener
    mirror: mirrors.Mirror
    scope: anyio.CancelScope = attrs.field(factory=anyio.CancelScope)
    is_silent: bool = False
    is_down: bool = False
    is_too_large: bool = False


class Zone:
    """Entries of one zone with one store; implements ``PeerClient``."""

    def __init__(self, count: int, wait_seconds: float = WAIT_SECONDS) -> None:
        self._wait_seconds = wait_seconds
        self.store = standin_store.StandinStore()
        names = [f"entry-{number}" for number in range(count)]
        ranking = tuple(
            peer_selection.Peer(name, instances.Address("10.0.0.1", 7340))
            for name in names
        )
        self._ranking = ranking
        self._tasks: anyio.abc.TaskGroup | None = None
        self.entries = {
            name: self._make_entry(name, ranking) for name in names
        }

    async def run(self) -> None:
        """Run all entries until cancelled."""
        async with anyio.create_task_group() as self._tasks:
            for entry in self.entries.values():
                self._tasks.start_soon(self._run_entry, entry)

    async def _run_entry(self, entry: Entry) -> None:
        with entry.scope:
            await entry.mirror.run()

    def restart(self, number: int) -> None:
        """Replace an entry by a new one of this name with an empty mirror."""
        assert self._tasks is not None
        name = f"entry-{number}"
        self.entries[name].scope.cancel()
        entry = self.entries[name] = self._make_entry(name, self._ranking)
        self._tasks.start_soon(self._run_entry, entry)

    def end_faults(self) -> None:
        """End all faults."""
        self.store.is_down = False
        for entry in self.entries.values():
            entry.is_silent = entry.is_down = entry.connection.is_cut = False

    def _make_entry(
        self, name: str, ranking: tuple[peer_selection.Peer, ...]
    ) -> Entry:
        connection = StoreConnection(self.store)
        health = store_health.StoreHealth()
        selector = peer_selection.PeerSelector(
            name, lambda: ranking, self, health
        )
        health.set_probe_interval(selector.store_retry_seconds)
        listener = RecordingListener()
        mirror = mirrors.Mirror(
            connection,
            KIND,
            listener,
            self._wait_seconds,
            lambda: 0.0,
            health,
            selector,
        )
        return Entry(name, connection, health, selector, listener, mirror)

    def __getitem__(self, number: int) -> Entry:
        return self.entries[f"entry-{number}"]

    @property
    def calls(self) -> int:
        return sum(entry.connection.calls for entry in self.entries.values())

    async def watch(
        self,
        peer: peer_selection.Peer,
        kind: str,
        after: stores.Position,
        wait_seconds: float,
    ) -> stores.PeerChanges:
        """Return an entry's changes, as its HTTP endpoint does."""
        entry = self.entries[peer.name]
        await anyio.sleep(0.001)
        if entry.is_down:
            raise _no_response()
        if entry.is_silent:
            await anyio.sleep(wait_seconds + TIMEOUT_SLACK_SECONDS)
            raise _no_response()
        entry.selector.note_peer_request()
        peer_changes = await entry.mirror.changes_since(after, wait_seconds)
        if entry.is_too_large and peer_changes.changes.objects:
            raise errors.CrowdeckError(errors.Code.TOO_LARGE, "too large")
        if entry.is_silent:
            await anyio.sleep(TIMEOUT_SLACK_SECONDS)
            raise _no_response()
        await anyio.sleep(0.001)
        return peer_changes

    def write(self) -> int:
        return self.store.write(KIND, "main", b"{}")

    def max_age(self) -> float:
        """Return the largest age of a reachable entry's mirror, in seconds."""
        return max(
            entry.mirror.age()
            for entry in self.entries.values()
            if not (entry.is_down or entry.is_silent)
        )


def _no_response() -> errors.CrowdeckError:
    return errors.CrowdeckError(errors.Code.UPSTREAM_LOST, "no response")


Work = typing.Callable[[Zone], typing.Awaitable[None]]


def run_scenario(
    count: int, work: Work, wait_seconds: float = WAIT_SECONDS
) -> None:
    async def body() -> None:
        zone = Zone(count, wait_seconds)
        zone.write()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(zone.run)
            await anyio.sleep(3.0)
            await work(zone)
            tasks.cancel_scope.cancel()

    virtual.run(body)


async def max_age_over(zone: Zone, seconds: float) -> float:
    """Return the largest age of a reachable entry's mirror over a time."""
    ends_at = anyio.current_time() + seconds
    max_age = 0.0
    while anyio.current_time() < ends_at:
        max_age = max(max_age, zone.max_age())
        await anyio.sleep(0.01)
    return max_age
