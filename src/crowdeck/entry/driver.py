# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Drives one model request to the end of its answer.

An attempt runs on one path. When it fails, the next attempt has a higher
epoch, avoids the instance that failed and continues after the tokens that
were delivered, so that the caller sees one uninterrupted answer. Each
delivered token belongs to exactly one attempt, in which each layer ran once
for it, in order.
"""

import contextlib
import random

import anyio
import anyio.abc
import attrs

from crowdeck.entry import answers as answers_module
from crowdeck.entry import arrival_watch
from crowdeck.entry import delivery as deliveries
from crowdeck.entry import model_request as model_requests
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
OPEN_TIMEOUT_SECONDS = 2.0
MOVE_TIMEOUT_SECONDS = 8.0
# A path is given up after this long without a record, although no failure
# was reported. The first token has to wait for the prefill.
FIRST_TOKEN_TIMEOUT_SECONDS = 30.0
TOKEN_TIMEOUT_SECONDS = 2.0
# Timeout for the first token of an attempt that continues an answer, which
# the caller is already reading. Under load such a reader may otherwise wait
# for 27 s although all stages are alive.
REPLAY_TIMEOUT_SECONDS = 5.0
# Timeout for the first token of a resumed answer. The entry does not know its
# path, so the stages are not probed.
RESUME_TIMEOUT_SECONDS = 4.0
# How long an answer is kept running after its caller has disconnected.
RECONNECT_GRACE_SECONDS = 5.0
# Arrivals that an inbox holds beyond the window: the answer's end, failures
# and changes of stages.
INBOX_SLACK_RECORDS = 16

# Errors that are not retried: another entry drives the request, the answer
# is no longer kept, or its digest does not match what the caller has read.
_NOT_RETRIED = frozenset(
    {
        errors.Code.SUPERSEDED,
        errors.Code.STALE_EPOCH,
        errors.Code.ANSWER_GONE,
        errors.Code.WRONG_ANSWER,
    }
)
_MAY_HAVE_RUN = verdicts.Verdict.MAY_HAVE_RUN
_NOT_RUN = verdicts.Verdict.NOT_RUN


class _AttemptMoved(Exception):
    """Raised when a stage was replaced.

    ``opening`` begins the attempt that continues the answer.
    """

    def __init__(self, opening: messages.Opening) -> None:
        super().__init__(opening.request)
        self.opening = opening


@attrs.frozen
class DriverDependencies:
    """Dependencies shared by all request drivers of an entry."""

    fleet: fleets.Fleet
    planner: planners.Planner
    answers: answers_module.AnswerInboxes
    budgets: retry.RetryBudgets
    clock: timers.Clock
    randomness: random.Random
    tasks: anyio.abc.TaskGroup


class RequestDriver:
    """Drives one model request at one entry."""

    def __init__(
        self,
        dependencies: DriverDependencies,
        request: model_requests.ModelRequest,
        sink: sinks.AnswerSink,
        span: traces.OpenSpan,
    ) -> None:
        self._dependencies = dependencies
        self._request = request
        self._sink = sink
        self._span = span
        self._deadline = dependencies.clock.now() + request.seconds_left
        self._budget = dependencies.budgets.get(request.team, request.model)
        self._backoff = retry.Backoff(dependencies.randomness)
        self._avoided: set[str] = set()
        self._delivery = deliveries.Delivery(request, sink)
        self._epoch = -1
        self._path: pipeline.Path | None = None
        self._head: link.Peer | None = None
        self._former_head: tuple[link.Peer, int] | None = None
        self._inbox: answers_module.Inbox | None = None
        self._arrivals: arrival_watch.ArrivalWatch | None = None

    @property
    def pieces(self) -> tuple[messages.Piece, ...]:
        """The answer so far."""
        return self._delivery.pieces

    async def run(
        self,
        resume: model_requests.ResumePoint | None = None,
        path: pipeline.Path | None = None,
    ) -> str:
        """Deliver the whole answer and return its finish reason.

        :param resume: where to resume an answer that was begun earlier.
        :param path: path of the first attempt, if already chosen.
        :raises CrowdeckError: when no further attempt can be made.
        """
        self._budget.earn()
        with contextlib.ExitStack() as stack:
            self._open_inbox(stack)
            self._dependencies.fleet.subscribe(self)
            stack.callback(self._dependencies.fleet.unsubscribe, self)
            stack.callback(self._set_path, None)
            stack.callback(self._cancel)
            try:
                with anyio.move_on_at(self._deadline):
                    return await self._run_attempts(resume, path)
            except errors.CrowdeckError as error:
                if len(self._delivery) and error.verdict.is_retry_safe:
                    # The last attempt did not run, an earlier one did.
                    error.verdict = _MAY_HAVE_RUN
                raise
            except anyio.get_cancelled_exc_class():
                self._cancel_later()
                raise
        raise errors.CrowdeckError(
            errors.Code.DEADLINE,
            "the answer was not complete by its deadline",
            verdict=_MAY_HAVE_RUN if self._epoch >= 0 else _NOT_RUN,
        )

    def on_sidecar_changed(self, view: fleets.SidecarView) -> None:
        """Note that a stage of the current path is leaving or lost."""
        path = self._path
        if path is None or view.state is fleets.State.UP:
            return
        if any(stage.instance == view.name for stage in path.stages):
            assert self._inbox is not None
            self._inbox.put(answers_module.StageChanged(view.name, view.state))

    def _open_inbox(self, stack: contextlib.ExitStack) -> None:
        request = self._request.request
        if self._dependencies.answers.is_open(request):
            raise errors.CrowdeckError(
                errors.Code.KEY_IN_USE,
                "this request is being answered on another connection",
                retry_after=1.0,
            )
        limit = self._request.window + INBOX_SLACK_RECORDS
        self._inbox = self._dependencies.answers.open(request, limit)
        self._arrivals = arrival_watch.ArrivalWatch(
            self._dependencies.fleet, self._dependencies.clock, self._inbox
        )
        stack.callback(self._dependencies.answers.close, request)

    async def _run_attempts(
        self,
        resume: model_requests.ResumePoint | None,
        path: pipeline.Path | None,
    ) -> str:
        opening = self._make_opening(path) if path is not None else None
        failure: errors.CrowdeckError | None = None
        while True:
            try:
                if resume is not None:
                    # Only the first attempt resumes; later ones begin anew.
                    resume_point, resume = resume, None
                    return await self._resume(resume_point)
                if failure is not None:
                    return await self._rejoin(failure)
                return await self._run_attempt(opening or self._plan_opening())
            except _AttemptMoved as moved:
                opening, failure = moved.opening, None
            except errors.CrowdeckError as error:
                if (
                    self._delivery.is_complete
                    and error.code not in _NOT_RETRIED
                ):
                    # Only the end was lost. Another attempt would generate
                    # tokens past the end.
                    self._cancel()
                    return self._delivery.finish or FINISH_LENGTH
                opening = None
                may_retry = await self._recover(error)
                failure = None if may_retry else error

    def _plan_opening(self) -> messages.Opening:
        # Only a new answer may be refused because paths are slow.
        gap_limit_seconds = (
            self._request.gap_limit_seconds if self._epoch < 0 else 0.0
        )
        path = self._dependencies.planner.choose(
            self._request.model,
            frozenset(self._avoided),
            self._request.adapter,
            gap_limit_seconds,
        )
        return self._make_opening(path)

    def _make_opening(self, path: pipeline.Path) -> messages.Opening:
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
            seconds_left=self._deadline - self._dependencies.clock.now(),
            priority=request.priority,
            traceparent=self._span.traceparent,
            window=request.window,
        )

    async def _recover(self, error: errors.CrowdeckError) -> bool:
        """Prepare for another attempt and return whether one is allowed.

        If not, the current attempt stays open, as it may still run.

        :raises CrowdeckError: ``error``, if no attempt is left.
        """
        is_overloaded = (
            error.code == errors.Code.OVERLOADED and not error.culprit
        )
        if error.code in _NOT_RETRIED or is_overloaded:
            raise error
        if error.culprit:
            self._avoided.add(error.culprit)
        if error.code == errors.Code.NO_PATH and self._avoided:
            # An instance that failed once is better than no path.
            self._avoided.clear()
        # A model's answer may be computed again: the delivered tokens are
        # replayed as input, and are not delivered twice.
        may_retry = retry.may_retry(
            error,
            is_repeatable=True,
            budget=self._budget,
            clock=self._dependencies.clock,
            deadline=self._deadline,
        )
        if may_retry:
            counters.COUNTERS.add("drive.retried")
            counters.COUNTERS.add(f"drive.retried.{error.code.lower()}")
            self._span.set_attribute(
                f"retry.{self._epoch + 1}", str(error.code)
            )
        elif self._head is None:
            raise error
        await anyio.sleep(self._backoff.next())
        return may_retry

    async def _rejoin(self, failure: errors.CrowdeckError) -> str:
        """Continue the current attempt, if its head still runs it.

        :raises CrowdeckError: while the head cannot be asked, or once it no
            longer runs the attempt.
        """
        peer = self._find_current_head()
        if peer is None:
            raise failure
        assert self._inbox is not None
        # What is queued may be the failure. The reply holds all tokens.
        self._inbox.clear()
        reply = await self._ask_to_attach(
            peer, len(self._delivery), self._request.window
        )
        self._head = None
        if not isinstance(reply, questions.Attached):
            raise failure
        if reply.epoch != self._epoch:
            raise failure
        counters.COUNTERS.add("drive.rejoined")
        if reply.is_running:
            self._head = peer
        return await self._continue_attached(
            reply, self._first_timeout_seconds(), failure
        )

    def _find_current_head(self) -> link.Peer | None:
        """Return the link to the current attempt's head, if there is one.

        The attempt has ended if the head has another incarnation, or is
        neither listed nor reachable.
        """
        assert self._head is not None
        greeting = self._head.greeting
        view = self._dependencies.fleet.find(greeting.instance)
        if view is not None:
            peer = view.peer
            if peer is None:
                return None
            if peer.greeting.incarnation == greeting.incarnation:
                return peer
        self._head = None
        return None

    async def _run_attempt(self, opening: messages.Opening) -> str:
        """Run one attempt to the end of the answer."""
        assert self._inbox is not None
        if opening.warm_position >= 0:
            # The paused attempt does not go on, and the new one needs its KV
            # caches.
            self._head = None
        head = self._require_head(opening.path)
        self._cancel()
        self._inbox.clear()
        self._epoch = opening.epoch
        self._set_path(opening.path)
        self._head = head
        self._inbox.source = head
        reply = await head.ask(questions.Open(opening), OPEN_TIMEOUT_SECONDS)
        if isinstance(reply, questions.Refused):
            self._head = None
            raise reply.as_error()
        self._cancel_at_former_head()
        path = opening.path
        self._sink.set_location(
            opening.epoch, path.head.instance, path.tail.instance
        )
        counters.COUNTERS.add("drive.attempts")
        return await self._consume(self._first_timeout_seconds())

    def _first_timeout_seconds(self) -> float:
        """Return how long the current attempt's next token may take."""
        if len(self._delivery):
            return REPLAY_TIMEOUT_SECONDS
        return FIRST_TOKEN_TIMEOUT_SECONDS

    def _set_path(self, path: pipeline.Path | None) -> None:
        """Release the previous path and acquire the new one in the planner."""
        if self._path is not None:
            self._dependencies.planner.release(self._path)
        if path is not None:
            self._dependencies.planner.acquire(path)
        self._path = path

    def _cancel_at_former_head(self) -> None:
        """Cancel the attempt at a head that has been replaced."""
        if self._former_head is not None:
            peer, epoch = self._former_head
            self._former_head = None
            peer.send(messages.Cancel(self._request.request, epoch))

    def _require_head(self, path: pipeline.Path) -> link.Peer:
        view = self._dependencies.fleet.find(path.head.instance)
        if view is None or view.peer is None:
            raise errors.LinkLost(
                f"no link to {path.head.instance}",
                was_sent=False,
                culprit=path.head.instance,
            )
        if view.peer.greeting.incarnation != path.head.incarnation:
            # The new incarnation may be used, so the instance is not a
            # culprit.
            raise errors.LinkLost(
                f"{path.head.instance} has incarnation "
                f"{view.peer.greeting.incarnation}, the path expects "
                f"{path.head.incarnation}",
                was_sent=False,
                culprit="",
            )
        return view.peer

    async def _resume(self, resume: model_requests.ResumePoint) -> str:
        """Resume an answer that was begun earlier."""
        self._delivery.caller_position = resume.position
        attached: questions.Attached | None = None
        for name in dict.fromkeys((resume.head, resume.tail)):
            attached = await self._attach(name)
            if attached is not None:
                break
        if attached is None:
            raise errors.CrowdeckError(
                errors.Code.ANSWER_GONE,
                "this answer is no longer kept; repeat the request",
                verdict=_MAY_HAVE_RUN,
            )
        counters.COUNTERS.add("drive.resumed")
        self._epoch = attached.epoch
        self._sink.set_location(attached.epoch, resume.head, resume.tail)
        return await self._continue_attached(
            attached,
            RESUME_TIMEOUT_SECONDS,
            errors.CrowdeckError(
                errors.Code.LINK_LOST,
                "the answer's path failed before it was resumed",
                verdict=_MAY_HAVE_RUN,
            ),
        )

    async def _continue_attached(
        self,
        attached: questions.Attached,
        timeout_seconds: float,
        failure: errors.CrowdeckError,
    ) -> str:
        """Deliver the tokens that a head has kept, and those that follow.

        :raises CrowdeckError: ``failure``, if the attempt failed there.
        """
        for piece in attached.pieces:
            await self._delivery.put(piece)
            self._grant_credit()
        if attached.finish:
            return attached.finish
        if attached.is_running:
            return await self._consume(timeout_seconds)
        raise failure

    async def _attach(self, name: str) -> questions.Attached | None:
        view = self._dependencies.fleet.find(name)
        if view is None or view.peer is None:
            return None
        # All tokens are fetched, since the end's digest covers them; so the
        # window counts from position 0.
        window = self._delivery.caller_position + self._request.window
        try:
            reply = await self._ask_to_attach(view.peer, 0, window)
        except errors.LinkLost:
            return None
        if not isinstance(reply, questions.Attached):
            return None
        self._head = view.peer
        return reply

    async def _ask_to_attach(
        self, peer: link.Peer, position: int, window: int
    ) -> questions.Reply:
        """Ask for the tokens from ``position`` on, and for those to come."""
        assert self._inbox is not None
        self._inbox.source = peer
        question = questions.Attach(
            request=self._request.request,
            team=self._request.team,
            position=position,
            window=window,
        )
        return await peer.ask(question, OPEN_TIMEOUT_SECONDS)

    async def _consume(self, timeout_seconds: float) -> str:
        """Process arrivals until the answer ends."""
        while True:
            arrival = await self._next_arrival(timeout_seconds)
            match arrival:
                case messages.Answer():
                    if await self._take_token(arrival):
                        timeout_seconds = TOKEN_TIMEOUT_SECONDS
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

    async def _next_arrival(
        self, timeout_seconds: float
    ) -> answers_module.Arrival:
        assert self._arrivals is not None
        return await self._arrivals.next(self._path, timeout_seconds)

    async def _take_token(self, answer: messages.Answer) -> bool:
        """Deliver a token if it is the next one of this attempt."""
        received_at = self._dependencies.clock.now()
        if not await self._delivery.take(answer, self._epoch):
            return False
        assert self._arrivals is not None
        self._arrivals.note_token(received_at)
        self._grant_credit()
        return True

    def _take_end(self, end: messages.AnswerEnd) -> str:
        """Verify the answer's end and return its finish reason."""
        self._delivery.check_end(end)
        self._head = None
        self._span.set_attribute("tokens", end.count)
        return end.finish

    def _grant_credit(self) -> None:
        window = self._request.window
        count = len(self._delivery)
        is_due = count % max(1, window // 2) == 0
        if is_due and self._head is not None and self._epoch >= 0:
            self._head.send(
                messages.Credit(
                    self._request.request, self._epoch, count + window
                )
            )

    def _cancel_later(self) -> None:
        """Cancel the answer some time after its caller has disconnected.

        Until then the caller may resume it here or at another entry, with
        the last event's id. Meanwhile the head generates at most one window.
        """
        if self._head is not None:
            self._dependencies.tasks.start_soon(
                self._cancel_unless_resumed, self._head, self._epoch
            )
            self._head = None

    async def _cancel_unless_resumed(
        self, head: link.Peer, epoch: int
    ) -> None:
        await anyio.sleep(RECONNECT_GRACE_SECONDS)
        request = self._request.request
        # Once another entry has attached, the head ignores records from this
        # entry. So only a resumption at this entry has to be checked.
        if not self._dependencies.answers.is_open(request):
            head.send(messages.Cancel(request, epoch))

    def _cancel(self) -> None:
        """Cancel the current attempt at its head."""
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
        try:
            opening = await self._move_away(change.name)
        except errors.CrowdeckError:
            # A stage that has begun to move does not go on by itself.
            self._cancel()
            raise
        if opening is not None:
            counters.COUNTERS.add("drive.moved")
            raise _AttemptMoved(opening)

    async def _move_away(self, leaving: str) -> messages.Opening | None:
        """Move the answer off a leaving stage, together with its KV cache.

        Returns ``None`` if there is nothing to move or no replacement; the
        leaving stage then finishes the answer itself.
        """
        if self._path is None or not len(self._delivery):
            return None
        path = self._dependencies.planner.replace(self._path, leaving)
        view = self._dependencies.fleet.find(leaving)
        if path is None or view is None or view.peer is None:
            return None
        index = [stage.instance for stage in self._path.stages].index(leaving)
        question = questions.MoveOut(
            request=self._request.request,
            epoch=self._epoch,
            target=path.stages[index],
        )
        reply = await view.peer.ask(question, MOVE_TIMEOUT_SECONDS)
        if not isinstance(reply, questions.MovedOut):
            counters.COUNTERS.add("drive.move_refused")
            # The stage may have stopped already: replay without it.
            raise errors.CrowdeckError(
                errors.Code.LEAVING,
                f"{leaving} did not move the KV cache to "
                f"{path.stages[index].instance}",
                verdict=_MAY_HAVE_RUN,
                culprit=leaving,
            )
        await self._receive_until(reply.position)
        if index == 0:
            self._former_head = (view.peer, self._epoch)
        return attrs.evolve(
            self._make_opening(path),
            warm_position=reply.position,
            warm_context=reply.context,
        )

    async def _receive_until(self, position: int) -> None:
        """Receive the tokens that were sent before the stage paused."""
        while len(self._delivery) < position:
            arrival = await self._next_arrival(TOKEN_TIMEOUT_SECONDS)
            match arrival:
                case messages.Answer():
                    await self._take_token(arrival)
                case answers_module.StageChanged():
                    continue
                case _:
                    raise errors.CrowdeckError(
                        errors.Code.LINK_LOST,
                        f"the answer's path failed or ended before its first "
                        f"{position} tokens arrived, while a stage was moved",
                        verdict=_MAY_HAVE_RUN,
                    )


def _as_error(failure: messages.Failure) -> errors.CrowdeckError:
    return errors.CrowdeckError(
        failure.code,
        failure.message,
        verdict=failure.verdict,
        culprit=failure.culprit,
    )
