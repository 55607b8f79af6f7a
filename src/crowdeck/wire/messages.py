# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""What crowdeck's own processes say to each other, as typed data.

Each class stands for the struct of the same name in ``crowdeck.capnp``.
Records go one way and are batched per link; ``questions`` has what is asked
and replied.
Times are relative seconds, never wall-clock times: peers' clocks differ.
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
    """All that the stages of one attempt have to know.

    :ivar request: unique id of the caller's request.
    :ivar epoch: number of the attempt; each stage lets only the highest
        one that it has seen go on.
    :ivar delivered: what earlier attempts gave; it is replayed as input
        and never generated again.
    :ivar seconds_left: time to the caller's deadline.
    :ivar window: how many tokens the head may be ahead of the caller.
    :ivar warm_position: position up to which the stages still hold the
        request's KV cache, or -1 where everything is to be computed.
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
    """The first record of an attempt on its way through the stages.

    :ivar next_layer: the layer that has to run next.
    :ivar context: tokens of context before this record's ``count``.
    :ivar hidden: the previous layer's output, opaque to crowdeck.
    """

    opening: Opening
    next_layer: int
    context: int
    count: int
    hidden: bytes


@attrs.frozen
class Step:
    """One position of one answer on its way through the stages."""

    request: str
    epoch: int
    position: int
    next_layer: int
    context: int
    hidden: bytes


@attrs.frozen
class Token:
    """A token, from the last stage to the head.

    :ivar next_layer: the model's layer count, or the token is refused.
    :ivar context: tokens of context once this one is added.
    :ivar finish: why the model ended, empty while it goes on.
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

    :ivar finish: why the answer ends with this token, empty while it goes
        on. An entry whose head dies before ``AnswerEnd`` must not drive
        an answer on that is whole.
    """

    request: str
    epoch: int
    position: int
    token: int
    text: str
    finish: str


@attrs.frozen
class AnswerEnd:
    """The end of an answer: how many tokens it had, and their digest."""

    request: str
    epoch: int
    count: int
    digest: int
    finish: str


@attrs.frozen
class Failure:
    """An attempt has failed; sent towards the entry."""

    request: str
    epoch: int
    verdict: verdicts.Verdict
    code: errors.Code
    message: str
    culprit: str


@attrs.frozen
class Credit:
    """The caller has taken all positions below ``upto``."""

    request: str
    epoch: int
    upto: int


@attrs.frozen
class Cancel:
    """No more work for this attempt; sent from the entry to each stage."""

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
        """Flatten an offer."""
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

        :raises ValueError: when its layer range is impossible.
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
    """What a sidecar says of itself.

    It answers heartbeats, and goes out as a record when a change cannot
    wait for the next one.

    :ivar queued: steps waiting for the engine.
    :ivar running: attempts and calls in progress.
    :ivar batch_seconds: learned time of an engine batch, whatever is in
        it; 0 while none was run.
    :ivar token_seconds: what each further sequence in a batch adds.
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
    """The first words of each side of a link."""

    cluster: str
    instance: str
    role: str
    availability_zone: str
    incarnation: int
