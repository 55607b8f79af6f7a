# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""The objects of one kind as last seen, and what has changed since when."""

from crowdeck.state import objects as stores

# Removals that are remembered. Beyond them the oldest are forgotten, and
# whoever asks from before that lists the kind anew; a release of a whole
# fleet of 860 engines fits.
MAX_REMOVALS = 1_000


class Replica:
    """A copy that can tell others what changed after a version.

    What is kept for each name is the version up to which this copy was
    current when it learned of the change. The change itself is no newer, so
    whoever knows everything up to that version has seen it. An object's own
    version would not do: a listing of several pages holds objects that are
    newer than the version from which it is followed.

    All of it is of one epoch. A version of another is one that this copy
    knows nothing of, however the numbers compare: a copy that compared them
    said "nothing new" for 8 s to whoever had not listed anew itself.
    """

    def __init__(self) -> None:
        self._objects: dict[str, stores.StoredObject] = {}
        self._learned: dict[str, int] = {}
        self._removed: dict[str, int] = {}
        self._floor = 0
        self._version = 0
        self._epoch = 0

    @property
    def position(self) -> stores.Position:
        """The store's position up to which this copy is complete."""
        return stores.Position(self._version, self._epoch)

    def reset(self, listing: stores.Changes) -> None:
        """Take a listing of the whole kind."""
        self._objects = {one.name: one for one in listing.objects}
        self._learned = dict.fromkeys(self._objects, listing.version)
        self._removed.clear()
        self._floor = self._version = listing.version
        self._epoch = listing.epoch

    def apply(self, changes: stores.Changes) -> None:
        """Take what changed since the last position, in the same epoch."""
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
        while len(self._removed) > MAX_REMOVALS:
            oldest = next(iter(self._removed))
            self._floor = max(self._floor, self._removed.pop(oldest))

    def changes_since(self, after: stores.Position) -> stores.Changes | None:
        """Return what changed after a position, ``None`` where unknown."""
        if after.epoch != self._epoch or after.version < self._floor:
            return None
        return stores.Changes(
            self._version,
            tuple(
                one
                for name, one in self._objects.items()
                if self._learned[name] > after.version
            ),
            tuple(
                name
                for name, learned in self._removed.items()
                if learned > after.version
            ),
            self._epoch,
        )
