# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""What crowdeck's own processes ask one another, and what they reply.

Each class stands for the struct of the same name in ``crowdeck.capnp``.
Times are relative seconds, never wall-clock times: peers' clocks differ.
"""

import attrs

from crowdeck import errors
from crowdeck import header as http_header
from crowdeck import pipeline
from crowdeck import verdict as verdicts
from crowdeck.wire import messages


@attrs.frozen
class Open:
    """Asks a head to begin an attempt; ``Done`` or ``Refused``."""

    opening: messages.Opening


@attrs.frozen
class Seal:
    """Asks that an attempt which has not run never will; ``Sealed``."""

    request: str
    epoch: int
    incarnation: int


@attrs.frozen
class Attach:
    """Asks for an answer from ``position`` on; ``Attached``."""

    request: str
    team: str
    position: int
    window: int


@attrs.frozen
class Call:
    """Asks for one call of a plain service; ``Called`` or ``Refused``."""

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
    """Asks for the kept reply of an earlier ``Call``."""

    request: str
    team: str


@attrs.frozen
class TakeTurn:
    """Asks the session's home for the next turn; replies when granted.

    :ivar sequence: the caller's own number of the turn, or -1.
    :ivar is_holding: whether an earlier home had granted it already.
    :ivar is_moved: whether the session may have had another home of
        late, whose holder has yet to come forward.
    :ivar seconds_left: how long the asker will wait.
    """

    session: str
    request: str
    sequence: int
    is_holding: bool
    is_moved: bool
    seconds_left: float


@attrs.frozen
class EndTurn:
    """Gives a turn back."""

    session: str
    request: str


@attrs.frozen
class Heartbeat:
    """Asks whether the peer lives; ``Load``."""

    seconds_left: float


@attrs.frozen
class Drain:
    """Asks for a planned stop within ``limit`` seconds."""

    limit: float


@attrs.frozen
class MoveOut:
    """Asks a stage to hand its KV cache of a request to ``target``."""

    request: str
    epoch: int
    target: pipeline.StageRef


@attrs.frozen
class ImportKv:
    """Hands over a KV cache that covers ``context`` tokens."""

    request: str
    team: str
    context: int
    kv: bytes


@attrs.frozen
class ReadStatus:
    """Asks for the process's status, as JSON text."""

    detail: str


@attrs.frozen
class ReadSpans:
    """Asks for the kept spans of one trace, as JSON texts."""

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
    """The question was carried out."""

    detail: str = ""


@attrs.frozen
class Refused:
    """The question was not carried out; ``retry_after`` -1 for unknown."""

    code: errors.Code
    verdict: verdicts.Verdict
    message: str
    retry_after: float
    culprit: str

    @classmethod
    def of(cls, error: errors.CrowdeckError) -> "Refused":
        """Put an error into words that cross a link."""
        retry_after = error.retry_after
        return cls(
            code=error.code,
            verdict=error.verdict,
            message=error.message,
            retry_after=-1.0 if retry_after is None else retry_after,
            culprit=error.culprit,
        )

    def as_error(self) -> errors.CrowdeckError:
        """Return the error that these words describe."""
        return errors.CrowdeckError(
            self.code,
            self.message,
            verdict=self.verdict,
            retry_after=None if self.retry_after < 0 else self.retry_after,
            culprit=self.culprit,
        )


@attrs.frozen
class Sealed:
    """What a gate knows of an attempt after sealing it."""

    outcome: verdicts.Verdict


@attrs.frozen
class Attached:
    """The kept part of an answer; the rest follows as records."""

    epoch: int
    pieces: tuple[messages.Piece, ...]
    is_running: bool
    finish: str


@attrs.frozen
class Companion:
    """A document that comes with a service's answer."""

    path: str
    content_type: str
    body: bytes


@attrs.frozen
class Called:
    """A plain service's answer."""

    status: int
    headers: tuple[http_header.Header, ...]
    body: bytes
    companions: tuple[Companion, ...] = ()


@attrs.frozen
class MovedOut:
    """A KV cache was handed over, valid up to these counts."""

    position: int
    context: int


@attrs.frozen
class Status:
    """A process's status, as JSON text."""

    text: str


@attrs.frozen
class Spans:
    """Kept spans, each as JSON text."""

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
