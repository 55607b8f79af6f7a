# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Client of the platform's store over HTTP: objects, watches, instances."""

import typing
import urllib.parse

import orjson

from crowdeck import errors
from crowdeck import http
from crowdeck import instance as instances
from crowdeck import json_text
from crowdeck.observe import counters
from crowdeck.observe import logs
from crowdeck.platform import names
from crowdeck.state import objects as stores
from crowdeck import upstream
from crowdeck import verdict as verdicts

# Timeout of a read or a write. An unanswered read raises ``STORE_DOWN``, an
# unanswered write ``STORE_UNSURE`` if it may have been stored. The store
# answers in 4 ms, and in 240 ms if it is sixty times slower.
CALL_TIMEOUT_SECONDS = 1.0
# Added to the wait of a watch to get its HTTP timeout, as a store or a
# connection may be slow.
WATCH_SLACK_SECONDS = 0.5
MAX_PAGES = 1_000
# Malformed objects of one page that are logged; all are counted.
MAX_LOGGED_UNREAD = 5

# Errors of reading a body with missing fields or wrong types.
_DECODE_ERRORS = (
    AttributeError,
    KeyError,
    OverflowError,
    TypeError,
    ValueError,
)

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
        """Return an object, or ``None`` if there is none of this name."""
        query: Query | None = {names.ALLOW_STALE: 1} if allow_stale else None
        response = await self._read(_path(kind, name, query))
        if response.status == 404:
            return None
        return _decode_object(kind, _decode_body(response))

    async def put(
        self, kind: str, name: str, value: bytes, expected: int
    ) -> int:
        """Replace an object if its version is ``expected``.

        If ``expected`` is ``NO_VERSION``, the object is created. Returns the
        new version.

        :raises CrowdeckError: ``STORE_CONFLICT`` if the object is missing, has
            another version or, when it is created, exists already.
        """
        metadata: Json = {names.NAME: name}
        if expected == stores.NO_VERSION:
            method, path = "POST", _path(kind)
        else:
            method, path = "PUT", _path(kind, name)
            metadata[names.REVISION] = expected
        body = {
            names.METADATA: metadata,
            names.SPECIFICATION: orjson.Fragment(value),
        }
        response = await self._write(method, path, orjson.dumps(body))
        if response.status in (404, 409):
            raise errors.CrowdeckError(
                errors.Code.STORE_CONFLICT,
                f"{kind}/{name} is not at the expected version {expected} "
                "(0 if it must not exist); the write was refused",
            )
        return _decode_object(kind, _decode_write_reply(response)).version

    async def watch(
        self, kind: str, after: stores.Position, wait: float
    ) -> stores.Changes:
        """Return the changes after a position, waiting up to ``wait`` seconds.

        :raises CrowdeckError: ``STORE_HISTORY`` if the store does not have
            these changes, or they are too large for one answer.
        """
        query: Query = {
            names.WATCH: after.version,
            names.WAIT_MS: int(wait * 1000),
        }
        response = await self._read(
            _path(kind, query=query),
            wait + WATCH_SLACK_SECONDS,
            # A listing has each object once, however often it has changed.
            too_large_code=errors.Code.STORE_HISTORY,
        )
        epoch = self._epoch_of(response)
        # The store refuses versions that it does not have. It cannot detect
        # a version of an earlier epoch whose number was assigned again after
        # a restore.
        if response.status == 410 or epoch != after.epoch:
            raise errors.CrowdeckError(
                errors.Code.STORE_HISTORY,
                f"the store, in epoch {epoch}, has no history after version "
                f"{after.version} of epoch {after.epoch}",
            )
        return _decode_changes(kind, _decode_body(response), epoch)

    async def list(self, kind: str) -> stores.Changes:
        """Return every object of a kind."""
        found: list[stores.StoredObject] = []
        query: Query = {}
        version: int | None = None
        epoch: int | None = None
        for _ in range(MAX_PAGES):
            response = await self._read(_path(kind, query=query))
            body = _decode_body(response)
            if epoch not in (None, self._epoch_of(response)):
                raise _store_down_error(
                    "the store was restored while it was listed"
                )
            epoch = self._epoch_of(response)
            items = _open_list(body.get(names.ITEMS))
            page = _decode_objects(kind, items)
            found += page
            if version is None:
                # Objects of later pages may be newer. A watch from here may
                # repeat changes but misses none.
                version = _decode_version(body)
            if not body.get(names.HAS_MORE) or not items:
                break
            if not page:
                raise _store_down_error(
                    "a page of the listing has no object that can be read, "
                    "so that the next page cannot be asked for"
                )
            query = {names.AFTER_NAME: page[-1].name}
        return stores.Changes(version or 0, tuple(found), epoch=epoch or 0)

    async def list_instances(self, known: str = "") -> stores.Listing | None:
        """Return the listed instances, or ``None`` if nothing changed.

        :param known: the etag of the listing that the caller has.
        """
        changes = await self.list(names.INSTANCE_KIND)
        # Not the store's version, which also rises with writes to objects of
        # other kinds.
        highest_version = str(
            max((stored.version for stored in changes.objects), default=0)
        )
        etag = f"{changes.epoch}-{len(changes.objects)}-{highest_version}"
        if etag == known:
            return None
        return stores.Listing(etag, tuple(_decode_instances(changes.objects)))

    async def _read(
        self,
        path: str,
        timeout: float = CALL_TIMEOUT_SECONDS,
        too_large_code: errors.Code = errors.Code.STORE_DOWN,
    ) -> upstream.ServiceResponse:
        try:
            response = await self._client.send("GET", path, [], b"", timeout)
        except errors.CrowdeckError as error:
            await self._client.close_idle()
            if error.code is errors.Code.TOO_LARGE:
                raise errors.CrowdeckError(
                    too_large_code, error.message, retry_after=1.0
                ) from None
            raise _store_down_error(error.message) from None
        if response.status not in (200, 404, 410):
            raise _store_down_error(
                f"the store answered with status {response.status}; "
                "expected 200, 404 or 410"
            )
        self._epoch = self._epoch_of(response)
        return response

    async def _write(
        self, method: str, path: str, body: bytes
    ) -> upstream.ServiceResponse:
        try:
            response = await self._client.send(
                method, path, [_JSON_TYPE], body, CALL_TIMEOUT_SECONDS
            )
        except errors.CrowdeckError as error:
            await self._client.close_idle()
            raise _write_error(error.verdict) from None
        if response.status in (429, 503):
            raise _write_error(_NOT_RUN)
        if response.status not in (200, 201, 404, 409):
            raise _write_error(_MAY_HAVE_RUN)
        self._epoch = self._epoch_of(response)
        return response

    def _epoch_of(self, response: upstream.ServiceResponse) -> int:
        """Return the epoch in an answer, or 0 if there is none.

        If it is unreadable, this is logged and the last known epoch returned.
        """
        value = response.find(_EPOCH)
        if not value:
            return 0
        try:
            return int(value)
        except ValueError:
            logs.change("epoch_unread", told=value[:40])
            return self._epoch or 0


def _path(kind: str, name: str = "", query: Query | None = None) -> str:
    path = f"{names.OBJECTS_PATH}/{kind}"
    if name:
        path += "/" + urllib.parse.quote(name, safe="")
    if query:
        path += "?" + urllib.parse.urlencode(query)
    return path


def _decode_object(kind: str, item: object) -> stores.StoredObject:
    try:
        body = json_text.opened(item)
        metadata = json_text.opened(body[names.METADATA])
        return stores.StoredObject(
            kind,
            json_text.text(metadata, names.NAME),
            json_text.integer(metadata, names.REVISION),
            json_text.encode(body.get(names.SPECIFICATION)),
        )
    except _DECODE_ERRORS as error:
        raise _store_down_error(
            f"an object of kind {kind} is malformed ({error!r:.80})"
        ) from error


def _decode_objects(
    kind: str, items: list[typing.Any]
) -> list[stores.StoredObject]:
    """Return the objects of a list that can be decoded.

    A list may contain objects of other writers. A malformed object is
    logged and must not prevent the others from being read.
    """
    found = []
    unread_count = 0
    for item in items:
        try:
            found.append(_decode_object(kind, item))
        except errors.CrowdeckError as error:
            unread_count += 1
            if unread_count <= MAX_LOGGED_UNREAD:
                logs.change("object_unread", kind=kind, reason=error.message)
    if unread_count:
        counters.COUNTERS.add(f"store.{kind}.unread", unread_count)
    return found


def _decode_changes(kind: str, body: Json, epoch: int) -> stores.Changes:
    """Return the last state of each object in the events of a watch."""
    events = _open_list(body.get(names.EVENTS) or [])
    written: dict[str, stores.StoredObject] = {}
    removed: dict[str, None] = {}
    for item in events:
        event = _open_event(kind, item)
        changed = [event[names.OBJECT]] if names.OBJECT in event else []
        for stored in _decode_objects(kind, changed):
            written.pop(stored.name, None)
            removed.pop(stored.name, None)
            if event.get(names.REMOVED):
                removed[stored.name] = None
            else:
                written[stored.name] = stored
    return stores.Changes(
        _decode_version(body), tuple(written.values()), tuple(removed), epoch
    )


def _open_list(items: object) -> list[typing.Any]:
    try:
        found = json_text.opened(items)
    except ValueError as error:
        raise _store_down_error(
            f"a list in the store's answer is malformed ({error!r:.80})"
        ) from error
    if not isinstance(found, list):
        raise _store_down_error("the store's answer has no list of objects")
    return found


def _open_event(kind: str, item: object) -> Json:
    """Return an event, an empty one if it cannot be read."""
    try:
        event = json_text.opened(item)
        if isinstance(event, dict):
            return event
        reason = "an event is not a JSON object"
    except ValueError as error:
        reason = f"an event is malformed ({error!r:.80})"
    logs.change("object_unread", kind=kind, reason=reason)
    return {}


def _decode_version(body: Json) -> int:
    """Return the store's version in an answer."""
    try:
        return json_text.integer(body, names.STORE_REVISION)
    except _DECODE_ERRORS as error:
        raise _store_down_error(
            f"the field {names.STORE_REVISION} of the store's answer is "
            "missing or not an integer"
        ) from error


def _decode_instances(
    objects: tuple[stores.StoredObject, ...],
) -> typing.Iterator[instances.Instance]:
    """Yield the instances of a list, without those that are malformed."""
    for stored in objects:
        try:
            yield _decode_instance(stored)
        except _DECODE_ERRORS as error:
            logs.change(
                "object_unread",
                kind=stored.kind,
                name=stored.name,
                reason=f"{error!r:.80}",
            )


def _decode_instance(stored: stores.StoredObject) -> instances.Instance:
    body = json_text.decode(stored.value)
    return instances.Instance(
        name=stored.name,
        role=instances.Role(body["role"]),
        availability_zone=body["availability_zone"],
        address=instances.Address(**body["address"]),
        is_leaving=body["is_leaving"],
    )


def _decode_body(response: upstream.ServiceResponse) -> Json:
    try:
        body = json_text.decode_lists(response.body)
    except ValueError as error:
        raise _store_down_error(
            "the store's answer cannot be parsed as JSON"
        ) from error
    if not isinstance(body, dict):
        raise _store_down_error("the store's answer is not a JSON object")
    return body


def _decode_write_reply(response: upstream.ServiceResponse) -> Json:
    try:
        return _decode_body(response)
    except errors.CrowdeckError:
        raise _write_error(_MAY_HAVE_RUN) from None


def _store_down_error(message: str) -> errors.CrowdeckError:
    return errors.CrowdeckError(
        errors.Code.STORE_DOWN, message, retry_after=1.0
    )


def _write_error(verdict: verdicts.Verdict) -> errors.CrowdeckError:
    if verdict is _NOT_RUN:
        return _store_down_error("the store did not accept the write")
    return errors.CrowdeckError(
        errors.Code.STORE_UNSURE,
        "the store did not confirm the write, which may have been stored",
        verdict=verdict,
    )
