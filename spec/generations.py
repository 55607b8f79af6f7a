# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Settings generations with delayed announcements and restarts."""

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
    """The store's generation, each instance's, and those announced.

    An instance's generation is 0 while it knows none; ``served_generations``
    has the highest under which any of its processes has worked.
    """

    stored: int = 1
    generations: tuple[int, ...] = (0,) * INSTANCES
    served_generations: tuple[int, ...] = (0,) * INSTANCES
    reverted: bool = False
    announced: frozenset[int] = frozenset()
    restarts_left: int = RESTARTS


class Generations:
    """Operators accept changes while instances restart."""

    name = "generations"
    protections = (ONLY_NEWER, READS_FIRST)

    def initial(self) -> State:
        """Return the initial state."""
        return State()

    def transitions(
        self, state: State, protections: frozenset[str], is_full: bool
    ) -> list[model.Transition]:
        """Return the transitions that are enabled in a state."""
        limit = FULL_GENERATIONS if is_full else GENERATIONS
        found: list[model.Transition] = []
        if state.stored < limit:
            accepted = state._replace(stored=state.stored + 1)
            found.append(("accept a change", accepted))
        found.append(
            (
                "announce the generation",
                state._replace(announced=state.announced | {state.stored}),
            )
        )
        for instance in range(INSTANCES):
            found += self._instance_transitions(state, instance, protections)
        return found

    def _instance_transitions(
        self, state: State, instance: int, protections: frozenset[str]
    ) -> list[model.Transition]:
        found: list[model.Transition] = [
            (
                f"{instance} reads the store",
                _with_generation(state, instance, state.stored),
            )
        ]
        for generation in sorted(state.announced):
            # An announcement may be outdated when a new process receives it.
            is_known = (
                state.generations[instance] > 0
                or READS_FIRST not in protections
            )
            is_newer = generation > state.generations[instance]
            if is_known and (is_newer or ONLY_NEWER not in protections):
                after = _with_generation(state, instance, generation)
                found.append((f"{instance} receives {generation}", after))
        if state.generations[instance]:
            found.append((f"{instance} works", _work(state, instance)))
        if state.restarts_left:
            after = _with_generation(state, instance, 0)._replace(
                restarts_left=state.restarts_left - 1
            )
            found.append((f"{instance} restarts", after))
        return found

    def invariants(self) -> dict[str, abc.Callable[[State], bool]]:
        """Return the invariants by name."""
        return {
            "an accepted configuration never reverts": lambda state: (
                not state.reverted
            )
        }


def _with_generation(state: State, instance: int, generation: int) -> State:
    generations = list(state.generations)
    generations[instance] = generation
    return state._replace(generations=tuple(generations))


def _work(state: State, instance: int) -> State:
    served_generations = list(state.served_generations)
    served_generations[instance] = max(
        served_generations[instance], state.generations[instance]
    )
    is_older = state.generations[instance] < state.served_generations[instance]
    return state._replace(
        served_generations=tuple(served_generations),
        reverted=state.reverted or is_older,
    )
