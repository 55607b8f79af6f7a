# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""The attempts at a sidecar, both running and ended.

An answer is kept for a while after its attempt, for a caller whose entry has
stopped, and so is a KV cache that the next attempt may continue with.
"""

import anyio
import anyio.abc

from crowdeck import errors
from crowdeck.observe import counters
from crowdeck.sidecar import attempt as attempts
from crowdeck.sidecar import gate as gates
from crowdeck import timers
from crowdeck import upstream
from crowdeck import verdict as verdicts
from crowdeck.wire import link
from crowdeck.wire import messages
from crowdeck.wire import questions

# How long an unused KV cache, imported or at a later stage, is kept for the
# next attempt. Must exceed the time in which a failure is detected. That is
# about 1.5 s.
UNUSED_KV_TTL_SECONDS = 5.0
# How long an answer is kept for a caller whose entry has stopped.
ANSWER_TTL_SECONDS = 60.0
# Above this number, ended attempts are dropped; running ones are not.
MAX_KEPT_ATTEMPTS = 10_000

_MAY_HAVE_RUN = verdicts.Verdict.MAY_HAVE_RUN


class AttemptRegistry:
    """The attempts of one sidecar, by request."""

    def __init__(
        self,
        instance: str,
        gate: gates.Gate,
        engine: upstream.Engine,
        clock: timers.Clock,
        tasks: anyio.abc.TaskGroup,
    ) -> None:
        self._instance = instance
        self._gate = gate
        self._engine = engine
        self._clock = clock
        self._tasks = tasks
        self._attempts: dict[str, attempts.Attempt] = {}
        self._imports: dict[str, attempts.PendingImport] = {}

    @property
    def running(self) -> int:
        """Number of attempts in progress."""
        return sum(attempt.is_running for attempt in self._attempts.values())

    @property
    def all_attempts(self) -> tuple[attempts.Attempt, ...]:
        """All attempts, including ended ones."""
        return tuple(self._attempts.values())

    def find(self, request: str) -> attempts.Attempt | None:
        """Return the latest attempt of a request, or ``None``."""
        return self._attempts.get(request)

    def forget(self, attempt: attempts.Attempt) -> None:
        """Drop an attempt that is no longer needed, and its KV cache."""
        self.drop(attempt, "forgotten")

    def put(self, attempt: attempts.Attempt) -> None:
        """Keep an attempt as the latest of its request."""
        self._imports.pop(attempt.request, None)
        self._attempts[attempt.request] = attempt

    def find_import(self, request: str) -> attempts.PendingImport | None:
        """Return the imported KV cache that waits for a request."""
        return self._imports.get(request)

    def add_import(self, question: questions.ImportKv, sequence: str) -> None:
        """Keep an imported KV cache for the warm opening that follows."""
        self._imports[question.request] = attempts.PendingImport(
            sequence=sequence,
            team=question.team,
            context=question.context,
            imported_at=self._clock.now(),
        )

    def find_current(
        self, request: str, epoch: int
    ) -> attempts.Attempt | None:
        """Return a request's latest attempt if it has this epoch."""
        attempt = self._attempts.get(request)
        if attempt is None or attempt.epoch != epoch:
            return None
        return attempt

    def fail(
        self, attempt: attempts.Attempt, error: errors.CrowdeckError
    ) -> None:
        """Mark an attempt as failed, and report that towards the entry."""
        if not attempt.is_running:
            return
        if self._attempts.get(attempt.request) is not attempt:
            return
        attempt.is_failed = True
        attempt.touched_at = self._clock.now()
        attempt.span.end(error.code)
        counters.COUNTERS.add(f"stage.failed.{error.code.lower()}")
        self.send_to_source(
            attempt, self.make_failure(attempt.request, attempt.epoch, error)
        )

    def make_failure(
        self, request: str, epoch: int, error: errors.CrowdeckError
    ) -> messages.Failure:
        """Return the record that reports an error."""
        return messages.Failure(
            request=request,
            epoch=epoch,
            verdict=error.verdict,
            code=error.code,
            message=error.message,
            culprit=error.culprit or self._instance,
        )

    def send_to_source(
        self, attempt: attempts.Attempt, record: messages.Record
    ) -> None:
        """Send a record towards the entry, if its link is open."""
        if attempt.source is not None:
            attempt.source.send(record)

    def send_to_next(
        self, attempt: attempts.Attempt, record: messages.Record
    ) -> None:
        """Send a record to the next stage, if there is one."""
        # A tail's forward link leads back to the head, not to a stage.
        if attempt.forward is not None and not attempt.is_tail:
            attempt.forward.send(record)

    def drop(self, attempt: attempts.Attempt, outcome: str) -> None:
        """Drop an attempt and its KV cache."""
        if self._attempts.get(attempt.request) is attempt:
            del self._attempts[attempt.request]
        attempt.span.end(outcome)
        self._gate.finish(attempt.request)
        self._tasks.start_soon(self.cancel_sequence, attempt.sequence)

    async def cancel_sequence(self, sequence: str) -> None:
        """Have the engine drop a KV cache."""
        try:
            await self._engine.cancel(sequence)
        except errors.CrowdeckError:
            # The engine itself drops a KV cache that is unused for some time.
            counters.COUNTERS.add("engine.cancel_failed")

    def on_closed(self, peer: link.Peer) -> None:
        """Fail attempts whose next stage was on a lost link.

        Attempts whose source was on it are kept for a resumption.
        """
        for attempt in tuple(self._attempts.values()):
            if attempt.forward is peer:
                attempt.forward = None
                if attempt.is_running:
                    lost = peer.greeting.instance
                    self.fail(
                        attempt,
                        errors.LinkLost(
                            f"the link to {lost} was lost",
                            was_sent=True,
                            culprit=lost,
                        ),
                    )
            if attempt.source is peer:
                attempt.source = None
                attempt.touched_at = self._clock.now()

    async def sweep(self) -> None:
        """Fail attempts past their deadline, and drop expired ones."""
        now = self._clock.now()
        for attempt in tuple(self._attempts.values()):
            if attempt.is_head:
                self._sweep_head(attempt, now)
            else:
                self._sweep_later_stage(attempt, now)
        self._drop_imports(now)
        self._drop_surplus()

    def _drop_imports(self, now: float) -> None:
        for request, pending_import in tuple(self._imports.items()):
            if now - pending_import.imported_at > UNUSED_KV_TTL_SECONDS:
                del self._imports[request]
                self._tasks.start_soon(
                    self.cancel_sequence, pending_import.sequence
                )

    def _sweep_head(self, attempt: attempts.Attempt, now: float) -> None:
        if attempt.is_running and now > attempt.deadline:
            self.send_to_next(
                attempt, messages.Cancel(attempt.request, attempt.epoch)
            )
            self.fail(
                attempt,
                errors.CrowdeckError(
                    errors.Code.DEADLINE,
                    "the answer was not complete by its deadline",
                    verdict=_MAY_HAVE_RUN,
                ),
            )
        is_old = now - attempt.touched_at > ANSWER_TTL_SECONDS
        if is_old and (attempt.source is None or not attempt.is_running):
            self.send_to_next(
                attempt, messages.Cancel(attempt.request, attempt.epoch)
            )
            self.drop(attempt, "expired")

    def _sweep_later_stage(
        self, attempt: attempts.Attempt, now: float
    ) -> None:
        is_unused = (
            attempt.source is None or attempt.is_failed or attempt.is_moved
        )
        is_old = now - attempt.touched_at > UNUSED_KV_TTL_SECONDS
        is_late = now > attempt.deadline + UNUSED_KV_TTL_SECONDS
        if (is_unused and is_old) or is_late:
            self.drop(attempt, "expired")

    def _drop_surplus(self) -> None:
        surplus = len(self._attempts) - MAX_KEPT_ATTEMPTS
        if surplus <= 0:
            return
        ended = [
            kept for kept in self._attempts.values() if not kept.is_running
        ]
        for attempt in ended[:surplus]:
            self.drop(attempt, "surplus")
