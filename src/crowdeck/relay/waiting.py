# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Queue of requests that wait for capacity."""

import collections
import contextlib
import typing

import anyio

from crowdeck.observe import counters

# Maximum length of the queue, about the number of requests that the engines of
# one availability zone serve at once. Another request would have to wait until
# all of those have ended.
MAX_WAITING = 100


class WaitQueue:
    """Queue of requests for one service, first come first served.

    Only the first in the queue looks for a path, since planning is costly: a
    hundred that each plan for a millisecond every 20 ms would leave an entry
    no time to serve. This also keeps later requests from taking capacity that
    earlier requests wait for.
    """

    def __init__(self) -> None:
        self._waiters: collections.deque[anyio.Event] = collections.deque()

    def __len__(self) -> int:
        """Return how many requests wait."""
        return len(self._waiters)

    @property
    def is_full(self) -> bool:
        """Whether no more requests may join."""
        return len(self._waiters) >= MAX_WAITING

    @contextlib.asynccontextmanager
    async def turn(self, until: float) -> typing.AsyncIterator[bool]:
        """Join the queue and wait to be the first; leave it on exit.

        :param until: loop time at which to stop waiting.
        :returns: whether this request is the first.
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
