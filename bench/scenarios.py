# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""What goes wrong during a measurement, and when."""

from collections import abc
import signal
import time
import typing

import anyio
import attrs

from bench import fleet as fleets

# The fault comes after so much of the measured time, so that service
# before it can be told from service after it.
FAULT_AT = 0.35
OUTAGE_SHARE = 0.25


@attrs.define(eq=False)
class FaultLog:
    """When faults came, for the report."""

    at: list[float] = attrs.field(factory=list)
    leaving: dict[str, float] = attrs.field(factory=dict)
    ended: dict[str, float] = attrs.field(factory=dict)

    def note(self) -> None:
        """Note a fault now."""
        self.at.append(time.monotonic())


Play = abc.Callable[
    [fleets.Fleet, float, FaultLog],
    abc.Coroutine[typing.Any, typing.Any, None],
]


@attrs.frozen
class Scenario:
    """One way to load and disturb the system.

    :ivar load: offered load relative to the bound.
    :ivar plays: faults, each played beside the others.
    :ivar greedy: how many times its share team 0 asks for.
    """

    name: str
    load: float = 0.6
    plays: tuple[Play, ...] = ()
    greedy: float = 1.0
    is_mixed: bool = False


async def _kill(
    fleet: fleets.Fleet, names: list[str], seconds: float, log: FaultLog
) -> None:
    await anyio.sleep(seconds * FAULT_AT)
    log.note()
    for name in names:
        fleet.signal(name, signal.SIGKILL)
    for name in names:
        fleet.unlist(name)


async def stage_death(
    fleet: fleets.Fleet, seconds: float, log: FaultLog
) -> None:
    """A middle stage's instance dies."""
    await _kill(fleet, ["engine-1-0"], seconds, log)


async def head_death(
    fleet: fleets.Fleet, seconds: float, log: FaultLog
) -> None:
    """A head dies."""
    await _kill(fleet, ["engine-0-0"], seconds, log)


async def entry_death(
    fleet: fleets.Fleet, seconds: float, log: FaultLog
) -> None:
    """An entry dies; its callers come back elsewhere."""
    await _kill(fleet, ["entry-0"], seconds, log)


async def zone_loss(
    fleet: fleets.Fleet, seconds: float, log: FaultLog
) -> None:
    """All instances of one availability zone die."""
    lost = [
        name
        for name in fleet.daemon_names
        if fleet.zone_of(name) == fleets.ZONES[0]
    ]
    await _kill(fleet, lost, seconds, log)


async def slow_stage(
    fleet: fleets.Fleet, seconds: float, log: FaultLog
) -> None:
    """An engine becomes five times slower, and later well again."""
    await anyio.sleep(seconds * FAULT_AT)
    log.note()
    fleet.slow_engine("engine-1-0", 5.0)
    await anyio.sleep(seconds * OUTAGE_SHARE)
    fleet.slow_engine("engine-1-0", 1.0)


async def freeze(fleet: fleets.Fleet, seconds: float, log: FaultLog) -> None:
    """A middle stage's sidecar is paused for a while."""
    await anyio.sleep(seconds * FAULT_AT)
    log.note()
    fleet.signal("engine-1-0", signal.SIGSTOP)
    await anyio.sleep(seconds * OUTAGE_SHARE)
    fleet.signal("engine-1-0", signal.SIGCONT)


async def store_outage(
    fleet: fleets.Fleet, seconds: float, log: FaultLog
) -> None:
    """The platform does not answer for a while."""
    await anyio.sleep(seconds * FAULT_AT)
    log.note()
    fleet.signal("store", signal.SIGSTOP)
    await anyio.sleep(seconds * OUTAGE_SHARE)
    fleet.signal("store", signal.SIGCONT)


async def rolling_replace(
    fleet: fleets.Fleet, seconds: float, log: FaultLog
) -> None:
    """Instances are stopped as planned and replaced, one after another."""
    names = [f"engine-{stage}-1" for stage in range(fleet.shape.stages)]
    pause = seconds * (1 - FAULT_AT) / (len(names) + 1)
    await anyio.sleep(seconds * FAULT_AT)
    for name in names:
        log.note()
        log.leaving[name] = time.monotonic()
        fleet.signal(name, signal.SIGTERM)
        with anyio.move_on_after(pause):
            while fleet.is_running(name):
                await anyio.sleep(0.1)
        if not fleet.is_running(name):
            log.ended[name] = time.monotonic()
            await anyio.to_thread.run_sync(fleet.replace, name)
        await anyio.sleep(pause / 2)


ALL: dict[str, Scenario] = {
    one.name: one
    for one in (
        Scenario("steady", load=0.95),
        Scenario("peak", load=2.0),
        Scenario("mixed_links", load=0.8, is_mixed=True),
        Scenario("stage_death", plays=(stage_death,)),
        Scenario("head_death", plays=(head_death,)),
        Scenario("entry_death", plays=(entry_death,)),
        Scenario("slow_stage", plays=(slow_stage,)),
        Scenario("frozen_stage", plays=(freeze,)),
        Scenario("store_outage", plays=(store_outage,)),
        Scenario("rolling_replace", plays=(rolling_replace,)),
        Scenario("availability_zone_loss", load=0.4, plays=(zone_loss,)),
        Scenario("greedy_team", load=1.2, greedy=20.0),
    )
}


def find(name: str) -> Scenario:
    """Return a scenario, or several joined by ``+`` as one.

    :raises KeyError: when there is none of that name.
    """
    parts = [ALL[part] for part in name.split("+")]
    if len(parts) == 1:
        return parts[0]
    return Scenario(
        name,
        load=max(part.load for part in parts),
        plays=tuple(play for part in parts for play in part.plays),
        greedy=max(part.greedy for part in parts),
        is_mixed=any(part.is_mixed for part in parts),
    )
