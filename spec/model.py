# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""The interface of a specification, and the exhaustive search of its states.

A specification is a small state machine of one part of the core protocol.
Each protection in the real code can be switched off here. The search then
has to find a state that violates an invariant: otherwise the protection is
unnecessary, or the specification too coarse to need it.
"""

from collections import abc
import typing

import attrs
import minicheck

STATE_LIMIT = 3_000_000

State = typing.Any
Transition = tuple[str, State]


class Specification(typing.Protocol):
    """One part of the core protocol."""

    @property
    def name(self) -> str:
        """Name of the specification in reports."""
        ...

    @property
    def protections(self) -> tuple[str, ...]:
        """Names of the protections that can be removed."""
        ...

    def initial(self) -> State:
        """Return the initial state, a named tuple."""
        ...

    def transitions(
        self, state: State, protections: frozenset[str], is_full: bool
    ) -> list[Transition]:
        """Return the transitions that are enabled in a state."""
        ...

    def invariants(self) -> dict[str, abc.Callable[[State], bool]]:
        """Return the invariants by name; each holds in every state."""
        ...


@attrs.frozen
class SearchResult:
    """Result of a search.

    :ivar state_count: number of reachable states.
    :ivar is_exhaustive: whether the search visited all of them.
    :ivar violated: invariants that some reachable state violates.
    :ivar trace: labels of a shortest path to a state that violates the first
        of them.
    """

    state_count: int
    is_exhaustive: bool
    violated: tuple[str, ...]
    trace: tuple[str, ...]


def check(
    specification: Specification,
    protections: frozenset[str],
    is_full: bool = False,
) -> SearchResult:
    """Search the reachable states, up to ``STATE_LIMIT``."""
    first = specification.initial()
    state_type = type(first)

    def over_fields(
        invariant: abc.Callable[[State], bool],
    ) -> abc.Callable[[dict[str, typing.Any]], bool]:
        return lambda fields: invariant(state_type(**fields))

    machine = minicheck.Protocol(
        name=specification.name,
        candidate=False,
        fields=first._fields,
        initial=first,
        transitions=lambda state: specification.transitions(
            state, protections, is_full
        ),
        invariants={
            name: over_fields(invariant)
            for name, invariant in specification.invariants().items()
        },
    )
    search = minicheck.check_safety(machine, max_states=STATE_LIMIT)
    violated = []
    trace: tuple[str, ...] = ()
    for name, outcome in search["properties"].items():
        if outcome["holds"] is False:
            violated.append(name)
            steps = outcome["counterexample"]
            trace = trace or tuple(step["label"] for step in steps[1:])
    return SearchResult(
        state_count=search["reachable_states"],
        is_exhaustive=bool(search["exhaustive"]),
        violated=tuple(violated),
        trace=trace,
    )
