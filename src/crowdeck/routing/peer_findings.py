# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Decides which engines to hold back because other entries found them lost."""

import typing

# An engine is held back for this long at most, until it has been asked.
MAX_HOLD_SECONDS = 0.3
# An engine is not held back again for this long after it was.
REPEAT_SECONDS = 5.0
# Share of a service's usable engines that are held back at once, but at least
# one engine.
MAX_HELD_SHARE = 0.1


class PeerFindings:
    """The engines that are held back on what other entries tell.

    All times are loop times, in seconds.
    """

    def __init__(self) -> None:
        self._held_since: dict[str, float] = {}
        self._last_held_at: dict[str, float] = {}

    def held_back(self, now: float) -> frozenset[str]:
        """Return the names of the engines that are held back."""
        return frozenset(
            name
            for name, since in self._held_since.items()
            if now - since <= MAX_HOLD_SECONDS
        )

    def hold(
        self,
        finders: typing.Mapping[str, int],
        usable: typing.Collection[str],
        now: float,
    ) -> list[str]:
        """Hold back reported engines, and return those to be asked now.

        Those that most entries found lost come first; others follow when
        these have been asked.

        :param finders: number of entries that found an engine lost, by name.
        :param usable: names of the usable engines of one service.
        """
        self._forget(now)
        room = max(1, int(MAX_HELD_SHARE * len(usable)))
        room -= len(self.held_back(now).intersection(usable))
        reported = sorted(
            (
                name
                for name in usable
                if name in finders and name not in self._last_held_at
            ),
            key=lambda name: (-finders[name], name),
        )
        held = reported[: max(0, room)]
        for name in held:
            self._held_since[name] = self._last_held_at[name] = now
        return held

    def release(self, name: str) -> None:
        """Hold an engine back no longer, as it was asked."""
        self._held_since.pop(name, None)

    def _forget(self, now: float) -> None:
        for name, at in list(self._last_held_at.items()):
            if now - at > REPEAT_SECONDS:
                del self._last_held_at[name]
                self._held_since.pop(name, None)
