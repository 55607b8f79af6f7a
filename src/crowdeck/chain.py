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
    """A type of accelerator.

    :ivar memory_mb: memory for weights and KV cache.
    :ivar step_factor: step time as a multiple of the profile's.
    :ivar prefill_factor: prefill time as a multiple of the profile's.
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
    :ivar activation_bytes: size of one token's activations, as one stage
        sends them to the next.
    :ivar zone_link_bytes_per_second: bandwidth that all transfers between
        two zones share; 0 where it is unknown.
    :ivar load_seconds: time to load the weights of all layers onto one
        engine.
    :ivar concurrent_loads: number of engines that can load weights at once
        without slowing each other down.
    :ivar slots: number of concurrent requests for which an engine can be
        the first.
    :ivar mean_prompt_tokens: mean length of a prompt.
    :ivar mean_answer_tokens: mean length of an answer.
    :ivar cards: accelerator types by name.
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

    def is_memory_known(self, card: str) -> bool:
        """Whether it is known how many layers an accelerator type can hold.

        Without any accelerator types, all engines can hold all layers.

        :param card: name of the accelerator type, empty if there is none.
        """
        return not self.cards or card in self.cards

    def token_capacity(self, card: str, layers: int) -> float:
        """Return how many tokens fit beside the weights of ``layers`` layers.

        It is infinite without layers and for an unknown accelerator type,
        whose engines refuse requests themselves when they are full.

        :param card: name of the accelerator type.
        """
        accelerator_type = self.cards.get(card)
        if accelerator_type is None or not layers:
            return float("inf")
        free_mb = accelerator_type.memory_mb - layers * self.layer_mb
        return free_mb / (self.token_layer_mb * layers)


@attrs.frozen
class Incarnation:
    """One run of an upstream instance's process.

    A restarted process has lost its state but may have the id of its
    predecessor, so what is known about an instance is kept by :attr:`name`.

    :ivar id: the platform's id of the instance.
    :ivar started_ms: when it started, in milliseconds since 1970, as the
        instance reports it; 0 if it does not.
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
    :ivar slots: number of requests that it accepts at once.
    :ivar is_leaving: whether it announced that it will end soon.
    :ivar card: name of the accelerator type, empty for plain services.
    :ivar layers: the layers it holds, or ``None``.
    :ivar instance_id: the platform's id, or empty if it is the name.
    :ivar started_ms: start of this run, see :class:`Incarnation`.
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
    """One engine of a path, and the layers that it runs there."""

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
        """Number of hops whose availability zone differs from the previous."""
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
    """A request that waits for an unresponsive engine.

    :ivar request: id of the request.
    :ivar address: address of that engine.
    """

    request: str
    address: str


@attrs.frozen
class EngineReport:
    """Status that an engine reports.

    :ivar orders_taken: orders accepted since the engine started.
    :ivar is_busy: whether an order is being carried out.
    :ivar running: requests in progress.
    :ivar waiting: requests in the queue.
    :ivar cache_used: part of the cache that cannot be evicted, in tokens times
        layers.
    :ivar cache_total: size of the cache, in tokens times layers.
    :ivar slowdown: step time as a multiple of the accelerator type's; above 1
        while the engine is slower.
    :ivar stalls: requests that wait for an unresponsive engine.
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
    even if its stored object names this service.
    """
    return [
        engine
        for engine in engines
        if engine.layers is None or engine.layers.end <= layer_count
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
