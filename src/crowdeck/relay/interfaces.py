# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Interfaces that platform adapters implement for the relay."""

import contextlib
import typing

import attrs

from crowdeck import backpressure as pressures
from crowdeck import chain
from crowdeck import http
from crowdeck.relay import request as requests


@attrs.frozen
class Dispatch:
    """Parameters of one send of a request to an upstream.

    :ivar seconds_left: time within which the upstream must answer.
    :ivar path: the engines that serve the request, ``None`` for a plain
        service.
    :ivar last_event_id: id of the last event already received, -1 to start
        with the first.
    :ivar may_repeat: whether the request may run more than once.
    """

    team: str
    priority: int
    seconds_left: float
    path: chain.ChainPath | None = None
    last_event_id: int = -1
    may_repeat: bool = False


@attrs.frozen
class Load:
    """The load that an upstream reports, in requests.

    :ivar slots: requests that it can run at the same time.
    """

    running: int
    waiting: int
    slots: int


@attrs.frozen
class RepathOutcome:
    """The result of changing the path of a running request.

    :ivar is_done: whether the request now uses the new path.
    :ivar is_known: whether the first engine knows the request.
    :ivar culprit: address of the engine that caused a refusal, or empty.
    """

    is_done: bool
    is_known: bool
    culprit: str = ""


@attrs.frozen
class Notice:
    """What an instance reports about itself in an answer's headers.

    :ivar load: the reported load, if any.
    :ivar answers_request: whether it came with the answer to a request. A
        report need not repeat every signal, so one that is missing from it
        may still be in force.
    """

    backpressure: pressures.Backpressure
    load: Load | None = None
    answers_request: bool = True


NoticeListener = typing.Callable[[chain.Upstream, Notice], None]


class Answer(typing.Protocol):
    """An upstream's answer whose body has not been read."""

    @property
    def status(self) -> int:
        """The upstream's status."""
        ...

    @property
    def caller_headers(self) -> http.RawHeaders:
        """The headers to forward to the caller."""
        ...

    @property
    def has_not_run(self) -> bool:
        """Whether the upstream says that it did not run the request."""
        ...

    @property
    def is_signed(self) -> bool:
        """Whether the answer has the upstream's signature."""
        ...

    @property
    def culprit(self) -> str:
        """Address of the engine that made a path fail, or empty."""
        ...

    @property
    def load(self) -> Load | None:
        """The load that the upstream reports, if any."""
        ...

    def belongs_to(self, request: requests.CallerRequest) -> bool:
        """Whether this is the answer to ``request``."""
        ...

    def event_id(self, event: bytes) -> int | None:
        """Return the id of one event of a stream, or ``None``."""
        ...

    def chunks(self) -> typing.AsyncIterator[bytes]:
        """Yield the body in pieces as it arrives.

        :raises CrowdeckError: ``UPSTREAM_LOST`` when it ends early.
        """
        ...

    async def read(self, limit: int) -> bytes:
        """Return the whole body.

        :raises CrowdeckError: as :meth:`chunks`, and ``TOO_LARGE``.
        """
        ...


class Upstreams(typing.Protocol):
    """Reaches upstream instances."""

    def subscribe(self, listener: NoticeListener) -> None:
        """Call ``listener`` with the notice of each answer."""
        ...

    def open(
        self,
        upstream: chain.Upstream,
        request: requests.CallerRequest,
        dispatch: Dispatch,
        timeouts: http.Timeouts,
    ) -> contextlib.AbstractAsyncContextManager[Answer]:
        """Send a request and yield its answer once its headers arrived.

        :raises CrowdeckError: ``UPSTREAM_LOST``; its verdict says whether
            the request may have run.
        """
        ...

    async def report(self, upstream: chain.Upstream) -> chain.EngineReport:
        """Request an engine's report of its state.

        :raises CrowdeckError: when there is no readable report.
        """
        ...

    async def repath(
        self, head: chain.Upstream, request_id: str, path: chain.ChainPath
    ) -> RepathOutcome:
        """Change the path of a running request."""
        ...


class CallerCodec(typing.Protocol):
    """Decodes callers' requests and encodes the retry header."""

    def decode(
        self,
        method: str,
        raw_path: bytes,
        query: bytes,
        headers: http.RawHeaders,
        body: bytes,
        arrived: float,
    ) -> requests.CallerRequest | None:
        """Return the decoded request, or ``None`` if it has no id."""
        ...

    def retry_after(self, seconds: float) -> tuple[bytes, bytes]:
        """Return the header that says when to retry."""
        ...
