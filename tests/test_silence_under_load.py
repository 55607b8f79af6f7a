# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Silent streams of a service that is full at times."""

import asyncio
import copy
import random
import statistics
import typing

import anyio
import attrs
import pytest

from crowdeck import chain
from crowdeck.relay import engine_activity
from crowdeck.relay import load_pauses
from crowdeck.relay import path_searches
from crowdeck.relay import question_budget
from crowdeck.relay import stalls
from crowdeck import route as routes
from crowdeck.standin import chain_fleet
from tests import fleet_system
from tests import virtual

STREAM = routes.RepeatPolicy.STREAM
MAX_PAUSE_SECONDS = 0.25
# Callers give up after this pause.
CALLER_PATIENCE_SECONDS = 2.0
# A probe without an answer takes this long, with the ticks until it begins
# and until the stream goes on.
PROBE_SECONDS = 0.1
STREAMS = 20

# An engine that no stream passes.
OTHER = fleet_system.upstream("other", service=fleet_system.PLAIN)

Work = typing.Callable[[fleet_system.FleetSystem], typing.Awaitable[None]]


class LoadedFleet(chain_fleet.ChainFleet):
    """A fleet with long but allowed pauses, each of a single stream."""

    def __init__(self, seed: int) -> None:
        super().__init__()
        self.event_seconds = 0.06
        self.pause_chance = 0.15
        self._seed = seed
        self._random: dict[str, random.Random] = {}
        # Paths with a lost link between two engines, by request.
        self.cut_paths: dict[str, chain.ChainPath] = {}

    async def _wait_for_path(
        self,
        target: chain_fleet.StandinUpstream,
        request_id: str,
        run: chain_fleet.Run,
    ) -> None:
        seed = f"{self._seed} {request_id}"
        rng = self._random.setdefault(request_id, random.Random(seed))
        if rng.random() < self.pause_chance:
            await anyio.sleep(0.14)
        key = chain_fleet.path_key(target.listed, request_id)
        while self._paths[key] is self.cut_paths.get(request_id):
            await anyio.sleep(chain_fleet.POLL_SECONDS)
        await super()._wait_for_path(target, request_id, run)

    async def report(self, upstream: chain.Upstream) -> chain.EngineReport:
        stalls = tuple(
            chain.Stall(request, str(path.hops[2].upstream.address))
            for request, path in self.cut_paths.items()
            if path.head.name == upstream.name
        )
        return attrs.evolve(await super().report(upstream), stalls=stalls)


@attrs.frozen
class Play:
    """What became of the streams of one play."""

    system: fleet_system.FleetSystem
    callers: list[fleet_system.Caller]

    @property
    def questions(self) -> int:
        return sum(
            message.kind is chain_fleet.MessageKind.QUESTION
            for message in self.system.client.sent_messages
        )

    @property
    def longest_pause(self) -> float:
        return max(caller.longest_pause for caller in self.callers)

    def assert_whole(self) -> None:
        assert all(caller.is_complete for caller in self.callers)
        assert len(self.callers) == STREAMS

    def assert_nothing_avoided(self) -> None:
        self.assert_whole()
        assert self.system.registry.failed() == ()
        assert self.system.fleet.repaths == []
        assert len(self.system.fleet.runs) == STREAMS


def play(
    disturb: Work | None = None, *, is_ranked: bool = True, seed: int = 4
) -> Play:
    """Play streams through a loaded fleet, disturbed after a second."""
    played: list[Play] = []

    async def work(system: fleet_system.FleetSystem) -> None:
        async with anyio.create_task_group() as tasks:
            for index in range(STREAMS):
                tasks.start_soon(ask, system, index)
            await anyio.sleep(1.0)
            if disturb is not None:
                await disturb(system)

    async def ask(system: fleet_system.FleetSystem, index: int) -> None:
        await anyio.sleep(0.013 * index)
        request = system.request(STREAM, path="/0/x")
        played[0].callers.append(await system.ask(request))

    async def body() -> None:
        system = fleet_system.FleetSystem(LoadedFleet(seed))
        system.fleet.events = 40
        priorities = (0, 1) if is_ranked else (0,)
        config_routes = tuple(
            fleet_system.make_route(
                STREAM,
                prefix=f"/{priority}/",
                priority=priority,
                max_pause_seconds=MAX_PAUSE_SECONDS,
            )
            for priority in priorities
        )
        system.install(fleet_system.make_config(config_routes=config_routes))
        system.add_model(copies=2)
        system.add(OTHER)
        played.append(Play(system, []))
        await fleet_system.run_with(system, work)

    virtual.run(body)
    return played[0]


def used_engine(
    system: fleet_system.FleetSystem, part: int
) -> chain_fleet.StandinUpstream:
    """Return an engine of that part that streams of the entry's zone use."""
    engine = system.registry.find(f"{fleet_system.ZONES[0]}-0-{part}")
    assert engine is not None
    return system.fleet.at(engine.address)


def seconds_until_found(
    seeds: typing.Iterable[int], *, is_ranked: bool = True
) -> list[float]:
    """Return how long it takes to find a silent later engine, by seed."""
    found: list[float] = []

    async def lose(system: fleet_system.FleetSystem) -> None:
        used_engine(system, 2).is_unresponsive = True
        lost_at = anyio.current_time()
        while not system.registry.failed():
            await anyio.sleep(0.001)
        found.append(anyio.current_time() - lost_at)

    for seed in seeds:
        play(lose, is_ranked=is_ranked, seed=seed).assert_whole()
    return found


class TestLoad:
    """No engine has failed."""

    def test_allowed_pauses_cause_few_questions(self) -> None:
        latest_seconds = stalls.LATEST_SHARE * MAX_PAUSE_SECONDS
        questions = questions_before = 0
        for seed in range(4, 9):
            loaded = play(seed=seed)
            loaded.assert_nothing_avoided()
            assert loaded.longest_pause > latest_seconds
            questions += loaded.questions
            questions_before += play(is_ranked=False, seed=seed).questions
        assert questions < 0.25 * questions_before

    def test_own_lag_avoids_no_engine(self) -> None:
        async def block_loop(system: fleet_system.FleetSystem) -> None:
            loop = asyncio.get_running_loop()
            assert isinstance(loop, virtual.VirtualLoop)
            loop.pass_time(0.4)

        play(block_loop).assert_nothing_avoided()

    def test_lost_link_of_the_entry_avoids_no_engine(self) -> None:
        async def cut_off(system: fleet_system.FleetSystem) -> None:
            system.fleet.is_link_stalled = True
            await anyio.sleep(0.4)
            system.fleet.is_link_stalled = False

        play(cut_off).assert_nothing_avoided()

    @pytest.mark.parametrize("names_own", [True, False])
    def test_wrong_reports_avoid_no_engine(
        self, monkeypatch: pytest.MonkeyPatch, names_own: bool
    ) -> None:
        """Stalls of other requests, or at engines of another path."""
        report = chain_fleet.ChainFleet.report

        async def wrong_report(
            fleet: chain_fleet.ChainFleet, upstream: chain.Upstream
        ) -> chain.EngineReport:
            stalls = tuple(
                chain.Stall(
                    run.request if names_own else "r0",
                    str(OTHER.address if names_own else upstream.address),
                )
                for run in fleet.runs
            )
            answer = await report(fleet, upstream)
            return attrs.evolve(answer, stalls=stalls, running=9, waiting=9)

        monkeypatch.setattr(chain_fleet.ChainFleet, "report", wrong_report)
        play().assert_nothing_avoided()


class TestLoss:
    """An engine fails while the fleet is loaded."""

    @pytest.mark.parametrize("part", [0, 2])
    @pytest.mark.parametrize("fault", ["is_dead", "is_unresponsive"])
    def test_streams_go_on_as_soon_as_before(
        self, part: int, fault: str
    ) -> None:
        lost_at: list[float] = []

        async def lose(system: fleet_system.FleetSystem) -> None:
            setattr(used_engine(system, part), fault, True)
            begun = anyio.current_time()
            while not system.registry.failed():
                await anyio.sleep(0.001)
            lost_at.append(anyio.current_time() - begun)

        loaded = play(lose)
        loaded.assert_whole()
        assert lost_at[0] < MAX_PAUSE_SECONDS + PROBE_SECONDS
        before = play(lose, is_ranked=False)
        assert lost_at[0] <= lost_at[1] + PROBE_SECONDS
        assert loaded.longest_pause <= before.longest_pause + PROBE_SECONDS
        assert loaded.longest_pause < 0.5 * CALLER_PATIENCE_SECONDS
        assert loaded.questions < before.questions

    def test_engine_that_one_silent_stream_passes_is_found_in_time(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Silent streams share the engines of its path that work."""

        def shared(_: object, name: str) -> int:
            return 1 if name.endswith("-2") else 2

        monkeypatch.setattr(
            engine_activity.EngineActivity, "silent_streams", shared
        )
        limit_seconds = 0.5 * MAX_PAUSE_SECONDS + 0.5 * PROBE_SECONDS
        assert max(seconds_until_found(range(4, 9))) < limit_seconds

    def test_loss_is_found_as_soon_as_before(self) -> None:
        now, before = (
            seconds_until_found(range(1, 10), is_ranked=is_ranked)
            for is_ranked in (True, False)
        )
        assert statistics.median(now) <= statistics.median(before)

    def test_lost_link_between_engines_is_found(self) -> None:
        """All engines answer, and pass events of other streams."""
        cut_ids: list[str] = []

        async def cut(system: fleet_system.FleetSystem) -> None:
            stream = next(
                s for s in system.monitor._streams if not s.is_starting
            )
            assert stream.path is not None
            assert isinstance(system.fleet, LoadedFleet)
            system.fleet.cut_paths[stream.request.id] = stream.path
            cut_ids.append(stream.request.id)

        loaded = play(cut)
        loaded.assert_whole()
        assert cut_ids[0] in loaded.system.fleet.repaths
        assert loaded.longest_pause < MAX_PAUSE_SECONDS + PROBE_SECONDS


class TestDecisions:
    """Decisions without a network."""

    def test_ended_silences_are_expected_until_forgotten(self) -> None:
        pauses = load_pauses.LoadPauses()
        pauses.note_ended("a", 0.2, 10.0)
        pauses.note_ended("a", 0.05, 10.0)
        pauses.note_loaded("a", 10.0)
        assert pauses.is_loaded("a", 10.5)
        assert not pauses.is_loaded("a", 11.5)
        assert pauses.expected("a", 10.0) == 0.2
        assert pauses.expected("b", 10.0) == 0.2
        half_life = load_pauses.HALF_LIFE_SECONDS
        assert pauses.expected("a", 10.0 + half_life) == pytest.approx(0.1)

    def test_streams_are_checked_in_the_order_in_which_they_began(
        self,
    ) -> None:
        async def work(system: fleet_system.FleetSystem) -> None:
            streams = list(system.monitor._streams)
            # Kept until the end, so that no two have the same address.
            copies = [copy.copy(stream) for stream in streams * 8]
            for stream in streams:
                system.monitor.drop(stream)
            expected = copies[::2] + copies[1::2]
            for stream in expected:
                system.monitor.add(stream)
            assert list(system.monitor._streams) == expected
            for stream in copies:
                system.monitor.drop(stream)
            for stream in streams:
                system.monitor.add(stream)

        play(work)

    def test_questions_grow_with_streams_and_keep_an_urgent_reserve(
        self,
    ) -> None:
        budget = question_budget.QuestionBudget()
        budget.update(0, 0.0)
        claims = [budget.claim(is_urgent=False) for _ in range(99)]
        assert sum(claims) == question_budget.BURST
        assert budget.claim(is_urgent=True)
        budget.update(100, 0.1)
        assert budget.claim(is_urgent=False)

    def test_only_ranked_streams_are_judged(self) -> None:
        assert play(is_ranked=False).system.monitor._ranked_silence is None
        assert play().system.monitor._ranked_silence is not None

    def test_same_search_for_a_path_waits(self) -> None:
        async def work(system: fleet_system.FleetSystem) -> None:
            stream = next(iter(system.monitor._streams))
            assert stream.path is not None
            searches = path_searches.FailedPathSearches()
            search = path_searches.PathSearch(
                stream.path, frozenset("a"), frozenset("bc")
            )
            searches.note(stream, search, 1.0)
            assert searches.is_futile(stream, search, 1.1)
            assert not searches.is_futile(stream, search, 1.2)
            changed = attrs.evolve(search, usable=frozenset("bcd"))
            assert not searches.is_futile(stream, changed, 1.1)

        play(work)

    def test_events_before_a_change_of_path_do_not_count(self) -> None:
        async def work(system: fleet_system.FleetSystem) -> None:
            activity = system.monitor._ranked_silence._activity
            stream = next(
                s for s in system.monitor._streams if not s.is_starting
            )
            assert stream.path is not None
            system.monitor._ranked_silence._update_activity()
            hop = attrs.evolve(stream.path.hops[0], upstream=OTHER)
            stream.switch_path(chain.ChainPath((hop,)))
            system.monitor._ranked_silence._update_activity()
            assert activity.last_event_at("other") < 0.0
            stream.note_event()
            system.monitor._ranked_silence._update_activity()
            assert activity.last_event_at("other") == anyio.current_time()

        play(work)

    def test_engines_that_silent_streams_share_are_asked_first(self) -> None:
        async def work(system: fleet_system.FleetSystem) -> None:
            monitor = system.monitor
            streams = [s for s in monitor._streams if s.path is not None]
            first, second = streams[:2]
            assert first.path is not None
            now = anyio.current_time() + 0.5
            second.switch_path(
                chain.ChainPath((first.path.hops[2], first.path.hops[1]))
            )
            second.note_event()
            monitor._ranked_silence._activity.update([first, second], now, 0.3)
            shared = {hop.upstream.name for hop in first.path.hops[1:3]}
            judged = monitor._ranked_silence._judge.judge(first, now)
            assert {s.upstream.name for s in judged.candidates} == shared
            assert judged.is_partial
            first.check_count = 1
            judged = monitor._ranked_silence._judge.judge(first, now)
            assert judged.asks_head
            assert not judged.is_partial
            assert [s.is_common for s in judged.candidates] == [
                True,
                True,
                False,
                False,
            ]
            assert second.current_attempt is not None
            second.current_attempt.progress_at = now
            monitor._ranked_silence._activity.update([first, second], now, 0.3)
            judged = monitor._ranked_silence._judge.judge(first, now)
            assert not shared & {s.upstream.name for s in judged.candidates}

        play(work)
