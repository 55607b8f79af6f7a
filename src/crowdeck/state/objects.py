# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Interfaces of the platform's object store and instance list."""

import typing

import attrs

from crowdeck import instance as instances

# Expected version of an object that does not exist.
NO_VERSION = 0


@attrs.frozen
class Position:
    """A point in a store's history.

    Versions order writes within one epoch only. A store that is restored
    from a backup loses its latest writes and assigns their versions again,
    so each restore begins a new epoch. Versions of different epochs cannot
    be compared.

    :ivar epoch: how often the store has been restored, by its own count;
        0 for a store that does not report it.
    """

    version: int
    epoch: int = 0


@attrs.frozen
class StoredObject:
    """One object; ``version`` grows with each write and is never 0.

    Versions are comparable within one epoch only, see :class:`Position`.

    ``value`` is a JSON text, which may be unreadable as another program wrote
    it: :func:`crowdeck.json_text.decode` reads it. The store keeps structured
    values, so its white space may differ from what was written.
    """

    kind: str
    name: str
    version: int
    value: bytes


@attrs.frozen
class Changes:
    """The result of a listing or a watch.

    :ivar version: the store's latest version, from which to continue.
    :ivar objects: objects written, in order of their versions.
    :ivar removed: names of objects that are gone.
    :ivar epoch: the store's epoch when it answered.
    """

    version: int
    objects: tuple[StoredObject, ...]
    removed: tuple[str, ...] = ()
    epoch: int = 0

    @property
    def position(self) -> Position:
        """The position from which to continue."""
        return Position(self.version, self.epoch)


@attrs.frozen
class PeerChanges:
    """Changes from a peer's copy of the store, and the age of that copy.

    :ivar age: seconds from the time at which the peer's copy was known to be
        current until the question arrived; negative if it was confirmed
        later. Subtracted from the time of sending, it gives a time at which
        the asker's copy was current, without comparing clocks.
    """

    changes: Changes
    age: float


class ObjectStore(typing.Protocol):
    """A store of versioned objects, with conditional updates and watches.

    Every method raises ``CrowdeckError`` with ``STORE_DOWN`` when the
    store cannot be reached; a write whose reply is lost raises
    ``STORE_UNSURE`` instead, and must be read back.
    """

    @property
    def epoch(self) -> int | None:
        """The epoch of the latest answer, ``None`` before the first.

        A write that is conditional on a version of another epoch may have
        replaced a value that this process has not read.
        """
        ...

    async def get(
        self, kind: str, name: str, *, allow_stale: bool = False
    ) -> StoredObject | None:
        """Return an object, or ``None`` where there is none.

        :param allow_stale: accept a cheaper answer that may be seconds old;
            only for values that a later conditional write verifies.
        """
        ...

    async def put(
        self, kind: str, name: str, value: bytes, expected: int
    ) -> int:
        """Write an object if its version is ``expected``.

        :param expected: the version read before, or ``NO_VERSION`` to create
            the object.
        :return: the new version.
        :raises CrowdeckError: ``STORE_CONFLICT`` if the object has another
            version.
        """
        ...

    async def watch(self, kind: str, after: Position, wait: float) -> Changes:
        """Return what changed after a position, waiting for it.

        :param wait: seconds to wait at most; the result may be empty.
        :raises CrowdeckError: ``STORE_HISTORY`` when the store no longer
            knows what changed, is in another epoch, or its answer is too
            large; list the kind again.
        """
        ...

    async def list(self, kind: str) -> Changes:
        """Return every object of a kind."""
        ...


@attrs.frozen
class Listing:
    """The instance list, and an etag that changes whenever it does."""

    etag: str
    instances: tuple[instances.Instance, ...]


class InstanceList(typing.Protocol):
    """The platform's list of instances, which may be out of date."""

    async def list_instances(self, known: str = "") -> Listing | None:
        """Return the live and leaving instances.

        :param known: etag of the caller's latest listing.
        :return: ``None`` if that listing is still current.
        """
        ...
