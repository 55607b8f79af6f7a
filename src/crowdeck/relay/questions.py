# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0
"""Asks engines about a silent stream, no more than its judgement needs."""

import typing

import anyio

from crowdeck import chain
from crowdeck.observe import counters
from crowdeck.relay import engine_activity
from crowdeck.relay import live
from crowdeck.relay import probes
from crowdeck.relay import question_budget
from crowdeck.relay import silence
from crowdeck.relay import stalls

# How long a first engine's report is reused for the engines that it names.
# The report itself is older than that.
HEAD_REUSE_SECONDS = 0.1
# If more engines than this are silent at once, they are asked again, since
# the cause may be this entry's own network.
MAX_JOINT_LOSSES = 2


class LossCheck(typing.Protocol):
    """Says whether a probed engine is lost."""

    async def __call__(
        self, probe: probes.Probe, others: tuple[chain.Upstream, ...]
    ) -> bool:
        """Return it; ``others`` are engines to probe for comparison."""
        ...


class Questioner:
    """Asks the engines that a judgement names.

    :param refresh: called before ``activity`` is read.
    :param is_lost: checks a first engine without a report.
    """

    def __init__(
        self,
        prober: probes.Prober,
        budget: question_budget.QuestionBudget,
        activity: engine_activity.EngineActivity,
        refresh: typing.Callable[[], None],
        is_lost: LossCheck,
    ) -> None:
        self._prober = prober
        self._budget = budget
        self._activity = activity
        self._refresh = refresh
        self._is_lost = is_lost

    async def ask(
        self,
        stream: live.LiveStream,
        path: chain.ChainPath,
        judgement: silence.Judgement,
        max_age_seconds: float,
    ) -> stalls.Finding:
        """Ask about a silent stream, and return what was found.

        :param max_age_seconds: age up to which an answer shows that an
            engine is not the cause.
        """
        counters.COUNTERS.add("relay.questions_saved.lively", judgement.lively)
        head_report: chain.EngineReport | None = None
        others = [
            candidate
            for candidate in judgement.candidates
            if candidate.upstream.name != path.head.name
        ]
        if judgement.asks_head:
            is_common = any(
                candidate.is_common
                for candidate in judgement.candidates
                if candidate.upstream.name == path.head.name
            )
            head_age_seconds = probes.STARTING_REUSE_SECONDS
            if not stream.is_starting:
                head_age_seconds = HEAD_REUSE_SECONDS
            if not self._may_ask(path.head, head_age_seconds, is_common):
                return stalls.Finding([], False, reason=silence.Reason.BOUNDED)
            head = await self._probe(path.head, head_age_seconds)
            if head.report is None:
                return await self._judge_head(head, others)
            head_report = head.report
            named = [
                hop.upstream
                for hop in path.hops
                if chain.Stall(stream.request.id, str(hop.upstream.address))
                in head_report.stalls
            ]
            if named:
                return stalls.Finding(
                    named, True, head_report, silence.Reason.STALLED
                )
        return await self._ask_others(others, head_report, max_age_seconds)

    async def _judge_head(
        self, head: probes.Probe, others: list[silence.Candidate]
    ) -> stalls.Finding:
        asked = tuple(candidate.upstream for candidate in others)
        if await self._is_lost(head, asked):
            return stalls.Finding(
                [head.upstream], True, reason=silence.Reason.UNREACHABLE
            )
        return stalls.Finding([], False, reason=silence.Reason.UNSURE)

    async def _ask_others(
        self,
        candidates: list[silence.Candidate],
        head_report: chain.EngineReport | None,
        max_age_seconds: float,
    ) -> stalls.Finding:
        asked = [
            candidate.upstream
            for candidate in candidates
            if self._may_ask(
                candidate.upstream, max_age_seconds, candidate.is_common
            )
        ]
        asked_at = anyio.current_time()
        answers = await self._probe_all(asked, max_age_seconds)
        silent = self._unreachable(answers, asked_at)
        unanswered = [
            answer.upstream for answer in silent if not answer.has_error
        ]
        if len(unanswered) > MAX_JOINT_LOSSES:
            again = await self._probe_all(unanswered, 0.0)
            silent = [answer for answer in silent if answer.has_error]
            silent += self._unreachable(again, asked_at)
        is_sure = all(answer.is_sure for answer in answers)
        if silent:
            return stalls.Finding(
                [answer.upstream for answer in silent],
                is_sure,
                head_report,
                silence.Reason.UNREACHABLE,
            )
        reason = silence.Reason.ANSWERED
        if not is_sure:
            reason = silence.Reason.UNSURE
        elif len(asked) < len(candidates):
            reason = silence.Reason.BOUNDED
        elif head_report and (head_report.running or head_report.waiting):
            reason = silence.Reason.LOADED
        return stalls.Finding([], is_sure, head_report, reason)

    def _unreachable(
        self, answers: list[probes.Probe], asked_at: float
    ) -> list[probes.Probe]:
        """Return the probes of lost engines.

        An engine that has passed an event since it was asked is too busy to
        answer in time.
        """
        self._refresh()
        return [
            answer
            for answer in answers
            if answer.is_unreachable
            and (
                answer.has_error
                or self._activity.last_event_at(answer.upstream.name)
                < asked_at + stalls.PASSAGE_SECONDS
            )
        ]

    async def _probe_all(
        self, upstreams: list[chain.Upstream], max_age_seconds: float
    ) -> list[probes.Probe]:
        answers: list[probes.Probe] = []

        async def ask(upstream: chain.Upstream) -> None:
            answers.append(await self._probe(upstream, max_age_seconds))

        async with anyio.create_task_group() as tasks:
            for upstream in upstreams:
                tasks.start_soon(ask, upstream)
        return answers

    async def _probe(
        self, upstream: chain.Upstream, max_age_seconds: float
    ) -> probes.Probe:
        if self._budget.is_spent:
            max_age_seconds = max(
                max_age_seconds, silence.MAX_EVIDENCE_SECONDS
            )
        return await self._prober.probe(upstream, max_age_seconds)

    def _may_ask(
        self, upstream: chain.Upstream, max_age_seconds: float, is_urgent: bool
    ) -> bool:
        """Claim a question, unless an answer is known or being awaited.

        When too many questions were asked, an older answer has to do.
        """
        if self._prober.has_answer(upstream, max_age_seconds):
            counters.COUNTERS.add("relay.questions_saved.shared")
            return True
        if self._budget.claim(is_urgent=is_urgent):
            return True
        if self._prober.has_answer(upstream, silence.MAX_EVIDENCE_SECONDS):
            counters.COUNTERS.add("relay.questions_saved.shared")
            return True
        counters.COUNTERS.add("relay.questions_saved.bounded")
        return False
