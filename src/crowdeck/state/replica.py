# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""A copy of one kind's objects that remembers the versions of changes."""

from crowdeck.state import objects as stores

# Number of removals that are remembered. A process that asks for changes from
# before the oldest of them has to list the kind again. Enough for the release
# of a whole fleet of 860 engines.
MAX_REMOVALS = 1_000


class Replica:
    """A copy that knows what changed after a version.

    For each name it keeps the version that the copy had reached once the
    name's last change was applied. An object's own version cannot be used,
    since a listing of several pages may hold objects that are newer than the
    version of the listing.

    All versions are of one epoch. Versions of different epochs cannot be
    compared, so the changes since a position of another epoch are unknown.
    A copy that compares them reports no changes to peers for seconds.
    """

    def __init__(self) -> None:
        self._objects: dict[str, stores.StoredObject] = {}
        self._learned_versions: dict[str, int] = {}
        self._removed_versions: dict[str, int] = {}
        self._oldest_known_version = 0
        self._version = 0
        self._epoch = 0

    @property
    def position(self) -> stores.Position:
        """The store's position up to which this copy is complete."""
        return stores.Position(self._version, self._epoch)

    def reset(self, listing: stores.Changes) -> None:
        """Replace the copy by a listing of the whole kind."""
        self._objects = {stored.name: stored for stored in listing.objects}
        self._learned_versions = dict.fromkeys(self._objects, listing.version)
        self._removed_versions.clear()
        self._oldest_known_version = self._version = listing.version
        self._epoch = listing.epoch

    def apply(self, changes: stores.Changes) -> None:
        """Apply the changes since the last position, in the same epoch."""
        self._version = max(self._version, changes.version)
        for stored in changes.objects:
            self._objects[stored.name] = stored
            self._learned_versions[stored.name] = self._version
            self._removed_versions.pop(stored.name, None)
        for name in changes.removed:
            self._objects.pop(name, None)
            self._learned_versions.pop(name, None)
            # Reinserted so that the newest removals come last.
            self._removed_versions.pop(name, None)
            self._removed_versions[name] = self._version
        while len(self._removed_versions) > MAX_REMOVALS:
            oldest = next(iter(self._removed_versions))
            self._oldest_known_version = max(
                self._oldest_known_version, self._removed_versions.pop(oldest)
            )

    def changes_since(self, after: stores.Position) -> stores.Changes | None:
        """Return what changed after a position, or ``None`` if unknown."""
        if (
            after.epoch != self._epoch
            or after.version < self._oldest_known_version
        ):
            return None
        return stores.Changes(
            self._version,
            tuple(
                stored
                for name, stored in self._objects.items()
                if self._learned_versions[name] > after.version
            ),
            tuple(
                name
                for name, learned_version in self._removed_versions.items()
                if learned_version > after.version
            ),
            self._epoch,
        )
