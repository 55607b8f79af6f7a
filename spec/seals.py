# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""One call that may not be repeated, its seal, and a replaced sidecar."""

from collections import abc
import typing

from spec import model

REFUSES_SEALED = "the gate refuses sealed calls"
NAMES_RUN = "a call names the run of the sidecar it is for"
OTHER_RUN_UNSURE = "another run of the sidecar never says not run"


class State(typing.NamedTuple):
    """The call, the sidecar's gate, and what the entry believes."""

    call: str = "unsent"
    incarnation: int = 0
    entered: bool = False
    sealed: bool = False
    runs: int = 0
    entry: str = "idle"
    has_retried: bool = False


class Seals:
    """A call's reply is lost; was it run?"""

    name = "seals"
    protections = (REFUSES_SEALED, NAMES_RUN, OTHER_RUN_UNSURE)

    def initial(self) -> State:
        """Return the first state."""
        return State()

    def transitions(
        self, state: State, protections: frozenset[str], is_full: bool
    ) -> list[model.Transition]:
        """Return what may happen next."""
        found: list[model.Transition] = []
        if state.entry == "idle":
            sent = state._replace(entry="waiting", call="flying")
            found.append(("send", sent))
        if state.call == "flying":
            found.append(("lose the call", state._replace(call="gone")))
            found.append(("arrive", self._arrive(state, protections)))
        if state.entry == "waiting":
            # What was sent may still arrive after the link is given up.
            found.append(("lose the link", state._replace(entry="lost")))
            if state.entered:
                answered = state._replace(entry="answered")
                found.append(("reply", answered))
        if state.entry == "lost":
            found.append(("seal", self._seal(state, protections)))
        if state.incarnation == 0:
            replaced = state._replace(
                incarnation=1, entered=False, sealed=False
            )
            found.append(("replace the sidecar", replaced))
        if state.entry == "not run" and not state.has_retried:
            retried = state._replace(has_retried=True, runs=state.runs + 1)
            found.append(("run it elsewhere", retried))
        return found

    def _arrive(self, state: State, protections: frozenset[str]) -> State:
        is_foreign = state.incarnation != 0 and NAMES_RUN in protections
        is_barred = state.sealed and REFUSES_SEALED in protections
        if is_foreign or is_barred:
            return state._replace(call="refused")
        return state._replace(call="ran", entered=True, runs=state.runs + 1)

    def _seal(self, state: State, protections: frozenset[str]) -> State:
        is_other = state.incarnation != 0
        if is_other and OTHER_RUN_UNSURE in protections:
            return state._replace(entry="may have run")
        if state.entered:
            return state._replace(entry="may have run")
        return state._replace(entry="not run", sealed=True)

    def invariants(self) -> dict[str, abc.Callable[[State], bool]]:
        """Return the properties."""
        return {
            "a request refused as not run did not run": lambda state: (
                not (
                    state.entry == "not run"
                    and not state.has_retried
                    and state.runs > 0
                )
            ),
            "a request that may not be repeated runs at most once": (
                lambda state: state.runs <= 1
            ),
        }
