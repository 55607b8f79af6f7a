# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""The settings in force in this process."""

import attrs
import orjson

from crowdeck import errors
from crowdeck import json_text
from crowdeck.observe import counters
from crowdeck.observe import logs
from crowdeck.settings import tree as trees
from crowdeck.state import mirror as mirrors
from crowdeck.state import objects as stores

KIND = "settings"
NAME = "tree"
# Each process has one long-polling watch, which is renewed at this interval.
WATCH_SECONDS = 20.0
# Number of change ids that are remembered. Must exceed the number of edits
# lost by a restore of the store from a backup.
MAX_REMEMBERED_CHANGES = 64


def encode(generation: int, change: str, text: str) -> bytes:
    """Return the stored form of one generation.

    :param change: id of the change that made it.
    """
    return orjson.dumps(
        {"generation": generation, "change": change, "text": text}
    )


@attrs.frozen
class StoredTree:
    """A tree and the id of the change that created it."""

    tree: trees.Tree
    change: str


def decode(value: bytes) -> StoredTree:
    """Return the tree in a stored object.

    :raises SettingsError: if it is not a valid tree.
    """
    try:
        body = json_text.decode(value)
        generation, text = int(body["generation"]), str(body["text"])
        change = str(body["change"])
    except (KeyError, OverflowError, TypeError, ValueError):
        raise errors.SettingsError(
            "the stored settings are malformed; expected a JSON object with "
            "an integer generation, a change and a text"
        ) from None
    return StoredTree(trees.parse(text, generation), change)


class SettingsHolder:
    """Keeps the latest settings tree and ignores changes seen before.

    Trees are identified by the change that made them, not by generation: a
    store that was restored from a backup assigns the numbers of the lost
    generations again.
    """

    def __init__(self, store: stores.ObjectStore) -> None:
        self._store = store
        self._tree: trees.Tree | None = None
        # Ids of the changes seen, newest last.
        self._changes: dict[str, None] = {}

    @property
    def has_tree(self) -> bool:
        """Whether any generation is known; readiness requires it."""
        return self._tree is not None

    @property
    def generation(self) -> int:
        """The generation in force, 0 for none."""
        return self._tree.generation if self._tree is not None else 0

    @property
    def tree(self) -> trees.Tree:
        """The tree in force.

        :raises CrowdeckError: ``STORE_DOWN`` until the settings have been
            read once; until then the process accepts no requests.
        """
        if self._tree is None:
            raise errors.CrowdeckError(
                errors.Code.STORE_DOWN,
                "the settings have not been read yet",
                retry_after=1.0,
            )
        return self._tree

    def apply(self, tree: trees.Tree, change: str = "") -> bool:
        """Put a tree in force unless its change was seen before.

        :param change: id of the change that made it; if empty, only a higher
            generation is applied.
        :return: whether the tree was applied.
        """
        if change in self._changes:
            return False
        if not change and tree.generation <= self.generation:
            return False
        if change:
            self._remember_change(change)
        self._tree = tree
        counters.COUNTERS.add("settings.applied")
        counters.COUNTERS.set_gauge("settings.generation", tree.generation)
        logs.change("settings", generation=tree.generation)
        return True

    def _remember_change(self, change: str) -> None:
        self._changes[change] = None
        while len(self._changes) > MAX_REMEMBERED_CHANGES:
            oldest = next(iter(self._changes))
            del self._changes[oldest]

    async def read(self) -> None:
        """Read the store once and apply what is found.

        :raises CrowdeckError: if the store cannot be read.
        """
        found = await self._store.get(KIND, NAME)
        if found is not None:
            stored = decode(found.value)
            self.apply(stored.tree, stored.change)

    async def follow(self) -> None:
        """Apply each new generation until cancelled."""
        mirror = mirrors.Mirror(self._store, KIND, self, WATCH_SECONDS)
        await mirror.run()

    def on_listed(self, objects: tuple[stores.StoredObject, ...]) -> None:
        """Apply the listed settings."""
        self.on_changed(objects, ())

    def on_changed(
        self,
        objects: tuple[stores.StoredObject, ...],
        removed: tuple[str, ...],
    ) -> None:
        """Apply written settings; removed ones stay in force."""
        for stored in objects:
            self._apply_stored(stored)

    def _apply_stored(self, changed: stores.StoredObject) -> None:
        if changed.name != NAME:
            return
        try:
            stored = decode(changed.value)
            self.apply(stored.tree, stored.change)
        except errors.SettingsError as error:
            # Invalid settings that were not written by the editor must not
            # stop the process: the last valid generation stays in force.
            counters.COUNTERS.add("settings.refused")
            logs.change("settings_refused", reason=error.message)
