# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""The state of an attempt at one stage."""

import attrs

from crowdeck import errors
from crowdeck.observe import traces
from crowdeck import verdict as verdicts
from crowdeck.wire import link
from crowdeck.wire import messages


@attrs.define(eq=False)
class Attempt:
    """One attempt of a request, as one stage keeps it.

    :ivar index: number of the stage in the path, from 0.
    :ivar sequence: id of its sequence, and so of its KV cache, on the engine.
    :ivar source: link on which it arrived: the entry's for the head, the
        previous stage's for the others; ``None`` once that link is gone.
    :ivar deadline: monotonic seconds.
    :ivar touched_at: monotonic seconds at which the attempt last changed.
    :ivar forward: link to the next stage, or from the tail to the head.
    :ivar next_position: the next position that this stage runs.
    :ivar context: number of tokens of context that the engine holds for it,
        including the one of a queued decode step.
    :ivar pieces: the answer so far; kept up to date at the head and the tail
        only.
    :ivar credit_limit: positions below this one may be generated.
    :ivar is_waiting_for_credit: whether the next step waits for the caller's
        credit.
    :ivar is_moved: whether its KV cache was or is being sent to another
        sidecar.
    :ivar is_in_engine: whether a step of it is queued or runs.
    :ivar finish: the finish reason, empty while the answer runs.
    """

    opening: messages.Opening
    index: int
    sequence: str
    source: link.Peer | None
    deadline: float
    span: traces.OpenSpan
    touched_at: float
    forward: link.Peer | None = None
    next_position: int = 0
    context: int = 0
    pieces: list[messages.Piece] = attrs.field(factory=list)
    credit_limit: int = 0
    is_waiting_for_credit: bool = False
    is_moved: bool = False
    is_failed: bool = False
    is_in_engine: bool = False
    finish: str = ""

    @property
    def request(self) -> str:
        """Id of the request."""
        return self.opening.request

    @property
    def epoch(self) -> int:
        """Number of the attempt."""
        return self.opening.epoch

    @property
    def is_head(self) -> bool:
        """Whether this is the first stage of the path."""
        return self.index == 0

    @property
    def is_tail(self) -> bool:
        """Whether this is the last stage of the path."""
        return self.index == len(self.opening.path.stages) - 1

    @property
    def is_running(self) -> bool:
        """Whether the attempt has neither finished nor failed."""
        return not self.finish and not self.is_failed

    @property
    def first_layer(self) -> int:
        """The first layer this stage runs."""
        return self.opening.path.stages[self.index].first_layer

    @property
    def end_layer(self) -> int:
        """The layer after the last one that this stage runs."""
        return self.opening.path.stages[self.index].end_layer

    def check_layer(self, next_layer: int) -> None:
        """Check that a record continues at this stage's first layer.

        :raises CrowdeckError: ``WRONG_LAYER`` if it does not.
        """
        if next_layer != self.first_layer:
            raise errors.CrowdeckError(
                errors.Code.WRONG_LAYER,
                f"the record continues at layer {next_layer}, this stage "
                f"begins at layer {self.first_layer}",
                verdict=verdicts.Verdict.MAY_HAVE_RUN,
            )

    def check_position(self, position: int, context: int) -> bool:
        """Return whether a record is the next one; false for a repeat.

        :raises CrowdeckError: ``WRONG_POSITION`` if an earlier record is
            missing or the context differs.
        """
        if position < self.next_position:
            return False
        if position > self.next_position or context != self.context:
            raise errors.CrowdeckError(
                errors.Code.WRONG_POSITION,
                f"received position {position} after {context} tokens, "
                f"expected {self.next_position} after {self.context}",
                verdict=verdicts.Verdict.MAY_HAVE_RUN,
            )
        return True


@attrs.frozen
class PendingImport:
    """An imported KV cache that waits for its warm opening.

    :ivar imported_at: monotonic seconds.
    """

    sequence: str
    team: str
    context: int
    imported_at: float
