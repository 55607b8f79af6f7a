# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""One stage of the pipelines: takes records, steps the engine, passes on.

The head (stage 0) drives each position and keeps the answer; the tail
sends tokens back to it. Every record is checked for attempt, epoch, layer
and position before the engine sees it, so "each layer once, in order" is
a property of the data and not of the timing.
"""

import anyio
import anyio.abc

from crowdeck import digest
from crowdeck import errors
from crowdeck.membership import links as links_module
from crowdeck.observe import counters
from crowdeck.observe import traces
from crowdeck import pipeline
from crowdeck.sidecar import attempt as attempts
from crowdeck.sidecar import batcher as batchers
from crowdeck.sidecar import gate as gates
from crowdeck import timers
from crowdeck import upstream
from crowdeck import verdict as verdicts
from crowdeck.wire import link
from crowdeck.wire import messages

SWEEP_SECONDS = 0.25
# A stage whose predecessor is gone keeps its KV cache this long for the
# attempt that replaces the broken one; detection takes about 1.5 s.
ORPHAN_SECONDS = 5.0
# A caller whose entry died has this long to come back for its answer.
KEEP_SECONDS = 60.0
KEPT_LIMIT = 10_000
FINISH_LENGTH = "length"
BOUNDARY_TIMEOUT = 2.0
BOUNDARY_POLL_SECONDS = 0.002

_MAY_HAVE_RUN = verdicts.Verdict.MAY_HAVE_RUN


class Stage:
    """All attempts that cross one sidecar's engine."""

    def __init__(
        self,
        instance: str,
        gate: gates.Gate,
        batcher: batchers.Batcher,
        engine: upstream.Engine,
        links: links_module.Links,
        clock: timers.Clock,
        tracer: traces.Tracer,
        tasks: anyio.abc.TaskGroup,
    ) -> None:
        self._instance = instance
        self._gate = gate
        self._batcher = batcher
        self._engine = engine
        self._links = links
        self._clock = clock
        self._tracer = tracer
        self._tasks = tasks
        self._attempts: dict[str, attempts.Attempt] = {}
        self._imports: dict[str, attempts.HeldImport] = {}

    @property
    def running(self) -> int:
        """How many attempts are in progress here."""
        return sum(one.is_running for one in self._attempts.values())

    @property
    def kept(self) -> tuple[attempts.Attempt, ...]:
        """Every attempt that is kept here, ended ones too."""
        return tuple(self._attempts.values())

    def find(self, request: str) -> attempts.Attempt | None:
        """Return the latest attempt of a request, if it is kept here."""
        return self._attempts.get(request)

    def forget(self, attempt: attempts.Attempt) -> None:
        """Drop an attempt and its KV cache."""
        self._drop(attempt, "forgotten")

    # Openings: the first record of an attempt, at the head a question.

    def open(self, peer: link.Peer, opening: messages.Opening) -> None:
        """Begin an attempt as its head.

        :raises CrowdeckError: with the gate's verdict when refused.
        """
        attempt = self._begin(peer, opening)
        if not attempt.is_head:
            self._drop(attempt, "misdirected")
            raise errors.CrowdeckError(
                errors.Code.WRONG_LAYER,
                f"{self._instance} is not the head of this path",
            )
        attempt.upto = attempt.next_position + opening.window
        step = self._first_step(attempt)
        self._batcher.prefill(
            step, lambda result: self._on_prefilled(attempt, result)
        )

    async def wait_boundary(self, request: str) -> None:
        """Wait until the engine has no step of a request, or too long.

        A warm opening comes while its stages may still run the step that
        the moved stage left out; refusing it then would cost a replay.
        """
        attempt = self._attempts.get(request)
        with anyio.move_on_after(BOUNDARY_TIMEOUT):
            while attempt is not None and attempt.is_in_engine:
                await anyio.sleep(BOUNDARY_POLL_SECONDS)

    def on_prefill(self, peer: link.Peer, record: messages.Prefill) -> None:
        """Begin an attempt as a later stage."""
        if record.opening.warm_position >= 0:
            self._tasks.start_soon(self._prefill_warm, peer, record)
        else:
            self._prefill(peer, record)

    async def _prefill_warm(
        self, peer: link.Peer, record: messages.Prefill
    ) -> None:
        await self.wait_boundary(record.opening.request)
        self._prefill(peer, record)

    def _prefill(self, peer: link.Peer, record: messages.Prefill) -> None:
        opening = record.opening
        try:
            attempt = self._begin(peer, opening)
        except errors.CrowdeckError as error:
            counters.COUNTERS.add(f"stage.refused.{error.code.lower()}")
            # A repeat on the same link is dropped; the same epoch on
            # another link is a second driver, who must be told.
            held = self._current(opening.request, opening.epoch)
            if held is None or held.source is not peer:
                peer.send(self._failure(opening.request, opening.epoch, error))
            return
        try:
            attempt.check_layer(record.next_layer)
            if record.context != attempt.context:
                raise _wrong_context(record.context, attempt.context)
        except errors.CrowdeckError as error:
            self._fail(attempt, error)
            return
        step = upstream.EngineStep(
            sequence=attempt.sequence,
            context=record.context,
            hidden=record.hidden,
            count=record.count,
        )
        self._batcher.prefill(
            step, lambda result: self._on_prefilled(attempt, result)
        )

    def _begin(
        self, peer: link.Peer, opening: messages.Opening
    ) -> attempts.Attempt:
        index = self._own_index(opening.path)
        is_warm = opening.warm_position >= 0
        earlier = self._attempts.get(opening.request)
        warm_sequence = ""
        if earlier is not None and earlier.opening.team != opening.team:
            raise errors.CrowdeckError(
                errors.Code.FORBIDDEN, "this request is another team's"
            )
        if is_warm:
            warm_sequence = self._require_warm(earlier, opening)
        self._gate.enter(
            opening.request, opening.epoch, is_new_work=not is_warm
        )
        attempt = self._make(peer, opening, index)
        if earlier is not None:
            self._replace(earlier, opening, keeps_kv=is_warm)
        if is_warm:
            attempt.sequence = warm_sequence
            attempt.context = opening.warm_context
            self._imports.pop(opening.request, None)
        attempt.is_in_engine = True
        self._attempts[opening.request] = attempt
        counters.COUNTERS.add("stage.opened")
        return attempt

    def _replace(
        self,
        earlier: attempts.Attempt,
        opening: messages.Opening,
        keeps_kv: bool,
    ) -> None:
        """End an earlier attempt, at stages the new path leaves out too.

        Stages of both paths get the new opening; a ``Cancel`` there would
        race it and throw away the KV cache that a warm one counts on.
        """
        kept = {one.instance for one in opening.path.stages}
        forward = earlier.forward
        if forward is not None and forward.greeting.instance not in kept:
            self._send_forward(
                earlier, messages.Cancel(earlier.request, earlier.epoch)
            )
        if keeps_kv:
            earlier.span.end("moved")
        else:
            self._drop(earlier, "replaced")

    def hold_import(self, question: messages.ImportKv, sequence: str) -> None:
        """Keep an imported KV cache for the warm opening to come."""
        self._imports[question.request] = attempts.HeldImport(
            sequence=sequence,
            team=question.team,
            context=question.context,
            time=self._clock.now(),
        )

    def _make(
        self, peer: link.Peer, opening: messages.Opening, index: int
    ) -> attempts.Attempt:
        now = self._clock.now()
        return attempts.Attempt(
            opening=opening,
            index=index,
            sequence=f"{opening.request}.{opening.epoch}",
            source=peer,
            deadline=now + opening.seconds_left,
            span=self._tracer.begin(
                "stage",
                opening.traceparent,
                {
                    "request": opening.request,
                    "epoch": opening.epoch,
                    "stage": index,
                },
            ),
            touched=now,
            next_position=len(opening.delivered),
            pieces=list(opening.delivered),
        )

    def _own_index(self, path: pipeline.Path) -> int:
        try:
            return path.index_of(self._instance, self._gate.incarnation)
        except LookupError:
            raise errors.CrowdeckError(
                errors.Code.WRONG_INCARNATION,
                f"the path was chosen for another run of {self._instance}",
                culprit=self._instance,
            ) from None

    def _require_warm(
        self, earlier: attempts.Attempt | None, opening: messages.Opening
    ) -> str:
        """Return the engine sequence that a warm opening goes on with."""
        held = self._imports.get(opening.request)
        if held is not None and held.team == opening.team:
            if held.context == opening.warm_context:
                return held.sequence
        is_held = (
            earlier is not None
            and not earlier.is_in_engine
            and earlier.context >= opening.warm_context
            and earlier.opening.team == opening.team
        )
        if earlier is None or not is_held:
            raise errors.CrowdeckError(
                errors.Code.CACHE_GONE,
                f"{self._instance} does not hold this KV cache",
                culprit=self._instance,
            )
        return earlier.sequence

    def _first_step(self, attempt: attempts.Attempt) -> upstream.EngineStep:
        opening = attempt.opening
        tokens = tuple(piece.token for piece in opening.delivered)
        if opening.warm_position >= 0:
            return upstream.EngineStep(
                sequence=attempt.sequence,
                context=opening.warm_context,
                tokens=tokens[-1:],
            )
        return upstream.EngineStep(
            sequence=attempt.sequence,
            context=0,
            prompt=opening.prompt,
            tokens=tokens,
        )

    # Results of the engine, and the way on.

    def _on_prefilled(
        self, attempt: attempts.Attempt, result: batchers.Result
    ) -> None:
        output = self._take_result(attempt, result)
        if output is None:
            return
        before = attempt.context
        attempt.context += output.count
        position = attempt.next_position
        attempt.next_position += 1
        self._tasks.start_soon(
            self._pass_on_first, attempt, position, before, output
        )

    async def _pass_on_first(
        self,
        attempt: attempts.Attempt,
        position: int,
        before: int,
        output: upstream.EngineOutput,
    ) -> None:
        """Open the link that the attempt's records will take from here."""
        try:
            await self._connect_forward(attempt)
        except errors.CrowdeckError as error:
            self._fail(attempt, error)
            return
        if self._attempts.get(attempt.request) is not attempt:
            return
        if attempt.is_tail:
            self._pass_token(attempt, position, output)
            return
        assert attempt.forward is not None
        attempt.forward.send(
            messages.Prefill(
                opening=attempt.opening,
                next_layer=attempt.end_layer,
                context=before,
                count=output.count,
                hidden=output.hidden,
            )
        )

    async def _connect_forward(self, attempt: attempts.Attempt) -> None:
        stages = attempt.opening.path.stages
        if len(stages) == 1:
            return
        target = stages[(attempt.index + 1) % len(stages)]
        peer = await self._links.get(target.instance)
        if peer.greeting.incarnation != target.incarnation:
            raise errors.LinkLost(
                f"{target.instance} was replaced",
                was_sent=False,
                culprit=target.instance,
            )
        attempt.forward = peer

    def on_step(self, peer: link.Peer, record: messages.Step) -> None:
        """Run one position of a running attempt."""
        attempt = self._current(record.request, record.epoch)
        if attempt is None or attempt.is_head or attempt.is_moved:
            counters.COUNTERS.add("stage.refused.stale_record")
            return
        try:
            attempt.check_layer(record.next_layer)
            if not attempt.check_position(record.position, record.context):
                counters.COUNTERS.add("stage.refused.repeated_record")
                return
        except errors.CrowdeckError as error:
            self._fail(attempt, error)
            return
        self._decode(
            attempt,
            upstream.EngineStep(
                sequence=attempt.sequence,
                context=record.context,
                hidden=record.hidden,
                count=1,
            ),
        )

    def _decode(
        self, attempt: attempts.Attempt, step: upstream.EngineStep
    ) -> None:
        position = attempt.next_position
        attempt.next_position += 1
        attempt.context += 1
        attempt.is_in_engine = True
        attempt.touched = self._clock.now()
        self._batcher.decode(
            step, lambda result: self._on_decoded(attempt, position, result)
        )

    def _on_decoded(
        self,
        attempt: attempts.Attempt,
        position: int,
        result: batchers.Result,
    ) -> None:
        output = self._take_result(attempt, result)
        if output is None:
            return
        if attempt.is_tail:
            self._pass_token(attempt, position, output)
            return
        assert attempt.forward is not None
        attempt.forward.send(
            messages.Step(
                request=attempt.request,
                epoch=attempt.epoch,
                position=position,
                next_layer=attempt.end_layer,
                context=attempt.context - 1,
                hidden=output.hidden,
            )
        )

    def _take_result(
        self, attempt: attempts.Attempt, result: batchers.Result
    ) -> upstream.EngineOutput | None:
        attempt.is_in_engine = False
        if self._attempts.get(attempt.request) is not attempt:
            # Cancelled or replaced while the engine worked: the result is
            # nobody's, and its KV cache was made after our cancel.
            self._tasks.start_soon(self._cancel_engine, attempt.sequence)
            return None
        if not attempt.is_running:
            # It failed meanwhile, so its link on may be gone; whoever
            # replaces it begins from what was delivered.
            return None
        if isinstance(result, errors.CrowdeckError):
            self._fail(attempt, result)
            return None
        return result

    def _pass_token(
        self,
        attempt: attempts.Attempt,
        position: int,
        output: upstream.EngineOutput,
    ) -> None:
        token = messages.Token(
            request=attempt.request,
            epoch=attempt.epoch,
            position=position,
            next_layer=attempt.end_layer,
            context=attempt.context,
            token=output.token,
            text=output.text,
            finish=output.finish,
        )
        if attempt.is_head:
            self._take_token(attempt, token)
            return
        attempt.pieces.append(messages.Piece(output.token, output.text))
        # Whoever takes the answer up here has to know that it is whole.
        attempt.finish = output.finish
        assert attempt.forward is not None
        attempt.forward.send(token)

    # The head's part: collect tokens, keep the answer, drive on.

    def on_token(self, peer: link.Peer, record: messages.Token) -> None:
        """Take a token from the tail."""
        attempt = self._current(record.request, record.epoch)
        if attempt is None or not attempt.is_head or not attempt.is_running:
            counters.COUNTERS.add("stage.refused.stale_record")
            return
        self._take_token(attempt, record)

    def _take_token(
        self, attempt: attempts.Attempt, record: messages.Token
    ) -> None:
        position = len(attempt.pieces)
        if record.position < position:
            counters.COUNTERS.add("stage.refused.repeated_record")
            return
        path = attempt.opening.path
        if record.position > position or record.context != attempt.context:
            self._fail(attempt, _wrong_token(record.position, position))
            return
        if record.next_layer != path.layer_count:
            self._fail(attempt, _unfinished_token(record.next_layer))
            return
        attempt.pieces.append(messages.Piece(record.token, record.text))
        attempt.touched = self._clock.now()
        counters.COUNTERS.add("head.tokens")
        finish = record.finish
        if not finish and len(attempt.pieces) >= attempt.opening.max_tokens:
            finish = FINISH_LENGTH
        self._send_source(
            attempt,
            messages.Answer(
                request=attempt.request,
                epoch=attempt.epoch,
                position=position,
                token=record.token,
                text=record.text,
                finish=finish,
            ),
        )
        self._drive_on(attempt, finish)

    def _drive_on(self, attempt: attempts.Attempt, finish: str) -> None:
        if finish:
            self._finish(attempt, finish)
        elif attempt.is_moved:
            pass
        elif attempt.next_position >= attempt.upto:
            attempt.is_held = True
        else:
            self._next_position(attempt)

    def _next_position(self, attempt: attempts.Attempt) -> None:
        attempt.is_held = False
        self._decode(
            attempt,
            upstream.EngineStep(
                sequence=attempt.sequence,
                context=attempt.context,
                tokens=(attempt.pieces[-1].token,),
            ),
        )

    def _finish(self, attempt: attempts.Attempt, finish: str) -> None:
        attempt.finish = finish
        attempt.span.note("tokens", len(attempt.pieces))
        attempt.span.end("finished")
        self._gate.finish(attempt.request)
        self._send_end(attempt)
        self._send_forward(
            attempt, messages.Cancel(attempt.request, attempt.epoch)
        )
        self._tasks.start_soon(self._cancel_engine, attempt.sequence)

    def _send_end(self, attempt: attempts.Attempt) -> None:
        pairs = [(piece.token, piece.text) for piece in attempt.pieces]
        self._send_source(
            attempt,
            messages.AnswerEnd(
                request=attempt.request,
                epoch=attempt.epoch,
                count=len(pairs),
                digest=digest.digest_answer(attempt.request, pairs),
                finish=attempt.finish,
            ),
        )

    def on_credit(self, peer: link.Peer, record: messages.Credit) -> None:
        """Let the head go on as far as the caller has room."""
        attempt = self._current(record.request, record.epoch)
        if attempt is None or attempt.source is not peer:
            return
        attempt.upto = max(attempt.upto, record.upto)
        can_go_on = attempt.is_held and attempt.next_position < attempt.upto
        if can_go_on and attempt.is_running and not attempt.is_moved:
            self._next_position(attempt)

    def attach(
        self, peer: link.Peer, question: messages.Attach
    ) -> messages.Attached:
        """Give an answer to an entry that asks for the rest of it.

        :raises CrowdeckError: ``ANSWER_GONE`` when it is not kept here,
            and just the same when it is another team's.
        """
        attempt = self._attempts.get(question.request)
        if attempt is None or attempt.opening.team != question.team:
            raise errors.CrowdeckError(
                errors.Code.ANSWER_GONE,
                "no such answer is kept here",
                verdict=_MAY_HAVE_RUN,
            )
        if attempt.is_head:
            self._change_source(attempt, peer)
            attempt.upto = question.position + question.window
            self._tasks.start_soon(self._resume_soon, attempt)
        return messages.Attached(
            epoch=attempt.epoch,
            pieces=tuple(attempt.pieces[question.position :]),
            is_running=attempt.is_head and attempt.is_running,
            finish=attempt.finish,
        )

    def _change_source(
        self, attempt: attempts.Attempt, peer: link.Peer
    ) -> None:
        former = attempt.source
        attempt.source = peer
        attempt.touched = self._clock.now()
        if former is not None and former is not peer:
            former.send(
                self._failure(
                    attempt.request,
                    attempt.epoch,
                    errors.CrowdeckError(
                        errors.Code.SUPERSEDED,
                        "the answer went on to another entry",
                        verdict=_MAY_HAVE_RUN,
                    ),
                )
            )

    async def _resume_soon(self, attempt: attempts.Attempt) -> None:
        can_go_on = attempt.is_held and attempt.next_position < attempt.upto
        if can_go_on and attempt.is_running:
            self._next_position(attempt)

    # Failure, cancellation and time.

    def on_failure(self, peer: link.Peer, record: messages.Failure) -> None:
        """Take a later stage's failure and pass it towards the entry."""
        attempt = self._current(record.request, record.epoch)
        if attempt is None or attempt.forward is not peer:
            return
        error = errors.CrowdeckError(
            record.code,
            record.message,
            verdict=record.verdict,
            culprit=record.culprit,
        )
        self._fail(attempt, error)

    def on_cancel(self, peer: link.Peer, record: messages.Cancel) -> None:
        """Stop an attempt here and at the stages after it."""
        attempt = self._current(record.request, record.epoch)
        if attempt is None or attempt.source is not peer:
            return
        if attempt.is_head and attempt.finish:
            return
        if not attempt.is_moved:
            # The stages after a moved one serve the next attempt, warm:
            # they must not lose their KV caches to the end of this one.
            self._send_forward(attempt, record)
        self._drop(attempt, "cancelled")

    def on_closed(self, peer: link.Peer) -> None:
        """Fail what went out on a lost link, keep what came in on it."""
        for attempt in tuple(self._attempts.values()):
            if attempt.forward is peer:
                attempt.forward = None
                if attempt.is_running:
                    lost = peer.greeting.instance
                    self._fail(
                        attempt,
                        errors.LinkLost(
                            f"the link to {lost} was lost",
                            was_sent=True,
                            culprit=lost,
                        ),
                    )
            if attempt.source is peer:
                attempt.source = None
                attempt.touched = self._clock.now()

    async def sweep(self) -> None:
        """End attempts past their deadline, drop those nobody will ask."""
        now = self._clock.now()
        for attempt in tuple(self._attempts.values()):
            if attempt.is_head:
                self._sweep_head(attempt, now)
            else:
                self._sweep_later(attempt, now)
        self._drop_imports(now)
        self._drop_surplus()

    def _drop_imports(self, now: float) -> None:
        for request, held in tuple(self._imports.items()):
            if now - held.time > ORPHAN_SECONDS:
                del self._imports[request]
                self._tasks.start_soon(self._cancel_engine, held.sequence)

    def _sweep_head(self, attempt: attempts.Attempt, now: float) -> None:
        if attempt.is_running and now > attempt.deadline:
            self._send_forward(
                attempt, messages.Cancel(attempt.request, attempt.epoch)
            )
            self._fail(
                attempt,
                errors.CrowdeckError(
                    errors.Code.DEADLINE,
                    "the answer was not whole by its deadline",
                    verdict=_MAY_HAVE_RUN,
                ),
            )
        is_old = now - attempt.touched > KEEP_SECONDS
        if is_old and (attempt.source is None or not attempt.is_running):
            self._send_forward(
                attempt, messages.Cancel(attempt.request, attempt.epoch)
            )
            self._drop(attempt, "expired")

    def _sweep_later(self, attempt: attempts.Attempt, now: float) -> None:
        is_orphan = (
            attempt.source is None or attempt.is_failed or attempt.is_moved
        )
        is_old = now - attempt.touched > ORPHAN_SECONDS
        is_late = now > attempt.deadline + ORPHAN_SECONDS
        if (is_orphan and is_old) or is_late:
            self._drop(attempt, "expired")

    def _drop_surplus(self) -> None:
        surplus = len(self._attempts) - KEPT_LIMIT
        if surplus <= 0:
            return
        ended = [one for one in self._attempts.values() if not one.is_running]
        for attempt in ended[:surplus]:
            self._drop(attempt, "surplus")

    def _current(self, request: str, epoch: int) -> attempts.Attempt | None:
        attempt = self._attempts.get(request)
        if attempt is None or attempt.epoch != epoch:
            return None
        return attempt

    def _fail(
        self, attempt: attempts.Attempt, error: errors.CrowdeckError
    ) -> None:
        if not attempt.is_running:
            return
        if self._attempts.get(attempt.request) is not attempt:
            return
        attempt.is_failed = True
        attempt.touched = self._clock.now()
        attempt.span.end(error.code)
        counters.COUNTERS.add(f"stage.failed.{error.code.lower()}")
        self._send_source(
            attempt, self._failure(attempt.request, attempt.epoch, error)
        )

    def _failure(
        self, request: str, epoch: int, error: errors.CrowdeckError
    ) -> messages.Failure:
        return messages.Failure(
            request=request,
            epoch=epoch,
            verdict=error.verdict,
            code=error.code,
            message=error.message,
            culprit=error.culprit or self._instance,
        )

    def _send_source(
        self, attempt: attempts.Attempt, record: messages.Record
    ) -> None:
        if attempt.source is not None:
            attempt.source.send(record)

    def _send_forward(
        self, attempt: attempts.Attempt, record: messages.Record
    ) -> None:
        # A tail's forward link leads back to the head, not to a stage.
        if attempt.forward is not None and not attempt.is_tail:
            attempt.forward.send(record)

    def _drop(self, attempt: attempts.Attempt, outcome: str) -> None:
        if self._attempts.get(attempt.request) is attempt:
            del self._attempts[attempt.request]
        attempt.span.end(outcome)
        self._gate.finish(attempt.request)
        self._tasks.start_soon(self._cancel_engine, attempt.sequence)

    async def _cancel_engine(self, sequence: str) -> None:
        try:
            await self._engine.cancel(sequence)
        except errors.CrowdeckError:
            # The engine forgets by itself in time; there is nobody who
            # could do anything about it now.
            counters.COUNTERS.add("engine.cancel_failed")


def _wrong_context(got: int, held: int) -> errors.CrowdeckError:
    return errors.CrowdeckError(
        errors.Code.WRONG_POSITION,
        f"the record follows {got} tokens of context, {held} are held",
        verdict=_MAY_HAVE_RUN,
    )


def _wrong_token(got: int, expected: int) -> errors.CrowdeckError:
    return errors.CrowdeckError(
        errors.Code.WRONG_POSITION,
        f"token {got} came, not {expected}",
        verdict=_MAY_HAVE_RUN,
    )


def _unfinished_token(next_layer: int) -> errors.CrowdeckError:
    return errors.CrowdeckError(
        errors.Code.WRONG_LAYER,
        f"a token came out before layer {next_layer} had run",
        verdict=_MAY_HAVE_RUN,
    )
