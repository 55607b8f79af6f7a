# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""How many entries there are, from what each notes in the store."""

import anyio
import orjson

from crowdeck import errors
from crowdeck.observe import logs
from crowdeck.state import objects as stores

KIND = "crowdeck-entries"
RETRY_SECONDS = 1.0
# Every entry watches the upstreams' entries, and each change wakes all of
# them. They let changes gather for longer the more they are, which bounds
# the calls of all together. An upstream that leaves may get work for two
# seconds after its entry says so; less than a third of that is spent here.
LINGER_PER_ENTRY = 0.04
LINGER_LEAST = 0.2
LINGER_MOST = 0.6


class Roster:
    """The entries that were ever started, as a follower of their mirror.

    Entries that left for good stay listed: a share computed from too many
    entries is too small, which is safe.
    """

    def __init__(
        self, store: stores.ObjectStore, name: str, zone: str
    ) -> None:
        self._store = store
        self._name = name
        self._zone = zone
        self._zones: dict[str, str] = {name: zone}

    @property
    def count(self) -> int:
        """Entries in all."""
        return len(self._zones)

    @property
    def zone_count(self) -> int:
        """Entries in this entry's availability zone."""
        return sum(1 for zone in self._zones.values() if zone == self._zone)

    def linger(self) -> float:
        """Return for how many seconds changes of upstreams gather."""
        seconds = LINGER_PER_ENTRY * self.count
        return min(LINGER_MOST, max(LINGER_LEAST, seconds))

    async def enrol(self) -> None:
        """Note this entry in the store, however long that takes."""
        value = orjson.dumps({"availability_zone": self._zone})
        while True:
            try:
                await self._store.put(KIND, self._name, value, stores.CREATE)
                return
            except errors.CrowdeckError as error:
                if error.code is errors.Code.STORE_CONFLICT:
                    # An earlier run of this entry noted it.
                    return
            await anyio.sleep(RETRY_SECONDS)

    def on_listed(self, objects: tuple[stores.StoredObject, ...]) -> None:
        """Take all entries."""
        self.on_changed(objects, ())

    def on_changed(
        self,
        objects: tuple[stores.StoredObject, ...],
        removed: tuple[str, ...],
    ) -> None:
        """Take entries that were noted."""
        before = self.count
        for one in objects:
            self._zones[one.name] = _zone(one)
        if self.count != before:
            logs.change(
                "entries_known",
                entries=self.count,
                in_zone=self.zone_count,
            )


def _zone(stored: stores.StoredObject) -> str:
    try:
        return str(orjson.loads(stored.value)["availability_zone"])
    except (KeyError, TypeError, ValueError) as error:
        logs.change("entry_unread", name=stored.name, reason=repr(error))
        return ""
