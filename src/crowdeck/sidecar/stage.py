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
        self._batcher = batcher
        self._links = links
        self._clock = clock
        self._tasks = tasks
        self._registry = attempt_registry.AttemptRegistry(
            instance, gate, engine, clock, tasks
        )
        self._openings = openings.Openings(
            instance, gate, self._registry, clock, tracer
        )
        self._head = heads.Head(
            gate, self._registry, clock, tasks, self._decode
        )

    @property
    def head(self) -> heads.Head:
        """What this sidecar does as the first stage of an answer."""
        return self._head

    @property
    def registry(self) -> attempt_registry.AttemptRegistry:
        """The attempts that are kept here."""
        return self._registry

    # Openings: the first record of an attempt, at the head a question.

    def open(self, peer: link.Peer, opening: messages.Opening) -> None:
        """Begin an attempt as its head.

        :raises CrowdeckError: with the gate's verdict when refused.
        """
        attempt = self._openings.begin(peer, opening)
        if not attempt.is_head:
            self._registry.drop(attempt, "misdirected")
            raise errors.CrowdeckError(
                errors.Code.WRONG_LAYER,
                f"{self._instance} is not the head of this path",
            )
        attempt.upto = attempt.next_position + opening.window
        step = openings.first_step(attempt)
        self._batcher.prefill(
            step, lambda result: self._on_prefilled(attempt, result)
        )

    async def wait_boundary(self, request: str) -> None:
        """Wait until the engine has no step of a request, or too long.

        A warm opening comes while its stages may still run the step that
        the moved stage left out; refusing it then would cost a replay.
        """
        attempt = self._registry.find(request)
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
            attempt = self._openings.begin(peer, opening)
        except errors.CrowdeckError as error:
            counters.COUNTERS.add(f"stage.refused.{error.code.lower()}")
            # A repeat on the same link is dropped; the same epoch on
            # another link is a second driver, who must be told.
            held = self._registry.current(opening.request, opening.epoch)
            if held is None or held.source is not peer:
                peer.send(
                    self._registry.failure(
                        opening.request, opening.epoch, error
                    )
                )
            return
        try:
            attempt.check_layer(record.next_layer)
            if record.context != attempt.context:
                raise _wrong_context(record.context, attempt.context)
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
            self._registry.fail(attempt, error)
            return
        if self._registry.find(attempt.request) is not attempt:
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
        attempt = self._registry.current(record.request, record.epoch)
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
        if self._registry.find(attempt.request) is not attempt:
            # Cancelled or replaced while the engine worked: the result is
            # nobody's, and its KV cache was made after our cancel.
            self._tasks.start_soon(
                self._registry.cancel_engine, attempt.sequence
            )
            return None
        if not attempt.is_running:
            # It failed meanwhile, so its link on may be gone; whoever
            # replaces it begins from what was delivered.
            return None
        if isinstance(result, errors.CrowdeckError):
            self._registry.fail(attempt, result)
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
            self._head.take_token(attempt, token)
            return
        attempt.pieces.append(messages.Piece(output.token, output.text))
        # Whoever takes the answer up here has to know that it is whole.
        attempt.finish = output.finish
        assert attempt.forward is not None
        attempt.forward.send(token)

    def on_token(self, peer: link.Peer, record: messages.Token) -> None:
        """Take a token from the tail."""
        attempt = self._registry.current(record.request, record.epoch)
        if attempt is None or not attempt.is_head or not attempt.is_running:
            counters.COUNTERS.add("stage.refused.stale_record")
            return
        self._head.take_token(attempt, record)

    # Failure, cancellation and time.

    def on_failure(self, peer: link.Peer, record: messages.Failure) -> None:
        """Take a later stage's failure and pass it towards the entry."""
        attempt = self._registry.current(record.request, record.epoch)
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
        attempt = self._registry.current(record.request, record.epoch)
        if attempt is None or attempt.source is not peer:
            return
        if attempt.is_head and attempt.finish:
            return
        if not attempt.is_moved:
            # The stages after a moved one serve the next attempt, warm:
            # they must not lose their KV caches to the end of this one.
            self._registry.send_forward(attempt, record)
        self._registry.drop(attempt, "cancelled")


def _wrong_context(got: int, held: int) -> errors.CrowdeckError:
    return errors.CrowdeckError(
        errors.Code.WRONG_POSITION,
        f"the record follows {got} tokens of context, {held} are held",
        verdict=_MAY_HAVE_RUN,
    )
