# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""The stand-in engine over HTTP; the protocol is in ``docs/ENGINE.md``."""

import typing

import cattrs
import msgpack
from starlette import applications
from starlette import requests
from starlette import responses
from starlette import routing

from crowdeck import errors
from crowdeck.standin import engine as engines
from crowdeck import upstream

MEDIA_TYPE = "application/msgpack"

_CONVERTER = cattrs.Converter()
_CONVERTER.register_structure_hook(bytes, lambda value, _: bytes(value))
_CONVERTER.register_unstructure_hook(bytes, lambda value: value)


class EngineApp:
    """Serves one stand-in engine over HTTP."""

    def __init__(self, engine: engines.StandinEngine) -> None:
        self._engine = engine

    def build(self) -> applications.Starlette:
        """Return the ASGI application."""
        post = ["POST"]
        return applications.Starlette(
            routes=[
                routing.Route("/engine", self._describe),
                routing.Route("/step", self._step, methods=post),
                routing.Route("/cancel", self._cancel, methods=post),
                routing.Route("/kv/export", self._export, methods=post),
                routing.Route("/kv/import", self._import, methods=post),
                routing.Route("/standin/slowness", self._set_slowness),
                routing.Route("/standin/begun", self._begun),
            ]
        )

    async def _describe(self, request: requests.Request) -> typing.Any:
        offer = await self._engine.describe()
        return _reply(_CONVERTER.unstructure(offer))

    async def _step(self, request: requests.Request) -> typing.Any:
        body = msgpack.unpackb(await request.body())
        steps = _CONVERTER.structure(body, tuple[upstream.EngineStep, ...])
        try:
            outputs = await self._engine.step(steps)
        except errors.CrowdeckError as error:
            return responses.PlainTextResponse(error.message, 500)
        return _reply(_CONVERTER.unstructure(outputs))

    async def _cancel(self, request: requests.Request) -> typing.Any:
        body = msgpack.unpackb(await request.body())
        await self._engine.cancel(body["sequence"])
        return _reply({})

    async def _set_slowness(self, request: requests.Request) -> typing.Any:
        self._engine.slowness = float(request.query_params["to"])
        return responses.JSONResponse(self._engine.slowness)

    async def _begun(self, request: requests.Request) -> typing.Any:
        return responses.JSONResponse(list(self._engine.begun.items()))

    async def _export(self, request: requests.Request) -> typing.Any:
        body = msgpack.unpackb(await request.body())
        try:
            kv = await self._engine.export_kv(body["sequence"])
        except errors.CrowdeckError as error:
            return responses.PlainTextResponse(error.message, 404)
        return _reply({"kv": kv})

    async def _import(self, request: requests.Request) -> typing.Any:
        body = msgpack.unpackb(await request.body())
        try:
            await self._engine.import_kv(body["sequence"], body["kv"])
        except errors.CrowdeckError as error:
            return responses.PlainTextResponse(error.message, 400)
        return _reply({})


def _reply(body: object) -> responses.Response:
    return responses.Response(msgpack.packb(body), media_type=MEDIA_TYPE)
