# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Measures how evenly consistent and rendezvous hashing distribute keys.

``python -m bench.spread`` prints the coefficient of variation of the number
of keys of each member: for random assignment, for a hash ring (by formula and
measured), and for rendezvous hashing (measured).
"""

import bisect
import math
import statistics
import time

import xxhash

from crowdeck.routing import rendezvous

MEMBER_COUNTS = (3, 40, 860)
POINTS_PER_MEMBER = (16, 160, 1600)
KEYS_PER_MEMBER = 500
MAX_KEYS = 40_000


def expected_ring_variation(members: int, points: int) -> float:
    """Return the expected coefficient of variation on a hash ring.

    :param points: points of each member on the ring.
    """
    return math.sqrt((members - 1) / (members * points + 1))


def coefficient_of_variation(counts: list[int]) -> float:
    """Return the coefficient of variation."""
    return statistics.pstdev(counts) / statistics.mean(counts)


def measure_ring(members: int, points: int, keys: list[str]) -> float:
    """Return the coefficient of variation of keys on a hash ring."""
    ring = sorted(
        (xxhash.xxh3_64_intdigest(f"{member}#{point}".encode()), member)
        for member in range(members)
        for point in range(points)
    )
    positions = [position for position, _ in ring]
    counts = [0] * members
    for key in keys:
        index = bisect.bisect(
            positions, xxhash.xxh3_64_intdigest(key.encode())
        )
        counts[ring[index % len(ring)][1]] += 1
    return coefficient_of_variation(counts)


def measure_rendezvous(members: int, keys: list[str]) -> tuple[float, float]:
    """Return the coefficient of variation, and microseconds per choice."""
    names = [f"member-{member}" for member in range(members)]
    counts = dict.fromkeys(names, 0)
    started = time.perf_counter()
    for key in keys:
        counts[max(names, key=lambda name: rendezvous.score(key, name))] += 1
    elapsed = time.perf_counter() - started
    return coefficient_of_variation(list(counts.values())), elapsed / len(
        keys
    ) * 1e6


def main() -> None:
    """Print the results for each number of members."""
    for members in MEMBER_COUNTS:
        count = min(KEYS_PER_MEMBER * members, MAX_KEYS)
        keys = [f"team/desk-{number}" for number in range(count)]
        chance = math.sqrt((members - 1) / count)
        print(f"{members} members, {count} keys; by chance {chance:.1%}")
        for points in POINTS_PER_MEMBER:
            expected = expected_ring_variation(members, points)
            measured = measure_ring(members, points, keys)
            print(
                f"  ring, {points} points: formula {expected:.1%}, "
                f"measured {measured:.1%}"
            )
        by_rendezvous, microseconds = measure_rendezvous(members, keys[:8000])
        print(
            f"  rendezvous: measured {by_rendezvous:.1%} over "
            f"{len(keys[:8000])} keys, {microseconds:.0f} us a choice"
        )


if __name__ == "__main__":
    main()
