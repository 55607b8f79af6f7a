# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Finding a path for one stream, now or after a wait for room."""

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

# Without a path a new request waits for streams to end and leave room.
# Callers give up what shows nothing for two seconds; with what is left of
# them after this, a sound engine begins even while it is crowded.
QUEUE_WAIT_SECONDS = 1.2
# Where a layer is held by no engine that is listed, waiting does not help
# within that time: loading takes longer. A watch may lag by so much after
# the layer was first missed.
UNHELD_WAIT_SECONDS = 0.1
# A stream that has begun waits longer: its caller gives up only after a
# silence of two seconds or more.
STARTED_WAIT_SECONDS = 1.6
POLL_SECONDS = 0.02
# In a line each look is in vain but one, and a look in vain at a full fleet
# of 38 engines takes 30 ms of a small entry's time: every 20 ms it left no
# time for the streams under way.
QUEUE_POLL_SECONDS = 0.08
ALL_UNAVAILABLE = "all engines of some layers are at their limits or want rest"


class PathSearch:
    """Looks for paths for one stream, whatever became of earlier ones.

    :param deadline: the loop's time after which no path is of use.
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
        self._held_back_at_start = ""

    def exclude(self, name: str) -> None:
        """Use an engine no more, unless there is no path without it."""
        self._excluded.add(name)

    async def find(self, *, has_started: bool) -> chain.ChainPath | None:
        """Return a path, or ``None`` where none can be had in time.

        :param has_begun: whether the caller has a part of the answer; such
            streams pass by the line, and wait longer.
        """
        wait_queue = self._context.wait_queue(self._service)
        path = None
        if has_started:
            path = await self._wait_as_started()
        elif self._must_queue(wait_queue) or (path := self._plan()) is None:
            self._held_back_at_start = self._context.backpressure.held_back(
                self._service
            )
            path = await self._wait_in_queue(wait_queue)
        if path is None:
            self._note_no_path()
        return path

    async def _wait_as_started(self) -> chain.ChainPath | None:
        """Return a path for a stream that has begun.

        Layers that are being loaded are waited for as room is. What cannot
        be held is not.
        """
        until = anyio.current_time() + STARTED_WAIT_SECONDS
        gap = self._gap()
        if gap is not None and not gap.can_be_held:
            until = gap.since + UNHELD_WAIT_SECONDS
        return await self._poll(until)

    async def _wait_in_queue(
        self, wait_queue: waiting.WaitQueue
    ) -> chain.ChainPath | None:
        """Return a path once it is this request's turn and there is one.

        Where the turn cannot be expected in time, nothing is waited for.
        """
        now = anyio.current_time()
        until = self._arrived + QUEUE_WAIT_SECONDS
        gap = self._gap()
        if gap is not None and not gap.closes_by(until):
            until = gap.since + UNHELD_WAIT_SECONDS
        until = min(until, self._deadline)
        expected = self._context.retry_advisor.seconds_until_capacity(
            len(wait_queue) + 1
        )
        expected = max(expected, self.seconds_until_accepted())
        if wait_queue.is_full or now + expected > until:
            return None
        async with wait_queue.turn(until) as is_first:
            if not is_first:
                return None
            return await self._poll(until, QUEUE_POLL_SECONDS)

    async def _poll(
        self, until: float, step: float = POLL_SECONDS
    ) -> chain.ChainPath | None:
        """Look for a path again and again."""
        until = min(until, self._deadline)
        while (path := self._plan()) is None:
            if anyio.current_time() >= until:
                return None
            await anyio.sleep(step)
        return path

    def seconds_until_accepted(self) -> float:
        """Return in how long engines take a request for a stream.

        By what they ask for themselves: 0 where they do now. While all first
        engines name limits or want rest, those in the line come first; and
        all layers have to be held by some that want none.
        """
        firsts = [
            one
            for one in self._context.registry.usable_after_backoff(
                self._service
            )
            if one.layers is not None and one.layers.first == 0
        ]
        ahead = len(self._context.wait_queue(self._service))
        until_first = self._context.seconds_until_any(firsts, ahead)
        return max(until_first, self._seconds_until_backoffs_end())

    def _seconds_until_backoffs_end(self) -> float:
        """Return in how long engines that want rest are there for a path.

        0 where there is one without them, or layers are missing all the
        same.
        """
        registry = self._context.registry
        if not registry.backing_off():
            return 0.0
        count = self._stream.profile.layer_count
        usable = chain.engines_within(registry.usable(self._service), count)
        missing = gaps.missing_layers(usable, count)
        soon = chain.engines_within(
            registry.usable_after_backoff(self._service), count
        )
        if not missing or gaps.missing_layers(soon, count):
            return 0.0
        soonest = [float("inf")] * count
        for one in soon:
            if one.layers is None or registry.is_usable(one.name):
                continue
            left = registry.backoff_seconds_left(one.name)
            for layer in range(one.layers.first, one.layers.end):
                soonest[layer] = min(soonest[layer], left)
        return max(
            soonest[layer]
            for run in missing
            for layer in range(run.first, run.end)
        )

    def _must_queue(self, wait_queue: waiting.WaitQueue) -> bool:
        """Whether others wait, for what will come."""
        return bool(len(wait_queue)) and self._gap() is None

    def held_back(self) -> str:
        """Return which engines are in need, or were when a wait began."""
        now = self._context.backpressure.held_back(self._service)
        return now or self._held_back_at_start

    def refusal(self) -> errors.CrowdeckError:
        """Return the refusal of a stream that found no path."""
        rng = self._context.rng
        delay = self._context.retry_advisor.estimate_delay()
        gap = self._gap()
        if gap is not None:
            counters.COUNTERS.add("relay.unheld")
            left = gap.seconds_left
            if left is not None:
                delay = left + rng.uniform(0.0, retry_advice.WINDOW_SECONDS)
            return _no_path(_describe_gap(gap), delay)
        seconds = self.seconds_until_accepted()
        if seconds:
            counters.COUNTERS.add("relay.limited")
            return _no_path(ALL_UNAVAILABLE, seconds + delay)
        return _no_path("no path through the model has room", delay)

    def _gap(self) -> gaps.LayerGap | None:
        """Return the layers that no engine holds which stays, if any."""
        return self._context.gaps.find_gap(self._service, self._stream.profile)

    def _note_no_path(self) -> None:
        registry = self._context.registry
        usable = registry.usable(self._service)
        count = self._stream.profile.layer_count
        held = chain.coverage(usable, count)
        missing = [layer for layer, copies in enumerate(held) if not copies]
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
            held_back=self.held_back(),
            ready_in=round(ready_in, 3) or None,
            tokens=int(self._stream.tokens),
            waited=round(anyio.current_time() - self._arrived, 3),
        )

    def _plan(self) -> chain.ChainPath | None:
        registry = self._context.registry
        wanted = hops.PathRequest(
            self._stream.profile,
            self._stream.tokens,
            self._context.zone,
            self._stream.objective,
            self._context.limits.allows,
        )
        usable = [
            one
            for one in registry.usable(self._service)
            if one.name not in self._excluded
        ]
        path = self._plan_over(usable, wanted)
        if path is None or path.crossings:
            last = [
                one
                for one in registry.usable_while_leaving(self._service)
                if one.name not in self._excluded
            ]
            if last:
                path = self._plan_over(usable + last, wanted)
        if path is None and self._excluded:
            # What refused a moment ago may serve by now.
            self._excluded.clear()
        if path is not None:
            # At once: whoever chooses next has to know.
            self._context.limits.take(path.head)
        return path

    def _plan_over(
        self, usable: list[chain.Upstream], wanted: hops.PathRequest
    ) -> chain.ChainPath | None:
        """Return the best path over this entry's engines, or over all."""
        chosen = self._context.subset.pick(usable)
        path = self._context.planner.plan(chosen, wanted)
        if path is None and len(chosen) < len(usable):
            path = self._context.planner.plan(usable, wanted)
        return path


def _describe_gap(gap: gaps.LayerGap) -> str:
    reason = f"no engine holds layers {gap}"
    if not gap.can_be_held:
        count = gap.profile.layer_count
        reason += f", and those left can hold {gap.layer_capacity} of {count}"
    return reason


def _no_path(reason: str, retry_after: float) -> errors.CrowdeckError:
    return errors.CrowdeckError(
        errors.Code.NO_PATH, reason, retry_after=retry_after
    )
