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

# How long a client waits beyond the time that a watch may take.
REPLY_TIMEOUT_SECONDS = 0.5
DEFAULT_DELAY = 0.002


@attrs.frozen
class Backup:
    """What a store held at one moment."""

    objects: dict[tuple[str, str], stores.StoredObject]
    removals: tuple[tuple[int, str, str], ...]
    forgotten: int
    version: int


class StandinStore:
    """Implements ``ObjectStore`` and ``InstanceList`` in memory.

    Tests set ``is_down``, ``lost_replies`` (how many of the next writes
    take effect while their reply is lost) and ``delay``. ``calls`` counts
    what the platform would charge for. After :meth:`stop_answering`
    nothing that waits, or comes before :meth:`resume_answering`, is
    answered: such calls fail with the client's timeout.
    """

    def __init__(self, delay: float = DEFAULT_DELAY) -> None:
        self._objects: dict[tuple[str, str], stores.StoredObject] = {}
        self._instances: dict[str, instances.Instance] = {}
        self._removals: list[tuple[int, str, str]] = []
        self._forgotten = 0
        self._version = 0
        self._epoch = 0
        self._list_version = 0
        self._changed = anyio.Event()
        self.delay = delay
        self._is_silent = False
        self._silences = 0
        self.is_down = False
        self.lost_replies = 0
        self.calls: collections.Counter[str] = collections.Counter()

    @property
    def epoch(self) -> int:
        """How often the store came back from a copy."""
        return self._epoch

    async def get(
        self, kind: str, name: str, *, allow_stale: bool = False
    ) -> stores.StoredObject | None:
        """Return an object."""
        await self._travel("get")
        return self._objects.get((kind, name))

    async def put(
        self, kind: str, name: str, value: bytes, expected: int
    ) -> int:
        """Write an object if its version is the expected one."""
        await self._travel("put")
        held = self._objects.get((kind, name))
        version = held.version if held is not None else stores.NO_VERSION
        if version != expected:
            raise errors.CrowdeckError(
                errors.Code.STORE_CONFLICT,
                f"{kind}/{name} is at version {version}, not {expected}",
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
        """Return what was written after a position."""
        silences = self._silences
        began = anyio.current_time()
        await self._travel("watch", wait)
        self._raise_if_forgotten(after)
        with anyio.move_on_after(wait):
            while not self._has_changed(kind, after.version):
                await self._changed.wait()
                self._raise_if_down()
        if silences != self._silences:
            await anyio.sleep_until(began + wait + REPLY_TIMEOUT_SECONDS)
            raise _no_answer()
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
        await self._travel("list")
        return stores.Changes(
            self._version, self._written(kind, 0), epoch=self._epoch
        )

    async def list_instances(self, known: str = "") -> stores.Listing | None:
        """Return the listed instances, unless nothing changed."""
        await self._travel("list")
        etag = str(self._list_version)
        if known == etag:
            return None
        return stores.Listing(etag, tuple(self._instances.values()))

    def add_instance(self, listed: instances.Instance) -> None:
        """List an instance, or change how it is listed."""
        self._instances[listed.name] = listed
        self._list_version += 1

    def listed(self, name: str) -> instances.Instance | None:
        """Return how an instance is listed now."""
        return self._instances.get(name)

    def remove_instance(self, name: str) -> None:
        """Take an instance off the list."""
        self._instances.pop(name, None)
        self._list_version += 1

    def write(self, kind: str, name: str, value: bytes) -> int:
        """Write an object as the operator or an upstream does."""
        self._version += 1
        self._objects[kind, name] = stores.StoredObject(
            kind, name, self._version, value
        )
        self._tell()
        return self._version

    def write_if_new(self, kind: str, name: str, value: bytes) -> None:
        """Write an object unless it holds that value already."""
        held = self._objects.get((kind, name))
        if held is None or held.value != value:
            self.write(kind, name, value)

    def remove(self, kind: str, name: str) -> None:
        """Remove an object, if it is there."""
        if self._objects.pop((kind, name), None) is None:
            return
        self._version += 1
        self._removals.append((self._version, kind, name))
        self._tell()

    def forget_history(self) -> None:
        """Drop what watches go on from; listings stay possible."""
        self._forgotten = self._version
        self._removals.clear()
        self._tell()

    def back_up(self) -> Backup:
        """Return a copy of all objects, to :meth:`restore` later."""
        return Backup(
            dict(self._objects),
            tuple(self._removals),
            self._forgotten,
            self._version,
        )

    def restore(self, backup: Backup) -> None:
        """Go back to a copy: what was written since then is lost.

        Versions go back as well and are given out again.
        """
        self._objects = dict(backup.objects)
        self._removals = list(backup.removals)
        self._forgotten = backup.forgotten
        self._version = backup.version
        self._epoch += 1
        self._tell()

    def stop_answering(self) -> None:
        """Answer nothing any more, watches under way included."""
        self._is_silent = True
        self._silences += 1

    def resume_answering(self) -> None:
        """Answer what comes from now on."""
        self._is_silent = False

    def _tell(self) -> None:
        self._changed.set()
        self._changed = anyio.Event()

    def _has_changed(self, kind: str, after: int) -> bool:
        return bool(self._written(kind, after) or self._removed(kind, after))

    def _removed(self, kind: str, after: int) -> tuple[str, ...]:
        return tuple(
            name
            for version, its_kind, name in self._removals
            if its_kind == kind
            and version > after
            and (kind, name) not in self._objects
        )

    def _written(
        self, kind: str, after: int
    ) -> tuple[stores.StoredObject, ...]:
        return tuple(
            one
            for one in self._objects.values()
            if one.kind == kind and one.version > after
        )

    async def _travel(self, call: str, wait: float = 0.0) -> None:
        self.calls[call] += 1
        if self._is_silent:
            await anyio.sleep(wait + REPLY_TIMEOUT_SECONDS)
            raise _no_answer()
        await anyio.sleep(self.delay)
        self._raise_if_down()

    def _raise_if_forgotten(self, after: stores.Position) -> None:
        is_kept = self._forgotten <= after.version <= self._version
        if after.epoch != self._epoch or not is_kept:
            raise errors.CrowdeckError(
                errors.Code.STORE_HISTORY, "the history is gone"
            )

    def _raise_if_down(self) -> None:
        if self.is_down:
            raise _no_answer()


def _no_answer() -> errors.CrowdeckError:
    return errors.CrowdeckError(
        errors.Code.STORE_DOWN, "the store does not answer", retry_after=1.0
    )
