# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Measures how evenly keys spread: a ring of points, and rendezvous.

``python -m bench.spread`` prints, for our sizes, the coefficient of
variation of members' shares: a ring's by its formula, a ring's measured,
rendezvous hashing's measured, and the part that is due to chance alone.
"""

import bisect
import math
import statistics
import time

import xxhash

from crowdeck.routing import rendezvous

SIZES = (3, 40, 860)
POINTS = (16, 160, 1600)
KEYS_PER_MEMBER = 500
KEY_LIMIT = 40_000


def ring_formula(members: int, points: int) -> float:
    """Return the spread that the related article derives."""
    return math.sqrt((members - 1) / (members * points + 1))


def variation(counts: list[int]) -> float:
    """Return the coefficient of variation."""
    return statistics.pstdev(counts) / statistics.mean(counts)


def ring_measured(members: int, points: int, keys: list[str]) -> float:
    """Return the spread of keys over a ring of points."""
    ring = sorted(
        (xxhash.xxh3_64_intdigest(f"{member}#{point}".encode()), member)
        for member in range(members)
        for point in range(points)
    )
    places = [place for place, _ in ring]
    counts = [0] * members
    for key in keys:
        at = bisect.bisect(places, xxhash.xxh3_64_intdigest(key.encode()))
        counts[ring[at % len(ring)][1]] += 1
    return variation(counts)


def rendezvous_measured(members: int, keys: list[str]) -> tuple[float, float]:
    """Return the spread by rendezvous, and microseconds per choice."""
    names = [f"member-{member}" for member in range(members)]
    counts = dict.fromkeys(names, 0)
    started = time.perf_counter()
    for key in keys:
        counts[max(names, key=lambda name: rendezvous.score(key, name))] += 1
    elapsed = time.perf_counter() - started
    return variation(list(counts.values())), elapsed / len(keys) * 1e6


def main() -> None:
    """Print one line per size."""
    for members in SIZES:
        count = min(KEYS_PER_MEMBER * members, KEY_LIMIT)
        keys = [f"team/desk-{number}" for number in range(count)]
        chance = math.sqrt((members - 1) / count)
        print(f"{members} members, {count} keys; by chance {chance:.1%}")
        for points in POINTS:
            formula = ring_formula(members, points)
            measured = ring_measured(members, points, keys)
            print(
                f"  ring, {points} points: formula {formula:.1%}, "
                f"measured {measured:.1%}"
            )
        spread, cost = rendezvous_measured(members, keys[:8000])
        print(
            f"  rendezvous: measured {spread:.1%} over {len(keys[:8000])} "
            f"keys, {cost:.0f} us a choice"
        )


if __name__ == "__main__":
    main()
