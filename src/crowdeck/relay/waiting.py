# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""The line of requests that no path has room for yet."""

import collections
import contextlib
import typing

import anyio

from crowdeck.observe import counters

# Beyond so many nobody joins: about what the engines of one availability
# zone serve at once, so the last of them would wait for all their ends.
MAX_WAITING = 100


class WaitQueue:
    """Requests for one service, first come first served.

    Only the first looks for a path: each look costs about a millisecond,
    and a hundred that all look every 20 ms leave an entry no time to
    serve. It also keeps a late-comer from taking the room that others
    have waited for.
    """

    def __init__(self) -> None:
        self._waiters: collections.deque[anyio.Event] = collections.deque()

    def __len__(self) -> int:
        """Return how many wait."""
        return len(self._waiters)

    @property
    def is_full(self) -> bool:
        """Whether nobody may join."""
        return len(self._waiters) >= MAX_WAITING

    @contextlib.asynccontextmanager
    async def turn(self, until: float) -> typing.AsyncIterator[bool]:
        """Wait to be the first; the next one's turn comes on leaving.

        :param until: the loop's time at which the wait is given up.
        :returns: whether the turn has come.
        """
        turn_event = anyio.Event()
        self._waiters.append(turn_event)
        if len(self._waiters) == 1:
            turn_event.set()
        counters.COUNTERS.add("relay.waited")
        try:
            with anyio.move_on_at(until):
                await turn_event.wait()
            yield turn_event.is_set()
        finally:
            self._waiters.remove(turn_event)
            if self._waiters:
                self._waiters[0].set()
