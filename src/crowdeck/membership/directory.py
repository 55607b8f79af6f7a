# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""The instance list as this process last saw it."""

import anyio

from crowdeck import errors
from crowdeck import instance as instances
from crowdeck.observe import counters
from crowdeck.platform import store as stores

REFRESH_SECONDS = 1.0
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
            listed = await self._instance_list.list_instances()
        except errors.CrowdeckError:
            counters.COUNTERS.add("directory.refresh_failed")
            return
        self._instances = {one.name: one for one in listed}
        self._has_read = True
