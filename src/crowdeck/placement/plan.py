# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Which layers each engine of a group of mixed cards should hold."""

import typing

import attrs

from crowdeck import chain
from crowdeck import pipeline

# Requests at once that an engine should have memory for, as a share of
# its slots. Half of them: a path's engines are all in use together, and
# more room costs a copy of the model for little more throughput.
ROOM_SHARE = 0.5
# Where the cards of a zone cannot hold the model with that much room,
# less is taken in steps, down to a few requests at once.
ROOM_STEP = 0.7
ROOM_LEAST = 4.0


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


@attrs.define(eq=False)
class _Cell:
    """Engines close to one another that hold the whole model together."""

    engines: list[chain.Upstream]
    room: float

    def quota(
        self, engine: chain.Upstream, profile: chain.EngineProfile
    ) -> int:
        return quota(engine, profile, self.room)


def quota(
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
    sure = {one.name: one for one in (engines if relied is None else relied)}
    moves: list[Move] = []
    for cell in _cells(engines, profile):
        certain = [sure[one.name] for one in cell.engines if one.name in sure]
        moves += _fill(cell, profile, idle, certain)
    counts = coverage(engines, profile.layer_count)
    return [
        attrs.evolve(move, is_urgent=_is_missing(move.layers, counts))
        for move in moves
    ]


def _is_missing(layers: pipeline.LayerRange, counts: list[int]) -> bool:
    """Whether some of the layers are held by no engine of any zone.

    Nothing at all is served then. Where only a zone lacks them, its
    requests go to others meanwhile, and stopping streams costs more.
    """
    return 0 in counts[layers.first : layers.end]


def fills_gap(
    move: Move,
    engines: typing.Sequence[chain.Upstream],
    profile: chain.EngineProfile,
) -> bool:
    """Whether a move brings layers that no engine of its cell holds."""
    name = move.upstream.name
    for cell in _cells(engines, profile):
        if any(one.name == name for one in cell.engines):
            counts = coverage(cell.engines, profile.layer_count)
            return 0 in counts[move.layers.first : move.layers.end]
    return True


def coverage(
    engines: typing.Iterable[chain.Upstream], layer_count: int
) -> list[int]:
    """Return by how many engines each layer is held."""
    counts = [0] * layer_count
    for engine in engines:
        if engine.layers is not None:
            for layer in range(engine.layers.first, engine.layers.end):
                counts[layer] += 1
    return counts


def _cells(
    engines: typing.Sequence[chain.Upstream], profile: chain.EngineProfile
) -> list[_Cell]:
    by_zone: dict[str, list[chain.Upstream]] = {}
    for engine in sorted(engines, key=lambda one: one.name):
        by_zone.setdefault(engine.availability_zone, []).append(engine)
    whole: list[_Cell] = []
    rest: list[chain.Upstream] = []
    for zone in sorted(by_zone):
        room = _room(by_zone[zone], profile)
        if room is None:
            rest += by_zone[zone]
        else:
            whole.append(_Cell(by_zone[zone], room))
    if not rest:
        return whole
    room = _room(rest, profile)
    if room is not None:
        whole.append(_Cell(rest, room))
    elif whole:
        # Too few for a copy of their own: they strengthen another's.
        whole[0].engines += rest
    else:
        whole.append(_Cell(rest, ROOM_LEAST * _request_tokens(profile)))
    return whole


def _request_tokens(profile: chain.EngineProfile) -> float:
    """Return what a request holds on average while it runs."""
    return max(1.0, profile.usual_prompt + profile.usual_answer / 2.0)


def _room(
    engines: list[chain.Upstream], profile: chain.EngineProfile
) -> float | None:
    """Return the most room with which the engines hold the whole model."""
    requests = profile.slots * ROOM_SHARE
    while requests >= ROOM_LEAST:
        room = requests * _request_tokens(profile)
        total = sum(quota(one, profile, room) for one in engines)
        if total >= profile.layer_count:
            return room
        requests *= ROOM_STEP
    return None


def _fill(
    cell: _Cell,
    profile: chain.EngineProfile,
    idle: typing.Callable[[chain.Upstream], bool],
    certain: list[chain.Upstream],
) -> list[Move]:
    counts = coverage(cell.engines, profile.layer_count)
    sure = coverage(certain, profile.layer_count)
    empty = [one for one in cell.engines if one.layers is None and idle(one)]
    # Large cards first: they take the long runs, small ones fill gaps.
    empty.sort(key=lambda one: (-cell.quota(one, profile), one.name))
    moves: list[Move] = []
    for engine in empty:
        size = cell.quota(engine, profile)
        if size:
            moves.append(_assign(engine, size, counts))
    moves += _change_over(cell, profile, counts, sure, idle)
    return moves


def _assign(engine: chain.Upstream, size: int, counts: list[int]) -> Move:
    """Give an engine the layers that the fewest others hold."""
    first = counts.index(min(counts))
    first = max(0, min(first, len(counts) - size))
    layers = pipeline.LayerRange(first, min(len(counts), first + size))
    _count(layers, counts, 1)
    return Move(engine, layers)


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
    held = [one for one in cell.engines if one.layers and idle(one)]
    held.sort(key=lambda one: (cell.quota(one, profile), one.name))
    for engine in held:
        if 0 not in counts:
            break
        size = cell.quota(engine, profile)
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
