# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Weighted rendezvous hashing of keys to members.

Unlike a hash ring it needs no virtual nodes and follows the weights
exactly, and when a member leaves only its own keys move. See
``docs/decisions/0006``.
"""

from collections import abc
import math

import xxhash

_HASH_RANGE = float(2**64)


def score(key: str, member: str, weight: float = 1.0) -> float:
    """Return the score of ``member`` for ``key``.

    A key belongs to the member with the highest score. The logarithm makes
    the members' shares of the keys proportional to their weights.
    """
    digest = xxhash.xxh3_64_intdigest(f"{key}\0{member}".encode())
    return -weight / math.log((digest + 1) / (_HASH_RANGE + 2))


def rank(
    key: str,
    members: abc.Iterable[str],
    weights: dict[str, float] | None = None,
) -> list[str]:
    """Return members by their score for ``key``, the highest first.

    >>> rank("key", ["a", "b", "c"]) == rank("key", ["c", "b", "a"])
    True
    """
    weight_by_member = weights or {}
    return sorted(
        members,
        key=lambda member: (
            -score(key, member, weight_by_member.get(member, 1.0)),
            member,
        ),
    )
