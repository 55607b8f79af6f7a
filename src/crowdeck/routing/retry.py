# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Retry budgets, backoff and the decision to retry.

The budgets here belong to one process; :mod:`crowdeck.routing.budget` holds
those that entries share.
"""

import random

from crowdeck import errors
from crowdeck import timers
from crowdeck import verdict as verdicts

# Retries per request, which keeps retries from multiplying the load while
# requests fail.
BUDGET_RATIO = 0.1
# Initial and largest balance, which lets teams with few requests retry.
BUDGET_CAPACITY = 10.0
BACKOFF_BASE_SECONDS = 0.02
BACKOFF_LIMIT_SECONDS = 1.0


class RetryBudget:
    """A balance of retries, to which each request adds a fraction of one.

    :param ratio: retries that each request earns.
    :param capacity: initial and largest balance.
    """

    def __init__(
        self, ratio: float = BUDGET_RATIO, capacity: float = BUDGET_CAPACITY
    ) -> None:
        self._ratio = ratio
        self._capacity = capacity
        self._tokens = capacity

    @property
    def tokens(self) -> float:
        """Retries that may be sent now."""
        return self._tokens

    @property
    def has_retry(self) -> bool:
        """Whether a retry may be sent now."""
        return self._tokens >= 1.0

    def earn(self) -> None:
        """Count a request that is not a retry."""
        self._tokens = min(self._capacity, self._tokens + self._ratio)

    def spend(self) -> bool:
        """Take one retry; return false if the budget is spent."""
        if not self.has_retry:
            return False
        self._tokens -= 1.0
        return True


class RetryBudgets:
    """Budgets by team and service."""

    def __init__(self) -> None:
        self._budgets: dict[tuple[str, str], RetryBudget] = {}

    def get(self, team: str, service: str) -> RetryBudget:
        """Return the budget of a team's use of a service."""
        return self._budgets.setdefault((team, service), RetryBudget())


class Backoff:
    """Exponential backoff with full jitter."""

    def __init__(self, randomness: random.Random) -> None:
        self._random = randomness
        self._attempts = 0

    def next(self) -> float:
        """Return the next pause in seconds."""
        ceiling = min(
            BACKOFF_LIMIT_SECONDS, BACKOFF_BASE_SECONDS * 2**self._attempts
        )
        self._attempts += 1
        return self._random.uniform(0.0, ceiling)


def may_retry(
    error: errors.CrowdeckError,
    is_repeatable: bool,
    budget: RetryBudget,
    clock: timers.Clock,
    deadline: float,
) -> bool:
    """Decide whether a failed request is sent again.

    A request that did not run may be retried, and one that may have run
    if it is repeatable. A retry is taken from ``budget``.

    :param deadline: time of ``clock`` from which on nothing is retried.
    """
    is_allowed = error.verdict is verdicts.Verdict.NOT_RUN or (
        is_repeatable and error.verdict is verdicts.Verdict.MAY_HAVE_RUN
    )
    if not is_allowed or clock.now() >= deadline:
        return False
    return budget.spend()
