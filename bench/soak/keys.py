# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Changes of the operator's config, and the keys that they revoke."""

import copy
import typing

import anyio

from bench.soak import callers as callers_module
from bench.soak import control as controls
from bench.soak import entries

# Time for which the old key and the new one both work.
OVERLAP_SECONDS = 2.0


class Keys:
    """Replaces the team's key, and checks that old keys are refused."""

    def __init__(
        self,
        config: dict[str, typing.Any],
        control: controls.Control,
        callers: callers_module.Callers,
    ) -> None:
        self._config = copy.deepcopy(config)
        self._control = control
        self._callers = callers
        self._revoked: dict[str, float] = {}
        self._writing = anyio.Lock()

    async def change_target(self) -> None:
        """Change the target latency of a route, and nothing else."""
        self._config["version"] += 1
        route = self._config["routes"][0]
        route["target_latency_ms"] = 500 + self._config["version"] % 2
        await self._write()

    async def change_config(self, version_increment: int) -> None:
        """Replace the key, and increase the config's version.

        :param version_increment: how much to add to the version.
        """
        self._config["version"] += version_increment
        old = self._callers.key
        new = f"key-{self._config['version']}"
        team = self._config["tenants"][0]
        team["api_keys"] = [old, new]
        await self._write()
        await anyio.sleep(OVERLAP_SECONDS)
        self._callers.key = new
        self._config["version"] += 1
        team["api_keys"] = [key for key in team["api_keys"] if key != old]
        await self._write()
        self._revoked[old] = anyio.current_time()

    async def _write(self) -> None:
        # Concurrent writes could reach the store in another order.
        async with self._writing:
            await self._control.do("config", body=self._config)

    def find_violations(self) -> typing.Iterator[str]:
        """Yield each request that was served with a revoked key."""
        for outcome in self._callers.outcomes:
            revoked_at = self._revoked.get(outcome.key)
            if revoked_at is None or outcome.status != 200:
                continue
            if outcome.sent_at > revoked_at + entries.REVOCATION_SECONDS:
                yield f"{outcome.request}: served with a revoked key"
