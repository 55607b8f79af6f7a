# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Decides which connections to upstreams are kept, and for which requests."""

import enum
import math
import typing

import anyio
import attrs

from crowdeck import chain
from crowdeck import http
from crowdeck.observe import logs
from crowdeck import route as routes

# Part of a service's connection limit that the kept connections of all entries
# together may use. The rest is for requests in progress.
KEPT_SHARE = 0.25
# An idle connection is closed after this part of the time that the upstream
# states, at the latest after the maximum.
KEEP_ALIVE_FRACTION = 0.5
MAX_IDLE_SECONDS = 10.0
# The time for upstreams that state none.
DEFAULT_IDLE_SECONDS = 4.0
# Longest rest after which a connection is used for requests. A request on a
# connection to a silent upstream takes longer to fail than a new connection,
# and calls have no stall detection.
MAX_STREAM_REST_SECONDS = 4.0
MAX_CALL_REST_SECONDS = 1.0
# If kept connections of a service fail too often, its connections are kept for
# this part of the time for which the last had rested, for some time.
FAILED_REST_FRACTION = 0.5
FAILED_REST_MEMORY_SECONDS = 30.0
# A failure after a shorter rest than this is not due to the rest.
MIN_FAILED_REST_SECONDS = 0.1
MAX_FAILURE_RATE = 0.15
# Weight of the newest use of a kept connection in the failure rate.
EWMA_WEIGHT = 0.1
# After a kept connection failed, the upstream's others are not used for this
# long, so that a repeated report uses a fresh connection.
FAILURE_PAUSE_SECONDS = 2.0
# After an upstream sent bytes that belong to no request.
SURPLUS_PAUSE_SECONDS = 30.0


class CloseReason(enum.StrEnum):
    """Why a connection is closed."""

    UNFINISHED = "unfinished"
    FAILED = "failed"
    STATUS = "status"
    FOREIGN_ANSWER = "foreign_answer"
    NO_ID = "no_id"
    UNFRAMED = "unframed"
    REQUESTED = "requested"
    SLOWLY_SENT = "slowly_sent"
    SURPLUS = "surplus"
    CLOSED_BY_UPSTREAM = "closed_by_upstream"
    EXPIRED = "expired"
    FULL = "full"
    UNUSABLE = "unusable"
    ENDED = "ended"
    STOPPED = "stopped"


# The longest rest of a connection that each kind of request may use; kinds
# that are not listed use fresh connections.
_MAX_REST_SECONDS = {
    http.ExchangeKind.REPORT: MAX_IDLE_SECONDS,
    http.ExchangeKind.STREAM: MAX_STREAM_REST_SECONDS,
    http.ExchangeKind.CALL: MAX_CALL_REST_SECONDS,
}
_PAUSE_SECONDS = {
    CloseReason.FAILED: FAILURE_PAUSE_SECONDS,
    CloseReason.SURPLUS: SURPLUS_PAUSE_SECONDS,
    CloseReason.FOREIGN_ANSWER: SURPLUS_PAUSE_SECONDS,
}


@attrs.frozen
class Completion:
    """How an exchange on a connection ended.

    :ivar is_whole: whether the whole answer was read.
    :ivar has_own_id: whether the answer has the id of its request.
    :ivar has_foreign_id: whether it has the id of another request.
    :ivar is_framed: whether the answer's end was told by a length or by
        chunks, and by just one of them.
    :ivar requests_close: whether the connection cannot be used again, as the
        upstream says or by its version of HTTP.
    :ivar was_sent_at_once: whether the whole request was handed over before
        any part of the answer could be read.
    :ivar has_surplus: whether more bytes came after the answer.
    """

    status: int
    is_whole: bool
    has_own_id: bool
    has_foreign_id: bool
    is_framed: bool
    requests_close: bool
    was_sent_at_once: bool
    has_surplus: bool


@attrs.define
class _Rests:
    """How connections to a service bear to be idle.

    :ivar failure_rate: moving average, 1 for a failed use.
    :ivar max_rest_seconds: for how long they may be idle, until the loop time
        ``limited_until``.
    """

    failure_rate: float = 0.0
    max_rest_seconds: float = MAX_IDLE_SECONDS
    limited_until: float = float("-inf")


class Instances(typing.Protocol):
    """The upstream instances that this process knows."""

    def find(self, name: str) -> chain.Upstream | None:
        """Return the instance of this name, if it is known."""
        ...

    def is_usable(self, name: str) -> bool:
        """Whether an instance may get new work."""
        ...


class ConnectionPolicy:
    """Decides on the use of kept connections.

    :param services: returns the services of the config in force.
    :param entry_count: returns the number of entries, 0 while unknown.
    """

    def __init__(
        self,
        instances: Instances,
        services: typing.Callable[[], typing.Iterable[routes.Service]],
        entry_count: typing.Callable[[], int],
    ) -> None:
        self._instances = instances
        self._services = services
        self._entry_count = entry_count
        self._paused_until: dict[str, float] = {}
        self._rests_by_service: dict[str, _Rests] = {}

    def max_rest_seconds(self, kind: http.ExchangeKind) -> float | None:
        """Return how long a connection may have rested before a request.

        The upstream may close it just then, so that nobody knows whether the
        request arrived. ``None`` for requests that must not run twice, which
        always use a fresh connection.
        """
        return _MAX_REST_SECONDS.get(kind)

    def reason_to_close(self, completion: Completion) -> CloseReason | None:
        """Return why a connection is not kept, ``None`` if it may be."""
        checks = (
            (not completion.has_foreign_id, CloseReason.FOREIGN_ANSWER),
            (not completion.has_surplus, CloseReason.SURPLUS),
            (completion.is_whole, CloseReason.UNFINISHED),
            (200 <= completion.status < 300, CloseReason.STATUS),
            (completion.has_own_id, CloseReason.NO_ID),
            (completion.is_framed, CloseReason.UNFRAMED),
            (not completion.requests_close, CloseReason.REQUESTED),
            (completion.was_sent_at_once, CloseReason.SLOWLY_SENT),
        )
        for is_passed, reason in checks:
            if not is_passed:
                return reason
        return None

    def idle_seconds(
        self, name: str, keep_alive_seconds: float | None
    ) -> float:
        """Return how long an idle connection to an instance is kept.

        :param keep_alive_seconds: the upstream's own time, if it states one.
        """
        seconds = DEFAULT_IDLE_SECONDS
        if keep_alive_seconds is not None:
            seconds = min(
                KEEP_ALIVE_FRACTION * keep_alive_seconds, MAX_IDLE_SECONDS
            )
        rests = self._rests_by_service.get(self._service_of(name))
        if rests is None or rests.limited_until <= anyio.current_time():
            return seconds
        return min(seconds, rests.max_rest_seconds)

    def idle_limit(self, name: str) -> int:
        """Return how many idle connections to an instance may be kept."""
        upstream = self._instances.find(name)
        if upstream is None or not self._instances.is_usable(name):
            return 0
        if self._paused_until.get(name, 0.0) > anyio.current_time():
            return 0
        entry_count = self._entry_count()
        if not entry_count:
            return 0
        for service in self._services():
            if service.name == upstream.service:
                allowed = KEPT_SHARE * service.connection_limit
                return math.floor(allowed / entry_count)
        return 0

    def note_reused(
        self, name: str, rested_seconds: float, *, has_failed: bool
    ) -> None:
        """Keep connections to a service for a shorter time if many fail.

        Upstreams may drop idle connections without telling, and those of one
        service are likely to do so alike.

        :param rested_seconds: how long the connection had been idle.
        """
        if rested_seconds < MIN_FAILED_REST_SECONDS:
            return
        service = self._service_of(name)
        rests = self._rests_by_service.setdefault(service, _Rests())
        rests.failure_rate += EWMA_WEIGHT * (has_failed - rests.failure_rate)
        if not has_failed or rests.failure_rate < MAX_FAILURE_RATE:
            return
        now = anyio.current_time()
        if rests.limited_until <= now:
            rests.max_rest_seconds = MAX_IDLE_SECONDS
        rests.max_rest_seconds = min(
            rests.max_rest_seconds,
            max(
                MIN_FAILED_REST_SECONDS, FAILED_REST_FRACTION * rested_seconds
            ),
        )
        rests.limited_until = now + FAILED_REST_MEMORY_SECONDS
        logs.change(
            "connections_kept_shorter",
            upstream=name,
            service=service,
            rested=round(rested_seconds, 3),
            seconds=round(rests.max_rest_seconds, 3),
        )

    def note_closed(self, name: str, reason: CloseReason) -> None:
        """Keep no connections to an instance for a time if one failed."""
        seconds = _PAUSE_SECONDS.get(reason)
        if seconds is None:
            return
        now = anyio.current_time()
        for expired in [
            other
            for other, until in self._paused_until.items()
            if until <= now
        ]:
            del self._paused_until[expired]
        until = max(now + seconds, self._paused_until.get(name, 0.0))
        is_paused = name in self._paused_until
        self._paused_until[name] = until
        if is_paused:
            return
        logs.change(
            "connections_not_kept",
            upstream=name,
            reason=str(reason),
            seconds=seconds,
        )

    def _service_of(self, name: str) -> str:
        upstream = self._instances.find(name)
        return upstream.service if upstream is not None else ""
