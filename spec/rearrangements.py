# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Engines laid out anew while one is lost, and orders are late or lost.

A model of four layers of which nobody holds the last two. Two engines hold
the others, one the second alone; each takes two layers. A giver of orders
plans anew from what engines hold after each change, and has several orders
under way at once. An order without an answer may be carried out later; the
giver may be replaced meanwhile; one engine may end, and come back empty.

That a giver dies between sending an order and noting that it got no answer
is taken for one step, as in :mod:`spec.orders`.
"""

from collections import abc
import functools
import itertools
import typing

from spec import model

TAKEN_FIRST = "layers are given up once others hold them, not before"
KEPT = "what others are about to give up is not relied on"
DOUBTS = "layers of an engine with an order in doubt are not relied on"
WAITS = "the doubt lasts as long as the order may still be carried out"
HANDS_OVER = "the lease tells the next giver which orders are in doubt"

LAYERS = 4
MOST = (2, 2, 2)
ENGINES = len(MOST)
ORDERS_MOST = 3
FULL_ORDERS_MOST = 4

Held = frozenset[int]
NOTHING: Held = frozenset()


class State(typing.NamedTuple):
    """What engines hold, and the orders under way.

    ``under_way`` has what an engine's order is to have it hold, ``None``
    where there is none; ``pending`` tells whether its giver awaits the
    answer yet. ``gone`` has layers that were lost with an engine.
    """

    alive: tuple[bool, ...] = (True,) * ENGINES
    holds: tuple[Held, ...] = (
        frozenset({0, 1}),
        frozenset({1}),
        frozenset({0, 1}),
    )
    under_way: tuple[Held | None, ...] = (None,) * ENGINES
    pending: tuple[bool, ...] = (False,) * ENGINES
    doubted: tuple[bool, ...] = (False,) * ENGINES
    gone: Held = frozenset({2, 3})
    orders: int = 0
    ends: int = 0
    returns: int = 0


class Rearrangements:
    """One giver after another, each of which plans from what is held."""

    name = "rearrangements"
    protections = (TAKEN_FIRST, KEPT, DOUBTS, WAITS, HANDS_OVER)

    def initial(self) -> State:
        """Return the first state."""
        return State()

    def transitions(
        self, state: State, protections: frozenset[str], is_full: bool
    ) -> list[model.Transition]:
        """Return what may happen next."""
        limit = FULL_ORDERS_MOST if is_full else ORDERS_MOST
        found: list[model.Transition] = []
        if state.orders < limit:
            found += [
                (
                    f"{engine} is ordered to hold {sorted(target)}",
                    _sent(state, engine, target),
                )
                for engine, target in _steps(state, protections)
            ]
        for engine in range(ENGINES):
            found += self._orders(state, engine, protections)
            found += self._lives(state, engine)
        if not any(state.pending):
            doubted = state.doubted
            if HANDS_OVER not in protections:
                doubted = (False,) * ENGINES
            found.append(
                ("another giver begins", state._replace(doubted=doubted))
            )
        return [(label, _noted(after)) for label, after in found]

    def _orders(
        self, state: State, engine: int, protections: frozenset[str]
    ) -> list[model.Transition]:
        """Return what may become of an engine's order, and of the doubt."""
        target = state.under_way[engine]
        found: list[model.Transition] = []
        if target is not None:
            over = state._replace(
                under_way=_with(state.under_way, engine, None)
            )
            done = over._replace(holds=_with(state.holds, engine, target))
            if state.pending[engine]:
                unanswered = state._replace(
                    pending=_with(state.pending, engine, False),
                    doubted=_with(state.doubted, engine, True),
                )
                found.append((f"{engine} does not answer", unanswered))
                answered = done._replace(
                    pending=_with(state.pending, engine, False),
                    doubted=_with(state.doubted, engine, False),
                )
                found.append((f"{engine} takes the order", answered))
            else:
                found.append((f"the order to {engine} is lost", over))
                found.append((f"{engine} carries it out late", done))
        if state.doubted[engine] and (
            target is None or WAITS not in protections
        ):
            sure = state._replace(doubted=_with(state.doubted, engine, False))
            found.append((f"{engine} is trusted again", sure))
        return found

    def _lives(self, state: State, engine: int) -> list[model.Transition]:
        """Return the end of an engine, or its return."""
        if state.alive[engine] and not state.ends:
            ended = state._replace(
                alive=_with(state.alive, engine, False),
                holds=_with(state.holds, engine, NOTHING),
                under_way=_with(state.under_way, engine, None),
                pending=_with(state.pending, engine, False),
                doubted=_with(state.doubted, engine, False),
                ends=1,
            )
            lost = frozenset(range(LAYERS)) - _certain(ended)
            return [(f"{engine} ends", ended._replace(gone=lost))]
        if not state.alive[engine] and not state.returns:
            back = state._replace(
                alive=_with(state.alive, engine, True), returns=1
            )
            return [(f"{engine} comes back empty", back)]
        return []

    def invariants(self) -> dict[str, abc.Callable[[State], bool]]:
        """Return the properties."""
        return {
            "no order takes the last copy of a layer": (
                lambda state: (
                    _held(state) | state.gone == frozenset(range(LAYERS))
                )
            ),
            "what can be made whole is, or there is an order to give": (
                lambda state: not _is_stuck(state)
            ),
        }


def _with(
    values: tuple[typing.Any, ...], at: int, value: object
) -> typing.Any:
    changed = list(values)
    changed[at] = value
    return tuple(changed)


def _held(state: State) -> Held:
    return NOTHING.union(*state.holds)


def _certain(state: State) -> Held:
    """Return what is held whatever becomes of the orders under way."""
    return NOTHING.union(
        *(
            held if target is None else held & target
            for held, target in zip(state.holds, state.under_way, strict=True)
        )
    )


def _noted(state: State) -> State:
    return state._replace(gone=state.gone - _certain(state))


def _sent(state: State, engine: int, target: Held) -> State:
    return state._replace(
        under_way=_with(state.under_way, engine, target),
        pending=_with(state.pending, engine, True),
        orders=state.orders + 1,
    )


def _expected(state: State) -> tuple[Held, ...]:
    """Return what the giver takes engines to hold."""
    return tuple(
        target if is_pending and target is not None else held
        for held, target, is_pending in zip(
            state.holds, state.under_way, state.pending, strict=True
        )
    )


def _choices(engine: int, held: Held) -> list[Held]:
    found = {held}
    for first in range(LAYERS):
        for end in range(first + 1, min(LAYERS, first + MOST[engine]) + 1):
            found.add(frozenset(range(first, end)))
    return sorted(found, key=sorted)


def _layouts(state: State) -> tuple[tuple[Held, ...], ...]:
    """Return the layouts that hold all layers and load least."""
    is_free = tuple(
        is_alive and target is None
        for is_alive, target in zip(state.alive, state.under_way, strict=True)
    )
    return _cheapest(_expected(state), is_free)


@functools.cache
def _cheapest(
    expected: tuple[Held, ...], is_free: tuple[bool, ...]
) -> tuple[tuple[Held, ...], ...]:
    choices = [
        _choices(engine, held) if is_free[engine] else [held]
        for engine, held in enumerate(expected)
    ]
    best: list[tuple[Held, ...]] = []
    least = LAYERS * ENGINES
    for layout in itertools.product(*choices):
        if len(NOTHING.union(*layout)) < LAYERS:
            continue
        cost = sum(
            len(after - before)
            for before, after in zip(expected, layout, strict=True)
        )
        if cost < least:
            best, least = [], cost
        if cost == least:
            best.append(layout)
    return tuple(best)


def _steps(
    state: State, protections: frozenset[str]
) -> list[tuple[int, Held]]:
    """Return the orders that may be given now."""
    if len(NOTHING.union(*_expected(state))) == LAYERS:
        return []
    found = set()
    for layout in _layouts(state):
        for engine, target in enumerate(layout):
            if target != _expected(state)[engine] and _may_give(
                state, layout, engine, protections
            ):
                found.add((engine, target))
    return sorted(found, key=lambda step: (step[0], sorted(step[1])))


def _may_give(
    state: State,
    layout: tuple[Held, ...],
    engine: int,
    protections: frozenset[str],
) -> bool:
    """Whether others hold what an engine gives up."""
    others: Held = NOTHING
    for other in range(ENGINES):
        if other == engine or not state.alive[other]:
            continue
        if state.doubted[other] and DOUBTS in protections:
            continue
        held = state.holds[other]
        if KEPT in protections:
            held &= layout[other]
        if TAKEN_FIRST not in protections:
            held |= layout[other]
        others |= held
    return state.holds[engine] - layout[engine] <= others


def _is_stuck(state: State) -> bool:
    """Whether nothing is under way that makes a model whole that can be."""
    is_still = not any(state.doubted) and state.under_way == (None,) * ENGINES
    if not is_still or len(_held(state)) == LAYERS or not _layouts(state):
        return False
    return not _steps(state, frozenset(Rearrangements.protections))
