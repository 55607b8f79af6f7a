# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""The store stand-in's HTTP side, as ``docs/STORE.md`` describes it."""

import base64
import typing

import attrs
import orjson
from starlette import applications
from starlette import requests
from starlette import responses
from starlette import routing

from crowdeck import errors
from crowdeck import instance as instances
from crowdeck.platform import store as stores
from crowdeck.standin import store as standin_store

STATUS = {
    errors.Code.STORE_CONFLICT: 412,
    errors.Code.STORE_DOWN: 503,
    errors.Code.STORE_UNSURE: 504,
}


class StoreApp:
    """Serves one stand-in store over HTTP."""

    def __init__(self, store: standin_store.StandinStore) -> None:
        self._store = store

    def build(self) -> applications.Starlette:
        """Return the ASGI application."""
        name_path = "/objects/{kind}/{name}"
        return applications.Starlette(
            routes=[
                routing.Route(name_path, self._get, methods=["GET"]),
                routing.Route(name_path, self._put, methods=["PUT"]),
                routing.Route("/objects/{kind}", self._watch),
                routing.Route("/instances", self._list),
                routing.Route("/instances/{name}", self._add, methods=["PUT"]),
                routing.Route(
                    "/instances/{name}", self._remove, methods=["DELETE"]
                ),
            ],
            exception_handlers={errors.CrowdeckError: _refuse},
        )

    async def _get(self, request: requests.Request) -> responses.Response:
        found = await self._store.get(
            request.path_params["kind"], request.path_params["name"]
        )
        if found is None:
            return responses.Response(status_code=404)
        return responses.Response(
            found.value, headers={"etag": f'"{found.version}"'}
        )

    async def _put(self, request: requests.Request) -> responses.Response:
        expected = request.headers.get("if-match", "").strip('"')
        version = await self._store.put(
            request.path_params["kind"],
            request.path_params["name"],
            await request.body(),
            int(expected) if expected else stores.CREATE,
        )
        return responses.Response(headers={"etag": f'"{version}"'})

    async def _watch(self, request: requests.Request) -> responses.Response:
        changes = await self._store.watch(
            request.path_params["kind"],
            int(request.query_params.get("after", "0")),
            float(request.query_params.get("wait", "0")),
        )
        return _json(
            {
                "version": changes.version,
                "objects": [
                    {
                        "name": one.name,
                        "version": one.version,
                        "value": base64.b64encode(one.value).decode(),
                    }
                    for one in changes.objects
                ],
            }
        )

    async def _list(self, request: requests.Request) -> responses.Response:
        known = request.headers.get("if-none-match", "").strip('"')
        listing = await self._store.list_instances(known)
        if listing is None:
            return responses.Response(status_code=304)
        response = _json([attrs.asdict(one) for one in listing.instances])
        response.headers["etag"] = f'"{listing.mark}"'
        return response

    async def _add(self, request: requests.Request) -> responses.Response:
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

    async def _remove(self, request: requests.Request) -> responses.Response:
        self._store.remove_instance(request.path_params["name"])
        return responses.Response(status_code=204)


def _json(body: typing.Any) -> responses.Response:
    return responses.Response(
        orjson.dumps(body), media_type="application/json"
    )


async def _refuse(
    request: requests.Request, error: Exception
) -> responses.Response:
    assert isinstance(error, errors.CrowdeckError)
    return responses.PlainTextResponse(
        error.message, STATUS.get(error.code, 500)
    )
