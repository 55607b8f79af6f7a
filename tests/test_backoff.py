# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Instances that ask for rest, or say in their answers that they leave.

What callers saw: calls that may go to one instance only were refused for
eight seconds, while two of the service's three instances were free. The
order of events: one instance turned a call away and asked for three seconds
of rest. The entry sent it the next call 0.3 s later, and four more.
"""

import random
import typing

import anyio
import attrs
import pytest

from crowdeck import chain
from crowdeck.membership import leaving_instances
from crowdeck.membership import upstreams as registries
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
REST_SECONDS = 3.0
# What was sent before the answer came may still arrive.
SLACK_SECONDS = 0.5
# After an instance said that it leaves, a request that comes later than this
# may not reach it.
LEAVING_SECONDS = 2.0
PROFILE = fleet_system.PROFILE

System = fleet_system.FleetSystem
Work = typing.Callable[[System], typing.Awaitable[None]]


def play(work: Work, plain: int = 3) -> None:
    """Play ``work`` on engines in two zones and some plain instances."""

    async def body() -> None:
        system = System(name="entry")
        system.install(system.config)
        system.add_model(copies=2)
        for number in range(plain):
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
    step: float = 0.05,
) -> list[fleet_system.Caller]:
    """Send requests for a while; returns what came of them."""
    told: list[fleet_system.Caller] = []

    async def ask() -> None:
        told.append(await system.ask(system.request(repeat)))

    async with anyio.create_task_group() as tasks:
        until = anyio.current_time() + seconds
        while anyio.current_time() < until:
            tasks.start_soon(ask)
            await anyio.sleep(step)
    return told


def sent(
    system: System,
    upstream: chain.Upstream,
    since: float,
    until: float = float("inf"),
) -> list[chain_fleet.Arrival]:
    """Return what an instance was sent within a span."""
    return [
        one
        for one in system.client.arrivals
        if one.upstream == upstream.name and since <= one.at < until
    ]


def busiest(system: System) -> chain_fleet.StandinUpstream:
    """Return the instance that got most requests so far."""
    counts: dict[str, int] = {}
    for one in system.client.arrivals:
        counts[one.upstream] = counts.get(one.upstream, 0) + 1
    name = max(counts, key=lambda one: counts[one])
    return system.fleet.at(system.listed[name].address)


class TestRest:
    """An instance that turns a request away and asks for rest."""

    @pytest.mark.parametrize("repeat", [STREAM, ONCE, IDEMPOTENT])
    def test_is_sent_nothing_for_so_long(
        self, repeat: routes.RepeatPolicy
    ) -> None:
        async def work(system: System) -> None:
            await send(system, repeat, 1.0)
            target = busiest(system)
            target.backoff = REST_SECONDS
            target.rejected_requests = 1
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(send, system, repeat, 6.0)
                while target.rejected_requests:
                    await anyio.sleep(0.001)
                asked_at = anyio.current_time()
            until = asked_at + REST_SECONDS - 0.002
            since = asked_at + SLACK_SECONDS
            assert not sent(system, target.listed, since, until)

        play(work)

    @pytest.mark.parametrize("repeat", [STREAM, ONCE, IDEMPOTENT])
    def test_is_used_again_afterwards(
        self, repeat: routes.RepeatPolicy
    ) -> None:
        async def work(system: System) -> None:
            for one in system.fleet.upstreams:
                # So long that all are needed.
                one.seconds = 0.5
            await send(system, repeat, 1.0)
            target = busiest(system)
            target.backoff = REST_SECONDS
            target.rejected_requests = 1
            await send(system, repeat, REST_SECONDS + 1.0)
            since = anyio.current_time()
            await send(system, repeat, 2.0)
            assert sent(system, target.listed, since)

        play(work)

    def test_a_shorter_time_takes_nothing_back(self) -> None:
        async def work(system: System) -> None:
            one = next(iter(system.listed.values()))
            system.registry.back_off(one.name, REST_SECONDS)
            system.registry.back_off(one.name, 0.1)
            await anyio.sleep(REST_SECONDS - 0.1)
            assert not system.registry.is_usable(one.name)
            await anyio.sleep(0.2)
            assert system.registry.is_usable(one.name)

        play(work)

    def test_only_the_entry_that_was_asked_leaves_it_alone(self) -> None:
        async def work(system: System) -> None:
            other = System(system.fleet, "other")
            other.install(other.config)
            for one in system.listed.values():
                other.list_instance(one)
            first = next(iter(system.listed.values()))
            system.registry.back_off(first.name, REST_SECONDS)
            assert not system.registry.is_usable(first.name)
            assert other.registry.is_usable(first.name)

        play(work)

    @pytest.mark.parametrize("repeat", [STREAM, ONCE, IDEMPOTENT])
    def test_all_want_rest_and_callers_are_told_when_to_come_back(
        self, repeat: routes.RepeatPolicy
    ) -> None:
        async def work(system: System) -> None:
            for one in system.listed.values():
                system.registry.back_off(one.name, REST_SECONDS)
            (told,) = await send(system, repeat, 0.01)
            assert told.error is not None
            assert told.error.verdict is verdicts.Verdict.NOT_RUN
            # At once, and not before they can be served.
            assert anyio.current_time() < 0.2
            comes_back = told.error.retry_after
            assert comes_back is not None
            assert REST_SECONDS - 0.1 <= comes_back <= REST_SECONDS + 1.0
            await anyio.sleep(comes_back)
            (again,) = await send(system, repeat, 0.01)
            assert again.error is None

        play(work)

    @pytest.mark.parametrize("repeat", [STREAM, ONCE])
    def test_a_rest_that_is_nearly_over_is_waited_out(
        self, repeat: routes.RepeatPolicy
    ) -> None:
        async def work(system: System) -> None:
            for one in system.listed.values():
                system.registry.back_off(one.name, 0.2)
            (told,) = await send(system, repeat, 0.01)
            assert told.error is None

        play(work)

    def test_a_stream_that_it_serves_goes_on(self) -> None:
        async def work(system: System) -> None:
            system.fleet.events = 150
            request = system.request(STREAM)
            async with anyio.create_task_group() as tasks:
                caller = fleet_system.Caller()
                tasks.start_soon(system.relay.serve, request, caller)
                await anyio.sleep(0.5)
                for one in system.listed.values():
                    system.registry.back_off(one.name, REST_SECONDS)
            whole = fleet_system.whole_answer(request.id, 150)
            assert caller.body == whole
            assert not system.fleet.repaths

        play(work)

    def test_is_asked_once_for_a_stream_that_falls_silent(self) -> None:
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
                system.registry.back_off(head.listed.name, REST_SECONDS)
                since = anyio.current_time()
                second.is_unresponsive = True
            whole = fleet_system.whole_answer(request.id, 150)
            assert caller.body == whole
            until = since + REST_SECONDS
            assert len(sent(system, head.listed, since, until)) <= 1
            assert caller.longest_pause < 0.5

        play(work)

    def test_each_time_of_rest_has_a_question_of_its_own(self) -> None:
        async def work(system: System) -> None:
            one = next(iter(system.listed.values()))
            for _ in range(2):
                system.registry.back_off(one.name, REST_SECONDS)
                assert system.registry.may_probe(one.name)
                assert not system.registry.may_probe(one.name)
                await anyio.sleep(REST_SECONDS)

        play(work)

    def test_one_that_refuses_without_a_time_is_no_favourite(self) -> None:
        async def work(system: System) -> None:
            await send(system, ONCE, 1.0)
            target = busiest(system)
            target.rejected_requests = 1000
            told = await send(system, ONCE, 5.0)
            refused = [one for one in told if one.error is not None]
            # One in two seconds at the most, as its failure is forgotten.
            assert len(refused) <= 3

        play(work)

    def test_one_that_also_leaves_is_no_last_resort(self) -> None:
        async def work(system: System) -> None:
            one = next(iter(system.listed.values()))
            system.registry.note_leaving(one.name)
            assert system.registry.usable_while_leaving(one.service)
            system.registry.back_off(one.name, REST_SECONDS)
            assert not system.registry.usable_while_leaving(one.service)

        play(work)

    def test_is_not_asked_when_all_are(self) -> None:
        async def work(system: System) -> None:
            lost, resting, *_ = system.listed.values()
            asked = chain_fleet.FleetClient(system.fleet)
            watch = failure_detector.FailureDetector(
                system.registry, asked, lambda: system.config.services
            )
            system.fleet.at(lost.address).is_dead = True
            system.registry.avoid(lost.name, "silent")
            system.registry.back_off(resting.name, REST_SECONDS)
            for _ in range(failure_detector.FAILURE_THRESHOLD_PROBES + 1):
                await watch.check()
            names = {one.upstream for one in asked.arrivals}
            assert len(names) > 2
            assert resting.name not in names

        play(work)

    def test_one_that_failed_is_not_asked_whether_it_is_back(self) -> None:
        async def work(system: System) -> None:
            one = next(iter(system.listed.values()))
            system.registry.avoid(one.name, "silent")
            system.registry.back_off(one.name, REST_SECONDS)
            await anyio.sleep(REST_SECONDS - 0.1)
            assert not system.client.arrivals
            await anyio.sleep(1.0)
            assert system.client.arrivals
            assert system.registry.is_usable(one.name)

        play(work)

    def test_is_no_loss_for_the_placement(self) -> None:
        async def work(system: System) -> None:
            one = next(iter(system.listed.values()))
            asked = chain_fleet.FleetClient(system.fleet)
            watch = failure_detector.FailureDetector(
                system.registry, asked, lambda: system.config.services
            )
            system.registry.avoid(one.name, "silent")
            system.registry.back_off(one.name, REST_SECONDS)
            for _ in range(failure_detector.FAILURE_THRESHOLD_PROBES + 1):
                await watch.check()
            assert not asked.arrivals
            assert not watch.is_lost(one.name)

        play(work)

    def test_is_given_no_orders(self) -> None:
        async def work(system: System) -> None:
            for target in system.fleet.upstreams:
                target.listed = attrs.evolve(target.listed, layers=None)
                system.list_instance(target.listed)
            ordered = system.fleet.upstreams[0]
            system.registry.back_off(ordered.listed.name, 8.0)
            duty = controllers.PlacementController(
                typing.cast(leases.Lease, test_placement._Lease()),
                system.registry,
                system.fleet,
                lambda: (routes.Service(fleet_system.MODEL, 100, PROFILE),),
            )
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(duty.run)
                await anyio.sleep(6.0)
                assert not ordered.orders_taken
                assert any(one.orders_taken for one in system.fleet.upstreams)
                await anyio.sleep(6.0)
                assert ordered.orders_taken
                tasks.cancel_scope.cancel()

        play(work)

    def test_callers_are_served_by_the_others(self) -> None:
        async def work(system: System) -> None:
            await send(system, ONCE, 1.0)
            target = busiest(system)
            target.backoff = REST_SECONDS
            target.rejected_requests = 1000
            told = await send(system, ONCE, 9.0)
            refused = [one for one in told if one.error is not None]
            # One each time that it is asked again.
            assert len(refused) <= 3

        play(work)


class TestShareAfterRest:
    """An instance of two whose rest is over.

    What was seen: it got its first call 3.7 s after it had asked for 3 s,
    and a tenth of its share for ten seconds more. The refusal in which it
    asked for rest was counted as a failure of the instance, which is
    forgotten by half in 2 s; while little is asked any cost decides. With
    the refusal not counted it was used at once.
    """

    # Few calls at a time, where whoever costs a little less gets them all.
    @pytest.mark.parametrize("rate", [10.0, 20.0, 40.0])
    @pytest.mark.parametrize("seed", range(4))
    def test_it_has_it_again_within_a_second(
        self, rate: float, seed: int
    ) -> None:
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
            target.backoff = REST_SECONDS
            target.rejected_requests = 1
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(call, system, 8.0)
                while target.rejected_requests:
                    await anyio.sleep(0.001)
                over = anyio.current_time() + REST_SECONDS
            first = sent(system, target.listed, over - 0.002)[0]
            assert first.at <= over + 1.0
            since, until = over + 1.0, over + 3.0
            count = len(sent(system, target.listed, since, until))
            whole = sum(
                since <= one.at < until for one in system.client.arrivals
            )
            # Of two it has half; half of that more or less at the most.
            assert 0.25 <= count / whole <= 0.75

        play(work, plain=2)


class TestLeaving:
    """An instance that says only in its answers that it leaves."""

    @pytest.mark.parametrize("repeat", [STREAM, ONCE, IDEMPOTENT])
    def test_is_sent_no_later_request(
        self, repeat: routes.RepeatPolicy
    ) -> None:
        async def work(system: System) -> None:
            await send(system, repeat, 1.0)
            target = busiest(system)
            target.announces_leaving = True
            said_at = anyio.current_time()
            told = await send(system, repeat, 5.0)
            late = [
                one
                for one in sent(system, target.listed, said_at)
                if one.what is chain_fleet.CallKind.REQUEST
                and one.arrived > said_at + LEAVING_SECONDS
            ]
            assert not late
            assert all(one.error is None for one in told)

        play(work)

    def test_stays_so_whatever_its_entry_says(self) -> None:
        async def work(system: System) -> None:
            one = next(iter(system.listed.values()))
            system.registry.note_leaving(one.name)
            assert not system.registry.is_usable(one.name)
            system.list_instance(one)
            system.list_instance(attrs.evolve(one, slots=one.slots + 1))
            assert not system.registry.is_usable(one.name)

        play(work)

    def test_one_whose_entry_lapsed_is_dropped_all_the_same(self) -> None:
        async def work(system: System) -> None:
            one = next(iter(system.listed.values()))
            system.registry.set_store_failure_source(anyio.current_time)
            system.registry.on_changed((), (one.incarnation.id,))
            system.registry.note_leaving(one.name)
            await anyio.sleep(registries.LAPSE_SECONDS + 0.1)
            assert one.name not in {
                it.name for it in system.registry.listed(one.service)
            }

        play(work)

    def test_stays_so_though_its_entry_goes_and_comes_again(self) -> None:
        async def work(system: System) -> None:
            one = next(iter(system.listed.values()))
            system.registry.note_leaving(one.name)
            system.registry.on_changed((), (one.incarnation.id,))
            await anyio.sleep(LEAVING_SECONDS)
            system.list_instance(one)
            assert not system.registry.is_usable(one.name)
            assert one.name not in {
                it.name
                for it in system.registry.usable_while_leaving(one.service)
            }

        play(work)

    def test_remembers_only_so_many(self) -> None:
        async def work(system: System) -> None:
            for number in range(leaving_instances.LEAVERS_MOST + 5):
                system.registry.note_leaving(f"gone-{number}")
            assert (
                len(system.registry._leavers) == leaving_instances.LEAVERS_MOST
            )

        play(work)

    def test_another_run_of_it_does_not_leave(self) -> None:
        async def work(system: System) -> None:
            one = next(iter(system.listed.values()))
            system.registry.note_leaving(one.name)
            incarnation = chain.Incarnation(one.incarnation.id, 5)
            system.list_instance(
                attrs.evolve(
                    one,
                    name=incarnation.name,
                    instance_id=incarnation.id,
                    started_ms=incarnation.started_ms,
                )
            )
            assert system.registry.is_usable(incarnation.name)

        play(work)

    def test_a_question_is_answered_with_it_as_well(self) -> None:
        async def work(system: System) -> None:
            one = next(iter(system.listed.values()))
            system.fleet.at(one.address).announces_leaving = True
            await system.client.report(one)
            assert not system.registry.is_usable(one.name)

        play(work)

    def test_no_path_goes_through_it(self) -> None:
        async def work(system: System) -> None:
            passed = [
                one for one in system.listed.values() if "-1" in one.name
            ]
            for one in passed:
                system.registry.note_leaving(one.name)
            await anyio.sleep(LEAVING_SECONDS)
            await send(system, STREAM, 1.0)
            for run in system.fleet.runs:
                for one in passed:
                    assert f"{one.address}=" not in run.path

        play(work)
