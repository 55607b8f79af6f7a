# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Turns of one session across a crash of its home.

The home of a session is the instance that grants its turns.
"""

from collections import abc
import typing

from spec import model

WAITS_FOR_NOTICE = (
    "the new home grants no turn until all entries noticed the crash"
)
REGISTERS_AT_NEW_HOME = "the holder of a turn registers it at the new home"
ONE_HOLDER = "a home grants one turn at a time"

ENTRIES = 2
FULL_ENTRIES = 3
NOBODY = -1


class State(typing.NamedTuple):
    """The turn holders at both homes, and each entry's phase.

    ``noticed`` tells which entries know that the old home crashed.
    """

    is_old_home_alive: bool = True
    old_holder: int = NOBODY
    new_holder: int = NOBODY
    has_new_home_waited: bool = False
    phases: tuple[str, ...] = ("idle",) * FULL_ENTRIES
    noticed: tuple[bool, ...] = (False,) * FULL_ENTRIES


class Turns:
    """Turns granted by the old home, and by the new home after a wait.

    The wait is assumed to outlast failure detection.
    """

    name = "turns"
    protections = (WAITS_FOR_NOTICE, REGISTERS_AT_NEW_HOME, ONE_HOLDER)

    def initial(self) -> State:
        """Return the initial state."""
        return State()

    def transitions(
        self, state: State, protections: frozenset[str], is_full: bool
    ) -> list[model.Transition]:
        """Return the transitions that are enabled in a state."""
        entries = range(FULL_ENTRIES if is_full else ENTRIES)
        found: list[model.Transition] = []
        if state.is_old_home_alive:
            died = state._replace(is_old_home_alive=False, old_holder=NOBODY)
            found.append(("the home crashes", died))
        if not state.is_old_home_alive and not state.has_new_home_waited:
            if all(state.noticed[entry] for entry in entries):
                waited = state._replace(has_new_home_waited=True)
                found.append(("the new home has waited", waited))
        for entry in entries:
            found += self._entry_transitions(state, entry, protections)
        return found

    def _entry_transitions(
        self, state: State, entry: int, protections: frozenset[str]
    ) -> list[model.Transition]:
        found: list[model.Transition] = []
        if state.phases[entry] == "idle":
            found += self._grant(state, entry, protections)
        if state.phases[entry] == "running":
            found.append((f"{entry} ends", self._end(state, entry)))
        if not state.is_old_home_alive and not state.noticed[entry]:
            found.append(
                (f"{entry} notices", self._notice(state, entry, protections))
            )
        return found

    def _grant(
        self, state: State, entry: int, protections: frozenset[str]
    ) -> list[model.Transition]:
        is_single = ONE_HOLDER in protections
        if not state.noticed[entry]:
            is_free = state.old_holder == NOBODY or not is_single
            if state.is_old_home_alive and is_free:
                granted = _with_phase(state, entry, "running")._replace(
                    old_holder=entry
                )
                return [(f"{entry} gets a turn", granted)]
            return []
        is_free = state.new_holder == NOBODY or not is_single
        if is_free and (
            state.has_new_home_waited or WAITS_FOR_NOTICE not in protections
        ):
            granted = _with_phase(state, entry, "running")._replace(
                new_holder=entry
            )
            return [(f"{entry} gets a turn at the new home", granted)]
        return []

    def _end(self, state: State, entry: int) -> State:
        after = _with_phase(state, entry, "done")
        if state.old_holder == entry:
            after = after._replace(old_holder=NOBODY)
        if state.new_holder == entry:
            after = after._replace(new_holder=NOBODY)
        return after

    def _notice(
        self, state: State, entry: int, protections: frozenset[str]
    ) -> State:
        noticed = list(state.noticed)
        noticed[entry] = True
        after = state._replace(noticed=tuple(noticed))
        is_running = state.phases[entry] == "running"
        if is_running and REGISTERS_AT_NEW_HOME in protections:
            return after._replace(new_holder=entry)
        return after

    def invariants(self) -> dict[str, abc.Callable[[State], bool]]:
        """Return the invariants by name."""
        return {
            "a session's turns run one at a time": lambda state: (
                state.phases.count("running") <= 1
            )
        }


def _with_phase(state: State, entry: int, phase: str) -> State:
    phases = list(state.phases)
    phases[entry] = phase
    return state._replace(phases=tuple(phases))
