# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Requests under way while the config changes and engines are disturbed."""

import typing

import anyio
import attrs
import pytest

from crowdeck import chain
from crowdeck.relay import request as requests
from crowdeck import route as routes
from crowdeck import verdict as verdicts
from tests import fleet_system
from tests import virtual

STREAM = routes.RepeatPolicy.STREAM
IDEMPOTENT = routes.RepeatPolicy.IDEMPOTENT
ONCE = routes.RepeatPolicy.ONCE
POLICIES = (STREAM, IDEMPOTENT, ONCE)
EVENTS = 60
CALL_SECONDS = 0.4
ROUNDS = 12
REQUESTS_PER_ROUND = 4
ROUND_SECONDS = 0.25
OTHER_SERVICE = "other"

System = fleet_system.FleetSystem
Config = routes.FleetConfig


def no_routes(config: Config) -> Config:
    """Remove all routes."""
    return attrs.evolve(config, routes=())


def no_services(config: Config) -> Config:
    """Remove all services; their routes stay."""
    return attrs.evolve(config, services=())


def other_service(config: Config) -> Config:
    """Move all routes to a service without instances."""
    shares = (routes.TrafficShare(OTHER_SERVICE, 1.0),)
    return attrs.evolve(
        config,
        routes=tuple(
            attrs.evolve(route, shares=shares) for route in config.routes
        ),
        services=(*config.services, routes.Service(OTHER_SERVICE, 10)),
    )


def no_teams(config: Config) -> Config:
    """Let nobody in."""
    return attrs.evolve(config, teams=())


def smaller_limits(config: Config) -> Config:
    """Limit the size and duration of requests as far as possible."""
    return attrs.evolve(config, limits=routes.Limits(1, 1, 0.001, 0.001))


def shorter_timeouts(config: Config) -> Config:
    """Give each request one attempt and little time."""
    return attrs.evolve(
        config,
        routes=tuple(
            attrs.evolve(
                route,
                timeout_seconds=0.1,
                objective_seconds=0.05,
                max_pause_seconds=0.0,
                max_attempts=1,
                is_resumable=False,
            )
            for route in config.routes
        ),
    )


def plain_services(config: Config) -> Config:
    """Let no service be one of engines, and allow no connections."""
    return attrs.evolve(
        config,
        services=tuple(
            routes.Service(service.name, 0) for service in config.services
        ),
    )


def other_profile(config: Config) -> Config:
    """Change what the engines of the model can hold."""
    profile = attrs.evolve(
        fleet_system.PROFILE, slots=1, layer_count=8, cards={}
    )
    services = (
        routes.Service(fleet_system.MODEL, 1, profile),
        *config.services[1:],
    )
    return attrs.evolve(config, services=services)


Change = typing.Callable[[Config], Config]
CHANGES = (
    no_routes,
    no_services,
    other_service,
    no_teams,
    smaller_limits,
    shorter_timeouts,
    plain_services,
    other_profile,
)


async def leave_engines_sound(system: System, number: int) -> None:
    """Disturb nothing."""


async def silence_engine(system: System, number: int) -> None:
    """Silence one engine for a second."""
    engines = system.fleet.upstreams
    target = engines[number % len(engines)]
    target.silent_until = anyio.current_time() + 1.2


async def silence_all(system: System, number: int) -> None:
    """Silence all engines once for a second, while no retry is left."""
    if number:
        return
    for service in (fleet_system.MODEL, fleet_system.PLAIN):
        budget = system.context.budget(service)
        while fleet_system.spend_retry(budget):
            pass
    for target in system.fleet.upstreams:
        target.silent_until = anyio.current_time() + 1.2


async def hold_back(system: System, number: int) -> None:
    """Let requests wait in the queue until after the next change."""
    await anyio.sleep(0.3 * ROUND_SECONDS)
    for target in system.fleet.upstreams:
        system.registry.back_off(target.listed.name, 0.6 * ROUND_SECONDS)


async def remove_record(system: System, number: int) -> None:
    """Remove the record of one engine, which serves on."""
    engines = system.fleet.upstreams
    _change_record(system, engines[number % len(engines)].listed, None)


async def announce_leaving(system: System, number: int) -> None:
    """Let one engine leave and return."""
    engines = system.fleet.upstreams
    listed = engines[number % len(engines)].listed
    _change_record(system, listed, attrs.evolve(listed, is_leaving=True))
    await anyio.sleep(0.4 * ROUND_SECONDS)
    _change_record(system, listed, listed)


async def move_instance(system: System, number: int) -> None:
    """Give the address of an engine whose record went to another service."""
    engines = system.fleet.upstreams
    listed = engines[number % len(engines)].listed
    _change_record(system, listed, None)
    system.list_instance(
        attrs.evolve(listed, name=f"new-{number}", service=OTHER_SERVICE)
    )


async def lose_engine(system: System, number: int) -> None:
    """End one engine behind the first ones for a second."""
    behind = [
        engine
        for engine in system.fleet.upstreams
        if engine.listed.layers is not None and engine.listed.layers.first
    ]
    target = behind[number % len(behind)]
    target.is_unresponsive = True
    await anyio.sleep(1.0)
    target.is_unresponsive = False


Disturbance = typing.Callable[[System, int], typing.Awaitable[None]]
DISTURBANCES = (
    leave_engines_sound,
    silence_engine,
    silence_all,
    hold_back,
    remove_record,
    announce_leaving,
    move_instance,
    lose_engine,
)


def _change_record(
    system: System, listed: chain.Upstream, changed: chain.Upstream | None
) -> None:
    name = listed.incarnation.id
    if changed is None:
        system.registry.on_changed((), (name,))
        return
    system.list_instance(changed)


@attrs.frozen
class Served:
    """A request and what its caller got."""

    request: requests.CallerRequest
    policy: routes.RepeatPolicy
    caller: fleet_system.Caller
    run_count: int

    @property
    def is_whole(self) -> bool:
        """Whether the caller got the complete answer."""
        expected = (
            fleet_system.whole_answer(self.request.id, EVENTS)
            if self.policy is STREAM
            else self.request.id.encode()
        )
        return self.caller.is_complete and self.caller.body == expected

    @property
    def is_refused(self) -> bool:
        """Whether the caller was told that nothing ran, which is true."""
        error = self.caller.error
        return (
            error is not None
            and error.verdict is verdicts.Verdict.NOT_RUN
            and not self.caller.has_started
            and not self.run_count
        )


def play(change: Change, disturbance: Disturbance) -> list[Served]:
    """Serve requests while configs alternate and engines are disturbed."""
    served: list[Served] = []

    async def ask(system: System, policy: routes.RepeatPolicy) -> None:
        request = system.request(policy)
        caller = await system.ask(request)
        run_count = len(system.fleet.runs_of(request.id))
        served.append(Served(request, policy, caller, run_count))

    async def work(system: System) -> None:
        async with anyio.create_task_group() as tasks:
            for number in range(ROUNDS):
                config = fleet_system.make_config(
                    2 * number + 2, make_routes()
                )
                system.install(config)
                for _ in range(REQUESTS_PER_ROUND):
                    for policy in POLICIES:
                        tasks.start_soon(ask, system, policy)
                        await anyio.sleep(0.0)
                await anyio.sleep(0.4 * ROUND_SECONDS)
                system.install(
                    attrs.evolve(change(config), version=2 * number + 3)
                )
                tasks.start_soon(disturbance, system, 5 * number)
                await anyio.sleep(0.6 * ROUND_SECONDS)

    async def body() -> None:
        system = System()
        system.fleet.events = EVENTS
        system.install(fleet_system.make_config(1, make_routes()))
        system.add_model()
        for number in range(4):
            plain = fleet_system.upstream(
                f"p{number}", service=fleet_system.PLAIN, card=""
            )
            system.add(plain).call_seconds = CALL_SECONDS
        await fleet_system.run_with(system, work)

    virtual.run(body)
    assert len(served) == ROUNDS * REQUESTS_PER_ROUND * len(POLICIES)
    return served


def make_routes() -> tuple[routes.Route, ...]:
    """Return a route of each policy that leaves calls their time."""
    return (
        fleet_system.make_route(STREAM),
        fleet_system.make_route(IDEMPOTENT, timeout_seconds=6.0),
        fleet_system.make_route(ONCE, timeout_seconds=6.0),
    )


class TestRequestUnderWay:
    """Requests that were admitted before a change of the config."""

    @pytest.mark.parametrize("disturbance", DISTURBANCES)
    @pytest.mark.parametrize("change", CHANGES)
    def test_is_answered_whole_or_refused(
        self, change: Change, disturbance: Disturbance
    ) -> None:
        served = play(change, disturbance)
        lost = [
            item for item in served if not (item.is_whole or item.is_refused)
        ]
        assert lost == []
        assert any(item.is_whole for item in served)
