# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Instances that name how many requests a second they take.

What callers saw: nothing yet; the engines that named a limit served all the
same. The order of events: a first engine that got ten requests a second named
a limit of 3.2 a second in its answers. Each entry went on as before, 23
requests in four seconds from one of them alone, where all entries together
may send 24.
"""

import random
import typing

import anyio
import pytest

from crowdeck import route as routes
from crowdeck.standin import chain_fleet
from tests import entries_system

STREAM = routes.Repeat.STREAM
IDEMPOTENT = routes.Repeat.IDEMPOTENT
# What an instance may get in any four seconds from three seconds after it
# first named its limit.
GRACE_SECONDS = 3.0
WINDOW_SECONDS = 4.0
BOUND_FACTOR = 1.5
BOUND_EXTRA = 5
# An instance is to get about what it takes; what is left is for what
# entries do not know of one another.
USED_LEAST = 0.7


class Play:
    """Requests to some entries, and an instance that names a limit.

    :param weights: how the requests are split among the entries.
    """

    def __init__(
        self, entries: entries_system.Entries, weights: tuple[float, ...]
    ) -> None:
        self.entries = entries
        self.fleet = entries.fleet
        self._weights = weights
        self._chance = random.Random(7)
        self._sent = 0
        for target in self.fleet.upstreams:
            target.tells_load = True

    async def send(
        self, seconds: float, per_second: float, repeat: routes.Repeat
    ) -> None:
        """Send requests for a while."""
        until = anyio.current_time() + seconds
        numbers = range(len(self._weights))
        while anyio.current_time() < until:
            (number,) = self._chance.choices(numbers, self._weights)
            self._sent += 1
            body = b"one-%d" % self._sent
            self.entries.ask_soon(number, repeat, body)
            await anyio.sleep(self._chance.expovariate(per_second))

    def busiest(self) -> chain_fleet.StandinUpstream:
        """Return the instance that got most requests so far."""
        counts: dict[str, int] = {}
        for run in self.fleet.runs:
            counts[run.upstream] = counts.get(run.upstream, 0) + 1
        name = max(counts, key=lambda one: counts[one])
        (found,) = (
            one for one in self.fleet.upstreams if one.listed.name == name
        )
        return found

    def arrivals(
        self, target: chain_fleet.StandinUpstream, since: float
    ) -> list[float]:
        """Return when an instance got requests since then."""
        return [
            run.at
            for run in self.fleet.runs
            if run.upstream == target.listed.name and run.at >= since
        ]

    @property
    def refused(self) -> list[entries_system.Told]:
        """What callers were told that were not served."""
        return [one for one in self.entries.told if not one.was_served]


def most_within(times: list[float], seconds: float) -> int:
    """Return the most of some moments that lie within a span."""
    most = first = 0
    for last, time in enumerate(times):
        while time - times[first] > seconds:
            first += 1
        most = max(most, last + 1 - first)
    return most


def assert_kept(times: list[float], limit: float) -> None:
    allowed = BOUND_FACTOR * limit * WINDOW_SECONDS + BOUND_EXTRA
    assert most_within(times, WINDOW_SECONDS) <= allowed


def play(
    work: typing.Callable[[Play], typing.Awaitable[None]],
    weights: tuple[float, ...],
    copies: int = 2,
) -> None:
    async def body(entries: entries_system.Entries) -> None:
        await anyio.sleep(2.0)
        await work(Play(entries, weights))

    entries_system.play(body, count=len(weights), copies=copies)


EVEN = (1.0, 1.0, 1.0, 1.0)
UNEVEN = (0.9, 0.04, 0.03, 0.03)
ALONE = (1.0,)


@pytest.mark.parametrize("weights", [ALONE, EVEN, UNEVEN])
class TestOneInstance:
    """One instance of several names a limit."""

    @pytest.mark.parametrize("repeat", [STREAM, IDEMPOTENT])
    def test_gets_what_it_takes_from_all_entries(
        self, weights: tuple[float, ...], repeat: routes.Repeat
    ) -> None:
        async def work(one: Play) -> None:
            await one.send(4.0, 30.0, repeat)
            target = one.busiest()
            target.limit = 3.2
            named_at = anyio.current_time()
            await one.send(20.0, 30.0, repeat)
            times = one.arrivals(target, named_at + GRACE_SECONDS)
            assert_kept(times, target.limit)
            assert not one.refused

        play(work, weights)
