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

from crowdeck.cmd import fleet_process
from crowdeck import errors
from crowdeck.observe import counters
from crowdeck.relay import ranked_waiting
from crowdeck.relay import request as requests
from crowdeck.relay import retry_advice
from crowdeck.relay import waiting
from crowdeck import route as routes
from crowdeck.routing import stream_admission
from crowdeck.routing import team_usage
from crowdeck.routing import usage as usages
from crowdeck.routing import waiting_order
from tests import fleet_system
from tests import virtual

STREAM = routes.RepeatPolicy.STREAM
MODEL = fleet_system.MODEL
OBJECTIVES = (0.5, 0.5, 1.0)
# So large that the fleet serves eight at once, for a second each.
TOKENS = requests.TokenCounts(30_000, 400, 100)
# More than the fleet serves while any of them may wait.
BURST = 24
Kinds = list[tuple[int, str]]
Waits = dict[tuple[int, str], list[float]]


class Play(fleet_system.FleetSystem):
    """Callers of one entry with ranked routes.

    :ivar served: seconds until the answer began, by rank and team.
    :ivar refused: seconds until the refusal, likewise.
    """

    def __init__(self) -> None:
        super().__init__()
        config_routes = tuple(
            fleet_system.make_route(
                STREAM,
                prefix=f"/{rank}/",
                priority=rank,
                objective_seconds=seconds,
            )
            for rank, seconds in enumerate(OBJECTIVES)
        )
        teams = tuple(
            routes.TeamKeys(name, frozenset({name}))
            for name in ("first", "small", "large")
        )
        config = fleet_system.make_config(config_routes=config_routes)
        self.install(attrs.evolve(config, teams=teams))
        self.add_model(copies=1)
        self.fleet.event_seconds = 0.05
        self.served: Waits = collections.defaultdict(list)
        self.refused: Waits = collections.defaultdict(list)
        self.errors: list[errors.CrowdeckError] = []

    async def send(
        self, rank: int, team: str = "small", last_event_id: int = -1
    ) -> None:
        arrived = anyio.current_time()
        caller = await self.ask(
            self.request(
                STREAM,
                path=f"/{rank}/x",
                key=team,
                token_counts=TOKENS,
                last_event_id=last_event_id,
            )
        )
        if caller.error is None:
            assert caller.is_complete
            self.served[rank, team].append(caller.times[0] - arrived)
        else:
            self.errors.append(caller.error)
            self.refused[rank, team].append(anyio.current_time() - arrived)

    async def send_each(
        self, tasks: typing.Any, kinds: Kinds, pause_seconds: float = 0.025
    ) -> None:
        for rank, team in kinds:
            tasks.start_soon(self.send, rank, team)
            await anyio.sleep(pause_seconds)

    async def fill(self, tasks: typing.Any) -> None:
        """Use all capacity; from then on eight streams end a second."""
        await self.send_each(tasks, [(2, "first")] * 8, 0.125)

    async def fill_and_send(self, kinds: Kinds) -> None:
        async with anyio.create_task_group() as tasks:
            await self.fill(tasks)
            await self.send_each(tasks, kinds)


def played(
    work: typing.Callable[[typing.Any, Play], typing.Awaitable[None]],
) -> typing.Callable[[typing.Any], None]:
    """Return a test that plays ``work`` in virtual time."""

    async def body(test: typing.Any) -> None:
        play = Play()
        await fleet_system.run_with(play, lambda _: work(test, play))

    return lambda test: virtual.run(body, test)


@attrs.frozen
class StandinLoad:
    """Load of ten entries at which urgent requests wait, true or not."""

    waiting: int
    is_current: bool = True

    @property
    def others(self) -> usages.EntryLoad:
        return usages.EntryLoad(10, waiting={(MODEL, 0): self.waiting})


class StandinView:
    """The config in force, as the store tells it to an entry."""

    def __init__(self, system: fleet_system.FleetSystem) -> None:
        self.holder = system.holder

    def has_ranked_service(self) -> bool:
        table = self.holder.table
        return table is not None and table.has_ranked_service


class BoundedAdmission:
    """Leaves no room to any but the most urgent."""

    def limits(
        self, service: str, urgency: routes.Urgency, objective: float
    ) -> stream_admission.PathLimits:
        share = 0.0 if urgency.rank else 1.0
        return stream_admission.PathLimits(max_cache_utilization=share)


class TestBurst:
    """A fleet with little room, and more requests than it serves."""

    @played
    async def test_most_urgent_are_served_after_a_burst_of_least_urgent(
        self, play: Play
    ) -> None:
        kinds = [(2, "small")] * 3 * BURST
        kinds += ([(2, "small")] * 6 + [(0, "small")]) * 8
        await play.fill_and_send(kinds)
        assert len(play.served[0, "small"]) == 8
        assert max(play.served[0, "small"]) <= OBJECTIVES[0]
        assert len(play.served[2, "small"]) > 8
        refused = play.refused[2, "small"]
        early = ranked_waiting.POLL_SECONDS + 0.25 * OBJECTIVES[2]
        assert sum(waited <= early for waited in refused) > 0.7 * len(refused)
        for error in play.errors:
            assert error.verdict.is_retry_safe
            assert error.retry_after
            assert error.retry_after <= retry_advice.MAX_DELAY_SECONDS

    @played
    async def test_small_team_is_served_beside_a_large_one(
        self, play: Play
    ) -> None:
        await play.fill_and_send(([(0, "large")] * 15 + [(0, "small")]) * 12)
        assert len(play.served[0, "small"]) >= 9
        assert len(play.served[0, "large"]) >= 18


class LateAdmission(stream_admission.UnlimitedAdmission):
    """Asks for a first engine that begins at once."""

    def limits(
        self, service: str, urgency: routes.Urgency, objective: float
    ) -> stream_admission.PathLimits:
        return stream_admission.PathLimits(max_first_event_seconds=0.1)


class TestFailures:
    """What goes wrong while requests wait."""

    @played
    async def test_first_leaves_and_the_others_are_served(
        self, play: Play
    ) -> None:
        context = play.context
        queue = context.ranked_parts().queue(MODEL)
        async with anyio.create_task_group() as tasks:
            await play.fill(tasks)
            tasks.start_soon(play.send, 2)
            async with anyio.create_task_group() as leaving:
                leaving.start_soon(play.send, 0)
                await anyio.sleep(0.02)
                assert context.waiting_by_rank() == {
                    (MODEL, 0): 1,
                    (MODEL, 2): 1,
                }
                leaving.cancel_scope.cancel()
            assert context.waiting_by_rank() == {(MODEL, 2): 1}
        assert len(play.served[2, "small"]) == 1
        assert len(queue) == 0
        assert queue.teams.used("first", anyio.current_time()) < 8

    @played
    async def test_engine_is_lost_while_many_wait(self, play: Play) -> None:
        kinds = [(0, "small"), (2, "small")] * 3 * BURST
        async with anyio.create_task_group() as tasks:
            await play.fill(tasks)
            await play.send_each(tasks, kinds[:BURST])
            play.fleet.upstreams[1].is_dead = True
            await play.send_each(tasks, kinds[BURST:])
        assert not len(play.context.ranked_parts().queue(MODEL))
        urgent = len(play.served[0, "small"])
        others = len(play.served[2, "small"])
        assert 0.2 < others / (urgent + others) < 0.4

    @played
    async def test_bounded_rank_does_not_block_the_more_urgent(
        self, play: Play
    ) -> None:
        play.context.ranked_parts().admission = BoundedAdmission()
        order = play.context.ranked_parts().queue(MODEL).order
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(play.send, 2)
            await play.send_each(tasks, [(0, "small")] * 5)
            assert order.overdue_rank([0, 2]) == 2
        assert len(play.refused[2, "small"]) == 1
        assert max(play.served[0, "small"]) < 0.1

    @played
    async def test_first_engines_are_late_and_the_more_urgent_return_first(
        self, play: Play
    ) -> None:
        play.context.ranked_parts().admission = LateAdmission()
        for name in play.listed:
            play.context.heads.note_begun(name, "overdue")
        await anyio.sleep(2.0 * max(OBJECTIVES))
        refused = counters.COUNTERS.get("relay.rank.2.refused")
        for rank in (2, 2, 1, 1, 1, 1, 0):
            await play.send(rank)
        await play.send(2)
        delays = [error.retry_after or 0.0 for error in play.errors]
        assert delays[-2] == retry_advice.MIN_DELAY_SECONDS
        assert delays[-1] > max(delays[:2])
        assert counters.COUNTERS.get("relay.rank.2.refused") == refused + 3

    @played
    async def test_stream_that_an_engine_passed_over_is_moved(
        self, play: Play
    ) -> None:
        for upstream in play.fleet.upstreams:
            upstream.hanging_streams = 1
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(play.send, 0, "first")
            await anyio.sleep(0.1)
            for upstream in play.fleet.upstreams:
                upstream.hanging_streams = 0
            await play.send_each(tasks, [(2, "small")] * 7, 0.05)
        assert play.served[0, "first"][0] < 0.7

    @played
    async def test_resumed_stream_is_neither_bounded_nor_refused_early(
        self, play: Play
    ) -> None:
        play.context.ranked_parts().admission = BoundedAdmission()
        await play.send(2, "first", last_event_id=2)
        assert play.served[2, "first"][0] < 0.1
        async with anyio.create_task_group() as tasks:
            await play.send_each(tasks, [(0, "large")] * 2 * BURST)
            await play.send(2, last_event_id=2)
        assert len(play.served[2, "small"]) == 1

    @played
    async def test_outdated_or_wrong_load_leaves_the_guaranteed_share(
        self, play: Play
    ) -> None:
        # Nothing but the load that others tell is short of capacity here.
        play.context.fleet_load = StandinLoad(10**9, is_current=False)
        await play.send(2, "first")
        assert play.served[2, "first"][0] < 0.1
        play.context.fleet_load = StandinLoad(10**9)
        yielded = counters.COUNTERS.get("relay.rank.2.yielded")
        async with anyio.create_task_group() as tasks:
            for _ in range(8):
                tasks.start_soon(play.send, 2)
                await anyio.sleep(0.3)
        seconds = play.served[2, "small"]
        assert len(seconds) == 8
        assert max(seconds) < OBJECTIVES[2]
        assert sum(waited < 0.1 for waited in seconds) == 2
        counted = counters.COUNTERS.get("relay.rank.2.yielded")
        assert counted - yielded == 6


class TestParts:
    """The parts that only ranked streams need."""

    def test_are_created_once_the_config_ranks_streams(self) -> None:
        async def work(system: fleet_system.FleetSystem) -> None:
            context = system.context
            ranked = Play().config
            system.add_model(copies=1)
            system.install(fleet_system.make_config())
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(
                    fleet_process._prepare_ranking,
                    context,
                    StandinView(system),
                )
                caller = await system.ask(system.request(STREAM))
                assert caller.is_complete
                await anyio.sleep(10.0)
                assert context._ranked_parts is None
                system.install(attrs.evolve(ranked, version=2))
                await anyio.sleep(fleet_process.RANKED_CHECK_SECONDS)
                assert context._ranked_parts is not None

        async def body() -> None:
            await fleet_system.run_with(fleet_system.FleetSystem(), work)

        virtual.run(body)


class TestDecisions:
    """Decisions without a fleet."""

    def test_full_queue_displaces_the_least_urgent(self) -> None:
        async def body() -> None:
            queue = ranked_waiting.RankedQueue(lambda count: 0.0)
            claims = [
                waiting_order.Claim(2, "small", arrived)
                for arrived in range(waiting.MAX_WAITING + 1)
            ]
            with contextlib.ExitStack() as stack:
                places = [
                    stack.enter_context(queue.join(claim, 5.0, 0.0))
                    for claim in claims[:-1]
                ]
                assert not queue.make_room(claims[-1])
                assert queue.make_room(attrs.evolve(claims[-1], rank=1))
                displaced = [place for place in places if place.is_displaced]
                assert displaced == places[-1:]

        virtual.run(body)

    def test_request_that_may_have_run_keeps_its_place(self) -> None:
        async def body() -> None:
            queue = ranked_waiting.RankedQueue(lambda count: 10.0 * count)
            ran = waiting_order.Claim(2, "small", 1.0, 0.0, may_have_run=True)
            new = waiting_order.Claim(2, "small", 0.0, 1.0)
            with (
                queue.join(ran, 5.0, 0.0) as ran_place,
                queue.join(new, 5.0, 0.0) as new_place,
            ):
                assert queue.count_ahead(ran) == 0
                assert queue.make_room(waiting_order.Claim(0, "small", 2.0))
                assert new_place.is_displaced
                assert not ran_place.is_displaced

        virtual.run(body)

    def test_share_that_yields_follows_what_waits(self) -> None:
        for count, yields in ((0, 0), (1, 10), (5, 50), (10**9, 75)):
            order = waiting_order.WaitingOrder(team_usage.TeamUsage())
            elsewhere = waiting_order.waiting_elsewhere(
                StandinLoad(count), MODEL, 2, waiting.MAX_WAITING
            )
            decisions = [order.must_yield(2, elsewhere) for _ in range(100)]
            assert abs(sum(decisions) - yields) <= 1

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
