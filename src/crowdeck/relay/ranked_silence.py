# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Decides about silent streams of services with several urgencies."""

import typing

import anyio
import attrs

from crowdeck import chain
from crowdeck.observe import counters
from crowdeck.relay import engine_activity
from crowdeck.relay import live
from crowdeck.relay import load_pauses
from crowdeck.relay import probes
from crowdeck.relay import question_budget
from crowdeck.relay import questions
from crowdeck.relay import silence
from crowdeck.relay import stalls
from crowdeck.routing import heads

# Findings of silences without a culprit.
EXPLAINED = (
    silence.Reason.LIVELY,
    silence.Reason.LOADED,
    silence.Reason.ANSWERED,
)


class RankedSilence:
    """What an entry knows of the silences of its ranked streams.

    :param streams: all streams in progress; their owner updates them.
    :param head_records: how first engines served this entry's streams.
    :param is_lost: checks a first engine without a report.
    """

    def __init__(
        self,
        streams: typing.Collection[live.LiveStream],
        head_records: heads.HeadRecords,
        prober: probes.Prober,
        is_lost: questions.LossCheck,
    ) -> None:
        self._streams = streams
        self._heads = head_records
        self._activity = engine_activity.EngineActivity()
        self._pauses = load_pauses.LoadPauses()
        self._judge = silence.SilenceJudge(self._activity, self._pauses)
        self._budget = question_budget.QuestionBudget()
        self._questioner = questions.Questioner(
            prober,
            self._budget,
            self._activity,
            self._update_activity,
            is_lost,
        )
        # Silences without a culprit, by stream: its path and last event.
        self._explained: dict[
            live.LiveStream, tuple[chain.ChainPath, float]
        ] = {}

    def update(self, now: float) -> None:
        """Take in the events and the time since the last check."""
        self._budget.update(len(self._streams), now)
        self._update_activity()
        self._note_ended_silences(now)

    def drop(self, stream: live.LiveStream) -> None:
        """Forget a stream."""
        self._explained.pop(stream, None)

    def has_passed_event(self, upstream: chain.Upstream, since: float) -> bool:
        """Whether an event has passed an engine since a loop time."""
        self._update_activity()
        return self._activity.last_event_at(upstream.name) >= since

    def silent_at(self, stream: live.LiveStream, now: float) -> float:
        """Return when a stream counts as silent if no event arrives."""
        return self._judge.silent_at(stream, now)

    def is_paused(self, stream: live.LiveStream) -> bool:
        """Whether a stream that has begun may count as silent."""
        silent_seconds = anyio.current_time() - stream.progress_at
        earliest_seconds = stalls.EARLIEST_SHARE * stream.max_pause_seconds
        return not stream.is_starting and silent_seconds >= earliest_seconds

    def may_be_queued(
        self, stream: live.LiveStream, path: chain.ChainPath
    ) -> bool:
        """Whether earlier streams may keep one from its first event.

        A first engine's report may be too old to tell of its queue.
        """
        return stream.is_starting and not self._heads.has_passed_over(
            path.head.name, stream.current_attempt
        )

    def claim_check(self, stream: live.LiveStream, now: float) -> int | None:
        """Say how telling the check of a silent stream is.

        :returns: number of silent streams that pass its most telling engine,
            or ``None`` if nobody is asked yet and the check is postponed.
        """
        judgement = self._judge.judge(stream, now)
        if judgement.asks:
            return judgement.silent_streams
        assert stream.path is not None
        stream.next_check_at = judgement.next_at
        self._note_explained(stream, stream.path, silence.Reason.LIVELY)
        counters.COUNTERS.add(
            "relay.questions_saved.postponed", judgement.lively
        )
        return None

    async def ask(
        self, stream: live.LiveStream, path: chain.ChainPath
    ) -> stalls.Finding:
        """Ask the engines that may stall a stream."""
        now = anyio.current_time()
        judgement = self._judge.judge(stream, now)
        since = self._judge.evidence_since(stream, now)
        finding = await self._questioner.ask(
            stream, path, judgement, now - since
        )
        if finding.reason == silence.Reason.BOUNDED:
            return attrs.evolve(finding, extent=stalls.CheckExtent.BOUNDED)
        if judgement.is_partial:
            return attrs.evolve(finding, extent=stalls.CheckExtent.PARTIAL)
        return finding

    def note_finding(
        self,
        stream: live.LiveStream,
        path: chain.ChainPath,
        finding: stalls.Finding,
    ) -> None:
        """Note what was found about a stream that is still silent."""
        reason = silence.Reason(finding.reason)
        if reason in EXPLAINED:
            self._note_explained(stream, path, reason)
        else:
            counters.COUNTERS.add(f"relay.silence.{reason}")

    def _update_activity(self) -> None:
        self._activity.update(
            (stream for stream in self._streams if stream.urgency.is_ranked),
            anyio.current_time(),
            stalls.EARLIEST_SHARE,
        )

    def _note_ended_silences(self, now: float) -> None:
        """Learn from silences that load explained and that have ended."""
        for stream, (path, since) in tuple(self._explained.items()):
            if stream.path is path and stream.progress_at == since:
                continue
            del self._explained[stream]
            if stream.path is path and not stream.is_starting:
                seconds = stream.progress_at - since
                self._pauses.note_ended(path.head.name, seconds, now)

    def _note_explained(
        self,
        stream: live.LiveStream,
        path: chain.ChainPath,
        reason: silence.Reason,
    ) -> None:
        counters.COUNTERS.add(f"relay.silence.{reason}")
        if reason is silence.Reason.LOADED:
            self._pauses.note_loaded(path.head.name, anyio.current_time())
        if not stream.is_starting:
            self._explained[stream] = (path, stream.progress_at)
