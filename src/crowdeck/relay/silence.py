# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0
"""Judges silent streams of services that are expected to be full at times."""

import enum

import attrs

from crowdeck import chain
from crowdeck.relay import engine_activity
from crowdeck.relay import live
from crowdeck.relay import load_pauses
from crowdeck.relay import stalls

# A ranked stream is silent no later than this share of its maximum pause, as
# its engines are judged by other streams' events first.
RANKED_LATEST_SHARE = 0.36
# If all engines of a silent stream show life, its first engine is asked after
# this share of its maximum pause, or as late as its whole maximum pause if
# load is known to cause such silences.
FIRST_ENGINE_SHARE = 0.95
# Age up to which an event or answer shows that an engine of a stream without
# a first event works, as for the reports that such streams share.
MAX_EVIDENCE_SECONDS = 0.25
# Number of silent streams through one engine that point to its loss.
COMMON_STREAMS = 2


class Reason(enum.StrEnum):
    """Why a silence is not asked about, or what the answers show.

    ``LIVELY``: events of others passed all its engines, so that the silence
    is its own. ``LOADED``: the engines work, and its first engine runs or
    queues requests. ``ANSWERED``: the engines answered. ``UNREACHABLE``,
    ``STALLED``: an engine does not answer, or the first engine waits for it.
    ``BOUNDED``: the entry has asked too many questions. ``UNSURE``: a missing
    answer may be due to this entry.
    """

    LIVELY = "lively"
    LOADED = "loaded"
    ANSWERED = "answered"
    UNREACHABLE = "unreachable"
    STALLED = "stalled"
    BOUNDED = "bounded"
    UNSURE = "unsure"


@attrs.frozen
class Candidate:
    """An engine that may be the cause of a silence.

    :ivar silent_streams: number of silent streams that pass it.
    """

    upstream: chain.Upstream
    silent_streams: int

    @property
    def is_common(self) -> bool:
        """Whether several silent streams have it in common."""
        return self.silent_streams >= COMMON_STREAMS


@attrs.frozen
class Judgement:
    """What is to be done about a silence.

    :ivar candidates: engines to ask, the most telling first.
    :ivar asks_head: whether to ask the first engine which engines stall.
    :ivar lively: number of engines that need not be asked.
    :ivar next_at: loop time of the next judgement if nobody is asked.
    :ivar is_partial: whether engines that may be the cause as well are left
        for the next check.
    """

    candidates: tuple[Candidate, ...]
    asks_head: bool
    lively: int
    next_at: float
    is_partial: bool = False

    @property
    def silent_streams(self) -> int:
        """Number of silent streams that pass the most telling engine."""
        return max(
            (candidate.silent_streams for candidate in self.candidates),
            default=0,
        )

    @property
    def asks(self) -> bool:
        """Whether anybody is to be asked now."""
        return self.asks_head or bool(self.candidates)


class SilenceJudge:
    """Says when a stream is silent, and whom to ask about it.

    An engine whose loss causes a silence passes no events once the stream's
    next event was due, apart from those that had passed it already. Other
    streams' events after that time show that the engine is not the cause.
    """

    def __init__(
        self,
        activity: engine_activity.EngineActivity,
        pauses: load_pauses.LoadPauses,
    ) -> None:
        self._activity = activity
        self._pauses = pauses

    def silent_at(self, stream: live.LiveStream, now: float) -> float:
        """Return when a stream counts as silent if no event arrives."""
        if not stream.has_events:
            limit_seconds = stalls.FIRST_EVENT_SHARE * stream.objective_seconds
        else:
            limit_seconds = self._pause_limit(stream, now)
        return max(stream.progress_at + limit_seconds, stream.next_check_at)

    def judge(self, stream: live.LiveStream, now: float) -> Judgement:
        """Say whom to ask about a silent stream now, and when to next."""
        assert stream.path is not None
        since = self.evidence_since(stream, now)
        candidates = [
            Candidate(
                hop.upstream, self._activity.silent_streams(hop.upstream.name)
            )
            for hop in stream.path.hops
            if self._activity.last_event_at(hop.upstream.name) < since
        ]
        # The sort is stable: of equals, the first engine stays first.
        candidates.sort(key=lambda candidate: -candidate.silent_streams)
        suspects = len(candidates)
        if stream.has_events and not stream.check_count:
            candidates = _most_telling(candidates)
        ask_head_at = self._ask_head_at(stream, now)
        head = stream.path.head.name
        return Judgement(
            tuple(candidates),
            now >= ask_head_at
            or any(
                candidate.upstream.name == head for candidate in candidates
            ),
            len(stream.path.hops) - suspects,
            ask_head_at,
            len(candidates) < suspects,
        )

    def evidence_since(self, stream: live.LiveStream, now: float) -> float:
        """Return from when on a sign of life exonerates an engine.

        :returns: loop time at which an event or a probe shows that the engine
            works and is not the cause of the stream's silence.
        """
        if stream.is_starting:
            return max(stream.progress_at, now - MAX_EVIDENCE_SECONDS)
        usual_seconds = max(stream.usual_pause_seconds, stalls.PASSAGE_SECONDS)
        due_at = stream.progress_at + usual_seconds
        return max(
            min(due_at, now - stalls.PASSAGE_SECONDS),
            now - MAX_EVIDENCE_SECONDS,
        )

    def _pause_limit(self, stream: live.LiveStream, now: float) -> float:
        latest_seconds = RANKED_LATEST_SHARE * stream.max_pause_seconds
        if not stream.pause_count or stream.path is None:
            return latest_seconds
        limit_seconds = max(
            stalls.PAUSE_FACTOR * stream.usual_pause_seconds,
            self._pauses.expected(stream.path.head.name, now),
            stalls.EARLIEST_SHARE * stream.max_pause_seconds,
        )
        return min(limit_seconds, latest_seconds)

    def _ask_head_at(self, stream: live.LiveStream, now: float) -> float:
        """Return when to ask a first engine that shows life."""
        assert stream.path is not None
        if stream.is_starting and not stream.has_events:
            is_loaded = self._pauses.is_loaded(stream.path.head.name, now)
            if not stream.check_count and not is_loaded:
                return now
            hung_seconds = stalls.HUNG_SHARE * stream.objective_seconds
            return stream.progress_at + hung_seconds
        expected_seconds = self._pauses.expected(stream.path.head.name, now)
        ask_seconds = min(
            max(
                FIRST_ENGINE_SHARE * stream.max_pause_seconds, expected_seconds
            ),
            stream.max_pause_seconds,
        )
        return stream.progress_at + ask_seconds


def _most_telling(candidates: list[Candidate]) -> list[Candidate]:
    """Return the engines to ask at the first check of a silence.

    Where some explain the silence of other streams as well, the others wait
    for the next check.
    """
    common = [candidate for candidate in candidates if candidate.is_common]
    return common or candidates
