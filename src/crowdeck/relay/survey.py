# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Surveys the load of engines when an entry starts."""

import anyio

from crowdeck import chain
from crowdeck import errors
from crowdeck.observe import counters
from crowdeck.observe import logs
from crowdeck.relay import context as contexts
from crowdeck.relay import probes
from crowdeck import route as routes

# How often, and how many times, to check whether engines are listed.
POLL_SECONDS = 0.02
MAX_POLLS = 100
# Maximum number of reports requested at the same time.
MAX_CONCURRENT = 32
# Maximum number of engines to survey, those of the entry's own availability
# zone first. More requests would delay the start of a small entry. Each report
# takes 1.5 ms of a full core: with 130, an entry with 0.4 of a core would
# serve nobody for half a second. Nearly all paths stay in the own zone.
MAX_ENGINES = 40


class Survey:
    """Asks engines once how much cache other entries' streams use.

    When all entries fail at once, engines keep serving the old entries'
    streams until they notice the closed connections. Without the survey, new
    entries would treat full engines as empty in that time, which is two
    seconds and more, and engines would refuse 54 of the first 100 streams.
    """

    def __init__(self, context: contexts.RelayContext) -> None:
        self._context = context

    async def run(self, services: tuple[routes.Service, ...]) -> None:
        """Survey the engines of ``services`` that hold layers."""
        engines = await self._find_engines(services)
        limiter = anyio.CapacityLimiter(MAX_CONCURRENT)
        async with anyio.create_task_group() as tasks:
            for engine in engines:
                tasks.start_soon(self._request_report, engine, limiter)
        logs.change("surveyed", engines=len(engines))

    def _nearest(self, engines: list[chain.Upstream]) -> list[chain.Upstream]:
        zone = self._context.zone
        engines.sort(key=lambda engine: engine.availability_zone != zone)
        return engines[:MAX_ENGINES]

    async def _find_engines(
        self, services: tuple[routes.Service, ...]
    ) -> list[chain.Upstream]:
        for _ in range(MAX_POLLS):
            found = [
                engine
                for service in services
                for engine in self._context.registry.listed(service.name)
            ]
            if found:
                return self._nearest(
                    [engine for engine in found if engine.layers is not None]
                )
            await anyio.sleep(POLL_SECONDS)
        return []

    async def _request_report(
        self, upstream: chain.Upstream, limiter: anyio.CapacityLimiter
    ) -> None:
        async with limiter:
            try:
                report = await probes.request_report(
                    self._context.client, upstream
                )
            except errors.CrowdeckError as error:
                counters.COUNTERS.add("relay.survey.silent")
                logs.change(
                    "engine_silent",
                    upstream=upstream.name,
                    address=str(upstream.address),
                    reason=error.message,
                )
                return
        self._context.usage.note_existing_load(upstream, report.cache_used)
