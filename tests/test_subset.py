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
    """The engines that one entry uses of a fleet."""

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
            own = [one for one in picked if one.availability_zone == ZONE]
            assert min(chain.coverage(own, paths.LAYER_COUNT)) >= 2

    def test_engines_are_spread_evenly(self) -> None:
        fleet = paths.make_fleet(1_500)
        drawn: collections.Counter[str] = collections.Counter()
        for number in range(60):
            subset = subsets.EngineSubset(f"entry-{number}", ZONE)
            drawn.update(
                one.name
                for one in subset.pick(fleet)
                if one.availability_zone == ZONE
            )
        own = [one for one in fleet if one.availability_zone == ZONE]
        mean = 60 * subsets.MAX_OWN_ZONE_ENGINES / len(own)
        assert len(drawn) == len(own)
        assert max(drawn.values()) < 2 * mean

    def test_is_stable_when_other_engines_go(self) -> None:
        fleet = paths.make_fleet(1_500)
        subset = subsets.EngineSubset("entry-0", ZONE)
        before = {one.name for one in subset.pick(fleet)}
        gone = {one.name for one in fleet[::100]}
        after = subset.pick([one for one in fleet if one.name not in gone])
        assert before - gone <= {one.name for one in after}
