# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Decodes the fleet config: routes, services and teams.

Operators keep it in the platform's store.
"""

import typing

import orjson

from crowdeck import chain
from crowdeck import errors
from crowdeck.platform import names
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

    :raises SettingsError: if it is malformed.
    """
    try:
        body = orjson.loads(value)
        return routes.FleetConfig(
            version=int(body[names.VERSION]),
            routes=tuple(_route(item) for item in body[names.ROUTES]),
            services=tuple(_service(item) for item in body[names.SERVICES]),
            teams=tuple(_team(item) for item in body.get(names.TEAMS) or ()),
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
    is_resumable = repeat is routes.RepeatPolicy.STREAM and bool(
        body.get(names.RESUMABLE, False)
    )
    return routes.Route(
        name=str(body[names.NAME]),
        host=str(body[names.HOST]).lower(),
        prefix=str(body[names.PREFIX]),
        repeat=repeat,
        shares=_shares(body),
        max_attempts=int(body.get(names.MAX_ATTEMPTS, 1)),
        timeout_seconds=_seconds(
            body.get(names.TIMEOUT_MS, DEFAULT_TIMEOUT_MS)
        ),
        objective_seconds=_seconds(
            body.get(names.OBJECTIVE_MS)
            or body.get(names.TIMEOUT_MS, DEFAULT_TIMEOUT_MS)
        ),
        max_pause_seconds=_seconds(body.get(names.MAX_PAUSE_MS) or 0),
        priority=int(body.get(names.CONFIG_PRIORITY) or 0),
        is_anonymous=bool(body.get(names.ANONYMOUS, False)),
        is_resumable=is_resumable,
    )


def _shares(body: Json) -> tuple[routes.TrafficShare, ...]:
    split = body.get(names.SPLIT)
    if not split:
        return (routes.TrafficShare(str(body[names.SERVICE]), 1.0),)
    return tuple(
        routes.TrafficShare(
            str(share[names.SERVICE]), float(share[names.WEIGHT])
        )
        for share in split
    )


def _service(body: Json) -> routes.Service:
    engine = body.get(names.ENGINE)
    return routes.Service(
        name=str(body[names.NAME]),
        connection_limit=int(body.get(names.CONNECTION_LIMIT) or 0),
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
        layer_count=int(body[names.LAYERS]),
        layer_mb=float(body[names.LAYER_MB]),
        kv_bytes_per_token=float(body[names.KV_BYTES_PER_TOKEN]),
        step_ms=float(body[names.STEP_MS]),
        sequence_ms=float(body[names.MS_PER_SEQUENCE]),
        context_ms_per_1000_tokens=float(
            body[names.CONTEXT_MS_PER_1000_TOKENS]
        ),
        prefill_tokens_per_second=float(body[names.PREFILL_TOKENS_PER_SECOND]),
        activation_bytes=float(body[names.ACTIVATION_BYTES]),
        zone_link_bytes_per_second=float(body[names.ZONE_LINK_MBPS]) * 1e6 / 8,
        # Only the first model's load time is used.
        load_seconds=float(models[0].get(names.LOAD_SECONDS, 0.0)),
        concurrent_loads=int(body.get(names.CONCURRENT_LOADS) or 1),
        slots=int(body[names.SLOTS]),
        mean_prompt_tokens=float(
            mean_lengths.get(names.MEAN_PROMPT_TOKENS, 0.0)
        ),
        mean_answer_tokens=float(
            mean_lengths.get(names.MEAN_ANSWER_TOKENS, 0.0)
        ),
        cards={
            accelerator_type.name: accelerator_type
            for accelerator_type in accelerator_types
        },
    )


def _accelerator_type(body: Json) -> chain.AcceleratorType:
    return chain.AcceleratorType(
        name=str(body[names.NAME]),
        memory_mb=float(body[names.MEMORY_MB]),
        step_factor=float(body[names.STEP_FACTOR]),
        prefill_factor=float(body[names.PREFILL_FACTOR]),
    )


def _team(body: Json) -> routes.TeamKeys:
    priority = body.get(names.CONFIG_PRIORITY)
    return routes.TeamKeys(
        name=str(body[names.NAME]),
        keys=frozenset(str(key) for key in body.get(names.API_KEYS) or ()),
        priority=None if priority is None else int(priority),
    )


def _limits(body: Json) -> routes.Limits:
    defaults = routes.Limits()
    return routes.Limits(
        header_bytes=int(body.get(names.HEADER_BYTES, defaults.header_bytes)),
        body_bytes=int(body.get(names.BODY_BYTES, defaults.body_bytes)),
        header_seconds=float(
            body.get(names.HEADER_TIMEOUT_MS, defaults.header_seconds * 1000)
            / 1000
        ),
        idle_seconds=float(
            body.get(names.IDLE_TIMEOUT_MS, defaults.idle_seconds * 1000)
            / 1000
        ),
    )


def _seconds(milliseconds: float) -> float:
    return float(milliseconds) / 1000.0
