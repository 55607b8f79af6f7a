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

The cause: what an answer's head says of how much its engine can bear went on
to the caller like any other header, and no choice of an engine knew of it.
The evidence: requests by entry and second were the same before and after the
limit was named, all of them first attempts, and no log line told of it.
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
# What an instance may get in any four seconds from three seconds after it
# first named its limit.
GRACE_SECONDS = 3.0
TOLD_SECONDS = 0.5
WINDOW_SECONDS = 4.0
BOUND_FACTOR = 1.5
BOUND_EXTRA = 5
# An instance is to get about what it takes; what is left is for what
# entries do not know of one another.
USED_LEAST = 0.7
PER_SECOND = 30.0
LIMIT = 3.2
# New streams wait for room for so long at the most, calls shorter.
LONGEST_WAIT = paths.QUEUE_WAIT_SECONDS + 0.1
# A stream takes two seconds, as usual.
EVENTS = 100


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
        self, seconds: float, per_second: float, repeat: routes.RepeatPolicy
    ) -> None:
        """Send requests for a while."""
        until = anyio.current_time() + seconds
        numbers = range(len(self._weights))
        while anyio.current_time() < until:
            (number,) = self._chance.choices(numbers, self._weights)
            self._sent += 1
            body = b"one-%d" % self._sent
            self.entries.start_request(number, repeat, body)
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

    def counted(
        self, target: chain_fleet.StandinUpstream, named_at: float
    ) -> list[float]:
        """Return the arrivals that a limit named then is to bound.

        Those of entries that had an answer with it half a second before.
        """
        told: dict[str, float] = {}
        found = []
        for run in self.fleet.runs:
            if run.upstream != target.listed.name or run.at < named_at:
                continue
            entry = run.request.rpartition("r")[0]
            told_at = told.setdefault(entry, run.at)
            since = max(named_at + GRACE_SECONDS, told_at + TOLD_SECONDS)
            if run.at >= since:
                found.append(run.at)
        return found

    @property
    def refused(self) -> list[entries_system.Outcome]:
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
        entries.fleet.events = EVENTS
        await anyio.sleep(2.0)
        await work(Play(entries, weights))

    entries_system.play(body, count=len(weights), copies=copies, parts=4)


EVEN = (1.0, 1.0, 1.0, 1.0)
UNEVEN = (0.9, 0.04, 0.03, 0.03)
ALONE = (1.0,)


@pytest.mark.parametrize("weights", [ALONE, EVEN, UNEVEN])
class TestOneInstance:
    """One instance of several names a limit."""

    @pytest.mark.parametrize("repeat", [STREAM, IDEMPOTENT])
    def test_gets_what_it_takes_from_all_entries(
        self, weights: tuple[float, ...], repeat: routes.RepeatPolicy
    ) -> None:
        async def work(one: Play) -> None:
            await one.send(4.0, PER_SECOND, repeat)
            target = one.busiest()
            target.limit = LIMIT
            named_at = anyio.current_time()
            await one.send(20.0, PER_SECOND, repeat)
            times = one.counted(target, named_at)
            assert_kept(times, LIMIT)
            assert len(times) >= USED_LEAST * LIMIT * 17.0
            assert not one.refused

        play(work, weights)

    @pytest.mark.parametrize("repeat", [STREAM, IDEMPOTENT])
    def test_gets_its_part_again_once_it_names_no_limit(
        self, weights: tuple[float, ...], repeat: routes.RepeatPolicy
    ) -> None:
        async def work(one: Play) -> None:
            await one.send(4.0, PER_SECOND, repeat)
            target = one.busiest()
            before = len(one.arrivals(target, anyio.current_time() - 3.0))
            target.limit = LIMIT
            await one.send(8.0, PER_SECOND, repeat)
            target.limit = None
            await one.send(4.0, PER_SECOND, repeat)
            since = anyio.current_time()
            await one.send(3.0, PER_SECOND, repeat)
            assert len(one.arrivals(target, since)) >= before / 2
            assert not one.refused

        play(work, weights)


class TestManyEntries:
    """Entries that know of one another only how many they are."""

    @pytest.mark.parametrize("share", [1.0 / 70, 0.9])
    def test_seventy_keep_a_limit_together(self, share: float) -> None:
        rest = (1.0 - share) / 69

        async def work(one: Play) -> None:
            await one.send(3.0, PER_SECOND, STREAM)
            target = one.busiest()
            target.limit = LIMIT
            named_at = anyio.current_time()
            await one.send(15.0, PER_SECOND, STREAM)
            times = one.counted(target, named_at)
            assert_kept(times, LIMIT)
            assert times

        play(work, (share, *[rest] * 69))

    def test_one_that_starts_anew_learns_it_with_its_first_answer(
        self,
    ) -> None:
        async def work(one: Play) -> None:
            await one.send(4.0, PER_SECOND, STREAM)
            target = one.busiest()
            target.limit = LIMIT
            named_at = anyio.current_time()
            await one.send(5.0, PER_SECOND, STREAM)
            one.entries.stop(0)
            await one.send(10.0, PER_SECOND, STREAM)
            # It knew nothing for a moment, and those are its to send.
            times = one.counted(target, named_at)
            allowed = BOUND_FACTOR * LIMIT * WINDOW_SECONDS + BOUND_EXTRA
            assert most_within(times, WINDOW_SECONDS) <= allowed + 3

        play(work, EVEN)


class TestWholeService:
    """All instances of a service name limits."""

    @pytest.mark.parametrize("repeat", [STREAM, IDEMPOTENT])
    @pytest.mark.parametrize("weights", [ALONE, EVEN])
    def test_what_they_take_is_served_and_the_rest_told_at_once(
        self, weights: tuple[float, ...], repeat: routes.RepeatPolicy
    ) -> None:
        async def work(one: Play) -> None:
            takers = [
                target
                for target in one.fleet.upstreams
                if _may_begin(target, repeat)
            ]
            for target in takers:
                target.limit = LIMIT
            await one.send(3.0, PER_SECOND, repeat)
            since = anyio.current_time()
            await one.send(20.0, PER_SECOND, repeat)
            taken = 0
            for target in takers:
                times = one.arrivals(target, since)
                assert_kept(times, LIMIT)
                taken += len(times)
            assert taken >= USED_LEAST * LIMIT * len(takers) * 20.0
            told = [it for it in one.entries.told if it.sent_at >= since]
            for it in told:
                if it.was_served:
                    continue
                error = it.caller.error
                assert error is not None
                assert error.verdict is verdicts.Verdict.NOT_RUN
                # Held no longer than those that were served in time.
                assert it.seconds <= LONGEST_WAIT
                assert error.retry_after is not None
                assert 0.0 < error.retry_after <= 6.0

        play(work, weights)


def _may_begin(
    target: chain_fleet.StandinUpstream, repeat: routes.RepeatPolicy
) -> bool:
    layers = target.listed.layers
    if repeat is STREAM:
        return layers is not None and layers.first == 0
    return layers is None


class TestEveryWay:
    """Whatever an entry sends a request for, the limit holds."""

    def test_streams_that_go_on_elsewhere(self) -> None:
        async def work(one: Play) -> None:
            await one.send(3.0, PER_SECOND, STREAM)
            target = one.busiest()
            target.limit = LIMIT
            named_at = anyio.current_time()
            await one.send(4.0, PER_SECOND, STREAM)
            others = [
                it
                for it in one.fleet.upstreams
                if _may_begin(it, STREAM) and it is not target
            ]
            # All streams of one engine have to go on at another.
            others[0].is_dead = True
            await one.send(6.0, PER_SECOND, STREAM)
            times = one.counted(target, named_at)
            assert_kept(times, LIMIT)

        play(work, EVEN)

    def test_calls_that_are_tried_again(self) -> None:
        async def work(one: Play) -> None:
            await one.send(3.0, PER_SECOND, IDEMPOTENT)
            target = one.busiest()
            target.limit = LIMIT
            named_at = anyio.current_time()
            for it in one.fleet.upstreams:
                if it is not target:
                    it.failed_calls = 1000
            await one.send(10.0, PER_SECOND, IDEMPOTENT)
            times = one.counted(target, named_at)
            assert_kept(times, LIMIT)

        play(work, EVEN)


class TestCallsInLine:
    """More calls than instances take: who waits, and who is told at once.

    What was seen: at a limit of 4 a second, 30 asked by one entry, half of
    those that were refused had waited 0.86 s first. Each knew when the next
    call is taken, and took itself for that one: all that waited woke
    together, one was sent, and the others had waited in vain.
    """

    def play(
        self,
        work: typing.Callable[
            [fleet_system.FleetSystem, list[chain.Upstream]],
            typing.Awaitable[None],
        ],
        count: int,
        objective: float = 0.5,
    ) -> None:
        async def body() -> None:
            system = fleet_system.FleetSystem(name="entry")
            route = fleet_system.make_route(
                IDEMPOTENT, objective=objective, timeout=4.0
            )
            system.install(fleet_system.make_config(listed=(route,)))
            found = []
            for number in range(count):
                one = fleet_system.upstream(
                    f"records-{number}", service=fleet_system.PLAIN, card=""
                )
                system.add(one)
                found.append(one)
            await work(system, found)

        virtual.run(body)

    @pytest.mark.parametrize("seed", range(5))
    @pytest.mark.parametrize("objective", [0.5, 2.0])
    @pytest.mark.parametrize("count", [1, 2, 5])
    def test_who_is_refused_is_so_at_once(
        self, count: int, objective: float, seed: int
    ) -> None:
        rng = random.Random(seed)
        limit = 4.0
        told: list[tuple[float, float, fleet_system.Caller]] = []

        async def work(
            system: fleet_system.FleetSystem, found: list[chain.Upstream]
        ) -> None:
            for one in found:
                system.fleet.at(one.address).limit = limit

            async def ask() -> None:
                began = anyio.current_time()
                caller = await system.ask(system.request(IDEMPOTENT))
                took = anyio.current_time() - began
                told.append((began, took, caller))

            async with anyio.create_task_group() as tasks:
                while anyio.current_time() < 23.0:
                    tasks.start_soon(ask)
                    await anyio.sleep(rng.expovariate(30.0))

        self.play(work, count, objective)
        late = [one for one in told if one[0] >= 3.0]
        refused = [one for one in late if one[2].error is not None]
        assert refused
        assert max(took for _, took, _ in refused) < 0.01
        served = len(late) - len(refused)
        # Three quarters of what the limits allow are to be served.
        assert served >= 0.75 * limit * count * 20.0

    def test_all_that_wait_for_a_rest_go_when_it_is_over(self) -> None:
        async def work(
            system: fleet_system.FleetSystem, found: list[chain.Upstream]
        ) -> None:
            callers: list[fleet_system.Caller] = []

            async def ask() -> None:
                request = system.request(IDEMPOTENT)
                callers.append(await system.ask(request))

            system.registry.back_off(found[0].name, 0.2)
            async with anyio.create_task_group() as tasks:
                for _ in range(300):
                    tasks.start_soon(ask)
            assert len(callers) == 300
            assert all(one.error is None for one in callers)
            assert anyio.current_time() < 0.3

        self.play(work, 1)

    def test_without_any_instance_nothing_is_waited_for(self) -> None:
        async def work(
            system: fleet_system.FleetSystem, found: list[chain.Upstream]
        ) -> None:
            waiting = []

            async def ask() -> None:
                waiting.append(await system.ask(system.request(IDEMPOTENT)))

            system.registry.back_off(found[0].name, 0.2)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(ask)
                await anyio.sleep(0.1)
                system.registry.on_changed((), (found[0].incarnation.id,))
                began = anyio.current_time()
                caller = await system.ask(system.request(IDEMPOTENT))
                assert caller.error is not None
                assert anyio.current_time() == began

        self.play(work, 1)


class TestContext:
    """What an entry takes from answers, and forgets."""

    def play(
        self,
        work: typing.Callable[
            [fleet_system.FleetSystem, chain.Upstream],
            typing.Awaitable[None],
        ],
    ) -> None:
        async def body() -> None:
            system = fleet_system.FleetSystem()
            one = fleet_system.upstream("one", service=fleet_system.PLAIN)
            system.install(system.config)
            system.add(one).limit = 1.0
            await work(system, one)

        virtual.run(body)

    def test_a_report_may_tell_nothing_of_a_limit(self) -> None:
        async def work(
            system: fleet_system.FleetSystem, one: chain.Upstream
        ) -> None:
            await system.ask(system.request(IDEMPOTENT))
            system.fleet.at(one.address).limit = None
            await system.client.report(one)
            assert system.context.limits.per_second(one) <= 1.0

        self.play(work)

    def test_an_instance_that_ended_has_no_limit(self) -> None:
        async def work(
            system: fleet_system.FleetSystem, one: chain.Upstream
        ) -> None:
            await system.ask(system.request(IDEMPOTENT))
            assert system.context.limits.per_second(one) <= 1.0
            system.registry.on_changed((), (one.incarnation.id,))
            assert system.context.limits.per_second(one) == float("inf")

        self.play(work)


class _Usage:
    """Requests under way, as a test sets them."""

    def __init__(self) -> None:
        self.count = 0

    def own_requests(self, upstream: chain.Upstream) -> int:
        return self.count


class TestRateLimits:
    """One entry's parts, by themselves."""

    def play(
        self,
        work: typing.Callable[
            [rate_limits.RateLimits, _Usage, chain.Upstream],
            typing.Awaitable[None],
        ],
        entries: int = 1,
    ) -> None:
        async def body() -> None:
            usage = _Usage()
            limits = rate_limits.RateLimits(usage, random.Random(3))
            limits.set_entry_count(entries)
            await work(limits, usage, fleet_system.upstream("one"))

        virtual.run(body)

    async def count(
        self,
        limits: rate_limits.RateLimits,
        upstream: chain.Upstream,
        seconds: float,
        step: float = 0.05,
    ) -> int:
        sent = 0
        for _ in range(int(seconds / step)):
            await anyio.sleep(step)
            if limits.allows(upstream):
                limits.take(upstream)
                sent += 1
        return sent

    def test_entries_that_know_of_no_other_keep_it_together(self) -> None:
        # Entries that started while the store was silent each took the
        # whole of what all may send, as each does of the retry budget.
        async def body() -> None:
            entries = []
            for number in range(5):
                limits = rate_limits.RateLimits(
                    _Usage(), random.Random(number)
                )
                limits.set_entry_count(0)
                limits.note(fleet_system.upstream("one"), 10.0, None)
                entries.append(limits)
            sent = 0
            for one in entries:
                sent += await self.count(one, fleet_system.upstream("one"), 8)
            assert 0 < sent <= 10.0 * 8

        virtual.run(body)

    def test_no_limit_allows_everything(self) -> None:
        async def work(
            limits: rate_limits.RateLimits, _: _Usage, one: chain.Upstream
        ) -> None:
            assert await self.count(limits, one, 5.0) == 100
            assert limits.seconds_until_allowed(one) == 0.0

        self.play(work)

    @pytest.mark.parametrize("entries", [1, 4, 70])
    def test_an_even_part_where_no_load_is_told(self, entries: int) -> None:
        async def work(
            limits: rate_limits.RateLimits, _: _Usage, one: chain.Upstream
        ) -> None:
            limits.note(one, 10.0, None)
            sent = await self.count(limits, one, 200.0)
            expected = 200.0 * 10.0 * rate_limits.USED_SHARE / entries
            assert abs(sent - expected) <= 5

        self.play(work, entries)

    def test_the_part_that_own_requests_are_of_all(self) -> None:
        async def work(
            limits: rate_limits.RateLimits, usage: _Usage, one: chain.Upstream
        ) -> None:
            usage.count = 18
            limits.note(one, 10.0, 20)
            for _ in range(40):
                await anyio.sleep(0.25)
                limits.allows(one)
                limits.note(one, 10.0, 20)
            sent = await self.count(limits, one, 2.0)
            assert sent >= 0.8 * 10.0 * rate_limits.USED_SHARE * 2.0

        self.play(work, entries=4)

    def test_one_that_sent_nothing_for_long_catches_up_on_little(
        self,
    ) -> None:
        async def work(
            limits: rate_limits.RateLimits, _: _Usage, one: chain.Upstream
        ) -> None:
            limits.note(one, 2.0, None)
            await self.count(limits, one, 10.0)
            await anyio.sleep(3600.0)
            sent = await self.count(limits, one, 4.0)
            assert sent <= BOUND_FACTOR * 2.0 * WINDOW_SECONDS + BOUND_EXTRA

        self.play(work)

    def test_at_one_moment_it_sends_little(self) -> None:
        async def work(
            limits: rate_limits.RateLimits, _: _Usage, one: chain.Upstream
        ) -> None:
            limits.note(one, 10.0, None)
            await anyio.sleep(3600.0)
            sent = await self.count(limits, one, 0.01, 0.0005)
            burst = 10.0 * rate_limits.BURST_SECONDS + rate_limits.BURST_EXTRA
            assert sent <= burst

        self.play(work)

    def test_one_of_many_does_not_gather_for_long(self) -> None:
        async def work(
            limits: rate_limits.RateLimits, _: _Usage, one: chain.Upstream
        ) -> None:
            limits.note(one, 2.0, None)
            while not limits.allows(one):
                await anyio.sleep(1.0)
            limits.take(one)
            await anyio.sleep(3600.0)
            assert not limits.allows(one)

        self.play(work, entries=70)

    def test_a_limit_of_nothing_is_looked_at_again(self) -> None:
        async def work(
            limits: rate_limits.RateLimits, _: _Usage, one: chain.Upstream
        ) -> None:
            limits.note(one, 0.0, None)
            sent = await self.count(limits, one, 40.0)
            assert 5 <= sent <= 15

        self.play(work)

    def test_a_report_without_a_limit_lifts_what_a_report_named(
        self,
    ) -> None:
        async def work(
            limits: rate_limits.RateLimits, _: _Usage, one: chain.Upstream
        ) -> None:
            limits.note(one, 1.0, None)
            limits.note(one, None, None, in_report=True)
            assert limits.per_second(one) < 1.0
            limits.note(one, 1.0, None, in_report=True)
            limits.note(one, None, None, in_report=True)
            assert limits.per_second(one) == float("inf")

        self.play(work)

    def test_an_answer_without_a_limit_lifts_it(self) -> None:
        async def work(
            limits: rate_limits.RateLimits, _: _Usage, one: chain.Upstream
        ) -> None:
            limits.note(one, 1.0, None)
            limits.note(one, None, None)
            assert limits.allows(one)

        self.play(work)

    def test_forgets_an_instance_that_ended(self) -> None:
        async def work(
            limits: rate_limits.RateLimits, _: _Usage, one: chain.Upstream
        ) -> None:
            limits.note(one, 1.0, None)
            limits.forget(one)
            assert limits.per_second(one) == float("inf")

        self.play(work)
