# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Plans which layers each engine should hold."""

import typing

import attrs

from crowdeck import chain
from crowdeck import pipeline
from crowdeck.placement import capacity
from crowdeck.placement import exposure
from crowdeck.placement import initial_layout
from crowdeck.placement import tiers

# Concurrent requests for which an engine keeps memory. With less it would
# often refuse or preempt requests.
MIN_CONCURRENT_REQUESTS = 4.0
# More than MAX_GROUP_SIZE engines that start together are split into groups of
# about GROUP_SIZE. The time of the layout search grows with the square of the
# number of engines, so for a large fleet the lease would expire meanwhile. 600
# engines in one group take 3.8 s of a full core, 40 take 0.05 s.
MAX_GROUP_SIZE = 60
GROUP_SIZE = 40
# Empty engines that are planned in one batch. With larger batches the lease
# could expire before any engine is ordered.
FILL_BATCH_SIZE = 10


@attrs.frozen
class Move:
    """A change of the layers that one engine holds.

    :ivar is_urgent: whether to interrupt the streams that use the layers it
        gives up, so that they restart elsewhere. Otherwise the engine first
        waits for their end, which takes as long as the longest stream.
    """

    upstream: chain.Upstream
    layers: pipeline.LayerRange
    is_urgent: bool = False


# Engines that are planned together, as those of a cell, a tier or a group.
_Engines = list[chain.Upstream]


def fitting_layer_count(
    engine: chain.Upstream, profile: chain.EngineProfile, token_capacity: float
) -> int:
    """Return how many layers fit beside the KV cache of a number of tokens.

    An engine of unknown accelerator type counts as able to hold all layers.

    :param token_capacity: tokens for which the engine keeps memory.
    """
    card = profile.cards.get(engine.card)
    if card is None:
        return profile.layer_count
    mb_per_layer = profile.layer_mb + token_capacity * profile.token_layer_mb
    return min(profile.layer_count, int(card.memory_mb / mb_per_layer))


def next_moves(
    engines: typing.Sequence[chain.Upstream],
    profile: chain.EngineProfile,
    is_idle: typing.Callable[[chain.Upstream], bool],
    guaranteed: typing.Sequence[chain.Upstream] | None = None,
) -> list[Move]:
    """Return the moves to order next in a fleet of engines.

    Each cell holds the whole model if its memory suffices, so that requests
    need not cross between availability zones. A cell is one zone if its cards
    suffice. Engines without layers first get unheld layers, then the range,
    within their tier or the cell, that exposes streams least to the loss of
    engines. If no engine holds a layer, and no empty engine takes it, an
    engine whose layers are redundant moves there. An engine is never ordered
    to give up layers that only it holds.

    :param engines: engines that are alive and not leaving, in any order, with
        the layers that they hold or were ordered to hold.
    :param is_idle: whether an engine can be ordered now.
    :param guaranteed: the same engines with the layers that they hold,
        regardless of the outcome of outstanding orders. An engine gives
        up only layers that others are guaranteed to hold. By default the
        same as ``engines``.
    """
    batches = iter_moves(engines, profile, is_idle, guaranteed)
    return [move for batch in batches for move in batch]


def iter_moves(
    engines: typing.Sequence[chain.Upstream],
    profile: chain.EngineProfile,
    is_idle: typing.Callable[[chain.Upstream], bool],
    guaranteed: typing.Sequence[chain.Upstream] | None = None,
) -> typing.Iterator[list[Move]]:
    """Yield the moves of :func:`next_moves` in batches.

    Planning a batch blocks the event loop, so callers should let other tasks
    run between batches. A batch may be empty.
    """
    guaranteed_by_name = {
        engine.name: engine
        for engine in (engines if guaranteed is None else guaranteed)
    }
    holder_counts = chain.coverage(engines, profile.layer_count)
    for cell in _cells(engines, profile):
        guaranteed_cell = [
            guaranteed_by_name[engine.name]
            for engine in cell
            if engine.name in guaranteed_by_name
        ]
        for moves in _cell_moves(cell, profile, is_idle, guaranteed_cell):
            yield [
                attrs.evolve(
                    move,
                    is_urgent=_has_unheld_layer(move.layers, holder_counts),
                )
                for move in moves
            ]


def _has_unheld_layer(
    layers: pipeline.LayerRange, holder_counts: list[int]
) -> bool:
    """Whether any of the layers is held in no availability zone.

    Nothing is served then, so streams may be interrupted. If only one zone
    lacks a layer, its requests go to other zones, and interrupting streams
    would do more harm than waiting for their end.
    """
    return 0 in holder_counts[layers.first : layers.end]


class CoverageGaps:
    """Unheld layers of each cell, computed once for many moves."""

    def __init__(
        self,
        engines: typing.Sequence[chain.Upstream],
        profile: chain.EngineProfile,
    ) -> None:
        self._holder_counts: dict[str, list[int]] = {}
        for cell in _cells(engines, profile):
            counts = chain.coverage(cell, profile.layer_count)
            self._holder_counts.update(
                dict.fromkeys((engine.name for engine in cell), counts)
            )

    def is_filled_by(self, move: Move) -> bool:
        """Whether a move adds a layer that no engine of its cell holds.

        True if the engine was not known when the gaps were computed.
        """
        counts = self._holder_counts.get(move.upstream.name)
        if counts is None:
            return True
        return 0 in counts[move.layers.first : move.layers.end]


def _cells(
    engines: typing.Sequence[chain.Upstream], profile: chain.EngineProfile
) -> list[_Engines]:
    """Return one cell for each zone that can hold the model.

    The other zones form one cell together, or join the first of those cells.
    """
    by_zone: dict[str, list[chain.Upstream]] = {}
    for engine in sorted(engines, key=lambda engine: engine.name):
        by_zone.setdefault(engine.availability_zone, []).append(engine)
    complete: list[_Engines] = []
    remainder: _Engines = []
    for zone in sorted(by_zone):
        if _can_hold_model(by_zone[zone], profile):
            complete.append(by_zone[zone])
        else:
            remainder += by_zone[zone]
    if remainder and complete and not _can_hold_model(remainder, profile):
        # Together they cannot hold the model either.
        complete[0] += remainder
    elif remainder:
        complete.append(remainder)
    return complete


def _min_token_capacity(profile: chain.EngineProfile) -> float:
    return MIN_CONCURRENT_REQUESTS * capacity.request_tokens(profile)


def max_layer_count(
    engine: chain.Upstream, profile: chain.EngineProfile
) -> int:
    """Return how many layers an engine can hold and still serve requests.

    It keeps memory for :data:`MIN_CONCURRENT_REQUESTS`.
    """
    return fitting_layer_count(engine, profile, _min_token_capacity(profile))


def _can_hold_model(engines: _Engines, profile: chain.EngineProfile) -> bool:
    total = sum(max_layer_count(engine, profile) for engine in engines)
    return total >= profile.layer_count


def _cell_moves(
    cell: _Engines,
    profile: chain.EngineProfile,
    is_idle: typing.Callable[[chain.Upstream], bool],
    guaranteed_cell: list[chain.Upstream],
) -> typing.Iterator[list[Move]]:
    empty = [
        engine for engine in cell if engine.layers is None and is_idle(engine)
    ]
    if all(engine.layers is None for engine in cell):
        yield from _initial_moves(empty, profile)
        return
    if len(empty) >= 2 * GROUP_SIZE and _can_hold_model(empty, profile):
        # Planning the empty engines as groups of their own is faster than
        # placing them one by one beside the others.
        yield from _initial_moves(empty, profile)
        return
    holder_counts = chain.coverage(cell, profile.layer_count)
    for moves in _fill_moves(cell, empty, profile):
        for move in moves:
            _change_counts(move.layers, holder_counts, 1)
        yield moves
    guaranteed_counts = chain.coverage(guaranteed_cell, profile.layer_count)
    yield _gap_moves(cell, profile, holder_counts, guaranteed_counts, is_idle)


def _initial_moves(
    engines: _Engines, profile: chain.EngineProfile
) -> typing.Iterator[list[Move]]:
    """Yield the moves of engines that all start empty.

    They are laid out in tiers or all together, whichever exposes streams less
    to the loss of engines. For a large cell both are compared on one of its
    groups only.
    """
    sample = _groups(engines, profile)[0]
    tiered = [
        move for moves in _tiered_moves(sample, profile) for move in moves
    ]
    # The empty batch lets other tasks run between the two layouts.
    yield []
    together = _group_moves(sample, profile)
    is_tiered = _exposure(tiered, profile) < _exposure(together, profile)
    if len(sample) == len(engines):
        yield tiered if is_tiered else together
    elif is_tiered:
        yield from _tiered_moves(engines, profile)
    else:
        yield from _grouped_moves(engines, profile)


def _tiered_moves(
    engines: _Engines, profile: chain.EngineProfile
) -> typing.Iterator[list[Move]]:
    split = _tiers(engines, profile)
    placed: _Engines = []
    for tier in split.complete:
        for moves in _grouped_moves(tier, profile):
            placed += _engines_after(moves)
            yield moves
    if not placed:
        yield from _grouped_moves(split.remainder, profile)
    elif split.remainder:
        yield from _fill_moves(
            placed + split.remainder, split.remainder, profile
        )


def _grouped_moves(
    engines: _Engines, profile: chain.EngineProfile
) -> typing.Iterator[list[Move]]:
    for group in _groups(engines, profile):
        yield _group_moves(group, profile)


def _exposure(moves: list[Move], profile: chain.EngineProfile) -> float:
    needed_tokens = capacity.needed_tokens(profile)
    return exposure.predict(_engines_after(moves), profile, needed_tokens)


def _engines_after(moves: list[Move]) -> _Engines:
    """Return the engines of moves with the layers that they will hold."""
    return [attrs.evolve(move.upstream, layers=move.layers) for move in moves]


def _tiers(engines: _Engines, profile: chain.EngineProfile) -> tiers.Tiers:
    min_token_capacity = _min_token_capacity(profile)
    return tiers.Tiers(
        engines,
        profile,
        lambda engine, token_capacity: fitting_layer_count(
            engine, profile, max(token_capacity, min_token_capacity)
        ),
    )


def _groups(engines: _Engines, profile: chain.EngineProfile) -> list[_Engines]:
    """Split engines that start together into groups that hold the model.

    Cards are spread evenly over the groups. If groups of about GROUP_SIZE
    engines cannot hold the model, there are fewer and larger ones.
    """
    if len(engines) <= MAX_GROUP_SIZE:
        return [engines]
    ordered = sorted(
        engines,
        key=lambda engine: (-max_layer_count(engine, profile), engine.name),
    )
    for count in range(len(engines) // GROUP_SIZE, 1, -1):
        groups = [ordered[first::count] for first in range(count)]
        if all(_can_hold_model(group, profile) for group in groups):
            return groups
    return [engines]


def _group_moves(
    engines: _Engines, profile: chain.EngineProfile
) -> list[Move]:
    """Return the moves of one group of engines that start empty."""
    search = initial_layout.InitialLayoutSearch(
        profile,
        lambda engine, token_capacity: fitting_layer_count(
            engine, profile, token_capacity
        ),
        _min_token_capacity(profile),
    )
    layout = search.find_layout(engines)
    return [
        Move(engine, layout[engine.name])
        for engine in engines
        if engine.name in layout
    ]


def _fill_moves(
    cell: _Engines, empty: _Engines, profile: chain.EngineProfile
) -> typing.Iterator[list[Move]]:
    """Yield moves that place each empty engine where it gains most."""
    planner = _FillPlanner(cell, profile)
    moves: list[Move] = []
    # Large cards take long ranges first; small ones fill the gaps.
    for engine in sorted(
        empty,
        key=lambda engine: (-max_layer_count(engine, profile), engine.name),
    ):
        layers = planner.place(engine)
        if layers is not None:
            planner.add(engine, layers)
            moves.append(Move(engine, layers))
        if len(moves) == FILL_BATCH_SIZE:
            yield moves
            moves = []
    yield moves


class _FillPlanner:
    """Finds layers for empty engines next to others that hold layers."""

    def __init__(self, cell: _Engines, profile: chain.EngineProfile) -> None:
        self._profile = profile
        self._needed_tokens = capacity.needed_tokens(profile)
        self._held = [engine for engine in cell if engine.layers is not None]
        self._compares_exposure = len(cell) <= MAX_GROUP_SIZE
        self._capacity = self._capacity_of(cell)
        self._tiers = [
            (
                frozenset(engine.name for engine in tier),
                self._capacity_of(tier),
            )
            for tier in _tiers(cell, profile).complete
        ]

    def place(self, engine: chain.Upstream) -> pipeline.LayerRange | None:
        """Return the layers for an empty engine.

        Layers that no engine of the cell holds come first. Otherwise this is
        the best range within the engine's tier or within the cell, whichever
        exposes streams less. In a large cell, where the comparison is slow,
        the range within the tier is taken.
        """
        max_layers = max_layer_count(engine, self._profile)
        anywhere = self._capacity.best_range(engine, max_layers)
        tier = self._tier(engine)
        if anywhere is None or tier is None or self._capacity.has_gap:
            return anywhere.layers if anywhere else None
        in_tier = tier.best_range(engine, max_layers)
        if in_tier is None or not self._compares_exposure:
            return (in_tier or anywhere).layers
        return min(
            (anywhere.layers, in_tier.layers),
            key=lambda layers: self._exposure(engine, layers),
        )

    def add(self, engine: chain.Upstream, layers: pipeline.LayerRange) -> None:
        """Add an engine that is planned to hold ``layers``."""
        self._held.append(attrs.evolve(engine, layers=layers))
        self._capacity.add(engine, layers)
        tier = self._tier(engine)
        if tier is not None:
            tier.add(engine, layers)

    def _exposure(
        self, engine: chain.Upstream, layers: pipeline.LayerRange
    ) -> float:
        held = [*self._held, attrs.evolve(engine, layers=layers)]
        return exposure.predict(held, self._profile, self._needed_tokens)

    def _tier(self, engine: chain.Upstream) -> capacity.LayerCapacity | None:
        for names, layer_capacity in self._tiers:
            if engine.name in names:
                return layer_capacity
        return None

    def _capacity_of(self, engines: _Engines) -> capacity.LayerCapacity:
        layer_capacity = capacity.LayerCapacity(
            self._profile, self._needed_tokens
        )
        for engine in engines:
            if engine.layers is not None:
                layer_capacity.add(engine, engine.layers)
        return layer_capacity


def _gap_moves(
    cell: _Engines,
    profile: chain.EngineProfile,
    holder_counts: list[int],
    guaranteed_counts: list[int],
    is_idle: typing.Callable[[chain.Upstream], bool],
) -> list[Move]:
    """Return moves of redundant engines to layers that no engine holds.

    Engines with the least memory move first. They take no more than the gap,
    because an engine cannot serve while it loads.
    """
    moves: list[Move] = []
    held = [engine for engine in cell if engine.layers and is_idle(engine)]
    held.sort(
        key=lambda engine: (max_layer_count(engine, profile), engine.name)
    )
    for engine in held:
        if 0 not in holder_counts:
            break
        max_layers = max_layer_count(engine, profile)
        if not max_layers or not _is_redundant(engine, guaranteed_counts):
            continue
        first = holder_counts.index(0)
        end = first + 1
        while (
            end < len(holder_counts)
            and end - first < max_layers
            and not holder_counts[end]
        ):
            end += 1
        moves.append(Move(engine, pipeline.LayerRange(first, end)))
        _change_counts(engine.layers, holder_counts, -1)
        _change_counts(engine.layers, guaranteed_counts, -1)
        _change_counts(moves[-1].layers, holder_counts, 1)
    return moves


def _change_counts(
    layers: pipeline.LayerRange | None, holder_counts: list[int], change: int
) -> None:
    assert layers is not None
    for layer in range(layers.first, layers.end):
        holder_counts[layer] += change


def _is_redundant(engine: chain.Upstream, holder_counts: list[int]) -> bool:
    assert engine.layers is not None
    held = range(engine.layers.first, engine.layers.end)
    return all(holder_counts[layer] > 1 for layer in held)
