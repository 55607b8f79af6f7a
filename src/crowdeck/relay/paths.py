# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Finds a path for one stream, waiting for capacity if needed."""

from __future__ import annotations

import typing

import anyio
import attrs

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

if typing.TYPE_CHECKING:
    # Entries of fleets that rank no streams must not load these modules.
    from crowdeck.relay import ranked_waiting
    from crowdeck.routing import waiting_order

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
# Share of the objective of its first event for which a new request waits. The
# engine needs the rest to begin the answer in time.
IN_TIME_SHARE = 0.6
# Share of the objective until which a refusal still lets the caller return
# and be served in time.
EARLY_REFUSAL_SHARE = 0.25
ALL_UNAVAILABLE = "all engines of some layers are rate limited or backing off"
DISPLACED = "more urgent requests take the capacity that becomes free in time"


class PathSearch:
    """Finds the paths for the attempts of one stream.

    :param deadline: loop time after which no attempt is made.
    :param kept_heads: returns the names of first engines that may go on with
        the stream; no path passes them.
    """

    def __init__(
        self,
        context: contexts.RelayContext,
        stream: live.LiveStream,
        deadline: float,
        kept_heads: typing.Callable[[], frozenset[str]] = frozenset,
    ) -> None:
        self._context = context
        self._stream = stream
        self._service = stream.service.name
        self._arrived = stream.request.arrived
        self._deadline = deadline
        self._kept_heads = kept_heads
        self._excluded: set[str] = set()
        self._unavailable_at_start = ""
        self._claim: waiting_order.Claim | None = None
        self._is_retry = False
        self._is_displaced = False

    def exclude(self, name: str) -> None:
        """Avoid an engine until there is no path without it."""
        self._excluded.add(name)

    async def find(self, *, has_started: bool) -> chain.ChainPath | None:
        """Return a path, or ``None`` if there is none in time.

        :param has_started: whether the caller has a part of the answer. Such
            a stream skips the queue and waits longer.
        """
        if has_started:
            path = await self._wait_after_start()
        elif self._stream.urgency.is_ranked:
            path = await self._find_by_rank()
        else:
            path = await self._find_in_turn()
        self._is_retry = True
        if path is None:
            self._log_no_path()
        return path

    async def _find_in_turn(self) -> chain.ChainPath | None:
        """Return a path for a stream of a service without ranks."""
        wait_queue = self._context.wait_queue(self._service)
        path = None
        if self._must_queue(wait_queue) or (path := self._plan()) is None:
            self._note_unavailable()
            path = await self._wait_in_queue(wait_queue)
        return path

    async def _find_by_rank(self) -> chain.ChainPath | None:
        """Return a path for a stream of a service with ranks."""
        queue = self._context.ranked_parts().queue(self._service)
        claim = self._ranked_claim(queue)
        self._is_displaced = False
        path = None
        has_tried = (
            claim.may_have_run
            or queue.may_pass(claim)
            or self._gap() is not None
        )
        if has_tried:
            path = self._plan()
        if path is None:
            self._note_unavailable()
            path = await self._wait_by_rank(queue, claim, has_tried)
        if path is not None:
            queue.note_granted(self._stream, claim)
        return path

    def _ranked_claim(
        self, queue: ranked_waiting.RankedQueue
    ) -> waiting_order.Claim:
        """Return what decides when this request is served.

        Whether it yields to other entries is decided once. An engine may
        have refused it since, so that it would wait twice.
        """
        if self._claim is None:
            self._claim = self._new_claim(queue)
        else:
            self._claim = attrs.evolve(
                self._claim,
                must_yield=False,
                may_have_run=self._stream.may_have_run,
            )
        return self._claim

    def _new_claim(
        self, queue: ranked_waiting.RankedQueue
    ) -> waiting_order.Claim:
        late_at = (
            self._arrived + IN_TIME_SHARE * self._stream.objective_seconds
        )
        return queue.make_claim(
            self._stream, late_at, self._waiting_elsewhere()
        )

    def _waiting_elsewhere(self) -> float:
        return self._context.ranked_parts().waiting_elsewhere(
            self._service, self._stream.urgency.rank
        )

    async def _wait_by_rank(
        self,
        queue: ranked_waiting.RankedQueue,
        claim: waiting_order.Claim,
        has_tried: bool,
    ) -> chain.ChainPath | None:
        """Return a path once it is this request's turn and there is one.

        Does not wait if the turn is not expected in time, unless it may have
        run. This is decided again while a refusal still lets the caller be
        served in time.
        """
        queue.order.note_asked(claim.rank)
        now = anyio.current_time()
        wait_until = claim.late_at
        if self._is_retry:
            # An engine that refused it took the time in which a refusal lets
            # the caller return in time, so that a late answer is worth more.
            wait_until = max(wait_until, self._arrived + QUEUE_WAIT_SECONDS)
        if claim.may_have_run:
            wait_until = now + QUEUE_WAIT_SECONDS
        until = self._bounded_by_gap(wait_until)
        if now >= until:
            return None
        if not claim.may_have_run and (
            now + self.seconds_until_accepted() > until
            or not queue.can_serve(claim, until, self._waiting_elsewhere())
            or not queue.make_room(claim)
        ):
            return None
        next_try_at = now + queue.poll_seconds * has_tried
        with queue.join(claim, until, next_try_at) as place:
            path = await self._poll_by_rank(
                queue, place, min(until, self._early_until())
            )
            if path is None and (
                claim.may_have_run
                or queue.can_serve(
                    place.claim, until, self._waiting_elsewhere()
                )
            ):
                path = await self._poll_by_rank(queue, place, until)
            self._is_displaced = place.is_displaced
            return path

    def _early_until(self) -> float:
        """Return until when a refused caller can return and be in time."""
        if self._is_retry:
            return anyio.current_time()
        return (
            self._arrived
            + EARLY_REFUSAL_SHARE * self._stream.objective_seconds
        )

    async def _poll_by_rank(
        self,
        queue: ranked_waiting.RankedQueue,
        place: ranked_waiting.Place,
        until: float,
    ) -> chain.ChainPath | None:
        """Look for a path at each turn until the time is over."""
        while await queue.turn(
            place, until, lambda: self._waiting_elsewhere() > 0.0
        ):
            path = self._plan()
            if path is not None:
                return path
        return None

    async def _wait_after_start(self) -> chain.ChainPath | None:
        """Return a path for a stream whose answer has started.

        Waits for capacity and for layers that are being loaded, but not for
        layers that the remaining engines cannot hold.
        """
        until = min(
            anyio.current_time() + STARTED_WAIT_SECONDS, self._deadline
        )
        while (path := self._plan()) is None:
            # Asked each time, as layers may be found missing meanwhile.
            gap = self._gap()
            if gap is not None and not gap.can_be_closed:
                until = min(until, gap.since + UNHELD_WAIT_SECONDS)
            if anyio.current_time() >= until:
                return None
            await anyio.sleep(POLL_SECONDS)
        return path

    async def _wait_in_queue(
        self, wait_queue: waiting.WaitQueue
    ) -> chain.ChainPath | None:
        """Return a path once it is this request's turn and there is one.

        Does not wait if the turn is not expected in time.
        """
        now = anyio.current_time()
        until = self._bounded_by_gap(self._arrived + QUEUE_WAIT_SECONDS)
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

    def _bounded_by_gap(self, until: float) -> float:
        """Return until when to wait, less if layers are missing for longer."""
        gap = self._gap()
        if gap is not None and not gap.closes_by(until):
            until = gap.since + UNHELD_WAIT_SECONDS
        return min(until, self._deadline)

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
        first_engine_seconds = self._context.seconds_until_any_accepts(
            first_engines, self._count_ahead()
        )
        return max(first_engine_seconds, self._seconds_until_backoffs_end())

    def _count_ahead(self) -> int:
        """Return how many of the waiting are served before this request."""
        if self._claim is None:
            return len(self._context.wait_queue(self._service))
        queue = self._context.ranked_parts().queue(self._service)
        return queue.count_ahead(self._claim)

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

    def _note_unavailable(self) -> None:
        self._unavailable_at_start = (
            self._context.backpressure.unavailable_addresses(self._service)
        )

    def unavailable_addresses(self) -> str:
        """Return addresses of engines that backpressure excludes.

        If there are none now, returns those excluded when the wait began.
        """
        now = self._context.backpressure.unavailable_addresses(self._service)
        return now or self._unavailable_at_start

    def refusal_error(self) -> errors.CrowdeckError:
        """Record that a stream found no path, and return the error."""
        rng = self._context.rng
        delay = self.record_refusal()
        if self._stream.urgency.is_ranked:
            queue = self._context.ranked_parts().queue(self._service)
            queue.note_refused(self._stream.urgency.rank)
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
        if self._is_displaced:
            return _no_path_error(DISPLACED, delay)
        return _no_path_error("no path through the model has capacity", delay)

    def record_refusal(self) -> float:
        """Record a refusal and return the seconds after which to retry."""
        advisor = self._context.retry_advisor
        if not self._stream.urgency.is_ranked:
            return advisor.record_refusal()
        return advisor.record_ranked_refusal(
            self._service,
            self._stream.urgency.rank,
            self._count_ahead() + self._waiting_elsewhere(),
            self._deadline - anyio.current_time(),
        )

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
        urgency = self._stream.urgency
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
            rank=urgency.rank if urgency.is_ranked else None,
            team=self._stream.team,
            displaced=self._is_displaced,
        )

    def _plan(self) -> chain.ChainPath | None:
        held_back = self._context.held_back() - self._excluded
        path = None
        if held_back:
            path = self._plan_without(self._excluded | held_back)
        if path is None:
            path = self._plan_without(self._excluded)
        if path is None and self._excluded:
            # Engines that failed or refused may serve the next attempt.
            self._excluded.clear()
        if path is not None:
            # Counted at once, so that other tasks do not exceed the limit.
            self._context.limits.take(path.head)
        return path

    def _plan_without(self, excluded: set[str]) -> chain.ChainPath | None:
        registry = self._context.registry
        path_request = self._path_request()
        excluded = excluded | self._kept_heads()
        usable = [
            engine
            for engine in registry.usable(self._service)
            if engine.name not in excluded
        ]
        path = self._plan_over(usable, path_request)
        # Use leaving engines if the others leave no path, or only one through
        # another zone.
        if path is None or path.zone_crossings:
            leaving = [
                engine
                for engine in registry.usable_while_leaving(self._service)
                if engine.name not in excluded
            ]
            if leaving:
                path = self._plan_over(usable + leaving, path_request)
        return path

    def _path_request(self) -> hops.PathRequest:
        stream = self._stream
        path_request = hops.PathRequest(
            stream.profile,
            stream.tokens,
            self._context.zone,
            stream.objective_seconds,
            self._context.limits.allows,
        )
        has_bounds = stream.urgency.is_ranked and not (
            stream.has_events or stream.may_have_run
        )
        if not has_bounds:
            return path_request
        limits = self._context.ranked_parts().admission.limits(
            self._service, stream.urgency, stream.objective_seconds
        )
        return attrs.evolve(
            path_request,
            max_cache_utilization=limits.max_cache_utilization,
            max_first_event_seconds=limits.max_first_event_seconds,
            accepts_late_head=limits.accepts_late_head,
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
