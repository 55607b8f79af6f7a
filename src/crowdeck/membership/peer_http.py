# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""What entries ask one another of the store, over HTTP.

Not over Cap'n Proto as between sidecars: an entry in front of engines that
chain themselves does not load it, and these are a few questions a second.
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
_JSON = (b"content-type", b"application/json")
# A new connection within a zone takes a millisecond.
CONNECT_SECONDS = 0.25
# Beyond its wait a question takes the way there and back, and the time that
# a small, busy entry needs to turn to it.
ANSWER_SLACK = 0.4
# Larger changes are read from the store. A zone's other entries, 14 at the
# most seen, would fill the link of the one they ask: 400 KB for each take
# 4.5 s at 10 Mbit/s, this takes 0.7.
ANSWER_BYTES_MOST = 64 * 1024

_STATUS = {
    errors.Code.STORE_HISTORY: 410,
    errors.Code.TOO_LARGE: 413,
    errors.Code.STORE_DOWN: 503,
}
_CODES = {status: code for code, status in _STATUS.items()}


Status = typing.Callable[[], dict[str, typing.Any]]


class PeerApp:
    """Answers other entries' questions, as an ASGI application.

    :param mirrors: this entry's copies, by kind.
    :param status: returns what an operator is told of this entry.
    """

    def __init__(
        self,
        copies: dict[str, mirrors.Mirror],
        selector: peer_selection.PeerSelector,
        status: Status = dict,
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
        """Answer one question."""
        if scope["path"] == STATUS_PATH:
            await _answer(send, 200, orjson.dumps(self._status()))
            return
        kind = str(scope["path"]).removeprefix(WATCH_PATH)
        copy = self._copies.get(kind)
        if copy is None:
            await _answer(send, 404, b"")
            return
        self._selector.note_peer_request()
        try:
            question = _question(scope["query_string"])
            body = await ask(copy, question.after, question.wait)
        except errors.CrowdeckError as error:
            await _answer(send, _STATUS.get(error.code, 400), b"")
            return
        await _answer(send, 200, body)


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
        """Ask a peer what changed after a position."""
        query = urllib.parse.urlencode(
            {"after": after.version, "epoch": after.epoch, "seconds": wait}
        )
        url = f"http://{peer.address}{WATCH_PATH}{kind}?{query}"
        timeouts = http.Timeouts(CONNECT_SECONDS, wait + ANSWER_SLACK)
        async with self._client.open(
            "GET", url, [], b"", timeouts
        ) as response:
            body = await response.read(http.RESPONSE_LIMIT_BYTES)
            status = response.status
        if status != 200:
            raise errors.CrowdeckError(
                _CODES.get(status, errors.Code.UPSTREAM_FAILED),
                f"{peer.name} answered {status}",
            )
        sighting = _decode(kind, body)
        if sighting.changes.epoch != after.epoch:
            raise errors.CrowdeckError(
                errors.Code.STORE_DOWN,
                f"{peer.name} answered of epoch {sighting.changes.epoch} "
                f"and not of {after.epoch}",
            )
        return sighting


@attrs.frozen
class _Question:
    after: stores.Position
    wait: float


def _question(query: bytes) -> _Question:
    fields = urllib.parse.parse_qs(query.decode("latin-1"))
    try:
        return _Question(
            stores.Position(
                int(fields["after"][0]), int(fields.get("epoch", "0")[0])
            ),
            float(fields["seconds"][0]),
        )
    except (KeyError, ValueError) as error:
        raise errors.CrowdeckError(
            errors.Code.BAD_REQUEST, f"the question is malformed ({error!r})"
        ) from None


async def ask(
    copy: mirrors.Mirror, after: stores.Position, wait: float
) -> bytes:
    """Return the encoded answer to a question.

    :raises CrowdeckError: as ``PeerClient.watch`` tells.
    """
    sighting = await copy.changes_since(after, wait)
    size = sum(len(one.value) for one in sighting.changes.objects)
    if size > ANSWER_BYTES_MOST:
        raise errors.CrowdeckError(
            errors.Code.TOO_LARGE, f"{size} bytes have changed"
        )
    return _encode(sighting)


def _encode(sighting: stores.PeerChanges) -> bytes:
    changes = sighting.changes
    return orjson.dumps(
        {
            "version": changes.version,
            "epoch": changes.epoch,
            "age": sighting.age,
            "objects": [
                [one.name, one.version, orjson.Fragment(one.value)]
                for one in changes.objects
            ],
            "removed": changes.removed,
        }
    )


def _decode(kind: str, content: bytes) -> stores.PeerChanges:
    try:
        body = stores.read_json(content)
        objects = tuple(
            stores.StoredObject(
                kind, str(name), int(version), stores.write_json(value)
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
            errors.Code.MALFORMED, f"a peer's answer is malformed ({error!r})"
        ) from None


async def _answer(send: ingress.Send, status: int, body: bytes) -> None:
    headers = [_JSON, (b"content-length", str(len(body)).encode())]
    await send(
        {
            "type": "http.response.start",
            "status": status,
            "headers": headers,
        }
    )
    await send({"type": "http.response.body", "body": body})
