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

from crowdeck import route as routes
from crowdeck.routing import arrival_rates


@attrs.frozen
class PathLimits:
    """Bounds on the path of a new stream.

    :ivar max_cache_utilization: share of an engine's KV cache up to which
        the stream may fill it.
    :ivar max_first_event_seconds: longest recent time to a first event at
        the path's first engine.
    :ivar accepts_late_head: whether the stream may begin at a slower first
        engine if there is no path from one within that time.
    """

    max_cache_utilization: float = 1.0
    max_first_event_seconds: float = float("inf")
    accepts_late_head: bool = False

    @property
    def is_bounded(self) -> bool:
        """Whether the stream may be kept out of what others may use."""
        return (
            self.max_cache_utilization < 1.0
            or self.max_first_event_seconds < float("inf")
        ) and not self.accepts_late_head


class StreamStart(typing.Protocol):
    """A stream that waits for its first event or has had it."""

    @property
    def urgency(self) -> routes.Urgency:
        """Its urgency beside other streams of the service."""
        ...

    @property
    def objective_seconds(self) -> float:
        """Latency objective of its first event."""
        ...

    @property
    def first_event_at(self) -> float | None:
        """Loop time of its first event."""
        ...


class StreamAdmission(typing.Protocol):
    """Bounds the paths of new streams."""

    def limits(
        self, service: str, urgency: routes.Urgency, objective: float
    ) -> PathLimits:
        """Return the bounds for a stream that begins now.

        :param objective: latency objective of its first event, in seconds.
        """
        ...


class StreamNotes(typing.Protocol):
    """Takes note of what becomes of streams, to bound those that follow."""

    def note_arrival(
        self, service: str, stream: StreamStart, room_share: float
    ) -> None:
        """Note that a stream has arrived; :meth:`note_ended` has to follow.

        :param room_share: share of the fleet's KV cache that it will hold.
        """
        ...

    def position(
        self, service: str, urgency: routes.Urgency
    ) -> arrival_rates.RankPosition:
        """Return the place of a rank among those that arrived lately."""
        ...

    def note_begun(self, service: str, urgency: routes.Urgency) -> None:
        """Note that a stream was let in: it has its first path."""
        ...

    def note_refused(self, service: str, urgency: routes.Urgency) -> None:
        """Note that a stream was refused for lack of capacity."""
        ...

    def note_ended(self, service: str, stream: StreamStart) -> None:
        """Note that a stream has ended, whatever its outcome."""
        ...


@attrs.frozen
class UnlimitedAdmission:
    """Lets every stream use whatever is free."""

    def limits(
        self, service: str, urgency: routes.Urgency, objective: float
    ) -> PathLimits:
        """Return no bounds."""
        return PathLimits()
