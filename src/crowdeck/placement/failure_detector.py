# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Which engines are lost, found out by asking them."""

import collections
import typing

import anyio

from crowdeck import chain
from crowdeck import errors
from crowdeck.membership import upstreams as registries
from crowdeck.observe import counters
from crowdeck.observe import logs
from crowdeck import route as routes

# An engine that failed a request is gone for the plan only after so many
# questions, one at each look, went unanswered too: moving layers costs
# loads, and takes engines out of paths that were well.
FAILURE_THRESHOLD_PROBES = 2
# An engine that is lost is seldom the only one: a rack, a switch. All are
# asked then, so often, instead of each being found by the requests that it
# fails: thirteen of 39 that died together were known three seconds later,
# when their entries went.
SWEEPS = 2
# Questions under way at once: a thousand at once would all go unanswered, for
# want of our own time.
QUESTIONS_AT_ONCE = 32
# Where more than this share of the fleet says nothing the fault is taken
# for ours: the entries tell, in time, who is gone.
SWEEP_MOST_SHARE = 0.5


class Reporter(typing.Protocol):
    """Reaches engines with questions."""

    async def report(self, upstream: chain.Upstream) -> chain.EngineReport:
        """Return what an engine says of itself.

        :raises CrowdeckError: when it cannot be had.
        """
        ...


class FailureDetector:
    """Asks engines that failed whether they live; all, once one does not."""

    def __init__(
        self,
        registry: registries.UpstreamRegistry,
        engines: Reporter,
        services: typing.Callable[[], tuple[routes.Service, ...]],
    ) -> None:
        self._registry = registry
        self._engines = engines
        self._services = services
        self._unanswered: collections.Counter[str] = collections.Counter()
        self._sweeps_left = 0

    async def look(self) -> None:
        """Ask whom there is reason to ask."""
        await self._question_avoided()
        await self._sweep()

    def is_lost(self, name: str) -> bool:
        """Whether an engine left enough questions unanswered."""
        return self._unanswered[name] >= FAILURE_THRESHOLD_PROBES

    async def _question_avoided(self) -> None:
        """Ask the engines that failed a request whether they live."""
        avoided = self._registry.avoided()
        for name in set(self._unanswered) - {one.name for one in avoided}:
            del self._unanswered[name]
        asked = [
            one
            for one in avoided
            if one.card and not self._registry.backoff_seconds_left(one.name)
        ]
        await _each(self._question, asked)

    async def _sweep(self) -> None:
        """Ask all engines, after one was lost."""
        if not self._sweeps_left:
            return
        self._sweeps_left -= 1
        avoided = {one.name for one in self._registry.avoided()}
        asked = [
            one
            for service in self._services()
            for one in self._registry.listed(service.name)
            if one.card
            and one.name not in avoided
            and not self._registry.backoff_seconds_left(one.name)
        ]
        silent: list[chain.Upstream] = []

        async def ask(upstream: chain.Upstream) -> None:
            try:
                await self._engines.report(upstream)
            except errors.CrowdeckError as error:
                counters.COUNTERS.add("placement.sweep.silent")
                logs.change(
                    "engine_silent",
                    upstream=upstream.name,
                    address=str(upstream.address),
                    reason=error.message,
                )
                silent.append(upstream)

        await _each(ask, asked)
        if len(silent) > SWEEP_MOST_SHARE * len(asked):
            logs.change("sweep_ignored", asked=len(asked), silent=len(silent))
            return
        for one in silent:
            # They are asked once more before anything is moved.
            self._unanswered[one.name] += 1
            self._registry.avoid(one.name, "no report when all were asked")

    async def _question(self, upstream: chain.Upstream) -> None:
        try:
            await self._engines.report(upstream)
        except errors.CrowdeckError as error:
            self._unanswered[upstream.name] += 1
            if self._unanswered[upstream.name] == FAILURE_THRESHOLD_PROBES:
                logs.change(
                    "engine_lost",
                    upstream=upstream.name,
                    address=str(upstream.address),
                    reason=error.message,
                )
                self._sweeps_left = SWEEPS
            return
        self._registry.note_healthy(upstream.name)


async def _each(
    ask: typing.Callable[[chain.Upstream], typing.Awaitable[None]],
    engines: typing.Iterable[chain.Upstream],
) -> None:
    """Ask all of some engines, a few at a time."""
    limiter = anyio.CapacityLimiter(QUESTIONS_AT_ONCE)

    async def ask_within(upstream: chain.Upstream) -> None:
        async with limiter:
            await ask(upstream)

    async with anyio.create_task_group() as tasks:
        for one in engines:
            tasks.start_soon(ask_within, one)
