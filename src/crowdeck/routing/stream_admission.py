# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0
"""Decides how much of the fleet a new stream may use.

Answers the load of a service that has requests of different urgency and is
too small for all of them at times.
"""

import typing

import attrs

from crowdeck import urgency as urgencies


@attrs.frozen
class PathLimits:
    """Bounds on the path of a new stream.

    :ivar max_cache_utilization: share of an engine's KV cache up to which
        the stream may fill it.
    :ivar max_first_event_seconds: longest recent time to a first event at
        the path's first engine.
    """

    max_cache_utilization: float = 1.0
    max_first_event_seconds: float = float("inf")


class StreamAdmission(typing.Protocol):
    """Bounds the paths of new streams."""

    def limits(
        self, service: str, urgency: urgencies.Urgency, objective: float
    ) -> PathLimits:
        """Return the bounds for a stream that begins now.

        :param objective: latency objective of its first event, in seconds.
        """
        ...


@attrs.frozen
class UnlimitedAdmission:
    """Lets every stream use whatever is free."""

    def limits(
        self, service: str, urgency: urgencies.Urgency, objective: float
    ) -> PathLimits:
        """Return no bounds."""
        return PathLimits()
