# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Runs seeds of the soak test and prints their results."""

import argparse
import pathlib
import sys

import attrs

from bench.soak import budget
from bench.soak import run as soak

CALLERS = 6
# Enough callers to exhaust the retry budget of three entries.
BUDGET_CALLERS = 30


def main() -> int:
    """Run the seeds; returns 1 when a guarantee was violated."""
    parser = argparse.ArgumentParser(prog="python -m bench.soak")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=1, metavar="N")
    parser.add_argument("--seconds", type=float, default=12.0)
    parser.add_argument("--entries", type=int, default=3)
    parser.add_argument(
        "--logs", type=pathlib.Path, default=None, metavar="FOLDER"
    )
    parser.add_argument(
        "--restores",
        action=argparse.BooleanOptionalAction,
        default=True,
        help="whether the store is restored from older backups",
    )
    parser.add_argument(
        "--peers",
        action=argparse.BooleanOptionalAction,
        default=True,
        help="whether entries of a zone ask one another for changes "
        "of the store",
    )
    parser.add_argument(
        "--presses-back",
        action=argparse.BooleanOptionalAction,
        default=True,
        help="whether instances set limits, ask for back-off and leave",
    )
    parser.add_argument(
        "--budget",
        action="store_true",
        help="inject bursts of faults that exhaust the retry budget, "
        "instead of single faults",
    )
    parser.add_argument(
        "--freezes",
        action="store_true",
        help="let these bursts also freeze all instances of a service",
    )
    parser.add_argument(
        "--disruptions",
        action="store_true",
        help="also silence instances for about a second and connections for "
        "good, answer with bytes without end, and cut the power of many at "
        "once, beside changes of the config in series; not with --budget",
    )
    parser.add_argument(
        "--same-bodies",
        action="store_true",
        help="have all requests beside disruptions send the same body",
    )
    parser.add_argument("--callers", type=int, default=0)
    parser.add_argument(
        "--slack",
        type=float,
        default=budget.ALLOWANCE.slack,
        help="repeats per window that the retry budget allows in addition "
        "to its ratio of requests",
    )
    options = parser.parse_args()
    callers = BUDGET_CALLERS if options.budget else CALLERS
    allowance = attrs.evolve(budget.ALLOWANCE, slack=options.slack)
    violations = 0
    for seed in range(options.seed, options.seed + options.seeds):
        folder = options.logs / str(seed) if options.logs else None
        result = soak.run_seed(
            soak.Options(
                seed,
                options.seconds,
                options.entries,
                restores=options.restores,
                has_backpressure=options.presses_back,
                peers=options.peers,
                allowance=allowance if options.budget else None,
                freezes=options.freezes,
                has_disruptions=options.disruptions,
                has_own_bodies=(
                    options.disruptions and not options.same_bodies
                ),
                callers=options.callers or callers,
            ),
            folder,
        )
        violations += bool(result.violations)
        print(
            f"seed {seed}: {result.served_count} of "
            f"{result.request_count} served, "
            f"{len(result.fault_log)} faults, "
            f"{len(result.violations)} guarantees violated",
            flush=True,
        )
        for finding in result.budget_peaks:
            print(f"  {finding}", flush=True)
        for violation in result.violations:
            print(f"  {violation}", flush=True)
        if result.violations or options.budget:
            print("  faults: " + ", ".join(result.fault_log), flush=True)
    return 1 if violations else 0


if __name__ == "__main__":
    sys.exit(main())
