# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""What a starting entry asks of engines before it sends them anything."""

import anyio

from crowdeck import chain
from crowdeck import errors
from crowdeck.observe import counters
from crowdeck.observe import logs
from crowdeck.relay import context as contexts
from crowdeck import route as routes

# How often a starting entry looks whether engines are listed, and for how
# long: they are within some tenths of a second after its config.
POLL_SECONDS = 0.02
MAX_POLLS = 100
# Questions under way at once: a round of them takes about 3 ms.
MAX_CONCURRENT = 32
# Questions in all, those to the own availability zone first: nearly all
# paths stay there. Asking is worth 0.03 of a day with 38 engines, all of
# them asked. Each question takes 1.5 ms of a full core; with 130, an entry
# with 0.4 of one served nobody for half a second when callers came back.
MAX_QUESTIONS = 40


class Survey:
    """Asks engines, once, what they hold for other entries' streams.

    When all entries lose power at once, engines go on with the streams of
    the dead until they notice, two seconds and more. Entries that start
    then know of none of it: they took full engines for empty, and engines
    refused 54 of the first 100 streams that callers brought back.
    """

    def __init__(self, context: contexts.RelayContext) -> None:
        self._context = context

    async def run(self, services: tuple[routes.Service, ...]) -> None:
        """Ask the engines of ``services`` that hold layers."""
        engines = await self._find_engines(services)
        limiter = anyio.CapacityLimiter(MAX_CONCURRENT)
        async with anyio.create_task_group() as tasks:
            for one in engines:
                tasks.start_soon(self._ask, one, limiter)
        logs.change("surveyed", engines=len(engines))

    def _nearest(self, engines: list[chain.Upstream]) -> list[chain.Upstream]:
        zone = self._context.zone
        engines.sort(key=lambda one: one.availability_zone != zone)
        return engines[:MAX_QUESTIONS]

    async def _find_engines(
        self, services: tuple[routes.Service, ...]
    ) -> list[chain.Upstream]:
        for _ in range(MAX_POLLS):
            found = [
                one
                for service in services
                for one in self._context.registry.listed(service.name)
            ]
            if found:
                return self._nearest(
                    [one for one in found if one.layers is not None]
                )
            await anyio.sleep(POLL_SECONDS)
        return []

    async def _ask(
        self, upstream: chain.Upstream, limiter: anyio.CapacityLimiter
    ) -> None:
        async with limiter:
            try:
                report = await self._context.client.report(upstream)
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
