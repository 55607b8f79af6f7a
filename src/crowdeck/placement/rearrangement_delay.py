# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Delays rearrangements while a lost engine may still come back."""

import typing

import attrs

# An engine that ended may restart and load the missing layers itself, so that
# no other engine has to change. Covers a restart and one heartbeat.
RESTART_GRACE_SECONDS = 2.3
# Engines that stop and restart repeatedly would cause a rearrangement each
# time. After this many rearrangements in the window each delay is twice the
# one before, up to the maximum. That bounds the rearrangements of an hour.
REARRANGEMENTS_BEFORE_BACKOFF = 10
MAX_DELAY_SECONDS = 300.0
WINDOW_SECONDS = 3600.0
MAX_REARRANGEMENTS_PER_HOUR = 30


@attrs.define
class RearrangementDelay:
    """Decides when the engines of one service may be rearranged.

    :ivar due: event loop time at which the delay ends, or minus infinity
        while no layer is missing.
    """

    due: float = float("-inf")
    _since: float = 0.0
    _missing: frozenset[int] = frozenset()
    _ordered_at: list[float] = attrs.field(factory=list)

    def is_expired(
        self, now: float, is_announced: bool, missing: typing.Iterable[int]
    ) -> bool:
        """Whether the delay for the layers that are missing now is over.

        :param missing: the layers that no engine holds. The delay starts again
            when another layer goes missing.
        :param is_announced: whether their holders announced that they leave.
            There is no restart to wait for then.
        """
        found = frozenset(missing)
        if not found <= self._missing:
            self._since = now
        self._missing = found
        self._ordered_at = [
            at for at in self._ordered_at if now - at < WINDOW_SECONDS
        ]
        wait = 0.0 if is_announced else RESTART_GRACE_SECONDS
        began = self._since
        beyond = len(self._ordered_at) - REARRANGEMENTS_BEFORE_BACKOFF
        if beyond >= 0:
            wait = min(
                MAX_DELAY_SECONDS, RESTART_GRACE_SECONDS * 2.0 ** (beyond + 1)
            )
            began = max(began, self._ordered_at[-1])
        self.due = began + wait
        return now >= self.due

    def reset(self) -> None:
        """Note that no layer is missing."""
        self._missing = frozenset()
        self.due = float("-inf")

    def note_rearrangement(self, now: float) -> None:
        """Note that a rearrangement was ordered."""
        self._ordered_at.append(now)
