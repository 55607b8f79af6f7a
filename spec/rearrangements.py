# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Layers redistributed while an engine fails and orders are late or lost.

A model of four layers, the last two of which no engine holds. Two engines
hold the others, a third only the second layer; each has room for two layers.
The controller plans anew after each change, from what the engines hold, and
has several orders pending at once. An order without an answer may be executed
later, the controller may be replaced meanwhile, and one engine may fail and
come back empty.

A controller records that an order is in doubt in the same step in which it
stops waiting for the answer, as in :mod:`spec.orders`.
"""

from collections import abc
import functools
import itertools
import typing

from spec import model

HELD_FIRST = "layers are dropped only once other engines hold them"
EXCLUDES_PLANNED_DROPS = (
    "layers that others are about to drop are not relied on"
)
AVOIDS_DOUBTFUL_ENGINES = (
    "layers of an engine with an order in doubt are not relied on"
)
DOUBTS_WHILE_EXECUTABLE = (
    "an order is in doubt for as long as it may still be executed"
)
HANDS_OVER = "the lease tells the next controller which orders are in doubt"

LAYER_COUNT = 4
LAYER_LIMITS = (2, 2, 2)
ENGINES = len(LAYER_LIMITS)
ORDER_LIMIT = 3
FULL_ORDER_LIMIT = 4

Layers = frozenset[int]
NO_LAYERS: Layers = frozenset()


class State(typing.NamedTuple):
    """What the engines hold, and the orders to them.

    ``ordered_layers`` has what an engine's order asks it to hold, ``None``
    where there is no order; ``awaiting`` tells whether the controller still
    waits for the answer. ``lost_layers`` are those lost with the failed engine
    or held by none at the start; a layer leaves the set once an engine is
    certain to hold it.
    """

    alive: tuple[bool, ...] = (True,) * ENGINES
    holds: tuple[Layers, ...] = (
        frozenset({0, 1}),
        frozenset({1}),
        frozenset({0, 1}),
    )
    ordered_layers: tuple[Layers | None, ...] = (None,) * ENGINES
    awaiting: tuple[bool, ...] = (False,) * ENGINES
    in_doubt: tuple[bool, ...] = (False,) * ENGINES
    lost_layers: Layers = frozenset({2, 3})
    order_count: int = 0
    failure_count: int = 0
    return_count: int = 0


class Rearrangements:
    """One controller after another, each planning from what engines hold."""

    name = "rearrangements"
    protections = (
        HELD_FIRST,
        EXCLUDES_PLANNED_DROPS,
        AVOIDS_DOUBTFUL_ENGINES,
        DOUBTS_WHILE_EXECUTABLE,
        HANDS_OVER,
    )

    def initial(self) -> State:
        """Return the initial state."""
        return State()

    def transitions(
        self, state: State, protections: frozenset[str], is_full: bool
    ) -> list[model.Transition]:
        """Return the transitions that are enabled in a state."""
        limit = FULL_ORDER_LIMIT if is_full else ORDER_LIMIT
        found: list[model.Transition] = []
        if state.order_count < limit:
            found += [
                (
                    f"{engine} is ordered to hold {sorted(target)}",
                    _send_order(state, engine, target),
                )
                for engine, target in _possible_orders(state, protections)
            ]
        for engine in range(ENGINES):
            found += self._order_transitions(state, engine, protections)
            found += self._failure_transitions(state, engine)
        if not any(state.awaiting):
            in_doubt = state.in_doubt
            if HANDS_OVER not in protections:
                in_doubt = (False,) * ENGINES
            found.append(
                (
                    "another controller takes over",
                    state._replace(in_doubt=in_doubt),
                )
            )
        return [(label, _drop_recovered(after)) for label, after in found]

    def _order_transitions(
        self, state: State, engine: int, protections: frozenset[str]
    ) -> list[model.Transition]:
        """Return the transitions of an engine's order."""
        target = state.ordered_layers[engine]
        found: list[model.Transition] = []
        if target is not None:
            without_order = state._replace(
                ordered_layers=_with_item(state.ordered_layers, engine, None)
            )
            executed = without_order._replace(
                holds=_with_item(state.holds, engine, target)
            )
            if state.awaiting[engine]:
                unanswered = state._replace(
                    awaiting=_with_item(state.awaiting, engine, False),
                    in_doubt=_with_item(state.in_doubt, engine, True),
                )
                found.append((f"{engine} does not answer", unanswered))
                answered = executed._replace(
                    awaiting=_with_item(state.awaiting, engine, False),
                    in_doubt=_with_item(state.in_doubt, engine, False),
                )
                found.append((f"{engine} executes the order", answered))
            else:
                found.append((f"the order to {engine} is lost", without_order))
                found.append((f"{engine} executes the order late", executed))
        if state.in_doubt[engine] and (
            target is None or DOUBTS_WHILE_EXECUTABLE not in protections
        ):
            resolved = state._replace(
                in_doubt=_with_item(state.in_doubt, engine, False)
            )
            found.append(
                (f"the order to {engine} is no longer in doubt", resolved)
            )
        return found

    def _failure_transitions(
        self, state: State, engine: int
    ) -> list[model.Transition]:
        """Return the failure of an engine, or its return."""
        if state.alive[engine] and not state.failure_count:
            ended = state._replace(
                alive=_with_item(state.alive, engine, False),
                holds=_with_item(state.holds, engine, NO_LAYERS),
                ordered_layers=_with_item(state.ordered_layers, engine, None),
                awaiting=_with_item(state.awaiting, engine, False),
                in_doubt=_with_item(state.in_doubt, engine, False),
                failure_count=1,
            )
            lost = frozenset(range(LAYER_COUNT)) - _certain_layers(ended)
            return [(f"{engine} fails", ended._replace(lost_layers=lost))]
        if not state.alive[engine] and not state.return_count:
            returned = state._replace(
                alive=_with_item(state.alive, engine, True), return_count=1
            )
            return [(f"{engine} comes back empty", returned)]
        return []

    def invariants(self) -> dict[str, abc.Callable[[State], bool]]:
        """Return the invariants by name."""
        return {
            "no order removes the last copy of a layer": (
                lambda state: (
                    _held_layers(state) | state.lost_layers
                    == frozenset(range(LAYER_COUNT))
                )
            ),
            "all layers are held if they can be, or an order can be sent": (
                lambda state: not _is_stuck(state)
            ),
        }


def _with_item(
    values: tuple[typing.Any, ...], index: int, value: object
) -> typing.Any:
    changed = list(values)
    changed[index] = value
    return tuple(changed)


def _held_layers(state: State) -> Layers:
    return NO_LAYERS.union(*state.holds)


def _certain_layers(state: State) -> Layers:
    """Return the layers that stay held whatever becomes of the orders."""
    return NO_LAYERS.union(
        *(
            held if target is None else held & target
            for held, target in zip(
                state.holds, state.ordered_layers, strict=True
            )
        )
    )


def _drop_recovered(state: State) -> State:
    return state._replace(
        lost_layers=state.lost_layers - _certain_layers(state)
    )


def _send_order(state: State, engine: int, target: Layers) -> State:
    return state._replace(
        ordered_layers=_with_item(state.ordered_layers, engine, target),
        awaiting=_with_item(state.awaiting, engine, True),
        order_count=state.order_count + 1,
    )


def _expected_layers(state: State) -> tuple[Layers, ...]:
    """Return what the controller expects the engines to hold."""
    return tuple(
        target if is_awaited and target is not None else held
        for held, target, is_awaited in zip(
            state.holds, state.ordered_layers, state.awaiting, strict=True
        )
    )


def _layer_ranges(engine: int, held: Layers) -> list[Layers]:
    found = {held}
    for first in range(LAYER_COUNT):
        for end in range(
            first + 1, min(LAYER_COUNT, first + LAYER_LIMITS[engine]) + 1
        ):
            found.add(frozenset(range(first, end)))
    return sorted(found, key=sorted)


def _layouts(state: State) -> tuple[tuple[Layers, ...], ...]:
    """Return the layouts that hold all layers and load the fewest."""
    is_free = tuple(
        is_alive and target is None
        for is_alive, target in zip(
            state.alive, state.ordered_layers, strict=True
        )
    )
    return _cheapest_layouts(_expected_layers(state), is_free)


@functools.cache
def _cheapest_layouts(
    expected: tuple[Layers, ...], is_free: tuple[bool, ...]
) -> tuple[tuple[Layers, ...], ...]:
    choices = [
        _layer_ranges(engine, held) if is_free[engine] else [held]
        for engine, held in enumerate(expected)
    ]
    best: list[tuple[Layers, ...]] = []
    lowest_cost = LAYER_COUNT * ENGINES
    for layout in itertools.product(*choices):
        if len(NO_LAYERS.union(*layout)) < LAYER_COUNT:
            continue
        cost = sum(
            len(after - before)
            for before, after in zip(expected, layout, strict=True)
        )
        if cost < lowest_cost:
            best, lowest_cost = [], cost
        if cost == lowest_cost:
            best.append(layout)
    return tuple(best)


def _possible_orders(
    state: State, protections: frozenset[str]
) -> list[tuple[int, Layers]]:
    """Return the orders that the controller may send now."""
    if len(NO_LAYERS.union(*_expected_layers(state))) == LAYER_COUNT:
        return []
    found = set()
    for layout in _layouts(state):
        for engine, target in enumerate(layout):
            if target != _expected_layers(state)[engine] and _may_drop(
                state, layout, engine, protections
            ):
                found.add((engine, target))
    return sorted(found, key=lambda step: (step[0], sorted(step[1])))


def _may_drop(
    state: State,
    layout: tuple[Layers, ...],
    engine: int,
    protections: frozenset[str],
) -> bool:
    """Whether other engines hold all layers that ``engine`` would drop.

    Only engines that can be relied on count.
    """
    held_by_others: Layers = NO_LAYERS
    for other in range(ENGINES):
        if other == engine or not state.alive[other]:
            continue
        if state.in_doubt[other] and AVOIDS_DOUBTFUL_ENGINES in protections:
            continue
        held = state.holds[other]
        if EXCLUDES_PLANNED_DROPS in protections:
            held &= layout[other]
        if HELD_FIRST not in protections:
            held |= layout[other]
        held_by_others |= held
    return state.holds[engine] - layout[engine] <= held_by_others


def _is_stuck(state: State) -> bool:
    """Whether missing layers can be held, but no order may be sent."""
    is_idle = (
        not any(state.in_doubt) and state.ordered_layers == (None,) * ENGINES
    )
    if (
        not is_idle
        or len(_held_layers(state)) == LAYER_COUNT
        or not _layouts(state)
    ):
        return False
    return not _possible_orders(state, frozenset(Rearrangements.protections))
