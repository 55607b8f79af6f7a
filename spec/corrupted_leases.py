# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""A lease that another writer corrupts, in time steps.

The lease is kept in a sequence of objects; processes move to the next object
when one is corrupted. Each call of the store is a transition of its own. In
the first specification a process may pause between any two calls (safety); in
the second no process pauses, and the lease must not stay without a holder
(liveness).
"""

from collections import abc
import typing

from spec import model

CLOSES_OBJECT_FIRST = (
    "a corrupted object is closed before the next object is held"
)
WAITS_LEASE_DURATION = (
    "the next object is taken a whole lease duration after the closing"
)
CHECKS_NEXT_OBJECT = (
    "nobody takes the lease in an object that has a next object"
)
CREATES_FIRST = "the next object is created before one is closed"
REMOVED_IS_CORRUPTED = "an object that was removed counts as corrupted"
MOVES_ON = "processes move from a corrupted object to the next one"

# Processes never move on from the last object.
OBJECTS = 2
PROCESSES = 2
# Content of an object; a number from 0 is that of the holder. GONE is a holder
# that no longer runs.
ABSENT, FREE, CORRUPTED, CLOSED, GONE = -5, -4, -3, -2, -1
# What a process knows of the next object.
UNKNOWN, MISSING, PRESENT = 0, 1, 2
# Time steps for which a holder may act; others may take the lease one step
# later. A process that never pauses acts once in each step, so it needs two
# to remain the holder until it acts again.
HOLD_STEPS = 1
UNPAUSED_HOLD_STEPS = 2
# Maximum number of time steps without a holder: a lease duration until others
# take the lease of a crashed holder, one step until the corruption is read,
# and a lease duration until the next object may be taken.
IDLE_LIMIT_STEPS = 2 * (UNPAUSED_HOLD_STEPS + 1) + 1


class Process(typing.NamedTuple):
    """What one process knows.

    ``object_index``: the object that it uses.
    ``known_content``: the object's content when last read.
    ``has_read``: it has read the object at least once.
    ``was_present``: it knows that the object existed.
    ``is_current``: nobody wrote the object since it was read, so a
    conditional write succeeds.
    ``hold_left``: time steps for which the process may still act.
    ``unchanged_steps``: time steps since the process last read a change of
    the object.
    ``wait_left``: time steps in which it must not take the lease.
    ``took_lease_here``: it took the lease in this object.
    ``next_object``: what it knows of the next object.
    """

    object_index: int = 0
    known_content: int = ABSENT
    has_read: bool = False
    was_present: bool = False
    is_current: bool = False
    hold_left: int = 0
    unchanged_steps: int = 0
    wait_left: int = 0
    took_lease_here: bool = False
    next_object: int = UNKNOWN
    has_crashed: bool = False


class State(typing.NamedTuple):
    """The objects, the processes, and the faults that may still occur.

    ``hold_steps`` is the time for which a lease is held, ``idle_steps`` the
    time since somebody held it; ``have_read`` tells which processes have read
    in this time step.
    """

    objects: tuple[int, ...] = (ABSENT,) * OBJECTS
    processes: tuple[Process, ...] = (Process(),) * PROCESSES
    corruptions_left: int = 1
    old_writes_left: int = 1
    removals_left: int = 1
    crashes_left: int = 1
    hold_steps: int = HOLD_STEPS
    idle_steps: int = 0
    have_read: tuple[bool, ...] = (False,) * PROCESSES


class CorruptedLeases:
    """Safety: processes may pause at any time; another writer interferes.

    The other writer corrupts an object, and either overwrites an object with
    an old holder or removes an object, but not both: with the next object
    removed, a closed object that is overwritten would be used again.
    """

    name = "corrupted leases"
    protections: tuple[str, ...] = (
        CLOSES_OBJECT_FIRST,
        WAITS_LEASE_DURATION,
        CHECKS_NEXT_OBJECT,
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
            if is_full and state.crashes_left and process.has_read:
                after = _restart(state, number)
                found.append((f"{number} restarts", after))
        return found

    def invariants(self) -> dict[str, abc.Callable[[State], bool]]:
        """Return the invariants by name."""
        return {
            "two processes never hold the lease at once": _at_most_one_holder
        }


class UnpausedLeases:
    """Liveness: every process reads and acts in each time step.

    One process may crash. At any moment of each time step another writer may
    corrupt one object, but never the last.
    """

    name = "corrupted leases, liveness"
    protections: tuple[str, ...] = (MOVES_ON,)

    def initial(self) -> State:
        """Return the initial state."""
        return State(hold_steps=UNPAUSED_HOLD_STEPS)

    def transitions(
        self, state: State, protections: frozenset[str], is_full: bool
    ) -> list[model.Transition]:
        """Return the transitions that are enabled in a state."""
        protections |= {
            CLOSES_OBJECT_FIRST,
            WAITS_LEASE_DURATION,
            CHECKS_NEXT_OBJECT,
            CREATES_FIRST,
            REMOVED_IS_CORRUPTED,
        }
        found: list[model.Transition] = []
        if state.idle_steps > IDLE_LIMIT_STEPS:
            return found
        if state.corruptions_left:
            found += [
                (
                    f"object {object_index} is corrupted",
                    _corrupt(state, object_index),
                )
                for object_index, content in enumerate(state.objects[:-1])
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
                process.hold_left == state.hold_steps
                and process.took_lease_here
            )
            actions = (
                []
                if is_renewed
                else _process_transitions(state, number, protections)
            )
            is_done = is_done and not actions
            found += actions
            if state.crashes_left:
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
            "two processes never hold the lease at once": _at_most_one_holder,
        }


def _at_most_one_holder(state: State) -> bool:
    holders = [
        process
        for process in state.processes
        if Process(*process).hold_left > 0
    ]
    return len(holders) <= 1


def _writer_transitions(state: State) -> list[model.Transition]:
    """Return the transitions of the other writer."""
    found: list[model.Transition] = []
    for object_index, content in enumerate(state.objects):
        if content == ABSENT:
            continue
        if state.corruptions_left:
            corrupted = _write_object(state, object_index, CORRUPTED)
            corrupted = corrupted._replace(
                corruptions_left=state.corruptions_left - 1
            )
            found.append((f"object {object_index} is corrupted", corrupted))
        # Not after a removal, see CorruptedLeases.
        if state.old_writes_left and state.removals_left:
            overwritten = _write_object(state, object_index, GONE)
            overwritten = overwritten._replace(
                old_writes_left=state.old_writes_left - 1
            )
            found.append(
                (
                    f"object {object_index} is overwritten by an old holder",
                    overwritten,
                )
            )
        # To a process that has not seen the object, a removed object is the
        # same as one that was never created.
        was_seen_by_all = all(
            process.was_present for process in state.processes
        )
        if state.removals_left and state.old_writes_left and was_seen_by_all:
            removed = _write_object(state, object_index, ABSENT)
            removed = removed._replace(removals_left=state.removals_left - 1)
            found.append((f"object {object_index} is removed", removed))
    return found


def _process_transitions(
    state: State, number: int, protections: frozenset[str]
) -> list[model.Transition]:
    """Return the transitions of a process, except reading its object."""
    process = state.processes[number]
    if not process.has_read:
        return []
    is_last = process.object_index == len(state.objects) - 1
    must_move_on = process.known_content in (CORRUPTED, CLOSED) and not is_last
    if process.known_content == CORRUPTED and MOVES_ON not in protections:
        must_move_on = False
    if not must_move_on:
        if process.hold_left and process.took_lease_here:
            return [(f"{number} renews", _write(state, number, protections))]
        if not _may_take(process, number, state.hold_steps + 1):
            return []
        if (
            is_last
            or CHECKS_NEXT_OBJECT not in protections
            or process.next_object == MISSING
        ):
            return [
                (
                    f"{number} takes the lease",
                    _write(state, number, protections),
                )
            ]
    if process.next_object == UNKNOWN:
        return [
            (
                f"{number} looks up the next object",
                _look_up_next(state, number),
            )
        ]
    if process.next_object == MISSING and CREATES_FIRST in protections:
        return [
            (f"{number} creates the next object", _create_next(state, number))
        ]
    if process.known_content == CLOSED:
        # The process moves on after it reads the object again.
        return []
    return [
        (
            f"{number} closes its object",
            _close_object(state, number, protections),
        )
    ]


def _may_take(process: Process, number: int, lease_steps: int) -> bool:
    if process.hold_left:
        # A holder that moved on takes the lease in the next object at once.
        return not process.took_lease_here
    is_free = (
        process.known_content in (ABSENT, FREE, number)
        or process.unchanged_steps >= lease_steps
    )
    return is_free and not process.wait_left


def _write_object(state: State, object_index: int, content: int) -> State:
    """Write an object, which makes earlier reads of it outdated."""
    objects = list(state.objects)
    objects[object_index] = content
    processes = tuple(
        process._replace(is_current=False)
        if process.object_index == object_index
        else process
        for process in state.processes
    )
    return state._replace(objects=tuple(objects), processes=processes)


def _with_process(state: State, number: int, process: Process) -> State:
    processes = list(state.processes)
    processes[number] = process
    return state._replace(processes=tuple(processes))


def _corrupt(state: State, object_index: int) -> State:
    return _write_object(state, object_index, CORRUPTED)._replace(
        corruptions_left=0
    )


def _mark_read(state: State, number: int) -> State:
    have_read = list(state.have_read)
    have_read[number] = True
    return state._replace(have_read=tuple(have_read))


def _pass_time(state: State) -> State:
    processes = tuple(
        process._replace(
            hold_left=max(0, process.hold_left - 1),
            unchanged_steps=min(
                state.hold_steps + 1, process.unchanged_steps + 1
            )
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
        corruptions_left=1,
        idle_steps=0 if is_held else state.idle_steps + 1,
        have_read=(False,) * PROCESSES,
    )


def _restart(state: State, number: int) -> State:
    """Replace a process by a new one, which does not hold its lease."""
    restarted = Process(wait_left=state.hold_steps + 1)
    return _with_process(_crash(state, number), number, restarted)


def _crash(state: State, number: int) -> State:
    objects = tuple(
        GONE if content == number else content for content in state.objects
    )
    processes = tuple(
        process._replace(known_content=GONE)
        if process.known_content == number
        else process
        for process in state.processes
    )
    state = state._replace(
        objects=objects,
        processes=processes,
        crashes_left=state.crashes_left - 1,
    )
    return _with_process(state, number, Process(has_crashed=True))


def _read(state: State, number: int, protections: frozenset[str]) -> State:
    process = state.processes[number]
    content = state.objects[process.object_index]
    if (
        process.was_present
        and content == ABSENT
        and REMOVED_IS_CORRUPTED in protections
    ):
        content = CORRUPTED
    read_process = process
    if not process.is_current:
        is_replaced = content not in (CORRUPTED, CLOSED, number)
        is_lost = process.took_lease_here and is_replaced
        read_process = process._replace(
            known_content=content,
            has_read=True,
            was_present=process.was_present or content != ABSENT,
            is_current=True,
            unchanged_steps=0,
            hold_left=0 if is_lost else process.hold_left,
            next_object=PRESENT if process.next_object == PRESENT else UNKNOWN,
        )
    # A process moves on only if it read the closed object after it found the
    # next object.
    if read_process.known_content == CLOSED and process.next_object == PRESENT:
        read_process = _move_on(state, read_process, protections)
    return _with_process(state, number, read_process)


def _move_on(
    state: State, process: Process, protections: frozenset[str]
) -> Process:
    wait_left = (
        state.hold_steps + 1 if WAITS_LEASE_DURATION in protections else 0
    )
    return Process(
        process.object_index + 1,
        was_present=True,
        hold_left=process.hold_left,
        wait_left=wait_left,
    )


def _look_up_next(state: State, number: int) -> State:
    process = state.processes[number]
    is_present = state.objects[process.object_index + 1] != ABSENT
    return _with_process(
        state,
        number,
        process._replace(next_object=PRESENT if is_present else MISSING),
    )


def _create_next(state: State, number: int) -> State:
    process = state.processes[number]
    if state.objects[process.object_index + 1] == ABSENT:
        state = _write_object(state, process.object_index + 1, FREE)
    return _with_process(state, number, process._replace(next_object=PRESENT))


def _close_object(
    state: State, number: int, protections: frozenset[str]
) -> State:
    process = state.processes[number]
    if CLOSES_OBJECT_FIRST not in protections:
        return _with_process(
            state, number, _move_on(state, process, protections)
        )
    if not process.is_current:
        return _read(state, number, protections)
    after = _write_object(state, process.object_index, CLOSED)
    return _with_process(after, number, _move_on(state, process, protections))


def _write(state: State, number: int, protections: frozenset[str]) -> State:
    """Take or renew the lease if its object is unchanged since it was read."""
    process = state.processes[number]
    if not process.is_current:
        return _read(state, number, protections)
    after = _write_object(state, process.object_index, number)
    holder = process._replace(
        known_content=number,
        was_present=True,
        is_current=True,
        hold_left=state.hold_steps,
        unchanged_steps=0,
        took_lease_here=True,
        next_object=UNKNOWN,
    )
    return _with_process(after, number, holder)
