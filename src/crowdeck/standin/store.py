# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""A stand-in for the platform's object API and instance list."""

import collections

import anyio
import attrs

from crowdeck import errors
from crowdeck import instance as instances
from crowdeck.state import objects as stores
from crowdeck import verdict as verdicts

# Client timeout in addition to the requested wait of a watch.
REPLY_TIMEOUT_SECONDS = 0.5
DEFAULT_DELAY_SECONDS = 0.002


@attrs.frozen
class Backup:
    """The contents of a store at one time.

    :ivar removals: version, kind and name of each removal.
    :ivar forgotten_version: version up to which no history is kept.
    """

    objects: dict[tuple[str, str], stores.StoredObject]
    removals: tuple[tuple[int, str, str], ...]
    forgotten_version: int
    version: int


class StandinStore:
    """Implements ``ObjectStore`` and ``InstanceList`` in memory.

    After :meth:`stop_answering`, pending watches and all calls made before
    :meth:`resume_answering` fail with ``STORE_DOWN`` after the client's
    timeout.

    :ivar delay: time of each call in seconds.
    :ivar is_down: calls fail with ``STORE_DOWN``.
    :ivar lost_replies: number of next writes that take effect but whose reply
        is lost.
    :ivar calls: number of calls by method; ``list_instances`` counts as
        ``list``.
    """

    def __init__(self, delay: float = DEFAULT_DELAY_SECONDS) -> None:
        self._objects: dict[tuple[str, str], stores.StoredObject] = {}
        self._instances: dict[str, instances.Instance] = {}
        self._removals: list[tuple[int, str, str]] = []
        self._forgotten_version = 0
        self._version = 0
        self._epoch = 0
        self._instance_list_version = 0
        self._changed = anyio.Event()
        self.delay = delay
        self._is_unresponsive = False
        # Incremented by each stop_answering(), so that a pending watch
        # notices it.
        self._unresponsive_count = 0
        self.is_down = False
        self.lost_replies = 0
        self.calls: collections.Counter[str] = collections.Counter()

    @property
    def epoch(self) -> int:
        """How often the store was restored from a backup."""
        return self._epoch

    async def get(
        self, kind: str, name: str, *, allow_stale: bool = False
    ) -> stores.StoredObject | None:
        """Return an object."""
        await self._simulate_call("get")
        return self._objects.get((kind, name))

    async def put(
        self, kind: str, name: str, value: bytes, expected: int
    ) -> int:
        """Write an object if it has the expected version."""
        await self._simulate_call("put")
        held = self._objects.get((kind, name))
        version = held.version if held is not None else stores.NO_VERSION
        if version != expected:
            raise errors.CrowdeckError(
                errors.Code.STORE_CONFLICT,
                f"{kind}/{name}: found version {version}, expected {expected}",
            )
        version = self.write(kind, name, value)
        if self.lost_replies:
            self.lost_replies -= 1
            raise errors.CrowdeckError(
                errors.Code.STORE_UNSURE,
                "the store's reply was lost",
                verdict=verdicts.Verdict.MAY_HAVE_RUN,
            )
        return version

    async def watch(
        self, kind: str, after: stores.Position, wait: float
    ) -> stores.Changes:
        """Return the changes after a position; wait for them if none."""
        unresponsive_count = self._unresponsive_count
        began = anyio.current_time()
        await self._simulate_call("watch", wait)
        self._raise_if_forgotten(after)
        with anyio.move_on_after(wait):
            while not self._has_changed(kind, after.version):
                await self._changed.wait()
                self._raise_if_down()
        if unresponsive_count != self._unresponsive_count:
            await anyio.sleep_until(began + wait + REPLY_TIMEOUT_SECONDS)
            raise _store_down()
        self._raise_if_down()
        self._raise_if_forgotten(after)
        return stores.Changes(
            self._version,
            self._written(kind, after.version),
            self._removed(kind, after.version),
            self._epoch,
        )

    async def list(self, kind: str) -> stores.Changes:
        """Return every object of a kind."""
        await self._simulate_call("list")
        return stores.Changes(
            self._version, self._written(kind, 0), epoch=self._epoch
        )

    async def list_instances(self, known: str = "") -> stores.Listing | None:
        """Return the instances, or ``None`` if ``known`` is current."""
        await self._simulate_call("list")
        etag = str(self._instance_list_version)
        if known == etag:
            return None
        return stores.Listing(etag, tuple(self._instances.values()))

    def add_instance(self, listed: instances.Instance) -> None:
        """Add an instance to the list, or replace it."""
        self._instances[listed.name] = listed
        self._instance_list_version += 1

    def listed(self, name: str) -> instances.Instance | None:
        """Return a listed instance, or ``None``."""
        return self._instances.get(name)

    def remove_instance(self, name: str) -> None:
        """Remove an instance from the list."""
        self._instances.pop(name, None)
        self._instance_list_version += 1

    def write(self, kind: str, name: str, value: bytes) -> int:
        """Write an object without a version check."""
        self._version += 1
        self._objects[kind, name] = stores.StoredObject(
            kind, name, self._version, value
        )
        self._notify_watchers()
        return self._version

    def write_if_changed(self, kind: str, name: str, value: bytes) -> None:
        """Write an object if it does not have this value yet."""
        held = self._objects.get((kind, name))
        if held is None or held.value != value:
            self.write(kind, name, value)

    def remove(self, kind: str, name: str) -> None:
        """Remove an object if it exists."""
        if self._objects.pop((kind, name), None) is None:
            return
        self._version += 1
        self._removals.append((self._version, kind, name))
        self._notify_watchers()

    def forget_history(self) -> None:
        """Drop the history of changes; watches must list again."""
        self._forgotten_version = self._version
        self._removals.clear()
        self._notify_watchers()

    def back_up(self) -> Backup:
        """Return a copy of the contents for :meth:`restore`."""
        return Backup(
            dict(self._objects),
            tuple(self._removals),
            self._forgotten_version,
            self._version,
        )

    def restore(self, backup: Backup) -> None:
        """Restore a backup; later writes are lost.

        Versions are restored as well and are issued again.
        """
        self._objects = dict(backup.objects)
        self._removals = list(backup.removals)
        self._forgotten_version = backup.forgotten_version
        self._version = backup.version
        self._epoch += 1
        self._notify_watchers()

    def stop_answering(self) -> None:
        """Stop answering calls, including pending watches."""
        self._is_unresponsive = True
        self._unresponsive_count += 1

    def resume_answering(self) -> None:
        """Answer new calls again."""
        self._is_unresponsive = False

    def _notify_watchers(self) -> None:
        self._changed.set()
        self._changed = anyio.Event()

    def _has_changed(self, kind: str, after: int) -> bool:
        return bool(self._written(kind, after) or self._removed(kind, after))

    def _removed(self, kind: str, after: int) -> tuple[str, ...]:
        return tuple(
            name
            for version, removed_kind, name in self._removals
            if removed_kind == kind
            and version > after
            and (kind, name) not in self._objects
        )

    def _written(
        self, kind: str, after: int
    ) -> tuple[stores.StoredObject, ...]:
        return tuple(
            stored
            for stored in self._objects.values()
            if stored.kind == kind and stored.version > after
        )

    async def _simulate_call(self, call: str, wait: float = 0.0) -> None:
        self.calls[call] += 1
        if self._is_unresponsive:
            await anyio.sleep(wait + REPLY_TIMEOUT_SECONDS)
            raise _store_down()
        await anyio.sleep(self.delay)
        self._raise_if_down()

    def _raise_if_forgotten(self, after: stores.Position) -> None:
        is_kept = self._forgotten_version <= after.version <= self._version
        if after.epoch != self._epoch or not is_kept:
            raise errors.CrowdeckError(
                errors.Code.STORE_HISTORY,
                f"expected a version from {self._forgotten_version} to "
                f"{self._version} of epoch {self._epoch}, found version "
                f"{after.version} of epoch {after.epoch}",
            )

    def _raise_if_down(self) -> None:
        if self.is_down:
            raise _store_down()


def _store_down() -> errors.CrowdeckError:
    return errors.CrowdeckError(
        errors.Code.STORE_DOWN, "the store is unavailable", retry_after=1.0
    )
