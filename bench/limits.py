# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Compares ways to share an instance's limit among entries.

Run as ``python -m bench.limits``. Entries keep their parts by the code that
they run; requests, answers and one instance that names a limit are played in
virtual time. ``even`` plays an instance that does not tell its load, so that
each entry takes the same part; ``seen`` one that does. Both play the same
seeds.
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

# What an instance bears of a limit of L requests a second in any four
# seconds, from three seconds after it first named it: 6 L + 5.
WINDOW_SECONDS = 4.0
GRACE_SECONDS = 3.0
BOUND_FACTOR = 1.5
BOUND_EXTRA = 5.0
# From an entry's first answer on, its requests count so much later.
TOLD_SECONDS = 0.5
ANSWER_SECONDS = 0.05
NAMED_AT = 5.0
PLAYED_SECONDS = 60.0
SURGE = (30.0, 40.0)

WAYS = ("even", "seen")


@attrs.frozen
class Case:
    """What is played.

    :ivar busiest: the share of requests that come to the first entry.
    :ivar asked: requests a second that would go to the instance.
    :ivar seconds: how long a request takes.
    :ivar surge: how many times as many come for ten seconds.
    """

    entries: int
    busiest: float
    limit: float
    asked: float
    seconds: float
    surge: float = 1.0

    @property
    def weights(self) -> list[float]:
        """Shares of requests, by entry."""
        if self.entries == 1:
            return [1.0]
        rest = (1.0 - self.busiest) / (self.entries - 1)
        return [self.busiest, *[rest] * (self.entries - 1)]

    def __str__(self) -> str:
        return (
            f"{self.entries:3d} entries, {self.busiest:4.2f} at one, "
            f"limit {self.limit:4.1f}, asked {self.asked:4.1f}, "
            f"{self.seconds:4.2f} s, surge {self.surge:3.1f}"
        )


@attrs.frozen
class Played:
    """What an instance got.

    :ivar most: the most in a window, as a share of what it bears.
    :ivar used: what it got, as a share of its limit.
    """

    most: float
    used: float


class _Entry:
    """One entry, and what it has under way."""

    def __init__(self, entries: int, rng: random.Random) -> None:
        self.limits = rate_limits.RateLimits(self, rng)
        self.limits.set_entry_count(entries)
        self.count = 0
        self.told_at = float("inf")

    def own_requests(self, upstream: chain.Upstream) -> int:
        return self.count


class _Run:
    """One play of a case."""

    def __init__(self, case: Case, way: str, seed: int) -> None:
        self._case = case
        self._tells_load = way == "seen"
        self._chance = random.Random(seed)
        self._upstream = chain.Upstream(
            name="one",
            service="service",
            address=instances.Address("10.0.0.1", 1),
            availability_zone="zone",
            slots=96,
            is_leaving=False,
        )
        self._entries = [
            _Entry(case.entries, random.Random(self._chance.random()))
            for _ in range(case.entries)
        ]
        self._events: list[tuple[float, int, typing.Callable[[], None]]] = []
        self._counted: list[float] = []
        self._sent = 0

    async def run(self) -> Played:
        self._at(0.0, self._arrive)
        while self._events:
            at, _, act = heapq.heappop(self._events)
            if at > PLAYED_SECONDS:
                break
            await anyio.sleep(max(0.0, at - anyio.current_time()))
            act()
        case = self._case
        bound = BOUND_FACTOR * WINDOW_SECONDS * case.limit + BOUND_EXTRA
        seconds = PLAYED_SECONDS - NAMED_AT - GRACE_SECONDS
        return Played(
            _most_within(self._counted) / bound,
            self._sent / seconds / min(case.limit, case.asked),
        )

    def _at(self, at: float, act: typing.Callable[[], None]) -> None:
        number = self._chance.random()
        heapq.heappush(self._events, (at, int(number * 2**53), act))

    def _arrive(self) -> None:
        now = anyio.current_time()
        is_surge = SURGE[0] <= now < SURGE[1]
        rate = self._case.asked * (self._case.surge if is_surge else 1.0)
        self._at(now + self._chance.expovariate(rate), self._arrive)
        (entry,) = self._chance.choices(self._entries, self._case.weights)
        if not entry.limits.allows(self._upstream):
            return
        entry.limits.take(self._upstream)
        entry.count += 1
        since = NAMED_AT + GRACE_SECONDS
        if now >= since:
            self._sent += 1
        if now >= max(since, entry.told_at + TOLD_SECONDS):
            self._counted.append(now)
        self._at(now + ANSWER_SECONDS, lambda: self._answer(entry))
        ends = self._chance.expovariate(1.0 / self._case.seconds)
        self._at(now + ANSWER_SECONDS + ends, lambda: self._end(entry))

    def _answer(self, entry: _Entry) -> None:
        now = anyio.current_time()
        if now < NAMED_AT:
            return
        entry.told_at = min(entry.told_at, now)
        running = sum(one.count for one in self._entries)
        load = running if self._tells_load else None
        entry.limits.note_limit(self._upstream, self._case.limit, load)

    def _end(self, entry: _Entry) -> None:
        entry.count -= 1


def _most_within(times: list[float]) -> int:
    most = first = 0
    for last, time in enumerate(times):
        while time - times[first] > WINDOW_SECONDS:
            first += 1
        most = max(most, last + 1 - first)
    return most


def play(case: Case, way: str, seed: int) -> Played:
    """Play one case."""
    played: Played = virtual.run(_Run(case, way, seed).run)
    return played


def cases() -> list[Case]:
    """Return what is compared when nothing else is asked for."""
    found = []
    for entries in (1, 4, 29, 70):
        shares = {1.0} if entries == 1 else {1.0 / entries, 0.9}
        for busiest in sorted(shares):
            for limit, asked in ((1.6, 10.0), (3.2, 30.0), (15.0, 60.0)):
                for seconds in (2.5, 0.04):
                    found.append(Case(entries, busiest, limit, asked, seconds))
    return found


def main() -> None:
    """Print what the instance got, by case and way."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=8)
    parser.add_argument("--surge", type=float, default=1.0)
    arguments = parser.parse_args()
    for case in cases():
        case = attrs.evolve(case, surge=arguments.surge)
        told = []
        for way in WAYS:
            plays = [play(case, way, seed) for seed in range(arguments.seeds)]
            most = max(one.most for one in plays)
            used = statistics.fmean(one.used for one in plays)
            over = sum(1 for one in plays if one.most > 1.0)
            told.append(
                f"{way} {used:4.2f} used, {most:4.2f} most, {over} over"
            )
        print(case, "|", " | ".join(told), flush=True)


if __name__ == "__main__":
    main()
