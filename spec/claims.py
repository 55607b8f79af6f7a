# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""One idempotency key, claimed by two entries in an unsure store."""

from collections import abc
import typing

from spec import model

CONDITIONAL = "claims are written by conditional update"
READ_BACK = "a write whose reply is lost is read back"
SEALS_FIRST = "a claim is replaced only after its call is sealed"

NOBODY = -1
VERSION_LIMIT = 4
FULL_VERSION_LIMIT = 7


class Entry(typing.NamedTuple):
    """One entry: its phase, and what it last read."""

    phase: str = "start"
    version: int = 0
    holder: int = NOBODY


class State(typing.NamedTuple):
    """The key's object, both entries, and the gate's notes."""

    version: int = 0
    holder: int = NOBODY
    first: Entry = Entry()
    second: Entry = Entry()
    first_sealed: bool = False
    second_sealed: bool = False
    first_runs: int = 0
    second_runs: int = 0


_ENTRIES = ("first", "second")


class Claims:
    """Both entries have the same key's call to make."""

    name = "claims"
    protections = (CONDITIONAL, READ_BACK, SEALS_FIRST)

    def initial(self) -> State:
        """Return the first state."""
        return State()

    def transitions(
        self, state: State, protections: frozenset[str], is_full: bool
    ) -> list[model.Transition]:
        """Return what may happen next."""
        limit = FULL_VERSION_LIMIT if is_full else VERSION_LIMIT
        found: list[model.Transition] = []
        for me in range(len(_ENTRIES)):
            found += self._moves(state, me, protections, limit)
        return found

    def _moves(
        self, state: State, me: int, protections: frozenset[str], limit: int
    ) -> list[model.Transition]:
        entry: Entry = getattr(state, _ENTRIES[me])
        match entry.phase:
            case "start":
                return [(f"{me} reads", self._read(state, me))]
            case "claims" | "replaces":
                if state.version >= limit:
                    return []
                return self._write(state, me, entry, protections)
            case "unsure":
                phase = "start" if READ_BACK in protections else "holds"
                return [(f"{me} looks", _set(state, me, phase=phase))]
            case "holds":
                return [(f"{me} runs", self._run(state, me))]
            case "follows":
                return [(f"{me} asks", self._ask(state, me, protections))]
            case _:
                return []

    def _read(self, state: State, me: int) -> State:
        if state.holder == me:
            phase = "holds"
        elif state.holder == NOBODY:
            phase = "claims"
        else:
            phase = "follows"
        return _set(
            state, me, phase=phase, version=state.version, holder=state.holder
        )

    def _write(
        self,
        state: State,
        me: int,
        entry: Entry,
        protections: frozenset[str],
    ) -> list[model.Transition]:
        is_current = state.version == entry.version
        lost = (f"{me}'s write is lost", _set(state, me, phase="unsure"))
        if not is_current and CONDITIONAL in protections:
            conflict = _set(state, me, phase="start")
            return [(f"{me} conflicts", conflict), lost]
        written = state._replace(version=state.version + 1, holder=me)
        return [
            (f"{me} writes", _set(written, me, phase="holds")),
            (f"{me}'s reply is lost", _set(written, me, phase="unsure")),
            lost,
        ]

    def _run(self, state: State, me: int) -> State:
        name = _ENTRIES[me]
        if getattr(state, f"{name}_sealed"):
            return _set(state, me, phase="refused")
        runs = getattr(state, f"{name}_runs") + 1
        return _set(state, me, phase="done")._replace(**{f"{name}_runs": runs})

    def _ask(
        self, state: State, me: int, protections: frozenset[str]
    ) -> State:
        entry: Entry = getattr(state, _ENTRIES[me])
        holder = _ENTRIES[entry.holder]
        if getattr(state, f"{holder}_runs"):
            return _set(state, me, phase="answered")
        sealed = _set(state, me, phase="replaces")
        if SEALS_FIRST in protections:
            return sealed._replace(**{f"{holder}_sealed": True})
        return sealed

    def invariants(self) -> dict[str, abc.Callable[[State], bool]]:
        """Return the properties."""
        return {
            "one key's request runs at most once": lambda state: (
                state.first_runs + state.second_runs <= 1
            )
        }


def _set(state: State, me: int, **changes: typing.Any) -> State:
    name = _ENTRIES[me]
    return state._replace(**{name: getattr(state, name)._replace(**changes)})
