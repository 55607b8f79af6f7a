# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Orders to engines that check no fencing token, executed late or never.

Two engines hold the same layers. The controller, the holder of a lease, may
order either one to drop them as long as the other holds them. An order
without an answer is in doubt: it may be executed later.
"""

from collections import abc
import typing

from spec import model

EXPECTS_COUNT = "an order names the number of orders its engine has executed"
AVOIDS_DOUBTFUL_ENGINES = (
    "layers of an engine with an order in doubt are not relied on"
)
DOUBTS_WHILE_EXECUTABLE = (
    "an order is in doubt for as long as it may still be executed"
)
HANDS_OVER = "the lease tells the next controller which orders are in doubt"

ENGINES = 2
COUNT_LIMIT = 2
FULL_COUNT_LIMIT = 4
NONE = -1


class State(typing.NamedTuple):
    """Both engines, the unanswered orders, and those in doubt.

    ``unanswered_counts`` has the count that an engine's unanswered order to
    drop the layers names, ``NONE`` where there is no such order.
    """

    holds: tuple[bool, ...] = (True,) * ENGINES
    counts: tuple[int, ...] = (0,) * ENGINES
    unanswered_counts: tuple[int, ...] = (NONE,) * ENGINES
    in_doubt: tuple[bool, ...] = (False,) * ENGINES


class Orders:
    """One controller after another, each of which plans from what it knows."""

    name = "orders"
    protections = (
        EXPECTS_COUNT,
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
        limit = FULL_COUNT_LIMIT if is_full else COUNT_LIMIT
        found: list[model.Transition] = []
        for engine in range(ENGINES):
            found += self._order_transitions(state, engine, protections, limit)
            found += self._late_order_transitions(state, engine, protections)
        if HANDS_OVER not in protections:
            none_in_doubt = (False,) * ENGINES
            found.append(
                (
                    "another controller takes over",
                    state._replace(in_doubt=none_in_doubt),
                )
            )
        return found

    def _order_transitions(
        self,
        state: State,
        engine: int,
        protections: frozenset[str],
        limit: int,
    ) -> list[model.Transition]:
        """Return the orders that a controller may send to an engine."""
        if state.counts[engine] >= limit:
            return []
        if not state.holds[engine]:
            reloaded = self._execute(state, engine, True)
            return [
                (f"{engine} is ordered to load the layers again", reloaded)
            ]
        other = 1 - engine
        is_other_in_doubt = (
            state.in_doubt[other] and AVOIDS_DOUBTFUL_ENGINES in protections
        )
        if not state.holds[other] or is_other_in_doubt:
            return []
        dropped = self._execute(state, engine, False)
        found = [(f"{engine} is ordered to drop the layers", dropped)]
        if state.unanswered_counts[engine] == NONE:
            unanswered = state._replace(
                unanswered_counts=_with_item(
                    state.unanswered_counts, engine, state.counts[engine]
                ),
                in_doubt=_with_item(state.in_doubt, engine, True),
            )
            found.append((f"an order to {engine} gets no answer", unanswered))
        return found

    def _execute(self, state: State, engine: int, holds: bool) -> State:
        """Execute an order and receive its answer.

        A late order names a lower count from then on and is refused, so it is
        no longer in doubt.
        """
        return state._replace(
            holds=_with_item(state.holds, engine, holds),
            counts=_with_item(state.counts, engine, state.counts[engine] + 1),
            in_doubt=_with_item(state.in_doubt, engine, False),
        )

    def _late_order_transitions(
        self, state: State, engine: int, protections: frozenset[str]
    ) -> list[model.Transition]:
        """Return the transitions of an unanswered order."""
        found: list[model.Transition] = []
        is_resolved = state.unanswered_counts[engine] == NONE
        if not is_resolved:
            without_order = state._replace(
                unanswered_counts=_with_item(
                    state.unanswered_counts, engine, NONE
                )
            )
            found.append((f"the order to {engine} is lost", without_order))
            matches_count = (
                state.unanswered_counts[engine] == state.counts[engine]
            )
            if matches_count or EXPECTS_COUNT not in protections:
                executed = without_order._replace(
                    holds=_with_item(without_order.holds, engine, False),
                    counts=_with_item(
                        without_order.counts,
                        engine,
                        without_order.counts[engine] + 1,
                    ),
                )
                found.append((f"{engine} executes the order late", executed))
        if state.in_doubt[engine] and (
            is_resolved or DOUBTS_WHILE_EXECUTABLE not in protections
        ):
            resolved = state._replace(
                in_doubt=_with_item(state.in_doubt, engine, False)
            )
            found.append(
                (f"the order to {engine} is no longer in doubt", resolved)
            )
        return found

    def invariants(self) -> dict[str, abc.Callable[[State], bool]]:
        """Return the invariants by name."""
        return {
            "no order removes the last copy of a layer": (
                lambda state: any(state.holds)
            )
        }


def _with_item(
    values: tuple[typing.Any, ...], index: int, value: object
) -> typing.Any:
    changed = list(values)
    changed[index] = value
    return tuple(changed)
