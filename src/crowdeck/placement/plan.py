# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Which layers each engine of a group of mixed cards should hold."""

import typing

import attrs

from crowdeck import chain
from crowdeck import pipeline
from crowdeck.placement import capacity
from crowdeck.placement import exposure
from crowdeck.placement import initial_layout
from crowdeck.placement import tiers

# Requests at once that an engine has memory for in any case. Fewer would
# have it refuse or preempt with every second request.
MIN_CONCURRENT_REQUESTS = 4.0
# Engines of a zone that begin together are laid out in groups of about the
# second number once they are more than the first. The search takes as long
# as the square of a group: 600 engines at once took 3.8 s of a full core in
# each of five zones, longer than the lease under which they are ordered
# lasts, and no engine of a fleet of 2,997 ever got a layer. 40 take 0.05 s.
MAX_GROUP_SIZE = 60
GROUP_SIZE = 40
# Places are found for so many newcomers at a time. For more, one by one, the
# lease would lapse before any of them is ordered.
FILL_BATCH_SIZE = 10


@attrs.frozen
class Move:
    """An engine that is to hold other layers than it does.

    :ivar is_urgent: whether to stop what passes the layers that it gives
        up, instead of waiting for its end. It has to begin again
        elsewhere; waiting takes as long as the longest stream, seconds.
    """

    upstream: chain.Upstream
    layers: pipeline.LayerRange
    is_urgent: bool = False


# Engines close to one another that hold the whole model together.
_Cell = list[chain.Upstream]


def fitting_layer_count(
    engine: chain.Upstream, profile: chain.EngineProfile, room: float
) -> int:
    """Return how many layers leave an engine ``room`` tokens of memory."""
    card = profile.cards.get(engine.card)
    if card is None:
        return profile.layer_count
    per_layer = profile.layer_mb + room * profile.token_layer_mb
    return min(profile.layer_count, int(card.memory_mb / per_layer))


def next_moves(
    engines: typing.Sequence[chain.Upstream],
    profile: chain.EngineProfile,
    idle: typing.Callable[[chain.Upstream], bool],
    relied: typing.Sequence[chain.Upstream] | None = None,
) -> list[Move]:
    """Return the moves that bring a group of engines nearer to the plan.

    Each cell of engines, an availability zone where its cards suffice,
    holds the whole model, so that a request need not cross between
    zones. Engines without layers take the layers that the fewest others
    hold. When all have some and a layer is held by none, an engine whose
    layers others hold too changes over. An engine is never told to give
    up layers that only it holds.

    :param engines: those that live and stay, in any order.
    :param idle: whether an engine can be ordered now; what the others
        hold, or are about to, is as listed.
    :param relied: the same engines with the layers that they hold for
        certain, come what may of the orders under way; an engine gives up
        only what others hold in this sense. By default as ``engines``.
    """
    batches = iter_moves(engines, profile, idle, relied)
    return [move for batch in batches for move in batch]


def iter_moves(
    engines: typing.Sequence[chain.Upstream],
    profile: chain.EngineProfile,
    idle: typing.Callable[[chain.Upstream], bool],
    relied: typing.Sequence[chain.Upstream] | None = None,
) -> typing.Iterator[list[Move]]:
    """Yield what :func:`next_moves` returns, a part at a time.

    Laying out a part takes up to a tenth of a second of a full core; whoever
    has other things to do does them in between.
    """
    sure = {one.name: one for one in (engines if relied is None else relied)}
    counts = chain.coverage(engines, profile.layer_count)
    for cell in _cells(engines, profile):
        certain = [sure[one.name] for one in cell if one.name in sure]
        for moves in _cell_moves(cell, profile, idle, certain):
            yield [
                attrs.evolve(move, is_urgent=_is_missing(move.layers, counts))
                for move in moves
            ]


def _is_missing(layers: pipeline.LayerRange, counts: list[int]) -> bool:
    """Whether some of the layers are held by no engine of any zone.

    Nothing at all is served then. Where only a zone lacks them, its
    requests go to others meanwhile, and stopping streams costs more.
    """
    return 0 in counts[layers.first : layers.end]


class CoverageGaps:
    """Which layers no engine of a cell holds, found once for all moves."""

    def __init__(
        self,
        engines: typing.Sequence[chain.Upstream],
        profile: chain.EngineProfile,
    ) -> None:
        self._counts: dict[str, list[int]] = {}
        for cell in _cells(engines, profile):
            counts = chain.coverage(cell, profile.layer_count)
            self._counts.update(
                dict.fromkeys((one.name for one in cell), counts)
            )

    def is_filled_by(self, move: Move) -> bool:
        """Whether a move brings layers that no engine of its cell holds."""
        counts = self._counts.get(move.upstream.name)
        if counts is None:
            return True
        return 0 in counts[move.layers.first : move.layers.end]


def _cells(
    engines: typing.Sequence[chain.Upstream], profile: chain.EngineProfile
) -> list[_Cell]:
    by_zone: dict[str, list[chain.Upstream]] = {}
    for engine in sorted(engines, key=lambda one: one.name):
        by_zone.setdefault(engine.availability_zone, []).append(engine)
    whole: list[_Cell] = []
    rest: _Cell = []
    for zone in sorted(by_zone):
        if _holds_model(by_zone[zone], profile):
            whole.append(by_zone[zone])
        else:
            rest += by_zone[zone]
    if rest and whole and not _holds_model(rest, profile):
        # Too few for a copy of their own: they strengthen another's.
        whole[0] += rest
    elif rest:
        whole.append(rest)
    return whole


def _least_room(profile: chain.EngineProfile) -> float:
    return MIN_CONCURRENT_REQUESTS * capacity.request_tokens(profile)


def most_layers(engine: chain.Upstream, profile: chain.EngineProfile) -> int:
    """Return how many layers an engine can hold and still serve."""
    return fitting_layer_count(engine, profile, _least_room(profile))


def _holds_model(engines: _Cell, profile: chain.EngineProfile) -> bool:
    total = sum(most_layers(one, profile) for one in engines)
    return total >= profile.layer_count


def _cell_moves(
    cell: _Cell,
    profile: chain.EngineProfile,
    idle: typing.Callable[[chain.Upstream], bool],
    certain: list[chain.Upstream],
) -> typing.Iterator[list[Move]]:
    free = [one for one in cell if one.layers is None and idle(one)]
    if all(one.layers is None for one in cell):
        yield from _begin(free, profile)
        return
    if len(free) >= 2 * GROUP_SIZE and _holds_model(free, profile):
        # Each group of them holds the model by itself. One by one, beside
        # all that is held, each takes longer than the one before.
        yield from _begin(free, profile)
        return
    counts = chain.coverage(cell, profile.layer_count)
    for moves in _fill(cell, free, profile):
        for move in moves:
            _count(move.layers, counts, 1)
        yield moves
    sure = chain.coverage(certain, profile.layer_count)
    yield _change_over(cell, profile, counts, sure, idle)


def _begin(
    engines: _Cell, profile: chain.EngineProfile
) -> typing.Iterator[list[Move]]:
    """Yield the moves of a cell whose engines all begin empty.

    In tiers, or all together: whichever exposes streams less to losses. A
    large cell is judged by one of the groups that it would be split into.
    """
    sample = _groups(engines, profile)[0]
    # Each layout takes a while; others have their turn in between.
    tiered = [move for moves in _in_tiers(sample, profile) for move in moves]
    yield []
    together = _first_moves(sample, profile)
    is_tiered = _exposure(tiered, profile) < _exposure(together, profile)
    if len(sample) == len(engines):
        yield tiered if is_tiered else together
    elif is_tiered:
        yield from _in_tiers(engines, profile)
    else:
        yield from _lay_out(engines, profile)


def _in_tiers(
    engines: _Cell, profile: chain.EngineProfile
) -> typing.Iterator[list[Move]]:
    split = _tiers(engines, profile)
    placed: _Cell = []
    for tier in split.whole:
        for moves in _lay_out(tier, profile):
            placed += _carried_out(moves)
            yield moves
    if not placed:
        yield from _lay_out(split.rest, profile)
    elif split.rest:
        yield from _fill(placed + split.rest, split.rest, profile)


def _lay_out(
    engines: _Cell, profile: chain.EngineProfile
) -> typing.Iterator[list[Move]]:
    for group in _groups(engines, profile):
        yield _first_moves(group, profile)


def _exposure(moves: list[Move], profile: chain.EngineProfile) -> float:
    need = capacity.needed_tokens(profile)
    return exposure.predict(_carried_out(moves), profile, need)


def _carried_out(moves: list[Move]) -> _Cell:
    return [attrs.evolve(one.upstream, layers=one.layers) for one in moves]


def _tiers(engines: _Cell, profile: chain.EngineProfile) -> tiers.Tiers:
    least = _least_room(profile)
    return tiers.Tiers(
        engines,
        profile,
        lambda engine, room: fitting_layer_count(
            engine, profile, max(room, least)
        ),
    )


def _groups(engines: _Cell, profile: chain.EngineProfile) -> list[_Cell]:
    """Split engines that begin together into groups that hold the model.

    Each group gets an even part of each kind of card. Where the parts would
    be too few to hold the model there are fewer and larger ones.
    """
    if len(engines) <= MAX_GROUP_SIZE:
        return [engines]
    ordered = sorted(
        engines, key=lambda one: (-most_layers(one, profile), one.name)
    )
    for count in range(len(engines) // GROUP_SIZE, 1, -1):
        groups = [ordered[first::count] for first in range(count)]
        if all(_holds_model(group, profile) for group in groups):
            return groups
    return [engines]


def _first_moves(engines: _Cell, profile: chain.EngineProfile) -> list[Move]:
    """Return the moves of engines that begin together."""
    arranger = initial_layout.InitialLayoutSearch(
        profile,
        lambda engine, room: fitting_layer_count(engine, profile, room),
        _least_room(profile),
    )
    layout = arranger.arrange(engines)
    return [
        Move(one, layout[one.name]) for one in engines if one.name in layout
    ]


def _fill(
    cell: _Cell, free: _Cell, profile: chain.EngineProfile
) -> typing.Iterator[list[Move]]:
    """Yield moves of empty engines to where each is worth most."""
    filling = _Filling(cell, profile)
    moves: list[Move] = []
    # Large cards first: they take the long runs, small ones fill gaps.
    for engine in sorted(
        free, key=lambda one: (-most_layers(one, profile), one.name)
    ):
        layers = filling.place(engine)
        if layers is not None:
            filling.add(engine, layers)
            moves.append(Move(engine, layers))
        if len(moves) == FILL_BATCH_SIZE:
            yield moves
            moves = []
    yield moves


class _Filling:
    """Finds places for engines beside others that hold layers already."""

    def __init__(self, cell: _Cell, profile: chain.EngineProfile) -> None:
        self._profile = profile
        self._need = capacity.needed_tokens(profile)
        self._held = [one for one in cell if one.layers is not None]
        self._is_small = len(cell) <= MAX_GROUP_SIZE
        self._rooms = self._rooms_of(cell)
        self._tiers = [
            (frozenset(one.name for one in tier), self._rooms_of(tier))
            for tier in _tiers(cell, profile).whole
        ]

    def place(self, engine: chain.Upstream) -> pipeline.LayerRange | None:
        """Return the layers that an empty engine had better take.

        What the whole cell lacks comes first. Otherwise, of the places with
        least room in its tier and of all, the one that exposes streams
        less; a large cell, where that takes long, keeps to tiers.
        """
        most = most_layers(engine, self._profile)
        anywhere = self._rooms.best_window(engine, most)
        tier = self._tier(engine)
        if anywhere is None or tier is None or self._rooms.has_gap:
            return anywhere.layers if anywhere else None
        beside = tier.best_window(engine, most)
        if beside is None or not self._is_small:
            return (beside or anywhere).layers
        return min(
            (anywhere.layers, beside.layers),
            key=lambda layers: self._exposure(engine, layers),
        )

    def add(self, engine: chain.Upstream, layers: pipeline.LayerRange) -> None:
        """Count an engine that is given layers."""
        self._held.append(attrs.evolve(engine, layers=layers))
        self._rooms.add(engine, layers)
        tier = self._tier(engine)
        if tier is not None:
            tier.add(engine, layers)

    def _exposure(
        self, engine: chain.Upstream, layers: pipeline.LayerRange
    ) -> float:
        held = [*self._held, attrs.evolve(engine, layers=layers)]
        return exposure.predict(held, self._profile, self._need)

    def _tier(self, engine: chain.Upstream) -> capacity.LayerCapacity | None:
        for names, rooms in self._tiers:
            if engine.name in names:
                return rooms
        return None

    def _rooms_of(self, engines: _Cell) -> capacity.LayerCapacity:
        rooms = capacity.LayerCapacity(self._profile, self._need)
        for engine in engines:
            if engine.layers is not None:
                rooms.add(engine, engine.layers)
        return rooms


def _change_over(
    cell: _Cell,
    profile: chain.EngineProfile,
    counts: list[int],
    sure: list[int],
    idle: typing.Callable[[chain.Upstream], bool],
) -> list[Move]:
    """Return moves of engines that can be spared into gaps.

    Each takes no more than its gap: what an engine loads it cannot serve
    meanwhile, so the smallest engines, which load least, go first.
    """
    moves: list[Move] = []
    held = [one for one in cell if one.layers and idle(one)]
    held.sort(key=lambda one: (most_layers(one, profile), one.name))
    for engine in held:
        if 0 not in counts:
            break
        size = most_layers(engine, profile)
        if not size or not _is_spare(engine, sure):
            continue
        first = counts.index(0)
        end = first + 1
        while end < len(counts) and end - first < size and not counts[end]:
            end += 1
        moves.append(Move(engine, pipeline.LayerRange(first, end)))
        _count(engine.layers, counts, -1)
        _count(engine.layers, sure, -1)
        _count(moves[-1].layers, counts, 1)
    return moves


def _count(
    layers: pipeline.LayerRange | None, counts: list[int], change: int
) -> None:
    assert layers is not None
    for layer in range(layers.first, layers.end):
        counts[layer] += change


def _is_spare(engine: chain.Upstream, counts: list[int]) -> bool:
    assert engine.layers is not None
    held = range(engine.layers.first, engine.layers.end)
    return all(counts[layer] > 1 for layer in held)
