# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Admission control for the requests of one entry."""

import collections
import contextlib
import typing

from crowdeck import errors
from crowdeck.observe import counters

RETRY_AFTER_SECONDS = 1.0
# Factor on the token-gap limit of teams above their share: their new answers
# are refused earlier, while those of other teams are still accepted. The
# margin has to suffice for what these others start before the next load
# report.
OVER_SHARE_GAP_FACTOR = 0.9


class Admission:
    """Counts requests in progress, per team and in total.

    :ivar limit: maximum number of requests in progress, of all teams together.
    """

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self._running_by_team: collections.Counter[str] = collections.Counter()
        self._weights: dict[str, float] = {}
        self._is_leaving = False

    @property
    def running(self) -> int:
        """Requests in progress."""
        return self._running_by_team.total()

    @property
    def is_leaving(self) -> bool:
        """Whether a planned stop has begun."""
        return self._is_leaving

    def leave(self) -> None:
        """Refuse new requests from now on."""
        self._is_leaving = True

    @contextlib.contextmanager
    def enter(
        self, team: str, team_limit: int, weight: float = 1.0
    ) -> typing.Iterator[None]:
        """Count a request while it is in progress.

        :param weight: the team's share relative to other teams.
        :raises CrowdeckError: with ``NOT_RUN`` and a time to retry.
        """
        self._require_capacity(team, team_limit)
        self._running_by_team[team] += 1
        self._weights[team] = weight
        counters.COUNTERS.add("admission.admitted")
        try:
            yield
        finally:
            self._running_by_team[team] -= 1
            if not self._running_by_team[team]:
                del self._running_by_team[team]
                del self._weights[team]

    def gap_limit_factor(self, team: str) -> float:
        """Return the factor on a team's token-gap limit.

        It is lower for a team with more than its weighted share of the
        requests in progress, so that capacity is left for other teams. No
        team is limited to its share while there is capacity.
        """
        total = self.running
        weights = sum(self._weights.values())
        share = total * self._weights[team] / weights
        return (
            OVER_SHARE_GAP_FACTOR
            if self._running_by_team[team] > share
            else 1.0
        )

    def _require_capacity(self, team: str, team_limit: int) -> None:
        if self._is_leaving:
            raise _refusal_error(
                errors.Code.LEAVING,
                "this entry is leaving; retry at another one",
            )
        if self.running >= self.limit:
            raise _refusal_error(
                errors.Code.OVERLOADED,
                "this entry has reached its request limit",
            )
        if self._running_by_team[team] >= team_limit:
            raise _refusal_error(
                errors.Code.TEAM_LIMIT,
                f"team {team} has reached its limit of {team_limit} requests "
                f"in progress",
            )


def _refusal_error(code: errors.Code, message: str) -> errors.CrowdeckError:
    counters.COUNTERS.add(f"admission.{code.lower()}")
    return errors.CrowdeckError(code, message, retry_after=RETRY_AFTER_SECONDS)
