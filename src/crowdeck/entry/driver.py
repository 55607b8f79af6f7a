# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Drives one model request to the end of its answer.

An attempt runs on one path. When a part of it fails, the next attempt has
a higher epoch, avoids what failed, and begins with what was delivered; the
caller sees one answer without a seam. Each delivered token thus belongs to
exactly one attempt, in which every layer ran once for it, in order.
"""

import contextlib
import random

import anyio
import anyio.abc
import attrs

from crowdeck.entry import answers as answers_module
from crowdeck.entry import delivery as deliveries
from crowdeck.entry import model_request as model_requests
from crowdeck.entry import silence
from crowdeck.entry import sink as sinks
from crowdeck import errors
from crowdeck.membership import fleet as fleets
from crowdeck.observe import counters
from crowdeck.observe import traces
from crowdeck import pipeline
from crowdeck.routing import planner as planners
from crowdeck.routing import retry
from crowdeck import timers
from crowdeck import verdict as verdicts
from crowdeck.wire import link
from crowdeck.wire import messages
from crowdeck.wire import questions

FINISH_LENGTH = "length"
OPEN_TIMEOUT = 2.0
MOVE_TIMEOUT = 8.0
# Silence after which a path is given up although nobody reported a
# failure. A long prompt's prefill may take most of the first.
FIRST_TOKEN_TIMEOUT = 30.0
TOKEN_TIMEOUT = 2.0
# A further attempt has a reader in the middle of an answer. One such waited
# 27 s under load for a path whose stages all lived.
REPLAY_TIMEOUT = 5.0
# What is taken up is running, or broken; its path is not known here, so
# that probes cannot tell.
RESUME_TIMEOUT = 4.0
# How long an answer waits for a caller whose connection has broken.
LEAVE_SECONDS = 5.0
# Beyond the window: an end, a failure and a lost link may come as well.
INBOX_SLACK = 16

# Errors that another attempt cannot mend. Two entries that drive one
# request in turn would only take it away from each other; an answer that
# is gone cannot be gone on with; and one whose digest is wrong has been
# shown in part, so that a further attempt would only hide it.
_FINAL = frozenset(
    {
        errors.Code.SUPERSEDED,
        errors.Code.STALE_EPOCH,
        errors.Code.ANSWER_GONE,
        errors.Code.WRONG_ANSWER,
    }
)
_MAY_HAVE_RUN = verdicts.Verdict.MAY_HAVE_RUN
_NOT_RUN = verdicts.Verdict.NOT_RUN


class _Superseded(Exception):
    """The attempt goes on as another one; carries its opening."""

    def __init__(self, opening: messages.Opening) -> None:
        super().__init__(opening.request)
        self.opening = opening


@attrs.frozen
class DriverDependencies:
    """What every drive of an entry shares."""

    fleet: fleets.Fleet
    planner: planners.Planner
    answers: answers_module.AnswerInboxes
    budgets: retry.RetryBudgets
    clock: timers.Clock
    randomness: random.Random
    tasks: anyio.abc.TaskGroup


class RequestDriver:
    """The life of one model request at one entry."""

    def __init__(
        self,
        parts: DriverDependencies,
        request: model_requests.ModelRequest,
        sink: sinks.AnswerSink,
        span: traces.OpenSpan,
    ) -> None:
        self._parts = parts
        self._request = request
        self._sink = sink
        self._span = span
        self._deadline = parts.clock.now() + request.seconds_left
        self._budget = parts.budgets.get(request.team, request.model)
        self._backoff = retry.Backoff(parts.randomness)
        self._avoid: set[str] = set()
        self._delivery = deliveries.Delivery(request, sink)
        self._epoch = -1
        self._path: pipeline.Path | None = None
        self._head: link.Peer | None = None
        self._former: tuple[link.Peer, int] | None = None
        self._inbox: answers_module.Inbox | None = None
        self._arrivals: silence.ArrivalWatch | None = None

    @property
    def pieces(self) -> tuple[messages.Piece, ...]:
        """The answer so far."""
        return self._delivery.pieces

    async def run(
        self,
        resume: model_requests.ResumePoint | None = None,
        path: pipeline.Path | None = None,
    ) -> str:
        """Deliver the whole answer and return why it ended.

        :param resume: where to take up an answer that was begun before.
        :param path: path of the first attempt, if it was chosen already.
        :raises CrowdeckError: when no further attempt can be made.
        """
        self._budget.earn()
        with contextlib.ExitStack() as stack:
            self._open_inbox(stack)
            self._parts.fleet.subscribe(self)
            stack.callback(self._parts.fleet.unsubscribe, self)
            stack.callback(self._hold_path, None)
            stack.callback(self._cancel)
            try:
                with anyio.move_on_at(self._deadline):
                    return await self._run_attempts(resume, path)
            except anyio.get_cancelled_exc_class():
                self._leave_soon()
                raise
        raise errors.CrowdeckError(
            errors.Code.DEADLINE,
            "the answer was not whole by its deadline",
            verdict=_MAY_HAVE_RUN if self._epoch >= 0 else _NOT_RUN,
        )

    def on_sidecar_changed(self, view: fleets.SidecarView) -> None:
        """Wake up when a stage of our path is lost or leaves."""
        path = self._path
        if path is None or view.state is fleets.State.UP:
            return
        if any(stage.instance == view.name for stage in path.stages):
            assert self._inbox is not None
            self._inbox.put(answers_module.StageChanged(view.name, view.state))

    def _open_inbox(self, stack: contextlib.ExitStack) -> None:
        request = self._request.request
        if self._parts.answers.is_open(request):
            raise errors.CrowdeckError(
                errors.Code.KEY_IN_USE,
                "this request is being answered on another connection",
                retry_after=1.0,
            )
        limit = self._request.window + INBOX_SLACK
        self._inbox = self._parts.answers.open(request, limit)
        self._arrivals = silence.ArrivalWatch(
            self._parts.fleet, self._parts.clock, self._inbox
        )
        stack.callback(self._parts.answers.close, request)

    async def _run_attempts(
        self,
        resume: model_requests.ResumePoint | None,
        path: pipeline.Path | None,
    ) -> str:
        opening = self._opening(path) if path is not None else None
        while True:
            try:
                if resume is not None:
                    pending, resume = resume, None
                    return await self._resume(pending)
                return await self._attempt(opening or self._plan())
            except _Superseded as superseded:
                opening = superseded.opening
            except errors.CrowdeckError as error:
                if self._delivery.is_whole and error.code not in _FINAL:
                    # Only its end got lost. Another attempt would go on
                    # past the end and give tokens that nobody asked for.
                    self._cancel()
                    return self._delivery.finish or FINISH_LENGTH
                opening = None
                await self._recover(error)

    def _plan(self) -> messages.Opening:
        # Only a new answer may be refused for being slow; one that has
        # begun is served to its end.
        limit = self._request.gap_limit if self._epoch < 0 else 0.0
        path = self._parts.planner.choose(
            self._request.model,
            frozenset(self._avoid),
            self._request.adapter,
            limit,
        )
        return self._opening(path)

    def _opening(self, path: pipeline.Path) -> messages.Opening:
        request = self._request
        return messages.Opening(
            request=request.request,
            epoch=self._epoch + 1,
            team=request.team,
            session=request.session,
            path=path,
            prompt=request.prompt,
            delivered=self._delivery.pieces,
            max_tokens=request.max_tokens,
            seconds_left=self._deadline - self._parts.clock.now(),
            priority=request.priority,
            traceparent=self._span.traceparent,
            window=request.window,
        )

    async def _recover(self, error: errors.CrowdeckError) -> None:
        """Get ready for another attempt, or raise ``error``."""
        is_refused = error.code == errors.Code.OVERLOADED and not error.culprit
        if error.code in _FINAL or is_refused:
            raise error
        self._cancel()
        if error.culprit:
            self._avoid.add(error.culprit)
        if error.code == errors.Code.NO_PATH and self._avoid:
            # Rather an instance that failed once than no answer.
            self._avoid.clear()
        # A model's answer may be computed again: what the caller has is
        # replayed as input, so nothing of it is ever given twice.
        may_retry = retry.may_retry(
            error,
            is_repeatable=True,
            budget=self._budget,
            clock=self._parts.clock,
            deadline=self._deadline,
        )
        if not may_retry:
            raise error
        counters.COUNTERS.add("drive.retried")
        counters.COUNTERS.add(f"drive.retried.{error.code.lower()}")
        self._span.note(f"retry.{self._epoch + 1}", str(error.code))
        await anyio.sleep(self._backoff.next())

    async def _attempt(self, opening: messages.Opening) -> str:
        """Run one attempt to the end of the answer."""
        assert self._inbox is not None
        self._inbox.clear()
        self._epoch = opening.epoch
        self._hold_path(opening.path)
        head = self._require_head(opening.path)
        self._head = head
        self._inbox.source = head
        reply = await head.ask(questions.Open(opening), OPEN_TIMEOUT)
        if isinstance(reply, questions.Refused):
            raise reply.as_error()
        self._release_former()
        path = opening.path
        self._sink.set_location(
            opening.epoch, path.head.instance, path.tail.instance
        )
        counters.COUNTERS.add("drive.attempts")
        if len(self._delivery):
            return await self._consume(REPLAY_TIMEOUT)
        return await self._consume(FIRST_TOKEN_TIMEOUT)

    def _hold_path(self, path: pipeline.Path | None) -> None:
        """Count our work on a path, and no longer on the one before."""
        if self._path is not None:
            self._parts.planner.release(self._path)
        if path is not None:
            self._parts.planner.acquire(path)
        self._path = path

    def _release_former(self) -> None:
        """Let go of a head whose part has moved to another instance."""
        if self._former is not None:
            peer, epoch = self._former
            self._former = None
            peer.send(messages.Cancel(self._request.request, epoch))

    def _require_head(self, path: pipeline.Path) -> link.Peer:
        view = self._parts.fleet.find(path.head.instance)
        if view is None or view.peer is None:
            raise errors.LinkLost(
                f"no link to {path.head.instance}",
                was_sent=False,
                culprit=path.head.instance,
            )
        if view.peer.greeting.incarnation != path.head.incarnation:
            raise errors.LinkLost(
                f"{path.head.instance} was replaced",
                was_sent=False,
                culprit="",
            )
        return view.peer

    async def _resume(self, resume: model_requests.ResumePoint) -> str:
        """Take up an answer that another entry began."""
        self._delivery.shown = resume.position
        attached: questions.Attached | None = None
        for name in dict.fromkeys((resume.head, resume.tail)):
            attached = await self._attach(name)
            if attached is not None:
                break
        if attached is None:
            raise errors.CrowdeckError(
                errors.Code.ANSWER_GONE,
                "nobody keeps this answer any more; ask anew",
                verdict=_MAY_HAVE_RUN,
            )
        counters.COUNTERS.add("drive.resumed")
        self._epoch = attached.epoch
        self._sink.set_location(attached.epoch, resume.head, resume.tail)
        for piece in attached.pieces:
            await self._delivery.put(piece)
            self._give_credit()
        if attached.finish:
            return attached.finish
        if attached.is_running:
            return await self._consume(RESUME_TIMEOUT)
        raise errors.CrowdeckError(
            errors.Code.LINK_LOST,
            "the answer's path broke before it was taken up",
            verdict=_MAY_HAVE_RUN,
        )

    async def _attach(self, name: str) -> questions.Attached | None:
        view = self._parts.fleet.find(name)
        if view is None or view.peer is None:
            return None
        assert self._inbox is not None
        self._inbox.source = view.peer
        question = questions.Attach(
            request=self._request.request,
            team=self._request.team,
            position=0,
            window=self._delivery.shown + self._request.window,
        )
        try:
            reply = await view.peer.ask(question, OPEN_TIMEOUT)
        except errors.LinkLost:
            return None
        if not isinstance(reply, questions.Attached):
            return None
        self._head = view.peer
        return reply

    async def _consume(self, timeout: float) -> str:
        """Take records until the answer ends."""
        while True:
            arrival = await self._next(timeout)
            match arrival:
                case messages.Answer():
                    if await self._take(arrival):
                        timeout = TOKEN_TIMEOUT
                case messages.AnswerEnd():
                    if arrival.epoch == self._epoch:
                        return self._take_end(arrival)
                case messages.Failure():
                    if arrival.epoch == self._epoch:
                        raise _as_error(arrival)
                case answers_module.HeadLost():
                    raise errors.LinkLost(
                        f"the link to {arrival.instance} was lost",
                        was_sent=True,
                        culprit=arrival.instance,
                    )
                case answers_module.StageChanged():
                    await self._on_stage_changed(arrival)

    async def _next(self, timeout: float) -> answers_module.Arrival:
        assert self._arrivals is not None
        return await self._arrivals.next(self._path, timeout)

    async def _take(self, answer: messages.Answer) -> bool:
        """Deliver a token if it is the next one of this attempt."""
        came_at = self._parts.clock.now()
        if not await self._delivery.take(answer, self._epoch):
            return False
        assert self._arrivals is not None
        self._arrivals.note_token(came_at)
        self._give_credit()
        return True

    def _take_end(self, end: messages.AnswerEnd) -> str:
        """Return why the answer ended, if this is its true end."""
        self._delivery.check_end(end)
        self._head = None
        self._span.note("tokens", end.count)
        return end.finish

    def _give_credit(self) -> None:
        window = self._request.window
        count = len(self._delivery)
        is_due = count % max(1, window // 2) == 0
        if is_due and self._head is not None and self._epoch >= 0:
            self._head.send(
                messages.Credit(
                    self._request.request, self._epoch, count + window
                )
            )

    def _leave_soon(self) -> None:
        """Give the answer up a little after its caller has gone.

        The caller's connection may only have broken: until then it can
        take its answer up again here or elsewhere, with the last event's
        id. The head runs on for one window at the most meanwhile.
        """
        if self._head is not None:
            self._parts.tasks.start_soon(self._leave, self._head, self._epoch)
            self._head = None

    async def _leave(self, head: link.Peer, epoch: int) -> None:
        await anyio.sleep(LEAVE_SECONDS)
        request = self._request.request
        # An entry that attached meanwhile made the head heed only itself;
        # only a caller that came back to this very entry has to be seen.
        if not self._parts.answers.is_open(request):
            head.send(messages.Cancel(request, epoch))

    def _cancel(self) -> None:
        """Tell the head that nobody waits for this attempt any more."""
        if self._head is not None:
            self._head.send(
                messages.Cancel(self._request.request, self._epoch)
            )
            self._head = None

    # Stages that leave or are lost.

    async def _on_stage_changed(
        self, change: answers_module.StageChanged
    ) -> None:
        if change.state is not fleets.State.LEAVING:
            raise errors.LinkLost(
                f"{change.name} is lost", was_sent=True, culprit=change.name
            )
        opening = await self._move_away(change.name)
        if opening is not None:
            counters.COUNTERS.add("drive.moved")
            raise _Superseded(opening)

    async def _move_away(self, leaving: str) -> messages.Opening | None:
        """Move the answer off a leaving stage, KV cache and all.

        Returns ``None`` where that cannot be; the stage then finishes
        the answer itself, as a planned stop lets it.
        """
        if self._path is None or not len(self._delivery):
            return None
        path = self._parts.planner.replace(self._path, leaving)
        view = self._parts.fleet.find(leaving)
        if path is None or view is None or view.peer is None:
            return None
        index = [one.instance for one in self._path.stages].index(leaving)
        question = questions.MoveOut(
            request=self._request.request,
            epoch=self._epoch,
            target=path.stages[index],
        )
        reply = await view.peer.ask(question, MOVE_TIMEOUT)
        if not isinstance(reply, questions.MovedOut):
            counters.COUNTERS.add("drive.move_refused")
            # It may have stopped already: go on cold, without the stage.
            raise errors.CrowdeckError(
                errors.Code.LEAVING,
                "the KV cache could not be moved",
                verdict=_MAY_HAVE_RUN,
                culprit=leaving,
            )
        await self._catch_up(reply.position)
        if index == 0:
            self._former = (view.peer, self._epoch)
        return attrs.evolve(
            self._opening(path),
            warm_position=reply.position,
            warm_context=reply.context,
        )

    async def _catch_up(self, position: int) -> None:
        """Take the tokens that were under way when the stage stopped."""
        while len(self._delivery) < position:
            arrival = await self._next(TOKEN_TIMEOUT)
            match arrival:
                case messages.Answer():
                    await self._take(arrival)
                case answers_module.StageChanged():
                    continue
                case _:
                    raise errors.CrowdeckError(
                        errors.Code.LINK_LOST,
                        "the path broke while it was being moved",
                        verdict=_MAY_HAVE_RUN,
                    )


def _as_error(failure: messages.Failure) -> errors.CrowdeckError:
    return errors.CrowdeckError(
        failure.code,
        failure.message,
        verdict=failure.verdict,
        culprit=failure.culprit,
    )
