# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Orders to engines that check no fencing token, done late or not at all.

Two engines hold the same layers. A giver of orders, one at a time by the
lease, may have either give them up as long as the other holds them. An
order without an answer may be carried out seconds later.
"""

from collections import abc
import typing

from spec import model

EXPECTS_COUNT = "an order names the count of orders that its engine had taken"
DOUBTS = "layers of an engine with an order in doubt are not relied on"
WAITS = "the doubt lasts as long as the order may still be carried out"
HANDS_OVER = "the lease tells the next giver which orders are in doubt"

ENGINES = 2
COUNT_LIMIT = 2
FULL_COUNT_LIMIT = 4
NONE = -1


class State(typing.NamedTuple):
    """Both engines, the orders under way, and what the giver doubts.

    ``late`` is the count that an unanswered order to give the layers up
    expects, ``NONE`` where none is under way.
    """

    holds: tuple[bool, ...] = (True,) * ENGINES
    counts: tuple[int, ...] = (0,) * ENGINES
    late: tuple[int, ...] = (NONE,) * ENGINES
    doubted: tuple[bool, ...] = (False,) * ENGINES


class Orders:
    """One giver after another, each of which plans from what it knows."""

    name = "orders"
    protections = (EXPECTS_COUNT, DOUBTS, WAITS, HANDS_OVER)

    def initial(self) -> State:
        """Return the first state."""
        return State()

    def transitions(
        self, state: State, protections: frozenset[str], is_full: bool
    ) -> list[model.Transition]:
        """Return what may happen next."""
        limit = FULL_COUNT_LIMIT if is_full else COUNT_LIMIT
        found: list[model.Transition] = []
        for engine in range(ENGINES):
            found += self._given(state, engine, protections, limit)
            found += self._late(state, engine, protections)
        if HANDS_OVER not in protections:
            nothing = (False,) * ENGINES
            found.append(
                ("another giver begins", state._replace(doubted=nothing))
            )
        return found

    def _given(
        self,
        state: State,
        engine: int,
        protections: frozenset[str],
        limit: int,
    ) -> list[model.Transition]:
        """Return the orders that a giver may give to an engine."""
        if state.counts[engine] >= limit:
            return []
        if not state.holds[engine]:
            back = self._taken(state, engine, True)
            return [(f"{engine} is ordered to hold them again", back)]
        other = 1 - engine
        is_doubted = state.doubted[other] and DOUBTS in protections
        if not state.holds[other] or is_doubted:
            return []
        given = self._taken(state, engine, False)
        found = [(f"{engine} is ordered to give them up", given)]
        if state.late[engine] == NONE:
            unanswered = state._replace(
                late=_with(state.late, engine, state.counts[engine]),
                doubted=_with(state.doubted, engine, True),
            )
            found.append((f"an order to {engine} gets no answer", unanswered))
        return found

    def _taken(self, state: State, engine: int, holds: bool) -> State:
        """Carry an order out, with its answer.

        A late order expects a lower count from then on: no more doubt.
        """
        return state._replace(
            holds=_with(state.holds, engine, holds),
            counts=_with(state.counts, engine, state.counts[engine] + 1),
            doubted=_with(state.doubted, engine, False),
        )

    def _late(
        self, state: State, engine: int, protections: frozenset[str]
    ) -> list[model.Transition]:
        """Return what may become of an unanswered order, and the doubt."""
        found: list[model.Transition] = []
        is_gone = state.late[engine] == NONE
        if not is_gone:
            gone = state._replace(late=_with(state.late, engine, NONE))
            found.append((f"the order to {engine} is lost", gone))
            fits = state.late[engine] == state.counts[engine]
            if fits or EXPECTS_COUNT not in protections:
                done = gone._replace(
                    holds=_with(gone.holds, engine, False),
                    counts=_with(gone.counts, engine, gone.counts[engine] + 1),
                )
                found.append((f"{engine} carries it out late", done))
        if state.doubted[engine] and (is_gone or WAITS not in protections):
            sure = state._replace(doubted=_with(state.doubted, engine, False))
            found.append((f"{engine} is trusted again", sure))
        return found

    def invariants(self) -> dict[str, abc.Callable[[State], bool]]:
        """Return the properties."""
        return {
            "no order of ours takes the last copy of a layer": (
                lambda state: any(state.holds)
            )
        }


def _with(
    values: tuple[typing.Any, ...], at: int, value: object
) -> typing.Any:
    changed = list(values)
    changed[at] = value
    return tuple(changed)
