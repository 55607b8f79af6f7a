# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Checks all specifications, intact and with each protection removed."""

from collections import abc

import attrs

from spec import attempts
from spec import claims
from spec import copies
from spec import corrupted_leases
from spec import generations
from spec import leases
from spec import model
from spec import orders
from spec import rearrangements
from spec import restored_leases
from spec import seals
from spec import turns

ALL: tuple[model.Specification, ...] = (
    attempts.Attempts(),
    seals.Seals(),
    claims.Claims(),
    leases.Leases(),
    restored_leases.RestoredLeases(),
    corrupted_leases.CorruptedLeases(),
    corrupted_leases.UnpausedLeases(),
    copies.Copies(),
    orders.Orders(),
    rearrangements.Rearrangements(),
    generations.Generations(),
    turns.Turns(),
)


@attrs.frozen
class Report:
    """One check of a specification.

    :ivar removed: the protection left out, empty for none.
    """

    name: str
    removed: str
    result: model.SearchResult

    @property
    def is_as_expected(self) -> bool:
        """Whether invariants hold, or one fails without the protection."""
        if self.removed:
            return bool(self.result.violated)
        return self.result.is_exhaustive and not self.result.violated

    @property
    def line(self) -> str:
        """The report in one line."""
        result = self.result
        if not self.removed:
            outcome = "all invariants hold"
            if result.violated:
                outcome = f"VIOLATED: {result.violated[0]}"
            elif not result.is_exhaustive:
                outcome = (
                    "expected all states to be visited, stopped at the limit"
                )
            return f"{self.name}: {result.state_count} states, {outcome}"
        if not result.violated:
            return (
                f"  without '{self.removed}': "
                "expected a violated invariant, found none"
            )
        steps = "; ".join(result.trace)
        return (
            f"  without '{self.removed}': violates '{result.violated[0]}' "
            f"in {len(result.trace)} steps: {steps}"
        )


def check_one(
    specification: model.Specification, is_full: bool = False
) -> abc.Iterator[Report]:
    """Check one specification, intact and without each protection."""
    all_protections = frozenset(specification.protections)
    yield Report(
        specification.name,
        "",
        model.check(specification, all_protections, is_full),
    )
    for removed in specification.protections:
        result = model.check(
            specification, all_protections - {removed}, is_full
        )
        yield Report(specification.name, removed, result)


def check_all(is_full: bool = False) -> abc.Iterator[Report]:
    """Check every specification."""
    for specification in ALL:
        yield from check_one(specification, is_full)
