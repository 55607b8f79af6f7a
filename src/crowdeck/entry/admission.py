# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Admission: who may begin a request at this entry now."""

import collections
import contextlib
import typing

from crowdeck import errors
from crowdeck.observe import counters

RETRY_SECONDS = 1.0
# A tenth of the room is kept for teams below their share. Their arrivals
# within a report's age have to fit in; a small team's do at our sizes.
OVER_SHARE_FACTOR = 0.9


class Admission:
    """Counts requests in progress, per team and in all."""

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self._by_team: collections.Counter[str] = collections.Counter()
        self._weights: dict[str, float] = {}
        self._is_leaving = False

    @property
    def running(self) -> int:
        """Requests in progress."""
        return self._by_team.total()

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
        self._require_room(team, team_limit)
        self._by_team[team] += 1
        self._weights[team] = weight
        counters.COUNTERS.add("admission.admitted")
        try:
            yield
        finally:
            self._by_team[team] -= 1
            if not self._by_team[team]:
                del self._by_team[team]
                del self._weights[team]

    def share_factor(self, team: str) -> float:
        """Return which part of the upstreams' room a team may fill.

        A team that has more in progress than its weighted share of all
        that is in progress stops a little before the room is full, and
        what is left stays for those that have less. No team is held to
        its share while there is room.
        """
        total = self.running
        weights = sum(self._weights.values())
        share = total * self._weights[team] / weights
        return OVER_SHARE_FACTOR if self._by_team[team] > share else 1.0

    def _require_room(self, team: str, team_limit: int) -> None:
        if self._is_leaving:
            raise _refused(errors.Code.LEAVING, "this entry is leaving")
        if self.running >= self.limit:
            raise _refused(
                errors.Code.OVERLOADED, "this entry has no room for more"
            )
        if self._by_team[team] >= team_limit:
            raise _refused(
                errors.Code.TEAM_LIMIT,
                f"team {team} has {team_limit} requests in progress",
            )


def _refused(code: errors.Code, message: str) -> errors.CrowdeckError:
    counters.COUNTERS.add(f"admission.{code.lower()}")
    return errors.CrowdeckError(code, message, retry_after=RETRY_SECONDS)
