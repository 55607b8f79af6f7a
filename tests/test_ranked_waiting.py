# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0
"""Requests of different urgency that wait for capacity."""

import collections
import contextlib
import random
import typing

import anyio
import attrs

from crowdeck.observe import counters
from crowdeck.relay import ranked_waiting
from crowdeck.relay import request as requests
from crowdeck.relay import retry_advice
from crowdeck.relay import waiting
from crowdeck import route as routes
from crowdeck.routing import fleet_load as fleet_loads
from crowdeck.routing import stream_admission
from crowdeck.routing import team_usage
from crowdeck.routing import waiting_order
from crowdeck import urgency as urgencies
from tests import fleet_system
from tests import virtual

STREAM = routes.RepeatPolicy.STREAM
MODEL = fleet_system.MODEL
OBJECTIVES = (0.5, 0.5, 1.0)
# So large that the fleet serves eight at once, for a second each.
TOKENS = requests.TokenCounts(30_000, 400, 100)
# More than the fleet serves while any of them may wait.
BURST = 24


@attrs.define
class Asked:
    """Callers of one kind, and how long each waited for its answer."""

    callers: list[fleet_system.Caller] = attrs.field(factory=list)
    seconds: list[float] = attrs.field(factory=list)

    @property
    def served_seconds(self) -> list[float]:
        pairs = zip(self.callers, self.seconds, strict=True)
        return [took for caller, took in pairs if caller.is_complete]

    @property
    def refused_seconds(self) -> list[float]:
        pairs = zip(self.callers, self.seconds, strict=True)
        return [took for caller, took in pairs if caller.error is not None]


class Play:
    """Callers of one entry with ranked routes, by rank and team."""

    def __init__(self, system: fleet_system.FleetSystem) -> None:
        self.system = system
        self.by_kind: dict[tuple[int, str], Asked] = collections.defaultdict(
            Asked
        )

    async def ask(self, rank: int, team: str = "small") -> None:
        request = self.system.request(
            STREAM, path=f"/{rank}/x", key=team, token_counts=TOKENS
        )
        arrived = anyio.current_time()
        caller = await self.system.ask(request)
        began = caller.times[0] if caller.times else anyio.current_time()
        asked = self.by_kind[rank, team]
        asked.callers.append(caller)
        asked.seconds.append(began - arrived)


def run_play(
    work: typing.Callable[[Play], typing.Awaitable[None]],
) -> None:
    async def body() -> None:
        system = fleet_system.FleetSystem()
        system.fleet.event_seconds = 0.05
        config = fleet_system.make_config(
            config_routes=tuple(
                fleet_system.make_route(
                    STREAM,
                    prefix=f"/{rank}/",
                    priority=rank,
                    objective_seconds=objective_seconds,
                )
                for rank, objective_seconds in enumerate(OBJECTIVES)
            )
        )
        teams = tuple(
            routes.TeamKeys(name, frozenset({name}))
            for name in ("first", "small", "large")
        )
        system.install(attrs.evolve(config, teams=teams))
        system.add_model(copies=1)
        play = Play(system)

        async def run(_: fleet_system.FleetSystem) -> None:
            await work(play)

        await fleet_system.run_with(system, run)

    virtual.run(body)


async def ask_in_turn(
    play: Play, tasks: typing.Any, kinds: typing.Iterable[tuple[int, str]]
) -> None:
    """Send a request of each kind, forty a second."""
    for rank, team in kinds:
        tasks.start_soon(play.ask, rank, team)
        await anyio.sleep(0.025)


async def fill(play: Play, tasks: typing.Any) -> None:
    """Use all capacity, so that from then on eight streams end a second."""
    for _ in range(8):
        tasks.start_soon(play.ask, 2, "first")
        await anyio.sleep(0.125)


@attrs.frozen
class StandinLoad:
    """Load that other entries tell, true or not."""

    others: fleet_loads.EntryLoad
    is_current: bool = True


class BoundedAdmission:
    """Leaves no room to any but the most urgent."""

    def limits(
        self, service: str, urgency: urgencies.Urgency, objective: float
    ) -> stream_admission.PathLimits:
        share = 0.0 if urgency.rank else 1.0
        return stream_admission.PathLimits(max_cache_utilization=share)


def load_of(waiting_count: int, *, is_current: bool = True) -> StandinLoad:
    """Return the load of ten entries at which urgent requests wait."""
    return StandinLoad(
        fleet_loads.EntryLoad(10, waiting={(MODEL, 0): waiting_count}),
        is_current,
    )


class TestBurst:
    """A fleet with little room, and more requests than it serves."""

    def test_most_urgent_are_served_after_a_burst_of_least_urgent(
        self,
    ) -> None:
        async def work(play: Play) -> None:
            async with anyio.create_task_group() as tasks:
                await fill(play, tasks)
                await ask_in_turn(play, tasks, [(2, "small")] * 3 * BURST)
                kinds = [(2, "small")] * 6 + [(0, "small")]
                await ask_in_turn(play, tasks, kinds * 8)
            urgent, others = play.by_kind[0, "small"], play.by_kind[2, "small"]
            assert not urgent.refused_seconds
            assert max(urgent.served_seconds) <= OBJECTIVES[0]
            assert len(others.served_seconds) > 8
            early = ranked_waiting.POLL_SECONDS + 0.25 * OBJECTIVES[2]
            in_time = [
                took for took in others.refused_seconds if took <= early
            ]
            assert len(in_time) > 0.7 * len(others.refused_seconds)
            for caller in others.callers:
                if caller.error is not None:
                    delay = caller.error.retry_after
                    assert delay and delay <= retry_advice.MAX_DELAY_SECONDS
                    assert caller.error.verdict.is_retry_safe

        run_play(work)

    def test_least_urgent_keep_a_share_beside_the_most_urgent(self) -> None:
        async def work(play: Play) -> None:
            kinds = [(0, "small"), (0, "small"), (2, "small")] * BURST * 3
            async with anyio.create_task_group() as tasks:
                await fill(play, tasks)
                await ask_in_turn(play, tasks, kinds)
            urgent = len(play.by_kind[0, "small"].served_seconds)
            others = len(play.by_kind[2, "small"].served_seconds)
            share = others / (urgent + others)
            assert 0.15 < share < 0.4

        run_play(work)

    def test_small_team_is_served_beside_a_large_one(self) -> None:
        async def work(play: Play) -> None:
            kinds = [(0, "large")] * 15 + [(0, "small")]
            async with anyio.create_task_group() as tasks:
                await fill(play, tasks)
                await ask_in_turn(play, tasks, kinds * 12)
            small, large = play.by_kind[0, "small"], play.by_kind[0, "large"]
            small_rate = len(small.served_seconds) / len(small.callers)
            large_rate = len(large.served_seconds) / len(large.callers)
            assert small_rate > 0.7
            assert 0.1 < large_rate < small_rate

        run_play(work)


class TestFailures:
    """What goes wrong while requests wait."""

    def test_first_leaves_and_the_others_are_served(self) -> None:
        async def work(play: Play) -> None:
            async with anyio.create_task_group() as tasks:
                await ask_in_turn(play, tasks, [(2, "small")] * 10)
                queue = play.system.context.ranked_queue(MODEL)
                async with anyio.create_task_group() as leaving:
                    leaving.start_soon(play.ask, 0, "small")
                    await anyio.sleep(0.1)
                    assert play.system.context.waiting_by_rank() == {
                        (MODEL, 0): 1,
                        (MODEL, 2): 2,
                    }
                    leaving.cancel_scope.cancel()
                assert len(queue) == 2
            assert len(play.by_kind[2, "small"].served_seconds) >= 8
            assert len(queue) == 0
            assert queue.teams.used("small", anyio.current_time()) < 10

        run_play(work)

    def test_engine_is_lost_while_many_wait(self) -> None:
        async def work(play: Play) -> None:
            kinds = [(0, "small"), (2, "small")] * 3 * BURST
            async with anyio.create_task_group() as tasks:
                await fill(play, tasks)
                await ask_in_turn(play, tasks, kinds[:BURST])
                play.system.fleet.upstreams[1].is_dead = True
                await ask_in_turn(play, tasks, kinds[BURST:])
            assert not len(play.system.context.ranked_queue(MODEL))
            urgent, others = play.by_kind[0, "small"], play.by_kind[2, "small"]
            assert len(urgent.served_seconds) >= len(others.served_seconds) > 2
            for caller in [*urgent.callers, *others.callers]:
                assert caller.is_complete or caller.error is not None

        run_play(work)

    def test_bounded_rank_does_not_block_the_more_urgent(self) -> None:
        async def work(play: Play) -> None:
            play.system.context.admission = BoundedAdmission()
            order = play.system.context.ranked_queue(MODEL).order
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(play.ask, 2)
                await anyio.sleep(0.01)
                assert order.overdue_rank([0, 2]) is None
                await ask_in_turn(play, tasks, [(0, "small")] * 5)
                assert order.overdue_rank([0, 2]) == 2
            assert len(play.by_kind[2, "small"].refused_seconds) == 1
            assert max(play.by_kind[0, "small"].served_seconds) < 0.1

        run_play(work)

    def test_outdated_load_holds_nobody_back(self) -> None:
        async def work(play: Play) -> None:
            play.system.context.fleet_load = load_of(10, is_current=False)
            await play.ask(2)
            assert play.by_kind[2, "small"].served_seconds[0] < 0.1

        run_play(work)

    def test_wrong_load_leaves_the_guaranteed_share(self) -> None:
        # Nothing but the load that others tell is short of capacity here.
        async def work(play: Play) -> None:
            play.system.context.fleet_load = load_of(10**9)
            yielded = counters.COUNTERS.get("relay.rank.2.yielded")
            async with anyio.create_task_group() as tasks:
                for _ in range(8):
                    tasks.start_soon(play.ask, 2)
                    await anyio.sleep(0.3)
            seconds = play.by_kind[2, "small"].served_seconds
            assert len(seconds) == 8
            assert sum(took < 0.1 for took in seconds) == 2
            counted = counters.COUNTERS.get("relay.rank.2.yielded")
            assert counted - yielded == 6

        run_play(work)


class TestRankedQueue:
    """Who joins a queue, and who loses a place."""

    def test_full_queue_displaces_the_least_urgent(self) -> None:
        async def body() -> None:
            queue = ranked_waiting.RankedQueue(lambda count: 0.0)
            places: list[ranked_waiting.Place] = []
            with waiting_places(queue, places):
                newcomer = waiting_order.Claim(1, "b", 1.0)
                assert not queue.make_room(attrs.evolve(newcomer, rank=2))
                assert queue.make_room(newcomer)
            displaced = [place.claim for place in places if place.is_displaced]
            assert displaced == [waiting_order.Claim(2, "a", 0.99)]

        virtual.run(body)


def waiting_places(
    queue: ranked_waiting.RankedQueue, places: list[ranked_waiting.Place]
) -> contextlib.ExitStack:
    """Fill a queue with requests of the least urgent rank."""
    stack = contextlib.ExitStack()
    for number in range(waiting.MAX_WAITING):
        claim = waiting_order.Claim(2, "a", number / 100.0)
        places.append(stack.enter_context(queue.join(claim, 5.0, 0.0)))
    return stack


class TestWaitingOrder:
    """Decisions without a queue."""

    def test_team_that_used_least_comes_first_within_a_rank(self) -> None:
        teams = team_usage.TeamUsage()
        order = waiting_order.WaitingOrder(teams)
        teams.note_granted("r1", "large", 0.0)
        large = waiting_order.Claim(1, "large", 1.0)
        small = waiting_order.Claim(1, "small", 2.0)
        urgent = waiting_order.Claim(0, "large", 3.0)
        claims = [large, small, urgent]
        claims.sort(key=lambda claim: order.key(claim, 3.0))
        assert claims == [urgent, small, large]
        teams.note_ended("r1")
        assert teams.used("large", 60.0) < 1e-6

    def test_share_that_yields_follows_what_waits(self) -> None:
        for count, yields in ((0, 0), (1, 10), (5, 50), (10**9, 75)):
            order = waiting_order.WaitingOrder(team_usage.TeamUsage())
            elsewhere = waiting_order.waiting_elsewhere(
                load_of(count), MODEL, 2, waiting.MAX_WAITING
            )
            decisions = [order.must_yield(2, elsewhere) for _ in range(100)]
            assert abs(sum(decisions) - yields) <= 1


class TestRetryAdvice:
    """When the refused return."""

    def test_more_urgent_return_first(self) -> None:
        async def body() -> None:
            advisor = retry_advice.RetryAdvisor(random.Random(1))
            for _ in range(20):
                advisor.note_end()
            delays = {
                rank: [
                    advisor.record_ranked_refusal(MODEL, rank, 2 * rank, 20.0)
                    for _ in range(10)
                ]
                for rank in range(3)
            }
            assert max(delays[0]) < min(delays[1])
            assert max(delays[1]) < min(delays[2])
            assert len(set(delays[2])) == 10
            short = advisor.record_ranked_refusal(MODEL, 2, 100, 1.0)
            assert short < 1.0 / 3.0

        virtual.run(body)
