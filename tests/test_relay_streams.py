# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Streams through the relay while engines fail."""

import asyncio
import typing

import anyio
import attrs
import pytest

from crowdeck import chain
from crowdeck import errors
from crowdeck.relay import loop_lag
from crowdeck.relay import request as requests
from crowdeck.relay import streams
from crowdeck import route as routes
from crowdeck.routing import heads
from crowdeck.standin import chain_fleet
from crowdeck import verdict as verdicts
from tests import fleet_system
from tests import virtual

STREAM = routes.RepeatPolicy.STREAM


def run_scenario(
    work: typing.Callable[[fleet_system.FleetSystem], typing.Awaitable[None]],
    copies: int = 2,
) -> None:
    """Run ``work`` on a system whose engines hold the whole model."""

    async def body() -> None:
        system = fleet_system.FleetSystem()
        system.install(system.config)
        system.add_model(copies)
        await fleet_system.run_with(system, work)

    virtual.run(body)


def assert_whole(
    caller: fleet_system.Caller, request: requests.CallerRequest, events: int
) -> None:
    assert caller.error is None
    assert caller.is_complete
    assert caller.body == fleet_system.whole_answer(request.id, events)


async def ask_with_fault(
    system: fleet_system.FleetSystem,
    request: requests.CallerRequest,
    delay_seconds: float,
    inject_fault: typing.Callable[[], None],
) -> fleet_system.Caller:
    """Send a request and inject a fault while it is answered."""
    callers: list[fleet_system.Caller] = []

    async def ask() -> None:
        callers.append(await system.ask(request))

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(ask)
        await anyio.sleep(delay_seconds)
        inject_fault()
    return callers[0]


def path_of(
    system: fleet_system.FleetSystem, request: requests.CallerRequest
) -> list[chain_fleet.StandinUpstream]:
    run = system.fleet.runs_of(request.id)[-1]
    return [
        system.fleet.at(part.partition("=")[0]) for part in run.path.split(",")
    ]


def set_hanging_streams(system: fleet_system.FleetSystem, count: int) -> None:
    for upstream in system.listed.values():
        system.fleet.at(upstream.address).hanging_streams = count


class TestHealthyStream:
    """A stream while no engine fails."""

    def test_is_forwarded_completely(self) -> None:
        async def work(system: fleet_system.FleetSystem) -> None:
            request = system.request(STREAM)
            caller = await system.ask(request)
            assert_whole(caller, request, system.fleet.events)
            assert len(system.fleet.runs_of(request.id)) == 1
            assert system.fleet.runs[0].team == "kiosks"

        run_scenario(work)

    def test_releases_its_usage(self) -> None:
        async def work(system: fleet_system.FleetSystem) -> None:
            await system.ask(system.request(STREAM))
            for upstream in system.listed.values():
                assert system.usage.sequences(upstream) == 0
                assert (
                    system.usage.cache_utilization(
                        upstream, fleet_system.PROFILE
                    )
                    == 0
                )

        run_scenario(work)

    def test_stays_in_the_zone_of_the_entry(self) -> None:
        async def work(system: fleet_system.FleetSystem) -> None:
            request = system.request(STREAM)
            await system.ask(request)
            zones = {
                hop.listed.availability_zone
                for hop in path_of(system, request)
            }
            assert zones == {fleet_system.ZONES[0]}

        run_scenario(work)

    def test_starts_after_the_callers_last_event(self) -> None:
        async def work(system: fleet_system.FleetSystem) -> None:
            request = attrs.evolve(system.request(STREAM), last_event_id=4)
            caller = await system.ask(request)
            assert caller.is_complete
            assert caller.body.startswith(b"id: 5\n")

        run_scenario(work)


class TestFailedLaterEngine:
    """An engine other than the first fails during a stream."""

    @pytest.mark.parametrize("fault", ["is_dead", "is_unresponsive"])
    def test_stream_is_rerouted(self, fault: str) -> None:
        async def work(system: fleet_system.FleetSystem) -> None:
            request = system.request(STREAM)

            def inject_fault() -> None:
                setattr(path_of(system, request)[2], fault, True)

            caller = await ask_with_fault(system, request, 0.15, inject_fault)
            assert_whole(caller, request, system.fleet.events)
            assert system.fleet.repaths == [request.id]
            # Only the failed part of the path was replaced.
            assert len(system.fleet.runs_of(request.id)) == 1
            assert caller.longest_pause < 0.2

        run_scenario(work)

    def test_other_streams_through_it_are_rerouted(self) -> None:
        async def work(system: fleet_system.FleetSystem) -> None:
            first = system.request(STREAM)
            second = system.request(STREAM)
            callers: list[fleet_system.Caller] = []

            async def ask(request: requests.CallerRequest) -> None:
                callers.append(await system.ask(request))

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(ask, first)
                tasks.start_soon(ask, second)
                await anyio.sleep(0.15)
                shared = path_of(system, first)[2]
                shared.is_unresponsive = True
            passes = [
                request.id
                for request in (first, second)
                if shared in path_of(system, request)
            ]
            assert sorted(system.fleet.repaths) == sorted(passes)
            assert all(caller.is_complete for caller in callers)

        run_scenario(work)

    def test_new_streams_avoid_it(self) -> None:
        async def work(system: fleet_system.FleetSystem) -> None:
            request = system.request(STREAM)

            def inject_fault() -> None:
                path_of(system, request)[1].is_unresponsive = True

            await ask_with_fault(system, request, 0.15, inject_fault)
            later = system.request(STREAM)
            caller = await system.ask(later)
            assert_whole(caller, later, system.fleet.events)
            assert caller.longest_pause < 0.1

        run_scenario(work)

    def test_without_a_replacement_another_zone_is_used(self) -> None:
        async def work(system: fleet_system.FleetSystem) -> None:
            request = system.request(STREAM)

            def inject_fault() -> None:
                path_of(system, request)[1].is_dead = True

            caller = await ask_with_fault(system, request, 0.15, inject_fault)
            assert_whole(caller, request, system.fleet.events)

        run_scenario(work, copies=1)

    def test_each_stream_is_rerouted_once(self) -> None:
        async def work(system: fleet_system.FleetSystem) -> None:
            all_requests = [system.request(STREAM) for _ in range(12)]
            callers: list[fleet_system.Caller] = []

            async def ask(request: requests.CallerRequest) -> None:
                callers.append(await system.ask(request))

            async with anyio.create_task_group() as tasks:
                for request in all_requests:
                    tasks.start_soon(ask, request)
                await anyio.sleep(0.15)
                path_of(system, all_requests[0])[2].is_unresponsive = True
            assert all(caller.is_complete for caller in callers)
            assert len(system.fleet.repaths) == len(set(system.fleet.repaths))

        run_scenario(work)


class TestCorrelatedFailures:
    """Several engines of one zone fail at the same time."""

    def inject_fault(
        self, system: fleet_system.FleetSystem, request: requests.CallerRequest
    ) -> None:
        """Silence two engines of a stream's path, and a copy of each."""
        failing_engines = path_of(system, request)[1:3]
        for engine in failing_engines:
            held = engine.listed.layers
            others = [
                other
                for other in system.fleet.upstreams
                if other.listed.layers == held
                and other.listed.availability_zone == fleet_system.ZONES[0]
                and other is not engine
            ]
            engine.is_unresponsive = True
            others[0].is_unresponsive = True

    def test_longest_pause_is_bounded(self) -> None:
        # Lost engines must be detected together, not by successive refusals.
        async def work(system: fleet_system.FleetSystem) -> None:
            request = system.request(STREAM)
            caller = await ask_with_fault(
                system,
                request,
                0.15,
                lambda: self.inject_fault(system, request),
            )
            assert_whole(caller, request, system.fleet.events)
            assert caller.longest_pause <= 0.12
            assert len(system.fleet.runs_of(request.id)) == 1

        run_scenario(work, copies=4)

    def test_stream_whose_engine_refuses_other_paths_is_restarted(
        self,
    ) -> None:
        # Requesting other paths repeatedly would stall the stream.
        async def work(system: fleet_system.FleetSystem) -> None:
            request = system.request(STREAM)

            def inject_fault() -> None:
                path = path_of(system, request)
                path[0].refuses_repaths = True
                path[2].is_unresponsive = True

            caller = await ask_with_fault(system, request, 0.15, inject_fault)
            assert_whole(caller, request, system.fleet.events)
            assert caller.longest_pause < 0.3
            assert len(system.fleet.runs_of(request.id)) == 2

        run_scenario(work, copies=2)

    def test_all_streams_are_rerouted_in_parallel(self) -> None:
        async def work(system: fleet_system.FleetSystem) -> None:
            all_requests = [system.request(STREAM) for _ in range(8)]
            callers: list[fleet_system.Caller] = []

            async def ask(request: requests.CallerRequest) -> None:
                callers.append(await system.ask(request))

            async with anyio.create_task_group() as tasks:
                for request in all_requests:
                    tasks.start_soon(ask, request)
                await anyio.sleep(0.15)
                self.inject_fault(system, all_requests[0])
            assert all(caller.is_complete for caller in callers)
            assert max(caller.longest_pause for caller in callers) <= 0.2

        run_scenario(work, copies=4)


class TestNetworkOutage:
    """The entry itself is briefly disconnected from all engines."""

    def test_does_not_count_as_silent_engines(self) -> None:
        async def work(system: fleet_system.FleetSystem) -> None:
            request = system.request(STREAM)
            callers: list[fleet_system.Caller] = []

            async def ask() -> None:
                callers.append(await system.ask(request))

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(ask)
                await anyio.sleep(0.15)
                system.fleet.is_link_stalled = True
                await anyio.sleep(0.3)
                system.fleet.is_link_stalled = False
            assert_whole(callers[0], request, system.fleet.events)
            assert system.registry.failed() == ()
            assert len(system.fleet.runs_of(request.id)) == 1

        run_scenario(work)


class TestHungRequest:
    """An engine accepts a request and never works on it."""

    def test_is_restarted_elsewhere_while_other_streams_progress(self) -> None:
        async def work(system: fleet_system.FleetSystem) -> None:
            system.fleet.events = 60
            first = system.request(STREAM)
            callers: list[fleet_system.Caller] = []

            async def ask(request: requests.CallerRequest) -> None:
                callers.append(await system.ask(request))

            async with anyio.create_task_group() as tasks:
                for _ in range(8):
                    tasks.start_soon(ask, system.request(STREAM))
                await anyio.sleep(0.2)
                set_hanging_streams(system, 1)
                began = anyio.current_time()
                tasks.start_soon(ask, first)
                await anyio.sleep(0.1)
                # Only the engine that accepted it first does not work on it.
                set_hanging_streams(system, 0)
            caller = callers[-1]
            assert_whole(caller, first, 60)
            assert caller.times[0] - began < 0.7
            assert len(system.fleet.runs_of(first.id)) == 2

        run_scenario(work)

    def test_engine_that_starts_no_streams_is_avoided(
        self,
    ) -> None:
        # The engine still sends reports, but none of its streams progresses.
        async def work(system: fleet_system.FleetSystem) -> None:
            elsewhere = [
                upstream
                for upstream in system.fleet.upstreams
                if upstream.listed.availability_zone != fleet_system.ZONES[0]
            ]
            for upstream in system.fleet.upstreams:
                upstream.hanging_streams = 0 if upstream in elsewhere else 100
            # A stream in the other zone shows that streams start fast there.
            zone = system.context.zone
            system.context.zone = fleet_system.ZONES[1]
            await system.ask(system.request(STREAM))
            system.context.zone = zone
            request = system.request(STREAM)
            caller = await system.ask(request)
            assert_whole(caller, request, system.fleet.events)
            assert caller.times[0] - request.arrived < 0.6
            # Of the next streams, at most one tries the stuck engine.
            delays = []
            for _ in range(5):
                later = system.request(STREAM)
                caller = await system.ask(later)
                assert_whole(caller, later, system.fleet.events)
                delays.append(caller.times[0] - later.arrived)
            assert sum(delay > 0.2 for delay in delays) <= 1

        run_scenario(work, copies=1)

    def test_engines_with_recent_events_are_not_probed(self) -> None:
        async def work(system: fleet_system.FleetSystem) -> None:
            system.fleet.events = 60
            report = system.fleet.report
            probed: set[str] = set()

            async def record_report(
                upstream: chain.Upstream,
            ) -> chain.EngineReport:
                probed.add(upstream.name)
                return await report(upstream)

            system.fleet.report = record_report  # type: ignore[method-assign]
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(system.ask, system.request(STREAM))
                await anyio.sleep(0.1)
                set_hanging_streams(system, 1)
                tasks.start_soon(system.ask, system.request(STREAM))
                await anyio.sleep(0.28)
                tasks.cancel_scope.cancel()
            assert probed == {"plateau-0-0"}

        run_scenario(work, copies=1)

    def test_engine_that_starts_other_streams_is_kept(self) -> None:
        # The engine works on a later request first.
        async def work(system: fleet_system.FleetSystem) -> None:
            system.fleet.events = 2
            zone = system.context.zone
            system.context.zone = fleet_system.ZONES[1]
            await system.ask(system.request(STREAM))
            system.context.zone = zone
            set_hanging_streams(system, 1)
            hung_request = system.request(STREAM)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(system.ask, hung_request)
                await anyio.sleep(0.02)
                set_hanging_streams(system, 0)
                await system.ask(system.request(STREAM))
                await anyio.sleep(0.7)
                tasks.cancel_scope.cancel()
            assert len(system.fleet.runs_of(hung_request.id)) == 1

        run_scenario(work, copies=1)

    def test_barred_engine_is_tried_by_one_stream_at_a_time(self) -> None:
        async def work(system: fleet_system.FleetSystem) -> None:
            records = system.context.heads
            records.bar("h")
            assert records.is_barred("h")
            await anyio.sleep(1.1)
            assert not records.is_barred("h")
            records.note_begun("h", 1)
            assert records.is_barred("h")
            records.note_first_event("h", 1)
            assert not records.is_barred("h")

        run_scenario(work)

    def test_number_of_records_is_bounded(self) -> None:
        async def work(system: fleet_system.FleetSystem) -> None:
            records = heads.HeadRecords()
            for number in range(10 * heads.MAX_RECORDS):
                records.note_begun(f"e{number}", number)
                await anyio.sleep(0.1)
                records.note_first_event(f"e{number}", number)
                records.note_ended(f"e{number}", number)
            assert len(records) <= heads.MAX_RECORDS + 1

        run_scenario(work)

    def test_engine_that_fails_its_streams_is_barred(self) -> None:
        async def work(system: fleet_system.FleetSystem) -> None:
            records = system.context.heads
            assert not records.note_failure("h")
            records.note_begun("h", 1)
            records.note_first_event("h", 1)
            # A single failure does not bar an engine.
            assert not records.is_barred("h")
            barred = [records.note_failure("h") for _ in range(3)]
            assert any(barred)
            assert records.is_barred("h")

        run_scenario(work)

    def test_faster_zone_is_preferred_to_own_slow_zone(self) -> None:
        # Streams must leave their own zone when it is much slower.
        async def work(system: fleet_system.FleetSystem) -> None:
            records = system.context.heads
            own = [
                upstream.listed.name
                for upstream in system.fleet.upstreams
                if upstream.listed.availability_zone == fleet_system.ZONES[0]
            ]
            for name in own:
                records.note_begun(name, name)
            await anyio.sleep(0.6)
            request = system.request(STREAM)
            await system.ask(request)
            ran_on = system.fleet.runs_of(request.id)[0].upstream
            assert ran_on not in own

        run_scenario(work)

    def test_slow_stream_is_kept_if_all_are_slow(self) -> None:
        async def work(system: fleet_system.FleetSystem) -> None:
            system.fleet.event_seconds = 0.9
            system.fleet.events = 2
            request = system.request(STREAM)
            caller = await system.ask(request)
            assert_whole(caller, request, 2)
            assert len(system.fleet.runs_of(request.id)) == 1

        run_scenario(work)


class TestLaggingEntry:
    """An entry whose event loop lags does not treat engines as failed."""

    def test_own_lag_does_not_count_as_silent_engines(self) -> None:
        async def work(system: fleet_system.FleetSystem) -> None:
            request = system.request(STREAM)

            async def block_loop() -> None:
                # The process is blocked while an engine's answer to a probe
                # is due.
                loop = asyncio.get_running_loop()
                assert isinstance(loop, virtual.VirtualLoop)
                while not system.monitor.is_probing:
                    await anyio.sleep(0.0002)
                loop.pass_time(0.08)

            system.fleet.event_seconds = 0.15
            callers: list[fleet_system.Caller] = []

            async def ask() -> None:
                callers.append(await system.ask(request))

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(ask)
                tasks.start_soon(block_loop)
            assert_whole(callers[0], request, system.fleet.events)
            assert len(system.fleet.runs_of(request.id)) == 1
            assert system.registry.failed() == ()

        run_scenario(work)


class TestOverloadedEntry:
    """An entry whose event loop lags too much for its load."""

    async def lag(self, seconds: float) -> None:
        loop = asyncio.get_running_loop()
        assert isinstance(loop, virtual.VirtualLoop)
        await anyio.sleep(0.05)
        loop.pass_time(seconds)
        await anyio.sleep(0.0)

    def test_new_requests_are_refused_as_not_run(self) -> None:
        async def work(system: fleet_system.FleetSystem) -> None:
            await self.lag(0.3)
            request = system.request(STREAM)
            caller = await system.ask(request)
            assert caller.error is not None
            assert caller.error.code is errors.Code.OVERLOADED
            assert caller.error.verdict is verdicts.Verdict.NOT_RUN
            assert caller.error.retry_after
            assert system.fleet.runs_of(request.id) == []
            await anyio.sleep(loop_lag.RECENT_SECONDS + 0.1)
            later = system.request(STREAM)
            assert_whole(await system.ask(later), later, system.fleet.events)

        run_scenario(work)

    def test_streams_in_progress_continue(self) -> None:
        async def work(system: fleet_system.FleetSystem) -> None:
            request = system.request(STREAM)
            callers: list[fleet_system.Caller] = []

            async def ask() -> None:
                callers.append(await system.ask(request))

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(ask)
                await self.lag(0.3)
            assert_whole(callers[0], request, system.fleet.events)

        run_scenario(work)

    def test_further_attempts_wait_for_the_lag_to_pass(self) -> None:
        async def work(system: fleet_system.FleetSystem) -> None:
            for name in ("plateau-0-0", "plateau-1-0"):
                system.fleet.at(
                    system.listed[name].address
                ).rejected_requests = 1
            loop = asyncio.get_running_loop()
            assert isinstance(loop, virtual.VirtualLoop)
            callers: list[fleet_system.Caller] = []

            async def ask() -> None:
                callers.append(await system.ask(system.request(STREAM)))

            await anyio.sleep(0.05)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(ask)
                await anyio.sleep(0.0005)
                loop.pass_time(0.3)
                late_at = anyio.current_time()
            assert callers[0].times[0] - late_at >= 0.25

        run_scenario(work)

    def test_connect_timeout_is_extended(self) -> None:
        # Otherwise healthy connections time out and are opened again.
        async def work(system: fleet_system.FleetSystem) -> None:
            await anyio.sleep(0.1)
            usual = system.context.connect_seconds
            await self.lag(0.4)
            assert system.context.connect_seconds >= usual + 0.75

        run_scenario(work)


class TestFailedFirstEngine:
    """A stream's first engine fails."""

    @pytest.mark.parametrize("fault", ["is_dead", "is_unresponsive"])
    def test_stream_is_resumed_at_another(self, fault: str) -> None:
        async def work(system: fleet_system.FleetSystem) -> None:
            request = system.request(STREAM)

            def inject_fault() -> None:
                setattr(path_of(system, request)[0], fault, True)

            caller = await ask_with_fault(system, request, 0.15, inject_fault)
            assert_whole(caller, request, system.fleet.events)
            runs = system.fleet.runs_of(request.id)
            assert len(runs) == 2
            assert runs[1].last_event_id > 0

        run_scenario(work)

    def test_started_stream_waits_for_the_retry_budget(self) -> None:
        # Ending the stream would lose an answer that has started.
        async def work(system: fleet_system.FleetSystem) -> None:
            budget = system.context.budget(fleet_system.MODEL)
            while fleet_system.spend_retry(budget):
                pass
            await anyio.sleep(9.2)
            request = system.request(STREAM)

            def inject_fault() -> None:
                path_of(system, request)[0].is_dead = True

            caller = await ask_with_fault(system, request, 0.15, inject_fault)
            assert_whole(caller, request, system.fleet.events)
            assert caller.longest_pause > 0.5

        run_scenario(work)

    def test_started_stream_tolerates_more_refusals(self) -> None:
        async def work(system: fleet_system.FleetSystem) -> None:
            request = system.request(STREAM)

            def inject_fault() -> None:
                head = path_of(system, request)[0]
                head.is_dead = True
                for upstream in system.listed.values():
                    if (
                        upstream.name.endswith("-0")
                        and upstream != head.listed
                    ):
                        system.fleet.at(upstream.address).rejected_requests = 2

            caller = await ask_with_fault(system, request, 0.15, inject_fault)
            assert_whole(caller, request, system.fleet.events)
            rejected = sum(system.fleet.rejection_counts.values())
            assert rejected > streams.MAX_REFUSALS

        run_scenario(work)

    def test_stream_that_is_not_resumable_ends(self) -> None:
        async def work(system: fleet_system.FleetSystem) -> None:
            route = fleet_system.make_route(STREAM, is_resumable=False)
            system.install(fleet_system.make_config(2, (route,)))
            request = system.request(STREAM)

            def inject_fault() -> None:
                path_of(system, request)[0].is_dead = True

            caller = await ask_with_fault(system, request, 0.15, inject_fault)
            assert not caller.is_complete
            assert caller.error is not None
            assert caller.error.verdict is verdicts.Verdict.MAY_HAVE_RUN
            assert len(system.fleet.runs_of(request.id)) == 1

        run_scenario(work)

    def test_stream_broken_in_an_event_has_only_complete_events(self) -> None:
        async def work(system: fleet_system.FleetSystem) -> None:
            for target in list(system.listed.values()):
                system.fleet.at(target.address).break_stream_after = 5
            request = system.request(STREAM)
            caller = await system.ask(request)
            assert not caller.is_complete or caller.body == (
                fleet_system.whole_answer(request.id, system.fleet.events)
            )
            events = caller.body.split(b"\n\n")
            assert events[-1] == b""

        run_scenario(work)

    def test_second_failure_is_rerouted_when_no_run_is_left(self) -> None:
        async def work(system: fleet_system.FleetSystem) -> None:
            for part, layers in enumerate(chain_fleet.split_layers(80, 4)):
                system.add(
                    fleet_system.upstream(
                        f"pikine-{part}",
                        "pikine",
                        (layers.first, layers.end),
                        "large",
                    )
                )
            system.fleet.events = 60
            request = system.request(STREAM)
            callers: list[fleet_system.Caller] = []

            async def ask() -> None:
                callers.append(await system.ask(request))

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(ask)
                for _ in range(2):
                    # The first engine stays healthy: a later engine of the
                    # path fails, and the zone has no replacement.
                    await anyio.sleep(0.3)
                    path_of(system, request)[2].is_unresponsive = True
            # After the first failure the stream restarts in another zone.
            # After the second no run is left, so its path is changed to pass
            # through the third zone.
            assert_whole(callers[0], request, 60)
            heads = {run.upstream for run in system.fleet.runs_of(request.id)}
            assert len(heads) == 2
            assert system.fleet.repaths == [request.id]

        run_scenario(work, copies=1)

    def test_stream_that_cannot_be_resumed_is_not_abandoned(self) -> None:
        # The first engine is silent, and the stream may run nowhere else.
        async def work(system: fleet_system.FleetSystem) -> None:
            route = fleet_system.make_route(STREAM, is_resumable=False)
            system.install(fleet_system.make_config(2, (route,)))
            system.fleet.events = 60
            ended: list[fleet_system.Caller] = []
            request = system.request(STREAM)

            async def ask() -> None:
                ended.append(await system.ask(request))

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(ask)
                await anyio.sleep(0.2)
                path_of(system, request)[0].is_unresponsive = True
                await anyio.sleep(1.0)
                tasks.cancel_scope.cancel()
            assert ended == []

        run_scenario(work)

    def test_briefly_silent_engine_counts_as_a_run(self) -> None:
        # Healthy engines may be silent because of packet loss. The request
        # must still not run at more engines than allowed.
        async def work(system: fleet_system.FleetSystem) -> None:
            system.fleet.events = 60
            request = system.request(STREAM, timeout_seconds=6.0)
            caller: list[fleet_system.Caller] = []

            async def ask() -> None:
                caller.append(await system.ask(request))

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(ask)
                for _ in range(2):
                    await anyio.sleep(0.3)
                    head = path_of(system, request)[0]
                    head.is_unresponsive = True
                    await anyio.sleep(0.3)
                    head.is_unresponsive = False
                await anyio.sleep(3.0)
                tasks.cancel_scope.cancel()
            assert len(system.fleet.runs_of(request.id)) == 2

        run_scenario(work, copies=2)

    def test_permanently_silent_engine_counts_as_a_run(self) -> None:
        # Both engines stay silent without having ended. The request must
        # still not run at more engines than allowed.
        async def work(system: fleet_system.FleetSystem) -> None:
            system.fleet.events = 150
            request = system.request(STREAM, timeout_seconds=8.0)

            async def silence_heads() -> None:
                for _ in range(2):
                    await anyio.sleep(0.3)
                    path_of(system, request)[0].is_unresponsive = True
                    await anyio.sleep(2.0)

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(system.ask, request)
                await silence_heads()
                await anyio.sleep(3.0)
                tasks.cancel_scope.cancel()
            assert len(system.fleet.runs_of(request.id)) == 2

        run_scenario(work, copies=3)

    def test_engine_that_resets_connections_counts_as_a_run(self) -> None:
        # A reset does not show that the engine ended.
        async def work(system: fleet_system.FleetSystem) -> None:
            for upstream in system.listed.values():
                system.fleet.at(upstream.address).break_stream_after = 3
            request = system.request(STREAM)

            async def reset_heads() -> None:
                while True:
                    await anyio.sleep(0.005)
                    for run in system.fleet.runs_of(request.id):
                        head = system.listed[run.upstream]
                        system.fleet.at(head.address).reset_connections = 5

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(reset_heads)
                await system.ask(request)
                tasks.cancel_scope.cancel()
            assert len(system.fleet.runs_of(request.id)) == 2

        run_scenario(work, copies=3)

    def test_engine_that_ended_does_not_count_as_a_run(self) -> None:
        async def work(system: fleet_system.FleetSystem) -> None:
            system.fleet.events = 60
            request = system.request(STREAM)
            caller: list[fleet_system.Caller] = []

            async def ask() -> None:
                caller.append(await system.ask(request))

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(ask)
                for _ in range(2):
                    await anyio.sleep(0.3)
                    path_of(system, request)[0].is_dead = True
            assert_whole(caller[0], request, 60)
            assert len(system.fleet.runs_of(request.id)) == 3

        run_scenario(work, copies=2)

    def test_full_engine_counts_as_a_run(self) -> None:
        async def work(system: fleet_system.FleetSystem) -> None:
            for upstream in system.listed.values():
                system.fleet.at(upstream.address).break_stream_after = 3
            request = system.request(STREAM)

            async def pause_first_engines() -> None:
                while True:
                    await anyio.sleep(0.005)
                    for run in system.fleet.runs_of(request.id):
                        system.registry.pause(run.upstream, 5.0, "full")

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(pause_first_engines)
                await system.ask(request)
                tasks.cancel_scope.cancel()
            heads = {run.upstream for run in system.fleet.runs_of(request.id)}
            assert len(heads) == 2

        run_scenario(work)

    def test_unreachable_first_engine_costs_no_budget(self) -> None:
        async def work(system: fleet_system.FleetSystem) -> None:
            for name, upstream in system.listed.items():
                if name == "plateau-0-0":
                    system.fleet.at(upstream.address).is_dead = True
            budget = system.context.budget(fleet_system.MODEL)
            before = budget.remaining
            request = system.request(STREAM)
            caller = await system.ask(request)
            assert_whole(caller, request, system.fleet.events)
            assert budget.remaining >= before

        run_scenario(work)

    def test_engine_stays_usable_after_one_lost_answer(self) -> None:
        async def work(system: fleet_system.FleetSystem) -> None:
            head = system.listed["plateau-0-0"]
            system.fleet.at(head.address).lost_answers = 1
            caller = await system.ask(system.request(STREAM))
            assert caller.is_complete
            assert system.registry.is_usable(head.name)

        run_scenario(work)


class TestRefusal:
    """Requests that engines refuse or cannot serve."""

    def test_another_first_engine_is_tried(self) -> None:
        async def work(system: fleet_system.FleetSystem) -> None:
            for upstream in system.listed.values():
                if upstream.name == "plateau-0-0":
                    system.fleet.at(upstream.address).rejected_requests = 1
            request = system.request(STREAM)
            caller = await system.ask(request)
            assert_whole(caller, request, system.fleet.events)

        run_scenario(work)

    def test_refusal_counts_against_the_paths_engine_with_that_address(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        # The engine's listing may be gone, or its address reused, before the
        # refusal arrives. The refusal must not count against the first engine.
        async def work(system: fleet_system.FleetSystem) -> None:
            stale = system.fleet.at(system.listed["plateau-0-2"].address)
            stale.listed = attrs.evolve(stale.listed, layers=None)
            monkeypatch.setattr(
                system.registry, "find_by_address", lambda _: None
            )
            for _ in range(3):
                caller = await system.ask(system.request(STREAM))
                assert caller.is_complete
            assert not system.registry.is_usable("plateau-0-2")
            assert system.registry.is_usable("plateau-0-0")
            assert system.registry.is_usable("plateau-1-0")

        run_scenario(work)

    def test_engine_that_refused_is_avoided_by_later_streams(self) -> None:
        async def work(system: fleet_system.FleetSystem) -> None:
            stale = system.fleet.at(system.listed["plateau-0-2"].address)
            # It dropped its layers, and its listing is outdated.
            stale.listed = attrs.evolve(stale.listed, layers=None)
            for _ in range(3):
                caller = await system.ask(system.request(STREAM))
                assert caller.is_complete
            assert sum(system.fleet.rejection_counts.values()) <= 1

        run_scenario(work)

    def test_without_a_path_the_request_has_not_run(self) -> None:
        async def work(system: fleet_system.FleetSystem) -> None:
            for upstream in list(system.listed.values()):
                system.list_instance(attrs.evolve(upstream, is_leaving=True))
            await anyio.sleep(1.1)
            began = anyio.current_time()
            request = system.request(STREAM)
            caller = await system.ask(request)
            assert caller.error is not None
            assert caller.error.code is errors.Code.NO_PATH
            assert caller.error.verdict is verdicts.Verdict.NOT_RUN
            assert caller.error.retry_after
            assert requests.status_of(caller.error) == 503
            # Early enough for the caller to retry before its deadline.
            assert anyio.current_time() - began < 0.125 + 0.05

        run_scenario(work)

    def test_leaving_engine_is_used_only_without_another_path(self) -> None:
        async def work(system: fleet_system.FleetSystem) -> None:
            for upstream in list(system.listed.values()):
                if upstream.name in ("plateau-0-2", "plateau-1-2"):
                    system.list_instance(
                        attrs.evolve(upstream, is_leaving=True)
                    )
            first = system.request(STREAM)
            assert_whole(await system.ask(first), first, system.fleet.events)
            for upstream in list(system.listed.values()):
                if upstream.name.startswith("almadies"):
                    system.list_instance(
                        attrs.evolve(upstream, is_leaving=True)
                    )
            last = system.request(STREAM)
            assert_whole(await system.ask(last), last, system.fleet.events)
            zones = [
                {
                    hop.listed.availability_zone
                    for hop in path_of(system, request)
                }
                for request in (first, last)
            ]
            assert zones == [{"almadies"}, {"plateau"}]

        run_scenario(work)

    def test_answer_to_another_request_is_not_forwarded(self) -> None:
        async def work(system: fleet_system.FleetSystem) -> None:
            for upstream in system.listed.values():
                system.fleet.at(upstream.address).misattributed_answers = 1
            request = system.request(STREAM)
            caller = await system.ask(request)
            if caller.body:
                assert_whole(caller, request, system.fleet.events)
            else:
                assert caller.error is not None

        run_scenario(work)
