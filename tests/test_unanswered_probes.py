# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Tests of probes of engines that answer late or not at all."""

import typing

import anyio

from crowdeck import chain
from crowdeck.relay import interfaces
from crowdeck.relay import probes
from tests import fleet_system
from tests import virtual

ENGINE = fleet_system.upstream("engine")
WATCHED_SECONDS = 10.0
CHECK_SECONDS = 0.1
# A client that doubles its delay from 0.25 s to 1 s asks this often at most.
MAX_QUESTIONS = 13


class LateEngine:
    """An engine that answers after some time.

    :ivar asked_at: loop times of the questions.
    :ivar given_up: number of questions that ended before the answer.
    """

    def __init__(self, answer_seconds: float) -> None:
        self.answer_seconds = answer_seconds
        self.asked_at: list[float] = []
        self.given_up = 0

    async def report(self, upstream: chain.Upstream) -> chain.EngineReport:
        self.asked_at.append(anyio.current_time())
        self.given_up += 1
        await anyio.sleep(self.answer_seconds)
        self.given_up -= 1
        return chain.EngineReport(
            orders_taken=0,
            is_busy=False,
            layers=None,
            running=1,
            waiting=0,
            cache_used=0.0,
            cache_total=1.0,
            slowdown=1.0,
            stalls=(),
        )


Body = typing.Callable[[probes.Prober], typing.Awaitable[None]]


def run_prober(engine: LateEngine, body: Body) -> None:
    """Run ``body`` with a prober whose questions may stay open."""

    async def run() -> None:
        client = typing.cast(interfaces.Upstreams, engine)
        async with anyio.create_task_group() as tasks:
            prober = probes.Prober(client, lambda _: True)
            with prober.keep_questions_open(tasks):
                await body(prober)
            tasks.cancel_scope.cancel()

    virtual.run(run)


async def watch(prober: probes.Prober) -> None:
    """Probe the engine again and again, as its silent streams do."""
    ends_at = anyio.current_time() + WATCHED_SECONDS
    while anyio.current_time() < ends_at:
        await prober.probe(ENGINE)
        await anyio.sleep(CHECK_SECONDS)


class TestUnansweredProbes:
    """Questions to engines that have no processor time to answer."""

    def test_engine_without_answer_is_asked_after_growing_delays(
        self,
    ) -> None:
        """Guards against entries that take the time engines need to answer.

        Dozens of entries asked ten times a second, each on a fresh
        connection, so that engines never caught up and streams never began.
        """
        engine = LateEngine(float("inf"))
        run_prober(engine, watch)
        assert len(engine.asked_at) <= MAX_QUESTIONS

    def test_late_answers_are_awaited(self) -> None:
        engine = LateEngine(0.1)
        run_prober(engine, watch)
        assert engine.given_up <= 1

    def test_late_answer_shows_that_the_engine_works(self) -> None:
        async def body(prober: probes.Prober) -> None:
            assert (await prober.probe(ENGINE)).is_unreachable
            await anyio.sleep(0.1)
            assert not prober.knows_unreachable(ENGINE.name)
            assert prober.has_answer(ENGINE, 0.25)

        run_prober(LateEngine(0.1), body)

    def test_engine_that_answered_late_is_awaited_longer(self) -> None:
        """Guards against working engines that are avoided as lost.

        On a machine without free processor time an entry avoided four of six
        engines that worked, and refused streams for want of a path.
        """

        async def body(prober: probes.Prober) -> None:
            assert (await prober.probe(ENGINE)).is_unreachable
            for _ in range(3):
                await anyio.sleep(0.3)
                assert (await prober.probe(ENGINE)).report is not None

        run_prober(LateEngine(0.08), body)

    def test_engines_that_are_late_together_teach_of_all(self) -> None:
        """Guards against the loss of each engine in turn on a slow machine."""

        async def body(prober: probes.Prober) -> None:
            for name in ("engine-a", "engine-b"):
                await prober.probe(fleet_system.upstream(name))
            await anyio.sleep(0.1)
            assert (await prober.probe(ENGINE)).report is not None

        run_prober(LateEngine(0.08), body)

    def test_one_late_engine_teaches_of_no_other(self) -> None:
        engine = LateEngine(0.08)

        async def body(prober: probes.Prober) -> None:
            await prober.probe(fleet_system.upstream("engine-a"))
            await anyio.sleep(0.1)
            engine.answer_seconds = float("inf")
            started_at = anyio.current_time()
            assert (await prober.probe(ENGINE)).is_unreachable
            assert anyio.current_time() - started_at < 0.04

        run_prober(engine, body)

    def test_late_answer_is_told(self) -> None:
        late: list[str] = []

        async def run() -> None:
            engine = typing.cast(interfaces.Upstreams, LateEngine(0.08))
            async with anyio.create_task_group() as tasks:
                prober = probes.Prober(
                    engine,
                    lambda _: True,
                    note_late_answer=lambda found: late.append(found.name),
                )
                with prober.keep_questions_open(tasks):
                    await prober.probe(ENGINE)
                    assert not late
                    await anyio.sleep(0.1)

        virtual.run(run)
        assert late == [ENGINE.name]

    def test_silence_is_found_in_time_once_late_answers_are_past(
        self,
    ) -> None:
        engine = LateEngine(0.1)

        async def body(prober: probes.Prober) -> None:
            await prober.probe(ENGINE)
            await anyio.sleep(probes.LATE_MEMORY_SECONDS + 1.0)
            engine.answer_seconds = float("inf")
            started_at = anyio.current_time()
            assert (await prober.probe(ENGINE)).is_unreachable
            assert anyio.current_time() - started_at < 0.04

        run_prober(engine, body)

    def test_probe_after_the_questions_task_group_has_ended(self) -> None:
        """Guards against requests that fail while their process stops."""

        async def run() -> None:
            engine = typing.cast(interfaces.Upstreams, LateEngine(0.01))
            prober = probes.Prober(engine, lambda _: True)
            async with anyio.create_task_group() as tasks:
                with prober.keep_questions_open(tasks):
                    await prober.probe(ENGINE)
            await anyio.sleep(1.0)
            assert (await prober.probe(ENGINE)).report is not None

        virtual.run(run)

    def test_first_probe_still_finds_silence_in_time(self) -> None:
        async def body(prober: probes.Prober) -> None:
            started_at = anyio.current_time()
            assert (await prober.probe(ENGINE)).is_unreachable
            assert anyio.current_time() - started_at < 0.04

        run_prober(LateEngine(float("inf")), body)

    def test_delayed_probe_shows_nothing(self) -> None:
        async def body(prober: probes.Prober) -> None:
            await prober.probe(ENGINE)
            await anyio.sleep(probes.ANSWER_SECONDS)
            probe = await prober.probe(ENGINE)
            assert probe.report is None
            assert not probe.is_unreachable

        run_prober(LateEngine(float("inf")), body)

    def test_answer_ends_the_delays(self) -> None:
        engine = LateEngine(float("inf"))

        async def body(prober: probes.Prober) -> None:
            await watch(prober)
            engine.answer_seconds = 0.001
            await anyio.sleep(probes.MAX_RETRY_SECONDS)
            assert (await prober.probe(ENGINE)).report is not None
            engine.answer_seconds = float("inf")
            await anyio.sleep(probes.REUSE_SECONDS)
            assert (await prober.probe(ENGINE)).is_unreachable

        run_prober(engine, body)
