# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Finds a path for one stream, waiting for capacity if needed."""

import anyio

from crowdeck import chain
from crowdeck import errors
from crowdeck.observe import counters
from crowdeck.observe import logs
from crowdeck.relay import context as contexts
from crowdeck.relay import gaps
from crowdeck.relay import live
from crowdeck.relay import retry_advice
from crowdeck.relay import waiting
from crowdeck.routing import hops
from crowdeck.routing import stream_admission

# How long a new request waits for capacity. Leaves an engine time to send the
# first event before the caller gives up. Callers give up after two seconds
# without an event.
QUEUE_WAIT_SECONDS = 1.2
# How long after a gap in the layers was first seen requests wait for it if it
# is not expected to close in time. Covers a listing that arrives late. A
# longer wait does not help, as loading takes longer.
UNHELD_WAIT_SECONDS = 0.1
# How long a stream whose answer has started waits for a path or a retry.
# Callers give up after a longer silence. That is two seconds or more.
STARTED_WAIT_SECONDS = 1.6
POLL_SECONDS = 0.02
# Longer than ``POLL_SECONDS``: planning on a full fleet is costly and would
# leave a small entry no time to serve requests. A failed search on a full
# fleet of 38 engines takes 30 ms of its time.
QUEUE_POLL_SECONDS = 0.08
ALL_UNAVAILABLE = "all engines of some layers are rate limited or backing off"


class PathSearch:
    """Finds the paths for the attempts of one stream.

    :param deadline: loop time after which no attempt is made.
    """

    def __init__(
        self,
        context: contexts.RelayContext,
        stream: live.LiveStream,
        deadline: float,
    ) -> None:
        self._context = context
        self._stream = stream
        self._service = stream.service.name
        self._arrived = stream.request.arrived
        self._deadline = deadline
        self._excluded: set[str] = set()
        self._unavailable_at_start = ""

    def exclude(self, name: str) -> None:
        """Avoid an engine until there is no path without it."""
        self._excluded.add(name)

    async def find(self, *, has_started: bool) -> chain.ChainPath | None:
        """Return a path, or ``None`` if there is none in time.

        :param has_started: whether the caller has a part of the answer. Such
            a stream skips the queue and waits longer.
        """
        wait_queue = self._context.wait_queue(self._service)
        path = None
        if has_started:
            path = await self._wait_after_start()
        elif self._must_queue(wait_queue) or (path := self._plan()) is None:
            self._unavailable_at_start = (
                self._context.backpressure.unavailable_addresses(self._service)
            )
            path = await self._wait_in_queue(wait_queue)
        if path is None:
            self._log_no_path()
        return path

    async def _wait_after_start(self) -> chain.ChainPath | None:
        """Return a path for a stream whose answer has started.

        Waits for capacity and for layers that are being loaded, but not for
        layers that the remaining engines cannot hold.
        """
        until = anyio.current_time() + STARTED_WAIT_SECONDS
        gap = self._gap()
        if gap is not None and not gap.can_be_closed:
            until = gap.since + UNHELD_WAIT_SECONDS
        return await self._poll(until)

    async def _wait_in_queue(
        self, wait_queue: waiting.WaitQueue
    ) -> chain.ChainPath | None:
        """Return a path once it is this request's turn and there is one.

        Does not wait if the turn is not expected in time.
        """
        now = anyio.current_time()
        until = self._arrived + QUEUE_WAIT_SECONDS
        gap = self._gap()
        if gap is not None and not gap.closes_by(until):
            until = gap.since + UNHELD_WAIT_SECONDS
        until = min(until, self._deadline)
        expected_seconds = self._context.retry_advisor.seconds_until_capacity(
            len(wait_queue) + 1
        )
        expected_seconds = max(expected_seconds, self.seconds_until_accepted())
        if wait_queue.is_full or now + expected_seconds > until:
            return None
        async with wait_queue.turn(until) as is_first:
            if not is_first:
                return None
            return await self._poll(until, QUEUE_POLL_SECONDS)

    async def _poll(
        self, until: float, interval_seconds: float = POLL_SECONDS
    ) -> chain.ChainPath | None:
        """Look for a path at intervals until the time is over."""
        until = min(until, self._deadline)
        while (path := self._plan()) is None:
            if anyio.current_time() >= until:
                return None
            await anyio.sleep(interval_seconds)
        return path

    def seconds_until_accepted(self) -> float:
        """Return the seconds until backpressure allows a path.

        0 if it does now or if that is not known. Otherwise the longer of two
        waits: until a first engine accepts this request after those in the
        queue, and until engines that are not backing off hold all layers.
        """
        first_engines = [
            engine
            for engine in self._context.registry.usable_or_backing_off(
                self._service
            )
            if engine.layers is not None and engine.layers.first == 0
        ]
        ahead = len(self._context.wait_queue(self._service))
        first_engine_seconds = self._context.seconds_until_any_accepts(
            first_engines, ahead
        )
        return max(first_engine_seconds, self._seconds_until_backoffs_end())

    def _seconds_until_backoffs_end(self) -> float:
        """Return the seconds until backoffs no longer prevent a path.

        0 if there is a path without the engines that are backing off, or if
        layers are missing even with them.
        """
        registry = self._context.registry
        if not registry.backing_off():
            return 0.0
        count = self._stream.profile.layer_count
        usable = chain.engines_within(registry.usable(self._service), count)
        missing = gaps.missing_layers(usable, count)
        usable_later = chain.engines_within(
            registry.usable_or_backing_off(self._service), count
        )
        if not missing or gaps.missing_layers(usable_later, count):
            return 0.0
        wait_by_layer = [float("inf")] * count
        for engine in usable_later:
            if engine.layers is None or registry.is_usable(engine.name):
                continue
            seconds_left = registry.backoff_seconds_left(engine.name)
            for layer in range(engine.layers.first, engine.layers.end):
                wait_by_layer[layer] = min(wait_by_layer[layer], seconds_left)
        return max(
            wait_by_layer[layer]
            for layers in missing
            for layer in range(layers.first, layers.end)
        )

    def _must_queue(self, wait_queue: waiting.WaitQueue) -> bool:
        """Whether requests are queued for capacity, not for missing layers."""
        return bool(len(wait_queue)) and self._gap() is None

    def unavailable_addresses(self) -> str:
        """Return addresses of engines that backpressure excludes.

        If there are none now, returns those excluded when the wait began.
        """
        now = self._context.backpressure.unavailable_addresses(self._service)
        return now or self._unavailable_at_start

    def refusal_error(self) -> errors.CrowdeckError:
        """Record that a stream found no path, and return the error."""
        rng = self._context.rng
        delay = self._context.retry_advisor.record_refusal()
        gap = self._gap()
        if gap is not None:
            counters.COUNTERS.add("relay.unheld")
            seconds_left = gap.seconds_left
            if seconds_left is not None:
                delay = seconds_left + rng.uniform(
                    0.0, retry_advice.WINDOW_SECONDS
                )
            return _no_path_error(_describe_gap(gap), delay)
        seconds = self.seconds_until_accepted()
        if seconds:
            counters.COUNTERS.add("relay.limited")
            return _no_path_error(ALL_UNAVAILABLE, seconds + delay)
        return _no_path_error("no path through the model has capacity", delay)

    def _gap(self) -> gaps.LayerGap | None:
        """Return the gap in the model; leaving engines count as gone."""
        return self._context.gaps.find_gap(self._service, self._stream.profile)

    def _log_no_path(self) -> None:
        registry = self._context.registry
        usable = registry.usable(self._service)
        count = self._stream.profile.layer_count
        copies_by_layer = chain.coverage(usable, count)
        missing = [
            layer for layer, copies in enumerate(copies_by_layer) if not copies
        ]
        gap = self._gap()
        ready_in = self.seconds_until_accepted()
        logs.decision(
            "no_path",
            self._stream.request.id,
            listed=len(registry.listed(self._service)),
            usable=len(usable),
            missing_layers=len(missing),
            first_missing=missing[0] if missing else None,
            unheld=str(gap) if gap else None,
            needed=gap.needed if gap else None,
            held_back=self.unavailable_addresses(),
            ready_in=round(ready_in, 3) or None,
            tokens=int(self._stream.tokens),
            waited=round(anyio.current_time() - self._arrived, 3),
        )

    def _plan(self) -> chain.ChainPath | None:
        registry = self._context.registry
        limits = self._path_limits()
        path_request = hops.PathRequest(
            self._stream.profile,
            self._stream.tokens,
            self._context.zone,
            self._stream.objective_seconds,
            self._context.limits.allows,
            limits.max_cache_utilization,
            limits.max_first_event_seconds,
        )
        usable = [
            engine
            for engine in registry.usable(self._service)
            if engine.name not in self._excluded
        ]
        path = self._plan_over(usable, path_request)
        # Use leaving engines if the others leave no path, or only one through
        # another zone.
        if path is None or path.zone_crossings:
            leaving = [
                engine
                for engine in registry.usable_while_leaving(self._service)
                if engine.name not in self._excluded
            ]
            if leaving:
                path = self._plan_over(usable + leaving, path_request)
        if path is None and self._excluded:
            # Engines that failed or refused may serve the next attempt.
            self._excluded.clear()
        if path is not None:
            # Counted at once, so that other tasks do not exceed the limit.
            self._context.limits.take(path.head)
        return path

    def _path_limits(self) -> stream_admission.PathLimits:
        """Return the bounds on a path; a stream that has begun has none."""
        if self._stream.has_events:
            return stream_admission.PathLimits()
        return self._context.admission.limits(
            self._service, self._stream.urgency, self._stream.objective_seconds
        )

    def _plan_over(
        self, usable: list[chain.Upstream], path_request: hops.PathRequest
    ) -> chain.ChainPath | None:
        """Return the best path in this entry's subset, else in ``usable``."""
        subset = self._context.subset.pick(usable)
        path = self._context.planner.plan(subset, path_request)
        if path is None and len(subset) < len(usable):
            path = self._context.planner.plan(usable, path_request)
        return path


def _describe_gap(gap: gaps.LayerGap) -> str:
    reason = f"no engine holds layers {gap}"
    if not gap.can_be_closed:
        count = gap.profile.layer_count
        reason += (
            f", and the remaining engines can hold {gap.layer_capacity} "
            f"of {count}"
        )
    return reason


def _no_path_error(reason: str, retry_after: float) -> errors.CrowdeckError:
    return errors.CrowdeckError(
        errors.Code.NO_PATH, reason, retry_after=retry_after
    )
