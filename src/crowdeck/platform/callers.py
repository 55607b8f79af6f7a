# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Decodes callers' requests and builds headers for upstreams and callers."""

import re

from crowdeck import chain
from crowdeck import http
from crowdeck import json_text
from crowdeck.platform import names
from crowdeck.relay import interfaces
from crowdeck.relay import request as requests

# Set by the entry or meant only for it, so a caller's value is not forwarded.
_REPLACED_HEADERS = frozenset(
    {
        names.AUTHORIZATION,
        names.DEADLINE,
        names.EXPECTED_INSTANCE,
        names.HOPS,
        names.PRIORITY,
        names.TEAM,
    }
)
# Sent by upstreams to entries, not to callers.
_ENTRY_HEADERS = frozenset(
    {names.CULPRIT, names.LEAVING, names.RATE_LIMIT, names.LOAD}
)
_HOP_BY_HOP_HEADERS = frozenset(
    name.encode() for name in http.HOP_BY_HOP_HEADERS
)
_CONNECTION = b"connection"
_HOST = b"host"
_EVENT_ID = re.compile(rb"(?:^|[\r\n])id:[ ]?(\d+)[ ]*(?=[\r\n]|$)")
_CONTROLS = re.compile(rb"[\x00-\x08\x0a-\x1f\x7f]")
_MAX_EVENT_ID_DIGITS = len(str(json_text.MAX_EXACT_INTEGER))
MIN_DEADLINE_MS = 1
# The least urgent priority that engines accept.
LOWEST_PRIORITY = 9


def decode(
    method: str,
    raw_path: bytes,
    query: bytes,
    headers: http.RawHeaders,
    body: bytes,
    arrived: float,
) -> requests.CallerRequest | None:
    """Return a caller's request, or ``None`` if it has no request id.

    :param arrived: loop time at which the headers had been read, in seconds.
    """
    first_values: dict[bytes, bytes] = {}
    for name, value in headers:
        first_values.setdefault(name, value)
    request_id = first_values.get(names.REQUEST_ID, b"")
    if not request_id:
        return None
    path = raw_path.decode("latin-1")
    target = path + ("?" + query.decode("latin-1") if query else "")
    timeout_ms = _parse_number(first_values.get(names.DEADLINE, b""))
    host = first_values.get(_HOST, b"").decode("latin-1").lower()
    return requests.CallerRequest(
        id=request_id.decode("latin-1"),
        method=method,
        target=target,
        path=path,
        host=host.partition(":")[0],
        key=_api_key(first_values.get(names.AUTHORIZATION, b"")),
        headers=headers,
        body=body,
        timeout_seconds=None if timeout_ms is None else timeout_ms / 1000.0,
        arrived=arrived,
        token_counts=_token_counts(first_values),
        last_event_id=_last_event_id(first_values),
        model=first_values.get(names.MODEL, b"").decode("latin-1"),
        prompt_parts=_prompt_parts(headers),
    )


def upstream_request_headers(
    request: requests.CallerRequest,
    upstream: chain.Upstream,
    dispatch: interfaces.Dispatch,
) -> http.RawHeaders:
    """Return the headers of a request to an upstream."""
    dropped = (
        _REPLACED_HEADERS
        | _HOP_BY_HOP_HEADERS
        | _headers_listed_in_connection(request.headers)
    )
    dropped -= {_HOST}
    if dispatch.last_event_id != request.last_event_id:
        dropped |= {names.LAST_EVENT_ID}
    headers = [pair for pair in request.headers if pair[0] not in dropped]
    milliseconds = max(MIN_DEADLINE_MS, int(dispatch.seconds_left * 1000))
    headers.append((names.DEADLINE, str(milliseconds).encode()))
    headers.append((names.EXPECTED_INSTANCE, upstream.incarnation.id.encode()))
    headers.append(
        (names.PRIORITY, str(min(LOWEST_PRIORITY, dispatch.priority)).encode())
    )
    if dispatch.team:
        headers.append((names.TEAM, dispatch.team.encode()))
    if dispatch.path is not None:
        headers.append((names.HOPS, str(dispatch.path).encode()))
    if dispatch.last_event_id != request.last_event_id:
        headers.append(
            (names.LAST_EVENT_ID, str(dispatch.last_event_id).encode())
        )
    if request.body or any(
        name == b"content-length" for name, _ in request.headers
    ):
        length = str(len(request.body)).encode()
        headers.append((b"content-length", length))
    return headers


def caller_response_headers(headers: http.RawHeaders) -> http.RawHeaders:
    """Return the headers of an upstream's answer that the caller gets.

    A value with control characters cannot be sent on, and is left out.
    """
    dropped = _HOP_BY_HOP_HEADERS | _ENTRY_HEADERS
    return [
        (name.lower(), value)
        for name, value in headers
        if name.lower() not in dropped and not _CONTROLS.search(value)
    ]


def retry_after(seconds: float) -> tuple[bytes, bytes]:
    """Return a ``Retry-After`` header in fractional seconds."""
    return (names.RETRY_AFTER, f"{seconds:.3f}".encode())


def event_id(event: bytes) -> int | None:
    """Return the id of a server-sent event, or ``None`` if it has none."""
    found = _EVENT_ID.search(event)
    # Python refuses to read very many digits.
    if found is None or len(found.group(1)) > _MAX_EVENT_ID_DIGITS:
        return None
    return int(found.group(1))


def _headers_listed_in_connection(
    headers: http.RawHeaders,
) -> frozenset[bytes]:
    listed: set[bytes] = set()
    for name, value in headers:
        if name == _CONNECTION:
            listed.update(part.strip().lower() for part in value.split(b","))
    return frozenset(listed)


def _last_event_id(first_values: dict[bytes, bytes]) -> int:
    number = _parse_number(first_values.get(names.LAST_EVENT_ID, b""))
    return -1 if number is None else int(number)


def _api_key(authorization: bytes) -> str:
    text = authorization.decode("latin-1")
    if text[: len(names.KEY_SCHEME)].lower() == names.KEY_SCHEME:
        return text[len(names.KEY_SCHEME) :].strip()
    return ""


def _token_counts(
    first_values: dict[bytes, bytes],
) -> requests.TokenCounts | None:
    counts = first_values.get(names.TOKEN_COUNTS, b"").split(b",")
    if len(counts) != 2:
        return None
    prompt, max_answer = (_parse_number(count.strip()) for count in counts)
    if prompt is None or max_answer is None:
        return None
    answer_hint = _parse_number(first_values.get(names.LENGTH_HINT, b"")) or 0
    return requests.TokenCounts(int(prompt), int(max_answer), int(answer_hint))


def _prompt_parts(headers: http.RawHeaders) -> tuple[str, ...]:
    """Return the ids of a prompt's parts, in order.

    A list header that is sent in several lines is one list.
    """
    values = [value for name, value in headers if name == names.PROMPT_PARTS]
    entries = b",".join(values).decode("latin-1").lower().split(",")
    ids = (entry.partition(":")[0].strip() for entry in entries)
    return tuple(part_id for part_id in ids if part_id)


def _parse_number(text: bytes) -> float | None:
    """Return a number of 0 or more, or ``None`` if missing or unreadable."""
    try:
        value = float(text)
    except ValueError:
        return None
    # False for NaN, too.
    return value if 0 <= value <= json_text.MAX_EXACT_INTEGER else None
