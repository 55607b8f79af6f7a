# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Feeds an engine: decode steps in shared batches, prefills beside them.

Decode steps that arrive while a batch runs form the next one, so the
batch grows with the load and never waits for company. A prefill goes in
a call of its own: engines batch continuously, and a long prompt must not
hold up everyone else's next token.
"""

import collections
from collections import abc

import anyio
import anyio.abc

from crowdeck import errors
from crowdeck.observe import counters
from crowdeck import timers
from crowdeck import upstream
from crowdeck import verdict as verdicts

# More prefills at once would only take turns inside the engine while
# their KV caches crowd out running sequences.
PREFILL_LIMIT = 8
# One batch at the engine and one on its way there: with a single one the
# device idles for the round trip between two batches.
DECODE_CALLS = 2

Result = upstream.EngineOutput | errors.CrowdeckError
Callback = abc.Callable[[Result], None]


class StepTimes:
    """Learns how a batch's time depends on its size.

    A line through recent batches by least squares, older ones fading; a
    plain average would read a loaded engine as a slow one, and the same
    engine when idle as fast.
    """

    # A batch counts half after about 70 more, some seconds under load:
    # soon enough to see a device slow down, late enough to be steady.
    FADE = 0.99

    def __init__(self) -> None:
        self._count = 0.0
        self._sizes = 0.0
        self._squares = 0.0
        self._seconds = 0.0
        self._products = 0.0

    def learn(self, size: int, seconds: float) -> None:
        """Take note of one batch."""
        fade = self.FADE
        self._count = self._count * fade + 1.0
        self._sizes = self._sizes * fade + size
        self._squares = self._squares * fade + size * size
        self._seconds = self._seconds * fade + seconds
        self._products = self._products * fade + size * seconds

    @property
    def token_seconds(self) -> float:
        """What each further sequence adds to a batch, in seconds."""
        spread = self._count * self._squares - self._sizes**2
        # Batches of nearly one size say nothing about the slope.
        if spread <= 0.05 * self._count**2:
            return 0.0
        slope = self._count * self._products - self._sizes * self._seconds
        return max(0.0, slope / spread)

    @property
    def batch_seconds(self) -> float:
        """Time of a batch, whatever is in it, in seconds; 0 unknown."""
        if not self._count:
            return 0.0
        mean = self._seconds / self._count
        size = self._sizes / self._count
        return max(0.0, mean - self.token_seconds * size)


class Batcher:
    """Runs steps on one engine and hands each its result."""

    def __init__(
        self,
        engine: upstream.Engine,
        clock: timers.Clock,
        batch_limit: int,
    ) -> None:
        # A call larger than the engine's batch would be split there, and
        # its first part would wait for its last before it is answered.
        self._batch_limit = max(1, batch_limit)
        self._engine = engine
        self._clock = clock
        self._decodes: collections.deque[
            tuple[upstream.EngineStep, Callback]
        ] = collections.deque()
        self._prefills: collections.deque[
            tuple[upstream.EngineStep, Callback]
        ] = collections.deque()
        self._has_decode = anyio.Event()
        self._has_prefill = anyio.Event()
        self._times = StepTimes()
        self._ended_at = 0.0

    @property
    def queued(self) -> int:
        """Steps waiting for the engine."""
        return len(self._decodes) + len(self._prefills)

    @property
    def times(self) -> "StepTimes":
        """What was learned of the engine's decode batches."""
        return self._times

    def decode(self, step: upstream.EngineStep, callback: Callback) -> None:
        """Queue a decode step."""
        self._decodes.append((step, callback))
        self._has_decode.set()

    def prefill(self, step: upstream.EngineStep, callback: Callback) -> None:
        """Queue a prefill."""
        self._prefills.append((step, callback))
        self._has_prefill.set()

    async def run(self) -> None:
        """Serve both queues until cancelled."""
        async with anyio.create_task_group() as tasks:
            for _ in range(DECODE_CALLS):
                tasks.start_soon(self._run_decodes)
            for _ in range(PREFILL_LIMIT):
                tasks.start_soon(self._run_prefills)

    async def _run_decodes(self) -> None:
        while True:
            while not self._decodes:
                if self._has_decode.is_set():
                    self._has_decode = anyio.Event()
                await self._has_decode.wait()
            size = min(len(self._decodes), self._batch_limit)
            batch = [self._decodes.popleft() for _ in range(size)]
            started = self._clock.now()
            await self._run_batch(batch)
            # The engine began it when it had ended the batch before.
            now = self._clock.now()
            elapsed = now - max(started, self._ended_at)
            self._ended_at = now
            self._times.learn(len(batch), elapsed)
            counters.COUNTERS.time("engine.step", elapsed)

    async def _run_prefills(self) -> None:
        while True:
            while not self._prefills:
                if self._has_prefill.is_set():
                    self._has_prefill = anyio.Event()
                await self._has_prefill.wait()
            await self._run_batch([self._prefills.popleft()])

    async def _run_batch(
        self, batch: list[tuple[upstream.EngineStep, Callback]]
    ) -> None:
        steps = tuple(step for step, _ in batch)
        results: abc.Sequence[Result]
        try:
            results = await self._engine.step(steps)
            if len(results) != len(steps):
                raise _wrong_count(len(steps), len(results))
        except errors.CrowdeckError as error:
            counters.COUNTERS.add("engine.batch_failed")
            results = [error] * len(steps)
        for (step, callback), result in zip(batch, results, strict=True):
            callback(_checked(step, result))


def _wrong_count(asked: int, got: int) -> errors.CrowdeckError:
    return errors.CrowdeckError(
        errors.Code.UPSTREAM_FAILED,
        f"the engine gave {got} outputs for {asked} steps",
        verdict=verdicts.Verdict.MAY_HAVE_RUN,
    )


def _checked(step: upstream.EngineStep, result: Result) -> Result:
    """Turn an output for another sequence, or an error in it, to an error."""
    if isinstance(result, errors.CrowdeckError):
        return result
    if result.sequence != step.sequence:
        return errors.CrowdeckError(
            errors.Code.UPSTREAM_FAILED,
            "the engine answered for another sequence",
            verdict=verdicts.Verdict.MAY_HAVE_RUN,
        )
    if result.error:
        return errors.CrowdeckError(
            errors.Code.UPSTREAM_FAILED,
            f"the engine failed this sequence: {result.error}",
            verdict=verdicts.Verdict.MAY_HAVE_RUN,
        )
    return result
