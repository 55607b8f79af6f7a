# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Tracks model layers that no engine holds."""

import math
import typing

import anyio
import attrs

from crowdeck import chain
from crowdeck.membership import upstreams as registries
from crowdeck.observe import counters
from crowdeck.observe import logs
from crowdeck import pipeline
from crowdeck import route as routes

# Requests for which an engine must have memory besides its layers. Equal to
# ``placement.plan.MIN_CONCURRENT_REQUESTS``, which is not imported because an
# entry loads the placement only when it holds the lease.
MIN_CONCURRENT_REQUESTS = 4.0
# Time that closing a gap takes besides the longest load: to detect the loss,
# order the loads and report that they are done.
GAP_OVERHEAD_SECONDS = 3.0
POLL_SECONDS = 0.5
# How long a result is reused, since every request looks for a gap while layers
# are missing. These may be hundreds a second, and a check of 1,000 engines
# takes a millisecond.
REUSE_SECONDS = 0.02
# Shorter gaps, which a replacement closes, are not logged.
MIN_LOGGED_SECONDS = 1.0

ServicesSource = typing.Callable[[], tuple[routes.Service, ...]]


@attrs.frozen
class LayerGap:
    """Layers of one service that no engine holds.

    :ivar layers: the missing ranges, in order.
    :ivar since: loop time at which the gap was first seen.
    :ivar engines: names of the remaining engines.
    :ivar engines_since: loop time at which ``engines`` last changed; the
        loads that close the gap are assumed to begin then.
    :ivar layer_capacity: how many layers these engines can hold together.
    :ivar load_seconds: time of the longest load that is needed to close the
        gap.
    :ivar was_complete: whether all layers were held before.
    """

    service: str
    layers: tuple[pipeline.LayerRange, ...]
    since: float
    engines: frozenset[str]
    engines_since: float
    layer_capacity: int
    profile: chain.EngineProfile
    load_seconds: float
    was_complete: bool

    def __str__(self) -> str:
        return ",".join(
            f"{layers.first}-{layers.end}" for layers in self.layers
        )

    @property
    def can_be_closed(self) -> bool:
        """Whether the remaining engines can hold the whole model."""
        return self.layer_capacity >= self.profile.layer_count

    @property
    def seconds_left(self) -> float | None:
        """Expected seconds until all layers are held, if known.

        Unknown for a model that was never complete, since its first loads
        may have begun at any time. Also ``None`` if the remaining engines
        cannot hold the model, or if the expected time has passed.
        """
        if not self.can_be_closed or not self.was_complete:
            return None
        ready_at = (
            self.engines_since + self.load_seconds + GAP_OVERHEAD_SECONDS
        )
        seconds_left = ready_at - anyio.current_time()
        return seconds_left if seconds_left > 0.0 else None

    def as_fields(self) -> dict[str, typing.Any]:
        """Return the fields for a log line or a status."""
        seconds_left = self.seconds_left
        return {
            "service": self.service,
            "layers": str(self),
            "seconds": round(anyio.current_time() - self.since, 3),
            "engines": len(self.engines),
            "can_hold": self.layer_capacity,
            "of": self.profile.layer_count,
            "needed": self.needed,
            "ready_in": None
            if seconds_left is None
            else round(seconds_left, 3),
        }

    def closes_by(self, deadline: float) -> bool:
        """Whether the gap is expected to be closed by ``deadline``.

        :param deadline: a loop time.
        """
        seconds_left = self.seconds_left
        return (
            seconds_left is not None
            and anyio.current_time() + seconds_left <= deadline
        )

    @property
    def needed(self) -> str:
        """What would close the gap, as a text for operators."""
        if self.can_be_closed:
            return f"a load of about {self.load_seconds:.1f} s"
        lacking_layers = self.profile.layer_count - self.layer_capacity
        options = [
            f"{math.ceil(lacking_layers / capacity)} {name}"
            for name in sorted(self.profile.cards)
            if (capacity := max_layers(name, self.profile))
        ]
        engines = " or ".join(options) or "no known kind"
        return f"engines for {lacking_layers} more layers: {engines}"


def max_layers(card: str, profile: chain.EngineProfile) -> int:
    """Return how many layers an accelerator can hold beside its KV cache.

    The cache must suffice for ``MIN_CONCURRENT_REQUESTS``. An unknown
    accelerator is assumed to hold all layers.
    """
    accelerator = profile.cards.get(card)
    if accelerator is None:
        return profile.layer_count
    request_tokens = max(
        1.0, profile.mean_prompt_tokens + profile.mean_answer_tokens / 2.0
    )
    kv_cache_mb = (
        MIN_CONCURRENT_REQUESTS * request_tokens * profile.token_layer_mb
    )
    count = int(accelerator.memory_mb / (profile.layer_mb + kv_cache_mb))
    return min(profile.layer_count, count)


class LayerGapTracker:
    """Finds layers that no engine holds, and logs them."""

    def __init__(self, registry: registries.UpstreamRegistry) -> None:
        self._registry = registry
        self._gaps: dict[str, LayerGap] = {}
        self._checked_at: dict[str, float] = {}
        self._seen_complete: set[str] = set()
        self._logged: dict[str, LayerGap] = {}

    @property
    def current_gaps(self) -> tuple[LayerGap, ...]:
        """The gaps found by the last check of each service."""
        return tuple(self._gaps.values())

    def find_gap(
        self, service: str, profile: chain.EngineProfile
    ) -> LayerGap | None:
        """Return the gap in a service's model, or ``None``."""
        now = anyio.current_time()
        if now - self._checked_at.get(service, -math.inf) < REUSE_SECONDS:
            return self._gaps.get(service)
        self._checked_at[service] = now
        remaining = chain.engines_within(
            (
                engine
                for engine in self._registry.listed(service)
                if not engine.is_leaving
                and not self._registry.has_ended(engine.name)
            ),
            profile.layer_count,
        )
        missing = missing_layers(remaining, profile.layer_count)
        if not missing:
            self._gaps.pop(service, None)
            self._seen_complete.add(service)
            return None
        known = self._gaps.get(service)
        names = frozenset(engine.name for engine in remaining)
        has_same_engines = known is not None and known.engines == names
        capacities = [max_layers(engine.card, profile) for engine in remaining]
        longest = max(layers.end - layers.first for layers in missing)
        load_share = (
            min(longest, max(capacities, default=0)) / profile.layer_count
        )
        gap = self._gaps[service] = LayerGap(
            service,
            missing,
            known.since if known else now,
            names,
            known.engines_since if known and has_same_engines else now,
            sum(capacities),
            profile,
            profile.load_seconds * load_share,
            service in self._seen_complete,
        )
        return gap

    async def run(self, services: ServicesSource) -> None:
        """Check all models at intervals, until cancelled."""
        while True:
            for service in services():
                if service.profile is not None:
                    self._report(service.name, service.profile)
            await anyio.sleep(POLL_SECONDS)

    def _report(self, service: str, profile: chain.EngineProfile) -> None:
        gap = self.find_gap(service, profile)
        count = (
            sum(layers.end - layers.first for layers in gap.layers)
            if gap
            else 0
        )
        counters.COUNTERS.set_gauge(f"layers.unheld.{service}", count)
        logged_gap = self._logged.get(service)
        now = anyio.current_time()
        if gap is None:
            if logged_gap is not None:
                del self._logged[service]
                logs.change(
                    "layers_held_again",
                    service=service,
                    layers=str(logged_gap),
                    seconds=round(now - logged_gap.since, 3),
                )
            return
        seconds = now - gap.since
        if seconds < MIN_LOGGED_SECONDS or _is_already_logged(gap, logged_gap):
            return
        self._logged[service] = gap
        logs.change("layers_unheld", **gap.as_fields())


def _is_already_logged(gap: LayerGap, logged_gap: LayerGap | None) -> bool:
    """Whether a gap was already logged with the same content."""
    if logged_gap is None:
        return False
    return (
        gap.layers == logged_gap.layers
        and gap.can_be_closed == logged_gap.can_be_closed
    )


def missing_layers(
    engines: typing.Iterable[chain.Upstream], layer_count: int
) -> tuple[pipeline.LayerRange, ...]:
    """Return the ranges of layers that none of the engines holds."""
    held_ranges = {
        (engine.layers.first, engine.layers.end)
        for engine in engines
        if engine.layers is not None
    }
    found = []
    position = 0
    for first, end in (*sorted(held_ranges), (layer_count, layer_count)):
        if first > position:
            found.append(pipeline.LayerRange(position, first))
        position = max(position, end)
    return tuple(found)
