# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Subsets of large fleets, to bound the cost of choosing a path."""

import heapq
import typing

from crowdeck import chain
from crowdeck.routing import rendezvous

# Larger fleets are reduced to a subset, as the time to choose a path grows
# with the number of engines. It takes 2.1 ms of a full core with 130 engines
# and 32 ms with 2,997, and three times as long at a small entry, which relays
# nothing meanwhile.
SUBSET_THRESHOLD_ENGINES = 150
# Maximum number of the subset's engines in the entry's availability zone. With
# 100 of 600 each layer is still held by ten of them.
MAX_OWN_ZONE_ENGINES = 100
# Maximum number of its engines in all other zones together.
MAX_OTHER_ZONE_ENGINES = 50


class EngineSubset:
    """The engines that one entry uses, drawn by rendezvous hashing.

    Engines are spread evenly over entries. When an engine of the subset ends,
    another replaces it and all others stay.
    """

    def __init__(self, entry: str, zone: str) -> None:
        self._entry = entry
        self._zone = zone
        self._scores: dict[str, float] = {}

    def pick(
        self, engines: typing.Sequence[chain.Upstream]
    ) -> typing.Sequence[chain.Upstream]:
        """Return the engines to choose a path from."""
        if len(engines) <= SUBSET_THRESHOLD_ENGINES:
            return engines
        if len(self._scores) > 2 * len(engines):
            # Drops the scores of engines that are gone; their names are not
            # used again.
            self._scores.clear()
        own_zone: list[chain.Upstream] = []
        other_zones: list[chain.Upstream] = []
        for engine in engines:
            is_in_own_zone = engine.availability_zone == self._zone
            (own_zone if is_in_own_zone else other_zones).append(engine)
        return [
            *heapq.nlargest(MAX_OWN_ZONE_ENGINES, own_zone, self._score),
            *heapq.nlargest(MAX_OTHER_ZONE_ENGINES, other_zones, self._score),
        ]

    def _score(self, engine: chain.Upstream) -> float:
        score = self._scores.get(engine.name)
        if score is None:
            score = rendezvous.score(self._entry, engine.name)
            self._scores[engine.name] = score
        return score
