# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Questions that crowdeck processes ask each other, and their replies.

Each class corresponds to the struct of the same name in ``crowdeck.capnp``.
Times are durations in seconds, never wall-clock times, as the clocks of peers
differ.
"""

import attrs

from crowdeck import errors
from crowdeck import header as http_header
from crowdeck import pipeline
from crowdeck import verdict as verdicts
from crowdeck.wire import messages


@attrs.frozen
class Open:
    """Asks a head to begin an attempt.

    The reply is ``Done`` or ``Refused``.
    """

    opening: messages.Opening


@attrs.frozen
class Seal:
    """Asks to prevent an attempt from running, unless it has run already.

    The reply is ``Sealed``.
    """

    request: str
    epoch: int
    incarnation: int


@attrs.frozen
class Attach:
    """Asks for an answer from ``position`` on.

    The reply is ``Attached``.

    :ivar window: how many tokens the head may be ahead of the caller.
    """

    request: str
    team: str
    position: int
    window: int


@attrs.frozen
class Call:
    """Asks for one call of a plain service.

    The reply is ``Called`` or ``Refused``.
    """

    request: str
    epoch: int
    incarnation: int
    team: str
    service: str
    method: str
    path: str
    headers: tuple[http_header.Header, ...]
    body: bytes
    seconds_left: float
    traceparent: str
    has_companions: bool = False


@attrs.frozen
class Collect:
    """Asks for the stored reply to an earlier ``Call``."""

    request: str
    team: str


@attrs.frozen
class TakeTurn:
    """Asks the sidecar that grants the session's turns for the next one.

    That sidecar is the session's home. The reply is sent once the turn is
    granted.

    :ivar sequence: number that the caller gave the turn, or -1.
    :ivar is_holding: whether an earlier home has already granted the turn.
    :ivar is_moved: whether the session may recently have had another home,
        which granted a turn that this home does not know yet.
    :ivar seconds_left: time that the sender will wait.
    """

    session: str
    request: str
    sequence: int
    is_holding: bool
    is_moved: bool
    seconds_left: float


@attrs.frozen
class EndTurn:
    """Releases a turn."""

    session: str
    request: str


@attrs.frozen
class Heartbeat:
    """Asks whether the peer is alive; the reply is ``Load``."""

    seconds_left: float


@attrs.frozen
class Drain:
    """Asks for a graceful shutdown within ``limit`` seconds."""

    limit: float


@attrs.frozen
class MoveOut:
    """Asks a stage to transfer the KV cache of a request to ``target``.

    The reply is ``MovedOut``.
    """

    request: str
    epoch: int
    target: pipeline.StageRef


@attrs.frozen
class ImportKv:
    """Transfers a KV cache of ``context`` tokens."""

    request: str
    team: str
    context: int
    kv: bytes


@attrs.frozen
class ReadStatus:
    """Asks for the status of the process; the reply is ``Status``."""

    detail: str


@attrs.frozen
class ReadSpans:
    """Asks for the buffered spans of a trace; the reply is ``Spans``."""

    trace: str


Question = (
    Open
    | Seal
    | Attach
    | Call
    | Collect
    | TakeTurn
    | EndTurn
    | Heartbeat
    | Drain
    | MoveOut
    | ImportKv
    | ReadStatus
    | ReadSpans
)


@attrs.frozen
class Done:
    """The receiver did what the question asks for."""

    detail: str = ""


@attrs.frozen
class Refused:
    """The receiver did not do what the question asks for.

    :ivar retry_after: time in seconds, -1 if unknown.
    """

    code: errors.Code
    verdict: verdicts.Verdict
    message: str
    retry_after: float
    culprit: str

    @classmethod
    def of(cls, error: errors.CrowdeckError) -> "Refused":
        """Return the message for an error."""
        retry_after = error.retry_after
        return cls(
            code=error.code,
            verdict=error.verdict,
            message=error.message,
            retry_after=-1.0 if retry_after is None else retry_after,
            culprit=error.culprit,
        )

    def as_error(self) -> errors.CrowdeckError:
        """Return the error that the message describes."""
        return errors.CrowdeckError(
            self.code,
            self.message,
            verdict=self.verdict,
            retry_after=None if self.retry_after < 0 else self.retry_after,
            culprit=self.culprit,
        )


@attrs.frozen
class Sealed:
    """The outcome of an attempt that was sealed."""

    outcome: verdicts.Verdict


@attrs.frozen
class Attached:
    """The stored part of an answer; the rest follows as records."""

    epoch: int
    pieces: tuple[messages.Piece, ...]
    is_running: bool
    finish: str


@attrs.frozen
class Companion:
    """A document that accompanies the answer of a service."""

    path: str
    content_type: str
    body: bytes


@attrs.frozen
class Called:
    """The answer of a plain service."""

    status: int
    headers: tuple[http_header.Header, ...]
    body: bytes
    companions: tuple[Companion, ...] = ()


@attrs.frozen
class MovedOut:
    """A KV cache was transferred, valid up to these counts."""

    position: int
    context: int


@attrs.frozen
class Status:
    """The status of a process, as JSON text."""

    text: str


@attrs.frozen
class Spans:
    """Buffered spans, each as JSON text."""

    spans: tuple[str, ...]


Reply = (
    Done
    | Refused
    | Sealed
    | Attached
    | Called
    | messages.Load
    | MovedOut
    | Status
    | Spans
)
