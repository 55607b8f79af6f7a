# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Changes of the settings, safe against races and lost replies."""

import difflib
import uuid

import attrs
import orjson

from crowdeck import errors
from crowdeck.settings import holder
from crowdeck.settings import tree as trees
from crowdeck.state import objects as stores

HISTORY_KIND = "settings-history"


@attrs.frozen
class SettingsRevision:
    """The stored tree as an editor read it.

    :ivar version: the store's version, by which a racing edit shows.
    :ivar change: id of the change that made this generation.
    """

    version: int
    generation: int
    change: str
    text: str


EMPTY = SettingsRevision(stores.CREATE, 0, "", "")


class SettingsEditor:
    """Reads and replaces the settings tree in the platform's store."""

    def __init__(self, store: stores.ObjectStore) -> None:
        self._store = store

    async def read(self) -> SettingsRevision:
        """Return the tree that is in force."""
        found = await self._store.get(holder.KIND, holder.NAME)
        if found is None:
            return EMPTY
        body = orjson.loads(found.value)
        return SettingsRevision(
            found.version, body["generation"], body["change"], body["text"]
        )

    async def apply(
        self, base: SettingsRevision, text: str, change: str = ""
    ) -> SettingsRevision:
        """Make ``text`` the next generation after ``base``.

        Applying the same ``change`` again is harmless: a writer whose
        reply was lost finds its own change in force and stops.

        :raises SettingsError: when the text is no valid tree.
        :raises CrowdeckError: ``STORE_CONFLICT`` when another edit came
            between; the message shows what that edit changed.
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
            return await self._find_out(base, change, error)
        await self._remember(generation, change, value)
        return SettingsRevision(version, generation, change, text)

    async def history(self, limit: int = 20) -> list[SettingsRevision]:
        """Return past generations, newest first."""
        newest = await self.read()
        found: list[SettingsRevision] = []
        for generation in range(newest.generation, 0, -1):
            if len(found) == limit:
                break
            kept = await self._store.get(HISTORY_KIND, str(generation))
            if kept is not None:
                body = orjson.loads(kept.value)
                found.append(
                    SettingsRevision(
                        0, generation, body["change"], body["text"]
                    )
                )
        return found

    async def text_of(self, generation: int) -> str:
        """Return the text of a past generation.

        :raises SettingsError: when it is not kept.
        """
        kept = await self._store.get(HISTORY_KIND, str(generation))
        if kept is None:
            raise errors.SettingsError(
                f"generation {generation} is not kept; see "
                "'crowdeck settings history'"
            )
        return str(orjson.loads(kept.value)["text"])

    async def _find_out(
        self, base: SettingsRevision, change: str, error: errors.CrowdeckError
    ) -> SettingsRevision:
        """Tell our own change, a racing one and a failed one apart."""
        unclear = (errors.Code.STORE_CONFLICT, errors.Code.STORE_UNSURE)
        if error.code not in unclear:
            raise error
        current = await self.read()
        if current.change == change:
            await self._remember(
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
            f"generation {current.generation} came between; it changed:\n"
            f"{theirs}",
        )

    async def _remember(
        self, generation: int, change: str, value: bytes
    ) -> None:
        try:
            await self._store.put(
                HISTORY_KIND, str(generation), value, stores.CREATE
            )
        except errors.CrowdeckError as error:
            # History is for people. The change itself is in force, and a
            # repeat of it after a lost reply finds its entry written.
            if error.code == errors.Code.STORE_DOWN:
                raise


def show_difference(
    old: str, new: str, old_name: str = "in force", new_name: str = "new"
) -> str:
    """Return a unified difference of two texts."""
    return "\n".join(
        difflib.unified_diff(
            old.splitlines(),
            new.splitlines(),
            old_name,
            new_name,
            lineterm="",
        )
    )
