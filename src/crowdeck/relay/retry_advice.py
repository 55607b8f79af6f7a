# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Advises callers that were refused for lack of capacity when to retry."""

import collections
import random

import anyio

# Length of the window in which refusals and ended streams are counted, about
# the duration of a stream.
WINDOW_SECONDS = 2.0
# Delay for a single refusal.
MIN_DELAY_SECONDS = 0.3
# Maximum delay. Callers ignore delays that are too long for their deadline.
# They accept up to a third of the time that they have left, which is over six
# seconds for streams of 20 s.
MAX_DELAY_SECONDS = 4.0
# Delay for a refusal that concerns this entry alone. Load balancers
# already send new connections elsewhere, so a retry reaches another entry.
# After so short a delay it can still be answered in time.
OTHER_ENTRY_DELAY_SECONDS = 0.25
# Share of the time that a caller has left after which it may return, so that
# enough is left to be served.
MAX_DEADLINE_SHARE = 0.3
# Share of the longest delay from which on a rank spreads its retries at the
# latest. They would come together if all had the longest delay.
MAX_START_SHARE = 0.7


class RetryAdvisor:
    """Spreads retries over the time in which capacity becomes free.

    With the same short delay for all, requests refused in a burst would
    retry together and be refused again.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._refused: collections.deque[float] = collections.deque()
        self._refused_by_rank: dict[
            tuple[str, int], collections.deque[float]
        ] = {}
        self._ended: collections.deque[float] = collections.deque()

    def note_end(self) -> None:
        """Note that a stream ended and freed its capacity."""
        self._ended.append(anyio.current_time())
        self._forget(self._ended)

    def seconds_until_capacity(self, count: float) -> float:
        """Return the seconds until there is capacity for more requests.

        0 if no stream ended lately, since the rate is not known then.

        :param count: number of requests.
        """
        self._forget(self._ended)
        if not self._ended:
            return 0.0
        return WINDOW_SECONDS * count / len(self._ended)

    def record_refusal(self) -> float:
        """Record a refusal and return the seconds after which to retry.

        Each stream that ends frees capacity for one request. The delay is
        ``MIN_DELAY_SECONDS`` plus a random part of the time in which as many
        streams end as other requests were refused in the window.
        """
        self._refused.append(anyio.current_time())
        self._forget(self._refused)
        self._forget(self._ended)
        ends = max(1, len(self._ended))
        seconds = WINDOW_SECONDS * (len(self._refused) - 1) / ends
        spread = min(seconds, MAX_DELAY_SECONDS - MIN_DELAY_SECONDS)
        return MIN_DELAY_SECONDS + self._rng.uniform(0.0, spread)

    def record_ranked_refusal(
        self, service: str, rank: int, ahead: float, seconds_left: float
    ) -> float:
        """Record a refusal and return the seconds after which to retry.

        More urgent requests return first: the delay is
        ``MIN_DELAY_SECONDS``, the time in which as many streams end as more
        urgent requests were refused in the window and as wait ahead, and a
        random part of the time in which as many end as others of the rank
        were refused.

        :param rank: rank of the request, 0 for the most urgent.
        :param ahead: requests that wait and are served before it.
        :param seconds_left: time until the deadline of its caller.
        """
        self._refused_by_rank.setdefault(
            (service, rank), collections.deque()
        ).append(anyio.current_time())
        for times in self._refused_by_rank.values():
            self._forget(times)
        self._forget(self._ended)
        more_urgent = sum(
            len(times)
            for (other, other_rank), times in self._refused_by_rank.items()
            if other == service and other_rank < rank
        )
        others = len(self._refused_by_rank[service, rank]) - 1
        seconds_per_request = WINDOW_SECONDS / max(1, len(self._ended))
        longest = min(
            MAX_DELAY_SECONDS,
            MAX_DEADLINE_SHARE * max(MIN_DELAY_SECONDS, seconds_left),
        )
        start = min(
            MIN_DELAY_SECONDS + seconds_per_request * (more_urgent + ahead),
            MAX_START_SHARE * longest,
        )
        spread = min(seconds_per_request * others, longest - start)
        return start + self._rng.uniform(0.0, max(0.0, spread))

    def _forget(self, times: collections.deque[float]) -> None:
        since = anyio.current_time() - WINDOW_SECONDS
        while times and times[0] < since:
            times.popleft()
