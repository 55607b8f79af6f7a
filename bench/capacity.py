# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Measures the control overhead of processes, for ``docs/CAPACITY.md``.

``python -m bench.capacity`` starts idle systems of several sizes and fits
lines through the resources that their processes use.
"""

import argparse
import json
import pathlib
import time
import typing

from bench import fleet as fleets
from crowdeck.settings import tree as trees

SETTLE_SECONDS = 12.0


class Line(typing.NamedTuple):
    """A fitted line.

    :ivar relative_error: largest absolute error, relative to the mean.
    """

    intercept: float
    slope: float
    relative_error: float


def fit_line(points: list[tuple[float, float]]) -> Line:
    """Fit a line by least squares."""
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    sum_of_squares = sum((x - mean_x) ** 2 for x, _ in points)
    slope = (
        sum((x - mean_x) * (y - mean_y) for x, y in points) / sum_of_squares
        if sum_of_squares
        else 0.0
    )
    intercept = mean_y - slope * mean_x
    max_error = max(abs(y - intercept - slope * x) for x, y in points)
    return Line(intercept, slope, max_error / mean_y if mean_y else 0.0)


def loopback_bytes() -> int:
    """Return the bytes received by the loopback device so far."""
    for line in pathlib.Path("/proc/net/dev").read_text().splitlines():
        name, _, rest = line.partition(":")
        if name.strip() == "lo":
            return int(rest.split()[0])
    return 0


def measure_idle(
    sidecars: int, entries: int, seconds: float
) -> dict[str, float]:
    """Return the mean resources that processes of an idle system use."""
    fast = fleets.make_kind("fast", 0.05)
    spec = fleets.FleetSpec(
        stage_count=1,
        kinds=(fast,) * sidecars,
        entry_count=entries,
        service_count=0,
    )
    with fleets.Fleet(spec) as fleet:
        time.sleep(SETTLE_SECONDS)
        before = {
            name: child.cpu_seconds for name, child in fleet.children.items()
        }
        bytes_before, started = loopback_bytes(), time.monotonic()
        time.sleep(seconds)
        elapsed = time.monotonic() - started
        bytes_per_second = (loopback_bytes() - bytes_before) / elapsed
        core_percent: dict[str, list[float]] = {"entry": [], "engine": []}
        memory_mb: dict[str, list[float]] = {"entry": [], "engine": []}
        for name, child in fleet.children.items():
            role = name.split("-")[0]
            # Skips the stand-in processes, which are named "engines-N".
            if role in core_percent and "engines" not in name:
                core_share = (child.cpu_seconds - before[name]) / elapsed
                core_percent[role].append(core_share * 100)
                memory_mb[role].append(child.memory_bytes / 1e6)
    return {
        "sidecars": sidecars,
        "entries": entries,
        "entry_core_percent": _mean(core_percent["entry"]),
        "sidecar_core_percent": _mean(core_percent["engine"]),
        "entry_mb": _mean(memory_mb["entry"]),
        "sidecar_mb": _mean(memory_mb["engine"]),
        "bytes_per_s_per_process": bytes_per_second / (sidecars + entries),
        "bytes_per_s_per_entry": bytes_per_second / entries,
    }


def measure_settings(teams: int) -> dict[str, float]:
    """Return the time to parse settings with many teams, and their size."""
    lines = ["[defaults]", "[service:records]"]
    for number in range(teams):
        lines += [
            f"[team:team-{number}]",
            f"keys_sha256 = {number:064x}",
            "services = records",
            "concurrency = 100",
        ]
    text = "\n".join(lines)
    started = time.process_time()
    trees.parse(text, 1)
    return {
        "teams": teams,
        "parse_ms": (time.process_time() - started) * 1000,
        "text_kb": len(text) / 1000,
    }


def _mean(values: list[float]) -> float:
    return sum(values) / len(values)


def main() -> None:
    """Print the measurements as JSON lines, and the fitted lines."""
    parser = argparse.ArgumentParser(prog="python -m bench.capacity")
    parser.add_argument("--seconds", type=float, default=15.0)
    parser.add_argument("--sizes", default="4,8,16,32")
    parser.add_argument("--entry-sizes", default="1,2,4,8")
    options = parser.parse_args()
    sizes = [int(size) for size in options.sizes.split(",")]
    entry_sizes = [int(size) for size in options.entry_sizes.split(",")]
    by_sidecars = [measure_idle(n, 2, options.seconds) for n in sizes]
    by_entries = [measure_idle(4, n, options.seconds) for n in entry_sizes]
    by_teams = [measure_settings(n) for n in (150, 300, 600, 1200)]
    for rows in (by_sidecars, by_entries, by_teams):
        for row in rows:
            print(json.dumps({k: round(v, 3) for k, v in row.items()}))
    _print_fits("sidecars", by_sidecars)
    _print_fits("entries", by_entries)
    _print_fits("teams", by_teams)


def _print_fits(x_name: str, rows: list[dict[str, float]]) -> None:
    for name in rows[0]:
        if name in ("sidecars", "entries", "teams"):
            continue
        line = fit_line([(row[x_name], row[name]) for row in rows])
        print(
            f"{name} = {line.intercept:.4g} + {line.slope:.4g} * {x_name}"
            f"   (largest error {line.relative_error:.0%})"
        )


if __name__ == "__main__":
    main()
