# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""The settings in force in this process."""

import orjson

from crowdeck import errors
from crowdeck.observe import counters
from crowdeck.observe import logs
from crowdeck.settings import tree as trees
from crowdeck.state import mirror as mirrors
from crowdeck.state import objects as stores

KIND = "settings"
NAME = "tree"
# One waiting watch per process, renewed this often.
WATCH_SECONDS = 20.0


def encode(generation: int, change: str, text: str) -> bytes:
    """Return the stored form of one generation.

    :param change: id of the change that made it.
    """
    return orjson.dumps(
        {"generation": generation, "change": change, "text": text}
    )


def decode(value: bytes) -> trees.Tree:
    """Return the tree in a stored object.

    :raises SettingsError: when it is no valid tree.
    """
    try:
        body = orjson.loads(value)
        generation, text = int(body["generation"]), str(body["text"])
    except (orjson.JSONDecodeError, KeyError, TypeError, ValueError):
        raise errors.SettingsError("the stored tree is malformed") from None
    return trees.parse(text, generation)


class SettingsHolder:
    """Holds the newest generation seen, and never an older one.

    A follower of the mirror of settings.
    """

    def __init__(self, store: stores.ObjectStore) -> None:
        self._store = store
        self._tree: trees.Tree | None = None

    @property
    def has_tree(self) -> bool:
        """Whether any generation is known; no work is taken before."""
        return self._tree is not None

    @property
    def generation(self) -> int:
        """The generation in force, 0 for none."""
        return self._tree.generation if self._tree is not None else 0

    @property
    def tree(self) -> trees.Tree:
        """The tree in force.

        :raises CrowdeckError: ``STORE_DOWN`` while none was ever read:
            a process that cannot know the settings takes no work.
        """
        if self._tree is None:
            raise errors.CrowdeckError(
                errors.Code.STORE_DOWN,
                "the settings have not been read yet",
                retry_after=1.0,
            )
        return self._tree

    def apply(self, tree: trees.Tree) -> bool:
        """Put a tree in force unless one as new is; say whether it was."""
        if tree.generation <= self.generation:
            return False
        self._tree = tree
        counters.COUNTERS.add("settings.applied")
        counters.COUNTERS.set_gauge("settings.generation", tree.generation)
        logs.change("settings", generation=tree.generation)
        return True

    async def read(self) -> None:
        """Read the store once.

        :raises CrowdeckError: when it cannot be read.
        """
        found = await self._store.get(KIND, NAME)
        if found is not None:
            self.apply(decode(found.value))

    async def follow(self) -> None:
        """Apply each new generation until cancelled."""
        mirror = mirrors.Mirror(self._store, KIND, self, WATCH_SECONDS)
        await mirror.run()

    def on_listed(self, objects: tuple[stores.StoredObject, ...]) -> None:
        """Take all trees."""
        self.on_changed(objects, ())

    def on_changed(
        self,
        objects: tuple[stores.StoredObject, ...],
        removed: tuple[str, ...],
    ) -> None:
        """Take trees that were written; a removed one stays in force."""
        for one in objects:
            self._take(one)

    def _take(self, changed: stores.StoredObject) -> None:
        if changed.name != NAME:
            return
        try:
            self.apply(decode(changed.value))
        except errors.SettingsError as error:
            # A writer that skips the checks must not take entries down:
            # the last good generation stays in force.
            counters.COUNTERS.add("settings.refused")
            logs.change("settings_refused", reason=error.message)
