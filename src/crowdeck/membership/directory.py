# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""The instance list as this process last saw it."""

import anyio

from crowdeck import errors
from crowdeck import instance as instances
from crowdeck.observe import counters
from crowdeck.state import objects as stores

# Entries look this often. While nothing changed, the answer is empty; at
# 390 entries that is 78 of the store's 2,000 reads a second. Sidecars look
# only for names that they do not know.
REFRESH_SECONDS = 5.0
# A young process finds its peers, which may have started with it, sooner.
YOUNG_SECONDS = 10.0
YOUNG_REFRESH_SECONDS = 0.5
# A name that is nowhere must not make every request read the list.
SHORTEST_SECONDS = 0.2


class Directory:
    """Remembers the platform's instance list, through its outages too."""

    def __init__(self, instance_list: stores.InstanceList) -> None:
        self._instance_list = instance_list
        self._instances: dict[str, instances.Instance] = {}
        self._has_read = False
        self._reading = anyio.Lock()
        self._read_at = -SHORTEST_SECONDS
        self._etag = ""

    @property
    def has_read(self) -> bool:
        """Whether the list was read at least once."""
        return self._has_read

    @property
    def sidecars(self) -> tuple[instances.Instance, ...]:
        """Every listed sidecar."""
        return tuple(
            one
            for one in self._instances.values()
            if one.role is instances.Role.SIDECAR
        )

    def find(self, name: str) -> instances.Instance | None:
        """Return an instance as last listed."""
        return self._instances.get(name)

    async def refresh(self) -> None:
        """Read the list; what is known stands while that fails.

        Calls that come while one reads share its result.
        """
        asked_at = anyio.current_time()
        async with self._reading:
            if self._read_at >= asked_at:
                return
            # The caller waits for news: giving it what was read a moment
            # ago would fail it for a name that is listed by now.
            await anyio.sleep_until(self._read_at + SHORTEST_SECONDS)
            await self._read()
            self._read_at = anyio.current_time()

    async def _read(self) -> None:
        try:
            listing = await self._instance_list.list_instances(self._etag)
        except errors.CrowdeckError:
            counters.COUNTERS.add("directory.refresh_failed")
            return
        self._has_read = True
        if listing is not None:
            self._etag = listing.etag
            self._instances = {one.name: one for one in listing.instances}

    async def follow(self) -> None:
        """Read the list regularly until cancelled."""
        young_until = anyio.current_time() + YOUNG_SECONDS
        while True:
            is_young = anyio.current_time() < young_until
            await anyio.sleep(
                YOUNG_REFRESH_SECONDS if is_young else REFRESH_SECONDS
            )
            await self.refresh()
