# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""``python -m bench``: runs scenarios on a local system, prints metrics."""

import argparse
import json
import pathlib
import time

import anyio

from bench import capacity
from bench import fleet as fleets
from bench import load as loads
from bench import report as reports
from bench import scenarios

DEFAULT_SCENARIOS = (
    "steady",
    "peak",
    "stage_death",
    "head_death",
    "entry_death",
    "frozen_stage",
    "store_outage",
    "rolling_replace",
    "stage_death+store_outage",
)
STEP_TIME_FACTOR = 4.0
IDLE_SECONDS = 4.0
WARM_UP_SECONDS = 2.0


def make_spec(policy: str, engines: int, scenario: str) -> fleets.FleetSpec:
    """Return the specification of a system of 3 stages and 3 entries.

    :param policy: routing policy of the entries.
    :param engines: number of engines, rounded down to a multiple of 12, at
        least 12.
    """
    step_time_ratios = {"a": 1.0, "b": 1.5, "c": 2.0}
    if scenarios.find(scenario).has_mixed_speeds:
        step_time_ratios = {"a": 1.0, "b": 2.5, "c": 5.0}
    kind_names = "abcb" * max(1, engines // 12)
    gap_seconds = reports.TOKEN_GAP_TARGET_SECONDS
    return fleets.FleetSpec(
        stage_count=3,
        kinds=tuple(
            fleets.make_kind(name, step_time_ratios[name], STEP_TIME_FACTOR)
            for name in kind_names
        ),
        entry_count=3,
        service_count=2,
        extra_default_lines=f"token_gap_seconds = {gap_seconds}",
        extra_entry_lines=f"policy = {policy}\n",
    )


def throughput_bound(spec: fleets.FleetSpec) -> float:
    """Return the tokens a second that the devices of a stage allow."""
    return sum(kind.speed.tokens_per_second for kind in spec.kinds)


async def _run_load(
    fleet: fleets.Fleet,
    scenario: scenarios.Scenario,
    callers: loads.Callers,
    seconds: float,
    faults: scenarios.FaultLog,
) -> None:
    async with anyio.create_task_group() as tasks:
        for fault in scenario.faults:
            tasks.start_soon(fault, fleet, seconds, faults)
        await callers.run(seconds)


def run(
    name: str,
    seed: int,
    seconds: float,
    policy: str,
    engines: int,
    rate: float | None,
) -> dict[str, object]:
    """Run one scenario and return its metrics.

    :param rate: requests a second, ``None`` for the scenario's load.
    """
    scenario = scenarios.find(name)
    spec = make_spec(policy, engines, name)
    bound_tokens_per_second = throughput_bound(spec)
    faults = scenarios.FaultLog()
    with fleets.Fleet(spec) as fleet:
        idle_overhead = _measure_idle_overhead(fleet)
        requests_per_second = (
            rate or scenario.load * bound_tokens_per_second / loads.MEAN_TOKENS
        )
        callers = loads.Callers(
            fleet, seed, requests_per_second, scenario.greedy_factor
        )
        started_at = time.monotonic()
        anyio.run(_run_load, fleet, scenario, callers, seconds, faults)
        record = reports.RunRecord(
            scenario=name,
            seed=seed,
            policy=policy,
            started_at=started_at,
            seconds=seconds,
            bound_tokens_per_second=bound_tokens_per_second,
            answers=callers.answers,
            calls=callers.calls,
            execution_counts=fleet.execution_counts(),
            sequence_starts=fleet.sequence_starts(),
            faults=faults,
            control_bytes_per_s=idle_overhead[0],
            control_core_share=idle_overhead[1],
            retries=fleet.counter_sum("drive.retried"),
        )
    return reports.compute_metrics(record)


def _measure_idle_overhead(fleet: fleets.Fleet) -> tuple[float, float]:
    """Return the mean use of resources by an idle daemon.

    These are its loopback traffic in bytes a second, and its share of a core.
    """
    time.sleep(WARM_UP_SECONDS)
    daemons = [fleet.children[name] for name in fleet.daemon_names]
    before = sum(child.cpu_seconds for child in daemons)
    moved_bytes = capacity.loopback_bytes()
    time.sleep(IDLE_SECONDS)
    cpu_seconds = sum(child.cpu_seconds for child in daemons) - before
    moved_bytes = capacity.loopback_bytes() - moved_bytes
    daemon_seconds = len(daemons) * IDLE_SECONDS
    return moved_bytes / daemon_seconds, cpu_seconds / daemon_seconds


def main() -> None:
    """Run scenarios, print their metrics and write them to a file."""
    parser = argparse.ArgumentParser(prog="python -m bench")
    parser.add_argument("--scenario", default=",".join(DEFAULT_SCENARIOS))
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=1, help="number of seeds")
    parser.add_argument("--seconds", type=float, default=25.0)
    parser.add_argument("--rate", type=float, help="requests a second")
    parser.add_argument("--engines", type=int, default=12)
    parser.add_argument("--policy", default="crowdeck")
    parser.add_argument("--json", type=pathlib.Path)
    options = parser.parse_args()
    results = []
    for name in options.scenario.split(","):
        for policy in options.policy.split(","):
            for seed in range(options.seed, options.seed + options.seeds):
                metrics = run(
                    name,
                    seed,
                    options.seconds,
                    policy,
                    options.engines,
                    options.rate,
                )
                results.append(metrics)
                print(json.dumps(metrics), flush=True)
    if options.json:
        options.json.write_text(json.dumps(results, indent=1))


if __name__ == "__main__":
    main()
