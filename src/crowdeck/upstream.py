# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Upstreams: the engines and plain services that requests end at.

Each is used through a ``Protocol``, so that another kind of engine or service
only needs an adapter. ``docs/ENGINE.md`` describes the HTTP interface of the
adapter in ``upstream_http``.
"""

import typing

import attrs

from crowdeck import header as http_header
from crowdeck import pipeline


@attrs.frozen
class EngineStep:
    """One step of one sequence.

    :ivar sequence: the sequence's name on the engine.
    :ivar context: tokens of context the engine must hold before this
        step; an engine that holds more truncates it first.
    :ivar prompt: text to tokenize, only in a head's first step.
    :ivar tokens: tokens to append, only at a head.
    :ivar hidden: the previous stage's output, only after the head.
    :ivar count: number of tokens that ``hidden`` covers.
    """

    sequence: str
    context: int
    prompt: str = ""
    tokens: tuple[int, ...] = ()
    hidden: bytes = b""
    count: int = 0


@attrs.frozen
class EngineOutput:
    """The result of one step.

    :ivar hidden: output for the next stage, empty at the tail.
    :ivar count: tokens of context that the step added.
    :ivar token: the sampled token, only at the tail.
    :ivar finish: why the answer ended, empty while it continues.
    :ivar error: error of this sequence, or empty.
    """

    sequence: str
    hidden: bytes = b""
    count: int = 0
    token: int = 0
    text: str = ""
    finish: str = ""
    error: str = ""


class Engine(typing.Protocol):
    """A model engine that holds a range of a model's layers.

    Every method raises ``CrowdeckError`` with a verdict: ``NOT_RUN`` when
    the engine was not reached, ``MAY_HAVE_RUN`` when its reply was lost.
    """

    async def describe(self) -> pipeline.Offer:
        """Return what the engine serves."""
        ...

    async def step(
        self, steps: tuple[EngineStep, ...]
    ) -> tuple[EngineOutput, ...]:
        """Run one batch; outputs are in the order of ``steps``."""
        ...

    async def cancel(self, sequence: str) -> None:
        """Drop a sequence and its KV cache."""
        ...

    async def export_kv(self, sequence: str) -> bytes:
        """Return a sequence's KV cache."""
        ...

    async def import_kv(self, sequence: str, kv: bytes) -> None:
        """Load a sequence's exported KV cache."""
        ...


@attrs.frozen
class ServiceRequest:
    """One HTTP request to a plain service.

    :ivar timeout_seconds: maximum time of each read or write, and of
        connecting if that is below the client's connect timeout.
    """

    method: str
    path: str
    headers: tuple[http_header.Header, ...]
    body: bytes
    timeout_seconds: float


@attrs.frozen
class ServiceResponse:
    """A plain service's HTTP response."""

    status: int
    headers: tuple[http_header.Header, ...]
    body: bytes

    def find(self, name: str) -> str:
        """Return a header's value by its lower-case name, empty if absent."""
        for header in self.headers:
            if header.name == name:
                return header.value
        return ""


class PlainService(typing.Protocol):
    """A service without model engines, called once per request."""

    async def call(self, request: ServiceRequest) -> ServiceResponse:
        """Make one call.

        :raises CrowdeckError: with verdict ``NOT_RUN`` when no connection
            was made, ``MAY_HAVE_RUN`` when the answer was lost.
        """
        ...
