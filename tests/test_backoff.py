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

import typing

import anyio
import pytest

from crowdeck import chain
from crowdeck import route as routes
from crowdeck.standin import chain_fleet
from tests import fleet_system
from tests import virtual

STREAM = routes.Repeat.STREAM
ONCE = routes.Repeat.ONCE
IDEMPOTENT = routes.Repeat.IDEMPOTENT
REST_SECONDS = 3.0
# What was sent before the answer came may still arrive.
SLACK_SECONDS = 0.5
# After an instance said that it leaves, a request that comes later than this
# may not reach it.
LEAVING_SECONDS = 2.0

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
    system: System, repeat: routes.Repeat, seconds: float, step: float = 0.05
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
    def test_is_sent_nothing_for_so_long(self, repeat: routes.Repeat) -> None:
        async def work(system: System) -> None:
            await send(system, repeat, 1.0)
            target = busiest(system)
            target.backoff = REST_SECONDS
            target.rejects = 1
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(send, system, repeat, 6.0)
                while target.rejects:
                    await anyio.sleep(0.001)
                asked_at = anyio.current_time()
            until = asked_at + REST_SECONDS - 0.002
            since = asked_at + SLACK_SECONDS
            assert not sent(system, target.listed, since, until)

        play(work)

    @pytest.mark.parametrize("repeat", [STREAM, ONCE, IDEMPOTENT])
    def test_is_used_again_afterwards(self, repeat: routes.Repeat) -> None:
        async def work(system: System) -> None:
            await send(system, repeat, 1.0)
            target = busiest(system)
            target.backoff = REST_SECONDS
            target.rejects = 1
            await send(system, repeat, REST_SECONDS + 1.0)
            since = anyio.current_time()
            await send(system, repeat, 2.0)
            assert sent(system, target.listed, since)

        play(work)

    def test_callers_are_served_by_the_others(self) -> None:
        async def work(system: System) -> None:
            await send(system, ONCE, 1.0)
            target = busiest(system)
            target.backoff = REST_SECONDS
            target.rejects = 1000
            told = await send(system, ONCE, 9.0)
            refused = [one for one in told if one.error is not None]
            # One each time that it is asked again.
            assert len(refused) <= 3

        play(work)


class TestLeaving:
    """An instance that says only in its answers that it leaves."""

    @pytest.mark.parametrize("repeat", [STREAM, ONCE, IDEMPOTENT])
    def test_is_sent_no_later_request(self, repeat: routes.Repeat) -> None:
        async def work(system: System) -> None:
            await send(system, repeat, 1.0)
            target = busiest(system)
            target.tells_leaving = True
            said_at = anyio.current_time()
            told = await send(system, repeat, 5.0)
            late = [
                one
                for one in sent(system, target.listed, said_at)
                if one.what is chain_fleet.What.REQUEST
                and one.arrived > said_at + LEAVING_SECONDS
            ]
            assert not late
            assert all(one.error is None for one in told)

        play(work)
