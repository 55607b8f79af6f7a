# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Look-up of a request's route, team and service in the config."""

import bisect
import random

import attrs

from crowdeck import errors
from crowdeck import route as routes


@attrs.frozen
class AdmittedRequest:
    """The route, team and priority of one request.

    :ivar team: name of the team, empty where none is known by the key.
    :ivar priority: the team's priority, else the route's.
    """

    route: routes.Route
    team: str
    priority: int
    config_version: int


class RouteTable:
    """One version of the config, indexed for look-ups."""

    def __init__(self, config: routes.FleetConfig) -> None:
        self._config = config
        self._routes_by_host: dict[str, list[routes.Route]] = {}
        for route in config.routes:
            self._routes_by_host.setdefault(route.host, []).append(route)
        for host_routes in self._routes_by_host.values():
            host_routes.sort(key=lambda route: -len(route.prefix))
        self._teams_by_key = {
            key: team for team in config.listed_teams for key in team.keys
        }
        self._services_by_name = {
            service.name: service for service in config.services
        }
        self._urgency_keys_by_service = _urgency_keys(config)
        self._has_ranked_service = any(
            map(_are_ranked, self._urgency_keys_by_service.values())
        )

    @property
    def config(self) -> routes.FleetConfig:
        """The config from which this table was built."""
        return self._config

    @property
    def version(self) -> int:
        """Version of the config."""
        return self._config.version

    @property
    def has_ranked_service(self) -> bool:
        """Whether the streams of any service differ in urgency."""
        return self._has_ranked_service

    def service(self, name: str) -> routes.Service | None:
        """Return the service of that name, if there is one."""
        return self._services_by_name.get(name)

    def find(self, host: str, path: str) -> routes.Route | None:
        """Return the route with the longest matching prefix, if any."""
        for route in self._routes_by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None

    def admit(self, host: str, path: str, key: str) -> AdmittedRequest:
        """Return the route, team and priority of a request.

        :param host: host name without a port, in lower case.
        :param path: path without its query.
        :param key: the caller's key, empty where none was sent.
        :raises CrowdeckError: ``NOT_FOUND`` or ``UNAUTHORIZED``.
        """
        route = self.find(host, path)
        if route is None:
            raise errors.CrowdeckError(
                errors.Code.NOT_FOUND, "no route matches this host and path"
            )
        team = self._teams_by_key.get(key)
        needs_key = self._config.requires_keys and not route.is_anonymous
        if needs_key and team is None:
            raise errors.CrowdeckError(
                errors.Code.UNAUTHORIZED, "the API key is missing or unknown"
            )
        priority = route.priority
        if team is not None and team.priority is not None:
            priority = team.priority
        name = team.name if team is not None else ""
        return AdmittedRequest(route, name, priority, self.version)

    def urgency(
        self, admitted: AdmittedRequest, service: str
    ) -> routes.Urgency:
        """Return the urgency of an admitted request of a service.

        Requests are ranked by the priority of their team, which takes
        precedence, and within it by that of their route. They are ranked
        only where the streaming routes of the service differ in priority:
        with equal routes, the config asks for no order of kinds of request.
        A request of another route has the rank of the streams that it would
        come before.
        """
        keys = self._urgency_keys_by_service.get(service, ())
        if not _are_ranked(keys):
            return routes.Urgency()
        key = (admitted.priority, admitted.route.priority)
        rank = bisect.bisect_left(keys, key)
        return routes.Urgency(min(rank, len(keys) - 1), len(keys))


def _are_ranked(keys: tuple[tuple[int, int], ...]) -> bool:
    return len({route_priority for _, route_priority in keys}) > 1


def _urgency_keys(
    config: routes.FleetConfig,
) -> dict[str, tuple[tuple[int, int], ...]]:
    """Return the priorities of teams and routes of streams, by service.

    They are sorted, the most urgent first.
    """
    keys_by_service: dict[str, set[tuple[int, int]]] = {}
    for route in config.routes:
        if route.repeat is not routes.RepeatPolicy.STREAM:
            continue
        team_priorities = {
            route.priority if team.priority is None else team.priority
            for team in config.listed_teams
        }
        if route.is_anonymous or not config.requires_keys:
            team_priorities.add(route.priority)
        for share in route.shares:
            keys_by_service.setdefault(share.service, set()).update(
                (team_priority, route.priority)
                for team_priority in team_priorities
            )
    return {
        service: tuple(sorted(keys))
        for service, keys in keys_by_service.items()
    }


def pick_service(route: routes.Route, randomness: random.Random) -> str:
    """Choose a service at random, weighted by the route's traffic shares."""
    if len(route.shares) == 1:
        return route.shares[0].service
    weights = [share.weight for share in route.shares]
    return randomness.choices(route.shares, weights)[0].service
