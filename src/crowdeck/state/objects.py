# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""The platform's object store and instance list, as the system sees them."""

import json
import typing

import attrs
import orjson

from crowdeck import instance as instances

CREATE = 0


def write_json(value: object) -> bytes:
    """Return an object's value as a JSON text, whatever stands in it."""
    try:
        return orjson.dumps(value)
    except TypeError:
        # Half characters, numbers of any length: readers of this one object
        # find that out, and nobody else has to.
        return json.dumps(value).encode("ascii")


def read_json(content: bytes) -> typing.Any:
    """Return what a JSON text with the values of many objects holds.

    One object's value that the strict reader refuses, half a character or
    bytes that are none, would make a whole list unreadable.

    :raises ValueError: where it cannot be read at all.
    """
    try:
        return orjson.loads(content)
    except orjson.JSONDecodeError:
        pass
    try:
        return json.loads(content.decode("utf-8", "replace"))
    except RecursionError:
        raise ValueError("it is nested without end") from None


@attrs.frozen
class Position:
    """How far something knows a store's history.

    Versions order what happened within one epoch only. A store that comes
    back from a copy has lost its last writes and gives their versions out
    again, to others; each return begins another epoch. So two versions say
    nothing of each other where their epochs differ.

    :ivar epoch: how often the store has come back from a copy, as it counts;
        0 for one that does not tell.
    """

    version: int
    epoch: int = 0


@attrs.frozen
class StoredObject:
    """One object; ``version`` grows with each write and is never 0.

    It does so within one epoch, as :class:`Position` has it.

    ``value`` is a JSON text: the store keeps structured values and may
    hand back other white space than it was given.
    """

    kind: str
    name: str
    version: int
    value: bytes


@attrs.frozen
class Changes:
    """What a listing or a watch saw.

    :ivar version: the store's latest version, from which to watch on.
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
        """The position from which to watch on."""
        return Position(self.version, self.epoch)


@attrs.frozen
class PeerChanges:
    """What another process saw of the store, and how long before.

    :ivar age: seconds before the question reached it at which its copy was
        known to be current; below zero where it became so while the question
        waited. Whoever asked may take its own time of asking less this for
        the time at which it is current itself: the question was sent no
        later than it arrived, and no two clocks are compared.
    """

    changes: Changes
    age: float


class ObjectStore(typing.Protocol):
    """Objects with versions, conditional updates and watches.

    Every method raises ``CrowdeckError`` with ``STORE_DOWN`` when the
    store cannot be reached; a write whose reply is lost raises
    ``STORE_UNSURE`` instead, and must be read back.
    """

    @property
    def epoch(self) -> int | None:
        """The epoch of the latest answer, ``None`` before the first.

        A write that is conditional on a version read in another epoch may
        have replaced what nobody here has read.
        """
        ...

    async def get(
        self, kind: str, name: str, *, allow_stale: bool = False
    ) -> StoredObject | None:
        """Return an object, or ``None`` where there is none.

        :param allow_stale: take a cheaper answer, seconds old perhaps. Only
            for what a later conditional write decides.
        """
        ...

    async def put(
        self, kind: str, name: str, value: bytes, expected: int
    ) -> int:
        """Write an object if its version is ``expected``.

        :param expected: the version read before, or ``CREATE``.
        :return: the new version.
        :raises CrowdeckError: ``STORE_CONFLICT`` when another wrote first.
        """
        ...

    async def watch(self, kind: str, after: Position, wait: float) -> Changes:
        """Return what changed after a position, waiting for it.

        :param wait: seconds to wait at most; nothing changed is no error.
        :raises CrowdeckError: ``STORE_HISTORY`` when the store no longer
            knows what changed, or is in another epoch; list the kind again.
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
    """The platform's list of instances, which lags."""

    async def list_instances(self, known: str = "") -> Listing | None:
        """Return live and leaving instances.

        :param known: etag of the listing that the caller has.
        :return: ``None`` when that listing is still the latest.
        """
        ...
