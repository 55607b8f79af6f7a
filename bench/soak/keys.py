# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Changes of the operator's config, and the keys that they take away."""

import copy
import typing

import anyio

from bench.soak import callers as callers_module
from bench.soak import control as controls
from bench.soak import entries

# Callers use the new key from then on, while the old one works too.
BOTH_SECONDS = 2.0


class Keys:
    """Gives the team another key, again and again."""

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

    async def change_config(self, version: int) -> None:
        """Change the key, and the config's version.

        :param version: by how much the version grows.
        """
        self._config["version"] += version
        old = self._callers.key
        new = f"key-{self._config['version']}"
        team = self._config["tenants"][0]
        team["api_keys"] = [old, new]
        await self._control.do("config", body=self._config)
        await anyio.sleep(BOTH_SECONDS)
        self._callers.key = new
        self._config["version"] += 1
        team["api_keys"] = [one for one in team["api_keys"] if one != old]
        await self._control.do("config", body=self._config)
        self._revoked[old] = anyio.current_time()

    def judge(self) -> typing.Iterator[str]:
        """Yield each request that a dead key was served with."""
        for one in self._callers.outcomes:
            taken_at = self._revoked.get(one.key)
            if taken_at is None or one.status != 200:
                continue
            if one.sent_at > taken_at + entries.REVOCATION_SECONDS:
                yield f"{one.request}: served with a dead key"
