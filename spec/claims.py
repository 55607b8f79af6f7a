# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""One idempotency key, claimed by two entries in an unreliable store."""

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
    """One entry: its phase, and what it last read.

    Phases: ``start`` (reads next), ``claims`` (writes its claim), ``unsure``
    (the reply to its write was lost), ``holds`` (runs its call), ``follows``
    (read the claim of the other), ``replaces`` (writes over that claim); at
    the end ``done``, ``refused`` or ``answered``.
    """

    phase: str = "start"
    version: int = 0
    holder: int = NOBODY


class State(typing.NamedTuple):
    """The key's object, both entries, and each entry's call at the gate."""

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
    """Two entries, each with a call for the same key."""

    name = "claims"
    protections = (CONDITIONAL, READ_BACK, SEALS_FIRST)

    def initial(self) -> State:
        """Return the initial state."""
        return State()

    def transitions(
        self, state: State, protections: frozenset[str], is_full: bool
    ) -> list[model.Transition]:
        """Return the transitions that are enabled in a state."""
        limit = FULL_VERSION_LIMIT if is_full else VERSION_LIMIT
        found: list[model.Transition] = []
        for index in range(len(_ENTRIES)):
            found += self._entry_transitions(state, index, protections, limit)
        return found

    def _entry_transitions(
        self, state: State, index: int, protections: frozenset[str], limit: int
    ) -> list[model.Transition]:
        entry: Entry = getattr(state, _ENTRIES[index])
        match entry.phase:
            case "start":
                return [(f"{index} reads", self._read(state, index))]
            case "claims" | "replaces":
                if state.version >= limit:
                    return []
                return self._write(state, index, entry, protections)
            case "unsure":
                phase = "start" if READ_BACK in protections else "holds"
                return [
                    (
                        f"{index} handles the lost reply",
                        _with_entry(state, index, phase=phase),
                    )
                ]
            case "holds":
                return [(f"{index} runs", self._run_call(state, index))]
            case "follows":
                return [
                    (
                        f"{index} asks the gate",
                        self._ask_gate(state, index, protections),
                    )
                ]
            case _:
                return []

    def _read(self, state: State, index: int) -> State:
        if state.holder == index:
            phase = "holds"
        elif state.holder == NOBODY:
            phase = "claims"
        else:
            phase = "follows"
        return _with_entry(
            state,
            index,
            phase=phase,
            version=state.version,
            holder=state.holder,
        )

    def _write(
        self,
        state: State,
        index: int,
        entry: Entry,
        protections: frozenset[str],
    ) -> list[model.Transition]:
        is_current = state.version == entry.version
        lost = (
            f"{index}'s write is lost",
            _with_entry(state, index, phase="unsure"),
        )
        if not is_current and CONDITIONAL in protections:
            conflict = _with_entry(state, index, phase="start")
            return [(f"{index} conflicts", conflict), lost]
        written = state._replace(version=state.version + 1, holder=index)
        return [
            (f"{index} writes", _with_entry(written, index, phase="holds")),
            (
                f"{index}'s reply is lost",
                _with_entry(written, index, phase="unsure"),
            ),
            lost,
        ]

    def _run_call(self, state: State, index: int) -> State:
        name = _ENTRIES[index]
        if getattr(state, f"{name}_sealed"):
            return _with_entry(state, index, phase="refused")
        runs = getattr(state, f"{name}_runs") + 1
        return _with_entry(state, index, phase="done")._replace(
            **{f"{name}_runs": runs}
        )

    def _ask_gate(
        self, state: State, index: int, protections: frozenset[str]
    ) -> State:
        entry: Entry = getattr(state, _ENTRIES[index])
        holder = _ENTRIES[entry.holder]
        if getattr(state, f"{holder}_runs"):
            return _with_entry(state, index, phase="answered")
        replacing = _with_entry(state, index, phase="replaces")
        if SEALS_FIRST in protections:
            return replacing._replace(**{f"{holder}_sealed": True})
        return replacing

    def invariants(self) -> dict[str, abc.Callable[[State], bool]]:
        """Return the invariants by name."""
        return {
            "one key's request runs at most once": lambda state: (
                state.first_runs + state.second_runs <= 1
            )
        }


def _with_entry(state: State, index: int, **changes: typing.Any) -> State:
    name = _ENTRIES[index]
    return state._replace(**{name: getattr(state, name)._replace(**changes)})
