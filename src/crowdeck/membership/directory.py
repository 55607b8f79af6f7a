# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""A cached copy of the platform's instance list."""

import anyio

from crowdeck import errors
from crowdeck import instance as instances
from crowdeck.observe import counters
from crowdeck.state import objects as stores

# Entries poll the list at this interval. Sidecars read it only to resolve a
# name that they do not know. An unchanged list makes an empty answer. 390
# entries make 78 of the 2,000 reads a second that the store can serve.
REFRESH_SECONDS = 5.0
# For this long after its start a process polls more often, to find peers that
# started at the same time.
STARTUP_SECONDS = 10.0
STARTUP_REFRESH_SECONDS = 0.5
# The list is not read more often than this.
MIN_REFRESH_SECONDS = 0.2


class Directory:
    """Caches the instance list, and keeps the last one if reading fails."""

    def __init__(self, instance_list: stores.InstanceList) -> None:
        self._instance_list = instance_list
        self._instances: dict[str, instances.Instance] = {}
        self._has_read = False
        self._read_lock = anyio.Lock()
        self._read_ended_at = -MIN_REFRESH_SECONDS
        self._etag = ""

    @property
    def has_read(self) -> bool:
        """Whether the list has been read at least once."""
        return self._has_read

    @property
    def sidecars(self) -> tuple[instances.Instance, ...]:
        """All listed sidecars."""
        return tuple(
            instance
            for instance in self._instances.values()
            if instance.role is instances.Role.SIDECAR
        )

    def find(self, name: str) -> instances.Instance | None:
        """Return the instance of this name as last listed, if any."""
        return self._instances.get(name)

    async def refresh(self) -> None:
        """Read the list; if that fails, the last known list stays in use.

        A call that waits for a read in progress shares its result.
        """
        called_at = anyio.current_time()
        async with self._read_lock:
            if self._read_ended_at >= called_at:
                return
            # A read that ended before this call may lack the name that the
            # caller looks for, so wait until another read is allowed.
            await anyio.sleep_until(self._read_ended_at + MIN_REFRESH_SECONDS)
            await self._read()
            self._read_ended_at = anyio.current_time()

    async def _read(self) -> None:
        try:
            listing = await self._instance_list.list_instances(self._etag)
        except errors.CrowdeckError:
            counters.COUNTERS.add("directory.refresh_failed")
            return
        self._has_read = True
        if listing is not None:
            self._etag = listing.etag
            self._instances = {
                instance.name: instance for instance in listing.instances
            }

    async def follow(self) -> None:
        """Poll the list until cancelled."""
        startup_until = anyio.current_time() + STARTUP_SECONDS
        while True:
            is_starting = anyio.current_time() < startup_until
            await anyio.sleep(
                STARTUP_REFRESH_SECONDS if is_starting else REFRESH_SECONDS
            )
            await self.refresh()
