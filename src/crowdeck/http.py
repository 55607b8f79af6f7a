# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Upstreams met over HTTP, by httpcore."""

import ssl
import typing

import cattrs
import httpcore
import msgpack

from crowdeck import errors
from crowdeck import pipeline
from crowdeck import upstream
from crowdeck import verdict as verdicts
from crowdeck.wire import messages

CONNECT_TIMEOUT = 1.0
# A step that takes longer is a dead engine to every caller's deadline.
STEP_TIMEOUT = 30.0
CONNECTION_LIMIT = 64
KEEPALIVE_SECONDS = 2.0
RESPONSE_LIMIT = 4 * 1024 * 1024
MEDIA_TYPE = "application/msgpack"
# Headers of one connection, which must not be handed to the next.
HOP_HEADERS = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "host",
    }
)

_CONVERTER = cattrs.Converter()
_CONVERTER.register_structure_hook(bytes, lambda value, _: bytes(value))
_CONVERTER.register_unstructure_hook(bytes, lambda value: value)

_NOT_SENT = (
    httpcore.ConnectError,
    httpcore.ConnectTimeout,
    httpcore.PoolTimeout,
    httpcore.UnsupportedProtocol,
    httpcore.LocalProtocolError,
)
_MAYBE_SENT = (
    httpcore.NetworkError,
    httpcore.TimeoutException,
    httpcore.ProtocolError,
)


class HttpClient:
    """Sends requests to one upstream and tells what became of each."""

    def __init__(
        self, base_url: str, ssl_context: ssl.SSLContext | None = None
    ) -> None:
        self._base_url = base_url.rstrip("/")
        self._pool = httpcore.AsyncConnectionPool(
            ssl_context=ssl_context,
            max_connections=CONNECTION_LIMIT,
            # The library's own retries would hide whether a request may
            # have run; every retry is decided by verdict, elsewhere.
            retries=0,
            # Servers close idle connections after some seconds (uvicorn
            # after 5). A request sent into that is lost with an unknown
            # outcome, so we close them first.
            keepalive_expiry=KEEPALIVE_SECONDS,
        )

    async def send(
        self,
        method: str,
        path: str,
        headers: list[tuple[bytes, bytes]],
        body: bytes,
        timeout: float,
    ) -> upstream.ServiceResponse:
        """Send one request and read its whole response.

        :raises CrowdeckError: ``UPSTREAM_LOST``, with the verdict.
        """
        extensions = {
            "timeout": {
                "connect": min(CONNECT_TIMEOUT, timeout),
                "pool": timeout,
                "read": timeout,
                "write": timeout,
            }
        }
        try:
            async with self._pool.stream(
                method,
                self._base_url + path,
                headers=headers,
                content=body,
                extensions=extensions,
            ) as response:
                return await _read(response)
        except _NOT_SENT as error:
            raise _lost(error, verdicts.Verdict.NOT_RUN) from None
        except _MAYBE_SENT as error:
            raise _lost(error, verdicts.Verdict.MAY_HAVE_RUN) from None

    async def close(self) -> None:
        """Close all connections."""
        await self._pool.aclose()


async def _read(response: httpcore.Response) -> upstream.ServiceResponse:
    chunks = []
    size = 0
    async for chunk in response.aiter_stream():
        size += len(chunk)
        if size > RESPONSE_LIMIT:
            raise errors.CrowdeckError(
                errors.Code.TOO_LARGE,
                f"the upstream's answer is over {RESPONSE_LIMIT} bytes",
                verdict=verdicts.Verdict.RAN,
            )
        chunks.append(chunk)
    headers = tuple(
        messages.Header(
            name.decode("latin-1").lower(), value.decode("latin-1")
        )
        for name, value in response.headers
    )
    return upstream.ServiceResponse(response.status, headers, b"".join(chunks))


def _lost(error: Exception, verdict: verdicts.Verdict) -> errors.CrowdeckError:
    return errors.CrowdeckError(
        errors.Code.UPSTREAM_LOST,
        f"the upstream was lost ({type(error).__name__})",
        verdict=verdict,
    )


class HttpEngine:
    """A model engine behind the HTTP interface of ``docs/ENGINE.md``."""

    def __init__(self, client: HttpClient) -> None:
        self._client = client

    async def describe(self) -> pipeline.Offer:
        """Return what the engine serves."""
        body = await self._exchange("GET", "/engine", None, CONNECT_TIMEOUT)
        offer: pipeline.Offer = self._structure(body, pipeline.Offer)
        return offer

    async def step(
        self, steps: tuple[upstream.EngineStep, ...]
    ) -> tuple[upstream.EngineOutput, ...]:
        """Run one batch."""
        body = await self._exchange(
            "POST", "/step", _CONVERTER.unstructure(steps), STEP_TIMEOUT
        )
        outputs: tuple[upstream.EngineOutput, ...] = self._structure(
            body, tuple[upstream.EngineOutput, ...]
        )
        return outputs

    async def cancel(self, sequence: str) -> None:
        """Forget a sequence."""
        await self._exchange(
            "POST", "/cancel", {"sequence": sequence}, STEP_TIMEOUT
        )

    async def export_kv(self, sequence: str) -> bytes:
        """Return a sequence's KV cache."""
        body = await self._exchange(
            "POST", "/kv/export", {"sequence": sequence}, STEP_TIMEOUT
        )
        return bytes(body["kv"])

    async def import_kv(self, sequence: str, kv: bytes) -> None:
        """Take a sequence's KV cache."""
        await self._exchange(
            "POST",
            "/kv/import",
            {"sequence": sequence, "kv": kv},
            STEP_TIMEOUT,
        )

    async def _exchange(
        self, method: str, path: str, body: object, timeout: float
    ) -> typing.Any:
        response = await self._client.send(
            method,
            path,
            [(b"content-type", MEDIA_TYPE.encode())],
            b"" if body is None else msgpack.packb(body),
            timeout,
        )
        if response.status != 200:
            raise _bad_answer(f"the engine answered {response.status}")
        try:
            return msgpack.unpackb(response.body)
        except ValueError as error:
            raise _bad_answer("the engine's answer is malformed") from error

    def _structure(self, body: typing.Any, cls: typing.Any) -> typing.Any:
        try:
            return _CONVERTER.structure(body, cls)
        except Exception as error:
            # cattrs raises groups and plain errors by the kind of fault.
            raise _bad_answer("the engine's answer is malformed") from error


def _bad_answer(message: str) -> errors.CrowdeckError:
    return errors.CrowdeckError(
        errors.Code.UPSTREAM_FAILED,
        message,
        verdict=verdicts.Verdict.MAY_HAVE_RUN,
    )


class HttpService:
    """A plain service behind HTTP."""

    def __init__(self, client: HttpClient) -> None:
        self._client = client

    async def call(
        self, request: upstream.ServiceRequest
    ) -> upstream.ServiceResponse:
        """Make one call."""
        headers = [
            (header.name.encode("latin-1"), header.value.encode("latin-1"))
            for header in request.headers
            if header.name not in HOP_HEADERS
        ]
        response = await self._client.send(
            request.method,
            request.path,
            headers,
            request.body,
            request.timeout,
        )
        kept = tuple(
            header
            for header in response.headers
            if header.name not in HOP_HEADERS
        )
        return upstream.ServiceResponse(response.status, kept, response.body)
