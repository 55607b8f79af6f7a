# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Tests of a service whose instances all announce a limit at once.

Twice as many requests arrive as the limits allow. At least three quarters of
the limits must be used, however callers are spread over entries, and no
instance may receive more requests in a window than
``MAX_REQUESTS_PER_WINDOW``.
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
LIMIT_PER_SECOND = 3.2
DEMAND_FACTOR = 2.0
MIN_SERVED_SHARE = 0.75
# Requests that an instance may receive in any window, from
# COUNTED_FROM_SECONDS on: half as many again as the limit, and a burst of 5.
WINDOW_SECONDS = 4.0
MAX_REQUESTS_PER_WINDOW = 1.5 * WINDOW_SECONDS * LIMIT_PER_SECOND + 5.0
# From the start of the simulation.
ANNOUNCED_AT_SECONDS = 5.0
COUNTED_FROM_SECONDS = 8.0
SIMULATED_SECONDS = 60.0
# Time from the arrival of a request to the head of its answer.
ANSWER_SECONDS = 0.05
# An entry's requests to an instance must keep to the limit from this time
# after the instance's first answer that announced it.
LEARNING_SECONDS = 0.5
EVEN_LOAD, SKEWED_LOAD = "even", "skewed"
SHORT_CALL_SECONDS, LONG_CALL_SECONDS = 0.04, 2.5


class _Entry:
    """One entry's limits and its requests in progress."""

    def __init__(self, entry_count: int, randomness: random.Random) -> None:
        self.limits = rate_limits.RateLimits(self, randomness)
        self.limits.set_entry_count(entry_count)
        self.requests: collections.Counter[str] = collections.Counter()
        self.learned_at: dict[str, float] = {}

    def own_requests(self, upstream: chain.Upstream) -> int:
        return self.requests[upstream.name]


@attrs.define(eq=False)
class _Service:
    """The instances of a service, and the requests they received.

    :ivar weights: how callers are spread over the entries.
    :ivar mean_seconds: mean time from the answer's head to the end of a
        request.
    :ivar received: times of the counted requests, by instance.
    :ivar bounded_times: those of them that must keep to the limits.
    :ivar events: heap of the time of each event, a random number that orders
        events of the same time, and the action.
    """

    entries: list[_Entry]
    weights: list[float]
    mean_seconds: float
    reports_load: bool
    randomness: random.Random
    upstreams: list[chain.Upstream]
    received: dict[str, list[float]]
    bounded_times: dict[str, list[float]]
    events: list[tuple[float, float, typing.Callable[[], None]]]

    async def run(self) -> None:
        self._schedule(0.0, self._on_request)
        while self.events[0][0] <= SIMULATED_SECONDS:
            at, _, action = heapq.heappop(self.events)
            await anyio.sleep(max(0.0, at - anyio.current_time()))
            action()

    def _schedule(self, at: float, action: typing.Callable[[], None]) -> None:
        heapq.heappush(self.events, (at, self.randomness.random(), action))

    def _on_request(self) -> None:
        now = anyio.current_time()
        per_second = DEMAND_FACTOR * LIMIT_PER_SECOND * INSTANCES
        self._schedule(
            now + self.randomness.expovariate(per_second), self._on_request
        )
        (entry,) = self.randomness.choices(self.entries, self.weights)
        allowed = [
            upstream
            for upstream in self.upstreams
            if entry.limits.allows(upstream)
        ]
        if not allowed:
            return
        chosen = min(
            allowed,
            key=lambda upstream: (
                entry.own_requests(upstream),
                self._draw_tie_break(),
            ),
        )
        entry.limits.take(chosen)
        entry.requests[chosen.name] += 1
        if now >= COUNTED_FROM_SECONDS:
            self.received[chosen.name].append(now)
            learned_at = entry.learned_at.get(chosen.name, float("inf"))
            if now >= learned_at + LEARNING_SECONDS:
                self.bounded_times[chosen.name].append(now)
        answered_at = now + ANSWER_SECONDS
        ended_at = answered_at + self.randomness.expovariate(
            1.0 / self.mean_seconds
        )
        self._schedule(answered_at, lambda: self._answer(entry, chosen))
        self._schedule(
            ended_at, lambda: entry.requests.subtract([chosen.name])
        )

    def _draw_tie_break(self) -> float:
        return self.randomness.random()

    def _answer(self, entry: _Entry, upstream: chain.Upstream) -> None:
        if anyio.current_time() >= ANNOUNCED_AT_SECONDS:
            load = sum(other.own_requests(upstream) for other in self.entries)
            reported = load if self.reports_load else None
            entry.limits.note_limit(upstream, LIMIT_PER_SECOND, reported)
            entry.learned_at.setdefault(upstream.name, anyio.current_time())


def simulate(
    entry_count: int, spread: str, mean_seconds: float, reports_load: bool
) -> _Service:
    """Simulate a service and return it.

    :param mean_seconds: mean duration of a call after its answer began.
    """
    randomness = random.Random(1)
    busiest_weight = 0.9 if spread == SKEWED_LOAD else 1.0 / entry_count
    other_weight = (1.0 - busiest_weight) / max(1, entry_count - 1)
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
        [
            _Entry(entry_count, random.Random(seed))
            for seed in range(entry_count)
        ],
        [busiest_weight, *[other_weight] * (entry_count - 1)],
        mean_seconds,
        reports_load,
        randomness,
        upstreams,
        {upstream.name: [] for upstream in upstreams},
        {upstream.name: [] for upstream in upstreams},
        [],
    )
    virtual.run(service.run)
    return service


class TestLimits:
    """Limits that all instances of a service announce are used and kept."""

    @pytest.mark.parametrize("reports_load", [True, False])
    @pytest.mark.parametrize(
        "mean_seconds", [SHORT_CALL_SECONDS, LONG_CALL_SECONDS]
    )
    @pytest.mark.parametrize(
        ("entry_count", "spread"),
        [
            (1, EVEN_LOAD),
            (5, EVEN_LOAD),
            (5, SKEWED_LOAD),
            (70, EVEN_LOAD),
            (70, SKEWED_LOAD),
        ],
    )
    def test_are_used(
        self,
        entry_count: int,
        spread: str,
        mean_seconds: float,
        reports_load: bool,
    ) -> None:
        service = simulate(entry_count, spread, mean_seconds, reports_load)
        served = sum(len(times) for times in service.received.values())
        allowed = (
            LIMIT_PER_SECOND
            * INSTANCES
            * (SIMULATED_SECONDS - COUNTED_FROM_SECONDS)
        )
        assert served >= MIN_SERVED_SHARE * allowed, f"{served / allowed:.2f}"

    @pytest.mark.parametrize("reports_load", [True, False])
    @pytest.mark.parametrize(
        "mean_seconds", [SHORT_CALL_SECONDS, LONG_CALL_SECONDS]
    )
    @pytest.mark.parametrize(
        ("entry_count", "spread"),
        [
            (1, EVEN_LOAD),
            (5, EVEN_LOAD),
            (5, SKEWED_LOAD),
            (70, EVEN_LOAD),
            (70, SKEWED_LOAD),
        ],
    )
    def test_are_kept(
        self,
        entry_count: int,
        spread: str,
        mean_seconds: float,
        reports_load: bool,
    ) -> None:
        service = simulate(entry_count, spread, mean_seconds, reports_load)
        for times in service.bounded_times.values():
            first = 0
            for last, at in enumerate(times):
                while at - times[first] > WINDOW_SECONDS:
                    first += 1
                assert last + 1 - first <= MAX_REQUESTS_PER_WINDOW
