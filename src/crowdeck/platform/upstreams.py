# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Upstream instances' entries in the store, and engines' reports."""

import orjson

from crowdeck import chain
from crowdeck import errors
from crowdeck import instance as instances
from crowdeck import pipeline
from crowdeck.platform import fields
from crowdeck.platform import names
from crowdeck.state import objects as stores
from crowdeck import verdict as verdicts

_STATES = frozenset({names.STATE_READY, names.STATE_DRAINING})
# Layers that a model may have at most; what counts them makes room for each.
MAX_LAYER_COUNT = 65_536
# What reading a body of wrong types or sizes may raise.
_WRONG = (AttributeError, KeyError, OverflowError, TypeError, ValueError)


def decode(stored: stores.StoredObject) -> chain.Upstream:
    """Return the upstream instance that an entry describes.

    :raises CrowdeckError: ``MALFORMED``, also where another writer made it
        and its state is none that an instance can have.
    """
    try:
        body = orjson.loads(stored.value)
        incarnation = chain.Incarnation(
            fields.token({names.ID: stored.name}, names.ID), _born(body)
        )
        return chain.Upstream(
            name=incarnation.name,
            instance_id=incarnation.id if incarnation.started_ms else "",
            started_ms=incarnation.started_ms,
            service=fields.text(body, names.SERVICE),
            address=instances.Address.parse(fields.text(body, names.ADDRESS)),
            availability_zone=fields.text(body, names.ZONE, ""),
            slots=fields.whole(body, names.SLOTS, 1),
            is_leaving=_state(body) == names.STATE_DRAINING,
            card=fields.text(body, names.CARD, ""),
            layers=_layers(body),
        )
    except _WRONG as error:
        raise _malformed(f"entry {stored.name!r:.80}", error) from None


def decode_report(content: bytes) -> chain.EngineReport:
    """Return what an engine reports.

    :raises CrowdeckError: ``MALFORMED``.
    """
    try:
        body = orjson.loads(content)
        return chain.EngineReport(
            orders_taken=fields.whole(body, names.ORDERS_TAKEN),
            is_busy=fields.flag(body, names.BUSY),
            layers=_layers(body),
            running=fields.whole(body, names.RUNNING, 0),
            waiting=fields.whole(body, names.WAITING, 0),
            cache_used=fields.number(body, names.CACHE_USED, 0.0),
            cache_total=fields.number(body, names.CACHE_TOTAL, 0.0),
            slowdown=fields.number(body, names.SLOWDOWN, 1.0) or 1.0,
            stalls=tuple(
                chain.Stall(
                    fields.text(one, names.ID),
                    fields.text(one, names.ADDRESS),
                )
                for one in fields.entries(body, names.STALLED)
            ),
            started_ms=_born(body),
        )
    except _WRONG as error:
        raise _malformed("an engine's report", error) from None


def _state(body: fields.Json) -> str:
    # Every instance tells it: an entry without it is another writer's.
    state = fields.text(body, names.STATE)
    if state not in _STATES:
        raise ValueError(f"no instance is {state!r:.40}")
    return state


def _born(body: fields.Json) -> int:
    """Return when an engine says that it started, 0 where it does not."""
    if names.BORN in body and body[names.BORN] is None:
        raise TypeError("it started at no time")
    return fields.whole(body, names.BORN, 0)


def _layers(body: fields.Json) -> pipeline.LayerRange | None:
    told = body.get(names.LAYERS)
    if not told:
        return None
    first = fields.whole(told, names.FIRST_LAYER)
    end = fields.whole(told, names.END_LAYER)
    if end > MAX_LAYER_COUNT:
        raise ValueError(f"no model has {end} layers")
    return pipeline.LayerRange(first, end) if end > first else None


def _malformed(what: str, error: Exception) -> errors.CrowdeckError:
    return errors.CrowdeckError(
        errors.Code.MALFORMED,
        f"{what} is malformed ({error!r})",
        verdict=verdicts.Verdict.MAY_HAVE_RUN,
    )
