# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Look-up of a request's route, team and service in the config."""

import random

import attrs

from crowdeck import errors
from crowdeck import route as routes


@attrs.frozen
class AdmittedRequest:
    """The route, team and priority of one request.

    :ivar team: name of the team, empty on a route that needs no key.
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
            key: team for team in config.teams for key in team.keys
        }
        self._services_by_name = {
            service.name: service for service in config.services
        }

    @property
    def config(self) -> routes.FleetConfig:
        """The config from which this table was built."""
        return self._config

    @property
    def version(self) -> int:
        """Version of the config."""
        return self._config.version

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
        needs_key = bool(self._config.teams) and not route.is_anonymous
        if needs_key and team is None:
            raise errors.CrowdeckError(
                errors.Code.UNAUTHORIZED, "the API key is missing or unknown"
            )
        priority = route.priority
        if team is not None and team.priority is not None:
            priority = team.priority
        name = team.name if team is not None else ""
        return AdmittedRequest(route, name, priority, self.version)


def pick_service(route: routes.Route, randomness: random.Random) -> str:
    """Choose a service at random, weighted by the route's traffic shares."""
    if len(route.shares) == 1:
        return route.shares[0].service
    weights = [share.weight for share in route.shares]
    return randomness.choices(route.shares, weights)[0].service
