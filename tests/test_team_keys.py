# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Who is let in by a config: lists of teams, keys and anonymous routes."""

import typing

import attrs
import orjson
import pytest

from crowdeck import errors
from crowdeck.platform import config as platform_config
from crowdeck.platform import names
from crowdeck import route as routes
from crowdeck.routing import routes as route_tables
from tests import fleet_system
from tests import test_platform_formats
from tests import virtual

ABSENT = object()
KEY = "k1"
Json = dict[str, typing.Any]


def decode(teams: object, **route_fields: object) -> routes.FleetConfig:
    """Return a decoded config.

    :param teams: value of the field, ``ABSENT`` to leave it out.
    :param route_fields: replace fields of all routes.
    """
    body: Json = {**test_platform_formats.CONFIG, names.TEAMS: teams}
    if teams is ABSENT:
        del body[names.TEAMS]
    body[names.ROUTES] = [
        {**route, **route_fields} for route in body[names.ROUTES]
    ]
    return platform_config.decode(orjson.dumps(body))


def team(**changes: object) -> Json:
    body = {names.NAME: "hule", names.API_KEYS: [KEY], **changes}
    return {name: value for name, value in body.items() if value is not ABSENT}


def admitted_team(config: routes.FleetConfig, key: str) -> str | None:
    """Return the team as which a key is admitted, ``None`` if it is not."""
    table = route_tables.RouteTable(config)
    try:
        return table.admit("desk.example", "/a/x", key).team
    except errors.CrowdeckError as error:
        assert error.code is errors.Code.UNAUTHORIZED
        return None


class TestListOfTeams:
    """The field that lists the teams."""

    def test_absent_list_lets_requests_in_without_keys(self) -> None:
        config = decode(ABSENT)
        assert not config.requires_keys
        assert admitted_team(config, "") == admitted_team(config, KEY) == ""

    @pytest.mark.parametrize(
        "teams", [[], None, {}, {"hule": [KEY]}, KEY, "", 0, 1, True, False]
    )
    def test_list_without_readable_teams_lets_nobody_in(
        self, teams: object
    ) -> None:
        # Guards against a list that is empty or a mistake and is read like
        # one that is absent, so that no request needs a key.
        config = decode(teams)
        assert config.requires_keys
        for key in ("", KEY, "unknown", "None", "k"):
            assert admitted_team(config, key) is None

    @pytest.mark.parametrize("item", [None, KEY, [KEY], 1, {}])
    def test_malformed_team_lets_nobody_in_and_keeps_the_others(
        self, item: object
    ) -> None:
        # Guards against a version that is refused as a whole, so that keys
        # that it takes away stay valid.
        config = decode([item, team(**{names.API_KEYS: ["other"]})])
        assert admitted_team(config, "other") == "hule"
        assert admitted_team(config, KEY) is None
        assert admitted_team(config, "") is None


class TestTeam:
    """The fields of one team."""

    @pytest.mark.parametrize("name", [ABSENT, None, "", 7, "a\nb", ["hule"]])
    def test_team_without_a_name_lets_nobody_in(self, name: object) -> None:
        # Guards against requests that run for no team, or for a wrong one.
        config = decode([team(**{names.NAME: name})])
        assert admitted_team(config, KEY) is None

    @pytest.mark.parametrize(
        "keys", [ABSENT, None, [], "", KEY, {KEY: 1}, 5, [None], [""], [["k"]]]
    )
    def test_team_without_readable_keys_lets_nobody_in(
        self, keys: object
    ) -> None:
        # Guards against an empty key, which every request without a key has,
        # and against a text that is read as a list of letters.
        config = decode([team(**{names.API_KEYS: keys})])
        assert config.requires_keys
        for key in ("", KEY, "k", "1", "None", "5"):
            assert admitted_team(config, key) is None

    def test_malformed_key_keeps_the_others(self) -> None:
        config = decode([team(**{names.API_KEYS: [None, KEY, ""]})])
        assert admitted_team(config, KEY) == "hule"
        assert admitted_team(config, "") is None

    @pytest.mark.parametrize("priority", [ABSENT, None, "3", -1, 1.5, []])
    def test_missing_or_malformed_priority_is_that_of_the_route(
        self, priority: object
    ) -> None:
        config = decode([team(**{names.CONFIG_PRIORITY: priority})])
        assert config.listed_teams[0].priority is None
        assert admitted_team(config, KEY) == "hule"

    def test_key_of_two_teams_is_that_of_the_last(self) -> None:
        config = decode([team(), team(**{names.NAME: "second"})])
        assert admitted_team(config, KEY) == "second"


class TestPermissions:
    """Fields of a route that permit something."""

    @pytest.mark.parametrize(
        "value", [None, False, "", "false", "true", 0, 1, [], {}]
    )
    def test_only_true_opens_a_route(self, value: object) -> None:
        # Guards against a text such as "false" that opens a route.
        config = decode([], **{names.ANONYMOUS: value})
        assert admitted_team(config, "") is None

    def test_anonymous_route_is_open_whatever_the_teams(self) -> None:
        for teams in (ABSENT, None, [], [team()]):
            config = decode(teams, **{names.ANONYMOUS: True})
            assert admitted_team(config, "") == ""
            assert admitted_team(config, "unknown") == ""
        assert admitted_team(config, KEY) == "hule"

    @pytest.mark.parametrize("value", [None, "false", "true", 1, []])
    def test_only_true_makes_a_stream_resumable(self, value: object) -> None:
        # Guards against a stream that runs twice.
        config = decode([], **{names.RESUMABLE: value})
        assert not any(route.may_repeat for route in config.routes)


class TestOtherFields:
    """Fields that let nobody in or out."""

    @pytest.mark.parametrize("field", [names.ROUTES, names.SERVICES])
    @pytest.mark.parametrize("value", [ABSENT, None, 5, "text", [5], [{}]])
    def test_missing_or_malformed_list_refuses_the_version(
        self, field: str, value: object
    ) -> None:
        body: Json = {**test_platform_formats.CONFIG, field: value}
        if value is ABSENT:
            del body[field]
        with pytest.raises(errors.CrowdeckError):
            platform_config.decode(orjson.dumps(body))

    def test_empty_lists_are_those_of_a_config_without_routes(self) -> None:
        body = {
            **test_platform_formats.CONFIG,
            names.ROUTES: [],
            names.SERVICES: [],
        }
        config = platform_config.decode(orjson.dumps(body))
        assert config.routes == config.services == ()
        with pytest.raises(errors.CrowdeckError) as raised:
            route_tables.RouteTable(config).admit("desk.example", "/a/x", KEY)
        assert raised.value.code is errors.Code.NOT_FOUND

    @pytest.mark.parametrize("value", [ABSENT, None, {}])
    def test_limits_without_values_are_the_defaults(
        self, value: object
    ) -> None:
        body: Json = {**test_platform_formats.CONFIG, names.LIMITS: value}
        if value is ABSENT:
            del body[names.LIMITS]
        config = platform_config.decode(orjson.dumps(body))
        assert config.limits == routes.Limits()

    @pytest.mark.parametrize("value", [5, "text", [1], {"max_body_bytes": ""}])
    def test_malformed_limits_refuse_the_version(self, value: object) -> None:
        body = {**test_platform_formats.CONFIG, names.LIMITS: value}
        with pytest.raises(errors.CrowdeckError):
            platform_config.decode(orjson.dumps(body))


class TestRequests:
    """Requests at an entry while the config changes."""

    @pytest.mark.parametrize("repeat", list(routes.RepeatPolicy))
    @pytest.mark.parametrize("last_event_id", [0, 3])
    def test_none_runs_once_the_last_team_is_taken_away(
        self, repeat: routes.RepeatPolicy, last_event_id: int
    ) -> None:
        # Guards against requests with revoked, unknown or missing keys that
        # run after a config with an empty list of teams.
        async def work(system: fleet_system.FleetSystem) -> None:
            served = await system.ask(system.request(repeat))
            assert served.status == 200
            config = fleet_system.make_config(version=2)
            system.install(attrs.evolve(config, teams=()))
            for key in ("secret", "unknown", ""):
                request = system.request(
                    repeat, key=key, last_event_id=last_event_id
                )
                caller = await system.ask(request)
                assert caller.error is not None
                assert caller.error.code is errors.Code.UNAUTHORIZED
                assert system.fleet.runs_of(request.id) == []

        run_with_fleet(work)

    def test_teams_that_come_back_are_let_in(self) -> None:
        async def work(system: fleet_system.FleetSystem) -> None:
            config = fleet_system.make_config()
            versions = [(), config.teams, None, config.teams]
            statuses = []
            for version, teams in enumerate(versions, start=2):
                system.install(
                    attrs.evolve(config, version=version, teams=teams)
                )
                for key in ("secret", ""):
                    caller = await system.ask(
                        system.request(routes.RepeatPolicy.ONCE, key=key)
                    )
                    statuses.append(caller.status)
            # Without a list of teams no request needs a key; with the first
            # or the next one each does.
            assert statuses == [0, 0, 200, 0, 200, 200, 200, 0]

        run_with_fleet(work)

    def test_old_config_without_valid_keys_refuses_as_not_run(self) -> None:
        # Guards against an old copy that answers 401 for a key that a newer
        # config may have, or lets requests in without a check of its age.
        async def work(system: fleet_system.FleetSystem) -> None:
            config = fleet_system.make_config(version=2)
            system.install(attrs.evolve(config, teams=()))
            system.config_age_seconds = 10.0
            for key in ("secret", ""):
                caller = await system.ask(
                    system.request(routes.RepeatPolicy.ONCE, key=key)
                )
                assert caller.error is not None
                assert caller.error.code is errors.Code.STORE_DOWN

        run_with_fleet(work)


def run_with_fleet(
    work: typing.Callable[[fleet_system.FleetSystem], typing.Awaitable[None]],
) -> None:
    async def body() -> None:
        system = fleet_system.FleetSystem()
        system.add_model()
        system.add(
            fleet_system.upstream("p", service=fleet_system.PLAIN, card="")
        )
        system.install(system.config)
        await fleet_system.run_with(system, work)

    virtual.run(body)
