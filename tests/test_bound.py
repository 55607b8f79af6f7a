# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Tests of the upper bound on what engines can serve."""

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
    listed = fleet_system.upstream(name, "plateau", (first, end), "large")
    return attrs.evolve(listed, slots=slots)


class TestBound:
    """The bound and the resource that limits it."""

    def test_is_limited_by_the_bottleneck_layers(self) -> None:
        engines = [
            engine("a", 0, 30),
            engine("b", 30, 70),
            engine("c", 70, 80),
        ]
        found = bound.compute_bound(engines, PROFILE)
        assert found.limiting_resource is bound.LimitingResource.MEMORY
        assert found.bottleneck == pipeline.LayerRange(30, 70)
        mean_tokens = (
            PROFILE.mean_prompt_tokens + PROFILE.mean_answer_tokens / 2.0
        )
        token_capacity = PROFILE.token_capacity("large", 40)
        assert found.concurrent_requests == pytest.approx(
            token_capacity / mean_tokens
        )

    def test_a_second_copy_of_the_bottleneck_doubles_it(self) -> None:
        engines = [
            engine("a", 0, 30),
            engine("b", 30, 70),
            engine("c", 70, 80),
        ]
        single = bound.compute_bound(engines, PROFILE).concurrent_requests
        engines.append(engine("d", 30, 70))
        assert bound.compute_bound(
            engines, PROFILE
        ).concurrent_requests == pytest.approx(2 * single)

    def test_missing_layers_serve_nothing(self) -> None:
        engines = [
            engine("a", 0, 30),
            engine("b", 35, 60),
            engine("c", 60, 80),
        ]
        found = bound.compute_bound(engines, PROFILE)
        assert found.limiting_resource is bound.LimitingResource.MISSING_LAYERS
        assert found.bottleneck == pipeline.LayerRange(30, 35)
        assert found.per_second == 0.0

    def test_is_limited_by_the_slots_of_first_engines(self) -> None:
        engines = [engine("a", 0, 30, slots=3), engine("b", 30, 60)]
        engines.append(engine("c", 60, 80))
        found = bound.compute_bound(engines, PROFILE)
        assert found.limiting_resource is bound.LimitingResource.SLOTS
        assert found.concurrent_requests == 3.0

    def test_is_limited_by_the_prefill_of_long_prompts(self) -> None:
        profile = attrs.evolve(PROFILE, prefill_tokens_per_second=1000.0)
        engines = [engine("a", 0, 30), engine("b", 30, 60)]
        engines.append(engine("c", 60, 80))
        assert (
            bound.compute_bound(engines, profile).limiting_resource
            is bound.LimitingResource.PREFILL
        )

    def test_planned_paths_reach_the_memory_bound(self) -> None:
        engines = [
            engine("a", 0, 30),
            engine("b", 30, 70),
            engine("c", 30, 70),
            engine("d", 70, 80),
        ]
        mean_tokens = (
            PROFILE.mean_prompt_tokens + PROFILE.mean_answer_tokens / 2.0
        )
        request = hops.PathRequest(PROFILE, mean_tokens, "plateau")
        usage = usages.InFlight()
        planner = hops.HopPlanner(usage)
        count = 0
        while (path := planner.plan(engines, request)) is not None:
            usage.add_request(path, mean_tokens)
            count += 1
        found = bound.compute_bound(engines, PROFILE).concurrent_requests
        assert found - 2 < count <= found
