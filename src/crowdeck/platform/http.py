# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""The platform's object API and instance list, met over HTTP."""

import base64
import typing

import orjson

from crowdeck import errors
from crowdeck import http
from crowdeck import instance as instances
from crowdeck.platform import store as stores
from crowdeck import upstream
from crowdeck import verdict as verdicts

REQUEST_TIMEOUT = 2.0

_NOT_RUN = verdicts.Verdict.NOT_RUN


class HttpStore:
    """Implements ``ObjectStore`` and ``InstanceList``."""

    def __init__(self, client: http.HttpClient) -> None:
        self._client = client

    async def get(self, kind: str, name: str) -> stores.StoredObject | None:
        """Return an object."""
        response = await self._read(f"/objects/{kind}/{name}")
        if response.status == 404:
            return None
        return stores.StoredObject(
            kind, name, _version(response), response.body
        )

    async def put(
        self, kind: str, name: str, value: bytes, expected: int
    ) -> int:
        """Write an object if its version is the expected one."""
        if expected == stores.CREATE:
            condition = (b"if-none-match", b"*")
        else:
            condition = (b"if-match", f'"{expected}"'.encode())
        try:
            response = await self._client.send(
                "PUT",
                f"/objects/{kind}/{name}",
                [condition],
                value,
                REQUEST_TIMEOUT,
            )
        except errors.CrowdeckError as error:
            raise _write_lost(error.verdict) from None
        if response.status == 412:
            raise errors.CrowdeckError(
                errors.Code.STORE_CONFLICT,
                f"{kind}/{name} was written by another",
            )
        if response.status == 503:
            raise _write_lost(_NOT_RUN)
        if response.status != 200:
            raise _write_lost(verdicts.Verdict.MAY_HAVE_RUN)
        return _version(response)

    async def watch(
        self, kind: str, after: int, wait: float
    ) -> stores.Changes:
        """Return what was written after a version."""
        response = await self._read(
            f"/objects/{kind}?after={after}&wait={wait}", wait
        )
        body = _parsed(response)
        return stores.Changes(
            body["version"],
            tuple(
                stores.StoredObject(
                    kind,
                    one["name"],
                    one["version"],
                    base64.b64decode(one["value"]),
                )
                for one in body["objects"]
            ),
        )

    async def list_instances(self, known: str = "") -> stores.Listing | None:
        """Return the listed instances, unless nothing changed."""
        headers = []
        if known:
            headers.append((b"if-none-match", f'"{known}"'.encode()))
        response = await self._read("/instances", headers=headers)
        if response.status == 304:
            return None
        body = _parsed(response)
        try:
            listed = tuple(_instance(one) for one in body)
            return stores.Listing(_etag(response), listed)
        except (KeyError, TypeError, ValueError) as error:
            raise _down("the instance list is malformed") from error

    async def _read(
        self,
        path: str,
        wait: float = 0.0,
        headers: list[tuple[bytes, bytes]] | None = None,
    ) -> upstream.ServiceResponse:
        try:
            response = await self._client.send(
                "GET", path, headers or [], b"", REQUEST_TIMEOUT + wait
            )
        except errors.CrowdeckError as error:
            raise _down(error.message) from None
        if response.status not in (200, 304, 404):
            raise _down(f"the store answered {response.status}")
        return response


def _instance(body: dict[str, typing.Any]) -> instances.Instance:
    return instances.Instance(
        name=body["name"],
        role=instances.Role(body["role"]),
        availability_zone=body["availability_zone"],
        address=instances.Address(**body["address"]),
        is_leaving=body["is_leaving"],
    )


def _etag(response: upstream.ServiceResponse) -> str:
    for header in response.headers:
        if header.name == "etag":
            return header.value.strip('"')
    raise _down("the store gave no version")


def _version(response: upstream.ServiceResponse) -> int:
    try:
        return int(_etag(response))
    except ValueError as error:
        raise _down("the store's version is no number") from error


def _parsed(response: upstream.ServiceResponse) -> typing.Any:
    try:
        return orjson.loads(response.body)
    except orjson.JSONDecodeError as error:
        raise _down("the store's answer is malformed") from error


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
