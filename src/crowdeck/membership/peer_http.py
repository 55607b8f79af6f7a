# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Watches of the store through another entry, over HTTP.

Cap'n Proto, as used between sidecars, is not needed for a few requests a
second, and an entry without sidecars does not load it.
"""

import typing
import urllib.parse

import attrs
import orjson

from crowdeck import errors
from crowdeck import http
from crowdeck.membership import peer_selection
from crowdeck.relay import ingress
from crowdeck.state import mirror as mirrors
from crowdeck.state import objects as stores

WATCH_PATH = "/watch/"
STATUS_PATH = "/status"
_JSON_HEADER = (b"content-type", b"application/json")
CONNECT_SECONDS = 0.25
# Added to the wait of a watch: the round trip, and the delay of a busy entry.
RESPONSE_SLACK_SECONDS = 0.4
# Larger changes are read from the store: the other entries of a zone would
# fill the link of the entry that they all ask.
MAX_RESPONSE_BYTES = 64 * 1024

_STATUS = {
    errors.Code.STORE_HISTORY: 410,
    errors.Code.TOO_LARGE: 413,
    errors.Code.STORE_DOWN: 503,
}
_CODES = {status: code for code, status in _STATUS.items()}


StatusSource = typing.Callable[[], dict[str, typing.Any]]


class PeerApp:
    """Serves watches and the status of this entry, as an ASGI application.

    :param copies: this entry's mirrors, by kind.
    :param selector: is notified of each watch, since an entry that is asked
        has to read the store itself.
    :param status: returns this entry's status for operators.
    """

    def __init__(
        self,
        copies: dict[str, mirrors.Mirror],
        selector: peer_selection.PeerSelector,
        status: StatusSource = dict,
    ) -> None:
        self._copies = copies
        self._selector = selector
        self._status = status

    async def __call__(
        self,
        scope: ingress.Scope,
        receive: ingress.Receive,
        send: ingress.Send,
    ) -> None:
        """Respond to one request."""
        if scope["path"] == STATUS_PATH:
            await _respond(send, 200, orjson.dumps(self._status()))
            return
        kind = str(scope["path"]).removeprefix(WATCH_PATH)
        copy = self._copies.get(kind)
        if copy is None:
            await _respond(send, 404, b"")
            return
        self._selector.note_peer_request()
        try:
            query = _parse_query(scope["query_string"])
            body = await read_changes(copy, query.after, query.wait)
        except errors.CrowdeckError as error:
            await _respond(send, _STATUS.get(error.code, 400), b"")
            return
        await _respond(send, 200, body)


class HttpPeers:
    """Implements ``PeerClient``."""

    def __init__(self, client: http.HttpClient) -> None:
        self._client = client

    async def watch(
        self,
        peer: peer_selection.Peer,
        kind: str,
        after: stores.Position,
        wait: float,
    ) -> stores.PeerChanges:
        """Return what a peer knows to have changed after a position."""
        query = urllib.parse.urlencode(
            {"after": after.version, "epoch": after.epoch, "seconds": wait}
        )
        url = f"http://{peer.address}{WATCH_PATH}{kind}?{query}"
        timeouts = http.Timeouts(
            CONNECT_SECONDS, wait + RESPONSE_SLACK_SECONDS
        )
        async with self._client.open(
            "GET", url, [], b"", timeouts
        ) as response:
            body = await response.read(http.RESPONSE_LIMIT_BYTES)
            status = response.status
        if status != 200:
            raise errors.CrowdeckError(
                _CODES.get(status, errors.Code.UPSTREAM_FAILED),
                f"{peer.name} responded with status {status}",
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
    wait: float


def _parse_query(query: bytes) -> _WatchQuery:
    fields = urllib.parse.parse_qs(query.decode("latin-1"))
    try:
        return _WatchQuery(
            stores.Position(
                int(fields["after"][0]), int(fields.get("epoch", "0")[0])
            ),
            float(fields["seconds"][0]),
        )
    except (KeyError, ValueError) as error:
        raise errors.CrowdeckError(
            errors.Code.BAD_REQUEST, f"the query is malformed ({error!r})"
        ) from None


async def read_changes(
    copy: mirrors.Mirror, after: stores.Position, wait: float
) -> bytes:
    """Return the encoded changes after a position.

    :param wait: seconds to wait for a change.
    :raises CrowdeckError: ``STORE_DOWN``, ``STORE_HISTORY`` or ``TOO_LARGE``,
        as in ``PeerClient.watch``.
    """
    peer_changes = await copy.changes_since(after, wait)
    size = sum(len(one.value) for one in peer_changes.changes.objects)
    if size > MAX_RESPONSE_BYTES:
        raise errors.CrowdeckError(
            errors.Code.TOO_LARGE, f"the changes have {size} bytes"
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
                [one.name, one.version, orjson.Fragment(one.value)]
                for one in changes.objects
            ],
            "removed": changes.removed,
        }
    )


def _decode(kind: str, content: bytes) -> stores.PeerChanges:
    try:
        body = stores.decode_json(content)
        objects = tuple(
            stores.StoredObject(
                kind, str(name), int(version), stores.encode_json(value)
            )
            for name, version, value in body["objects"]
        )
        removed = tuple(str(name) for name in body["removed"])
        changes = stores.Changes(
            int(body["version"]), objects, removed, int(body.get("epoch", 0))
        )
        return stores.PeerChanges(changes, float(body["age"]))
    except (KeyError, OverflowError, TypeError, ValueError) as error:
        raise errors.CrowdeckError(
            errors.Code.MALFORMED,
            f"the response of a peer is malformed ({error!r})",
        ) from None


async def _respond(send: ingress.Send, status: int, body: bytes) -> None:
    headers = [_JSON_HEADER, (b"content-length", str(len(body)).encode())]
    await send(
        {
            "type": "http.response.start",
            "status": status,
            "headers": headers,
        }
    )
    await send({"type": "http.response.body", "body": body})
