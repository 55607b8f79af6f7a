# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""A service of which all instances name a limit at once.

Twice as many requests come as the limits allow. Callers are to be served up
to three quarters of that at least, however they are spread over entries, and
no instance is to get more than it bears.
"""

import collections
import heapq
import random
import typing

import anyio
import attrs
import pytest

from crowdeck import chain
from crowdeck import instance as instances
from crowdeck.routing import rate_limits
from tests import virtual

INSTANCES = 8
LIMIT = 3.2
ASKED_FACTOR = 2.0
SERVED_LEAST = 0.75
# What an instance bears of a limit of L requests a second in any four
# seconds, from three seconds after it first named it: 6 L + 5.
WINDOW_SECONDS = 4.0
BOUND = 1.5 * WINDOW_SECONDS * LIMIT + 5.0
NAMED_AT = 5.0
COUNTED_FROM = 8.0
PLAYED_SECONDS = 60.0
ANSWER_SECONDS = 0.05
# An entry's requests count so long after its first answer of an instance.
TOLD_SECONDS = 0.5
EVEN, MOST = "even", "skewed"
SHORT, LONG = 0.04, 2.5


class _Entry:
    """One entry's parts of the limits, and what it has under way."""

    def __init__(self, entries: int, rng: random.Random) -> None:
        self.limits = rate_limits.RateLimits(self, rng)
        self.limits.set_entry_count(entries)
        self.counts: collections.Counter[str] = collections.Counter()
        self.told_at: dict[str, float] = {}

    def own_requests(self, upstream: chain.Upstream) -> int:
        return self.counts[upstream.name]


@attrs.define(eq=False)
class _Service:
    """Its instances, and what they got."""

    entries: list[_Entry]
    weights: list[float]
    seconds: float
    tells_load: bool
    rng: random.Random
    upstreams: list[chain.Upstream]
    got: dict[str, list[float]]
    borne: dict[str, list[float]]
    events: list[tuple[float, float, typing.Callable[[], None]]]

    async def run(self) -> None:
        self._at(0.0, self._arrive)
        while self.events[0][0] <= PLAYED_SECONDS:
            at, _, act = heapq.heappop(self.events)
            await anyio.sleep(max(0.0, at - anyio.current_time()))
            act()

    def _at(self, at: float, act: typing.Callable[[], None]) -> None:
        heapq.heappush(self.events, (at, self.rng.random(), act))

    def _arrive(self) -> None:
        now = anyio.current_time()
        rate = ASKED_FACTOR * LIMIT * INSTANCES
        self._at(now + self.rng.expovariate(rate), self._arrive)
        (entry,) = self.rng.choices(self.entries, self.weights)
        free = [one for one in self.upstreams if entry.limits.allows(one)]
        if not free:
            return
        chosen = min(
            free, key=lambda one: (entry.own_requests(one), self._draw())
        )
        entry.limits.take(chosen)
        entry.counts[chosen.name] += 1
        if now >= COUNTED_FROM:
            self.got[chosen.name].append(now)
            told_at = entry.told_at.get(chosen.name, float("inf"))
            if now >= told_at + TOLD_SECONDS:
                self.borne[chosen.name].append(now)
        answered = now + ANSWER_SECONDS
        ended = answered + self.rng.expovariate(1.0 / self.seconds)
        self._at(answered, lambda: self._answer(entry, chosen))
        self._at(ended, lambda: entry.counts.subtract([chosen.name]))

    def _draw(self) -> float:
        return self.rng.random()

    def _answer(self, entry: _Entry, upstream: chain.Upstream) -> None:
        if anyio.current_time() >= NAMED_AT:
            load = sum(one.own_requests(upstream) for one in self.entries)
            told = load if self.tells_load else None
            entry.limits.note(upstream, LIMIT, told)
            entry.told_at.setdefault(upstream.name, anyio.current_time())


def play(
    entries: int, spread: str, seconds: float, tells_load: bool
) -> _Service:
    """Return a service that was played."""
    rng = random.Random(1)
    busiest = 0.9 if spread == MOST else 1.0 / entries
    rest = (1.0 - busiest) / max(1, entries - 1)
    upstreams = [
        chain.Upstream(
            name=f"u{number}",
            service="service",
            address=instances.Address("10.0.0.1", 1 + number),
            availability_zone="zone",
            slots=96,
            is_leaving=False,
        )
        for number in range(INSTANCES)
    ]
    service = _Service(
        [_Entry(entries, random.Random(n)) for n in range(entries)],
        [busiest, *[rest] * (entries - 1)],
        seconds,
        tells_load,
        rng,
        upstreams,
        {one.name: [] for one in upstreams},
        {one.name: [] for one in upstreams},
        [],
    )
    virtual.run(service.run)
    return service


class TestLimits:
    """What callers get of a service whose instances all limit themselves."""

    @pytest.mark.parametrize("tells_load", [True, False])
    @pytest.mark.parametrize("seconds", [SHORT, LONG])
    @pytest.mark.parametrize(
        ("entries", "spread"),
        [(1, EVEN), (5, EVEN), (5, MOST), (70, EVEN), (70, MOST)],
    )
    def test_are_used(
        self, entries: int, spread: str, seconds: float, tells_load: bool
    ) -> None:
        service = play(entries, spread, seconds, tells_load)
        served = sum(len(times) for times in service.got.values())
        allowed = LIMIT * INSTANCES * (PLAYED_SECONDS - COUNTED_FROM)
        assert served >= SERVED_LEAST * allowed, f"{served / allowed:.2f}"

    @pytest.mark.parametrize("tells_load", [True, False])
    @pytest.mark.parametrize("seconds", [SHORT, LONG])
    @pytest.mark.parametrize(
        ("entries", "spread"),
        [(1, EVEN), (5, EVEN), (5, MOST), (70, EVEN), (70, MOST)],
    )
    def test_are_kept(
        self, entries: int, spread: str, seconds: float, tells_load: bool
    ) -> None:
        service = play(entries, spread, seconds, tells_load)
        for times in service.borne.values():
            first = 0
            for last, at in enumerate(times):
                while at - times[first] > WINDOW_SECONDS:
                    first += 1
                assert last + 1 - first <= BOUND
