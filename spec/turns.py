# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Turns of one session across the death of its home."""

from collections import abc
import typing

from spec import model

SETTLES = "a moved session waits until its entries have noticed"
COMES_FORWARD = "the holder of a turn comes forward at the new home"
ONE_HOLDER = "a home grants one turn at a time"

ENTRIES = 2
FULL_ENTRIES = 3
NOBODY = -1


class State(typing.NamedTuple):
    """Both homes' holders, and each entry's phase and view."""

    is_alive: bool = True
    old_holder: int = NOBODY
    new_holder: int = NOBODY
    has_settled: bool = False
    phases: tuple[str, ...] = ("idle",) * FULL_ENTRIES
    noticed: tuple[bool, ...] = (False,) * FULL_ENTRIES


class Turns:
    """The settling time outlasts detection: that is assumed, not shown."""

    name = "turns"
    protections = (SETTLES, COMES_FORWARD, ONE_HOLDER)

    def initial(self) -> State:
        """Return the first state."""
        return State()

    def transitions(
        self, state: State, protections: frozenset[str], is_full: bool
    ) -> list[model.Transition]:
        """Return what may happen next."""
        entries = range(FULL_ENTRIES if is_full else ENTRIES)
        found: list[model.Transition] = []
        if state.is_alive:
            died = state._replace(is_alive=False, old_holder=NOBODY)
            found.append(("the home dies", died))
        if not state.is_alive and not state.has_settled:
            if all(state.noticed[me] for me in entries):
                settled = state._replace(has_settled=True)
                found.append(("the new home settles", settled))
        for me in entries:
            found += self._moves(state, me, protections)
        return found

    def _moves(
        self, state: State, me: int, protections: frozenset[str]
    ) -> list[model.Transition]:
        found: list[model.Transition] = []
        if state.phases[me] == "idle":
            found += self._take(state, me, protections)
        if state.phases[me] == "running":
            found.append((f"{me} ends", self._end(state, me)))
        if not state.is_alive and not state.noticed[me]:
            found.append(
                (f"{me} notices", self._notice(state, me, protections))
            )
        return found

    def _take(
        self, state: State, me: int, protections: frozenset[str]
    ) -> list[model.Transition]:
        is_single = ONE_HOLDER in protections
        if not state.noticed[me]:
            is_free = state.old_holder == NOBODY or not is_single
            if state.is_alive and is_free:
                granted = _phase(state, me, "running")._replace(old_holder=me)
                return [(f"{me} gets a turn", granted)]
            return []
        is_free = state.new_holder == NOBODY or not is_single
        if is_free and (state.has_settled or SETTLES not in protections):
            granted = _phase(state, me, "running")._replace(new_holder=me)
            return [(f"{me} gets a turn at the new home", granted)]
        return []

    def _end(self, state: State, me: int) -> State:
        after = _phase(state, me, "done")
        if state.old_holder == me:
            after = after._replace(old_holder=NOBODY)
        if state.new_holder == me:
            after = after._replace(new_holder=NOBODY)
        return after

    def _notice(
        self, state: State, me: int, protections: frozenset[str]
    ) -> State:
        noticed = list(state.noticed)
        noticed[me] = True
        after = state._replace(noticed=tuple(noticed))
        holds = state.phases[me] == "running"
        if holds and COMES_FORWARD in protections:
            return after._replace(new_holder=me)
        return after

    def invariants(self) -> dict[str, abc.Callable[[State], bool]]:
        """Return the properties."""
        return {
            "a session's turns run one at a time": lambda state: (
                state.phases.count("running") <= 1
            )
        }


def _phase(state: State, me: int, phase: str) -> State:
    phases = list(state.phases)
    phases[me] = phase
    return state._replace(phases=tuple(phases))
