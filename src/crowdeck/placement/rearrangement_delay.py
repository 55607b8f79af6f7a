# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Delays rearrangements while a lost engine may still restart.

Also limits how often engines are rearranged.
"""

import typing

import attrs

# An engine that ended may restart and load the missing layers itself, so that
# no other engine has to change. Covers a restart and one heartbeat. Restarts
# take about two seconds.
RESTART_GRACE_SECONDS = 2.3
# Engines that stop and restart repeatedly would cause a rearrangement each
# time. After this many rearrangements within the window each delay is twice
# the previous one, up to the maximum.
REARRANGEMENTS_BEFORE_BACKOFF = 10
MAX_DELAY_SECONDS = 300.0
WINDOW_SECONDS = 3600.0
# Upper bound for the values above. Checked by tests; not used here. The values
# allow 10 rearrangements, 8 more until the delay reaches its maximum, and 11
# in the rest of the hour.
MAX_REARRANGEMENTS_PER_HOUR = 30


@attrs.define
class RearrangementDelay:
    """Decides when the engines of one service may be rearranged.

    All times are event loop times.

    :ivar due: when the delay ends, or minus infinity while nothing is to be
        rearranged.
    """

    due: float = float("-inf")
    _missing_since: float = 0.0
    _missing: frozenset[int] = frozenset()
    _rearranged_at: list[float] = attrs.field(factory=list)

    def note_missing(
        self, now: float, is_announced: bool, missing: typing.Iterable[int]
    ) -> bool:
        """Note the missing layers, and return whether their delay is over.

        :param is_announced: whether the holders of the missing layers
            announced that they leave. They are not expected to restart.
        :param missing: the layers that no engine holds. The delay starts again
            when another layer goes missing.
        """
        now_missing = frozenset(missing)
        if not now_missing <= self._missing:
            self._missing_since = now
        self._missing = now_missing
        self._rearranged_at = [
            at for at in self._rearranged_at if now - at < WINDOW_SECONDS
        ]
        wait_seconds = 0.0 if is_announced else RESTART_GRACE_SECONDS
        delay_started_at = self._missing_since
        excess_count = len(self._rearranged_at) - REARRANGEMENTS_BEFORE_BACKOFF
        if excess_count >= 0:
            wait_seconds = min(
                MAX_DELAY_SECONDS,
                RESTART_GRACE_SECONDS * 2.0 ** (excess_count + 1),
            )
            delay_started_at = max(delay_started_at, self._rearranged_at[-1])
        self.due = delay_started_at + wait_seconds
        return now >= self.due

    def reset(self) -> None:
        """Note that nothing is to be rearranged."""
        self._missing = frozenset()
        self.due = float("-inf")

    def note_rearrangement(self, now: float) -> None:
        """Note that a rearrangement was ordered."""
        self._rearranged_at.append(now)
