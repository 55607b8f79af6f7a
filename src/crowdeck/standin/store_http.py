# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""The stand-in store over HTTP; the protocol is in ``docs/STORE.md``."""

import typing

import attrs
import orjson
from starlette import applications
from starlette import middleware
from starlette import requests
from starlette import responses
from starlette import routing
from starlette import types

from crowdeck import errors
from crowdeck import instance as instances
from crowdeck.platform import names
from crowdeck.standin import store as standin_store
from crowdeck.state import objects as stores

STATUS_BY_CODE = {
    errors.Code.STORE_CONFLICT: 409,
    errors.Code.STORE_DOWN: 503,
    errors.Code.STORE_HISTORY: 410,
    errors.Code.STORE_UNSURE: 504,
}

Json = dict[str, typing.Any]


class StoreApp:
    """Serves one stand-in store over HTTP.

    ``/instances`` is not part of the protocol: benchmarks use it to change
    the instance list.
    """

    def __init__(self, store: standin_store.StandinStore) -> None:
        self._store = store

    def build(self) -> applications.Starlette:
        """Return the ASGI application."""
        kind_path = names.OBJECTS_PATH + "/{kind}"
        name_path = kind_path + "/{name}"
        listed_path = "/instances/{name}"
        return applications.Starlette(
            routes=[
                routing.Route(name_path, self._get, methods=["GET"]),
                routing.Route(name_path, self._put, methods=["PUT"]),
                routing.Route(kind_path, self._read_kind, methods=["GET"]),
                routing.Route(kind_path, self._create, methods=["POST"]),
                routing.Route(
                    listed_path, self._add_instance, methods=["PUT"]
                ),
                routing.Route(
                    listed_path, self._remove_instance, methods=["DELETE"]
                ),
            ],
            exception_handlers={errors.CrowdeckError: _error_response},
            middleware=[
                middleware.Middleware(_EpochHeaderMiddleware, self._store)
            ],
        )

    async def _get(self, request: requests.Request) -> responses.Response:
        stored = await self._store.get(
            request.path_params["kind"], request.path_params["name"]
        )
        if stored is None:
            return responses.Response(status_code=404)
        return _json(_object(stored))

    async def _put(self, request: requests.Request) -> responses.Response:
        body = orjson.loads(await request.body())
        expected = int(body[names.METADATA][names.REVISION])
        return await self._store_body(
            request, request.path_params["name"], body, expected
        )

    async def _create(self, request: requests.Request) -> responses.Response:
        body = orjson.loads(await request.body())
        name = str(body[names.METADATA][names.NAME])
        return await self._store_body(request, name, body, stores.NO_VERSION)

    async def _store_body(
        self, request: requests.Request, name: str, body: Json, expected: int
    ) -> responses.Response:
        kind = request.path_params["kind"]
        value = orjson.dumps(body[names.SPECIFICATION])
        version = await self._store.put(kind, name, value, expected)
        stored = stores.StoredObject(kind, name, version, value)
        return _json(_object(stored))

    async def _read_kind(
        self, request: requests.Request
    ) -> responses.Response:
        kind = request.path_params["kind"]
        query = request.query_params
        if names.WATCH in query:
            wait = int(query.get(names.WAIT_MS, "0")) / 1000.0
            # A watch request carries no epoch; as on the platform, its version
            # is interpreted in the current epoch.
            after = stores.Position(int(query[names.WATCH]), self._store.epoch)
            changes = await self._store.watch(kind, after, wait)
            return _json(_events(changes))
        if kind == names.INSTANCE_KIND:
            changes = await self._list_instances()
        else:
            changes = await self._store.list(kind)
        return _json(_listing(changes))

    async def _list_instances(self) -> stores.Changes:
        listing = await self._store.list_instances()
        assert listing is not None, (
            "expected a listing, found none although no etag was passed"
        )
        etag = int(listing.etag)
        return stores.Changes(
            etag,
            tuple(
                stores.StoredObject(
                    names.INSTANCE_KIND,
                    instance.name,
                    etag,
                    orjson.dumps(attrs.asdict(instance)),
                )
                for instance in listing.instances
            ),
        )

    async def _add_instance(
        self, request: requests.Request
    ) -> responses.Response:
        body = orjson.loads(await request.body())
        self._store.add_instance(
            instances.Instance(
                name=request.path_params["name"],
                role=instances.Role(body["role"]),
                availability_zone=body["availability_zone"],
                address=instances.Address(**body["address"]),
                is_leaving=body.get("is_leaving", False),
            )
        )
        return responses.Response(status_code=204)

    async def _remove_instance(
        self, request: requests.Request
    ) -> responses.Response:
        self._store.remove_instance(request.path_params["name"])
        return responses.Response(status_code=204)


class _EpochHeaderMiddleware:
    """Adds the store's epoch to each response, including errors."""

    def __init__(
        self, app: types.ASGIApp, store: standin_store.StandinStore
    ) -> None:
        self._app = app
        self._store = store

    async def __call__(
        self, scope: types.Scope, receive: types.Receive, send: types.Send
    ) -> None:
        async def send_with_epoch(message: types.Message) -> None:
            if message["type"] == "http.response.start":
                value = str(self._store.epoch).encode()
                message["headers"].append((names.EPOCH, value))
            await send(message)

        await self._app(scope, receive, send_with_epoch)


def _object(stored: stores.StoredObject) -> Json:
    return {
        names.METADATA: {
            names.NAME: stored.name,
            names.REVISION: stored.version,
        },
        names.SPECIFICATION: orjson.loads(stored.value),
    }


def _listing(changes: stores.Changes) -> Json:
    return {
        names.ITEMS: [_object(stored) for stored in changes.objects],
        names.HAS_MORE: False,
        names.STORE_REVISION: changes.version,
    }


def _events(changes: stores.Changes) -> Json:
    events = [
        {names.REMOVED: False, names.OBJECT: _object(stored)}
        for stored in changes.objects
    ]
    for name in changes.removed:
        tombstone = stores.StoredObject("", name, changes.version, b"null")
        events.append({names.REMOVED: True, names.OBJECT: _object(tombstone)})
    return {names.EVENTS: events, names.STORE_REVISION: changes.version}


def _json(body: Json) -> responses.Response:
    return responses.Response(
        orjson.dumps(body), media_type="application/json"
    )


async def _error_response(
    request: requests.Request, error: Exception
) -> responses.Response:
    assert isinstance(error, errors.CrowdeckError)
    return responses.PlainTextResponse(
        error.message, STATUS_BY_CODE.get(error.code, 500)
    )
