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
# with the number of engines. The subset has at most these numbers of engines
# of the own availability zone and of all other zones.
SUBSET_THRESHOLD_ENGINES = 150
MAX_OWN_ZONE_ENGINES = 100
MAX_OTHER_ZONE_ENGINES = 50


class EngineSubset:
    """The engines that one entry uses, drawn by rendezvous hashing.

    Engines are spread evenly over entries, and one that goes changes the
    subset by no more than its own replacement.
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
            # Drops the scores of engines that went; names are not reused.
            self._scores.clear()
        own: list[chain.Upstream] = []
        others: list[chain.Upstream] = []
        for one in engines:
            is_own = one.availability_zone == self._zone
            (own if is_own else others).append(one)
        return [
            *heapq.nlargest(MAX_OWN_ZONE_ENGINES, own, self._score),
            *heapq.nlargest(MAX_OTHER_ZONE_ENGINES, others, self._score),
        ]

    def _score(self, engine: chain.Upstream) -> float:
        score = self._scores.get(engine.name)
        if score is None:
            score = rendezvous.score(self._entry, engine.name)
            self._scores[engine.name] = score
        return score
