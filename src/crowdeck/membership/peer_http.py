# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Watches of the store through another entry, over HTTP.

Uses JSON, so that an entry without sidecars does not load Cap'n Proto.
"""

import math
import typing
import urllib.parse

import attrs
import orjson

from crowdeck import errors
from crowdeck import http
from crowdeck import json_text
from crowdeck.membership import peer_selection
from crowdeck.relay import ingress
from crowdeck.state import mirror as mirrors
from crowdeck.state import objects as stores

WATCH_PATH = "/watch/"
STATUS_PATH = "/status"
JSON_HEADER = (b"content-type", b"application/json")
# A new connection within a zone takes a millisecond.
CONNECT_TIMEOUT_SECONDS = 0.25
# Versions and epochs of a store are exact in all JSON readers up to here.
MAX_VERSION = 2**53
# Longest wait that a peer may ask for.
MAX_WAIT_SECONDS = 60.0
# Added to the wait of a watch for the round trip and for a busy entry.
RESPONSE_SLACK_SECONDS = 0.4
# Peers read larger changes from the store: serving them to all entries of a
# zone would saturate this entry's network link. 400 KB for each of 14 entries
# take 4.5 s at 10 Mbit/s, and this limit 0.7 s.
MAX_RESPONSE_BYTES = 64 * 1024

_STATUS_BY_CODE = {
    errors.Code.STORE_HISTORY: 410,
    errors.Code.TOO_LARGE: 413,
    errors.Code.STORE_DOWN: 503,
}
_CODE_BY_STATUS = {status: code for code, status in _STATUS_BY_CODE.items()}


StatusSource = typing.Callable[[], dict[str, typing.Any]]
App = typing.Callable[
    [ingress.Scope, ingress.Receive, ingress.Send], typing.Awaitable[None]
]


class PeerApp:
    """Serves watches and the status of this entry, as an ASGI application.

    :param mirrors_by_kind: this entry's mirrors by the kind of their objects.
    :param selector: is notified of each watch, because an entry that is asked
        by peers has to read the store itself.
    :param status_source: returns this entry's status for operators.
    """

    def __init__(
        self,
        mirrors_by_kind: dict[str, mirrors.Mirror],
        selector: peer_selection.PeerSelector,
        status_source: StatusSource = dict,
    ) -> None:
        self._mirrors_by_kind = mirrors_by_kind
        self._selector = selector
        self._status_source = status_source
        self._apps: dict[str, App] = {}

    def add_app(self, path: str, app: App) -> None:
        """Let another ASGI application answer requests for a path."""
        self._apps[path] = app

    async def __call__(
        self,
        scope: ingress.Scope,
        receive: ingress.Receive,
        send: ingress.Send,
    ) -> None:
        """Respond to one request."""
        if scope["path"] == STATUS_PATH:
            await respond(send, 200, orjson.dumps(self._status_source()))
            return
        if scope["path"] in self._apps:
            await self._apps[scope["path"]](scope, receive, send)
            return
        kind = str(scope["path"]).removeprefix(WATCH_PATH)
        mirror = self._mirrors_by_kind.get(kind)
        if mirror is None:
            await respond(send, 404, b"")
            return
        self._selector.note_peer_request()
        try:
            query = _parse_query(scope["query_string"])
            body = await read_changes(mirror, query.after, query.wait_seconds)
        except errors.CrowdeckError as error:
            await respond(send, _STATUS_BY_CODE.get(error.code, 400), b"")
            return
        await respond(send, 200, body)


class HttpPeerClient:
    """Reads the mirrors of other entries over HTTP."""

    def __init__(self, client: http.HttpClient) -> None:
        self._client = client

    async def watch(
        self,
        peer: peer_selection.Peer,
        kind: str,
        after: stores.Position,
        wait_seconds: float,
    ) -> stores.PeerChanges:
        """Return what a peer knows to have changed after a position.

        :raises CrowdeckError: as in ``PeerClient.watch``.
        """
        query = urllib.parse.urlencode(
            {
                "after": after.version,
                "epoch": after.epoch,
                "seconds": wait_seconds,
            }
        )
        url = f"http://{peer.address}{WATCH_PATH}{kind}?{query}"
        timeouts = http.Timeouts(
            CONNECT_TIMEOUT_SECONDS, wait_seconds + RESPONSE_SLACK_SECONDS
        )
        try:
            async with self._client.open(
                "GET", url, [], b"", timeouts
            ) as response:
                body = await response.read(http.RESPONSE_LIMIT_BYTES)
                status = response.status
        except errors.CrowdeckError:
            await self._client.close_idle()
            raise
        if status != 200:
            raise errors.CrowdeckError(
                _CODE_BY_STATUS.get(status, errors.Code.UPSTREAM_FAILED),
                f"{peer.name} responded with status {status} instead of 200",
            )
        peer_changes = _decode(kind, body)
        if peer_changes.changes.epoch != after.epoch:
            raise errors.CrowdeckError(
                errors.Code.STORE_DOWN,
                f"{peer.name} responded for epoch "
                f"{peer_changes.changes.epoch} instead of {after.epoch}",
            )
        return peer_changes


@attrs.frozen
class _WatchQuery:
    after: stores.Position
    wait_seconds: float


def _parse_query(query_string: bytes) -> _WatchQuery:
    fields = urllib.parse.parse_qs(query_string.decode("latin-1"))
    try:
        seconds = float(fields["seconds"][0])
        # False for NaN, too.
        if not 0.0 <= seconds <= MAX_WAIT_SECONDS:
            raise ValueError(
                f"expected from 0 to {MAX_WAIT_SECONDS:g} seconds"
            )
        return _WatchQuery(
            stores.Position(
                _integer(int(fields["after"][0])),
                _integer(int(fields.get("epoch", ["0"])[0])),
            ),
            seconds,
        )
    except (KeyError, ValueError) as error:
        raise errors.CrowdeckError(
            errors.Code.BAD_REQUEST,
            "expected numbers as 'after', 'seconds' and optional 'epoch' in "
            f"the query ({error!r:.200})",
        ) from None


async def read_changes(
    mirror: mirrors.Mirror, after: stores.Position, wait_seconds: float
) -> bytes:
    """Return the encoded changes after a position.

    :param wait_seconds: how long to wait for a change.
    :raises CrowdeckError: ``STORE_DOWN``, ``STORE_HISTORY`` or ``TOO_LARGE``,
        as in ``PeerClient.watch``.
    """
    peer_changes = await mirror.changes_since(after, wait_seconds)
    size = sum(len(stored.value) for stored in peer_changes.changes.objects)
    if size > MAX_RESPONSE_BYTES:
        raise errors.CrowdeckError(
            errors.Code.TOO_LARGE,
            f"the changes have {size} bytes, limit {MAX_RESPONSE_BYTES}; the "
            "peer has to read them from the store",
        )
    return _encode(peer_changes)


def _encode(peer_changes: stores.PeerChanges) -> bytes:
    changes = peer_changes.changes
    return orjson.dumps(
        {
            "version": changes.version,
            "epoch": changes.epoch,
            "age": peer_changes.age,
            "objects": [
                [stored.name, stored.version, orjson.Fragment(stored.value)]
                for stored in changes.objects
            ],
            "removed": changes.removed,
        }
    )


def _decode(kind: str, content: bytes) -> stores.PeerChanges:
    try:
        body = json_text.decode_lists(content)
        items = _items(body["objects"])
        removed = _items(body["removed"])
        changes = stores.Changes(
            _integer(body["version"]),
            tuple(_decode_object(kind, item) for item in items),
            tuple(map(_text, removed)),
            _integer(body.get("epoch", 0)),
        )
        return stores.PeerChanges(changes, _seconds(body["age"]))
    except (AttributeError, KeyError, TypeError, ValueError) as error:
        raise errors.CrowdeckError(
            errors.Code.MALFORMED,
            "expected 'version', 'age', 'objects' and 'removed' in a peer's "
            f"response ({error!r:.200})",
        ) from None


def _decode_object(kind: str, item: object) -> stores.StoredObject:
    name, version, value = json_text.opened(item)
    return stores.StoredObject(
        kind, _text(name), _integer(version), json_text.encode(value)
    )


def _items(value: object) -> list[typing.Any]:
    found = json_text.opened(value)
    if not isinstance(found, list):
        raise TypeError(f"found a {type(found).__name__}, not a list")
    return found


def _text(value: object) -> str:
    if not isinstance(value, str):
        raise TypeError(f"found a {type(value).__name__}, not a name")
    # Refuses lone surrogates, which cannot be sent to other peers.
    value.encode()
    return value


def _integer(value: object) -> int:
    if type(value) is not int:
        raise TypeError(f"found a {type(value).__name__}, not an integer")
    if not 0 <= value <= MAX_VERSION:
        raise ValueError(f"expected a version from 0 to {MAX_VERSION}")
    return value


def _seconds(value: object) -> float:
    if type(value) not in (int, float):
        raise TypeError(f"found a {type(value).__name__}, not seconds")
    seconds = float(typing.cast(float, value))
    if not math.isfinite(seconds):
        raise ValueError("the seconds are not finite")
    return seconds


async def respond(send: ingress.Send, status: int, body: bytes) -> None:
    """Send a whole response with a JSON body."""
    headers = [JSON_HEADER, (b"content-length", str(len(body)).encode())]
    await send(
        {
            "type": "http.response.start",
            "status": status,
            "headers": headers,
        }
    )
    await send({"type": "http.response.body", "body": body})
