# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Plays seeds of the soak and prints what they showed."""

import argparse
import pathlib
import sys

import attrs

from bench.soak import budget
from bench.soak import run as soak

CALLERS = 6
# Enough to reach the retry budget of three entries.
BUDGET_CALLERS = 30


def main() -> int:
    """Play the seeds; returns 1 when a promise was broken."""
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
        help="whether the store comes back from older copies",
    )
    parser.add_argument(
        "--peers",
        action=argparse.BooleanOptionalAction,
        default=True,
        help="whether entries of a zone ask one another for the store",
    )
    parser.add_argument(
        "--presses-back",
        action=argparse.BooleanOptionalAction,
        default=True,
        help="whether instances name limits, want rest and leave",
    )
    parser.add_argument(
        "--budget",
        action="store_true",
        help="whether faults come in series and play for the retry budget",
    )
    parser.add_argument(
        "--freezes",
        action="store_true",
        help="whether that freezes all instances of a service as well",
    )
    parser.add_argument("--callers", type=int, default=0)
    parser.add_argument(
        "--slack",
        type=float,
        default=budget.ALLOWANCE.slack,
        help="repeats that the retry budget allows on top in a window",
    )
    options = parser.parse_args()
    callers = BUDGET_CALLERS if options.budget else CALLERS
    allowance = attrs.evolve(budget.ALLOWANCE, slack=options.slack)
    broken = 0
    for seed in range(options.seed, options.seed + options.seeds):
        folder = options.logs / str(seed) if options.logs else None
        verdict = soak.play(
            soak.Options(
                seed,
                options.seconds,
                options.entries,
                restores=options.restores,
                presses_back=options.presses_back,
                peers=options.peers,
                allowance=allowance if options.budget else None,
                freezes=options.freezes,
                callers=options.callers or callers,
            ),
            folder,
        )
        broken += bool(verdict.broken)
        print(
            f"seed {seed}: {verdict.served} of {verdict.asked} served, "
            f"{len(verdict.faults)} faults, "
            f"{len(verdict.broken)} promises broken",
            flush=True,
        )
        for finding in verdict.peaks:
            print(f"  {finding}", flush=True)
        for one in verdict.broken:
            print(f"  {one}", flush=True)
        if verdict.broken or options.budget:
            print("  struck: " + ", ".join(verdict.faults), flush=True)
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
