# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""A stand-in for a model engine that holds a range of layers."""

import collections
import time
import typing

import anyio
import attrs
import msgpack

from crowdeck import errors
from crowdeck import pipeline
from crowdeck.standin import model as models
from crowdeck import upstream
from crowdeck import verdict as verdicts


@attrs.frozen
class EngineSpeed:
    """Simulated speed of a device.

    :ivar batch_seconds: fixed time of a batch.
    :ivar token_seconds: additional time for each sequence in a batch.
    :ivar prefill_token_seconds: additional time for each token of an input
        of more than one token.
    :ivar batch_limit: maximum number of sequences in one batch.
    """

    batch_seconds: float = 0.001
    token_seconds: float = 0.00001
    prefill_token_seconds: float = 0.00001
    batch_limit: int = 256

    def step_seconds(self, batch_size: int) -> float:
        """Return the time of a batch of decode steps."""
        return self.batch_seconds + batch_size * self.token_seconds

    @property
    def tokens_per_second(self) -> float:
        """Maximum decode steps per second, reached with full batches."""
        return self.batch_limit / self.step_seconds(self.batch_limit)


@attrs.define
class Sequence:
    """The KV cache of one sequence: the layer states of each token."""

    states: list[models.LayerStates]

    @property
    def context(self) -> int:
        """Number of tokens in the cache."""
        return len(self.states)


@attrs.define(eq=False)
class _QueuedStep:
    """A step that waits for the device."""

    step: upstream.EngineStep
    done: anyio.Event = attrs.field(factory=anyio.Event)
    output: upstream.EngineOutput | None = None


class StandinEngine:
    """Implements :class:`crowdeck.upstream.Engine` in memory.

    :ivar failure: if set, steps and KV transfers raise it.
    :ivar runs: how often each sequence was run at each context length.
    :ivar begun: monotonic time in seconds at which each sequence began.
    :ivar slowness: factor on the time of every batch.
    """

    def __init__(
        self,
        model: models.StandinModel,
        offer: pipeline.Offer,
        speed: EngineSpeed | None = None,
        sequence_limit: int = 4096,
    ) -> None:
        self._model = model
        self._offer = offer
        self._speed = speed or EngineSpeed()
        self._sequence_limit = sequence_limit
        self._sequences: collections.OrderedDict[str, Sequence] = (
            collections.OrderedDict()
        )
        self._queue: collections.deque[_QueuedStep] = collections.deque()
        self._is_busy = False
        self.failure: errors.CrowdeckError | None = None
        self.runs: collections.Counter[tuple[str, int]] = collections.Counter()
        self.begun: dict[str, float] = {}
        self.slowness = 1.0

    @property
    def sequences(self) -> tuple[str, ...]:
        """Names of the sequences held."""
        return tuple(self._sequences)

    async def describe(self) -> pipeline.Offer:
        """Return what the engine serves."""
        return self._offer

    async def step(
        self, steps: tuple[upstream.EngineStep, ...]
    ) -> tuple[upstream.EngineOutput, ...]:
        """Run one batch."""
        self._raise_failure()
        queued = [_QueuedStep(step) for step in steps]
        self._queue.extend(queued)
        if not self._is_busy:
            # The first caller runs batches for all that arrive meanwhile, as
            # continuous batching does. Its cancellation must not stop the
            # others' batches.
            with anyio.CancelScope(shield=True):
                await self._run_batches()
        for queued_step in queued:
            await queued_step.done.wait()
        self._raise_failure()
        return tuple(
            queued_step.output
            or upstream.EngineOutput(queued_step.step.sequence)
            for queued_step in queued
        )

    async def _run_batches(self) -> None:
        self._is_busy = True
        while self._queue:
            limit = self._speed.batch_limit
            batch = [
                self._queue.popleft()
                for _ in range(min(limit, len(self._queue)))
            ]
            seconds = self._batch_seconds(
                tuple(queued_step.step for queued_step in batch)
            )
            await anyio.sleep(seconds * self.slowness)
            for queued_step in batch:
                queued_step.output = self._run(queued_step.step)
                queued_step.done.set()
        self._is_busy = False

    async def cancel(self, sequence: str) -> None:
        """Forget a sequence."""
        self._sequences.pop(sequence, None)

    async def export_kv(self, sequence: str) -> bytes:
        """Return a sequence's KV cache."""
        self._raise_failure()
        held = self._sequences.get(sequence)
        if held is None:
            raise _engine_error(f"no KV cache for sequence {sequence!r}")
        return typing.cast(bytes, msgpack.packb(held.states))

    async def import_kv(self, sequence: str, kv: bytes) -> None:
        """Store a sequence's KV cache."""
        self._raise_failure()
        try:
            states = [tuple(state) for state in msgpack.unpackb(kv)]
        except (ValueError, TypeError) as error:
            raise _engine_error("the KV cache could not be decoded") from error
        self._store_sequence(sequence, Sequence(states))

    def _raise_failure(self) -> None:
        if self.failure is not None:
            raise self.failure

    def _batch_seconds(self, steps: tuple[upstream.EngineStep, ...]) -> float:
        counts = [self._token_count(step) for step in steps]
        prefill_tokens = sum(count for count in counts if count > 1)
        return (
            self._speed.batch_seconds
            + len(steps) * self._speed.token_seconds
            + prefill_tokens * self._speed.prefill_token_seconds
        )

    def _token_count(self, step: upstream.EngineStep) -> int:
        # Steps of a head have a prompt or tokens; steps of later stages have
        # the number of tokens that their hidden states cover.
        words = len(step.prompt.split())
        return words + len(step.tokens) + step.count

    def _run(self, step: upstream.EngineStep) -> upstream.EngineOutput:
        sequence = self._sequences.get(step.sequence) or Sequence([])
        if sequence.context < step.context:
            return upstream.EngineOutput(
                sequence=step.sequence,
                error=(
                    f"expected at least {step.context} tokens in the KV "
                    f"cache, found {sequence.context}"
                ),
            )
        self.begun.setdefault(step.sequence, time.monotonic())
        del sequence.states[step.context :]
        self._store_sequence(step.sequence, sequence)
        outputs = [
            self._run_token(step.sequence, sequence, hidden)
            for hidden in self._inputs(step)
        ]
        if not outputs:
            return upstream.EngineOutput(
                sequence=step.sequence, error="the step has no input"
            )
        return self._output(step, outputs)

    def _inputs(self, step: upstream.EngineStep) -> list[int]:
        if self._offer.is_head:
            tokens = self._model.tokenize(step.prompt) + step.tokens
            return [self._model.embed(token) for token in tokens]
        size = models.HIDDEN_BYTES
        return [
            int.from_bytes(step.hidden[offset : offset + size], "little")
            for offset in range(0, len(step.hidden), size)
        ]

    def _run_token(self, name: str, sequence: Sequence, hidden: int) -> int:
        layers = self._offer.layers
        if sequence.states:
            previous = sequence.states[-1]
        else:
            previous = (0,) * (layers.end - layers.first)
        states, output = self._model.run_layers(
            layers.first, layers.end, previous, hidden
        )
        self.runs[name, sequence.context] += 1
        sequence.states.append(states)
        return output

    def _output(
        self, step: upstream.EngineStep, outputs: list[int]
    ) -> upstream.EngineOutput:
        if self._offer.is_tail:
            choice = self._model.choose(outputs[-1])
            return upstream.EngineOutput(
                sequence=step.sequence,
                count=len(outputs),
                token=choice.token,
                text=choice.text,
                finish=choice.finish,
            )
        hidden = b"".join(
            output.to_bytes(models.HIDDEN_BYTES, "little")
            for output in outputs
        )
        return upstream.EngineOutput(
            sequence=step.sequence, hidden=hidden, count=len(outputs)
        )

    def _store_sequence(self, name: str, sequence: Sequence) -> None:
        self._sequences[name] = sequence
        self._sequences.move_to_end(name)
        while len(self._sequences) > self._sequence_limit:
            self._sequences.popitem(last=False)


def _engine_error(message: str) -> errors.CrowdeckError:
    return errors.CrowdeckError(
        errors.Code.UPSTREAM_FAILED,
        message,
        verdict=verdicts.Verdict.MAY_HAVE_RUN,
    )
