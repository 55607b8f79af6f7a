# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Plays of streams of three urgencies on a fleet that is too small."""

import collections
import typing

import anyio
import anyio.abc
import attrs
import pytest

from crowdeck import errors
from crowdeck.observe import counters
from crowdeck.relay import context as contexts
from crowdeck.relay import interfaces
from crowdeck.relay import request as requests
from crowdeck import route as routes
from crowdeck.routing import retry_reserve
from crowdeck.routing import stream_admission
from crowdeck.standin import chain_fleet
from crowdeck import verdict as verdicts
from tests import fleet_system
from tests import virtual

STREAM = routes.RepeatPolicy.STREAM
RANKS = (0, 1, 2)
OBJECTIVE_SECONDS = 0.5
# Streams a second of each rank; the least urgent in a burst.
PER_SECOND = (12, 8, 8)
BURST_PER_SECOND = 30
BURST = (2.0, 8.0)
SECONDS = 10.0
# Time for which a first engine works on one prompt alone. Both together begin
# 40 streams a second.
PROMPT_SECONDS = 0.05


class QueueingFleet(chain_fleet.ChainFleet):
    """Engines at which prompts wait for one another."""

    def __init__(self) -> None:
        super().__init__()
        self.locks: dict[str, anyio.Lock] = collections.defaultdict(anyio.Lock)

    async def _stream(
        self,
        target: chain_fleet.StandinUpstream,
        request: requests.CallerRequest,
        dispatch: interfaces.Dispatch,
    ) -> typing.AsyncIterator[bytes]:
        async with self.locks[target.listed.name]:
            await anyio.sleep(PROMPT_SECONDS)
        async for piece in super()._stream(target, request, dispatch):
            yield piece


def ranked_config() -> routes.FleetConfig:
    config = fleet_system.make_config()
    ranked = tuple(
        fleet_system.make_route(
            STREAM, name=f"rank-{rank}", prefix=f"/{rank}/", priority=rank
        )
        for rank in RANKS
    )
    return attrs.evolve(config, version=2, routes=ranked)


class Play:
    """Streams of three ranks, the least urgent in a burst."""

    def __init__(self) -> None:
        self.system = fleet_system.FleetSystem(QueueingFleet())
        self.system.install(ranked_config())
        self.system.add_model(copies=1)
        self.outcomes: dict[int, list[fleet_system.Caller]] = (
            collections.defaultdict(list)
        )
        self.errors: dict[str, errors.CrowdeckError] = {}
        self.began: dict[int, int] = collections.Counter()

    async def ask(self, rank: int) -> None:
        path = f"/{rank}/x"
        request = self.system.request(STREAM, path=path, target=path)
        caller = await self.system.ask(request)
        self.outcomes[rank].append(caller)
        if caller.error is not None:
            self.errors[request.id] = caller.error
        due_at = request.arrived + OBJECTIVE_SECONDS
        if caller.times and caller.times[0] <= due_at:
            self.began[rank] += 1

    async def run(self) -> None:
        async with anyio.create_task_group() as tasks:
            for rank in RANKS:
                tasks.start_soon(self.send, rank, tasks)

    async def send(self, rank: int, tasks: anyio.abc.TaskGroup) -> None:
        while (now := anyio.current_time()) < SECONDS:
            tasks.start_soon(self.ask, rank)
            per_second = PER_SECOND[rank]
            if rank == RANKS[-1] and BURST[0] <= now < BURST[1]:
                per_second = BURST_PER_SECOND
            await anyio.sleep(1.0 / per_second)

    def in_time(self, rank: int) -> float:
        """Return the share of the streams of a rank that began in time."""
        return self.began[rank] / len(self.outcomes[rank])


def play(work: typing.Callable[[Play], typing.Awaitable[None]]) -> Play:
    plays: list[Play] = []

    async def body() -> None:
        plays.append(Play())
        await fleet_system.run_with(plays[0].system, lambda _: work(plays[0]))

    virtual.run(body)
    return plays[0]


async def run_unlimited(unlimited: Play) -> None:
    ranked_parts = unlimited.system.context.ranked_parts()
    ranked_parts.admission = stream_admission.UnlimitedAdmission()
    await unlimited.run()


class TestBurst:
    """A burst of the least urgent streams."""

    def test_more_urgent_streams_begin_in_time(self) -> None:
        unlimited = play(run_unlimited)
        hung = counters.COUNTERS.get("relay.hung")
        limited = play(Play.run)
        # Engines work on one prompt after the other, and none hangs.
        assert counters.COUNTERS.get("relay.hung") == hung
        for rank in (0, 1):
            assert unlimited.in_time(rank) < 0.5
            assert limited.in_time(rank) > 0.8
        # Nor do the least urgent pay for it.
        assert limited.in_time(2) > unlimited.in_time(2)
        not_run = {
            request: error.retry_after
            for request, error in limited.errors.items()
            if error.verdict is verdicts.Verdict.NOT_RUN
        }
        assert len(not_run) > 20 and min(not_run.values()) > 0.0
        assert not any(map(limited.system.fleet.runs_of, not_run))

    def test_urgent_streams_survive_a_loss_amid_refusals(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        limited = play(lose_engine)
        assert all(caller.is_complete for caller in limited.outcomes[0])
        monkeypatch.setattr(retry_reserve, "MAX_RANK_SHARE", 0.0)
        monkeypatch.setattr(retry_reserve, "REFUSED_SHARE", 0.0)
        spent = play(lose_engine)
        assert not all(caller.is_complete for caller in spent.outcomes[0])


async def lose_engine(amid: Play) -> None:
    """Refuse the least urgent, then lose an engine with urgent streams."""
    system = amid.system
    # Enough for all refused streams, or for some and all that are lost.
    system.context.budget_settings = contexts.RetryBudgetSettings(
        ratio=0.0, slack=12.5, window_seconds=10.0
    )
    system.fleet.event_seconds = 0.1
    head = system.fleet.at(system.listed["plateau-0-0"].address)
    async with anyio.create_task_group() as tasks:
        for _ in range(5):
            tasks.start_soon(amid.ask, 0)
        await anyio.sleep(0.8)
        head.rejected_requests = 10
        for _ in range(10):
            tasks.start_soon(amid.ask, 2)
        await anyio.sleep(0.2)
        head.is_dead = True
