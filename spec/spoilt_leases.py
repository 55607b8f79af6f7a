# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""A lease that another writer spoils, in steps of time.

It stands in one object after the other. Each call of the store is a step of
its own. In the first model a process may be slow between any two of them; in
the second one it is not, and somebody has to hold the lease in the end.
"""

from collections import abc
import typing

from spec import model

CLOSES = "a spoilt object is closed before the next one is held"
WAITS = "the next one is taken a whole length after that"
CHECKS = "nobody begins to hold an object that has a next one"
MAKES_FIRST = "the next object is there before one is closed"
MISSES = "an object that was removed is a spoilt one"
LEAVES = "a spoilt object is left for the next one"

# The last object is held once it is free, and left by nobody.
PLACES = 2
PROCESSES = 2
# What a place holds: a holder's number, or one of these.
ABSENT, FREE, SPOILT, CLOSED, GONE = -5, -4, -3, -2, -1
# What is known of the next object.
UNKNOWN, MISSING, THERE = 0, 1, 2
# Steps of time for which a holder may act. Others may take the lease from it
# after one more. Who does everything at once holds it through one step.
HOLD = 1
PROMPT_HOLD = 2
# Steps without a holder: of one that died nothing is known for a whole length
# at most. What it held is found spoilt at the next look, and the object after
# it is taken a whole length later.
IDLE_LIMIT = 2 * (PROMPT_HOLD + 1) + 1


class Process(typing.NamedTuple):
    """What one process knows.

    ``is_current`` tells whether its place was not written since it read it,
    and so whether a conditional write succeeds. ``held`` counts the steps for
    which it may act yet, ``seen`` those since when the place did not change,
    ``barred`` those in which it must not take the lease. What it holds it
    began in this place if it ``is_settled``; that it ``was_there`` it knows of
    its place.
    """

    place: int = 0
    known: int = ABSENT
    has_read: bool = False
    was_there: bool = False
    is_current: bool = False
    held: int = 0
    seen: int = 0
    barred: int = 0
    is_settled: bool = False
    next: int = UNKNOWN
    is_dead: bool = False


class State(typing.NamedTuple):
    """The objects, the processes, and what others may do yet.

    ``hold`` counts the steps for which a lease is held, ``idle`` those in
    which nobody held it; ``looked`` tells who has looked in this one.
    """

    places: tuple[int, ...] = (ABSENT,) * PLACES
    processes: tuple[Process, ...] = (Process(),) * PROCESSES
    spoils: int = 1
    copies: int = 1
    removals: int = 1
    deaths: int = 1
    hold: int = HOLD
    idle: int = 0
    looked: tuple[bool, ...] = (False,) * PROCESSES


class SpoiltLeases:
    """Processes look, take, renew, move and end; another writes as well.

    It spoils an object, and writes an old holder back into one or removes
    one. Not both: what was closed and is written back counts for nothing
    while the next one is there.
    """

    name = "spoilt leases"
    protections: tuple[str, ...] = (CLOSES, WAITS, CHECKS, MAKES_FIRST, MISSES)

    def initial(self) -> State:
        """Return the first state."""
        return State()

    def transitions(
        self, state: State, protections: frozenset[str], is_full: bool
    ) -> list[model.Transition]:
        """Return what may happen next."""
        protections |= {LEAVES}
        found = [("time passes", _pass_time(state))]
        found += _interfere(state)
        for number, one in enumerate(state.processes):
            looked = _look(state, number, protections)
            found.append((f"{number} looks", looked))
            found += _acts(state, number, protections)
            if is_full and state.deaths and one.has_read:
                after = _start_anew(state, number)
                found.append((f"{number} starts anew", after))
        return found

    def invariants(self) -> dict[str, abc.Callable[[State], bool]]:
        """Return the properties."""
        return {"two never hold it at once": _is_held_once}


class PromptLeases:
    """All look once in each step, and do at once what they may.

    One of them dies, and in each step another writer spoils one of the
    objects, at any moment of it. The last one it leaves alone.
    """

    name = "spoilt leases, in the end"
    protections: tuple[str, ...] = (LEAVES,)

    def initial(self) -> State:
        """Return the first state."""
        return State(hold=PROMPT_HOLD)

    def transitions(
        self, state: State, protections: frozenset[str], is_full: bool
    ) -> list[model.Transition]:
        """Return what may happen next."""
        protections |= {CLOSES, WAITS, CHECKS, MAKES_FIRST, MISSES}
        found: list[model.Transition] = []
        if state.idle > IDLE_LIMIT:
            return found
        if state.spoils:
            found += [
                (f"{place} is spoilt", _spoil(state, place))
                for place, content in enumerate(state.places[:-1])
                if content != ABSENT
            ]
        is_done = True
        for number, has_looked in enumerate(state.looked):
            one = state.processes[number]
            if one.is_dead:
                continue
            if not has_looked:
                looked = _mark(_look(state, number, protections), number)
                found.append((f"{number} looks", looked))
                is_done = False
                continue
            is_renewed = one.held == state.hold and one.is_settled
            acts = [] if is_renewed else _acts(state, number, protections)
            is_done = is_done and not acts
            found += acts
            if state.deaths:
                found.append((f"{number} dies", _die(state, number)))
        if is_done:
            found.append(("time passes", _begin_step(state)))
        return found

    def invariants(self) -> dict[str, abc.Callable[[State], bool]]:
        """Return the properties."""
        return {
            "somebody holds it in the end": (
                lambda state: state.idle <= IDLE_LIMIT
            ),
            "two never hold it at once": _is_held_once,
        }


def _is_held_once(state: State) -> bool:
    holders = [one for one in state.processes if Process(*one).held > 0]
    return len(holders) <= 1


def _interfere(state: State) -> list[model.Transition]:
    """Return what another writer may do."""
    found: list[model.Transition] = []
    for place, content in enumerate(state.places):
        if content == ABSENT:
            continue
        if state.spoils:
            spoilt = _put(state, place, SPOILT)
            spoilt = spoilt._replace(spoils=state.spoils - 1)
            found.append((f"{place} is spoilt", spoilt))
        if state.copies and state.removals:
            copied = _put(state, place, GONE)
            copied = copied._replace(copies=state.copies - 1)
            found.append((f"{place} is copied back", copied))
        # Who never saw an object takes it for one that never was.
        is_known = all(one.was_there for one in state.processes)
        if state.removals and state.copies and is_known:
            removed = _put(state, place, ABSENT)
            removed = removed._replace(removals=state.removals - 1)
            found.append((f"{place} is removed", removed))
    return found


def _acts(
    state: State, number: int, protections: frozenset[str]
) -> list[model.Transition]:
    """Return what a process may do next, beside looking."""
    one = state.processes[number]
    if not one.has_read:
        return []
    is_last = one.place == len(state.places) - 1
    is_spoilt = one.known in (SPOILT, CLOSED) and not is_last
    if one.known == SPOILT and LEAVES not in protections:
        is_spoilt = False
    if not is_spoilt:
        if one.held and one.is_settled:
            return [(f"{number} renews", _write(state, number, protections))]
        if not _may_begin(one, number, state.hold + 1):
            return []
        if is_last or CHECKS not in protections or one.next == MISSING:
            return [(f"{number} takes it", _write(state, number, protections))]
    if one.next == UNKNOWN:
        return [(f"{number} asks for the next", _ask(state, number))]
    if one.next == MISSING and MAKES_FIRST in protections:
        return [(f"{number} makes the next", _make(state, number))]
    if one.known == CLOSED:
        # To be looked at once more.
        return []
    return [(f"{number} closes", _close(state, number, protections))]


def _may_begin(one: Process, number: int, length: int) -> bool:
    if one.held:
        return not one.is_settled
    is_free = one.known in (ABSENT, FREE, number) or one.seen >= length
    return is_free and not one.barred


def _put(state: State, place: int, content: int) -> State:
    """Write an object; what was read of it before is no longer current."""
    places = list(state.places)
    places[place] = content
    processes = tuple(
        one._replace(is_current=False) if one.place == place else one
        for one in state.processes
    )
    return state._replace(places=tuple(places), processes=processes)


def _set(state: State, number: int, process: Process) -> State:
    processes = list(state.processes)
    processes[number] = process
    return state._replace(processes=tuple(processes))


def _spoil(state: State, place: int) -> State:
    return _put(state, place, SPOILT)._replace(spoils=0)


def _mark(state: State, number: int) -> State:
    looked = list(state.looked)
    looked[number] = True
    return state._replace(looked=tuple(looked))


def _pass_time(state: State) -> State:
    processes = tuple(
        one._replace(
            held=max(0, one.held - 1),
            seen=min(state.hold + 1, one.seen + 1) if one.has_read else 0,
            barred=max(0, one.barred - 1),
        )
        for one in state.processes
    )
    return state._replace(processes=processes)


def _begin_step(state: State) -> State:
    """Let time pass once everybody has done what it may."""
    is_held = any(one.held for one in state.processes)
    return _pass_time(state)._replace(
        spoils=1,
        idle=0 if is_held else state.idle + 1,
        looked=(False,) * PROCESSES,
    )


def _start_anew(state: State, number: int) -> State:
    """Have another run of a process begin, which is not its old holder."""
    fresh = Process(barred=state.hold + 1)
    return _set(_die(state, number), number, fresh)


def _die(state: State, number: int) -> State:
    places = tuple(GONE if one == number else one for one in state.places)
    processes = tuple(
        one._replace(known=GONE) if one.known == number else one
        for one in state.processes
    )
    state = state._replace(
        places=places, processes=processes, deaths=state.deaths - 1
    )
    return _set(state, number, Process(is_dead=True))


def _look(state: State, number: int, protections: frozenset[str]) -> State:
    one = state.processes[number]
    content = state.places[one.place]
    if one.was_there and content == ABSENT and MISSES in protections:
        content = SPOILT
    looked = one
    if not one.is_current:
        is_anothers = content not in (SPOILT, CLOSED, number)
        is_lost = one.is_settled and is_anothers
        looked = one._replace(
            known=content,
            has_read=True,
            was_there=one.was_there or content != ABSENT,
            is_current=True,
            seen=0,
            held=0 if is_lost else one.held,
            next=THERE if one.next == THERE else UNKNOWN,
        )
    # Closed counts when it is seen after the next one.
    if looked.known == CLOSED and one.next == THERE:
        looked = _moved(state, looked, protections)
    return _set(state, number, looked)


def _moved(state: State, one: Process, protections: frozenset[str]) -> Process:
    barred = state.hold + 1 if WAITS in protections else 0
    return Process(one.place + 1, was_there=True, held=one.held, barred=barred)


def _ask(state: State, number: int) -> State:
    one = state.processes[number]
    is_there = state.places[one.place + 1] != ABSENT
    return _set(
        state, number, one._replace(next=THERE if is_there else MISSING)
    )


def _make(state: State, number: int) -> State:
    one = state.processes[number]
    if state.places[one.place + 1] == ABSENT:
        state = _put(state, one.place + 1, FREE)
    return _set(state, number, one._replace(next=THERE))


def _close(state: State, number: int, protections: frozenset[str]) -> State:
    one = state.processes[number]
    if CLOSES not in protections:
        return _set(state, number, _moved(state, one, protections))
    if not one.is_current:
        return _look(state, number, protections)
    after = _put(state, one.place, CLOSED)
    return _set(after, number, _moved(state, one, protections))


def _write(state: State, number: int, protections: frozenset[str]) -> State:
    """Hold the lease if its place was not written since it was read."""
    one = state.processes[number]
    if not one.is_current:
        return _look(state, number, protections)
    after = _put(state, one.place, number)
    held = one._replace(
        known=number,
        was_there=True,
        is_current=True,
        held=state.hold,
        seen=0,
        is_settled=True,
        next=UNKNOWN,
    )
    return _set(after, number, held)
