# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Scenarios: the load and the faults during a measurement."""

from collections import abc
import signal
import time
import typing

import anyio
import attrs

from bench import fleet as fleets

# Share of the run before the first fault, the baseline for recovery.
FAULT_START_SHARE = 0.35
# Share of the run that a temporary fault lasts.
OUTAGE_SHARE = 0.25


@attrs.define(eq=False)
class FaultLog:
    """Monotonic times of faults, for the report.

    :ivar times: start of each fault.
    :ivar stopped_at: by instance, when its planned stop began.
    :ivar ended_at: by instance, when its stopped process ended.
    """

    times: list[float] = attrs.field(factory=list)
    stopped_at: dict[str, float] = attrs.field(factory=dict)
    ended_at: dict[str, float] = attrs.field(factory=dict)

    def record(self) -> None:
        """Record that a fault starts now."""
        self.times.append(time.monotonic())


Fault = abc.Callable[
    [fleets.Fleet, float, FaultLog],
    abc.Coroutine[typing.Any, typing.Any, None],
]


@attrs.frozen
class Scenario:
    """Load and faults of a measurement.

    :ivar load: offered load relative to the throughput bound.
    :ivar faults: injected concurrently.
    :ivar greedy_factor: factor on the requests of team 0.
    :ivar has_mixed_speeds: whether the engine speeds differ by a
        factor of 5 instead of 2.
    """

    name: str
    load: float = 0.6
    faults: tuple[Fault, ...] = ()
    greedy_factor: float = 1.0
    has_mixed_speeds: bool = False


async def _kill(
    fleet: fleets.Fleet, names: list[str], seconds: float, log: FaultLog
) -> None:
    await anyio.sleep(seconds * FAULT_START_SHARE)
    log.record()
    for name in names:
        fleet.signal(name, signal.SIGKILL)
    for name in names:
        fleet.deregister(name)


async def kill_middle_sidecar(
    fleet: fleets.Fleet, seconds: float, log: FaultLog
) -> None:
    """Kill the sidecar of an engine of a middle stage."""
    await _kill(fleet, ["engine-1-0"], seconds, log)


async def kill_head_sidecar(
    fleet: fleets.Fleet, seconds: float, log: FaultLog
) -> None:
    """Kill the sidecar of an engine of the first stage."""
    await _kill(fleet, ["engine-0-0"], seconds, log)


async def kill_entry(
    fleet: fleets.Fleet, seconds: float, log: FaultLog
) -> None:
    """Kill an entry; its callers reconnect to other entries."""
    await _kill(fleet, ["entry-0"], seconds, log)


async def kill_zone(
    fleet: fleets.Fleet, seconds: float, log: FaultLog
) -> None:
    """Kill all instances of one availability zone."""
    names = [
        name
        for name in fleet.daemon_names
        if fleet.zone_of(name) == fleets.ZONES[0]
    ]
    await _kill(fleet, names, seconds, log)


async def slow_middle_engine(
    fleet: fleets.Fleet, seconds: float, log: FaultLog
) -> None:
    """Make an engine five times slower for a while."""
    await anyio.sleep(seconds * FAULT_START_SHARE)
    log.record()
    fleet.slow_engine("engine-1-0", 5.0)
    await anyio.sleep(seconds * OUTAGE_SHARE)
    fleet.slow_engine("engine-1-0", 1.0)


async def freeze_middle_sidecar(
    fleet: fleets.Fleet, seconds: float, log: FaultLog
) -> None:
    """Pause the sidecar of an engine of a middle stage for a while."""
    await anyio.sleep(seconds * FAULT_START_SHARE)
    log.record()
    fleet.signal("engine-1-0", signal.SIGSTOP)
    await anyio.sleep(seconds * OUTAGE_SHARE)
    fleet.signal("engine-1-0", signal.SIGCONT)


async def freeze_store(
    fleet: fleets.Fleet, seconds: float, log: FaultLog
) -> None:
    """Pause the platform's store for a while."""
    await anyio.sleep(seconds * FAULT_START_SHARE)
    log.record()
    fleet.signal("store", signal.SIGSTOP)
    await anyio.sleep(seconds * OUTAGE_SHARE)
    fleet.signal("store", signal.SIGCONT)


async def replace_instances(
    fleet: fleets.Fleet, seconds: float, log: FaultLog
) -> None:
    """Stop an instance of each stage and replace it, one after another."""
    names = [f"engine-{stage}-1" for stage in range(fleet.spec.stage_count)]
    pause_seconds = seconds * (1 - FAULT_START_SHARE) / (len(names) + 1)
    await anyio.sleep(seconds * FAULT_START_SHARE)
    for name in names:
        log.record()
        log.stopped_at[name] = time.monotonic()
        fleet.signal(name, signal.SIGTERM)
        with anyio.move_on_after(pause_seconds):
            while fleet.is_running(name):
                await anyio.sleep(0.1)
        if not fleet.is_running(name):
            log.ended_at[name] = time.monotonic()
            await anyio.to_thread.run_sync(fleet.replace, name)
        await anyio.sleep(pause_seconds / 2)


SCENARIOS: dict[str, Scenario] = {
    scenario.name: scenario
    for scenario in (
        Scenario("steady", load=0.95),
        Scenario("peak", load=2.0),
        Scenario("mixed_links", load=0.8, has_mixed_speeds=True),
        Scenario("stage_death", faults=(kill_middle_sidecar,)),
        Scenario("head_death", faults=(kill_head_sidecar,)),
        Scenario("entry_death", faults=(kill_entry,)),
        Scenario("slow_stage", faults=(slow_middle_engine,)),
        Scenario("frozen_stage", faults=(freeze_middle_sidecar,)),
        Scenario("store_outage", faults=(freeze_store,)),
        Scenario("rolling_replace", faults=(replace_instances,)),
        Scenario("availability_zone_loss", load=0.4, faults=(kill_zone,)),
        Scenario("greedy_team", load=1.2, greedy_factor=20.0),
    )
}


def find(name: str) -> Scenario:
    """Return a scenario, or the combination of those joined by ``+``.

    :raises KeyError: if there is no scenario of that name.
    """
    parts = [SCENARIOS[part] for part in name.split("+")]
    if len(parts) == 1:
        return parts[0]
    return Scenario(
        name,
        load=max(part.load for part in parts),
        faults=tuple(fault for part in parts for fault in part.faults),
        greedy_factor=max(part.greedy_factor for part in parts),
        has_mixed_speeds=any(part.has_mixed_speeds for part in parts),
    )
