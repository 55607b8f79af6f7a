# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""One stage of a path: runs records on its engine and sends the results on.

The head (stage 0) starts each position and keeps the answer; the tail sends
tokens back to it. The epoch, layer and position of each record are checked
before the engine runs it, so that each layer runs once and in order whatever
the timing of the records.
"""

import anyio
import anyio.abc

from crowdeck import errors
from crowdeck.membership import links as links_module
from crowdeck.observe import counters
from crowdeck.observe import traces
from crowdeck.sidecar import attempt as attempts
from crowdeck.sidecar import attempt_registry
from crowdeck.sidecar import batcher as batchers
from crowdeck.sidecar import gate as gates
from crowdeck.sidecar import head as heads
from crowdeck.sidecar import opening as openings
from crowdeck import timers
from crowdeck import upstream
from crowdeck import verdict as verdicts
from crowdeck.wire import link
from crowdeck.wire import messages

SWEEP_SECONDS = 0.25
IDLE_TIMEOUT_SECONDS = 2.0
IDLE_POLL_SECONDS = 0.002

_MAY_HAVE_RUN = verdicts.Verdict.MAY_HAVE_RUN


class Stage:
    """The attempts that run on one sidecar's engine."""

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
        self._batcher = batcher
        self._links = links
        self._clock = clock
        self._tasks = tasks
        self._registry = attempt_registry.AttemptRegistry(
            instance, gate, engine, clock, tasks
        )
        self._opener = openings.AttemptOpener(
            instance, gate, self._registry, clock, tracer
        )
        self._head = heads.Head(
            gate, self._registry, clock, tasks, self._decode
        )

    @property
    def head(self) -> heads.Head:
        """The answers of which this sidecar is the first stage."""
        return self._head

    @property
    def registry(self) -> attempt_registry.AttemptRegistry:
        """The attempts, both running and ended."""
        return self._registry

    # The head receives an opening in an Open question, later stages in a
    # Prefill record.

    def open(self, peer: link.Peer, opening: messages.Opening) -> None:
        """Begin an attempt as its head.

        :raises CrowdeckError: with the gate's verdict when refused.
        """
        attempt = self._opener.begin(peer, opening)
        if not attempt.is_head:
            self._registry.drop(attempt, "misdirected")
            raise errors.CrowdeckError(
                errors.Code.WRONG_LAYER,
                f"{self._instance} is not the head of this path",
            )
        attempt.credit_limit = attempt.next_position + opening.window
        step = openings.first_step(attempt)
        self._batcher.prefill(
            step, lambda result: self._on_prefilled(attempt, result)
        )

    async def wait_until_idle(self, request: str) -> None:
        """Wait for a limited time until the engine has no step of a request.

        A warm opening may arrive while a stage still runs a step of the
        previous attempt. Refusing it would cost a replay.
        """
        attempt = self._registry.find(request)
        with anyio.move_on_after(IDLE_TIMEOUT_SECONDS):
            while attempt is not None and attempt.is_in_engine:
                await anyio.sleep(IDLE_POLL_SECONDS)

    def on_prefill(self, peer: link.Peer, record: messages.Prefill) -> None:
        """Begin an attempt as a later stage."""
        if record.opening.warm_position >= 0:
            self._tasks.start_soon(self._prefill_warm, peer, record)
        else:
            self._prefill(peer, record)

    async def _prefill_warm(
        self, peer: link.Peer, record: messages.Prefill
    ) -> None:
        await self.wait_until_idle(record.opening.request)
        self._prefill(peer, record)

    def _prefill(self, peer: link.Peer, record: messages.Prefill) -> None:
        opening = record.opening
        try:
            attempt = self._opener.begin(peer, opening)
        except errors.CrowdeckError as error:
            counters.COUNTERS.add(f"stage.refused.{error.code.lower()}")
            # A repeat on the same link is dropped. The same epoch on another
            # link comes from a second driver, which has to be notified.
            current = self._registry.find_current(
                opening.request, opening.epoch
            )
            if current is None or current.source is not peer:
                peer.send(
                    self._registry.make_failure(
                        opening.request, opening.epoch, error
                    )
                )
            return
        try:
            attempt.check_layer(record.next_layer)
            if record.context != attempt.context:
                raise _wrong_context_error(record.context, attempt.context)
        except errors.CrowdeckError as error:
            self._registry.fail(attempt, error)
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

    # Results of the engine.

    def _on_prefilled(
        self, attempt: attempts.Attempt, result: batchers.Result
    ) -> None:
        output = self._take_result(attempt, result)
        if output is None:
            return
        context_before = attempt.context
        attempt.context += output.count
        position = attempt.next_position
        attempt.next_position += 1
        self._tasks.start_soon(
            self._forward_first, attempt, position, context_before, output
        )

    async def _forward_first(
        self,
        attempt: attempts.Attempt,
        position: int,
        context_before: int,
        output: upstream.EngineOutput,
    ) -> None:
        """Connect to the next stage and send it the first result."""
        try:
            await self._connect_forward(attempt)
        except errors.CrowdeckError as error:
            self._registry.fail(attempt, error)
            return
        if self._registry.find(attempt.request) is not attempt:
            return
        if attempt.is_tail:
            self._forward_token(attempt, position, output)
            return
        assert attempt.forward is not None
        attempt.forward.send(
            messages.Prefill(
                opening=attempt.opening,
                next_layer=attempt.end_layer,
                context=context_before,
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
        """Run one position of a request's current attempt."""
        attempt = self._registry.find_current(record.request, record.epoch)
        if attempt is None or attempt.is_head or attempt.is_moved:
            counters.COUNTERS.add("stage.refused.stale_record")
            return
        try:
            attempt.check_layer(record.next_layer)
            if not attempt.check_position(record.position, record.context):
                counters.COUNTERS.add("stage.refused.repeated_record")
                return
        except errors.CrowdeckError as error:
            self._registry.fail(attempt, error)
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
        attempt.touched_at = self._clock.now()
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
            self._forward_token(attempt, position, output)
            return
        assert attempt.forward is not None
        attempt.forward.send(
            messages.Step(
                request=attempt.request,
                epoch=attempt.epoch,
                position=position,
                next_layer=attempt.end_layer,
                # The next stage has not yet counted this position.
                context=attempt.context - 1,
                hidden=output.hidden,
            )
        )

    def _take_result(
        self, attempt: attempts.Attempt, result: batchers.Result
    ) -> upstream.EngineOutput | None:
        attempt.is_in_engine = False
        if self._registry.find(attempt.request) is not attempt:
            # The attempt was dropped while the engine ran the step. The step
            # may have created the KV cache again.
            self._tasks.start_soon(
                self._registry.cancel_sequence, attempt.sequence
            )
            return None
        if not attempt.is_running:
            # The attempt has failed meanwhile, and its link to the next
            # stage may be lost.
            return None
        if isinstance(result, errors.CrowdeckError):
            self._registry.fail(attempt, result)
            return None
        return result

    def _forward_token(
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
            self._head.take_token(attempt, token)
            return
        attempt.pieces.append(messages.Piece(output.token, output.text))
        # An entry that resumes the answer here has to see that it is complete.
        attempt.finish = output.finish
        assert attempt.forward is not None
        attempt.forward.send(token)

    def on_token(self, peer: link.Peer, record: messages.Token) -> None:
        """Receive a token from the tail."""
        attempt = self._registry.find_current(record.request, record.epoch)
        if attempt is None or not attempt.is_head or not attempt.is_running:
            counters.COUNTERS.add("stage.refused.stale_record")
            return
        self._head.take_token(attempt, record)

    # Failure and cancellation.

    def on_failure(self, peer: link.Peer, record: messages.Failure) -> None:
        """Report a later stage's failure towards the entry."""
        attempt = self._registry.find_current(record.request, record.epoch)
        if attempt is None or attempt.forward is not peer:
            return
        error = errors.CrowdeckError(
            record.code,
            record.message,
            verdict=record.verdict,
            culprit=record.culprit,
        )
        self._registry.fail(attempt, error)

    def on_cancel(self, peer: link.Peer, record: messages.Cancel) -> None:
        """Stop an attempt here and at the stages after it."""
        attempt = self._registry.find_current(record.request, record.epoch)
        if attempt is None or attempt.source is not peer:
            return
        if attempt.is_head and attempt.finish:
            # A complete answer is kept for callers that resume it.
            return
        if not attempt.is_moved:
            # After a move, the later stages need their KV caches for the
            # next attempt.
            self._registry.send_to_next(attempt, record)
        self._registry.drop(attempt, "cancelled")


def _wrong_context_error(got: int, held: int) -> errors.CrowdeckError:
    return errors.CrowdeckError(
        errors.Code.WRONG_POSITION,
        f"the record needs {got} tokens of context, but {held} are held",
        verdict=_MAY_HAVE_RUN,
    )
