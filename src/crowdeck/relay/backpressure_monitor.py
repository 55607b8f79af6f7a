# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Reports the backpressure of instances to operators."""

import collections
import enum
import itertools
import typing

import anyio
import attrs

from crowdeck import chain
from crowdeck.membership import upstreams as registries
from crowdeck.observe import counters
from crowdeck.observe import logs
from crowdeck.routing import rate_limits

POLL_SECONDS = 0.5
# Maximum number of begun, and of ended, signals that one check logs in a line
# each. The rest are summarized in another line, since all instances of a
# service may signal at once.
MAX_LOG_LINES = 20
# Maximum number of addresses in the log line of a request.
MAX_LOGGED_ADDRESSES = 5


class SignalKind(enum.StrEnum):
    """Kind of backpressure."""

    LIMIT = "limit"
    BACKOFF = "rest"
    LEAVING = "leaving"


@attrs.frozen
class BackpressureSignal:
    """Backpressure of one kind that an instance signals.

    :ivar since: loop time at which this entry received it.
    :ivar per_second: the rate limit in requests per second, over all entries.
    :ivar used: requests per second that this entry sends.
    :ivar share: this entry's share of the rate limit.
    :ivar seconds_left: remaining time of the backoff.
    """

    upstream: chain.Upstream
    kind: SignalKind
    since: float
    per_second: float | None = None
    used: float | None = None
    share: float | None = None
    seconds_left: float | None = None

    @property
    def key(self) -> tuple[str, SignalKind]:
        """Identifies the signal: the instance's name and the kind."""
        return self.upstream.name, self.kind

    def as_fields(self) -> dict[str, typing.Any]:
        """Return the fields that are set, for a log line or a status."""
        fields = {
            "upstream": self.upstream.name,
            "address": str(self.upstream.address),
            "service": self.upstream.service,
            "zone": self.upstream.availability_zone,
            "need": str(self.kind),
            "seconds": anyio.current_time() - self.since,
            "per_second": self.per_second,
            "used": self.used,
            "share": self.share,
            "seconds_left": self.seconds_left,
        }
        return {
            name: round(value, 3) if isinstance(value, float) else value
            for name, value in fields.items()
            if value is not None
        }


class BackpressureMonitor:
    """Collects the backpressure that instances signal."""

    def __init__(
        self,
        registry: registries.UpstreamRegistry,
        limits: rate_limits.RateLimits,
    ) -> None:
        self._registry = registry
        self._limits = limits
        self._known: dict[tuple[str, SignalKind], BackpressureSignal] = {}
        self._gauge_names: set[str] = set()

    def active_signals(self) -> tuple[BackpressureSignal, ...]:
        """Return the signals in force."""
        return (*self._limited(), *self._backing_off(), *self._leaving())

    def unavailable_addresses(self, service: str) -> str:
        """Return addresses of a service's instances that get no requests.

        At most ``MAX_LOGGED_ADDRESSES`` that backpressure excludes, separated
        by commas.
        """
        names = itertools.chain(
            (name for name, _, _ in self._registry.backing_off()),
            (name for name, _ in self._registry.announced_leaving()),
            self._limits.names(),
        )
        found = (
            str(upstream.address)
            for name in dict.fromkeys(names)
            if (upstream := self._registry.find(name)) is not None
            and upstream.service == service
            and not (
                self._registry.is_usable(name)
                and self._limits.allows(upstream)
            )
        )
        return ",".join(itertools.islice(found, MAX_LOGGED_ADDRESSES))

    async def run(self) -> None:
        """Log changes and set the gauges, until cancelled."""
        while True:
            self._report_changes()
            await anyio.sleep(POLL_SECONDS)

    def _limited(self) -> typing.Iterator[BackpressureSignal]:
        for limit in self._limits.views():
            upstream = self._registry.find(limit.name)
            if upstream is not None:
                yield BackpressureSignal(
                    upstream,
                    SignalKind.LIMIT,
                    limit.since,
                    per_second=limit.per_second,
                    used=limit.used,
                    share=limit.share,
                )

    def _backing_off(self) -> typing.Iterator[BackpressureSignal]:
        now = anyio.current_time()
        for name, since, until in self._registry.backing_off():
            upstream = self._registry.find(name)
            if upstream is not None:
                seconds_left = until - now
                yield BackpressureSignal(
                    upstream,
                    SignalKind.BACKOFF,
                    since,
                    seconds_left=seconds_left,
                )

    def _leaving(self) -> typing.Iterator[BackpressureSignal]:
        for name, since in self._registry.announced_leaving():
            upstream = self._registry.find(name)
            if upstream is not None:
                yield BackpressureSignal(upstream, SignalKind.LEAVING, since)

    def _report_changes(self) -> None:
        found = {signal.key: signal for signal in self.active_signals()}
        begun = [
            signal for key, signal in found.items() if key not in self._known
        ]
        ended = [
            signal for key, signal in self._known.items() if key not in found
        ]
        _log("need_begun", begun)
        _log("need_ended", ended)
        self._known = found
        self._set_gauges(found.values())

    def _set_gauges(self, found: typing.Iterable[BackpressureSignal]) -> None:
        values: dict[str, float] = collections.defaultdict(float)
        for signal in found:
            group = (
                f"{signal.upstream.service}."
                f"{signal.upstream.availability_zone}"
            )
            values[f"needs.{signal.kind}.{group}"] += 1
            if signal.kind is SignalKind.LIMIT:
                allowed = f"needs.allowed_per_second.{group}"
                used = f"needs.used_per_second.{group}"
                values[allowed] += signal.per_second or 0.0
                values[used] += signal.used or 0.0
        self._gauge_names |= set(values)
        # Gauges without a signal now are set to 0.
        for name in self._gauge_names:
            counters.COUNTERS.set_gauge(name, values[name])


def _log(event: str, signals: list[BackpressureSignal]) -> None:
    for signal in signals[:MAX_LOG_LINES]:
        logs.change(event, **signal.as_fields())
    unlogged = signals[MAX_LOG_LINES:]
    if unlogged:
        counts = collections.Counter(
            f"{signal.upstream.service} {signal.upstream.availability_zone} "
            f"{signal.kind}"
            for signal in unlogged
        )
        logs.change(f"{event}_by_others", instances=dict(counts))
