# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Settings generations, a lagging network and restarts."""

from collections import abc
import typing

from spec import model

ONLY_NEWER = "a process applies only newer generations"
READS_FIRST = "a new process takes no work before it has read the store"

INSTANCES = 2
GENERATIONS = 3
FULL_GENERATIONS = 5
RESTARTS = 2


class State(typing.NamedTuple):
    """The store's generation, each instance's, and news under way.

    An instance's generation is 0 while it knows none; ``served`` is the
    highest generation that it, or an earlier run of it, has worked under.
    """

    stored: int = 1
    held: tuple[int, ...] = (0,) * INSTANCES
    served: tuple[int, ...] = (0,) * INSTANCES
    reverted: bool = False
    news: frozenset[int] = frozenset()
    restarts: int = RESTARTS


class Generations:
    """Operators accept changes while instances restart."""

    name = "generations"
    protections = (ONLY_NEWER, READS_FIRST)

    def initial(self) -> State:
        """Return the first state."""
        return State()

    def transitions(
        self, state: State, protections: frozenset[str], is_full: bool
    ) -> list[model.Transition]:
        """Return what may happen next."""
        limit = FULL_GENERATIONS if is_full else GENERATIONS
        found: list[model.Transition] = []
        if state.stored < limit:
            accepted = state._replace(stored=state.stored + 1)
            found.append(("accept a change", accepted))
        found.append(
            ("send news", state._replace(news=state.news | {state.stored}))
        )
        for me in range(INSTANCES):
            found += self._moves(state, me, protections)
        return found

    def _moves(
        self, state: State, me: int, protections: frozenset[str]
    ) -> list[model.Transition]:
        found: list[model.Transition] = [
            (f"{me} reads the store", _hold(state, me, state.stored))
        ]
        for generation in sorted(state.news):
            # A new process must not go by news alone: it may be old.
            is_known = state.held[me] > 0 or READS_FIRST not in protections
            is_newer = generation > state.held[me]
            if is_known and (is_newer or ONLY_NEWER not in protections):
                after = _hold(state, me, generation)
                found.append((f"{me} hears of {generation}", after))
        if state.held[me]:
            found.append((f"{me} works", _serve(state, me)))
        if state.restarts:
            after = _hold(state, me, 0)._replace(restarts=state.restarts - 1)
            found.append((f"{me} is replaced", after))
        return found

    def invariants(self) -> dict[str, abc.Callable[[State], bool]]:
        """Return the properties."""
        return {
            "an accepted configuration never reverts": lambda state: (
                not state.reverted
            )
        }


def _hold(state: State, me: int, generation: int) -> State:
    held = list(state.held)
    held[me] = generation
    return state._replace(held=tuple(held))


def _serve(state: State, me: int) -> State:
    served = list(state.served)
    served[me] = max(served[me], state.held[me])
    is_older = state.held[me] < state.served[me]
    return state._replace(
        served=tuple(served), reverted=state.reverted or is_older
    )
