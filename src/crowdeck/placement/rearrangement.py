# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Restores coverage when no redundant engine can take an unheld layer.

No request is served while a layer is unheld. So engines may be ordered here to
give up layers that only they hold, but only after others have accepted orders
to hold those. If the controller stops midway, every layer that was held before
is still held or ordered.
"""

import typing

import attrs

from crowdeck import chain
from crowdeck import pipeline
from crowdeck.placement import capacity
from crowdeck.placement import plan
from crowdeck.placement import relayout

# Token capacity to keep on each engine, as shares of the need. The first one
# that needs little more loading is used. Without this a restored model could
# turn most requests away for lack of memory.
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
    counts = chain.coverage(engines, profile.layer_count)
    return [layer for layer, count in enumerate(counts) if not count]


def find_steps(
    engines: typing.Sequence[chain.Upstream],
    profile: chain.EngineProfile,
    can_be_ordered: typing.Callable[[chain.Upstream], bool],
    guaranteed: typing.Sequence[chain.Upstream],
    interrupts_streams: bool,
) -> relayout.Parts[list[Step]]:
    """Find the steps after which the engines hold the whole model.

    There are none if the engines cannot hold it. Steps that depend on an order
    in doubt are left out.

    :param engines: engines that are alive and not leaving, with the layers
        that they hold or were ordered to hold.
    :param can_be_ordered: whether an engine can be ordered now.
    :param guaranteed: the same engines with the layers that they hold whatever
        becomes of outstanding orders.
    :param interrupts_streams: whether to interrupt the streams that use layers
        which are given up.
    """
    members = [_member(one, profile, can_be_ordered(one)) for one in engines]
    layout = yield from relayout.cover_in_parts(
        members, profile.layer_count, _layer_limits(engines, profile)
    )
    moves = [
        plan.Move(
            one,
            layout[one.name],
            interrupts_streams and _gives_up(one, layout),
        )
        for one in engines
        if one.name in layout
    ]
    guaranteed_layers = {one.name: one.layers for one in guaranteed}
    return _sort_steps(moves, _Handover(engines, layout, guaranteed_layers))


def _member(
    engine: chain.Upstream, profile: chain.EngineProfile, is_idle: bool
) -> relayout.Member:
    held = engine.layers
    max_layers = plan.max_layer_count(engine, profile) if is_idle else 0
    if held is not None:
        max_layers = max(max_layers, held.end - held.first)
    return relayout.Member(engine.name, held, max_layers, not is_idle)


def _layer_limits(
    engines: typing.Sequence[chain.Upstream], profile: chain.EngineProfile
) -> list[dict[str, int]]:
    """Return layer limits by engine name, most free memory first."""
    need = capacity.needed_tokens(profile)
    found = []
    for share in CAPACITY_SHARES:
        token_capacity = share * need
        limits = {
            one.name: plan.fitting_layer_count(one, profile, token_capacity)
            for one in engines
        }
        if sum(limits.values()) >= profile.layer_count:
            found.append(limits)
    return found


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
        # Layers that an engine is guaranteed to keep, and the names of the
        # engines that take each of the others.
        self._kept_layers: set[int] = set()
        self._takers_by_layer: dict[int, list[str]] = {}
        for one in engines:
            after = layout.get(one.name)
            kept = _layer_set(guaranteed_layers.get(one.name))
            if after is not None:
                kept &= _layer_set(after)
                for layer in _layer_set(after) - kept:
                    self._takers_by_layer.setdefault(layer, []).append(
                        one.name
                    )
            self._kept_layers |= kept

    def required_takers(self, move: plan.Move) -> frozenset[str] | None:
        """Return the engines that must accept orders before ``move``.

        Returns ``None`` if no other engine is guaranteed to keep a layer that
        is given up, and none takes it.
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
    """Return the possible steps, takers of a layer before its givers.

    Steps that wait for one another, as in an exchange of layers, come last and
    do not wait for each other. The model is not served in the meantime anyway.
    """
    left = [
        Step(move, required_takers)
        for move in moves
        if (required_takers := handover.required_takers(move)) is not None
    ]
    found: list[Step] = []
    scheduled: set[str] = set()
    names = {step.move.upstream.name for step in left}
    # A step that waits for one that was left out is left out too.
    while any(not step.after <= names for step in left):
        left = [step for step in left if step.after <= names]
        names = {step.move.upstream.name for step in left}
    while left:
        ready = [step for step in left if step.after <= scheduled]
        if not ready:
            found += [Step(step.move, step.after & scheduled) for step in left]
            break
        found += ready
        scheduled |= {step.move.upstream.name for step in ready}
        left = [step for step in left if step not in ready]
    return found
