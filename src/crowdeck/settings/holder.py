# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""The settings in force in this process."""

import attrs
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
# Changes by which a tree is known to have been in force: a store's copy is
# some seconds old, and nobody makes so many in that time.
MAX_CHANGES = 64


def encode(generation: int, change: str, text: str) -> bytes:
    """Return the stored form of one generation.

    :param change: id of the change that made it.
    """
    return orjson.dumps(
        {"generation": generation, "change": change, "text": text}
    )


@attrs.frozen
class StoredTree:
    """A tree and the id of the change that made it."""

    tree: trees.Tree
    change: str


def decode(value: bytes) -> StoredTree:
    """Return the tree in a stored object.

    :raises SettingsError: when it is no valid tree.
    """
    try:
        body = orjson.loads(value)
        generation, text = int(body["generation"]), str(body["text"])
        change = str(body["change"])
    except (orjson.JSONDecodeError, KeyError, TypeError, ValueError):
        raise errors.SettingsError("the stored tree is malformed") from None
    return StoredTree(trees.parse(text, generation), change)


class SettingsHolder:
    """Holds the newest tree seen, and never one from before it.

    A follower of the mirror of settings. Trees are told apart by the change
    that made them: a store that came back from a copy has lost the last
    generations, and the next edits get their numbers again. Compared by
    number they were passed over until they had passed the lost ones.
    """

    def __init__(self, store: stores.ObjectStore) -> None:
        self._store = store
        self._tree: trees.Tree | None = None
        # Changes seen, the newest last.
        self._changes: dict[str, None] = {}

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

    def apply(self, tree: trees.Tree, change: str = "") -> bool:
        """Put a tree in force unless it was before; say whether it was.

        :param change: id of the change that made it; without it a tree is
            new only by its generation.
        """
        if change in self._changes:
            return False
        if not change and tree.generation <= self.generation:
            return False
        if change:
            self._note_seen(change)
        self._tree = tree
        counters.COUNTERS.add("settings.applied")
        counters.COUNTERS.set_gauge("settings.generation", tree.generation)
        logs.change("settings", generation=tree.generation)
        return True

    def _note_seen(self, change: str) -> None:
        self._changes[change] = None
        while len(self._changes) > MAX_CHANGES:
            oldest = next(iter(self._changes))
            del self._changes[oldest]

    async def read(self) -> None:
        """Read the store once.

        :raises CrowdeckError: when it cannot be read.
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
            stored = decode(changed.value)
            self.apply(stored.tree, stored.change)
        except errors.SettingsError as error:
            # A writer that skips the checks must not take entries down:
            # the last good generation stays in force.
            counters.COUNTERS.add("settings.refused")
            logs.change("settings_refused", reason=error.message)
