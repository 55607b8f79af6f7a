# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Runs of instances that said in their answers that they leave."""

import anyio

# Runs remembered; many more than leave while any of them still serves.
LEAVERS_MOST = 1_000


class LeavingInstances:
    """When runs of instances said that they leave.

    Kept though an entry goes and comes again, as some do around an outage
    of the store.
    """

    def __init__(self) -> None:
        self._since: dict[str, float] = {}

    def __len__(self) -> int:
        """Return how many are remembered."""
        return len(self._since)

    def __contains__(self, name: str) -> bool:
        """Whether an instance said so."""
        return name in self._since

    def note(self, name: str) -> bool:
        """Note that an instance said so; false if it was known."""
        if name in self._since:
            return False
        self._since[name] = anyio.current_time()
        if len(self._since) > LEAVERS_MOST:
            del self._since[next(iter(self._since))]
        return True

    def items(self) -> tuple[tuple[str, float], ...]:
        """Return who said so, and when by the loop's time."""
        return tuple(self._since.items())

    def since(self, name: str) -> float | None:
        """Return when an instance first said so, by the loop's time."""
        return self._since.get(name)
