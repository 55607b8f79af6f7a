# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Records that crowdeck processes send to each other.

Each class corresponds to the struct of the same name in ``crowdeck.capnp``.
Records are one-way and batched per link; ``crowdeck.wire.questions`` has the
questions and replies. Times are durations in seconds, never wall-clock
times, as the clocks of peers differ.
"""

import attrs

from crowdeck import errors
from crowdeck import pipeline
from crowdeck import verdict as verdicts


@attrs.frozen
class Piece:
    """One generated token and its text."""

    token: int
    text: str


@attrs.frozen
class Opening:
    """Parameters of one attempt, for all of its stages.

    :ivar request: unique id of the caller's request.
    :ivar epoch: number of the attempt; each stage continues only the
        highest one that it has seen.
    :ivar delivered: tokens of earlier attempts; they are replayed as input
        and not generated again.
    :ivar seconds_left: time until the caller's deadline.
    :ivar window: how many tokens the head may be ahead of the caller.
    :ivar warm_position: position up to which the stages still have the
        request's KV cache, or -1 if there is none.
    :ivar warm_context: tokens of context at ``warm_position``.
    """

    request: str
    epoch: int
    team: str
    session: str
    path: pipeline.Path
    prompt: str
    delivered: tuple[Piece, ...]
    max_tokens: int
    seconds_left: float
    priority: int
    traceparent: str
    window: int
    warm_position: int = -1
    warm_context: int = 0


@attrs.frozen
class Prefill:
    """The first record of an attempt, passed from stage to stage.

    :ivar next_layer: the layer to run next.
    :ivar context: tokens of context before this record.
    :ivar count: tokens in this record.
    :ivar hidden: the previous layer's output, opaque to crowdeck.
    """

    opening: Opening
    next_layer: int
    context: int
    count: int
    hidden: bytes


@attrs.frozen
class Step:
    """A decode step for one position, passed from stage to stage."""

    request: str
    epoch: int
    position: int
    next_layer: int
    context: int
    hidden: bytes


@attrs.frozen
class Token:
    """A token, from the last stage to the head.

    :ivar next_layer: must be the layer count of the model, else the token
        is refused.
    :ivar context: tokens of context, including this one.
    :ivar finish: why the model stopped, empty if it has not.
    """

    request: str
    epoch: int
    position: int
    next_layer: int
    context: int
    token: int
    text: str
    finish: str


@attrs.frozen
class Answer:
    """A token, from the head to the entry.

    :ivar finish: why the answer ends with this token, empty if it does not.
        It keeps the entry from resuming a complete answer if the head fails
        before ``AnswerEnd``.
    """

    request: str
    epoch: int
    position: int
    token: int
    text: str
    finish: str


@attrs.frozen
class AnswerEnd:
    """The end of an answer: its token count and the digest of its tokens."""

    request: str
    epoch: int
    count: int
    digest: int
    finish: str


@attrs.frozen
class Failure:
    """The failure of an attempt, sent towards the entry."""

    request: str
    epoch: int
    verdict: verdicts.Verdict
    code: errors.Code
    message: str
    culprit: str


@attrs.frozen
class Credit:
    """Flow control: the caller has consumed all positions below ``upto``."""

    request: str
    epoch: int
    upto: int


@attrs.frozen
class Cancel:
    """Cancels an attempt; sent from the entry to each stage."""

    request: str
    epoch: int


@attrs.frozen
class OfferNote:
    """An :class:`crowdeck.pipeline.Offer` in flat form."""

    model: str
    version: str
    adapter: str
    first_layer: int
    end_layer: int
    layer_count: int
    accelerator: str
    batch_limit: int

    @classmethod
    def of(cls, offer: pipeline.Offer) -> "OfferNote":
        """Return the flat form of an offer."""
        return cls(
            model=offer.model,
            version=offer.version,
            adapter=offer.adapter,
            first_layer=offer.layers.first,
            end_layer=offer.layers.end,
            layer_count=offer.layer_count,
            accelerator=offer.accelerator,
            batch_limit=offer.batch_limit,
        )

    def as_offer(self) -> pipeline.Offer:
        """Return the offer.

        :raises ValueError: if its layer range is invalid.
        """
        return pipeline.Offer(
            model=self.model,
            version=self.version,
            adapter=self.adapter,
            layers=pipeline.LayerRange(self.first_layer, self.end_layer),
            layer_count=self.layer_count,
            accelerator=self.accelerator,
            batch_limit=self.batch_limit,
        )


@attrs.frozen
class Load:
    """The state of a sidecar.

    Sent as the reply to heartbeats, and as a record if a change must not
    wait for the next heartbeat.

    :ivar queued: steps waiting for the engine.
    :ivar running: attempts and calls in progress.
    :ivar batch_seconds: estimated fixed time of an engine batch; 0 before
        the first one.
    :ivar token_seconds: estimated time that each further sequence adds.
    """

    incarnation: int
    is_leaving: bool
    offers: tuple[OfferNote, ...]
    services: tuple[str, ...]
    queued: int
    running: int
    batch_seconds: float
    token_seconds: float


Record = (
    Prefill
    | Step
    | Token
    | Answer
    | AnswerEnd
    | Failure
    | Credit
    | Cancel
    | Load
)


@attrs.frozen
class Greeting:
    """The first message of each side of a link."""

    cluster: str
    instance: str
    role: str
    availability_zone: str
    incarnation: int
