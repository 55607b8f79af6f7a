# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Compares ways to share an instance's rate limit among entries.

Run as ``python -m bench.limits``. The limit is shared by the code that entries
run in production; requests, answers and one instance that announces a limit
are simulated in virtual time. In the mode ``even`` the instance does not
report its load, and all entries have equal shares of the limit; in the mode
``seen`` it reports its load. Both modes use the same seeds.
"""

import argparse
import heapq
import random
import statistics
import typing

import anyio
import attrs

from crowdeck import chain
from crowdeck import instance as instances
from crowdeck.routing import rate_limits
from tests import virtual

# In any window that starts at least the grace time after the limit is
# announced, an instance should receive at most
# BOUND_FACTOR * WINDOW_SECONDS * limit + BOUND_EXTRA_REQUESTS requests.
WINDOW_SECONDS = 4.0
GRACE_SECONDS = 3.0
BOUND_FACTOR = 1.5
BOUND_EXTRA_REQUESTS = 5.0
# Requests of an entry count towards the bound only when this time has passed
# since its first answer with a limit.
ENTRY_GRACE_SECONDS = 0.5
ANSWER_DELAY_SECONDS = 0.05
# Times from the start of the simulation.
ANNOUNCED_AT_SECONDS = 5.0
SIMULATED_SECONDS = 60.0
SURGE_INTERVAL_SECONDS = (30.0, 40.0)

MODES = ("even", "seen")


@attrs.frozen
class Case:
    """Parameters of a simulation.

    :ivar entry_count: number of entries.
    :ivar busiest_share: share of the requests that come to the first entry.
    :ivar limit_per_second: requests a second that the instance announces.
    :ivar offered_per_second: requests a second that the entries have for the
        instance.
    :ivar request_seconds: mean duration of a request after its answer began.
    :ivar surge_factor: factor on ``offered_per_second`` during the surge.
    """

    entry_count: int
    busiest_share: float
    limit_per_second: float
    offered_per_second: float
    request_seconds: float
    surge_factor: float = 1.0

    @property
    def weights(self) -> list[float]:
        """Share of the requests that comes to each entry."""
        if self.entry_count == 1:
            return [1.0]
        other_share = (1.0 - self.busiest_share) / (self.entry_count - 1)
        return [self.busiest_share, *[other_share] * (self.entry_count - 1)]

    def __str__(self) -> str:
        return (
            f"{self.entry_count:3d} entries, "
            f"{self.busiest_share:4.2f} at one, "
            f"limit {self.limit_per_second:4.1f}, "
            f"offered {self.offered_per_second:4.1f}, "
            f"{self.request_seconds:4.2f} s, surge {self.surge_factor:3.1f}"
        )


@attrs.frozen
class Result:
    """Requests that the instance received in a simulation.

    :ivar peak_ratio: most requests in a window, relative to the bound.
    :ivar used_ratio: mean rate relative to the limit, or to the offered rate
        if that is lower.
    """

    peak_ratio: float
    used_ratio: float


class _Entry:
    """An entry with its number of requests in progress."""

    def __init__(self, entry_count: int, rng: random.Random) -> None:
        self.limits = rate_limits.RateLimits(self, rng)
        self.limits.set_entry_count(entry_count)
        self.in_progress = 0
        self.limit_known_at = float("inf")

    def own_requests(self, upstream: chain.Upstream) -> int:
        return self.in_progress


class _Simulation:
    """Simulates one case in one mode."""

    def __init__(self, case: Case, mode: str, seed: int) -> None:
        self._case = case
        self._reports_load = mode == "seen"
        self._random = random.Random(seed)
        self._upstream = chain.Upstream(
            name="one",
            service="service",
            address=instances.Address("10.0.0.1", 1),
            availability_zone="zone",
            slots=96,
            is_leaving=False,
        )
        self._entries = [
            _Entry(case.entry_count, random.Random(self._random.random()))
            for _ in range(case.entry_count)
        ]
        self._events: list[tuple[float, int, typing.Callable[[], None]]] = []
        self._counted_times: list[float] = []
        self._sent_after_grace = 0

    async def run(self) -> Result:
        self._schedule(0.0, self._on_arrival)
        while self._events:
            at, _, callback = heapq.heappop(self._events)
            if at > SIMULATED_SECONDS:
                break
            await anyio.sleep(max(0.0, at - anyio.current_time()))
            callback()
        case = self._case
        bound = (
            BOUND_FACTOR * WINDOW_SECONDS * case.limit_per_second
            + BOUND_EXTRA_REQUESTS
        )
        seconds = SIMULATED_SECONDS - ANNOUNCED_AT_SECONDS - GRACE_SECONDS
        return Result(
            _max_in_window(self._counted_times) / bound,
            self._sent_after_grace
            / seconds
            / min(case.limit_per_second, case.offered_per_second),
        )

    def _schedule(
        self, at: float, callback: typing.Callable[[], None]
    ) -> None:
        # The random number decides the order of events of the same time.
        number = self._random.random()
        heapq.heappush(self._events, (at, int(number * 2**53), callback))

    def _on_arrival(self) -> None:
        now = anyio.current_time()
        is_surge = SURGE_INTERVAL_SECONDS[0] <= now < SURGE_INTERVAL_SECONDS[1]
        rate = self._case.offered_per_second * (
            self._case.surge_factor if is_surge else 1.0
        )
        self._schedule(now + self._random.expovariate(rate), self._on_arrival)
        (entry,) = self._random.choices(self._entries, self._case.weights)
        if not entry.limits.allows(self._upstream):
            return
        entry.limits.take(self._upstream)
        entry.in_progress += 1
        count_from_seconds = ANNOUNCED_AT_SECONDS + GRACE_SECONDS
        if now >= count_from_seconds:
            self._sent_after_grace += 1
        if now >= max(
            count_from_seconds, entry.limit_known_at + ENTRY_GRACE_SECONDS
        ):
            self._counted_times.append(now)
        self._schedule(
            now + ANSWER_DELAY_SECONDS, lambda: self._on_answer(entry)
        )
        duration = self._random.expovariate(1.0 / self._case.request_seconds)
        self._schedule(
            now + ANSWER_DELAY_SECONDS + duration, lambda: self._on_end(entry)
        )

    def _on_answer(self, entry: _Entry) -> None:
        now = anyio.current_time()
        if now < ANNOUNCED_AT_SECONDS:
            return
        entry.limit_known_at = min(entry.limit_known_at, now)
        in_progress = sum(each.in_progress for each in self._entries)
        load = in_progress if self._reports_load else None
        entry.limits.note_limit(
            self._upstream, self._case.limit_per_second, load
        )

    def _on_end(self, entry: _Entry) -> None:
        entry.in_progress -= 1


def _max_in_window(times: list[float]) -> int:
    largest = first = 0
    for last, time in enumerate(times):
        while time - times[first] > WINDOW_SECONDS:
            first += 1
        largest = max(largest, last + 1 - first)
    return largest


def simulate(case: Case, mode: str, seed: int) -> Result:
    """Simulate one case."""
    result: Result = virtual.run(_Simulation(case, mode, seed).run)
    return result


def make_cases() -> list[Case]:
    """Return the cases to compare, with a surge factor of 1."""
    cases = []
    for entry_count in (1, 4, 29, 70):
        shares = {1.0} if entry_count == 1 else {1.0 / entry_count, 0.9}
        for share in sorted(shares):
            for limit, offered in ((1.6, 10.0), (3.2, 30.0), (15.0, 60.0)):
                for seconds in (2.5, 0.04):
                    cases.append(
                        Case(entry_count, share, limit, offered, seconds)
                    )
    return cases


def main() -> None:
    """Print the results of each case in both modes."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=8)
    parser.add_argument("--surge", type=float, default=1.0)
    arguments = parser.parse_args()
    for case in make_cases():
        case = attrs.evolve(case, surge_factor=arguments.surge)
        columns = []
        for mode in MODES:
            results = [
                simulate(case, mode, seed) for seed in range(arguments.seeds)
            ]
            peak = max(result.peak_ratio for result in results)
            used = statistics.fmean(result.used_ratio for result in results)
            over = sum(1 for result in results if result.peak_ratio > 1.0)
            columns.append(
                f"{mode} {used:4.2f} of the limit used, "
                f"peak {peak:4.2f}, {over} seeds over"
            )
        print(case, "|", " | ".join(columns), flush=True)


if __name__ == "__main__":
    main()
