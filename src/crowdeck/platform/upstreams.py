# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Decodes stored objects of upstream instances and reports of engines."""

from crowdeck import chain
from crowdeck import errors
from crowdeck import instance as instances
from crowdeck import json_text
from crowdeck import pipeline
from crowdeck.platform import names
from crowdeck.state import objects as stores
from crowdeck import verdict as verdicts

_STATES = frozenset({names.STATE_READY, names.STATE_DRAINING})
# Largest accepted end of a layer range. Bounds the length of lists that have
# an item per layer.
MAX_LAYER_COUNT = 65_536
# Errors of reading a body with missing fields, wrong types or sizes.
_DECODE_ERRORS = (
    AttributeError,
    KeyError,
    OverflowError,
    TypeError,
    ValueError,
)


def decode(stored: stores.StoredObject) -> chain.Upstream:
    """Return the upstream instance that a stored object describes.

    :raises CrowdeckError: ``MALFORMED`` if the object is invalid. Objects of
        other writers are invalid too, as they have no instance state.
    """
    try:
        body = json_text.decode(stored.value)
        _require_all_fields(body)
        incarnation = chain.Incarnation(
            json_text.header_text({names.ID: stored.name}, names.ID),
            _start_time_ms(body),
        )
        return chain.Upstream(
            name=incarnation.name,
            # Without a start time the name is the id.
            instance_id=incarnation.id if incarnation.started_ms else "",
            started_ms=incarnation.started_ms,
            service=json_text.text(body, names.SERVICE),
            address=instances.Address.parse(
                json_text.text(body, names.ADDRESS)
            ),
            availability_zone=json_text.text(body, names.ZONE),
            slots=json_text.integer(body, names.SLOTS),
            is_leaving=_state(body) == names.STATE_DRAINING,
            card=json_text.text(body, names.ACCELERATOR_TYPE, ""),
            layers=_layers(body),
        )
    except _DECODE_ERRORS as error:
        raise _malformed_error(
            f"the stored upstream {stored.name!r:.80}", error
        ) from None


def decode_report(content: bytes) -> chain.EngineReport:
    """Return an engine's report.

    :raises CrowdeckError: ``MALFORMED``.
    """
    try:
        body = json_text.decode(content)
        return chain.EngineReport(
            orders_taken=json_text.integer(body, names.ORDERS_TAKEN),
            is_busy=json_text.boolean(body, names.BUSY),
            layers=_layers(body),
            running=json_text.integer(body, names.RUNNING, 0),
            waiting=json_text.integer(body, names.WAITING, 0),
            cache_used=json_text.number(body, names.CACHE_USED, 0.0),
            cache_total=json_text.number(body, names.CACHE_TOTAL, 0.0),
            slowdown=json_text.number(body, names.SLOWDOWN, 1.0) or 1.0,
            stalls=tuple(
                chain.Stall(
                    json_text.text(stall, names.ID),
                    json_text.text(stall, names.ADDRESS),
                )
                for stall in json_text.list_field(body, names.STALLED)
            ),
            started_ms=_start_time_ms(body),
        )
    except _DECODE_ERRORS as error:
        raise _malformed_error("an engine's report", error) from None


def _require_all_fields(body: json_text.Json) -> None:
    """Check the fields that each instance writes and that nothing reads.

    A record without them is another writer's.

    :raises KeyError: if one is missing.
    :raises TypeError: if one has another type.
    :raises ValueError: if a number is negative or too large.
    """
    json_text.text(body, names.VERSION)
    json_text.number(body, names.COLD_MS)
    json_text.integer(body, names.ORDERS_TAKEN)


def _state(body: json_text.Json) -> str:
    # Every instance writes its state; other writers' objects have none.
    state = json_text.text(body, names.STATE)
    if state not in _STATES:
        raise ValueError(
            f"the state is {state!r:.40}; expected one of {sorted(_STATES)}"
        )
    return state


def _start_time_ms(body: json_text.Json) -> int:
    """Return the start time in a stored object or a report, 0 if missing.

    :raises TypeError: if it is null, which other fields treat as missing.
    """
    if names.STARTED_MS in body and body[names.STARTED_MS] is None:
        raise TypeError("the start time is null")
    return json_text.integer(body, names.STARTED_MS, 0)


def _layers(body: json_text.Json) -> pipeline.LayerRange | None:
    value = body.get(names.LAYERS)
    if not value:
        return None
    first = json_text.integer(value, names.FIRST_LAYER)
    end = json_text.integer(value, names.END_LAYER)
    if end > MAX_LAYER_COUNT:
        raise ValueError(
            f"the layers end at {end}; expected at most {MAX_LAYER_COUNT}"
        )
    return pipeline.LayerRange(first, end) if end > first else None


def _malformed_error(subject: str, error: Exception) -> errors.CrowdeckError:
    return errors.CrowdeckError(
        errors.Code.MALFORMED,
        f"{subject} is malformed ({error!r})",
        # An engine that sends an invalid report may have run the call. For
        # stored objects the verdict has no meaning.
        verdict=verdicts.Verdict.MAY_HAVE_RUN,
    )
