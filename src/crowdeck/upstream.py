# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Upstreams: the engines and plain services that requests end at.

Each is met through a ``Protocol``; another engine or service is a new
adapter and no other change. ``docs/ENGINE.md`` gives the HTTP interface
that the shipped adapter speaks.
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
        step; an engine that holds more forgets the surplus first.
    :ivar prompt: text to tokenize, only in a head's first step.
    :ivar tokens: tokens to append, only at a head.
    :ivar hidden: the previous stage's output, only past the head.
    :ivar count: how many tokens ``hidden`` covers.
    """

    sequence: str
    context: int
    prompt: str = ""
    tokens: tuple[int, ...] = ()
    hidden: bytes = b""
    count: int = 0


@attrs.frozen
class EngineOutput:
    """What one step gave.

    :ivar hidden: output for the next stage, empty at the tail.
    :ivar count: tokens of context that the step added.
    :ivar token: the token chosen, only at the tail.
    :ivar finish: why the model ended, empty while it goes on.
    :ivar error: what went wrong with this sequence, empty for nothing.
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
    the engine was never reached, ``MAY_HAVE_RUN`` when its reply is lost.
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
        """Forget a sequence and its KV cache."""
        ...

    async def export_kv(self, sequence: str) -> bytes:
        """Return a sequence's KV cache."""
        ...

    async def import_kv(self, sequence: str, kv: bytes) -> None:
        """Take a sequence's KV cache from an earlier export."""
        ...


@attrs.frozen
class ServiceRequest:
    """One HTTP request to a plain service."""

    method: str
    path: str
    headers: tuple[http_header.Header, ...]
    body: bytes
    timeout: float


@attrs.frozen
class ServiceResponse:
    """A plain service's HTTP response."""

    status: int
    headers: tuple[http_header.Header, ...]
    body: bytes

    def find(self, name: str) -> str:
        """Return a header's value by its lower-case name, or nothing."""
        for header in self.headers:
            if header.name == name:
                return header.value
        return ""


class PlainService(typing.Protocol):
    """A service beside the engines, called once per request."""

    async def call(self, request: ServiceRequest) -> ServiceResponse:
        """Make one call.

        :raises CrowdeckError: ``NOT_RUN`` when no connection was had,
            ``MAY_HAVE_RUN`` when the answer is lost.
        """
        ...
