# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Restores coverage when no redundant engine can take an unheld layer.

No request is served while a layer is unheld. So here engines may be ordered to
give up layers that only they hold, once others have accepted orders to hold
those layers. If the controller stops midway, every layer that was held before
is still held, or an engine has accepted an order to hold it, except layers
that engines exchange with each other (see :func:`_sort_steps`).
"""

import typing

import attrs

from crowdeck import chain
from crowdeck import pipeline
from crowdeck.placement import capacity
from crowdeck.placement import plan
from crowdeck.placement import relayout

# Token capacity to keep on each engine, as shares of the needed tokens. The
# first share that needs little more loading is used. Shares below the last one
# are not tried: most requests could be refused for lack of memory. A restored
# model with memory for only four requests besides the layers refuses 12 of 30.
CAPACITY_SHARES = (1.0, 0.75, 0.5, 0.35, 0.2)


@attrs.frozen
class Step:
    """One engine's part of a rearrangement.

    :ivar after: names of the engines that have to accept their orders first.
    """

    move: plan.Move
    after: frozenset[str] = frozenset()


def missing_layers(
    engines: typing.Iterable[chain.Upstream], profile: chain.EngineProfile
) -> list[int]:
    """Return the layers that no engine holds."""
    holder_counts = chain.coverage(engines, profile.layer_count)
    return [layer for layer, count in enumerate(holder_counts) if not count]


def find_steps(
    engines: typing.Sequence[chain.Upstream],
    profile: chain.EngineProfile,
    can_be_ordered: typing.Callable[[chain.Upstream], bool],
    guaranteed: typing.Sequence[chain.Upstream],
    interrupts_streams: bool,
) -> relayout.Cooperative[list[Step]]:
    """Find the steps after which the engines hold the whole model.

    There are none if the engines cannot hold it. Steps that depend on an order
    in doubt, which an engine may still accept, are left out.

    :param engines: engines that are alive and not leaving, with the layers
        that they hold or were ordered to hold.
    :param can_be_ordered: whether an engine can be ordered now.
    :param guaranteed: the same engines with the layers that they hold,
        regardless of the outcome of outstanding orders.
    :param interrupts_streams: whether to interrupt the streams that use layers
        which are given up.
    """
    members = [
        _member(engine, profile, can_be_ordered(engine)) for engine in engines
    ]
    layout = yield from relayout.cover_cooperatively(
        members, profile.layer_count, _layer_limits(engines, profile)
    )
    moves = [
        plan.Move(
            engine,
            layout[engine.name],
            interrupts_streams and _gives_up(engine, layout),
        )
        for engine in engines
        if engine.name in layout
    ]
    guaranteed_layers = {engine.name: engine.layers for engine in guaranteed}
    return _sort_steps(moves, _Handover(engines, layout, guaranteed_layers))


def _member(
    engine: chain.Upstream, profile: chain.EngineProfile, can_be_ordered: bool
) -> relayout.Member:
    held = engine.layers
    max_layers = plan.max_layer_count(engine, profile) if can_be_ordered else 0
    if held is not None:
        max_layers = max(max_layers, held.end - held.first)
    return relayout.Member(engine.name, held, max_layers, not can_be_ordered)


def _layer_limits(
    engines: typing.Sequence[chain.Upstream], profile: chain.EngineProfile
) -> list[dict[str, int]]:
    """Return layer limits by engine name, for each of ``CAPACITY_SHARES``.

    Limits with which the engines cannot hold the model are left out.
    """
    needed_tokens = capacity.needed_tokens(profile)
    limit_sets = []
    for share in CAPACITY_SHARES:
        token_capacity = share * needed_tokens
        limits = {
            engine.name: plan.fitting_layer_count(
                engine, profile, token_capacity
            )
            for engine in engines
        }
        if sum(limits.values()) >= profile.layer_count:
            limit_sets.append(limits)
    return limit_sets


def _gives_up(engine: chain.Upstream, layout: relayout.Layout) -> bool:
    return bool(_given_up(engine.layers, layout[engine.name]))


def _given_up(
    held: pipeline.LayerRange | None, layers: pipeline.LayerRange
) -> set[int]:
    return _layer_set(held) - _layer_set(layers)


def _layer_set(layers: pipeline.LayerRange | None) -> set[int]:
    return set(range(layers.first, layers.end)) if layers else set()


class _Handover:
    """Which engines keep or take each layer of a layout."""

    def __init__(
        self,
        engines: typing.Sequence[chain.Upstream],
        layout: relayout.Layout,
        guaranteed_layers: typing.Mapping[str, pipeline.LayerRange | None],
    ) -> None:
        # Layers that some engine is guaranteed to keep.
        self._kept_layers: set[int] = set()
        # Names of the engines that are to load each of the other layers.
        self._takers_by_layer: dict[int, list[str]] = {}
        for engine in engines:
            planned = layout.get(engine.name)
            kept = _layer_set(guaranteed_layers.get(engine.name))
            if planned is not None:
                kept &= _layer_set(planned)
                for layer in _layer_set(planned) - kept:
                    self._takers_by_layer.setdefault(layer, []).append(
                        engine.name
                    )
            self._kept_layers |= kept

    def required_takers(self, move: plan.Move) -> frozenset[str] | None:
        """Return the names of engines that must accept orders before ``move``.

        Returns ``None`` if the move gives up a layer that no other engine
        takes or is guaranteed to keep.
        """
        names = set()
        for layer in _given_up(move.upstream.layers, move.layers):
            if layer in self._kept_layers:
                continue
            takers = self._takers_by_layer.get(layer)
            if not takers:
                return None
            names.add(min(takers))
        return frozenset(names)


def _sort_steps(moves: list[plan.Move], handover: _Handover) -> list[Step]:
    """Return the steps, sorted so that each follows its ``after``.

    Steps that would leave a layer without a holder are left out. Steps that
    wait for one another, as in an exchange of layers, come last and do not
    wait for each other.
    """
    remaining = [
        Step(move, required_takers)
        for move in moves
        if (required_takers := handover.required_takers(move)) is not None
    ]
    sorted_steps: list[Step] = []
    scheduled: set[str] = set()
    names = {step.move.upstream.name for step in remaining}
    # A step that waits for a left-out step is left out too.
    while any(not step.after <= names for step in remaining):
        remaining = [step for step in remaining if step.after <= names]
        names = {step.move.upstream.name for step in remaining}
    while remaining:
        ready = [step for step in remaining if step.after <= scheduled]
        if not ready:
            sorted_steps += [
                Step(step.move, step.after & scheduled) for step in remaining
            ]
            break
        sorted_steps += ready
        scheduled |= {step.move.upstream.name for step in ready}
        remaining = [step for step in remaining if step not in ready]
    return sorted_steps
