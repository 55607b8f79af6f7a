# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0
"""How much of a service each team has used lately."""

import typing

import attrs

# Half-life of what a team was granted, about the duration of a stream, so
# that a team whose streams end quickly is not taken for a small one.
HALF_LIFE_SECONDS = 2.0


@attrs.define
class _Grants:
    """Requests that a team was granted, each halved by its age.

    :ivar count: the number at ``at``.
    :ivar at: loop time of the newest grant.
    """

    count: float = 0.0
    at: float = 0.0

    def count_at(self, now: float) -> float:
        return self.count * float(0.5 ** ((now - self.at) / HALF_LIFE_SECONDS))


class TeamUsage:
    """Requests in progress and those granted lately, by team.

    It covers one service at one entry. Requests are given by any key that is
    unique while they last, times are loop times.
    """

    def __init__(self) -> None:
        self._team_by_request: dict[typing.Hashable, str] = {}
        self._in_progress: dict[str, int] = {}
        self._grants: dict[str, _Grants] = {}

    def __len__(self) -> int:
        """Return the number of teams of which something is known."""
        return len(self._grants)

    def used(self, team: str, now: float) -> float:
        """Return a team's requests in progress and granted lately."""
        grants = self._grants.get(team)
        if grants is None:
            return 0.0
        return self._in_progress.get(team, 0) + grants.count_at(now)

    def note_granted(
        self, request: typing.Hashable, team: str, now: float
    ) -> None:
        """Record that a request goes to an engine; once for each request."""
        if request in self._team_by_request:
            return
        self._drop_unused(now)
        self._team_by_request[request] = team
        self._in_progress[team] = self._in_progress.get(team, 0) + 1
        grants = self._grants.setdefault(team, _Grants())
        grants.count = grants.count_at(now) + 1.0
        grants.at = now

    def note_ended(self, request: typing.Hashable) -> None:
        """Record that a request has ended; one never granted is ignored."""
        team = self._team_by_request.pop(request, None)
        if team is None:
            return
        self._in_progress[team] -= 1
        if not self._in_progress[team]:
            del self._in_progress[team]

    def _drop_unused(self, now: float) -> None:
        """Forget teams whose last grant no longer matters."""
        oldest = now - 10.0 * HALF_LIFE_SECONDS
        for team in [
            team
            for team, grants in self._grants.items()
            if grants.at < oldest and team not in self._in_progress
        ]:
            del self._grants[team]
