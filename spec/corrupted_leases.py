# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""A lease that another writer corrupts, in time steps.

The lease is kept in a sequence of objects; processes move to the next one
when an object is corrupted. Each call of the store is a transition of its
own. The first specification lets a process pause between any two of them
(safety); in the second none does, and the lease must not stay without a
holder (liveness).
"""

from collections import abc
import typing

from spec import model

CLOSES = "a corrupted object is closed before the next one is held"
WAITS = "the next one is taken a whole lease duration after that"
CHECKS = "nobody takes the lease in an object that has a next one"
CREATES_FIRST = "the next object is created before one is closed"
REMOVED_IS_CORRUPTED = "an object that was removed counts as corrupted"
MOVES_ON = "processes move from a corrupted object to the next one"

# Processes never move on from the last object.
PLACES = 2
PROCESSES = 2
# Content of a place, unless it is the number of the holder; GONE is a holder
# that no longer runs.
ABSENT, FREE, CORRUPTED, CLOSED, GONE = -5, -4, -3, -2, -1
# What a process knows of the next object.
UNKNOWN, MISSING, PRESENT = 0, 1, 2
# Time steps for which a holder may act; others may take the lease one step
# later. A process that never pauses needs two to hold it through one step.
HOLD_STEPS = 1
PROMPT_HOLD_STEPS = 2
# Most time steps without a holder: a lease duration until the crash of a
# holder shows, one step until the object is found to be corrupted, and a lease
# duration until the next object may be taken.
IDLE_LIMIT_STEPS = 2 * (PROMPT_HOLD_STEPS + 1) + 1


class Process(typing.NamedTuple):
    """What one process knows.

    ``is_current`` tells whether its place was not written since it read it,
    and so whether a conditional write succeeds. ``hold_left`` counts the time
    steps for which it may still act, ``unchanged`` those since its place last
    changed, ``wait_left`` those in which it must not take the lease.
    ``is_settled`` tells whether it took the lease in its present place,
    ``was_present`` whether it knows that the object there existed.
    """

    place: int = 0
    known: int = ABSENT
    has_read: bool = False
    was_present: bool = False
    is_current: bool = False
    hold_left: int = 0
    unchanged: int = 0
    wait_left: int = 0
    is_settled: bool = False
    next: int = UNKNOWN
    has_crashed: bool = False


class State(typing.NamedTuple):
    """The objects, the processes, and the faults that may still occur.

    ``hold_steps`` is the time for which a lease is held, ``idle_steps`` the
    time since somebody held it; ``have_read`` tells which processes have read
    in this time step.
    """

    places: tuple[int, ...] = (ABSENT,) * PLACES
    processes: tuple[Process, ...] = (Process(),) * PROCESSES
    corruptions: int = 1
    copies: int = 1
    removals: int = 1
    crashes: int = 1
    hold_steps: int = HOLD_STEPS
    idle_steps: int = 0
    have_read: tuple[bool, ...] = (False,) * PROCESSES


class CorruptedLeases:
    """Safety: processes may pause at any time; another writer interferes.

    It corrupts an object, and either writes an old holder back into one or
    removes one. It does not do both: a closed object that is written back is
    ignored only while the next one exists.
    """

    name = "corrupted leases"
    protections: tuple[str, ...] = (
        CLOSES,
        WAITS,
        CHECKS,
        CREATES_FIRST,
        REMOVED_IS_CORRUPTED,
    )

    def initial(self) -> State:
        """Return the initial state."""
        return State()

    def transitions(
        self, state: State, protections: frozenset[str], is_full: bool
    ) -> list[model.Transition]:
        """Return the transitions that are enabled in a state."""
        protections |= {MOVES_ON}
        found = [("time passes", _pass_time(state))]
        found += _writer_transitions(state)
        for number, process in enumerate(state.processes):
            after_read = _read(state, number, protections)
            found.append((f"{number} reads", after_read))
            found += _process_transitions(state, number, protections)
            if is_full and state.crashes and process.has_read:
                after = _restart(state, number)
                found.append((f"{number} restarts", after))
        return found

    def invariants(self) -> dict[str, abc.Callable[[State], bool]]:
        """Return the invariants by name."""
        return {"two processes never hold the lease at once": _has_one_holder}


class PromptLeases:
    """Liveness: every process reads and acts in each time step.

    One process may crash. At any moment of each time step another writer may
    corrupt one object, but never the last.
    """

    name = "corrupted leases, liveness"
    protections: tuple[str, ...] = (MOVES_ON,)

    def initial(self) -> State:
        """Return the initial state."""
        return State(hold_steps=PROMPT_HOLD_STEPS)

    def transitions(
        self, state: State, protections: frozenset[str], is_full: bool
    ) -> list[model.Transition]:
        """Return the transitions that are enabled in a state."""
        protections |= {
            CLOSES,
            WAITS,
            CHECKS,
            CREATES_FIRST,
            REMOVED_IS_CORRUPTED,
        }
        found: list[model.Transition] = []
        if state.idle_steps > IDLE_LIMIT_STEPS:
            return found
        if state.corruptions:
            found += [
                (f"{place} is corrupted", _corrupt(state, place))
                for place, content in enumerate(state.places[:-1])
                if content != ABSENT
            ]
        is_done = True
        for number, has_read_now in enumerate(state.have_read):
            process = state.processes[number]
            if process.has_crashed:
                continue
            if not has_read_now:
                after_read = _mark_read(
                    _read(state, number, protections), number
                )
                found.append((f"{number} reads", after_read))
                is_done = False
                continue
            is_renewed = (
                process.hold_left == state.hold_steps and process.is_settled
            )
            actions = (
                []
                if is_renewed
                else _process_transitions(state, number, protections)
            )
            is_done = is_done and not actions
            found += actions
            if state.crashes:
                found.append((f"{number} crashes", _crash(state, number)))
        if is_done:
            found.append(("time passes", _begin_step(state)))
        return found

    def invariants(self) -> dict[str, abc.Callable[[State], bool]]:
        """Return the invariants by name."""
        return {
            "the lease does not stay without a holder": (
                lambda state: state.idle_steps <= IDLE_LIMIT_STEPS
            ),
            "two processes never hold the lease at once": _has_one_holder,
        }


def _has_one_holder(state: State) -> bool:
    holders = [
        process
        for process in state.processes
        if Process(*process).hold_left > 0
    ]
    return len(holders) <= 1


def _writer_transitions(state: State) -> list[model.Transition]:
    """Return the transitions of the other writer."""
    found: list[model.Transition] = []
    for place, content in enumerate(state.places):
        if content == ABSENT:
            continue
        if state.corruptions:
            corrupted = _write_place(state, place, CORRUPTED)
            corrupted = corrupted._replace(corruptions=state.corruptions - 1)
            found.append((f"{place} is corrupted", corrupted))
        if state.copies and state.removals:
            copied = _write_place(state, place, GONE)
            copied = copied._replace(copies=state.copies - 1)
            found.append((f"{place} is overwritten by an old holder", copied))
        # A process takes a removed object that it never saw for one that never
        # existed.
        is_known = all(process.was_present for process in state.processes)
        if state.removals and state.copies and is_known:
            removed = _write_place(state, place, ABSENT)
            removed = removed._replace(removals=state.removals - 1)
            found.append((f"{place} is removed", removed))
    return found


def _process_transitions(
    state: State, number: int, protections: frozenset[str]
) -> list[model.Transition]:
    """Return the transitions of a process, except reading its place."""
    process = state.processes[number]
    if not process.has_read:
        return []
    is_last = process.place == len(state.places) - 1
    is_corrupted = process.known in (CORRUPTED, CLOSED) and not is_last
    if process.known == CORRUPTED and MOVES_ON not in protections:
        is_corrupted = False
    if not is_corrupted:
        if process.hold_left and process.is_settled:
            return [(f"{number} renews", _write(state, number, protections))]
        if not _may_take(process, number, state.hold_steps + 1):
            return []
        if is_last or CHECKS not in protections or process.next == MISSING:
            return [
                (
                    f"{number} takes the lease",
                    _write(state, number, protections),
                )
            ]
    if process.next == UNKNOWN:
        return [
            (
                f"{number} looks up the next object",
                _look_up_next(state, number),
            )
        ]
    if process.next == MISSING and CREATES_FIRST in protections:
        return [
            (f"{number} creates the next object", _create_next(state, number))
        ]
    if process.known == CLOSED:
        # It moves on once it has read its place again.
        return []
    return [
        (
            f"{number} closes its object",
            _close_place(state, number, protections),
        )
    ]


def _may_take(process: Process, number: int, lease_steps: int) -> bool:
    if process.hold_left:
        return not process.is_settled
    is_free = (
        process.known in (ABSENT, FREE, number)
        or process.unchanged >= lease_steps
    )
    return is_free and not process.wait_left


def _write_place(state: State, place: int, content: int) -> State:
    """Write an object, which makes earlier reads of it outdated."""
    places = list(state.places)
    places[place] = content
    processes = tuple(
        process._replace(is_current=False)
        if process.place == place
        else process
        for process in state.processes
    )
    return state._replace(places=tuple(places), processes=processes)


def _with_process(state: State, number: int, process: Process) -> State:
    processes = list(state.processes)
    processes[number] = process
    return state._replace(processes=tuple(processes))


def _corrupt(state: State, place: int) -> State:
    return _write_place(state, place, CORRUPTED)._replace(corruptions=0)


def _mark_read(state: State, number: int) -> State:
    have_read = list(state.have_read)
    have_read[number] = True
    return state._replace(have_read=tuple(have_read))


def _pass_time(state: State) -> State:
    processes = tuple(
        process._replace(
            hold_left=max(0, process.hold_left - 1),
            unchanged=min(state.hold_steps + 1, process.unchanged + 1)
            if process.has_read
            else 0,
            wait_left=max(0, process.wait_left - 1),
        )
        for process in state.processes
    )
    return state._replace(processes=processes)


def _begin_step(state: State) -> State:
    """Let time pass once no process can act any more in this step."""
    is_held = any(process.hold_left for process in state.processes)
    return _pass_time(state)._replace(
        corruptions=1,
        idle_steps=0 if is_held else state.idle_steps + 1,
        have_read=(False,) * PROCESSES,
    )


def _restart(state: State, number: int) -> State:
    """Replace a process by a new one, which does not hold its lease."""
    restarted = Process(wait_left=state.hold_steps + 1)
    return _with_process(_crash(state, number), number, restarted)


def _crash(state: State, number: int) -> State:
    places = tuple(
        GONE if content == number else content for content in state.places
    )
    processes = tuple(
        process._replace(known=GONE) if process.known == number else process
        for process in state.processes
    )
    state = state._replace(
        places=places, processes=processes, crashes=state.crashes - 1
    )
    return _with_process(state, number, Process(has_crashed=True))


def _read(state: State, number: int, protections: frozenset[str]) -> State:
    process = state.processes[number]
    content = state.places[process.place]
    if (
        process.was_present
        and content == ABSENT
        and REMOVED_IS_CORRUPTED in protections
    ):
        content = CORRUPTED
    read_process = process
    if not process.is_current:
        is_replaced = content not in (CORRUPTED, CLOSED, number)
        is_lost = process.is_settled and is_replaced
        read_process = process._replace(
            known=content,
            has_read=True,
            was_present=process.was_present or content != ABSENT,
            is_current=True,
            unchanged=0,
            hold_left=0 if is_lost else process.hold_left,
            next=PRESENT if process.next == PRESENT else UNKNOWN,
        )
    # A process moves on only if it read the closed object after it had found
    # the next one.
    if read_process.known == CLOSED and process.next == PRESENT:
        read_process = _move_on(state, read_process, protections)
    return _with_process(state, number, read_process)


def _move_on(
    state: State, process: Process, protections: frozenset[str]
) -> Process:
    wait_left = state.hold_steps + 1 if WAITS in protections else 0
    return Process(
        process.place + 1,
        was_present=True,
        hold_left=process.hold_left,
        wait_left=wait_left,
    )


def _look_up_next(state: State, number: int) -> State:
    process = state.processes[number]
    is_present = state.places[process.place + 1] != ABSENT
    return _with_process(
        state,
        number,
        process._replace(next=PRESENT if is_present else MISSING),
    )


def _create_next(state: State, number: int) -> State:
    process = state.processes[number]
    if state.places[process.place + 1] == ABSENT:
        state = _write_place(state, process.place + 1, FREE)
    return _with_process(state, number, process._replace(next=PRESENT))


def _close_place(
    state: State, number: int, protections: frozenset[str]
) -> State:
    process = state.processes[number]
    if CLOSES not in protections:
        return _with_process(
            state, number, _move_on(state, process, protections)
        )
    if not process.is_current:
        return _read(state, number, protections)
    after = _write_place(state, process.place, CLOSED)
    return _with_process(after, number, _move_on(state, process, protections))


def _write(state: State, number: int, protections: frozenset[str]) -> State:
    """Take or renew the lease if its place is unchanged since it was read."""
    process = state.processes[number]
    if not process.is_current:
        return _read(state, number, protections)
    after = _write_place(state, process.place, number)
    holder = process._replace(
        known=number,
        was_present=True,
        is_current=True,
        hold_left=state.hold_steps,
        unchanged=0,
        is_settled=True,
        next=UNKNOWN,
    )
    return _with_process(after, number, holder)
