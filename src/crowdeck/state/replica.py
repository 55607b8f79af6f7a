# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""The objects of one kind as last seen, and what has changed since when."""

from crowdeck.state import objects as stores

# Removals that are remembered. Beyond them the oldest are forgotten, and
# whoever asks from before that lists the kind anew; a release of a whole
# fleet of 860 engines fits.
REMOVALS_MOST = 1_000


class Replica:
    """A copy that can tell others what changed after a version.

    What is kept for each name is the version up to which this copy was
    current when it learned of the change. The change itself is no newer, so
    whoever knows everything up to that version has seen it. An object's own
    version would not do: a listing of several pages holds objects that are
    newer than the version from which it is followed.
    """

    def __init__(self) -> None:
        self._objects: dict[str, stores.StoredObject] = {}
        self._learned: dict[str, int] = {}
        self._removed: dict[str, int] = {}
        self._floor = 0
        self._version = 0

    @property
    def version(self) -> int:
        """The store's version up to which this copy is complete."""
        return self._version

    def list(self, listing: stores.Changes) -> None:
        """Take a listing of the whole kind."""
        self._objects = {one.name: one for one in listing.objects}
        self._learned = dict.fromkeys(self._objects, listing.version)
        self._removed.clear()
        self._floor = self._version = listing.version

    def apply(self, changes: stores.Changes) -> None:
        """Take what changed since the last version."""
        self._version = max(self._version, changes.version)
        for one in changes.objects:
            self._objects[one.name] = one
            self._learned[one.name] = self._version
            self._removed.pop(one.name, None)
        for name in changes.removed:
            self._objects.pop(name, None)
            self._learned.pop(name, None)
            # Newest last, also where a name was removed before.
            self._removed.pop(name, None)
            self._removed[name] = self._version
        while len(self._removed) > REMOVALS_MOST:
            oldest = next(iter(self._removed))
            self._floor = max(self._floor, self._removed.pop(oldest))

    def since(self, version: int) -> stores.Changes | None:
        """Return what changed after a version, ``None`` where unknown."""
        if version < self._floor:
            return None
        return stores.Changes(
            self._version,
            tuple(
                one
                for name, one in self._objects.items()
                if self._learned[name] > version
            ),
            tuple(
                name
                for name, learned in self._removed.items()
                if learned > version
            ),
        )
