# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""How long layers that no engine holds are waited for."""

import typing

import attrs

# An engine that ended may come back with its layers, or empty: then it loads
# what is missing, and nobody else changes. Restarts take about two seconds,
# and the new entry shows within a heartbeat.
RESTART_GRACE_SECONDS = 2.3
# Engines that come and go by turns would have the others rearranged each
# time. Beyond so many rounds of orders an hour each waits twice as long as
# the one before: 10 rounds, 8 until the longest wait, 11 in what is left of
# the hour, so fewer than 30 an hour.
FREE_ROUNDS = 10
MOST_SECONDS = 300.0
WINDOW_SECONDS = 3600.0
MAX_ROUNDS_PER_HOUR = 30


@attrs.define
class RearrangementDelay:
    """When the engines of one service are rearranged.

    :ivar due: the loop's time at which layers have been missed for long
        enough, or the past.
    """

    due: float = float("-inf")
    _since: float = 0.0
    _missing: frozenset[int] = frozenset()
    _rounds: list[float] = attrs.field(factory=list)

    def is_expired(
        self, now: float, is_told: bool, missing: typing.Iterable[int]
    ) -> bool:
        """Whether layers that are missing now were waited for.

        :param missing: these layers; one that went later is waited for, too.
        :param is_told: whether those that hold them say that they leave;
            they come back empty if at all, and later than others load.
        """
        found = frozenset(missing)
        if not found <= self._missing:
            self._since = now
        self._missing = found
        self._rounds = [at for at in self._rounds if now - at < WINDOW_SECONDS]
        wait = 0.0 if is_told else RESTART_GRACE_SECONDS
        began = self._since
        beyond = len(self._rounds) - FREE_ROUNDS
        if beyond >= 0:
            wait = min(
                MOST_SECONDS, RESTART_GRACE_SECONDS * 2.0 ** (beyond + 1)
            )
            began = max(began, self._rounds[-1])
        self.due = began + wait
        return now >= self.due

    def forget(self) -> None:
        """Note that nothing is missing."""
        self._missing = frozenset()
        self.due = float("-inf")

    def note_round(self, now: float) -> None:
        """Note that engines were ordered to take other layers."""
        self._rounds.append(now)
