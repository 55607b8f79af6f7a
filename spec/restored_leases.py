# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""A lease whose store comes back from an older copy, in steps of time."""

from collections import abc
import typing

from spec import model

WAITS = "nobody takes it for its whole length after meeting an epoch"
START_WAITS = "nor does a process that starts in an old fleet"
COUNTS = "a write answered in another epoch counts for nothing"
TERMS = "terms of a later epoch are higher than all before"
VERSIONS = "the first term that is known of an epoch is not its first"

# Steps of time for which a holder may act, and after which others may take
# the lease from it.
HOLD = 1
LENGTH = 2
VERSION_LIMIT = 4
FULL_VERSION_LIMIT = 5
TERMS_PER_EPOCH = 10
PROCESSES = 2
NOBODY = -1
UNKNOWN = -1


class Stored(typing.NamedTuple):
    """The lease in the store; version 0 where there is none."""

    version: int = 0
    holder: int = NOBODY
    term: int = 0


class Process(typing.NamedTuple):
    """What one process knows.

    ``held`` counts the steps for which it may act yet, ``seen`` those since
    when the lease did not change, ``barred`` those in which it must not
    take it.
    """

    epoch: int = UNKNOWN
    known: Stored = Stored()
    held: int = 0
    seen: int = 0
    barred: int = 0


class State(typing.NamedTuple):
    """Store, backup, and processes; the highest term that was given."""

    epoch: int = 0
    stored: Stored = Stored()
    backup: Stored = Stored()
    processes: tuple[Process, ...] = (Process(),) * PROCESSES
    given: int = 0
    is_reused: bool = False
    has_started: bool = False


class RestoredLeases:
    """Processes look, take, renew and start anew; the store goes back."""

    name = "restored leases"
    protections = (WAITS, START_WAITS, COUNTS, TERMS, VERSIONS)

    def initial(self) -> State:
        """Return the first state."""
        return State()

    def transitions(
        self, state: State, protections: frozenset[str], is_full: bool
    ) -> list[model.Transition]:
        """Return what may happen next."""
        limit = FULL_VERSION_LIMIT if is_full else VERSION_LIMIT
        found: list[model.Transition] = [
            ("time passes", _pass_time(state)),
            ("the store is copied", state._replace(backup=state.stored)),
        ]
        # A new fleet has looked before its store first comes back.
        has_looked = all(one.epoch != UNKNOWN for one in state.processes)
        if state.epoch < 1 and (has_looked or state.has_started):
            back = state._replace(epoch=1, stored=state.backup)
            found.append(("the store comes back", back))
        for number, one in enumerate(state.processes):
            looked = _look(state, one, protections)
            found.append((f"{number} looks", _put(state, number, looked)))
            if one.epoch != UNKNOWN and not state.has_started:
                fresh = _put(state, number, Process())
                fresh = fresh._replace(has_started=True)
                found.append((f"{number} starts anew", fresh))
            if state.stored.version < limit and _may_write(one, number):
                after = _write(state, number, one, protections)
                found.append((f"{number} writes", after))
        return found

    def invariants(self) -> dict[str, abc.Callable[[State], bool]]:
        """Return the properties."""
        return {
            "two never hold it at once": (
                lambda state: (
                    sum(Process(*one).held > 0 for one in state.processes) <= 1
                )
            ),
            "a term is never given twice": lambda state: not state.is_reused,
        }


def _put(state: State, number: int, process: Process) -> State:
    processes = list(state.processes)
    processes[number] = process
    return state._replace(processes=tuple(processes))


def _pass_time(state: State) -> State:
    return state._replace(
        processes=tuple(
            one._replace(
                held=max(0, one.held - 1),
                seen=min(LENGTH, one.seen + 1),
                barred=max(0, one.barred - 1),
            )
            for one in state.processes
        )
    )


def _look(state: State, one: Process, protections: frozenset[str]) -> Process:
    if one.epoch == UNKNOWN:
        # The very first processes of a fleet know that they are.
        is_old = state.has_started and START_WAITS in protections
        barred = LENGTH if is_old else 0
        return Process(state.epoch, state.stored, 0, 0, barred)
    if one.epoch != state.epoch:
        barred = LENGTH if WAITS in protections else 0
        return Process(state.epoch, state.stored, one.held, 0, barred)
    if one.known != state.stored:
        return one._replace(known=state.stored, seen=0)
    return one


def _may_write(one: Process, number: int) -> bool:
    """Whether a process renews the lease, or takes it."""
    if one.epoch == UNKNOWN:
        return False
    if one.held:
        return True
    if one.barred:
        return False
    is_free = one.known.holder == NOBODY or one.seen >= LENGTH
    return one.known.holder == number or is_free


def _write(
    state: State, number: int, one: Process, protections: frozenset[str]
) -> State:
    """Write the lease if it is at the version that is known."""
    if one.known.version != state.stored.version:
        # Refused; whether another wrote it shows when it is read.
        is_same = one.epoch == state.epoch
        held = 0 if is_same else one.held
        looked = _look(state, one._replace(held=held), protections)
        return _put(state, number, looked)
    floor = TERMS_PER_EPOCH * one.epoch if TERMS in protections else 0
    term = one.known.term
    is_new = one.known.holder != number or term <= floor
    if is_new and not one.held:
        is_hidden = term <= floor and VERSIONS in protections
        step = max(1, one.known.version) if is_hidden else 1
        term = max(term, floor) + step
    elif is_new:
        # Written back by its holder, in the term that it has.
        term = state.given
    stored = Stored(state.stored.version + 1, number, term)
    after = state._replace(stored=stored)
    if one.epoch != state.epoch and COUNTS in protections:
        return _put(after, number, _look(after, one, protections))
    is_given = is_new and not one.held
    after = after._replace(
        given=max(state.given, term),
        is_reused=state.is_reused or is_given and term <= state.given,
    )
    return _put(after, number, one._replace(known=stored, held=HOLD, seen=0))
