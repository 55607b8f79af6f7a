# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""One non-idempotent call, its seal, and a replaced sidecar."""

from collections import abc
import typing

from spec import model

REFUSES_SEALED = "the gate refuses sealed calls"
NAMES_INCARNATION = "a call names the sidecar incarnation that it is for"
OTHER_INCARNATION_UNSURE = (
    "another incarnation never answers that a call did not run"
)


class State(typing.NamedTuple):
    """The call, the sidecar's gate, and what the entry knows.

    ``call_phase``: ``unsent``, ``in flight``, ``gone``, ``refused`` or
    ``ran``. ``entry_phase``: ``idle``, ``waiting``, ``lost`` (its link was
    lost), ``answered``, ``not run`` or ``may have run``. ``is_recorded``
    tells whether the gate has a record that the call ran.
    """

    call_phase: str = "unsent"
    incarnation: int = 0
    is_recorded: bool = False
    sealed: bool = False
    runs: int = 0
    entry_phase: str = "idle"
    has_retried: bool = False


class Seals:
    """An entry that loses its link seals the call before it retries it."""

    name = "seals"
    protections = (REFUSES_SEALED, NAMES_INCARNATION, OTHER_INCARNATION_UNSURE)

    def initial(self) -> State:
        """Return the initial state."""
        return State()

    def transitions(
        self, state: State, protections: frozenset[str], is_full: bool
    ) -> list[model.Transition]:
        """Return the transitions that are enabled in a state."""
        found: list[model.Transition] = []
        if state.entry_phase == "idle":
            sent = state._replace(
                entry_phase="waiting", call_phase="in flight"
            )
            found.append(("send", sent))
        if state.call_phase == "in flight":
            found.append(("lose the call", state._replace(call_phase="gone")))
            found.append(("arrive", self._arrive(state, protections)))
        if state.entry_phase == "waiting":
            # What was sent may still arrive after the link is given up.
            found.append(("lose the link", state._replace(entry_phase="lost")))
            if state.is_recorded:
                answered = state._replace(entry_phase="answered")
                found.append(("reply", answered))
        if state.entry_phase == "lost":
            found.append(("seal", self._seal(state, protections)))
        if state.incarnation == 0:
            replaced = state._replace(
                incarnation=1, is_recorded=False, sealed=False
            )
            found.append(("replace the sidecar", replaced))
        if state.entry_phase == "not run" and not state.has_retried:
            retried = state._replace(has_retried=True, runs=state.runs + 1)
            found.append(("run it elsewhere", retried))
        return found

    def _arrive(self, state: State, protections: frozenset[str]) -> State:
        is_for_other_incarnation = (
            state.incarnation != 0 and NAMES_INCARNATION in protections
        )
        is_refused = state.sealed and REFUSES_SEALED in protections
        if is_for_other_incarnation or is_refused:
            return state._replace(call_phase="refused")
        return state._replace(
            call_phase="ran", is_recorded=True, runs=state.runs + 1
        )

    def _seal(self, state: State, protections: frozenset[str]) -> State:
        is_other_incarnation = state.incarnation != 0
        if is_other_incarnation and OTHER_INCARNATION_UNSURE in protections:
            return state._replace(entry_phase="may have run")
        if state.is_recorded:
            return state._replace(entry_phase="may have run")
        return state._replace(entry_phase="not run", sealed=True)

    def invariants(self) -> dict[str, abc.Callable[[State], bool]]:
        """Return the invariants by name."""
        return {
            "a request refused as not run did not run": lambda state: (
                not (
                    state.entry_phase == "not run"
                    and not state.has_retried
                    and state.runs > 0
                )
            ),
            "a request that may not be repeated runs at most once": (
                lambda state: state.runs <= 1
            ),
        }
