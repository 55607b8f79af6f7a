# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Decodes the fleet config: routes, services and teams.

Operators keep it in the platform's store.
"""

import typing


from crowdeck import chain
from crowdeck import errors
from crowdeck import json_text
from crowdeck.observe import logs
from crowdeck.platform import names
from crowdeck.platform import upstreams
from crowdeck import route as routes

Json = dict[str, typing.Any]

# Errors of reading a body with missing fields or wrong types.
_DECODE_ERRORS = (
    AttributeError,
    IndexError,
    KeyError,
    OverflowError,
    TypeError,
    ValueError,
)

_REPEAT_POLICY_BY_KIND = {
    names.KIND_IDEMPOTENT: routes.RepeatPolicy.IDEMPOTENT,
    names.KIND_STREAMING: routes.RepeatPolicy.STREAM,
}
DEFAULT_TIMEOUT_MS = 20_000


def decode(value: bytes) -> routes.FleetConfig:
    """Return the config from a stored object's value.

    What decides who is let in is read strictly: a team, a key or a permission
    that is malformed counts as not given and is logged, and the rest of the
    config applies.

    :raises SettingsError: if anything else is malformed.
    """
    try:
        body = json_text.decode(value)
        return routes.FleetConfig(
            version=_integer(body[names.VERSION]),
            routes=tuple(_route(item) for item in body[names.ROUTES]),
            services=tuple(_service(item) for item in body[names.SERVICES]),
            teams=_teams(body),
            limits=_limits(body.get(names.LIMITS) or {}),
        )
    except _DECODE_ERRORS as error:
        raise errors.SettingsError(
            f"the stored config is malformed ({error!r})"
        ) from None


def _route(body: Json) -> routes.Route:
    repeat = _REPEAT_POLICY_BY_KIND.get(
        body[names.ROUTE_KIND], routes.RepeatPolicy.ONCE
    )
    is_resumable = repeat is routes.RepeatPolicy.STREAM and _permission(
        body, names.RESUMABLE
    )
    return routes.Route(
        name=str(body[names.NAME]),
        host=str(body[names.HOST]).lower(),
        prefix=str(body[names.PREFIX]),
        repeat=repeat,
        shares=_shares(body),
        max_attempts=_integer(body.get(names.MAX_ATTEMPTS, 1)),
        timeout_seconds=_seconds(
            body.get(names.TIMEOUT_MS, DEFAULT_TIMEOUT_MS)
        ),
        objective_seconds=_seconds(
            body.get(names.OBJECTIVE_MS)
            or body.get(names.TIMEOUT_MS, DEFAULT_TIMEOUT_MS)
        ),
        max_pause_seconds=_seconds(body.get(names.MAX_PAUSE_MS) or 0),
        priority=_integer(body.get(names.CONFIG_PRIORITY) or 0),
        is_anonymous=_permission(body, names.ANONYMOUS),
        is_resumable=is_resumable,
    )


def _shares(body: Json) -> tuple[routes.TrafficShare, ...]:
    split = body.get(names.SPLIT)
    if not split:
        return (routes.TrafficShare(str(body[names.SERVICE]), 1.0),)
    return tuple(
        routes.TrafficShare(
            str(share[names.SERVICE]), _number(share[names.WEIGHT])
        )
        for share in split
    )


def _service(body: Json) -> routes.Service:
    engine = body.get(names.ENGINE)
    return routes.Service(
        name=str(body[names.NAME]),
        connection_limit=_integer(body.get(names.CONNECTION_LIMIT) or 0),
        profile=_profile(engine) if engine else None,
    )


def _profile(body: Json) -> chain.EngineProfile | None:
    if not body.get(names.LAYERS):
        return None
    models = body.get(names.MODELS) or [{}]
    mean_lengths = body.get(names.MEAN_LENGTHS) or {}
    accelerator_types = (
        _accelerator_type(item)
        for item in body.get(names.ACCELERATOR_TYPES) or ()
    )
    return chain.EngineProfile(
        layer_count=_layer_count(body),
        layer_mb=_number(body[names.LAYER_MB]),
        kv_bytes_per_token=_number(body[names.KV_BYTES_PER_TOKEN]),
        step_ms=_number(body[names.STEP_MS]),
        sequence_ms=_number(body[names.MS_PER_SEQUENCE]),
        context_ms_per_1000_tokens=_number(
            body[names.CONTEXT_MS_PER_1000_TOKENS]
        ),
        prefill_tokens_per_second=_number(
            body[names.PREFILL_TOKENS_PER_SECOND]
        ),
        activation_bytes=_number(body[names.ACTIVATION_BYTES]),
        zone_link_bytes_per_second=_number(body[names.ZONE_LINK_MBPS])
        * 1e6
        / 8,
        # Only the first model's load time is used.
        load_seconds=_number(models[0].get(names.LOAD_SECONDS, 0.0)),
        concurrent_loads=_integer(body.get(names.CONCURRENT_LOADS) or 1),
        slots=_integer(body[names.SLOTS]),
        mean_prompt_tokens=_number(
            mean_lengths.get(names.MEAN_PROMPT_TOKENS, 0.0)
        ),
        mean_answer_tokens=_number(
            mean_lengths.get(names.MEAN_ANSWER_TOKENS, 0.0)
        ),
        cards={
            accelerator_type.name: accelerator_type
            for accelerator_type in accelerator_types
        },
    )


def _layer_count(body: Json) -> int:
    layer_count = _integer(body[names.LAYERS])
    if not 0 < layer_count <= upstreams.MAX_LAYER_COUNT:
        raise ValueError(
            f"found {layer_count} layers; expected 1 to "
            f"{upstreams.MAX_LAYER_COUNT}"
        )
    return layer_count


def _accelerator_type(body: Json) -> chain.AcceleratorType:
    return chain.AcceleratorType(
        name=str(body[names.NAME]),
        memory_mb=_number(body[names.MEMORY_MB]),
        step_factor=_number(body[names.STEP_FACTOR]),
        prefill_factor=_number(body[names.PREFILL_FACTOR]),
    )


def _teams(body: Json) -> tuple[routes.TeamKeys, ...] | None:
    """Return the listed teams, ``None`` if the config has no list.

    A list that is null or malformed names no team, so that no key is valid.
    """
    if names.TEAMS not in body:
        return None
    found = []
    for item in _list_or_empty(body, names.TEAMS):
        try:
            found.append(_team(item))
        except _DECODE_ERRORS as error:
            _log_unread(names.TEAMS, error)
    return tuple(found)


def _team(body: Json) -> routes.TeamKeys:
    if not isinstance(body, dict):
        raise TypeError(f"a team is a {type(body).__name__}, not an object")
    name = json_text.text(body, names.NAME)
    if not name or not name.isprintable():
        raise ValueError("the name of a team is empty or not printable")
    keys = [
        key for key in _list_or_empty(body, names.API_KEYS) if _is_key(key)
    ]
    return routes.TeamKeys(
        name=name, keys=frozenset(keys), priority=_team_priority(body)
    )


def _is_key(key: object) -> bool:
    # A request without a key has an empty one.
    if isinstance(key, str) and key:
        return True
    _log_unread(names.API_KEYS, TypeError("a key is empty or not a string"))
    return False


def _team_priority(body: Json) -> int | None:
    if body.get(names.CONFIG_PRIORITY) is None:
        return None
    try:
        return json_text.integer(body, names.CONFIG_PRIORITY)
    except _DECODE_ERRORS as error:
        _log_unread(names.CONFIG_PRIORITY, error)
        return None


def _list_or_empty(body: Json, name: str) -> list[typing.Any]:
    """Return a list field, empty if it is missing, null or malformed."""
    value = body.get(name)
    if value is None or isinstance(value, list):
        return value or []
    # Its value is not logged, as it may be a key.
    _log_unread(name, TypeError(f"it is a {type(value).__name__}, not a list"))
    return []


def _permission(body: Json, name: str) -> bool:
    """Return whether a field is true; a malformed one permits nothing."""
    try:
        return json_text.boolean(body, name)
    except TypeError as error:
        _log_unread(name, error)
        return False


def _log_unread(name: str, error: Exception) -> None:
    logs.change("config_field_unread", field=name, reason=f"{error!r:.120}")


def _limits(body: Json) -> routes.Limits:
    defaults = routes.Limits()
    return routes.Limits(
        header_bytes=_integer(
            body.get(names.HEADER_BYTES, defaults.header_bytes)
        ),
        body_bytes=_integer(body.get(names.BODY_BYTES, defaults.body_bytes)),
        header_seconds=_seconds(
            body.get(names.HEADER_TIMEOUT_MS, defaults.header_seconds * 1000)
        ),
        idle_seconds=_seconds(
            body.get(names.IDLE_TIMEOUT_MS, defaults.idle_seconds * 1000)
        ),
    )


def _seconds(milliseconds: typing.Any) -> float:
    return _number(milliseconds) / 1000.0


def _integer(value: typing.Any) -> int:
    return int(_number(value))


def _number(value: typing.Any) -> float:
    """Return a number of the config.

    :raises ValueError: if it is infinite, NaN or larger than any setting.
    """
    number = float(value)
    # False for NaN, too.
    if not abs(number) <= json_text.MAX_EXACT_INTEGER:
        raise ValueError(
            f"found {number:g}; expected at most {json_text.MAX_EXACT_INTEGER}"
        )
    return number
