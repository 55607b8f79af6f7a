# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Instances that request backoff, or announce that they are leaving.

Guards against requests to an instance during the backoff that it requested.
They would be refused although other instances are free.
"""

import random
import typing

import anyio
import attrs
import pytest

from crowdeck import chain
from crowdeck.membership import leaving_instances
from crowdeck.placement import controller as controllers
from crowdeck.placement import failure_detector
from crowdeck import route as routes
from crowdeck.standin import chain_fleet
from crowdeck.state import leases
from crowdeck import verdict as verdicts
from tests import fleet_system
from tests import test_placement
from tests import virtual

STREAM = routes.RepeatPolicy.STREAM
ONCE = routes.RepeatPolicy.ONCE
IDEMPOTENT = routes.RepeatPolicy.IDEMPOTENT
BACKOFF_SECONDS = 3.0
# Requests sent before the response arrived may reach the instance this much
# later.
IN_FLIGHT_SECONDS = 0.5
# No request may reach an instance later than this after it announced leaving.
LEAVING_SECONDS = 2.0
PROFILE = fleet_system.PROFILE

System = fleet_system.FleetSystem
Work = typing.Callable[[System], typing.Awaitable[None]]


def run_scenario(work: Work, plain_count: int = 3) -> None:
    """Run ``work`` with engines in two zones and some plain instances."""

    async def body() -> None:
        system = System(name="entry")
        system.install(system.config)
        system.add_model(copies=2)
        for number in range(plain_count):
            system.add(
                fleet_system.upstream(
                    f"records-{number}", service=fleet_system.PLAIN, card=""
                )
            )
        await fleet_system.run_with(system, work)

    virtual.run(body)


async def send(
    system: System,
    repeat: routes.RepeatPolicy,
    seconds: float,
    interval_seconds: float = 0.05,
) -> list[fleet_system.Caller]:
    """Send requests for a while; return their callers."""
    callers: list[fleet_system.Caller] = []

    async def ask() -> None:
        callers.append(await system.ask(system.request(repeat)))

    async with anyio.create_task_group() as tasks:
        until = anyio.current_time() + seconds
        while anyio.current_time() < until:
            tasks.start_soon(ask)
            await anyio.sleep(interval_seconds)
    return callers


def sent(
    system: System,
    upstream: chain.Upstream,
    since: float,
    until: float = float("inf"),
) -> list[chain_fleet.SentMessage]:
    """Return the messages sent to an instance in a time span."""
    return [
        message
        for message in system.client.sent_messages
        if message.upstream == upstream.name
        and since <= message.sent_at < until
    ]


def busiest(system: System) -> chain_fleet.StandinUpstream:
    """Return the instance that got the most requests so far."""
    counts: dict[str, int] = {}
    for message in system.client.sent_messages:
        counts[message.upstream] = counts.get(message.upstream, 0) + 1
    name = max(counts, key=lambda upstream: counts[upstream])
    return system.fleet.at(system.listed[name].address)


class TestBackoff:
    """An instance that refuses a request and requests backoff."""

    @pytest.mark.parametrize("repeat", [STREAM, ONCE, IDEMPOTENT])
    def test_gets_nothing_during_backoff(
        self, repeat: routes.RepeatPolicy
    ) -> None:
        async def work(system: System) -> None:
            await send(system, repeat, 1.0)
            target = busiest(system)
            target.backoff = BACKOFF_SECONDS
            target.rejected_requests = 1
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(send, system, repeat, 6.0)
                while target.rejected_requests:
                    await anyio.sleep(0.001)
                asked_at = anyio.current_time()
            until = asked_at + BACKOFF_SECONDS - 0.002
            since = asked_at + IN_FLIGHT_SECONDS
            assert not sent(system, target.listed, since, until)

        run_scenario(work)

    @pytest.mark.parametrize("repeat", [STREAM, ONCE, IDEMPOTENT])
    def test_is_used_again_after_backoff(
        self, repeat: routes.RepeatPolicy
    ) -> None:
        async def work(system: System) -> None:
            for upstream in system.fleet.upstreams:
                # Long enough that all instances are needed.
                upstream.call_seconds = 0.5
            await send(system, repeat, 1.0)
            target = busiest(system)
            target.backoff = BACKOFF_SECONDS
            target.rejected_requests = 1
            await send(system, repeat, BACKOFF_SECONDS + 1.0)
            since = anyio.current_time()
            await send(system, repeat, 2.0)
            assert sent(system, target.listed, since)

        run_scenario(work)

    def test_shorter_backoff_does_not_end_a_longer_one(self) -> None:
        async def work(system: System) -> None:
            upstream = next(iter(system.listed.values()))
            system.registry.back_off(upstream.name, BACKOFF_SECONDS)
            system.registry.back_off(upstream.name, 0.1)
            await anyio.sleep(BACKOFF_SECONDS - 0.1)
            assert not system.registry.is_usable(upstream.name)
            await anyio.sleep(0.2)
            assert system.registry.is_usable(upstream.name)

        run_scenario(work)

    def test_applies_only_to_the_entry_that_was_asked(self) -> None:
        async def work(system: System) -> None:
            other = System(system.fleet, "other")
            other.install(other.config)
            for upstream in system.listed.values():
                other.list_instance(upstream)
            first = next(iter(system.listed.values()))
            system.registry.back_off(first.name, BACKOFF_SECONDS)
            assert not system.registry.is_usable(first.name)
            assert other.registry.is_usable(first.name)

        run_scenario(work)

    @pytest.mark.parametrize("repeat", [STREAM, ONCE, IDEMPOTENT])
    def test_callers_get_retry_after_when_all_back_off(
        self, repeat: routes.RepeatPolicy
    ) -> None:
        async def work(system: System) -> None:
            for upstream in system.listed.values():
                system.registry.back_off(upstream.name, BACKOFF_SECONDS)
            (caller,) = await send(system, repeat, 0.01)
            assert caller.error is not None
            assert caller.error.verdict is verdicts.Verdict.NOT_RUN
            # The refusal is immediate, and a retry after the time in it is
            # served.
            assert anyio.current_time() < 0.2
            retry_after = caller.error.retry_after
            assert retry_after is not None
            assert (
                BACKOFF_SECONDS - 0.1 <= retry_after <= BACKOFF_SECONDS + 1.0
            )
            await anyio.sleep(retry_after)
            (again,) = await send(system, repeat, 0.01)
            assert again.error is None

        run_scenario(work)

    @pytest.mark.parametrize("repeat", [STREAM, ONCE])
    def test_request_waits_for_a_short_backoff(
        self, repeat: routes.RepeatPolicy
    ) -> None:
        async def work(system: System) -> None:
            for upstream in system.listed.values():
                system.registry.back_off(upstream.name, 0.2)
            (caller,) = await send(system, repeat, 0.01)
            assert caller.error is None

        run_scenario(work)

    def test_running_stream_is_not_interrupted(self) -> None:
        async def work(system: System) -> None:
            system.fleet.events = 150
            request = system.request(STREAM)
            async with anyio.create_task_group() as tasks:
                caller = fleet_system.Caller()
                tasks.start_soon(system.relay.serve, request, caller)
                await anyio.sleep(0.5)
                for upstream in system.listed.values():
                    system.registry.back_off(upstream.name, BACKOFF_SECONDS)
            whole = fleet_system.whole_answer(request.id, 150)
            assert caller.body == whole
            assert not system.fleet.repaths

        run_scenario(work)

    def test_is_contacted_once_for_a_stalled_stream(self) -> None:
        async def work(system: System) -> None:
            system.fleet.events = 150
            request = system.request(STREAM)
            caller = fleet_system.Caller()
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(system.relay.serve, request, caller)
                await anyio.sleep(0.5)
                (run,) = system.fleet.runs
                head = system.fleet.at(run.path.split("=")[0])
                second = system.fleet.at(
                    run.path.split(",")[1].partition("=")[0]
                )
                system.registry.back_off(head.listed.name, BACKOFF_SECONDS)
                since = anyio.current_time()
                second.is_unresponsive = True
            whole = fleet_system.whole_answer(request.id, 150)
            assert caller.body == whole
            until = since + BACKOFF_SECONDS
            assert len(sent(system, head.listed, since, until)) <= 1
            assert caller.longest_pause < 0.5

        run_scenario(work)

    def test_each_backoff_allows_one_probe(self) -> None:
        async def work(system: System) -> None:
            upstream = next(iter(system.listed.values()))
            for _ in range(2):
                system.registry.back_off(upstream.name, BACKOFF_SECONDS)
                assert system.registry.claim_probe(upstream.name)
                assert not system.registry.claim_probe(upstream.name)
                await anyio.sleep(BACKOFF_SECONDS)

        run_scenario(work)

    def test_instance_that_refuses_without_backoff_gets_few_requests(
        self,
    ) -> None:
        async def work(system: System) -> None:
            await send(system, ONCE, 1.0)
            target = busiest(system)
            target.rejected_requests = 1000
            callers = await send(system, ONCE, 5.0)
            refused = [
                caller for caller in callers if caller.error is not None
            ]
            # At most one every two seconds, the half-life of the failure rate.
            assert len(refused) <= 3

        run_scenario(work)

    def test_leaving_instance_gets_nothing_during_backoff(self) -> None:
        async def work(system: System) -> None:
            upstream = next(iter(system.listed.values()))
            system.registry.note_leaving(upstream.name)
            assert system.registry.usable_while_leaving(upstream.service)
            system.registry.back_off(upstream.name, BACKOFF_SECONDS)
            assert not system.registry.usable_while_leaving(upstream.service)

        run_scenario(work)

    def test_is_skipped_when_all_instances_are_probed(self) -> None:
        async def work(system: System) -> None:
            lost, backing_off, *_ = system.listed.values()
            client = chain_fleet.FleetClient(system.fleet)
            detector = failure_detector.FailureDetector(
                system.registry, client, lambda: system.config.services
            )
            system.fleet.at(lost.address).is_dead = True
            system.registry.avoid(lost.name, "silent")
            system.registry.back_off(backing_off.name, BACKOFF_SECONDS)
            for _ in range(failure_detector.FAILURE_THRESHOLD_PROBES + 1):
                await detector.check()
            names = {message.upstream for message in client.sent_messages}
            assert len(names) > 2
            assert backing_off.name not in names

        run_scenario(work)

    def test_failed_instance_is_not_probed_during_backoff(self) -> None:
        async def work(system: System) -> None:
            upstream = next(iter(system.listed.values()))
            system.registry.avoid(upstream.name, "silent")
            system.registry.back_off(upstream.name, BACKOFF_SECONDS)
            await anyio.sleep(BACKOFF_SECONDS - 0.1)
            assert not system.client.sent_messages
            await anyio.sleep(1.0)
            assert system.client.sent_messages
            assert system.registry.is_usable(upstream.name)

        run_scenario(work)

    def test_does_not_count_as_lost_for_placement(self) -> None:
        async def work(system: System) -> None:
            upstream = next(iter(system.listed.values()))
            client = chain_fleet.FleetClient(system.fleet)
            detector = failure_detector.FailureDetector(
                system.registry, client, lambda: system.config.services
            )
            system.registry.avoid(upstream.name, "silent")
            system.registry.back_off(upstream.name, BACKOFF_SECONDS)
            for _ in range(failure_detector.FAILURE_THRESHOLD_PROBES + 1):
                await detector.check()
            assert not client.sent_messages
            assert not detector.is_lost(upstream.name)

        run_scenario(work)

    def test_gets_no_placement_orders(self) -> None:
        async def work(system: System) -> None:
            for target in system.fleet.upstreams:
                target.listed = attrs.evolve(target.listed, layers=None)
                system.list_instance(target.listed)
            ordered = system.fleet.upstreams[0]
            system.registry.back_off(ordered.listed.name, 8.0)
            controller = controllers.PlacementController(
                typing.cast(leases.Lease, test_placement.FakeLease()),
                system.registry,
                system.fleet,
                lambda: (routes.Service(fleet_system.MODEL, 100, PROFILE),),
            )
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(controller.run)
                await anyio.sleep(6.0)
                assert not ordered.orders_taken
                assert any(
                    engine.orders_taken for engine in system.fleet.upstreams
                )
                await anyio.sleep(6.0)
                assert ordered.orders_taken
                tasks.cancel_scope.cancel()

        run_scenario(work)

    def test_callers_are_served_by_other_instances(self) -> None:
        async def work(system: System) -> None:
            await send(system, ONCE, 1.0)
            target = busiest(system)
            target.backoff = BACKOFF_SECONDS
            target.rejected_requests = 1000
            callers = await send(system, ONCE, 9.0)
            refused = [
                caller for caller in callers if caller.error is not None
            ]
            # At most one after each backoff.
            assert len(refused) <= 3

        run_scenario(work)


class TestShareAfterBackoff:
    """One of two instances, after its backoff.

    Guards against counting the refusal that requested backoff as a failure,
    which would keep the instance below its share of the load.
    """

    # At low rates a small difference in cost decides which instance is chosen.
    @pytest.mark.parametrize("rate", [10.0, 20.0, 40.0])
    @pytest.mark.parametrize("seed", range(4))
    def test_is_restored_within_a_second(self, rate: float, seed: int) -> None:
        rng = random.Random(seed)

        async def call(system: System, seconds: float) -> None:
            until = anyio.current_time() + seconds
            async with anyio.create_task_group() as tasks:
                while anyio.current_time() < until:
                    tasks.start_soon(system.ask, system.request(ONCE))
                    await anyio.sleep(rng.expovariate(rate))

        async def work(system: System) -> None:
            await call(system, 3.0 + rng.random())
            target = busiest(system)
            target.backoff = BACKOFF_SECONDS
            target.rejected_requests = 1
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(call, system, 8.0)
                while target.rejected_requests:
                    await anyio.sleep(0.001)
                backoff_ends_at = anyio.current_time() + BACKOFF_SECONDS
            first = sent(system, target.listed, backoff_ends_at - 0.002)[0]
            assert first.sent_at <= backoff_ends_at + 1.0
            since, until = backoff_ends_at + 1.0, backoff_ends_at + 3.0
            count = len(sent(system, target.listed, since, until))
            total = sum(
                since <= message.sent_at < until
                for message in system.client.sent_messages
            )
            assert 0.25 <= count / total <= 0.75

        run_scenario(work, plain_count=2)


class TestLeaving:
    """An instance that announces only in responses that it is leaving."""

    @pytest.mark.parametrize("repeat", [STREAM, ONCE, IDEMPOTENT])
    def test_gets_no_late_request(self, repeat: routes.RepeatPolicy) -> None:
        async def work(system: System) -> None:
            await send(system, repeat, 1.0)
            target = busiest(system)
            target.announces_leaving = True
            announced_at = anyio.current_time()
            callers = await send(system, repeat, 5.0)
            late = [
                message
                for message in sent(system, target.listed, announced_at)
                if message.kind is chain_fleet.MessageKind.REQUEST
                and message.request_arrived_at > announced_at + LEAVING_SECONDS
            ]
            assert not late
            assert all(caller.error is None for caller in callers)

        run_scenario(work)

    def test_overrides_its_store_record(self) -> None:
        async def work(system: System) -> None:
            upstream = next(iter(system.listed.values()))
            system.registry.note_leaving(upstream.name)
            assert not system.registry.is_usable(upstream.name)
            system.list_instance(upstream)
            system.list_instance(
                attrs.evolve(upstream, slots=upstream.slots + 1)
            )
            assert not system.registry.is_usable(upstream.name)

        run_scenario(work)

    def test_is_dropped_when_its_record_has_lapsed(self) -> None:
        async def work(system: System) -> None:
            upstream = next(iter(system.listed.values()))
            system.registry.set_store_failure_source(anyio.current_time)
            system.registry.on_changed((), (upstream.incarnation.id,))
            system.registry.note_leaving(upstream.name)
            await anyio.sleep(leaving_instances.LAPSE_SECONDS + 0.1)
            assert upstream.name not in {
                listed.name
                for listed in system.registry.listed(upstream.service)
            }

        run_scenario(work)

    def test_stays_leaving_when_its_record_is_written_again(self) -> None:
        async def work(system: System) -> None:
            upstream = next(iter(system.listed.values()))
            system.registry.note_leaving(upstream.name)
            system.registry.on_changed((), (upstream.incarnation.id,))
            await anyio.sleep(LEAVING_SECONDS)
            system.list_instance(upstream)
            assert not system.registry.is_usable(upstream.name)
            assert upstream.name not in {
                listed.name
                for listed in system.registry.usable_while_leaving(
                    upstream.service
                )
            }

        run_scenario(work)

    def test_number_of_remembered_instances_is_bounded(self) -> None:
        async def work(system: System) -> None:
            for number in range(leaving_instances.MAX_REMEMBERED + 5):
                system.registry.note_leaving(f"gone-{number}")
            assert (
                len(system.registry._leaving)
                == leaving_instances.MAX_REMEMBERED
            )

        run_scenario(work)

    def test_restarted_instance_is_not_leaving(self) -> None:
        async def work(system: System) -> None:
            upstream = next(iter(system.listed.values()))
            system.registry.note_leaving(upstream.name)
            incarnation = chain.Incarnation(upstream.incarnation.id, 5)
            system.list_instance(
                attrs.evolve(
                    upstream,
                    name=incarnation.name,
                    instance_id=incarnation.id,
                    started_ms=incarnation.started_ms,
                )
            )
            assert system.registry.is_usable(incarnation.name)

        run_scenario(work)

    def test_is_learned_from_a_report_too(self) -> None:
        async def work(system: System) -> None:
            upstream = next(iter(system.listed.values()))
            system.fleet.at(upstream.address).announces_leaving = True
            await system.client.report(upstream)
            assert not system.registry.is_usable(upstream.name)

        run_scenario(work)

    def test_no_path_goes_through_it(self) -> None:
        async def work(system: System) -> None:
            leaving = [
                upstream
                for upstream in system.listed.values()
                if "-1" in upstream.name
            ]
            for upstream in leaving:
                system.registry.note_leaving(upstream.name)
            await anyio.sleep(LEAVING_SECONDS)
            await send(system, STREAM, 1.0)
            for run in system.fleet.runs:
                for upstream in leaving:
                    assert f"{upstream.address}=" not in run.path

        run_scenario(work)
