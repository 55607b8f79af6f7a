# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""What the relay asks of an adapter: to reach callers and upstreams."""

import contextlib
import typing

import attrs

from crowdeck import backpressure as pressures
from crowdeck import chain
from crowdeck import http
from crowdeck.relay import request as requests


@attrs.frozen
class Dispatch:
    """How a request goes to an upstream this time.

    :ivar seconds_left: how long the upstream may take.
    :ivar path: the engines it passes, ``None`` for a plain service.
    :ivar last_event: id of the last event that is not wanted again, -1
        for a request that begins at the beginning.
    """

    team: str
    priority: int
    seconds_left: float
    path: chain.ChainPath | None = None
    last_event: int = -1


@attrs.frozen
class Load:
    """What an upstream tells of its load."""

    running: int
    waiting: int
    slots: int


@attrs.frozen
class RepathOutcome:
    """What became of a change of path.

    :ivar is_known: whether the first engine knows the request.
    :ivar culprit: address of the engine because of which it was refused.
    """

    is_done: bool
    is_known: bool
    culprit: str = ""


@attrs.frozen
class Notice:
    """What an instance tells of itself in the head of an answer.

    :ivar load: the load that it tells, if it does.
    :ivar answers_request: whether it answers a request. Where it answers a
        question or an order, what it does not tell may still be so.
    """

    backpressure: pressures.Backpressure
    load: Load | None = None
    answers_request: bool = True


NoticeListener = typing.Callable[[chain.Upstream, Notice], None]


class Answer(typing.Protocol):
    """An upstream's answer whose body is still to come."""

    @property
    def status(self) -> int:
        """The upstream's status."""
        ...

    @property
    def caller_headers(self) -> http.RawHeaders:
        """The headers that go to the caller."""
        ...

    @property
    def has_not_run(self) -> bool:
        """Whether the upstream says that it did not run the request."""
        ...

    @property
    def is_signed(self) -> bool:
        """Whether the answer bears the upstream's signature."""
        ...

    @property
    def culprit(self) -> str:
        """Address of the engine that made a path fail, or nothing."""
        ...

    @property
    def load(self) -> Load | None:
        """The load that the upstream tells, if it does."""
        ...

    def belongs_to(self, request: requests.CallerRequest) -> bool:
        """Whether this is the answer to ``request`` and to no other."""
        ...

    def event_id(self, event: bytes) -> int | None:
        """Return the id of one event of a stream, or ``None``."""
        ...

    def chunks(self) -> typing.AsyncIterator[bytes]:
        """Yield the body as it comes.

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
        """Call ``listener`` with what each answer tells of its sender."""
        ...

    def open(
        self,
        upstream: chain.Upstream,
        request: requests.CallerRequest,
        dispatch: Dispatch,
        timeouts: http.Timeouts,
    ) -> contextlib.AbstractAsyncContextManager[Answer]:
        """Send a request and yield its answer once the head is here.

        :raises CrowdeckError: ``UPSTREAM_LOST``, with the verdict.
        """
        ...

    async def report(self, upstream: chain.Upstream) -> chain.EngineReport:
        """Return what an engine says of itself.

        :raises CrowdeckError: when it cannot be had.
        """
        ...

    async def repath(
        self, head: chain.Upstream, request_id: str, path: chain.ChainPath
    ) -> RepathOutcome:
        """Have a running request go on along another path."""
        ...


class CallerCodec(typing.Protocol):
    """Reads callers' requests, and says when to come back."""

    def decode(
        self,
        method: str,
        raw_path: bytes,
        query: bytes,
        headers: http.RawHeaders,
        body: bytes,
        arrived: float,
    ) -> requests.CallerRequest | None:
        """Return a caller's request, or ``None`` if it has no id."""
        ...

    def retry_after(self, seconds: float) -> tuple[bytes, bytes]:
        """Return the header that tells when to come back."""
        ...
