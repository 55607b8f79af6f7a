# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Instances that leave, and how long they may get work after that.

All times are event loop times. A process learns that an instance left when
its copy of the records is updated. It may have left at any time since the copy
was last confirmed current.
"""

import anyio

# Beyond this number the oldest announcements are forgotten.
MAX_REMEMBERED = 1_000
# No work may reach an instance two seconds after its record was removed or
# announced that it leaves. This is shorter by the time that a call takes to
# arrive.
LAST_WORK_SECONDS = 1.8
# A leaving instance gets new work for this long at most, and only if no other
# can serve it.
LEAVING_GRACE_SECONDS = 1.0
# How long an instance stays listed after its record was removed by an outage
# of the store. Instances write their records again within two seconds.
LAPSE_SECONDS = 1.8


def leaving_until(learned_at: float, confirmed_at: float) -> float:
    """Return until when an instance that announced its leaving may get work.

    :param learned_at: when this process learned of the announcement.
    :param confirmed_at: when the copy was last confirmed before that.
    """
    return min(
        learned_at + LEAVING_GRACE_SECONDS, confirmed_at + LAST_WORK_SECONDS
    )


def lapsed_until(
    learned_at: float, confirmed_at: float, outage_at: float | None
) -> float:
    """Return until when an instance is kept whose record was removed.

    Without an outage of the store since the copy was confirmed, the removal
    may be that of an instance that left.

    :param learned_at: when this process learned of the removal.
    :param confirmed_at: when the copy was last confirmed before that.
    :param outage_at: when the store was last found to be away, ``None`` for
        never.
    """
    if outage_at is not None and outage_at > confirmed_at:
        return learned_at + LAPSE_SECONDS
    return min(learned_at + LAPSE_SECONDS, confirmed_at + LAST_WORK_SECONDS)


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
