# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""The platform's object API and instance list, as the system sees them."""

import typing

import attrs

from crowdeck import instance as instances

CREATE = 0


@attrs.frozen
class StoredObject:
    """One object; ``version`` grows with each write and is never 0."""

    kind: str
    name: str
    version: int
    value: bytes


@attrs.frozen
class Changes:
    """What a watch saw: objects written after a version, and the latest."""

    version: int
    objects: tuple[StoredObject, ...]


class ObjectStore(typing.Protocol):
    """Objects with versions, conditional updates and watches.

    Every method raises ``CrowdeckError`` with ``STORE_DOWN`` when the
    store cannot be reached; a write whose reply is lost raises
    ``STORE_UNSURE`` instead, and must be read back.
    """

    async def get(self, kind: str, name: str) -> StoredObject | None:
        """Return an object, or ``None`` where there is none."""
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

    async def watch(self, kind: str, after: int, wait: float) -> Changes:
        """Return what was written after a version, waiting for it."""
        ...


@attrs.frozen
class Listing:
    """The instance list, and a mark that changes whenever it does."""

    mark: str
    instances: tuple[instances.Instance, ...]


class InstanceList(typing.Protocol):
    """The platform's list of instances, which lags."""

    async def list_instances(self, known: str = "") -> Listing | None:
        """Return live and leaving instances.

        :param known: mark of the listing that the caller has.
        :return: ``None`` when that listing is still the latest.
        """
        ...
