# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0
"""Bounds less urgent streams while more urgent ones lack capacity."""

import collections
import typing

import anyio

from crowdeck import route as routes
from crowdeck.routing import arrival_rates
from crowdeck.routing import stream_admission
from crowdeck.routing import urgency_pressure
from crowdeck.routing import usage as usages

# Bounds on the share of each engine's KV cache that the least urgent streams
# leave free under pressure. Ranks between leave a proportional part.
MIN_HEADROOM_SHARE = 0.1
MAX_HEADROOM_SHARE = 0.4
# Share of the strictest objective up to which first engines take less urgent
# streams under pressure. Times to a first event vary around the recent mean.
TIMELY_SHARE = 0.75
# Share of the streams of each rank that is let in like the most urgent.
GUARANTEED_SHARE = 0.2
# Guaranteed streams that a rank can save up.
MAX_SAVED_STREAMS = 1.0

Waiting = typing.Callable[[], typing.Mapping[tuple[str, int], int]]


class UrgencyAdmission:
    """Bounds a new stream by its urgency and the pressure on its service.

    Only streams of services with several ranks are bounded.

    :param waiting: returns how many requests wait at this entry, by service
        and rank.
    :param fleet_load: returns what other entries have in progress.
    :param entry_count: returns the number of entries, 0 while unknown.
    """

    def __init__(
        self,
        waiting: Waiting,
        fleet_load: typing.Callable[[], usages.FleetLoad],
        entry_count: typing.Callable[[], int],
    ) -> None:
        self._waiting = waiting
        self._fleet_load = fleet_load
        self._entry_count = entry_count
        self._pressure = urgency_pressure.UrgencyPressure()
        self._rates = arrival_rates.ArrivalRates()
        # Guaranteed streams that may be let in now, by service and rank.
        self._saved_streams: dict[tuple[str, int], float] = {}
        # Streams without a first event, with the loop time at which it is
        # due.
        self._starting: dict[
            str, dict[stream_admission.StreamStart, float]
        ] = collections.defaultdict(dict)

    def limits(
        self, service: str, urgency: routes.Urgency, objective: float
    ) -> stream_admission.PathLimits:
        """Return the bounds for a stream that begins now.

        :param objective: latency objective of its first event, in seconds.
        """
        if not urgency.is_ranked:
            return stream_admission.PathLimits()
        max_seconds = objective if objective > 0.0 else float("inf")
        self._update_pressure(service, urgency)
        if not self._must_yield(service, urgency):
            return stream_admission.PathLimits(
                max_first_event_seconds=max_seconds, accepts_late_head=True
            )
        strictest = min(
            max_seconds, self._rates.strictest_objective(service, urgency.rank)
        )
        return stream_admission.PathLimits(
            max_cache_utilization=1.0 - self._headroom(service, urgency),
            max_first_event_seconds=TIMELY_SHARE * strictest,
        )

    def note_arrival(
        self,
        service: str,
        stream: stream_admission.StreamStart,
        room_share: float,
    ) -> None:
        """Note that a stream has arrived; :meth:`note_ended` has to follow.

        :param room_share: share of the fleet's KV cache that it will hold.
        """
        urgency = stream.urgency
        if not urgency.is_ranked:
            return
        objective_seconds = stream.objective_seconds
        if objective_seconds > 0.0:
            self._rates.add(
                service, urgency.rank, room_share, objective_seconds
            )
            due_at = anyio.current_time() + objective_seconds
            self._starting[service][stream] = due_at
        key = (service, urgency.rank)
        saved = self._saved_streams.get(key, 0.0) + GUARANTEED_SHARE
        self._saved_streams[key] = min(saved, MAX_SAVED_STREAMS)

    def position(
        self, service: str, urgency: routes.Urgency
    ) -> arrival_rates.RankPosition:
        """Return the place of a rank among those that arrived lately."""
        return self._rates.position(service, urgency.rank)

    def note_begun(self, service: str, urgency: routes.Urgency) -> None:
        """Note that a stream was let in: it has its first path."""
        key = (service, urgency.rank)
        saved = self._saved_streams.get(key)
        if saved is not None:
            self._saved_streams[key] = max(0.0, saved - 1.0)

    def note_refused(self, service: str, urgency: routes.Urgency) -> None:
        """Note that a stream was refused for lack of capacity."""
        self._note(service, urgency, urgency_pressure.Reason.REFUSED)

    def note_ended(
        self, service: str, stream: stream_admission.StreamStart
    ) -> None:
        """Note that a stream has ended, whatever its outcome."""
        due_at = self._starting.get(service, {}).pop(stream, None)
        if due_at is not None:
            self._note_if_late(service, stream, due_at)

    def _must_yield(self, service: str, urgency: routes.Urgency) -> bool:
        if not self._pressure.is_on(service, urgency.rank):
            return False
        saved = self._saved_streams.get((service, urgency.rank), 0.0)
        # The sum of the shares may be just below 1 by rounding.
        return round(saved, 6) < 1.0

    def _headroom(self, service: str, urgency: routes.Urgency) -> float:
        """Return the share of each engine's cache to leave free."""
        position = self._rates.position(service, urgency.rank)
        part = position.ahead / max(1, position.count - 1)
        room = self._rates.room_to_begin(service, urgency.rank)
        fleet_room = room * max(1, self._entry_count())
        least = MIN_HEADROOM_SHARE * part
        return max(least, min(fleet_room, MAX_HEADROOM_SHARE * part))

    def _update_pressure(self, service: str, urgency: routes.Urgency) -> None:
        """Note signs of pressure that no event has told of."""
        for stream, due_at in list(self._starting[service].items()):
            if stream.first_event_at is not None:
                del self._starting[service][stream]
            self._note_if_late(service, stream, due_at)
        self._note_waiting(
            service, urgency, self._waiting(), urgency_pressure.Reason.WAITING
        )
        fleet_load = self._fleet_load()
        if fleet_load.is_current:
            self._note_waiting(
                service,
                urgency,
                fleet_load.others.waiting,
                urgency_pressure.Reason.WAITING_ELSEWHERE,
            )
        self._pressure.end_if_over(service)

    def _note_if_late(
        self,
        service: str,
        stream: stream_admission.StreamStart,
        due_at: float,
    ) -> None:
        """Note a stream whose first event came too late or is overdue."""
        at = stream.first_event_at
        if at is None:
            at = anyio.current_time()
        if at > due_at:
            reason = urgency_pressure.Reason.LATE
            self._note(service, stream.urgency, reason, at)

    def _note_waiting(
        self,
        service: str,
        urgency: routes.Urgency,
        waiting: typing.Mapping[tuple[str, int], int],
        reason: urgency_pressure.Reason,
    ) -> None:
        for rank in range(urgency.rank_count):
            if waiting.get((service, rank), 0) > 0:
                self._note(
                    service,
                    routes.Urgency(rank, urgency.rank_count),
                    reason,
                )

    def _note(
        self,
        service: str,
        urgency: routes.Urgency,
        reason: urgency_pressure.Reason,
        at: float | None = None,
    ) -> None:
        """Note a sign of pressure, if any rank is less urgent."""
        if urgency.rank < urgency.rank_count - 1:
            self._pressure.note(service, urgency.rank, reason, at)
