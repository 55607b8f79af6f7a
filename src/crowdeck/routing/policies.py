# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Policies that estimate what a stage costs a request.

``crowdeck`` predicts times; ``round_robin`` and ``least_load`` are simple
baselines.
"""

from __future__ import annotations

import typing

if typing.TYPE_CHECKING:
    # Processes without sidecars import this module for the policies' names
    # and must not load these modules.
    from crowdeck.membership import fleet as fleets
    from crowdeck import pipeline

CROWDECK = "crowdeck"
ROUND_ROBIN = "round_robin"
LEAST_LOAD = "least_load"
NAMES = (CROWDECK, ROUND_ROBIN, LEAST_LOAD)

# Time of a step, assumed until a sidecar has reported batch times.
UNKNOWN_STEP_SECONDS = 0.005
# A step that arrives while a batch runs waits for half of it on average, then
# runs in the next.
QUEUE_FACTOR = 1.5


class Policy(typing.Protocol):
    """Estimates the cost of a stage; the cheapest path is taken."""

    def cost(self, view: fleets.SidecarView, offer: pipeline.Offer) -> float:
        """Return the cost of another answer at a stage.

        Costs are comparable only within a policy.
        """
        ...


def step_seconds(view: fleets.SidecarView, batch_size: float) -> float:
    """Return the time that a stage takes for a batch of sequences."""
    load = view.load
    if load is None or not load.batch_seconds:
        return UNKNOWN_STEP_SECONDS
    return load.batch_seconds + batch_size * load.token_seconds


def min_token_gap_seconds(
    view: fleets.SidecarView, offer: pipeline.Offer
) -> float:
    """Return the least time between tokens that a stage can sustain.

    With n answers in progress and full batches, each gets a token every
    n * batch time / limit seconds, however fast the other stages are.
    """
    limit = max(1, offer.batch_limit)
    return (view.inflight + 1) / limit * step_seconds(view, limit)


class PredictedTime:
    """Predicts queueing and step times from reports and the current load."""

    def cost(self, view: fleets.SidecarView, offer: pipeline.Offer) -> float:
        """Return a token's predicted latency plus the least gap, in seconds.

        The gap is the least time between tokens that the stage can sustain.
        """
        batch_size = min(view.inflight + 1, offer.batch_limit)
        latency_seconds = QUEUE_FACTOR * step_seconds(view, batch_size / 2)
        return latency_seconds + min_token_gap_seconds(view, offer)


class RoundRobin:
    """Chooses the stage that was chosen least often so far."""

    def cost(self, view: fleets.SidecarView, offer: pipeline.Offer) -> float:
        """Return 1 plus the number of times that a stage was chosen."""
        return 1.0 + view.times_chosen


class LeastLoad:
    """Chooses the stage with the least reported load."""

    def cost(self, view: fleets.SidecarView, offer: pipeline.Offer) -> float:
        """Return 1 plus the answers in progress that a stage reported."""
        return 1.0 + (view.load.running if view.load is not None else 0)


def make_policy(name: str) -> Policy:
    """Return the policy of a name in :data:`NAMES`."""
    if name == ROUND_ROBIN:
        return RoundRobin()
    if name == LEAST_LOAD:
        return LeastLoad()
    return PredictedTime()
