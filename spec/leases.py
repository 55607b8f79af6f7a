# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""A lease whose fencing tokens a guard checks, and a replaced guard."""

from collections import abc
import typing

from spec import model

CHECKS_FENCE = "the guard refuses orders with a lower fencing token"
READS_FENCE = "a new guard reads the highest token before its first order"

HOLDERS = 2
TOKEN_LIMIT = 3
FULL_TOKEN_LIMIT = 5


class State(typing.NamedTuple):
    """The store's lease, each holder's token, and the guard's highest token.

    The guard is the process that checks fencing tokens. ``holder_tokens`` are
    those under which the holders believe that they hold the lease, 0 for none;
    a paused holder does not notice that its lease lapsed. ``applied_token``
    is the highest token of an order that took effect; ``reverted`` tells
    whether an order with a lower token took effect later.
    """

    lease_token: int = 0
    holder_tokens: tuple[int, ...] = (0,) * HOLDERS
    guard_token: int = 0
    is_guard_ready: bool = True
    is_guard_replaced: bool = False
    applied_token: int = 0
    reverted: bool = False


class Leases:
    """Holders take the lapsed lease; any may give orders at any time."""

    name = "leases"
    protections = (CHECKS_FENCE, READS_FENCE)

    def initial(self) -> State:
        """Return the initial state."""
        return State()

    def transitions(
        self, state: State, protections: frozenset[str], is_full: bool
    ) -> list[model.Transition]:
        """Return the transitions that are enabled in a state."""
        limit = FULL_TOKEN_LIMIT if is_full else TOKEN_LIMIT
        found: list[model.Transition] = []
        for holder in range(HOLDERS):
            if state.lease_token < limit:
                holder_tokens = list(state.holder_tokens)
                holder_tokens[holder] = state.lease_token + 1
                taken = state._replace(
                    lease_token=state.lease_token + 1,
                    holder_tokens=tuple(holder_tokens),
                )
                found.append((f"{holder} takes the lapsed lease", taken))
            if state.holder_tokens[holder] and state.is_guard_ready:
                after = self._order(
                    state, state.holder_tokens[holder], protections
                )
                found.append((f"{holder} orders", after))
        if not state.is_guard_replaced:
            found.append(("replace the guard", self._replace_guard(state)))
        if not state.is_guard_ready:
            guard_token = (
                state.lease_token if READS_FENCE in protections else 0
            )
            ready = state._replace(
                guard_token=guard_token, is_guard_ready=True
            )
            found.append(("the guard starts", ready))
        return found

    def _replace_guard(self, state: State) -> State:
        return state._replace(
            is_guard_replaced=True, guard_token=0, is_guard_ready=False
        )

    def _order(
        self, state: State, token: int, protections: frozenset[str]
    ) -> State:
        if token < state.guard_token and CHECKS_FENCE in protections:
            return state
        return state._replace(
            guard_token=max(state.guard_token, token),
            applied_token=max(state.applied_token, token),
            reverted=state.reverted or token < state.applied_token,
        )

    def invariants(self) -> dict[str, abc.Callable[[State], bool]]:
        """Return the invariants by name."""
        return {
            "an order of a lapsed lease never undoes a later one": (
                lambda state: not state.reverted
            )
        }
