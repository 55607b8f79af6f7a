# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Engines that pass a request's activations on along a path themselves.

Such engines need no sidecar between the stages: whoever sends a request
names the whole path, and the last engine returns each token to the first.
"""

import typing

import attrs

from crowdeck import errors
from crowdeck import instance as instances
from crowdeck import pipeline


@attrs.frozen
class AcceleratorType:
    """A kind of accelerator.

    :ivar memory_mb: what layers and requests share.
    :ivar step_factor: how many times the profile's step time it takes.
    :ivar prefill_factor: the same for reading a prompt.
    """

    name: str
    memory_mb: float
    step_factor: float
    prefill_factor: float


@attrs.frozen
class EngineProfile:
    """How the engines of one model behave, all layers together.

    :ivar layer_count: layers of the model.
    :ivar layer_mb: memory of one layer's weights.
    :ivar token_bytes: memory of one token's KV cache, over all layers.
    :ivar step_ms: one step of a batch.
    :ivar sequence_ms: added to a step by each sequence in the batch.
    :ivar context_ms: added to a step by 1,000 tokens of context.
    :ivar prefill_tokens_per_second: prompt tokens read in a second.
    :ivar activation_bytes: what one token hands on from stage to stage.
    :ivar zone_link_bytes_per_second: what all share between two zones.
    :ivar load_seconds: loading all layers onto one engine.
    :ivar concurrent_loads: beyond this many, loads slow one another down.
    :ivar slots: requests at once for which an engine is the first.
    :ivar mean_prompt_tokens: mean prompt in tokens.
    :ivar mean_answer_tokens: mean answer in tokens.
    """

    layer_count: int
    layer_mb: float
    token_bytes: float
    step_ms: float
    sequence_ms: float
    context_ms: float
    prefill_tokens_per_second: float
    activation_bytes: float
    zone_link_bytes_per_second: float
    load_seconds: float
    concurrent_loads: int
    slots: int
    mean_prompt_tokens: float
    mean_answer_tokens: float
    cards: dict[str, AcceleratorType]

    @property
    def token_layer_mb(self) -> float:
        """Memory of one token's KV cache in one layer, in MB."""
        return self.token_bytes / self.layer_count / 1e6

    def token_capacity(self, card: str, layers: int) -> float:
        """Return how many tokens fit beside ``layers`` layers of weights.

        An unknown card is taken for one without limit: its engine says
        itself when it is full.
        """
        known = self.cards.get(card)
        if known is None or not layers:
            return float("inf")
        free = known.memory_mb - layers * self.layer_mb
        return free / (self.token_layer_mb * layers)


@attrs.frozen
class Incarnation:
    """One run of an upstream instance's process.

    A process that starts again holds and knows nothing of before, and may
    have the id of the one before it. All that is believed of an instance
    therefore goes by :attr:`name`, and ends with the run.

    :ivar id: under which the platform knows the instance.
    :ivar started_ms: when it started, in milliseconds since 1970, told by the
        instance itself; 0 where it does not tell.
    """

    id: str
    started_ms: int = 0

    @property
    def name(self) -> str:
        """A name that no other run has."""
        return f"{self.id}#{self.started_ms}" if self.started_ms else self.id

    def is_before(self, other: "Incarnation") -> bool:
        """Whether another run of the same instance came after this one."""
        return self.id == other.id and self.started_ms < other.started_ms


@attrs.frozen
class Upstream:
    """One upstream instance, as the platform lists it.

    :ivar name: unique to one run of the instance, never used again; see
        :class:`Incarnation`.
    :ivar instance_id: under which the platform knows it, the name where
        that is empty.
    :ivar started_ms: when this run of it started, see
        :class:`Incarnation`.
    :ivar card: kind of its accelerator, empty for plain services.
    :ivar layers: the layers it holds, or ``None``.
    :ivar is_leaving: whether it says that it will end soon.
    """

    name: str
    service: str
    address: instances.Address
    availability_zone: str
    slots: int
    is_leaving: bool
    card: str = ""
    layers: pipeline.LayerRange | None = None
    instance_id: str = ""
    started_ms: int = 0

    @property
    def incarnation(self) -> Incarnation:
        """Which run of which instance this is."""
        return Incarnation(self.instance_id or self.name, self.started_ms)


@attrs.frozen
class Hop:
    """One engine's part of a path."""

    upstream: Upstream
    layers: pipeline.LayerRange

    def __str__(self) -> str:
        return f"{self.upstream.address}={self.layers.first}-{self.layers.end}"


@attrs.frozen
class ChainPath:
    """The engines that a request passes, first to last."""

    hops: tuple[Hop, ...]

    @property
    def head(self) -> Upstream:
        """The engine that takes the request and returns the answer."""
        return self.hops[0].upstream

    @property
    def crossings(self) -> int:
        """How often the path goes from one availability zone to another."""
        zones = [hop.upstream.availability_zone for hop in self.hops]
        pairs = zip(zones, zones[1:], strict=False)
        return sum(1 for one, other in pairs if one != other)

    def passes(self, name: str) -> bool:
        """Whether an upstream instance is on the path."""
        return any(hop.upstream.name == name for hop in self.hops)

    def __str__(self) -> str:
        return ",".join(str(hop) for hop in self.hops)


@attrs.frozen
class Stall:
    """A request that waits for an engine which does not answer."""

    request: str
    address: str


@attrs.frozen
class EngineReport:
    """What an engine says of itself.

    :ivar orders_taken: counts orders since the engine started.
    :ivar is_busy: whether an order is being carried out.
    :ivar cache_used: tokens times layers that cannot give way.
    :ivar cache_total: tokens times layers that there is room for.
    :ivar slowdown: over 1 while the engine is slower than its card.
    :ivar started_ms: when the engine started, as :class:`Incarnation` has it.
    """

    orders_taken: int
    is_busy: bool
    layers: pipeline.LayerRange | None
    running: int
    waiting: int
    cache_used: float
    cache_total: float
    slowdown: float
    stalls: tuple[Stall, ...]
    started_ms: int = 0

    def is_from_later_run(self, incarnation: Incarnation) -> bool:
        """Whether a later run than ``incarnation`` made this report.

        :raises CrowdeckError: ``MALFORMED`` where an earlier one did, or
            one that does not tell while ``incarnation`` does.
        """
        if self.started_ms < incarnation.started_ms:
            raise errors.CrowdeckError(
                errors.Code.MALFORMED,
                f"a report of {incarnation.id} tells that it started at "
                f"{self.started_ms or 'no time'}, it did at "
                f"{incarnation.started_ms}",
            )
        return (
            bool(incarnation.started_ms)
            and self.started_ms > incarnation.started_ms
        )


def engines_within(
    engines: typing.Iterable[Upstream], layer_count: int
) -> list[Upstream]:
    """Return the engines that hold no layers which the model does not have.

    An engine tells itself what it holds. One that names other layers is
    not of this model, whatever its entry says.
    """
    return [
        one
        for one in engines
        if one.layers is None or one.layers.end <= layer_count
    ]


def coverage(
    engines: typing.Iterable[Upstream], layer_count: int
) -> list[int]:
    """Return by how many engines each layer is held."""
    counts = [0] * layer_count
    for engine in engines_within(engines, layer_count):
        if engine.layers is not None:
            for layer in range(engine.layers.first, engine.layers.end):
                counts[layer] += 1
    return counts
