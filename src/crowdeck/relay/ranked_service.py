# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""What decides about streams of services with several urgencies."""

import collections
import typing

from crowdeck import chain
from crowdeck.relay import beginning
from crowdeck.relay import context as contexts
from crowdeck.relay import live
from crowdeck.relay import path_searches
from crowdeck.relay import probes
from crowdeck.relay import questions
from crowdeck.relay import ranked_silence
from crowdeck.relay import ranked_waiting
from crowdeck.relay import waiting
from crowdeck.routing import fleet_room
from crowdeck.routing import head_queue
from crowdeck.routing import retry_reserve
from crowdeck.routing import stream_admission
from crowdeck.routing import urgency_admission
from crowdeck.routing import waiting_order

# Streams that are believed to wait at one engine for a first event, whatever
# other entries tell.
MAX_STARTING_ELSEWHERE = 1_000


class RankedParts:
    """The parts that act only on streams of different urgency.

    :ivar admission: bounds the paths of new streams.
    :ivar notes: is told what becomes of streams.
    :ivar failed_searches: searches for another path that failed.
    """

    def __init__(self, context: contexts.RelayContext) -> None:
        urgency = urgency_admission.UrgencyAdmission(
            context.waiting_by_rank,
            lambda: context.fleet_load,
            lambda: context.membership.entry_count,
        )
        self.admission: stream_admission.StreamAdmission = urgency
        self.notes: stream_admission.StreamNotes = urgency
        self.failed_searches = path_searches.FailedPathSearches()
        self._context = context
        self._room = fleet_room.FleetRoom(context.registry.usable)
        self._queues: dict[str, ranked_waiting.RankedQueue] = {}
        context.heads.use_queues(
            head_queue.HeadQueue, self._starting_elsewhere
        )

    def begin(self, stream: live.LiveStream) -> beginning.Beginning:
        """Return what follows a stream until it has a path."""
        return beginning.Beginning(self._context, stream)

    def queue(self, service: str) -> ranked_waiting.RankedQueue:
        """Return the queue of requests that wait for a service."""
        queue = self._queues.get(service)
        if queue is None:
            queue = ranked_waiting.RankedQueue(
                self._context.retry_advisor.seconds_until_capacity
            )
            self._queues[service] = queue
        return queue

    def waiting_by_rank(self) -> collections.Counter[tuple[str, int]]:
        """Return how many requests wait here, by service and rank."""
        return collections.Counter(
            {
                (service, rank): count
                for service, queue in self._queues.items()
                for rank, count in queue.count_by_rank().items()
            }
        )

    def waiting_elsewhere(self, service: str, rank: int) -> float:
        """Return how many more urgent requests wait at each other entry."""
        return waiting_order.waiting_elsewhere(
            self._context.fleet_load, service, rank, waiting.MAX_WAITING
        )

    def judge_silence(
        self,
        streams: typing.Collection[live.LiveStream],
        prober: probes.Prober,
        is_lost: questions.LossCheck,
    ) -> ranked_silence.RankedSilence:
        """Return what judges silences of ``streams``, updated by the caller.

        :param is_lost: checks a first engine without a report.
        """
        return ranked_silence.RankedSilence(
            streams, self._context.heads, prober, is_lost
        )

    def path_search(
        self,
        stream: live.LiveStream,
        path: chain.ChainPath,
        excluded: set[str],
    ) -> path_searches.PathSearch:
        """Return a search for another path among the usable engines.

        :param excluded: names of the engines to avoid.
        """
        usable = self._context.registry.usable(stream.service.name)
        return path_searches.PathSearch(
            path,
            frozenset(excluded),
            frozenset(engine.name for engine in usable),
        )

    def note_arrival(self, stream: live.LiveStream) -> None:
        """Note that a stream has arrived; :meth:`note_ended` has to follow."""
        service = stream.service.name
        room_share = self._room.share(service, stream.profile, stream.tokens)
        self.notes.note_arrival(service, stream, room_share)

    def note_ended(self, stream: live.LiveStream) -> None:
        """Note that a stream has ended, so that its team uses less."""
        service = stream.service.name
        self.notes.note_ended(service, stream)
        self.queue(service).teams.note_ended(stream)

    def reserved_retry_share(
        self, stream: live.LiveStream, has_started: bool, was_refused: bool
    ) -> float:
        """Return the share of the retry budget that a stream leaves.

        The parameters are those of :class:`retry_reserve.RetryNeed`.
        """
        position = self.notes.position(stream.service.name, stream.urgency)
        return retry_reserve.RetryNeed(
            stream.urgency, position, has_started, was_refused
        ).reserved_share

    def _starting_elsewhere(self, name: str) -> int:
        """Return how many streams of other entries wait at an engine."""
        fleet_load = self._context.fleet_load
        if not fleet_load.is_current:
            return 0
        engine_load = fleet_load.others.engines.get(name)
        if engine_load is None:
            return 0
        return min(max(0, engine_load.starting), MAX_STARTING_ELSEWHERE)
