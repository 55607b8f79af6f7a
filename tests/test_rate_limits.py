# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Tests of rate limits that instances announce in their answers.

All entries together must keep to a limit, however requests are spread over
them, and still use most of it.
"""

import random
import typing

import anyio
import pytest

from crowdeck import chain
from crowdeck.relay import paths
from crowdeck import route as routes
from crowdeck.routing import rate_limits
from crowdeck.standin import chain_fleet
from crowdeck import verdict as verdicts
from tests import entries_system
from tests import fleet_system
from tests import virtual

STREAM = routes.RepeatPolicy.STREAM
IDEMPOTENT = routes.RepeatPolicy.IDEMPOTENT
# From this time after an instance announced its limit, any window may hold at
# most limit * WINDOW_SECONDS * BOUND_FACTOR + BOUND_EXTRA requests.
GRACE_SECONDS = 3.0
# Time after an entry's first request reached the instance from which its
# requests must keep to the limit.
LEARNING_SECONDS = 0.5
WINDOW_SECONDS = 4.0
BOUND_FACTOR = 1.5
BOUND_EXTRA = 5
# Least share of a limit that must be used.
MIN_USED_SHARE = 0.7
REQUESTS_PER_SECOND = 30.0
LIMIT_PER_SECOND = 3.2
# Streams do not wait longer than this for a first engine; calls wait less.
LONGEST_WAIT_SECONDS = paths.QUEUE_WAIT_SECONDS + 0.1
# Events of a stream that takes two seconds.
STREAM_EVENTS = 100


class Traffic:
    """Requests to entries whose upstream instances may announce limits.

    :param weights: how the requests are split among the entries.
    """

    def __init__(
        self, entries: entries_system.Entries, weights: tuple[float, ...]
    ) -> None:
        self.entries = entries
        self.fleet = entries.fleet
        self._weights = weights
        self._random = random.Random(7)
        self._sent = 0
        for target in self.fleet.upstreams:
            target.reports_load = True

    async def send(
        self, seconds: float, per_second: float, repeat: routes.RepeatPolicy
    ) -> None:
        """Send requests for ``seconds``, at random intervals."""
        until = anyio.current_time() + seconds
        numbers = range(len(self._weights))
        while anyio.current_time() < until:
            (number,) = self._random.choices(numbers, self._weights)
            self._sent += 1
            body = b"one-%d" % self._sent
            self.entries.start_request(number, repeat, body)
            await anyio.sleep(self._random.expovariate(per_second))

    def busiest(self) -> chain_fleet.StandinUpstream:
        """Return the instance that received the most requests so far."""
        counts: dict[str, int] = {}
        for run in self.fleet.runs:
            counts[run.upstream] = counts.get(run.upstream, 0) + 1
        name = max(counts, key=lambda upstream: counts[upstream])
        (found,) = (
            target
            for target in self.fleet.upstreams
            if target.listed.name == name
        )
        return found

    def arrivals(
        self, target: chain_fleet.StandinUpstream, since: float
    ) -> list[float]:
        """Return when an instance received requests, from ``since`` on."""
        return [
            run.started_at
            for run in self.fleet.runs
            if run.upstream == target.listed.name and run.started_at >= since
        ]

    def bounded_arrivals(
        self, target: chain_fleet.StandinUpstream, announced_at: float
    ) -> list[float]:
        """Return the times of the requests that must keep to a limit.

        Only requests of entries that have learned of the limit count.

        :param announced_at: when the instance announced the limit.
        """
        learned_at: dict[str, float] = {}
        times = []
        for run in self.fleet.runs:
            if (
                run.upstream != target.listed.name
                or run.started_at < announced_at
            ):
                continue
            # Request ids start with the entry's name, see FleetSystem.
            entry = run.request.rpartition("r")[0]
            entry_learned_at = learned_at.setdefault(entry, run.started_at)
            since = max(
                announced_at + GRACE_SECONDS,
                entry_learned_at + LEARNING_SECONDS,
            )
            if run.started_at >= since:
                times.append(run.started_at)
        return times

    @property
    def unserved(self) -> list[entries_system.Outcome]:
        """The callers that were not served."""
        return [
            outcome
            for outcome in self.entries.outcomes
            if not outcome.was_served
        ]


def max_within(times: list[float], seconds: float) -> int:
    """Return the largest number of times within a window."""
    most = first = 0
    for last, time in enumerate(times):
        while time - times[first] > seconds:
            first += 1
        most = max(most, last + 1 - first)
    return most


def assert_kept(times: list[float], limit: float) -> None:
    allowed = BOUND_FACTOR * limit * WINDOW_SECONDS + BOUND_EXTRA
    assert max_within(times, WINDOW_SECONDS) <= allowed


def simulate(
    scenario: typing.Callable[[Traffic], typing.Awaitable[None]],
    weights: tuple[float, ...],
    copies: int = 2,
) -> None:
    async def body(entries: entries_system.Entries) -> None:
        entries.fleet.events = STREAM_EVENTS
        await anyio.sleep(2.0)
        await scenario(Traffic(entries, weights))

    entries_system.run_scenario(
        body, count=len(weights), copies_per_zone=copies, instances_per_copy=4
    )


EVEN = (1.0, 1.0, 1.0, 1.0)
UNEVEN = (0.9, 0.04, 0.03, 0.03)
ALONE = (1.0,)


@pytest.mark.parametrize(
    "weights", [ALONE, EVEN, UNEVEN], ids=["one_entry", "even", "uneven"]
)
class TestOneInstance:
    """One instance of several announces a limit."""

    @pytest.mark.parametrize("repeat", [STREAM, IDEMPOTENT])
    def test_all_entries_keep_and_use_the_limit(
        self, weights: tuple[float, ...], repeat: routes.RepeatPolicy
    ) -> None:
        async def scenario(traffic: Traffic) -> None:
            await traffic.send(4.0, REQUESTS_PER_SECOND, repeat)
            target = traffic.busiest()
            target.limit = LIMIT_PER_SECOND
            announced_at = anyio.current_time()
            await traffic.send(20.0, REQUESTS_PER_SECOND, repeat)
            times = traffic.bounded_arrivals(target, announced_at)
            assert_kept(times, LIMIT_PER_SECOND)
            assert len(times) >= MIN_USED_SHARE * LIMIT_PER_SECOND * 17.0
            assert not traffic.unserved

        simulate(scenario, weights)

    @pytest.mark.parametrize("repeat", [STREAM, IDEMPOTENT])
    def test_gets_its_share_again_once_the_limit_is_lifted(
        self, weights: tuple[float, ...], repeat: routes.RepeatPolicy
    ) -> None:
        async def scenario(traffic: Traffic) -> None:
            await traffic.send(4.0, REQUESTS_PER_SECOND, repeat)
            target = traffic.busiest()
            before = len(traffic.arrivals(target, anyio.current_time() - 3.0))
            target.limit = LIMIT_PER_SECOND
            await traffic.send(8.0, REQUESTS_PER_SECOND, repeat)
            target.limit = None
            await traffic.send(4.0, REQUESTS_PER_SECOND, repeat)
            since = anyio.current_time()
            await traffic.send(3.0, REQUESTS_PER_SECOND, repeat)
            assert len(traffic.arrivals(target, since)) >= before / 2
            assert not traffic.unserved

        simulate(scenario, weights)


class TestManyEntries:
    """Many entries, each of which knows only how many there are."""

    @pytest.mark.parametrize("share", [1.0 / 70, 0.9])
    def test_seventy_entries_keep_a_limit_together(self, share: float) -> None:
        other_share = (1.0 - share) / 69

        async def scenario(traffic: Traffic) -> None:
            await traffic.send(3.0, REQUESTS_PER_SECOND, STREAM)
            target = traffic.busiest()
            target.limit = LIMIT_PER_SECOND
            announced_at = anyio.current_time()
            await traffic.send(15.0, REQUESTS_PER_SECOND, STREAM)
            times = traffic.bounded_arrivals(target, announced_at)
            assert_kept(times, LIMIT_PER_SECOND)
            assert times

        simulate(scenario, (share, *[other_share] * 69))

    def test_a_restarted_entry_learns_it_from_its_first_answer(self) -> None:
        async def scenario(traffic: Traffic) -> None:
            await traffic.send(4.0, REQUESTS_PER_SECOND, STREAM)
            target = traffic.busiest()
            target.limit = LIMIT_PER_SECOND
            announced_at = anyio.current_time()
            await traffic.send(5.0, REQUESTS_PER_SECOND, STREAM)
            traffic.entries.restart(0)
            await traffic.send(10.0, REQUESTS_PER_SECOND, STREAM)
            # The new process sends up to three requests before it learns of
            # the limit.
            times = traffic.bounded_arrivals(target, announced_at)
            allowed = (
                BOUND_FACTOR * LIMIT_PER_SECOND * WINDOW_SECONDS + BOUND_EXTRA
            )
            assert max_within(times, WINDOW_SECONDS) <= allowed + 3

        simulate(scenario, EVEN)


class TestAllInstancesLimited:
    """All instances of a service announce limits."""

    @pytest.mark.parametrize("repeat", [STREAM, IDEMPOTENT])
    @pytest.mark.parametrize(
        "weights", [ALONE, EVEN], ids=["one_entry", "even"]
    )
    def test_limits_are_used_and_the_rest_is_refused_at_once(
        self, weights: tuple[float, ...], repeat: routes.RepeatPolicy
    ) -> None:
        async def scenario(traffic: Traffic) -> None:
            limited = [
                target
                for target in traffic.fleet.upstreams
                if _can_receive(target, repeat)
            ]
            for target in limited:
                target.limit = LIMIT_PER_SECOND
            await traffic.send(3.0, REQUESTS_PER_SECOND, repeat)
            since = anyio.current_time()
            await traffic.send(20.0, REQUESTS_PER_SECOND, repeat)
            received = 0
            for target in limited:
                times = traffic.arrivals(target, since)
                assert_kept(times, LIMIT_PER_SECOND)
                received += len(times)
            assert (
                received
                >= MIN_USED_SHARE * LIMIT_PER_SECOND * len(limited) * 20.0
            )
            outcomes = [
                outcome
                for outcome in traffic.entries.outcomes
                if outcome.sent_at >= since
            ]
            for outcome in outcomes:
                if outcome.was_served:
                    continue
                error = outcome.caller.error
                assert error is not None
                assert error.verdict is verdicts.Verdict.NOT_RUN
                # A refusal takes no longer than the longest wait.
                assert outcome.seconds <= LONGEST_WAIT_SECONDS
                assert error.retry_after is not None
                assert 0.0 < error.retry_after <= 6.0

        simulate(scenario, weights)


def _can_receive(
    target: chain_fleet.StandinUpstream, repeat: routes.RepeatPolicy
) -> bool:
    layers = target.listed.layers
    if repeat is STREAM:
        return layers is not None and layers.first == 0
    return layers is None


class TestRetriedRequests:
    """The limit holds for resumed streams and retried calls too."""

    def test_resumed_streams_keep_the_limit(self) -> None:
        async def scenario(traffic: Traffic) -> None:
            await traffic.send(3.0, REQUESTS_PER_SECOND, STREAM)
            target = traffic.busiest()
            target.limit = LIMIT_PER_SECOND
            announced_at = anyio.current_time()
            await traffic.send(4.0, REQUESTS_PER_SECOND, STREAM)
            others = [
                other
                for other in traffic.fleet.upstreams
                if _can_receive(other, STREAM) and other is not target
            ]
            # All streams of one engine have to be resumed at another.
            others[0].is_dead = True
            await traffic.send(6.0, REQUESTS_PER_SECOND, STREAM)
            times = traffic.bounded_arrivals(target, announced_at)
            assert_kept(times, LIMIT_PER_SECOND)

        simulate(scenario, EVEN)

    def test_retried_calls_keep_the_limit(self) -> None:
        async def scenario(traffic: Traffic) -> None:
            await traffic.send(3.0, REQUESTS_PER_SECOND, IDEMPOTENT)
            target = traffic.busiest()
            target.limit = LIMIT_PER_SECOND
            announced_at = anyio.current_time()
            for other in traffic.fleet.upstreams:
                if other is not target:
                    other.failed_calls = 1000
            await traffic.send(10.0, REQUESTS_PER_SECOND, IDEMPOTENT)
            times = traffic.bounded_arrivals(target, announced_at)
            assert_kept(times, LIMIT_PER_SECOND)

        simulate(scenario, EVEN)


class TestWaitingCalls:
    """More calls than instances accept.

    Calls that cannot be served are refused at once instead of waiting for a
    turn that others take.
    """

    def simulate(
        self,
        scenario: typing.Callable[
            [fleet_system.FleetSystem, list[chain.Upstream]],
            typing.Awaitable[None],
        ],
        count: int,
        objective: float = 0.5,
    ) -> None:
        async def body() -> None:
            system = fleet_system.FleetSystem(name="entry")
            route = fleet_system.make_route(
                IDEMPOTENT, objective_seconds=objective, timeout_seconds=4.0
            )
            system.install(fleet_system.make_config(config_routes=(route,)))
            upstreams = []
            for number in range(count):
                upstream = fleet_system.upstream(
                    f"records-{number}", service=fleet_system.PLAIN, card=""
                )
                system.add(upstream)
                upstreams.append(upstream)
            await scenario(system, upstreams)

        virtual.run(body)

    @pytest.mark.parametrize("seed", range(5))
    @pytest.mark.parametrize("objective", [0.5, 2.0])
    @pytest.mark.parametrize("count", [1, 2, 5])
    def test_calls_over_the_limit_are_refused_at_once(
        self, count: int, objective: float, seed: int
    ) -> None:
        rng = random.Random(seed)
        limit = 4.0
        outcomes: list[tuple[float, float, fleet_system.Caller]] = []

        async def scenario(
            system: fleet_system.FleetSystem, upstreams: list[chain.Upstream]
        ) -> None:
            for upstream in upstreams:
                system.fleet.at(upstream.address).limit = limit

            async def ask() -> None:
                began_at = anyio.current_time()
                caller = await system.ask(system.request(IDEMPOTENT))
                seconds = anyio.current_time() - began_at
                outcomes.append((began_at, seconds, caller))

            async with anyio.create_task_group() as tasks:
                while anyio.current_time() < 23.0:
                    tasks.start_soon(ask)
                    await anyio.sleep(rng.expovariate(30.0))

        self.simulate(scenario, count, objective)
        counted = [outcome for outcome in outcomes if outcome[0] >= 3.0]
        refused = [
            outcome for outcome in counted if outcome[2].error is not None
        ]
        assert refused
        assert max(seconds for _, seconds, _ in refused) < 0.01
        served = len(counted) - len(refused)
        assert served >= 0.75 * limit * count * 20.0

    def test_calls_that_wait_for_a_backoff_are_sent_after_it(self) -> None:
        async def scenario(
            system: fleet_system.FleetSystem, upstreams: list[chain.Upstream]
        ) -> None:
            callers: list[fleet_system.Caller] = []

            async def ask() -> None:
                request = system.request(IDEMPOTENT)
                callers.append(await system.ask(request))

            system.registry.back_off(upstreams[0].name, 0.2)
            async with anyio.create_task_group() as tasks:
                for _ in range(300):
                    tasks.start_soon(ask)
            assert len(callers) == 300
            assert all(caller.error is None for caller in callers)
            assert anyio.current_time() < 0.3

        self.simulate(scenario, 1)

    def test_calls_do_not_wait_without_any_instance(self) -> None:
        async def scenario(
            system: fleet_system.FleetSystem, upstreams: list[chain.Upstream]
        ) -> None:
            waiting = []

            async def ask() -> None:
                waiting.append(await system.ask(system.request(IDEMPOTENT)))

            system.registry.back_off(upstreams[0].name, 0.2)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(ask)
                await anyio.sleep(0.1)
                system.registry.on_changed((), (upstreams[0].incarnation.id,))
                began_at = anyio.current_time()
                caller = await system.ask(system.request(IDEMPOTENT))
                assert caller.error is not None
                assert anyio.current_time() == began_at

        self.simulate(scenario, 1)


class TestLearnedLimits:
    """Limits that an entry learns from answers, and when they end."""

    def simulate(
        self,
        scenario: typing.Callable[
            [fleet_system.FleetSystem, chain.Upstream],
            typing.Awaitable[None],
        ],
    ) -> None:
        async def body() -> None:
            system = fleet_system.FleetSystem()
            upstream = fleet_system.upstream("one", service=fleet_system.PLAIN)
            system.install(system.config)
            system.add(upstream).limit = 1.0
            await scenario(system, upstream)

        virtual.run(body)

    def test_a_report_without_a_limit_keeps_that_of_an_answer(self) -> None:
        async def scenario(
            system: fleet_system.FleetSystem, upstream: chain.Upstream
        ) -> None:
            await system.ask(system.request(IDEMPOTENT))
            system.fleet.at(upstream.address).limit = None
            await system.client.report(upstream)
            assert system.context.limits.per_second(upstream) <= 1.0

        self.simulate(scenario)

    def test_an_instance_that_ended_has_no_limit(self) -> None:
        async def scenario(
            system: fleet_system.FleetSystem, upstream: chain.Upstream
        ) -> None:
            await system.ask(system.request(IDEMPOTENT))
            assert system.context.limits.per_second(upstream) <= 1.0
            system.registry.on_changed((), (upstream.incarnation.id,))
            assert system.context.limits.per_second(upstream) == float("inf")

        self.simulate(scenario)


class _Usage:
    """A settable number of requests in progress."""

    def __init__(self) -> None:
        self.count = 0

    def own_requests(self, upstream: chain.Upstream) -> int:
        return self.count


class TestRateLimits:
    """One entry's shares of limits."""

    def simulate(
        self,
        scenario: typing.Callable[
            [rate_limits.RateLimits, _Usage, chain.Upstream],
            typing.Awaitable[None],
        ],
        entries: int = 1,
    ) -> None:
        async def body() -> None:
            usage = _Usage()
            limits = rate_limits.RateLimits(usage, random.Random(3))
            limits.set_entry_count(entries)
            await scenario(limits, usage, fleet_system.upstream("one"))

        virtual.run(body)

    async def count(
        self,
        limits: rate_limits.RateLimits,
        upstream: chain.Upstream,
        seconds: float,
        step_seconds: float = 0.05,
    ) -> int:
        """Send a request at each step if allowed, and count them."""
        sent = 0
        for _ in range(int(seconds / step_seconds)):
            await anyio.sleep(step_seconds)
            if limits.allows(upstream):
                limits.take(upstream)
                sent += 1
        return sent

    def test_entries_of_unknown_number_keep_a_limit_together(self) -> None:
        # An entry that cannot read the store must not use the whole limit.
        async def body() -> None:
            all_limits = []
            for number in range(5):
                limits = rate_limits.RateLimits(
                    _Usage(), random.Random(number)
                )
                limits.set_entry_count(0)
                limits.note_limit(fleet_system.upstream("one"), 10.0, None)
                all_limits.append(limits)
            sent = 0
            for entry_limits in all_limits:
                sent += await self.count(
                    entry_limits, fleet_system.upstream("one"), 8
                )
            assert 0 < sent <= 10.0 * 8

        virtual.run(body)

    def test_no_limit_allows_everything(self) -> None:
        async def scenario(
            limits: rate_limits.RateLimits, _: _Usage, upstream: chain.Upstream
        ) -> None:
            assert await self.count(limits, upstream, 5.0) == 100
            assert limits.seconds_until_allowed(upstream) == 0.0

        self.simulate(scenario)

    @pytest.mark.parametrize("entries", [1, 4, 70])
    def test_shares_are_even_without_reported_load(self, entries: int) -> None:
        async def scenario(
            limits: rate_limits.RateLimits, _: _Usage, upstream: chain.Upstream
        ) -> None:
            limits.note_limit(upstream, 10.0, None)
            sent = await self.count(limits, upstream, 200.0)
            expected = 200.0 * 10.0 * rate_limits.USED_SHARE / entries
            assert abs(sent - expected) <= 5

        self.simulate(scenario, entries)

    def test_share_follows_own_requests(self) -> None:
        async def scenario(
            limits: rate_limits.RateLimits,
            usage: _Usage,
            upstream: chain.Upstream,
        ) -> None:
            usage.count = 18
            limits.note_limit(upstream, 10.0, 20)
            for _ in range(40):
                await anyio.sleep(0.25)
                limits.allows(upstream)
                limits.note_limit(upstream, 10.0, 20)
            sent = await self.count(limits, upstream, 2.0)
            assert sent >= 0.8 * 10.0 * rate_limits.USED_SHARE * 2.0

        self.simulate(scenario, entries=4)

    def test_an_idle_entry_accumulates_little(self) -> None:
        async def scenario(
            limits: rate_limits.RateLimits, _: _Usage, upstream: chain.Upstream
        ) -> None:
            limits.note_limit(upstream, 2.0, None)
            await self.count(limits, upstream, 10.0)
            await anyio.sleep(3600.0)
            sent = await self.count(limits, upstream, 4.0)
            assert sent <= BOUND_FACTOR * 2.0 * WINDOW_SECONDS + BOUND_EXTRA

        self.simulate(scenario)

    def test_bursts_are_bounded(self) -> None:
        async def scenario(
            limits: rate_limits.RateLimits, _: _Usage, upstream: chain.Upstream
        ) -> None:
            limits.note_limit(upstream, 10.0, None)
            await anyio.sleep(3600.0)
            sent = await self.count(limits, upstream, 0.01, 0.0005)
            burst = (
                10.0 * rate_limits.BURST_SECONDS
                + rate_limits.BURST_EXTRA_REQUESTS
            )
            assert sent <= burst

        self.simulate(scenario)

    def test_one_of_many_entries_accumulates_less_than_a_request(self) -> None:
        async def scenario(
            limits: rate_limits.RateLimits, _: _Usage, upstream: chain.Upstream
        ) -> None:
            limits.note_limit(upstream, 2.0, None)
            while not limits.allows(upstream):
                await anyio.sleep(1.0)
            limits.take(upstream)
            await anyio.sleep(3600.0)
            assert not limits.allows(upstream)

        self.simulate(scenario, entries=70)

    def test_a_limit_of_zero_is_probed(self) -> None:
        async def scenario(
            limits: rate_limits.RateLimits, _: _Usage, upstream: chain.Upstream
        ) -> None:
            limits.note_limit(upstream, 0.0, None)
            sent = await self.count(limits, upstream, 40.0)
            assert 5 <= sent <= 15

        self.simulate(scenario)

    def test_a_report_without_a_limit_lifts_that_of_a_report(self) -> None:
        async def scenario(
            limits: rate_limits.RateLimits, _: _Usage, upstream: chain.Upstream
        ) -> None:
            limits.note_limit(upstream, 1.0, None)
            limits.note_limit(upstream, None, None, in_report=True)
            assert limits.per_second(upstream) < 1.0
            limits.note_limit(upstream, 1.0, None, in_report=True)
            limits.note_limit(upstream, None, None, in_report=True)
            assert limits.per_second(upstream) == float("inf")

        self.simulate(scenario)

    def test_an_answer_without_a_limit_lifts_it(self) -> None:
        async def scenario(
            limits: rate_limits.RateLimits, _: _Usage, upstream: chain.Upstream
        ) -> None:
            limits.note_limit(upstream, 1.0, None)
            limits.note_limit(upstream, None, None)
            assert limits.allows(upstream)

        self.simulate(scenario)

    def test_drops_the_limit_of_an_ended_instance(self) -> None:
        async def scenario(
            limits: rate_limits.RateLimits, _: _Usage, upstream: chain.Upstream
        ) -> None:
            limits.note_limit(upstream, 1.0, None)
            limits.forget(upstream)
            assert limits.per_second(upstream) == float("inf")

        self.simulate(scenario)
