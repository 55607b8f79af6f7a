# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Adapters for engines and plain services over HTTP."""

import typing

import cattrs
import msgpack

from crowdeck import errors
from crowdeck import http
from crowdeck import pipeline
from crowdeck import upstream
from crowdeck import verdict as verdicts

STEP_TIMEOUT_SECONDS = 30.0
MEDIA_TYPE = "application/msgpack"

_CONVERTER = cattrs.Converter()
_CONVERTER.register_structure_hook(bytes, lambda value, _: bytes(value))
_CONVERTER.register_unstructure_hook(bytes, lambda value: value)


class HttpEngine:
    """A model engine behind the HTTP interface of ``docs/ENGINE.md``."""

    def __init__(self, client: http.HttpClient) -> None:
        self._client = client

    async def describe(self) -> pipeline.Offer:
        """Return what the engine serves."""
        body = await self._exchange(
            "GET", "/engine", None, http.CONNECT_TIMEOUT_SECONDS
        )
        offer: pipeline.Offer = self._structure(body, pipeline.Offer)
        return offer

    async def step(
        self, steps: tuple[upstream.EngineStep, ...]
    ) -> tuple[upstream.EngineOutput, ...]:
        """Run one batch of steps."""
        body = await self._exchange(
            "POST",
            "/step",
            _CONVERTER.unstructure(steps),
            STEP_TIMEOUT_SECONDS,
        )
        outputs: tuple[upstream.EngineOutput, ...] = self._structure(
            body, tuple[upstream.EngineOutput, ...]
        )
        return outputs

    async def cancel(self, sequence: str) -> None:
        """Drop a sequence and its KV cache."""
        await self._exchange(
            "POST", "/cancel", {"sequence": sequence}, STEP_TIMEOUT_SECONDS
        )

    async def export_kv(self, sequence: str) -> bytes:
        """Return a sequence's KV cache."""
        body = await self._exchange(
            "POST", "/kv/export", {"sequence": sequence}, STEP_TIMEOUT_SECONDS
        )
        return bytes(body["kv"])

    async def import_kv(self, sequence: str, kv: bytes) -> None:
        """Load a sequence's exported KV cache."""
        await self._exchange(
            "POST",
            "/kv/import",
            {"sequence": sequence, "kv": kv},
            STEP_TIMEOUT_SECONDS,
        )

    async def _exchange(
        self, method: str, path: str, body: object, timeout_seconds: float
    ) -> typing.Any:
        response = await self._client.send(
            method,
            path,
            [(b"content-type", MEDIA_TYPE.encode())],
            b"" if body is None else msgpack.packb(body),
            timeout_seconds,
        )
        if response.status != 200:
            raise _bad_answer(
                f"the engine answered with status {response.status}, not 200"
            )
        try:
            return msgpack.unpackb(response.body)
        except ValueError as error:
            raise _bad_answer(
                "the engine's answer is not valid MessagePack"
            ) from error

    def _structure(self, body: typing.Any, cls: typing.Any) -> typing.Any:
        try:
            return _CONVERTER.structure(body, cls)
        except Exception as error:
            # cattrs raises exception groups as well as plain exceptions.
            raise _bad_answer(
                "the fields of the engine's answer are missing or invalid"
            ) from error


def _bad_answer(message: str) -> errors.CrowdeckError:
    return errors.CrowdeckError(
        errors.Code.UPSTREAM_FAILED,
        message,
        verdict=verdicts.Verdict.MAY_HAVE_RUN,
    )


class HttpService:
    """A plain service behind HTTP."""

    def __init__(self, client: http.HttpClient) -> None:
        self._client = client

    async def call(
        self, request: upstream.ServiceRequest
    ) -> upstream.ServiceResponse:
        """Make one call."""
        headers = [
            (header.name.encode("latin-1"), header.value.encode("latin-1"))
            for header in request.headers
            if header.name not in http.HOP_BY_HOP_HEADERS
        ]
        response = await self._client.send(
            request.method,
            request.path,
            headers,
            request.body,
            request.timeout_seconds,
        )
        kept = tuple(
            header
            for header in response.headers
            if header.name not in http.HOP_BY_HOP_HEADERS
        )
        return upstream.ServiceResponse(response.status, kept, response.body)
