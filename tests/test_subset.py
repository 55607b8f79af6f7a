# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Tests of the engine subsets of entries."""

import collections

from bench import paths
from crowdeck import chain
from crowdeck.routing import subset as subsets

ZONE = paths.ZONES[0]


class TestEngineSubset:
    """The engines of a fleet that one entry uses."""

    def test_a_small_fleet_is_used_whole(self) -> None:
        fleet = paths.make_fleet(subsets.SUBSET_THRESHOLD_ENGINES)
        assert subsets.EngineSubset("entry-0", ZONE).pick(fleet) == fleet

    def test_a_subset_holds_every_layer(self) -> None:
        fleet = paths.make_fleet(2_997)
        for number in range(20):
            picked = subsets.EngineSubset(f"entry-{number}", ZONE).pick(fleet)
            assert (
                len(picked)
                == subsets.MAX_OWN_ZONE_ENGINES
                + subsets.MAX_OTHER_ZONE_ENGINES
            )
            own_zone = [
                engine for engine in picked if engine.availability_zone == ZONE
            ]
            assert min(chain.coverage(own_zone, paths.LAYER_COUNT)) >= 2

    def test_engines_are_spread_evenly(self) -> None:
        fleet = paths.make_fleet(1_500)
        pick_counts: collections.Counter[str] = collections.Counter()
        for number in range(60):
            subset = subsets.EngineSubset(f"entry-{number}", ZONE)
            pick_counts.update(
                engine.name
                for engine in subset.pick(fleet)
                if engine.availability_zone == ZONE
            )
        own_zone = [
            engine for engine in fleet if engine.availability_zone == ZONE
        ]
        mean = 60 * subsets.MAX_OWN_ZONE_ENGINES / len(own_zone)
        assert len(pick_counts) == len(own_zone)
        assert max(pick_counts.values()) < 2 * mean

    def test_is_stable_when_other_engines_go(self) -> None:
        fleet = paths.make_fleet(1_500)
        subset = subsets.EngineSubset("entry-0", ZONE)
        before = {engine.name for engine in subset.pick(fleet)}
        gone = {engine.name for engine in fleet[::100]}
        after = subset.pick(
            [engine for engine in fleet if engine.name not in gone]
        )
        assert before - gone <= {engine.name for engine in after}
