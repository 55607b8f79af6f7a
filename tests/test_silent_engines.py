# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Streams of sound engines that fall silent for a second and go on."""

import typing

import anyio
import attrs
import pytest

from crowdeck.observe import counters
from crowdeck.relay import request as requests
from crowdeck import route as routes
from crowdeck.standin import chain_fleet
from tests import fleet_system
from tests import virtual

STREAM = routes.RepeatPolicy.STREAM
SILENT_SECONDS = (1.2, 1.9)
STREAMS = 24
EVENTS = 60
# A sound engine gets work again by then, counted from the end of its silence.
RECOVERY_SECONDS = 3.0
# The streams have begun everywhere, and none has ended.
UNDER_WAY_SECONDS = 0.5

System = fleet_system.FleetSystem
Engines = list[chain_fleet.StandinUpstream]


@attrs.frozen
class Served:
    """A request and what its caller got."""

    request: requests.CallerRequest
    caller: fleet_system.Caller

    @property
    def is_whole(self) -> bool:
        """Whether the caller got the complete answer."""
        return self.caller.is_complete and (
            self.caller.body
            == fleet_system.whole_answer(self.request.id, EVENTS)
        )


def head_in_use(system: System) -> Engines:
    """Return one first engine that runs streams."""
    return [engine for engine in heads(system) if engine.running][:1]


def heads(system: System) -> Engines:
    """Return all first engines."""
    return [
        engine
        for engine in system.fleet.upstreams
        if engine.listed.layers is not None and engine.listed.layers.first == 0
    ]


def own_zone(system: System) -> Engines:
    """Return all engines of the entry's zone."""
    return [
        engine
        for engine in system.fleet.upstreams
        if engine.listed.availability_zone == fleet_system.ZONES[0]
    ]


def everything(system: System) -> Engines:
    """Return all engines."""
    return system.fleet.upstreams


def later_engines(system: System) -> Engines:
    """Return all engines that are not first."""
    first = heads(system)
    return [engine for engine in system.fleet.upstreams if engine not in first]


def one_in_the_middle(system: System) -> Engines:
    """Return one engine of the entry's zone that is neither first nor last."""
    return [
        engine for engine in middle_range(system) if engine in own_zone(system)
    ][:1]


def middle_range(system: System) -> Engines:
    """Return all engines of one layer range, which is not the first."""
    layers = later_engines(system)[0].listed.layers
    return [
        engine
        for engine in system.fleet.upstreams
        if engine.listed.layers == layers
    ]


Selection = typing.Callable[[System], Engines]
SELECTIONS = (
    head_in_use,
    heads,
    own_zone,
    everything,
    one_in_the_middle,
    middle_range,
    later_engines,
)


def spend_budget(system: System, silent: Engines) -> None:
    """Leave nothing of the retry budget."""
    budget = system.context.budget(fleet_system.MODEL)
    while fleet_system.spend_retry(budget):
        pass


def fill_others(system: System, silent: Engines) -> None:
    """Let the other first engines take nothing for the time of the play."""
    for engine in heads(system):
        if engine not in silent:
            system.registry.back_off(engine.listed.name, 10.0)


def refuse_elsewhere(system: System, silent: Engines) -> None:
    """Let the other first engines refuse each request."""
    for engine in heads(system):
        if engine not in silent:
            engine.rejected_requests = 10_000


def hang_elsewhere(system: System, silent: Engines) -> None:
    """Let the other first engines accept each stream and not answer it."""
    for engine in heads(system):
        if engine not in silent:
            engine.hanging_streams = 10_000


def nothing_else(system: System, silent: Engines) -> None:
    """Leave everything else sound."""


Circumstance = typing.Callable[[System, Engines], None]
CIRCUMSTANCES = (
    nothing_else,
    spend_budget,
    fill_others,
    refuse_elsewhere,
    hang_elsewhere,
)


def play(
    select: Selection,
    circumstance: Circumstance,
    silent_seconds: float,
    silent_after: float = UNDER_WAY_SECONDS,
    *,
    is_resumable: bool = True,
    unusable: list[str] | None = None,
) -> list[Served]:
    """Serve streams while engines are silent for a second.

    :param unusable: gets the engines without work after the recovery time.
    """
    served: list[Served] = []

    async def ask(system: System) -> None:
        request = system.request(STREAM)
        served.append(Served(request, await system.ask(request)))

    async def work(system: System) -> None:
        async with anyio.create_task_group() as tasks:
            for _ in range(STREAMS):
                tasks.start_soon(ask, system)
                await anyio.sleep(0.0)
            await anyio.sleep(silent_after)
            silent = select(system)
            circumstance(system, silent)
            for engine in silent:
                engine.silent_until = anyio.current_time() + silent_seconds
            if unusable is None:
                return
            await anyio.sleep(silent_seconds + RECOVERY_SECONDS)
            assert system.context.quarantine.has_no_suspects
            unusable.extend(
                engine.listed.name
                for engine in everything(system)
                if not system.registry.is_usable(engine.listed.name)
            )

    async def body() -> None:
        system = System()
        system.fleet.events = EVENTS
        route = fleet_system.make_route(STREAM, is_resumable=is_resumable)
        system.install(fleet_system.make_config(1, (route,)))
        system.add_model()
        await fleet_system.run_with(system, work)

    virtual.run(body)
    assert len(served) == STREAMS
    return served


class TestAnswerThatHasBegun:
    """Answers under way while their engines are silent for a second."""

    @pytest.mark.parametrize("is_resumable", [True, False])
    @pytest.mark.parametrize("silent_seconds", SILENT_SECONDS)
    @pytest.mark.parametrize("circumstance", CIRCUMSTANCES)
    @pytest.mark.parametrize("select", SELECTIONS)
    def test_is_not_cut(
        self,
        select: Selection,
        circumstance: Circumstance,
        silent_seconds: float,
        is_resumable: bool,
    ) -> None:
        served = play(
            select, circumstance, silent_seconds, is_resumable=is_resumable
        )
        assert [item for item in served if not item.is_whole] == []


class TestAnswerThatHasNotBegun:
    """Requests whose engines fall silent before the first event."""

    @pytest.mark.parametrize("is_resumable", [True, False])
    @pytest.mark.parametrize("silent_seconds", SILENT_SECONDS)
    @pytest.mark.parametrize("circumstance", CIRCUMSTANCES)
    @pytest.mark.parametrize("select", SELECTIONS)
    def test_is_served(
        self,
        select: Selection,
        circumstance: Circumstance,
        silent_seconds: float,
        is_resumable: bool,
    ) -> None:
        served = play(
            select,
            circumstance,
            silent_seconds,
            0.01,
            is_resumable=is_resumable,
        )
        assert [item for item in served if not item.is_whole] == []


class TestAfterTheSilence:
    """Sound engines that were silent for a second."""

    @pytest.mark.parametrize("silent_seconds", SILENT_SECONDS)
    @pytest.mark.parametrize("select", SELECTIONS)
    def test_engines_get_work_and_no_request_is_suspected(
        self, select: Selection, silent_seconds: float
    ) -> None:
        unusable: list[str] = []
        play(select, nothing_else, silent_seconds, unusable=unusable)
        assert unusable == []


def engines_that_ran(system: System, request_id: str) -> set[str]:
    """Return the names of the first engines at which a request ran."""
    return {run.upstream for run in system.fleet.runs_of(request_id)}


def assert_nothing_in_use(system: System) -> None:
    """Assert that no engine counts a request as in progress."""
    for upstream in system.listed.values():
        assert system.usage.own_requests(upstream) == 0


class BusySystem(System):
    """A system that serves streams beside what a test does.

    :ivar served: the requests so far.
    """

    def __init__(
        self,
        max_attempts: int = 2,
        copies: int = 2,
        fleet: chain_fleet.ChainFleet | None = None,
        events: int = EVENTS,
    ) -> None:
        super().__init__(fleet)
        self.fleet.events = events
        route = fleet_system.make_route(STREAM, max_attempts=max_attempts)
        self.install(fleet_system.make_config(1, (route,)))
        self.add_model(copies)
        self.served: list[Served] = []

    async def serve(self) -> None:
        """Serve one stream."""
        request = self.request(STREAM)
        self.served.append(Served(request, await self.ask(request)))

    @property
    def last_event_at(self) -> float:
        """When the last caller got its last event."""
        return max(item.caller.times[-1] for item in self.served)


def play_beside(
    make_system: typing.Callable[[], BusySystem],
    work: typing.Callable[[BusySystem], typing.Awaitable[None]],
    streams: int,
) -> BusySystem:
    """Run a test's work beside streams that have begun."""
    systems: list[BusySystem] = []

    async def beside(_: System) -> None:
        (system,) = systems
        async with anyio.create_task_group() as tasks:
            for _ in range(streams):
                tasks.start_soon(system.serve)
            await anyio.sleep(UNDER_WAY_SECONDS)
            await work(system)
        assert_nothing_in_use(system)

    async def body() -> None:
        systems.append(make_system())
        await fleet_system.run_with(systems[0], beside)

    virtual.run(body)
    return systems[0]


class TestSilencesInARow:
    """Streams whose engine is silent and goes on, and what follows."""

    @pytest.mark.parametrize("max_attempts", [2, 3])
    def test_engine_lost_after_a_silence_is_replaced(
        self, max_attempts: int
    ) -> None:
        async def work(system: BusySystem) -> None:
            (head,) = head_in_use(system)
            refuse_elsewhere(system, [head])
            head.silent_until = anyio.current_time() + 0.3
            await anyio.sleep(0.6)
            for engine in heads(system):
                engine.rejected_requests = 0
            head.is_unresponsive = True

        system = play_beside(lambda: BusySystem(max_attempts), work, STREAMS)
        assert [item for item in system.served if not item.is_whole] == []
        assert system.last_event_at < 10.0

    @pytest.mark.parametrize("max_attempts", [2, 3])
    def test_request_runs_at_no_more_engines_than_allowed(
        self, max_attempts: int
    ) -> None:
        async def work(system: BusySystem) -> None:
            (head,) = head_in_use(system)
            hang_elsewhere(system, [head])
            for _ in range(6):
                head.silent_until = anyio.current_time() + 0.5
                await anyio.sleep(1.3)
                other = system.fleet.runs[-1].upstream
                if other != head.listed.name:
                    system.registry.back_off(other, 10.0)

        system = play_beside(
            lambda: BusySystem(max_attempts, 4, events=400), work, 1
        )
        (item,) = system.served
        assert item.caller.is_complete
        ran = engines_that_ran(system, item.request.id)
        assert len(ran) <= max_attempts

    def test_budget_that_recovers_during_a_loss_is_used(self) -> None:
        async def work(system: BusySystem) -> None:
            (head,) = head_in_use(system)
            spend_budget(system, [head])
            head.is_unresponsive = True

        system = play_beside(BusySystem, work, 1)
        assert system.served[0].is_whole


class EndMarker(chain_fleet.ChainFleet):
    """A fleet whose streams end with an event that has no id."""

    async def _stream(
        self, *arguments: typing.Any
    ) -> typing.AsyncIterator[bytes]:
        async for piece in super()._stream(*arguments):
            yield piece
        target = arguments[0]
        await anyio.sleep(self.event_seconds)
        await target.wait_while_silent()
        yield b"data: [DONE]\n\n"


class TestEventWithoutAnId:
    """A stream whose last event has no id, behind a silence."""

    @pytest.mark.parametrize(
        "circumstance", [nothing_else, spend_budget, hang_elsewhere]
    )
    def test_is_passed_on_once(self, circumstance: Circumstance) -> None:
        async def work(system: BusySystem) -> None:
            while not any(
                stream.last_event_id == EVENTS - 1
                for stream in system.monitor._streams
            ):
                await anyio.sleep(0.002)
            (head,) = head_in_use(system)
            circumstance(system, [head])
            head.silent_until = anyio.current_time() + 1.2

        system = play_beside(lambda: BusySystem(fleet=EndMarker()), work, 1)
        (item,) = system.served
        assert item.caller.is_complete
        assert item.caller.body.count(b"[DONE]") == 1


class SlowCaller(fleet_system.Caller):
    """A caller that stops reading for some seconds."""

    async def write(self, piece: bytes) -> None:
        await super().write(piece)
        if len(self.times) == 20:
            await anyio.sleep(3.0)


class TestSlowCaller:
    """A caller that does not read, while its engine is sound."""

    def test_its_engine_is_not_barred(self) -> None:
        barred = counters.COUNTERS.get("relay.hung")
        caller = SlowCaller()

        async def work(system: BusySystem) -> None:
            await system.relay.serve(system.request(STREAM), caller)

        play_beside(lambda: BusySystem(events=300), work, 8)
        assert caller.is_complete
        assert counters.COUNTERS.get("relay.hung") == barred
