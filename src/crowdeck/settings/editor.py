# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Edits of the settings, safe against concurrent edits and lost replies."""

import difflib
import uuid

import attrs

from crowdeck import errors
from crowdeck import json_text
from crowdeck.settings import holder
from crowdeck.settings import tree as trees
from crowdeck.state import objects as stores

HISTORY_KIND = "settings-history"


@attrs.frozen
class SettingsRevision:
    """A stored generation of the settings tree.

    :ivar version: the store's object version, which detects concurrent
        edits; 0 for a revision from the history.
    :ivar change: id of the change that made this generation.
    """

    version: int
    generation: int
    change: str
    text: str


EMPTY = SettingsRevision(stores.NO_VERSION, 0, "", "")


class SettingsEditor:
    """Reads and replaces the settings tree in the platform's store."""

    def __init__(self, store: stores.ObjectStore) -> None:
        self._store = store

    async def read(self) -> SettingsRevision:
        """Return the current revision, or ``EMPTY`` if none is stored."""
        found = await self._store.get(holder.KIND, holder.NAME)
        if found is None:
            return EMPTY
        body = json_text.decode(found.value)
        return SettingsRevision(
            found.version, body["generation"], body["change"], body["text"]
        )

    async def apply(
        self, base: SettingsRevision, text: str, change: str = ""
    ) -> SettingsRevision:
        """Store ``text`` as the next generation after ``base``.

        Idempotent by ``change``: a retry after a lost reply returns the
        revision that the first attempt stored.

        :param change: id of the change; a random one if empty.
        :raises SettingsError: if the text is not a valid tree.
        :raises CrowdeckError: ``STORE_CONFLICT`` if another edit was stored
            after ``base``; the message contains the diff between them.
        """
        change = change or uuid.uuid4().hex
        generation = base.generation + 1
        trees.parse(text, generation)
        value = holder.encode(generation, change, text)
        try:
            version = await self._store.put(
                holder.KIND, holder.NAME, value, base.version
            )
        except errors.CrowdeckError as error:
            return await self._resolve_failed_write(base, change, error)
        await self._store_history(generation, change, value)
        return SettingsRevision(version, generation, change, text)

    async def history(self, limit: int = 20) -> list[SettingsRevision]:
        """Return up to ``limit`` stored generations, newest first.

        The current generation is the first, if its entry was written.
        """
        newest = await self.read()
        found: list[SettingsRevision] = []
        for generation in range(newest.generation, 0, -1):
            if len(found) == limit:
                break
            stored = await self._store.get(HISTORY_KIND, str(generation))
            if stored is not None:
                body = json_text.decode(stored.value)
                found.append(
                    SettingsRevision(
                        0, generation, body["change"], body["text"]
                    )
                )
        return found

    async def text_of(self, generation: int) -> str:
        """Return the text of a past generation.

        :raises SettingsError: if it is not in the history.
        """
        stored = await self._store.get(HISTORY_KIND, str(generation))
        if stored is None:
            raise errors.SettingsError(
                f"generation {generation} is not in the history; see "
                "'crowdeck settings history'"
            )
        return str(json_text.decode(stored.value)["text"])

    async def _resolve_failed_write(
        self, base: SettingsRevision, change: str, error: errors.CrowdeckError
    ) -> SettingsRevision:
        """Return the revision if this change was stored, else raise.

        Distinguishes a lost reply, a concurrent edit and a failed write.
        """
        ambiguous_codes = (
            errors.Code.STORE_CONFLICT,
            errors.Code.STORE_UNSURE,
        )
        if error.code not in ambiguous_codes:
            raise error
        current = await self.read()
        if current.change == change:
            await self._store_history(
                current.generation,
                change,
                holder.encode(current.generation, change, current.text),
            )
            return current
        if current.version == base.version:
            raise error
        theirs = show_difference(base.text, current.text, "base", "theirs")
        raise errors.CrowdeckError(
            errors.Code.STORE_CONFLICT,
            f"generation {current.generation} is stored instead of this "
            f"edit; its difference from generation {base.generation}:\n"
            f"{theirs}",
        )

    async def _store_history(
        self, generation: int, change: str, value: bytes
    ) -> None:
        try:
            await self._store.put(
                HISTORY_KIND, str(generation), value, stores.NO_VERSION
            )
        except errors.CrowdeckError as error:
            # The change itself is stored. On a conflict the entry exists
            # already; after an unsure write it may be missing.
            if error.code == errors.Code.STORE_DOWN:
                raise


def show_difference(
    old: str, new: str, old_name: str = "in force", new_name: str = "new"
) -> str:
    """Return a unified diff of two texts."""
    return "\n".join(
        difflib.unified_diff(
            old.splitlines(),
            new.splitlines(),
            old_name,
            new_name,
            lineterm="",
        )
    )
