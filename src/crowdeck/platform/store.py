# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""The platform's store, met over HTTP: objects, watches, instances."""

import typing
import urllib.parse

import orjson

from crowdeck import errors
from crowdeck import http
from crowdeck import instance as instances
from crowdeck.observe import logs
from crowdeck.platform import names
from crowdeck.state import objects as stores
from crowdeck import upstream
from crowdeck import verdict as verdicts

# The store answers in 4 ms, or 240 ms when it is sixty times slower; a
# call without an answer after this long has met an outage.
REQUEST_TIMEOUT = 1.0
# A watch that is answered at its end still has to travel, from a store
# that may be sixty times slower than its usual 4 ms. As much again is for
# connections that a slow link delays.
WATCH_SLACK = 0.5
PAGE_LIMIT = 1_000

# What reading a body of wrong types may raise.
_WRONG = (AttributeError, KeyError, OverflowError, TypeError, ValueError)

_NOT_RUN = verdicts.Verdict.NOT_RUN
_MAY_HAVE_RUN = verdicts.Verdict.MAY_HAVE_RUN
_JSON_TYPE = (b"content-type", b"application/json")
_EPOCH = names.EPOCH.decode()

Json = dict[str, typing.Any]
Query = dict[str, str | int]


class HttpStore:
    """Implements ``ObjectStore`` and ``InstanceList``."""

    def __init__(self, client: http.HttpClient) -> None:
        self._client = client
        self._epoch: int | None = None

    @property
    def epoch(self) -> int | None:
        """The epoch of the latest answer, ``None`` before the first."""
        return self._epoch

    async def get(
        self, kind: str, name: str, *, allow_stale: bool = False
    ) -> stores.StoredObject | None:
        """Return an object."""
        query: Query | None = {names.STALE: 1} if allow_stale else None
        response = await self._read(_path(kind, name, query))
        if response.status == 404:
            return None
        return _stored(kind, _parsed(response))

    async def put(
        self, kind: str, name: str, value: bytes, expected: int
    ) -> int:
        """Write an object if its version is the expected one."""
        metadata: Json = {names.NAME: name}
        if expected == stores.CREATE:
            method, path = "POST", _path(kind)
        else:
            method, path = "PUT", _path(kind, name)
            metadata[names.REVISION] = expected
        body = {
            names.METADATA: metadata,
            names.SPECIFICATION: orjson.loads(value),
        }
        response = await self._write(method, path, orjson.dumps(body))
        if response.status in (404, 409):
            raise errors.CrowdeckError(
                errors.Code.STORE_CONFLICT,
                f"{kind}/{name} was written by another",
            )
        return _stored(kind, _parsed_write(response)).version

    async def watch(
        self, kind: str, after: stores.Position, wait: float
    ) -> stores.Changes:
        """Return what changed after a position."""
        query: Query = {
            names.WATCH: after.version,
            names.WAIT_MS: int(wait * 1000),
        }
        response = await self._read(
            _path(kind, query=query), wait + WATCH_SLACK
        )
        epoch = self._epoch_of(response)
        # The store refuses a version that it does not have. One that it has
        # given out again it takes for its own.
        if response.status == 410 or epoch != after.epoch:
            raise errors.CrowdeckError(
                errors.Code.STORE_HISTORY,
                f"the store, in epoch {epoch}, does not know what happened "
                f"after {after.version} of epoch {after.epoch}",
            )
        return _changes(kind, _parsed(response), epoch)

    async def list(self, kind: str) -> stores.Changes:
        """Return every object of a kind, page by page."""
        found: list[stores.StoredObject] = []
        query: Query = {}
        version: int | None = None
        epoch: int | None = None
        for _ in range(PAGE_LIMIT):
            response = await self._read(_path(kind, query=query))
            body = _parsed(response)
            if epoch not in (None, self._epoch_of(response)):
                raise _down("the store was restored between two pages")
            epoch = self._epoch_of(response)
            found += _readable(kind, body.get(names.ITEMS))
            if version is None:
                # Objects of later pages may be newer than this, never
                # older: a watch from here repeats some, and misses none.
                version = _version(body)
            if not body.get(names.MORE) or not found:
                break
            query = {names.AFTER_NAME: found[-1].name}
        return stores.Changes(version or 0, tuple(found), epoch=epoch or 0)

    async def list_instances(self, known: str = "") -> stores.Listing | None:
        """Return the listed instances, unless nothing changed."""
        changes = await self.list(names.INSTANCE_KIND)
        # Not the store's version: that rises with every other write too.
        etag = str(max((one.version for one in changes.objects), default=0))
        etag = f"{changes.epoch}-{len(changes.objects)}-{etag}"
        if etag == known:
            return None
        try:
            listed = tuple(_instance(one) for one in changes.objects)
        except (KeyError, TypeError, ValueError) as error:
            raise _down("the instance list is malformed") from error
        return stores.Listing(etag, listed)

    async def _read(
        self, path: str, timeout: float = REQUEST_TIMEOUT
    ) -> upstream.ServiceResponse:
        try:
            response = await self._client.send("GET", path, [], b"", timeout)
        except errors.CrowdeckError as error:
            raise _down(error.message) from None
        if response.status not in (200, 404, 410):
            raise _down(f"the store answered {response.status}")
        self._epoch = self._epoch_of(response)
        return response

    async def _write(
        self, method: str, path: str, body: bytes
    ) -> upstream.ServiceResponse:
        try:
            response = await self._client.send(
                method, path, [_JSON_TYPE], body, REQUEST_TIMEOUT
            )
        except errors.CrowdeckError as error:
            raise _write_lost(error.verdict) from None
        if response.status in (429, 503):
            raise _write_lost(_NOT_RUN)
        if response.status not in (200, 201, 404, 409):
            raise _write_lost(_MAY_HAVE_RUN)
        self._epoch = self._epoch_of(response)
        return response

    def _epoch_of(self, response: upstream.ServiceResponse) -> int:
        """Return the epoch that an answer tells, 0 where it tells none."""
        told = response.find(_EPOCH)
        if not told:
            return 0
        try:
            return int(told)
        except ValueError:
            logs.change("epoch_unread", told=told[:40])
            return self._epoch or 0


def _path(kind: str, name: str = "", query: Query | None = None) -> str:
    path = f"{names.OBJECTS_PATH}/{kind}"
    if name:
        path += "/" + urllib.parse.quote(name, safe="")
    if query:
        path += "?" + urllib.parse.urlencode(query)
    return path


def _stored(kind: str, body: Json) -> stores.StoredObject:
    try:
        metadata = body[names.METADATA]
        return stores.StoredObject(
            kind,
            str(metadata[names.NAME]),
            int(metadata[names.REVISION]),
            stores.write_json(body.get(names.SPECIFICATION)),
        )
    except _WRONG as error:
        raise _down("an object of the store is malformed") from error


def _readable(kind: str, items: object) -> list[stores.StoredObject]:
    """Return the objects of a list that have a name and a version.

    Other writers' objects stand in the same lists. One that cannot be told
    from the others must not keep them from being read.
    """
    if not isinstance(items, list):
        raise _down("the store's list is malformed")
    found = []
    for one in items:
        try:
            found.append(_stored(kind, one))
        except errors.CrowdeckError as error:
            logs.change("object_unread", kind=kind, reason=error.message)
    return found


def _changes(kind: str, body: Json, epoch: int) -> stores.Changes:
    """Return what the events come to: each object's last state."""
    events = body.get(names.EVENTS) or []
    if not isinstance(events, list):
        raise _down("the store's events are malformed")
    written: dict[str, stores.StoredObject] = {}
    removed: dict[str, None] = {}
    for event in events:
        if not isinstance(event, dict):
            logs.change("object_unread", kind=kind, reason="it is no event")
            continue
        for one in _readable(kind, [event.get(names.OBJECT)]):
            written.pop(one.name, None)
            removed.pop(one.name, None)
            if event.get(names.REMOVED):
                removed[one.name] = None
            else:
                written[one.name] = one
    return stores.Changes(
        _version(body), tuple(written.values()), tuple(removed), epoch
    )


def _version(body: Json) -> int:
    """Return the store's version of which an answer tells."""
    try:
        return int(body[names.AT_REVISION])
    except _WRONG as error:
        raise _down("the store's answer tells no version") from error


def _instance(stored: stores.StoredObject) -> instances.Instance:
    body = orjson.loads(stored.value)
    return instances.Instance(
        name=stored.name,
        role=instances.Role(body["role"]),
        availability_zone=body["availability_zone"],
        address=instances.Address(**body["address"]),
        is_leaving=body["is_leaving"],
    )


def _parsed(response: upstream.ServiceResponse) -> Json:
    try:
        body = stores.read_json(response.body)
    except (ValueError, RecursionError) as error:
        raise _down("the store's answer is malformed") from error
    if not isinstance(body, dict):
        raise _down("the store's answer is malformed")
    return body


def _parsed_write(response: upstream.ServiceResponse) -> Json:
    try:
        return _parsed(response)
    except errors.CrowdeckError:
        raise _write_lost(_MAY_HAVE_RUN) from None


def _down(message: str) -> errors.CrowdeckError:
    return errors.CrowdeckError(
        errors.Code.STORE_DOWN, message, retry_after=1.0
    )


def _write_lost(verdict: verdicts.Verdict) -> errors.CrowdeckError:
    if verdict is _NOT_RUN:
        return _down("the store could not be reached")
    return errors.CrowdeckError(
        errors.Code.STORE_UNSURE,
        "the store's reply to a write was lost",
        verdict=verdict,
    )
