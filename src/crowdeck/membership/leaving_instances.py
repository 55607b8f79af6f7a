# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Instances that announced in a response that they are leaving."""

import anyio

# Beyond this number the oldest announcements are forgotten.
MAX_REMEMBERED = 1_000


class LeavingInstances:
    """Names of leaving instances, with the time of each announcement.

    A name stays remembered even if the instance's record is removed and
    written again, which happens around outages of the store.
    """

    def __init__(self) -> None:
        self._announced_at: dict[str, float] = {}

    def __len__(self) -> int:
        """Return the number of remembered instances."""
        return len(self._announced_at)

    def __contains__(self, name: str) -> bool:
        """Whether an instance announced that it is leaving."""
        return name in self._announced_at

    def note(self, name: str) -> bool:
        """Record an announcement; return whether it is the first."""
        if name in self._announced_at:
            return False
        self._announced_at[name] = anyio.current_time()
        if len(self._announced_at) > MAX_REMEMBERED:
            del self._announced_at[next(iter(self._announced_at))]
        return True

    def items(self) -> tuple[tuple[str, float], ...]:
        """Return names with the event loop time of their announcement."""
        return tuple(self._announced_at.items())

    def since(self, name: str) -> float | None:
        """Return the event loop time of an instance's announcement."""
        return self._announced_at.get(name)
