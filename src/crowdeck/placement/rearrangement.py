# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Orders that make a model whole again which nobody to spare can complete.

Nothing whole is served while a layer is held by no engine, so engines may
be told here to give up what only they hold. Each is told only after others
have taken the orders to hold that: a giver that ends midway leaves no layer
which is neither held nor ordered.
"""

import typing

import attrs

from crowdeck import chain
from crowdeck import pipeline
from crowdeck.placement import capacity
from crowdeck.placement import plan
from crowdeck.placement import relayout

# Memory left for requests, as shares of the need, the first that can be had
# with little more loading. A model that is whole again with room for four
# requests beside the layers turned 12 of 30 away.
ROOM_SHARES = (1.0, 0.75, 0.5, 0.35, 0.2)


@attrs.frozen
class Step:
    """One engine's part of a rearrangement.

    :ivar after: names of the engines that have to take their orders before.
    """

    move: plan.Move
    after: frozenset[str] = frozenset()


def missing_layers(
    engines: typing.Iterable[chain.Upstream], profile: chain.EngineProfile
) -> list[int]:
    """Return the layers that no engine holds."""
    counts = chain.coverage(engines, profile.layer_count)
    return [layer for layer, count in enumerate(counts) if not count]


def steps_in_parts(
    engines: typing.Sequence[chain.Upstream],
    profile: chain.EngineProfile,
    idle: typing.Callable[[chain.Upstream], bool],
    relied: typing.Sequence[chain.Upstream],
    cuts_streams: bool,
) -> relayout.Parts[list[Step]]:
    """Find the steps after which the engines hold the whole model.

    None where they cannot. What waits for an order in doubt is left out.

    :param engines: those that live and stay, with what they are to hold.
    :param idle: whether an engine can be ordered now.
    :param relied: the same engines with what they hold in any case.
    :param cuts_streams: whether to stop what passes the layers given up.
    """
    members = [_member(one, profile, idle(one)) for one in engines]
    layout = yield from relayout.cover_in_parts(
        members, profile.layer_count, _roomier(engines, profile)
    )
    moves = [
        plan.Move(
            one, layout[one.name], cuts_streams and _gives_up(one, layout)
        )
        for one in engines
        if one.name in layout
    ]
    sure = {one.name: one.layers for one in relied}
    return _ordered(moves, _Takers(engines, layout, sure))


def _member(
    engine: chain.Upstream, profile: chain.EngineProfile, is_idle: bool
) -> relayout.Member:
    held = engine.layers
    most = plan.most_layers(engine, profile) if is_idle else 0
    if held is not None:
        most = max(most, held.end - held.first)
    return relayout.Member(engine.name, held, most, not is_idle)


def _roomier(
    engines: typing.Sequence[chain.Upstream], profile: chain.EngineProfile
) -> list[dict[str, int]]:
    """Return how much engines had better hold, the most room first."""
    need = capacity.needed_tokens(profile)
    found = []
    for share in ROOM_SHARES:
        room = share * need
        mosts = {
            one.name: plan.fitting_layer_count(one, profile, room)
            for one in engines
        }
        if sum(mosts.values()) >= profile.layer_count:
            found.append(mosts)
    return found


def _gives_up(engine: chain.Upstream, layout: relayout.Layout) -> bool:
    return bool(_given_up(engine.layers, layout[engine.name]))


def _given_up(
    held: pipeline.LayerRange | None, layers: pipeline.LayerRange
) -> set[int]:
    return _set(held) - _set(layers)


def _set(layers: pipeline.LayerRange | None) -> set[int]:
    return set(range(layers.first, layers.end)) if layers else set()


class _Takers:
    """Who holds a layer once the layout is carried out."""

    def __init__(
        self,
        engines: typing.Sequence[chain.Upstream],
        layout: relayout.Layout,
        sure: typing.Mapping[str, pipeline.LayerRange | None],
    ) -> None:
        # Whoever keeps a layer for certain, and whoever is to take it.
        self._keepers: set[int] = set()
        self._takers: dict[int, list[str]] = {}
        for one in engines:
            after = layout.get(one.name)
            kept = _set(sure.get(one.name))
            if after is not None:
                kept &= _set(after)
                for layer in _set(after) - kept:
                    self._takers.setdefault(layer, []).append(one.name)
            self._keepers |= kept

    def needed(self, move: plan.Move) -> frozenset[str] | None:
        """Return who has to take orders before an engine gives layers up.

        ``None`` where only an order in doubt would leave a holder.
        """
        names = set()
        for layer in _given_up(move.upstream.layers, move.layers):
            if layer in self._keepers:
                continue
            takers = self._takers.get(layer)
            if not takers:
                return None
            names.add(min(takers))
        return frozenset(names)


def _ordered(moves: list[plan.Move], takers: _Takers) -> list[Step]:
    """Return the steps that can be taken, takers before givers.

    Where some wait for one another, as in an exchange, the rest goes
    without waiting: nothing whole is served meanwhile anyway.
    """
    left = [
        Step(move, needed)
        for move in moves
        if (needed := takers.needed(move)) is not None
    ]
    found: list[Step] = []
    known: set[str] = set()
    given = {step.move.upstream.name for step in left}
    # Who waits for one that is left out is left out, too.
    while any(not step.after <= given for step in left):
        left = [step for step in left if step.after <= given]
        given = {step.move.upstream.name for step in left}
    while left:
        ready = [step for step in left if step.after <= known]
        if not ready:
            found += [Step(step.move, step.after & known) for step in left]
            break
        found += ready
        known |= {step.move.upstream.name for step in ready}
        left = [step for step in left if step not in ready]
    return found
