# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Engines that other entries found lost."""

import typing

import anyio
import attrs
import orjson
import pytest

from crowdeck import errors
from crowdeck.membership import load_messages as messages
from crowdeck.relay import peer_reports
from crowdeck import route as routes
from crowdeck.routing import fleet_load as fleet_loads
from crowdeck.routing import peer_findings
from crowdeck.routing import usage as usages
from tests import fleet_system
from tests import virtual

STREAM = routes.RepeatPolicy.STREAM
NAMES = [f"engine-{number:02}" for number in range(40)]


def test_messages_tell_lost_engines() -> None:
    one = usages.EntryLoad(1, lost_engines={"a": 1, "b": 1})
    two = usages.EntryLoad(2, lost_engines={"b": 2})
    total = fleet_loads.combine([one, two])
    assert total.lost_engines == {"a": 1, "b": 3}
    assert fleet_loads.without(total, one) == two
    content = messages.encode_answer(messages.LoadAnswer(total, "x0"))
    assert messages.decode_answer(content).load == total
    body = orjson.loads(content)
    many = dict.fromkeys(map(str, range(messages.MAX_LOST_ENGINES + 1)), 1)
    for lost in ({"a": 4}, {"a": 0}, {"a": 0.5}, ["a"], many):
        body["load"]["lost_engines"] = lost
        with pytest.raises(errors.CrowdeckError):
            messages.decode_answer(orjson.dumps(body))
    # Entries of an earlier release do not tell it.
    del body["load"]["lost_engines"]
    old = messages.decode_answer(orjson.dumps(body))
    assert old.load == usages.EntryLoad(3)


def test_few_are_held_back_and_none_soon_again() -> None:
    findings = peer_findings.PeerFindings()
    told = dict.fromkeys(NAMES, 1) | {NAMES[-1]: 2}
    assert findings.hold(told, NAMES, 0.0) == [NAMES[-1], *NAMES[:3]]
    findings.release(NAMES[0])
    assert findings.hold(told, NAMES, 0.2) == [NAMES[3]]
    # Engines that never answered are used again, too.
    assert not findings.held_back(0.2 + peer_findings.MAX_HOLD_SECONDS + 0.01)
    assert NAMES[0] not in findings.hold(told, NAMES, 4.0)


class Other(fleet_system.FleetSystem):
    """Another entry, whose load is told at once; implements ``FleetLoad``."""

    is_current = True
    tale: dict[str, int] | None = None

    @property
    def others(self) -> usages.EntryLoad:
        if self.tale is None:
            return self.context.own_load()
        return usages.EntryLoad(1, lost_engines=self.tale)


Work = typing.Callable[[fleet_system.FleetSystem, Other], typing.Any]


def run(work: Work) -> None:
    async def body() -> None:
        system = fleet_system.FleetSystem(name="b")
        other = Other(system.fleet, "a")
        # Its own check of a silence would come after 0.5 s.
        route = fleet_system.make_route(STREAM, max_pause_seconds=2.0)
        system.install(fleet_system.make_config(config_routes=(route,)))
        system.add_model(copies=3)
        for listed in system.listed.values():
            other.list_instance(listed)
        system.context.use_fleet_load(other)
        reports = peer_reports.PeerReports(system.context, system.monitor)
        async with anyio.create_task_group() as tasks:
            for runner in (system.monitor.run, other.monitor.run, reports.run):
                tasks.start_soon(runner)
            await work(system, other)
            tasks.cancel_scope.cancel()

    virtual.run(body)


@pytest.mark.parametrize("fault", ["is_dead", "is_unresponsive"])
def test_loss_is_known_before_own_streams_are_silent(fault: str) -> None:
    callers: list[fleet_system.Caller] = []

    async def work(system: fleet_system.FleetSystem, other: Other) -> None:
        async def ask() -> None:
            callers.append(await system.ask(system.request(STREAM)))

        system.fleet.events = 40
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(ask)
            await anyio.sleep(0.2)
            runs = system.fleet.runs
            address = runs[0].path.split(",")[1].split("=")[0]
            lost = system.registry.find_by_address(address)
            assert lost is not None
            setattr(system.fleet.at(lost.address), fault, True)
            other.monitor.verify(lost)
            # Time for both probes, and for the first to be told.
            await anyio.sleep(0.15)
            assert not system.registry.is_usable(lost.name)
            for _ in range(6):
                tasks.start_soon(ask)
        assert not any(address in run.path for run in runs[1:])
        assert system.fleet.repaths == [runs[0].request]
        assert system.context.own_load().lost_engines == {lost.name: 1}
        # A new run of the engine is another engine.
        new_run = lost.name + ".1"
        system.add(attrs.evolve(lost, name=new_run))
        await anyio.sleep(0.1)
        assert system.registry.is_usable(new_run)
        assert system.context.own_load().lost_engines == {}

    run(work)
    assert all(caller.is_complete for caller in callers)
    assert callers[0].longest_pause < 0.25


def test_tale_of_all_engines_stops_no_service() -> None:
    # As from an entry that is half cut off, or malicious.
    async def work(system: fleet_system.FleetSystem, other: Other) -> None:
        other.tale = dict.fromkeys(system.listed, 1)
        for _ in range(20):
            caller = await system.ask(system.request(STREAM))
            assert caller.is_complete
        system.context.held_back = lambda: frozenset(system.listed)
        assert (await system.ask(system.request(STREAM))).is_complete
        assert system.context.own_load().lost_engines == {}
        # No engine answers: this entry is cut off, and finds nobody lost.
        for listed in system.listed.values():
            system.fleet.at(listed.address).is_unresponsive = True
        await anyio.sleep(12.0)
        assert system.registry.failed() == ()

    run(work)
