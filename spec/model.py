# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""What every specification has, and how it is checked.

A specification is a small state machine of one part of the core protocol.
Each protection of the real code has a switch here; with a protection
removed, the checker has to find a state that breaks a promise, or the
protection (or its model) is worth nothing.
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
        """Name of the part."""
        ...

    @property
    def protections(self) -> tuple[str, ...]:
        """Names of the protections that can be removed."""
        ...

    def initial(self) -> State:
        """Return the first state, a named tuple."""
        ...

    def transitions(
        self, state: State, protections: frozenset[str], is_full: bool
    ) -> list[Transition]:
        """Return what may happen next."""
        ...

    def invariants(self) -> dict[str, abc.Callable[[State], bool]]:
        """Return the properties, in the words of the promises."""
        ...


@attrs.frozen
class Verdict:
    """What the checker found.

    :ivar states: how many states are reachable.
    :ivar broken: promises that a reachable state breaks.
    :ivar trace: labels of the shortest way to the first of these.
    """

    states: int
    is_exhaustive: bool
    violated: tuple[str, ...]
    trace: tuple[str, ...]


def check(
    specification: Specification,
    protections: frozenset[str],
    is_full: bool = False,
) -> Verdict:
    """Search every reachable state."""
    first = specification.initial()
    make = type(first)

    def promise_of(
        promise: abc.Callable[[State], bool],
    ) -> abc.Callable[[dict[str, typing.Any]], bool]:
        return lambda fields: promise(make(**fields))

    machine = minicheck.Protocol(
        name=specification.name,
        candidate=False,
        fields=first._fields,
        initial=first,
        transitions=lambda state: specification.transitions(
            state, protections, is_full
        ),
        invariants={
            name: promise_of(promise)
            for name, promise in specification.invariants().items()
        },
    )
    found = minicheck.check_safety(machine, max_states=STATE_LIMIT)
    violated = []
    trace: tuple[str, ...] = ()
    for name, result in found["properties"].items():
        if result["holds"] is False:
            violated.append(name)
            steps = result["counterexample"]
            trace = trace or tuple(step["label"] for step in steps[1:])
    return Verdict(
        states=found["reachable_states"],
        is_exhaustive=bool(found["exhaustive"]),
        violated=tuple(violated),
        trace=trace,
    )
