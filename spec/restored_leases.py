# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""A lease whose store is restored from an older backup, in time steps."""

from collections import abc
import typing

from spec import model

WAITS_AFTER_NEW_EPOCH = (
    "a process that sees a new epoch waits a lease duration before it takes "
    "the lease"
)
WAITS_AFTER_START = (
    "a process that joins an existing fleet waits a lease duration before it "
    "takes the lease"
)
DISREGARDS_OTHER_EPOCHS = (
    "a write that is answered in another epoch is disregarded"
)
TERMS_INCLUDE_EPOCH = (
    "terms of a later epoch are higher than those of earlier ones"
)
TERMS_INCLUDE_VERSION = (
    "the first term of an epoch leaves room for one per version of the lease"
)

# Time steps for which a holder may act, and after which others may take an
# unchanged lease.
HOLD_STEPS = 1
LEASE_STEPS = 2
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

    ``hold_left`` counts the time steps for which it may still act,
    ``unchanged_steps`` those since it last saw the lease change, ``wait_left``
    those in which it must not take the lease.
    """

    epoch: int = UNKNOWN
    known: Stored = Stored()
    hold_left: int = 0
    unchanged_steps: int = 0
    wait_left: int = 0


class State(typing.NamedTuple):
    """Store, backup, processes, and the highest term of any holder.

    ``is_term_reused`` tells whether a holder took a term that is not
    higher than all earlier ones; ``has_restarted`` whether a process
    restarted, so that a process that starts now joins an existing fleet.
    """

    epoch: int = 0
    stored: Stored = Stored()
    backup: Stored = Stored()
    processes: tuple[Process, ...] = (Process(),) * PROCESSES
    highest_term: int = 0
    is_term_reused: bool = False
    has_restarted: bool = False


class RestoredLeases:
    """Processes read, take and renew the lease; the store is restored."""

    name = "restored leases"
    protections = (
        WAITS_AFTER_NEW_EPOCH,
        WAITS_AFTER_START,
        DISREGARDS_OTHER_EPOCHS,
        TERMS_INCLUDE_EPOCH,
        TERMS_INCLUDE_VERSION,
    )

    def initial(self) -> State:
        """Return the initial state."""
        return State()

    def transitions(
        self, state: State, protections: frozenset[str], is_full: bool
    ) -> list[model.Transition]:
        """Return the transitions that are enabled in a state."""
        limit = FULL_VERSION_LIMIT if is_full else VERSION_LIMIT
        found: list[model.Transition] = [
            ("time passes", _pass_time(state)),
            ("the store is backed up", state._replace(backup=state.stored)),
        ]
        # In a new fleet all processes read the store before its first restore.
        have_all_read = all(
            process.epoch != UNKNOWN for process in state.processes
        )
        if state.epoch < 1 and (have_all_read or state.has_restarted):
            restored = state._replace(epoch=1, stored=state.backup)
            found.append(("the store is restored", restored))
        for number, process in enumerate(state.processes):
            read = _read(state, process, protections)
            found.append(
                (f"{number} reads", _with_process(state, number, read))
            )
            if process.epoch != UNKNOWN and not state.has_restarted:
                restarted = _with_process(state, number, Process())
                restarted = restarted._replace(has_restarted=True)
                found.append((f"{number} restarts", restarted))
            if state.stored.version < limit and _may_write(process, number):
                after = _write(state, number, process, protections)
                found.append((f"{number} writes", after))
        return found

    def invariants(self) -> dict[str, abc.Callable[[State], bool]]:
        """Return the invariants by name."""
        return {
            "two processes never hold the lease at once": (
                lambda state: (
                    sum(
                        Process(*process).hold_left > 0
                        for process in state.processes
                    )
                    <= 1
                )
            ),
            "a term is never taken twice": lambda state: (
                not state.is_term_reused
            ),
        }


def _with_process(state: State, number: int, process: Process) -> State:
    processes = list(state.processes)
    processes[number] = process
    return state._replace(processes=tuple(processes))


def _pass_time(state: State) -> State:
    return state._replace(
        processes=tuple(
            process._replace(
                hold_left=max(0, process.hold_left - 1),
                unchanged_steps=min(LEASE_STEPS, process.unchanged_steps + 1),
                wait_left=max(0, process.wait_left - 1),
            )
            for process in state.processes
        )
    )


def _read(
    state: State, process: Process, protections: frozenset[str]
) -> Process:
    if process.epoch == UNKNOWN:
        # The first processes of a fleet know that no lease was held before.
        is_existing_fleet = (
            state.has_restarted and WAITS_AFTER_START in protections
        )
        wait_left = LEASE_STEPS if is_existing_fleet else 0
        return Process(state.epoch, state.stored, 0, 0, wait_left)
    if process.epoch != state.epoch:
        wait_left = LEASE_STEPS if WAITS_AFTER_NEW_EPOCH in protections else 0
        return Process(
            state.epoch, state.stored, process.hold_left, 0, wait_left
        )
    if process.known != state.stored:
        return process._replace(known=state.stored, unchanged_steps=0)
    return process


def _may_write(process: Process, number: int) -> bool:
    """Whether a process may renew or take the lease."""
    if process.epoch == UNKNOWN:
        return False
    if process.hold_left:
        return True
    if process.wait_left:
        return False
    is_free = (
        process.known.holder == NOBODY
        or process.unchanged_steps >= LEASE_STEPS
    )
    return process.known.holder == number or is_free


def _write(
    state: State, number: int, process: Process, protections: frozenset[str]
) -> State:
    """Write the lease if its version is the one last read."""
    if process.known.version != state.stored.version:
        # Refused: within the same epoch another process wrote the lease.
        is_same_epoch = process.epoch == state.epoch
        hold_left = 0 if is_same_epoch else process.hold_left
        read = _read(state, process._replace(hold_left=hold_left), protections)
        return _with_process(state, number, read)
    floor = (
        TERMS_PER_EPOCH * process.epoch
        if TERMS_INCLUDE_EPOCH in protections
        else 0
    )
    term = process.known.term
    lacks_current_term = process.known.holder != number or term <= floor
    if lacks_current_term and not process.hold_left:
        leaves_room = term <= floor and TERMS_INCLUDE_VERSION in protections
        increment = max(1, process.known.version) if leaves_room else 1
        term = max(term, floor) + increment
    elif lacks_current_term:
        # The holder's term is the highest; it keeps it when it writes its
        # lease again after a restore.
        term = state.highest_term
    stored = Stored(state.stored.version + 1, number, term)
    after = state._replace(stored=stored)
    if process.epoch != state.epoch and DISREGARDS_OTHER_EPOCHS in protections:
        return _with_process(after, number, _read(after, process, protections))
    takes_new_term = lacks_current_term and not process.hold_left
    after = after._replace(
        highest_term=max(state.highest_term, term),
        is_term_reused=state.is_term_reused
        or takes_new_term
        and term <= state.highest_term,
    )
    return _with_process(
        after,
        number,
        process._replace(
            known=stored, hold_left=HOLD_STEPS, unchanged_steps=0
        ),
    )
