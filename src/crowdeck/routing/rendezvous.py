# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Weighted rendezvous hashing: which member a key belongs to.

Chosen over a ring of points: the spread is exact for any number of
members and weights, no point count has to be chosen, and when a member
goes only its own keys move. ``docs/decisions/0006`` has the figures.
"""

from collections import abc
import math

import xxhash

_HASH_RANGE = float(2**64)


def score(key: str, member: str, weight: float = 1.0) -> float:
    """Return how strongly ``key`` is drawn to ``member``.

    The logarithm makes shares proportional to weights.
    """
    digest = xxhash.xxh3_64_intdigest(f"{key}\0{member}".encode())
    return -weight / math.log((digest + 1) / (_HASH_RANGE + 2))


def rank(
    key: str,
    members: abc.Iterable[str],
    weights: dict[str, float] | None = None,
) -> list[str]:
    """Return members from the strongest to the weakest for ``key``.

    >>> rank("desk-7", ["a", "b", "c"]) == rank("desk-7", ["c", "b", "a"])
    True
    """
    given = weights or {}
    return sorted(
        members,
        key=lambda member: (
            -score(key, member, given.get(member, 1.0)),
            member,
        ),
    )
