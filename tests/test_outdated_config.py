# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""What a config may still decide that may be outdated.

A newer one may have removed a key, added it or given it to another team, so a
key decides nothing: requests that have one are refused as not run.
"""

import typing

import anyio
import attrs
import pytest

from crowdeck import errors
from crowdeck.observe import counters
from crowdeck.relay import request as requests
from crowdeck import route as routes
from crowdeck import verdict as verdicts
from tests import fleet_system
from tests import virtual

# Beyond and within the limit of ``FleetSystem``.
OUTDATED_SECONDS = 3.6
CURRENT_SECONDS = 3.4
TEAM_PRIORITY = 7
REPEAT_POLICIES = list(routes.RepeatPolicy)


def open_config(
    teams: tuple[routes.TeamKeys, ...] | None,
) -> routes.FleetConfig:
    """Return a config whose routes need no key."""
    config = fleet_system.make_config(
        config_routes=tuple(
            fleet_system.make_route(repeat, is_anonymous=True)
            for repeat in REPEAT_POLICIES
        )
    )
    return attrs.evolve(config, teams=teams)


TEAMS = (
    routes.TeamKeys("kiosks", frozenset({"secret"}), priority=TEAM_PRIORITY),
)


class TestOpenRoutes:
    """Routes that need no key."""

    @pytest.mark.parametrize("repeat", REPEAT_POLICIES)
    @pytest.mark.parametrize("teams", [TEAMS, (), None])
    @pytest.mark.parametrize("key", ["secret", "unknown"])
    @pytest.mark.parametrize("last_event_id", [-1, 3])
    def test_refuse_requests_with_a_key(
        self,
        repeat: routes.RepeatPolicy,
        teams: tuple[routes.TeamKeys, ...] | None,
        key: str,
        last_event_id: int,
    ) -> None:
        # Guards against a removed key that still names its team.
        async def work(system: fleet_system.FleetSystem) -> None:
            system.install(open_config(teams))
            system.config_age_seconds = OUTDATED_SECONDS
            request = system.request(
                repeat, key=key, last_event_id=last_event_id
            )
            await check_refused(system, request)

        run_with_fleet(work)

    @pytest.mark.parametrize("repeat", REPEAT_POLICIES)
    @pytest.mark.parametrize("teams", [TEAMS, (), None])
    def test_serve_requests_without_a_key(
        self,
        repeat: routes.RepeatPolicy,
        teams: tuple[routes.TeamKeys, ...] | None,
    ) -> None:
        # Guards against an outage of the store that ends open services.
        async def work(system: fleet_system.FleetSystem) -> None:
            system.install(open_config(teams))
            system.config_age_seconds = 3600.0
            request = system.request(repeat, key="")
            caller = await system.ask(request)
            assert caller.is_complete and caller.status == 200
            assert teams_of(system, request) == {""}

        run_with_fleet(work)

    @pytest.mark.parametrize("repeat", REPEAT_POLICIES)
    def test_name_the_team_while_the_config_is_current(
        self, repeat: routes.RepeatPolicy
    ) -> None:
        async def work(system: fleet_system.FleetSystem) -> None:
            system.install(open_config(TEAMS))
            system.config_age_seconds = CURRENT_SECONDS
            request = system.request(repeat)
            await system.ask(request)
            assert teams_of(system, request) == {"kiosks"}

        run_with_fleet(work)


class TestOtherRoutes:
    """Routes that need a key, and paths without a route."""

    @pytest.mark.parametrize("repeat", REPEAT_POLICIES)
    @pytest.mark.parametrize("key", ["secret", "unknown", ""])
    def test_refuse_all_requests(
        self, repeat: routes.RepeatPolicy, key: str
    ) -> None:
        # Guards against a 401 for a key that a newer config has.
        async def work(system: fleet_system.FleetSystem) -> None:
            system.install(system.config)
            system.config_age_seconds = OUTDATED_SECONDS
            await check_refused(system, system.request(repeat, key=key))

        run_with_fleet(work)

    @pytest.mark.parametrize("key", ["secret", ""])
    def test_route_may_have_been_added(self, key: str) -> None:
        # Guards against a 404 for a route that a newer config has.
        async def work(system: fleet_system.FleetSystem) -> None:
            system.install(open_config(TEAMS))
            system.config_age_seconds = OUTDATED_SECONDS
            request = system.request(
                routes.RepeatPolicy.ONCE, key=key, path="/new/x"
            )
            await check_refused(system, request)

        run_with_fleet(work)


class TestRequestsUnderWay:
    """Requests that were admitted while the config was current."""

    @pytest.mark.parametrize(
        "repeat", [routes.RepeatPolicy.STREAM, routes.RepeatPolicy.IDEMPOTENT]
    )
    def test_are_sent_again_for_their_team(
        self, repeat: routes.RepeatPolicy
    ) -> None:
        # Guards against an answer that is cut in the middle. The request was
        # sent before its key can have been removed for long.
        async def work(system: fleet_system.FleetSystem) -> None:
            system.install(open_config(TEAMS))
            request = system.request(repeat)
            callers: list[fleet_system.Caller] = []

            async def ask() -> None:
                callers.append(await system.ask(request))

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(ask)
                while not system.fleet.runs:
                    await anyio.sleep(0.001)
                system.config_age_seconds = OUTDATED_SECONDS
                fail_once(system, system.fleet.runs[0].upstream)
            assert callers[0].status == 200 and callers[0].is_complete
            assert len(system.fleet.runs_of(request.id)) > 1
            assert teams_of(system, request) == {"kiosks"}

        run_with_fleet(work)


def fail_once(system: fleet_system.FleetSystem, name: str) -> None:
    """Let an instance break the request that it runs."""
    for target in system.fleet.upstreams:
        if target.listed.name == name:
            target.lost_answers = 1
            target.break_stream_after = 5


async def check_refused(
    system: fleet_system.FleetSystem, request: requests.CallerRequest
) -> None:
    """Check that a request is refused as not run, with a time to return."""
    before = counters.COUNTERS.get("relay.config_outdated")
    caller = await system.ask(request)
    assert caller.error is not None
    assert caller.error.code is errors.Code.STORE_DOWN
    assert caller.error.verdict is verdicts.Verdict.NOT_RUN
    assert caller.error.retry_after
    assert system.fleet.runs_of(request.id) == []
    assert counters.COUNTERS.get("relay.config_outdated") == before + 1


def teams_of(
    system: fleet_system.FleetSystem, request: requests.CallerRequest
) -> set[str]:
    return {run.team for run in system.fleet.runs_of(request.id)}


def run_with_fleet(
    work: typing.Callable[[fleet_system.FleetSystem], typing.Awaitable[None]],
) -> None:
    async def body() -> None:
        system = fleet_system.FleetSystem()
        system.add_model()
        for name in ("p", "q"):
            system.add(
                fleet_system.upstream(
                    name, service=fleet_system.PLAIN, card=""
                )
            )
        await fleet_system.run_with(system, work)

    virtual.run(body)
