# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""What a stage is expected to cost a request: the policy of paths.

``crowdeck`` predicts times; the other two are the usual simple ways, kept
so that every figure can be compared with them in the same run.
"""

from __future__ import annotations

import typing

if typing.TYPE_CHECKING:
    # An entry in front of engines that chain themselves reads the names of
    # policies with its configuration, and loads no sidecar's code for it.
    from crowdeck.membership import fleet as fleets
    from crowdeck import pipeline

CROWDECK = "crowdeck"
ROUND_ROBIN = "round_robin"
LEAST_LOAD = "least_load"
NAMES = (CROWDECK, ROUND_ROBIN, LEAST_LOAD)

# Assumed until a sidecar has reported batches of its own.
UNKNOWN_STEP_SECONDS = 0.005
# A step that comes while a batch runs waits for half of it on average,
# then takes one of its own.
QUEUE_FACTOR = 1.5


class Policy(typing.Protocol):
    """Says what a stage costs; the cheapest path is taken."""

    def cost(self, view: fleets.SidecarView, offer: pipeline.Offer) -> float:
        """Return the cost of one more answer at a stage, in seconds."""
        ...


def step_seconds(view: fleets.SidecarView, size: float) -> float:
    """Return the time of a batch of ``size`` at a stage."""
    load = view.load
    if load is None or not load.batch_seconds:
        return UNKNOWN_STEP_SECONDS
    return load.batch_seconds + size * load.token_seconds


def congestion_seconds(
    view: fleets.SidecarView, offer: pipeline.Offer
) -> float:
    """Return the least time between tokens that a stage can keep up with.

    With n answers in progress and full batches, an engine gives each of
    them a token every n / (limit / batch time) seconds, however short the
    rest of the path is.
    """
    limit = max(1, offer.batch_limit)
    return (view.inflight + 1) / limit * step_seconds(view, limit)


class PredictedTime:
    """Queue, step and congestion, from learned times and live counts."""

    def cost(self, view: fleets.SidecarView, offer: pipeline.Offer) -> float:
        """Return the predicted time of a position at a stage."""
        size = min(view.inflight + 1, offer.batch_limit)
        alone = QUEUE_FACTOR * step_seconds(view, size / 2)
        return alone + congestion_seconds(view, offer)


class RoundRobin:
    """Each stage in turn, whatever its speed: the least chosen so far."""

    def cost(self, view: fleets.SidecarView, offer: pipeline.Offer) -> float:
        """Return how often a stage was chosen."""
        return 1.0 + view.times_chosen


class LeastLoad:
    """The least reported load, without correction or times."""

    def cost(self, view: fleets.SidecarView, offer: pipeline.Offer) -> float:
        """Return the work that a stage last reported."""
        return 1.0 + (view.load.running if view.load is not None else 0)


def make_policy(name: str) -> Policy:
    """Return the policy of that name."""
    if name == ROUND_ROBIN:
        return RoundRobin()
    if name == LEAST_LOAD:
        return LeastLoad()
    return PredictedTime()
