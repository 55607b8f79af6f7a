# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Batches an engine's decode steps, and runs prefills concurrently.

Decode steps that arrive while a batch runs form the next one, so batches
grow with the load and never wait to fill up. Each prefill is a call of its
own, so that a long prompt does not delay the next tokens of other requests.
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

# Maximum number of prefills that run at the same time. More would only take
# turns in the engine, while their KV caches leave less memory to running
# sequences.
CONCURRENT_PREFILLS = 8
# Concurrent decode batches: the next one is sent while one runs, so that the
# device does not idle for a round trip between two batches.
CONCURRENT_DECODES = 2

Result = upstream.EngineOutput | errors.CrowdeckError
Callback = abc.Callable[[Result], None]


class StepTimes:
    """Estimates how a batch's duration depends on its size.

    Fits a line to the batches by least squares, with weights that decay. A
    plain average would make a loaded engine look slow.
    """

    # Factor on the weight of all earlier batches at each new one. A batch
    # counts half after about 70 others, some seconds under load: soon enough
    # to notice a device that slows down, and late enough for steady estimates.
    DECAY_PER_BATCH = 0.99

    def __init__(self) -> None:
        # Weighted sums over all batches.
        self._count = 0.0
        self._sizes = 0.0
        self._squared_sizes = 0.0
        self._seconds = 0.0
        self._size_seconds = 0.0

    def add_batch(self, size: int, seconds: float) -> None:
        """Add one batch to the estimate."""
        decay = self.DECAY_PER_BATCH
        self._count = self._count * decay + 1.0
        self._sizes = self._sizes * decay + size
        self._squared_sizes = self._squared_sizes * decay + size * size
        self._seconds = self._seconds * decay + seconds
        self._size_seconds = self._size_seconds * decay + size * seconds

    @property
    def token_seconds(self) -> float:
        """Seconds that each further sequence adds to a batch."""
        spread = self._count * self._squared_sizes - self._sizes**2
        # The variance of the batch sizes is spread / count**2. A small one
        # does not determine the slope.
        if spread <= 0.05 * self._count**2:
            return 0.0
        slope = self._count * self._size_seconds - self._sizes * self._seconds
        return max(0.0, slope / spread)

    @property
    def batch_seconds(self) -> float:
        """Fixed part of a batch's duration in seconds, 0 if unknown."""
        if not self._count:
            return 0.0
        mean = self._seconds / self._count
        size = self._sizes / self._count
        return max(0.0, mean - self.token_seconds * size)


class Batcher:
    """Runs steps on one engine and passes the results to callbacks."""

    def __init__(
        self,
        engine: upstream.Engine,
        clock: timers.Clock,
        batch_limit: int,
    ) -> None:
        # The engine would split a larger call, and answer its first part
        # only once the last one has run.
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
        """The estimated durations of the engine's decode batches."""
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
            for _ in range(CONCURRENT_DECODES):
                tasks.start_soon(self._run_decodes)
            for _ in range(CONCURRENT_PREFILLS):
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
            # The engine began this batch once the previous one had ended.
            now = self._clock.now()
            elapsed = now - max(started, self._ended_at)
            self._ended_at = now
            self._times.add_batch(len(batch), elapsed)
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
                raise _wrong_count_error(len(steps), len(results))
        except errors.CrowdeckError as error:
            counters.COUNTERS.add("engine.batch_failed")
            results = [error] * len(steps)
        for (step, callback), result in zip(batch, results, strict=True):
            callback(_check_result(step, result))


def _wrong_count_error(asked: int, got: int) -> errors.CrowdeckError:
    return errors.CrowdeckError(
        errors.Code.UPSTREAM_FAILED,
        f"the engine returned {got} outputs for {asked} steps",
        verdict=verdicts.Verdict.MAY_HAVE_RUN,
    )


def _check_result(step: upstream.EngineStep, result: Result) -> Result:
    """Return a result, or an error if it failed or has another sequence."""
    if isinstance(result, errors.CrowdeckError):
        return result
    if result.sequence != step.sequence:
        return errors.CrowdeckError(
            errors.Code.UPSTREAM_FAILED,
            f"expected a result for sequence {step.sequence}, the engine "
            "returned one for another sequence",
            verdict=verdicts.Verdict.MAY_HAVE_RUN,
        )
    if result.error:
        return errors.CrowdeckError(
            errors.Code.UPSTREAM_FAILED,
            f"the engine failed this sequence: {result.error}",
            verdict=verdicts.Verdict.MAY_HAVE_RUN,
        )
    return result
