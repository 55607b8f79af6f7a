# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""What engines can serve at most."""

import attrs
import pytest

from crowdeck import chain
from crowdeck import pipeline
from crowdeck.routing import bound
from crowdeck.routing import hops
from crowdeck.routing import usage as usages
from tests import fleet_system

PROFILE = fleet_system.PROFILE


def engine(
    name: str, first: int, end: int, slots: int = 1000
) -> chain.Upstream:
    one = fleet_system.upstream(name, "plateau", (first, end), "large")
    return attrs.evolve(one, slots=slots)


class TestBound:
    """An upper bound, and what it comes from."""

    def test_narrowest_layers_bind(self) -> None:
        fleet = [engine("a", 0, 30), engine("b", 30, 70), engine("c", 70, 80)]
        most = bound.bound(fleet, PROFILE)
        assert most.binding is bound.Binding.MEMORY
        assert most.bottleneck == pipeline.LayerRange(30, 70)
        usual = PROFILE.mean_prompt_tokens + PROFILE.mean_answer_tokens / 2.0
        token_capacity = PROFILE.token_capacity("large", 40)
        assert most.concurrent_requests == pytest.approx(
            token_capacity / usual
        )

    def test_a_second_copy_doubles_what_it_holds(self) -> None:
        fleet = [engine("a", 0, 30), engine("b", 30, 70), engine("c", 70, 80)]
        alone = bound.bound(fleet, PROFILE).concurrent_requests
        fleet.append(engine("d", 30, 70))
        assert bound.bound(
            fleet, PROFILE
        ).concurrent_requests == pytest.approx(2 * alone)

    def test_missing_layers_serve_nothing(self) -> None:
        fleet = [engine("a", 0, 30), engine("b", 35, 60), engine("c", 60, 80)]
        most = bound.bound(fleet, PROFILE)
        assert most.binding is bound.Binding.MISSING
        assert most.bottleneck == pipeline.LayerRange(30, 35)
        assert most.per_second == 0.0

    def test_first_engines_take_no_more_than_their_slots(self) -> None:
        fleet = [engine("a", 0, 30, slots=3), engine("b", 30, 60)]
        fleet.append(engine("c", 60, 80))
        most = bound.bound(fleet, PROFILE)
        assert most.binding is bound.Binding.SLOTS
        assert most.concurrent_requests == 3.0

    def test_long_prompts_bind_by_reading(self) -> None:
        profile = attrs.evolve(PROFILE, prefill_tokens_per_second=1000.0)
        fleet = [engine("a", 0, 30), engine("b", 30, 60)]
        fleet.append(engine("c", 60, 80))
        assert bound.bound(fleet, profile).binding is bound.Binding.PREFILL

    def test_paths_reach_the_bound_on_memory_and_no_more(self) -> None:
        fleet = [
            engine("a", 0, 30),
            engine("b", 30, 70),
            engine("c", 30, 70),
            engine("d", 70, 80),
        ]
        usual = PROFILE.mean_prompt_tokens + PROFILE.mean_answer_tokens / 2.0
        wanted = hops.PathRequest(PROFILE, usual, "plateau")
        usage = usages.InFlight()
        planner = hops.HopPlanner(usage)
        count = 0
        while (path := planner.plan(fleet, wanted)) is not None:
            usage.add_request(path, usual)
            count += 1
        most = bound.bound(fleet, PROFILE).concurrent_requests
        assert most - 2 < count <= most
