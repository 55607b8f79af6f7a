# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Urgency of requests, from the priorities of teams and routes."""

import attrs

from crowdeck import route as routes
from crowdeck.routing import routes as route_tables
from tests import fleet_system

STREAM = routes.RepeatPolicy.STREAM


def table(
    route_priorities: tuple[int, ...], team_priorities: tuple[int | None, ...]
) -> route_tables.RouteTable:
    config_routes = tuple(
        fleet_system.make_route(
            STREAM, prefix=f"/{priority}/", priority=priority
        )
        for priority in route_priorities
    )
    teams = tuple(
        routes.TeamKeys(f"team-{index}", frozenset({f"key-{index}"}), priority)
        for index, priority in enumerate(team_priorities)
    )
    config = fleet_system.make_config(config_routes=config_routes)
    return route_tables.RouteTable(attrs.evolve(config, teams=teams))


def urgency(
    route_table: route_tables.RouteTable, path: str, key: str
) -> routes.Urgency:
    admitted = route_table.admit("desk", path, key)
    return route_table.urgency(admitted, fleet_system.MODEL)


class TestRanks:
    """Ranks of streams of one service."""

    def test_routes_are_ranked_within_a_team_priority(self) -> None:
        ranked = table((0, 1, 2), (1, 1))
        ranks = [
            urgency(ranked, f"/{priority}/x", "key-1").rank
            for priority in (0, 1, 2)
        ]
        assert ranks == [0, 1, 2]

    def test_priority_of_a_team_takes_precedence(self) -> None:
        ranked = table((0, 1), (0, 1))
        assert urgency(ranked, "/1/x", "key-0").rank == 1
        assert urgency(ranked, "/0/x", "key-1").rank == 2

    def test_equal_routes_are_not_ranked(self) -> None:
        assert not urgency(table((1,), (0, 1)), "/1/x", "key-1").is_ranked

    def test_teams_without_a_priority_have_that_of_the_route(self) -> None:
        ranked = table((0, 2), (None,))
        assert urgency(ranked, "/2/x", "key-0") == routes.Urgency(1, 2)

    def test_routes_of_other_kinds_are_ranked_among_the_streams(self) -> None:
        config_routes = tuple(
            fleet_system.make_route(
                repeat, prefix=f"/{number}/", priority=rank
            )
            for number, (repeat, rank) in enumerate(
                [(STREAM, 0), (STREAM, 2), (routes.RepeatPolicy.ONCE, 1)]
                + [(routes.RepeatPolicy.ONCE, 9)]
            )
        )
        ranked = route_tables.RouteTable(
            fleet_system.make_config(config_routes=config_routes)
        )
        for path, rank in (("/2/x", 1), ("/3/x", 1), ("/1/x", 1), ("/0/x", 0)):
            assert urgency(ranked, path, "secret") == routes.Urgency(rank, 2)
