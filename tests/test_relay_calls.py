# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Calls to plain services through the relay."""

import typing

import anyio
import attrs
import pytest

from crowdeck import errors
from crowdeck.relay import request as requests
from crowdeck import route as routes
from crowdeck import verdict as verdicts
from tests import fleet_system
from tests import virtual

ONCE = routes.RepeatPolicy.ONCE
IDEMPOTENT = routes.RepeatPolicy.IDEMPOTENT


def run_scenario(
    work: typing.Callable[[fleet_system.FleetSystem], typing.Awaitable[None]],
    instances: int = 3,
) -> None:
    """Run ``work`` on a system with instances of a plain service."""

    async def body() -> None:
        system = fleet_system.FleetSystem()
        system.install(system.config)
        for number in range(instances):
            system.add(
                fleet_system.upstream(
                    f"records-{number}", service=fleet_system.PLAIN
                )
            )
        await fleet_system.run_with(system, work)

    virtual.run(body)


def set_state(system: fleet_system.FleetSystem, **state: typing.Any) -> None:
    for upstream in system.listed.values():
        target = system.fleet.at(upstream.address)
        for name, value in state.items():
            setattr(target, name, value)


class TestNonRepeatableCall:
    """A call that must run at most once."""

    def test_lost_answer_is_not_retried(self) -> None:
        async def work(system: fleet_system.FleetSystem) -> None:
            set_state(system, lost_answers=1)
            request = system.request(ONCE)
            caller = await system.ask(request)
            assert len(system.fleet.runs_of(request.id)) == 1
            assert caller.error is not None
            assert caller.error.verdict is verdicts.Verdict.MAY_HAVE_RUN
            assert requests.status_of(caller.error) == 502

        run_scenario(work)

    def test_silent_instance_ends_at_the_routes_timeout(self) -> None:
        async def work(system: fleet_system.FleetSystem) -> None:
            set_state(system, call_seconds=60.0)
            request = system.request(ONCE)
            caller = await system.ask(request)
            assert anyio.current_time() <= 1.5
            assert caller.error is not None
            assert requests.status_of(caller.error) == 504
            assert len(system.fleet.runs_of(request.id)) == 1

        run_scenario(work)

    def test_refused_connection_is_retried_elsewhere(self) -> None:
        async def work(system: fleet_system.FleetSystem) -> None:
            first = next(iter(system.listed.values()))
            system.fleet.at(first.address).is_dead = True
            for _ in range(3):
                request = system.request(ONCE)
                caller = await system.ask(request)
                assert caller.status == 200
                assert len(system.fleet.runs_of(request.id)) == 1

        run_scenario(work)

    def test_answer_to_another_request_is_rejected(self) -> None:
        async def work(system: fleet_system.FleetSystem) -> None:
            set_state(system, misattributed_answers=1)
            caller = await system.ask(system.request(ONCE))
            assert caller.body == b""
            assert caller.error is not None
            assert requests.status_of(caller.error) == 502

        run_scenario(work)

    def test_upstream_error_is_forwarded(self) -> None:
        async def work(system: fleet_system.FleetSystem) -> None:
            set_state(system, failed_calls=1)
            request = system.request(ONCE)
            caller = await system.ask(request)
            assert caller.status == 500
            assert len(system.fleet.runs_of(request.id)) == 1

        run_scenario(work)

    def test_refused_by_all_instances(self) -> None:
        async def work(system: fleet_system.FleetSystem) -> None:
            set_state(system, rejected_requests=5)
            request = system.request(ONCE)
            caller = await system.ask(request)
            assert caller.error is not None
            assert requests.status_of(caller.error) == 503
            assert system.fleet.runs_of(request.id) == []

        run_scenario(work)


class TestRepeatableCall:
    """A call that may run more than once."""

    def test_lost_answer_is_retried_elsewhere(self) -> None:
        async def work(system: fleet_system.FleetSystem) -> None:
            first = next(iter(system.listed.values()))
            system.fleet.at(first.address).lost_answers = 1
            for _ in range(3):
                caller = await system.ask(system.request(IDEMPOTENT))
                assert caller.status == 200

        run_scenario(work)

    def test_upstream_error_is_retried_elsewhere(self) -> None:
        async def work(system: fleet_system.FleetSystem) -> None:
            first = next(iter(system.listed.values()))
            system.fleet.at(first.address).failed_calls = 1
            for _ in range(3):
                caller = await system.ask(system.request(IDEMPOTENT))
                assert caller.status == 200

        run_scenario(work)

    def test_upstream_error_is_kept_if_the_retry_is_lost(self) -> None:
        async def work(system: fleet_system.FleetSystem) -> None:
            set_state(system, failed_calls=1, lost_answers=0)
            request = system.request(IDEMPOTENT)

            async def lose_second_answer() -> None:
                while not system.fleet.runs:
                    await anyio.sleep(0.001)
                set_state(system, lost_answers=1)
                first = system.fleet.runs[0].upstream
                system.fleet.at(system.listed[first].address).lost_answers = 0

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(lose_second_answer)
                caller = await system.ask(request)
            assert len(system.fleet.runs_of(request.id)) == 2
            assert caller.status == 500

        run_scenario(work)

    def test_runs_at_no_more_instances_than_allowed(self) -> None:
        async def work(system: fleet_system.FleetSystem) -> None:
            set_state(system, lost_answers=9)
            request = system.request(IDEMPOTENT)
            caller = await system.ask(request)
            assert caller.error is not None
            assert len(system.fleet.runs_of(request.id)) == 2

        run_scenario(work)

    def test_silent_instance_leaves_time_for_another(self) -> None:
        async def work(system: fleet_system.FleetSystem) -> None:
            first = next(iter(system.listed.values()))
            system.fleet.at(first.address).call_seconds = 60.0
            for _ in range(3):
                request = system.request(IDEMPOTENT)
                caller = await system.ask(request)
                assert caller.status == 200

        run_scenario(work)

    def test_spent_budget_prevents_retries(self) -> None:
        async def work(system: fleet_system.FleetSystem) -> None:
            budget = system.context.budget(fleet_system.PLAIN)
            while fleet_system.spend_retry(budget):
                pass
            set_state(system, lost_answers=9)
            request = system.request(IDEMPOTENT)
            await system.ask(request)
            assert len(system.fleet.runs_of(request.id)) == 1

        run_scenario(work)


class TestAdmission:
    """Requests that are refused before any upstream is asked."""

    @pytest.mark.parametrize(
        ("change", "status"),
        [({"key": "wrong"}, 401), ({"host": "other"}, 404)],
    )
    def test_unknown_key_or_route(
        self, change: dict[str, str], status: int
    ) -> None:
        async def work(system: fleet_system.FleetSystem) -> None:
            request = attrs.evolve(system.request(ONCE), **change)
            caller = await system.ask(request)
            assert caller.error is not None
            assert requests.status_of(caller.error) == status
            # A newer config might know the key or the route.
            system.config_age_seconds = 4.0
            caller = await system.ask(request)
            assert caller.error is not None
            assert requests.status_of(caller.error) == 503

        run_scenario(work)

    def test_key_is_not_trusted_with_an_old_config(self) -> None:
        async def work(system: fleet_system.FleetSystem) -> None:
            system.config_age_seconds = 3.6
            request = system.request(ONCE)
            caller = await system.ask(request)
            assert caller.error is not None
            assert requests.status_of(caller.error) == 503
            assert caller.error.retry_after
            assert system.fleet.runs == []
            assert not system.relay.is_ready

        run_scenario(work)

    def test_is_not_ready_before_requests_are_refused(self) -> None:
        # Load balancers take up to two seconds to react.
        async def work(system: fleet_system.FleetSystem) -> None:
            assert system.relay.is_ready
            assert not system.relay.closes_connections
            system.config_age_seconds = 1.9
            assert not system.relay.is_ready
            assert system.relay.closes_connections
            caller = await system.ask(system.request(ONCE))
            assert caller.status == 200

        run_scenario(work)

    def test_refusal_by_one_entry_has_a_short_retry_delay(
        self,
    ) -> None:
        async def work(system: fleet_system.FleetSystem) -> None:
            system.config_age_seconds = 3.6
            caller = await system.ask(system.request(ONCE))
            assert caller.error is not None
            assert caller.error.retry_after is not None
            objective = fleet_system.make_route(ONCE).objective_seconds
            assert caller.error.retry_after <= objective / 2

        run_scenario(work)

    def test_anonymous_route_is_served_with_an_old_config(self) -> None:
        async def work(system: fleet_system.FleetSystem) -> None:
            route = fleet_system.make_route(ONCE, is_anonymous=True)
            system.install(fleet_system.make_config(2, (route,)))
            system.config_age_seconds = 60.0
            caller = await system.ask(system.request(ONCE, key=""))
            assert caller.status == 200

        run_scenario(work)

    def test_refused_before_the_first_config(self) -> None:
        async def body() -> None:
            system = fleet_system.FleetSystem()
            caller = await system.ask(system.request(ONCE))
            assert caller.error is not None
            assert requests.status_of(caller.error) == 503
            assert caller.error.retry_after

        virtual.run(body)

    def test_older_config_is_ignored(self) -> None:
        async def work(system: fleet_system.FleetSystem) -> None:
            system.install(fleet_system.make_config(9))
            system.install(fleet_system.make_config(8, ()))
            caller = await system.ask(system.request(ONCE))
            assert caller.status == 200
            table = system.holder.table
            assert table is not None and table.version == 9

        run_scenario(work)


class TestStatusOfErrors:
    """The HTTP status says whether a request may have run."""

    @pytest.mark.parametrize("code", list(errors.Code))
    def test_matches_the_verdict(self, code: errors.Code) -> None:
        for verdict in verdicts.Verdict:
            error = errors.CrowdeckError(code, "", verdict=verdict)
            status = requests.status_of(error)
            if verdict is verdicts.Verdict.NOT_RUN:
                assert status < 500 or status == 503
            else:
                assert status not in requests.NOT_RUN_STATUSES
                assert status >= 500
