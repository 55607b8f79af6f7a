# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Engines that pass a request's activations along a path themselves.

They need no sidecar between stages: a request names its whole path, and the
last engine returns each token to the first.
"""

import typing

import attrs

from crowdeck import errors
from crowdeck import instance as instances
from crowdeck import pipeline


@attrs.frozen
class AcceleratorType:
    """A kind of accelerator.

    :ivar memory_mb: memory for weights and KV cache.
    :ivar step_factor: step time relative to the profile's.
    :ivar prefill_factor: prefill time relative to the profile's.
    """

    name: str
    memory_mb: float
    step_factor: float
    prefill_factor: float


@attrs.frozen
class EngineProfile:
    """Performance of the engines of one model, for all layers together.

    :ivar layer_count: layers of the model.
    :ivar layer_mb: memory of one layer's weights.
    :ivar kv_bytes_per_token: memory of one token's KV cache, over all layers.
    :ivar step_ms: time of one step of a batch.
    :ivar sequence_ms: added to a step by each sequence in the batch.
    :ivar context_ms_per_1000_tokens: added to a step by 1,000 tokens of
        context.
    :ivar prefill_tokens_per_second: prompt tokens processed in a second.
    :ivar activation_bytes: activations of one token between stages.
    :ivar zone_link_bytes_per_second: bandwidth that all transfers between
        two zones share.
    :ivar load_seconds: time to load all layers onto one engine.
    :ivar concurrent_loads: loads that do not slow one another down.
    :ivar slots: concurrent requests for which an engine is the first.
    :ivar mean_prompt_tokens: mean length of a prompt.
    :ivar mean_answer_tokens: mean length of an answer.
    """

    layer_count: int
    layer_mb: float
    kv_bytes_per_token: float
    step_ms: float
    sequence_ms: float
    context_ms_per_1000_tokens: float
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
        return self.kv_bytes_per_token / self.layer_count / 1e6

    def token_capacity(self, card: str, layers: int) -> float:
        """Return how many tokens fit beside ``layers`` layers of weights.

        It is infinite without layers and for an unknown accelerator, whose
        engine itself refuses requests when it is full.
        """
        known = self.cards.get(card)
        if known is None or not layers:
            return float("inf")
        free = known.memory_mb - layers * self.layer_mb
        return free / (self.token_layer_mb * layers)


@attrs.frozen
class Incarnation:
    """One run of an upstream instance's process.

    A restarted process has lost its state and may have the id of its
    predecessor, so what is known of an instance is kept by :attr:`name`.

    :ivar id: the platform's id of the instance.
    :ivar started_ms: when it started, in milliseconds since 1970, as the
        instance reports it; 0 where it does not.
    """

    id: str
    started_ms: int = 0

    @property
    def name(self) -> str:
        """A name unique to this run."""
        return f"{self.id}#{self.started_ms}" if self.started_ms else self.id

    def is_before(self, other: "Incarnation") -> bool:
        """Whether ``other`` is a later run of the same instance."""
        return self.id == other.id and self.started_ms < other.started_ms


@attrs.frozen
class Upstream:
    """One upstream instance, as the platform lists it.

    :ivar name: name of this run, see :class:`Incarnation`.
    :ivar instance_id: the platform's id, or empty where it is the name.
    :ivar started_ms: start of this run, see :class:`Incarnation`.
    :ivar card: accelerator type, empty for plain services.
    :ivar layers: the layers it holds, or ``None``.
    :ivar is_leaving: whether it announced that it will end soon.
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
        """The run of the instance."""
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
    def zone_crossings(self) -> int:
        """How often the path goes from one availability zone to another."""
        zones = [hop.upstream.availability_zone for hop in self.hops]
        pairs = zip(zones, zones[1:], strict=False)
        return sum(1 for zone, next_zone in pairs if zone != next_zone)

    def passes(self, name: str) -> bool:
        """Whether an upstream instance is on the path."""
        return any(hop.upstream.name == name for hop in self.hops)

    def __str__(self) -> str:
        return ",".join(str(hop) for hop in self.hops)


@attrs.frozen
class Stall:
    """A request that waits for an unresponsive engine."""

    request: str
    address: str


@attrs.frozen
class EngineReport:
    """Status that an engine reports.

    :ivar orders_taken: orders accepted since the engine started.
    :ivar is_busy: whether an order is being carried out.
    :ivar cache_used: tokens times layers that cannot be evicted.
    :ivar cache_total: tokens times layers that fit.
    :ivar slowdown: step time relative to the accelerator type's; above 1 while
        slower.
    :ivar started_ms: when the engine started, see :class:`Incarnation`.
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
        """Whether a later run than ``incarnation`` sent this report.

        :raises CrowdeckError: ``MALFORMED`` for the report of an earlier
            run, or one without a start time while that of
            ``incarnation`` is known.
        """
        if self.started_ms < incarnation.started_ms:
            raise errors.CrowdeckError(
                errors.Code.MALFORMED,
                f"the report of {incarnation.id} has start time "
                f"{self.started_ms or 'none'}, but the run started at "
                f"{incarnation.started_ms}",
            )
        return (
            bool(incarnation.started_ms)
            and self.started_ms > incarnation.started_ms
        )


def engines_within(
    engines: typing.Iterable[Upstream], layer_count: int
) -> list[Upstream]:
    """Return the engines whose layers are within the model's.

    An engine whose layers end beyond the model's serves another model,
    whatever its directory entry says.
    """
    return [
        one
        for one in engines
        if one.layers is None or one.layers.end <= layer_count
    ]


def coverage(
    engines: typing.Iterable[Upstream], layer_count: int
) -> list[int]:
    """Return the number of engines that hold each layer."""
    counts = [0] * layer_count
    for engine in engines_within(engines, layer_count):
        if engine.layers is not None:
            for layer in range(engine.layers.first, engine.layers.end):
                counts[layer] += 1
    return counts
