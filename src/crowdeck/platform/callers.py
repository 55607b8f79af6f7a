# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Callers' headers, decoded, and the headers that go on to upstreams."""

import re

from crowdeck import chain
from crowdeck import http
from crowdeck.platform import names
from crowdeck.relay import interfaces
from crowdeck.relay import request as requests

# Set by us, or meant for us alone: a caller's own value never goes on.
_OURS = frozenset(
    {
        names.AUTHORIZATION,
        names.DEADLINE,
        names.EXPECTED_INSTANCE,
        names.HOPS,
        names.PRIORITY,
        names.TEAM,
    }
)
# Said by an upstream to whoever sends it requests, not to callers.
_UPSTREAMS = frozenset({names.CULPRIT, names.LEAVING, names.LIMIT, names.LOAD})
_HOP = frozenset(name.encode() for name in http.HOP_BY_HOP_HEADERS)
_CONNECTION = b"connection"
_HOST = b"host"
_EVENT_ID = re.compile(rb"(?:^|[\r\n])id:[ ]?(\d+)[ ]*(?=[\r\n]|$)")
LEAST_DEADLINE_MS = 1
# The least urgent rank that engines know.
LOWEST_PRIORITY = 9


def decode(
    method: str,
    raw_path: bytes,
    query: bytes,
    headers: http.RawHeaders,
    body: bytes,
    arrived: float,
) -> requests.CallerRequest | None:
    """Return a caller's request, or ``None`` if it has no id."""
    first: dict[bytes, bytes] = {}
    for name, value in headers:
        first.setdefault(name, value)
    request_id = first.get(names.REQUEST_ID, b"")
    if not request_id:
        return None
    path = raw_path.decode("latin-1")
    target = path + ("?" + query.decode("latin-1") if query else "")
    timeout_ms = _number(first.get(names.DEADLINE, b""))
    host = first.get(_HOST, b"").decode("latin-1").lower()
    return requests.CallerRequest(
        id=request_id.decode("latin-1"),
        method=method,
        target=target,
        path=path,
        host=host.partition(":")[0],
        key=_key(first.get(names.AUTHORIZATION, b"")),
        headers=headers,
        body=body,
        timeout_seconds=None if timeout_ms is None else timeout_ms / 1000.0,
        arrived=arrived,
        size=_size(first),
        last_event=int(_number(first.get(names.LAST_EVENT_ID, b"")) or -1),
    )


def upstream_request_headers(
    request: requests.CallerRequest,
    upstream: chain.Upstream,
    dispatch: interfaces.Dispatch,
) -> http.RawHeaders:
    """Return the headers with which a request goes to an upstream."""
    dropped = _OURS | _HOP | _named_by_connection(request.headers)
    dropped -= {_HOST}
    if dispatch.last_event != request.last_event:
        dropped |= {names.LAST_EVENT_ID}
    headers = [pair for pair in request.headers if pair[0] not in dropped]
    milliseconds = max(LEAST_DEADLINE_MS, int(dispatch.seconds_left * 1000))
    headers.append((names.DEADLINE, str(milliseconds).encode()))
    headers.append((names.EXPECTED_INSTANCE, upstream.incarnation.id.encode()))
    headers.append(
        (names.PRIORITY, str(min(LOWEST_PRIORITY, dispatch.priority)).encode())
    )
    if dispatch.team:
        headers.append((names.TEAM, dispatch.team.encode()))
    if dispatch.path is not None:
        headers.append((names.HOPS, str(dispatch.path).encode()))
    if dispatch.last_event != request.last_event:
        headers.append(
            (names.LAST_EVENT_ID, str(dispatch.last_event).encode())
        )
    if request.body or any(
        name == b"content-length" for name, _ in request.headers
    ):
        length = str(len(request.body)).encode()
        headers.append((b"content-length", length))
    return headers


def caller_response_headers(headers: http.RawHeaders) -> http.RawHeaders:
    """Return the headers of an upstream's answer that go to the caller."""
    dropped = _HOP | _UPSTREAMS
    return [
        (name.lower(), value)
        for name, value in headers
        if name.lower() not in dropped
    ]


def retry_after(seconds: float) -> tuple[bytes, bytes]:
    """Return the header that tells when to come back."""
    return (names.RETRY_AFTER, f"{seconds:.3f}".encode())


def event_id(event: bytes) -> int | None:
    """Return the id of one event of a stream, or ``None``."""
    found = _EVENT_ID.search(event)
    return int(found.group(1)) if found else None


def _named_by_connection(headers: http.RawHeaders) -> frozenset[bytes]:
    found: set[bytes] = set()
    for name, value in headers:
        if name == _CONNECTION:
            found.update(one.strip().lower() for one in value.split(b","))
    return frozenset(found)


def _key(authorization: bytes) -> str:
    text = authorization.decode("latin-1")
    if text[: len(names.KEY_SCHEME)].lower() == names.KEY_SCHEME:
        return text[len(names.KEY_SCHEME) :].strip()
    return ""


def _size(first: dict[bytes, bytes]) -> requests.TokenCounts | None:
    counts = first.get(names.TOKEN_COUNTS, b"").split(b",")
    if len(counts) != 2:
        return None
    prompt, most = (_number(one.strip()) for one in counts)
    if prompt is None or most is None:
        return None
    guess = _number(first.get(names.LENGTH_HINT, b"")) or 0
    return requests.TokenCounts(int(prompt), int(most), int(guess))


def _number(text: bytes) -> float | None:
    try:
        return float(text)
    except ValueError:
        return None
