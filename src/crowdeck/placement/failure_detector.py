# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Detects lost engines by probing them."""

import collections
import typing

import anyio

from crowdeck import chain
from crowdeck import errors
from crowdeck.membership import upstreams as registries
from crowdeck.observe import counters
from crowdeck.observe import logs
from crowdeck import route as routes

# An engine that failed a request counts as lost after this many failed probes,
# one in each check. One is not enough, because engines that take over its
# layers serve no requests while they load them.
FAILURE_THRESHOLD_PROBES = 2
# Number of checks that probe all engines after one was lost. Engines often
# fail together, for example with a rack or a switch, and probes find the
# others before their requests fail. Without sweeps, the rest would be found
# three seconds later, when their records are removed.
SWEEPS_AFTER_LOSS = 2
# More probes at once could time out because this process is too busy to handle
# their answers.
MAX_CONCURRENT_PROBES = 32
# If more than this share of the probed engines does not answer, the network of
# this process is assumed to be the cause, and the sweep is ignored. Engines
# that are lost are then found when their records in the store are removed.
MAX_SILENT_SHARE = 0.5


class ReportClient(typing.Protocol):
    """Fetches reports from engines."""

    async def report(self, upstream: chain.Upstream) -> chain.EngineReport:
        """Return an engine's report.

        :raises CrowdeckError: if there is none.
        """
        ...


class FailureDetector:
    """Probes engines that failed a request, and all engines after a loss."""

    def __init__(
        self,
        registry: registries.UpstreamRegistry,
        client: ReportClient,
        services: typing.Callable[[], tuple[routes.Service, ...]],
    ) -> None:
        self._registry = registry
        self._client = client
        self._services = services
        self._failed_probes: collections.Counter[str] = collections.Counter()
        self._sweeps_left = 0

    async def check(self) -> None:
        """Probe the engines that may be lost."""
        await self._probe_failed()
        await self._sweep()

    def is_lost(self, name: str) -> bool:
        """Whether an engine failed enough probes to count as lost."""
        return self._failed_probes[name] >= FAILURE_THRESHOLD_PROBES

    async def _probe_failed(self) -> None:
        """Probe the engines that failed a request.

        Plain services have no card and are not probed.
        """
        failed = self._registry.failed()
        for name in set(self._failed_probes) - {
            engine.name for engine in failed
        }:
            del self._failed_probes[name]
        probed = [
            engine
            for engine in failed
            if engine.card
            and not self._registry.backoff_seconds_left(engine.name)
        ]
        await _probe_each(self._probe, probed)

    async def _sweep(self) -> None:
        """Probe all engines after one was lost.

        Plain services have no card and are not probed.
        """
        if not self._sweeps_left:
            return
        self._sweeps_left -= 1
        failed = {engine.name for engine in self._registry.failed()}
        probed = [
            engine
            for service in self._services()
            for engine in self._registry.listed(service.name)
            if engine.card
            and engine.name not in failed
            and not self._registry.backoff_seconds_left(engine.name)
        ]
        silent: list[chain.Upstream] = []

        async def probe(upstream: chain.Upstream) -> None:
            try:
                await self._client.report(upstream)
            except errors.CrowdeckError as error:
                counters.COUNTERS.add("placement.sweep.silent")
                logs.change(
                    "engine_silent",
                    upstream=upstream.name,
                    address=str(upstream.address),
                    reason=error.message,
                )
                silent.append(upstream)

        await _probe_each(probe, probed)
        if len(silent) > MAX_SILENT_SHARE * len(probed):
            logs.change("sweep_ignored", asked=len(probed), silent=len(silent))
            return
        for engine in silent:
            # Another probe has to fail before layers are moved.
            self._failed_probes[engine.name] += 1
            self._registry.avoid(engine.name, "no report during a sweep")

    async def _probe(self, upstream: chain.Upstream) -> None:
        try:
            await self._client.report(upstream)
        except errors.CrowdeckError as error:
            self._failed_probes[upstream.name] += 1
            if self._failed_probes[upstream.name] == FAILURE_THRESHOLD_PROBES:
                logs.change(
                    "engine_lost",
                    upstream=upstream.name,
                    address=str(upstream.address),
                    reason=error.message,
                )
                self._sweeps_left = SWEEPS_AFTER_LOSS
            return
        self._registry.note_healthy(upstream.name)


async def _probe_each(
    probe: typing.Callable[[chain.Upstream], typing.Awaitable[None]],
    engines: typing.Iterable[chain.Upstream],
) -> None:
    """Run a probe for each engine, a bounded number at a time."""
    limiter = anyio.CapacityLimiter(MAX_CONCURRENT_PROBES)

    async def probe_limited(upstream: chain.Upstream) -> None:
        async with limiter:
            await probe(upstream)

    async with anyio.create_task_group() as tasks:
        for engine in engines:
            tasks.start_soon(probe_limited, engine)
