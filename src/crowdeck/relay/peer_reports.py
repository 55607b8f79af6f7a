# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Verifies what other entries tell of lost engines."""

import typing

import anyio
import anyio.abc

from crowdeck import chain
from crowdeck.observe import counters
from crowdeck.observe import logs
from crowdeck.relay import context as contexts
from crowdeck.relay import probes
from crowdeck.relay import stalls
from crowdeck.routing import peer_findings

# Time between two looks at what is told; half an interval of the exchange.
CHECK_SECONDS = 0.05


class PeerReports:
    """Asks engines that other entries found lost and this one still uses.

    New paths do not pass them before they have been asked, for a short time
    and if there is another path.
    """

    def __init__(
        self, context: contexts.RelayContext, monitor: stalls.StallMonitor
    ) -> None:
        self._context = context
        self._monitor = monitor
        self._findings = peer_findings.PeerFindings()

    async def run(self) -> None:
        """Verify what is told until cancelled."""
        self._context.held_back = self._held_back
        async with anyio.create_task_group() as tasks:
            while True:
                self._verify_reported(tasks)
                await anyio.sleep(CHECK_SECONDS)

    def _held_back(self) -> frozenset[str]:
        return self._findings.held_back(anyio.current_time())

    def _verify_reported(self, tasks: anyio.abc.TaskGroup) -> None:
        finders = self._context.fleet_load.others.lost_engines
        for service, engines in self._reported_by_service(finders).items():
            names = [
                engine.name
                for engine in self._context.registry.usable(service)
            ]
            reported = {name: finders[name] for name in engines}
            now = anyio.current_time()
            for name in self._findings.hold(reported, names, now):
                tasks.start_soon(self._verify, engines[name], finders[name])

    def _reported_by_service(
        self, names: typing.Iterable[str]
    ) -> dict[str, dict[str, chain.Upstream]]:
        registry = self._context.registry
        engines: dict[str, dict[str, chain.Upstream]] = {}
        for name in names:
            engine = registry.find(name)
            # Plain services are not probed.
            if engine is not None and engine.card and registry.is_usable(name):
                engines.setdefault(engine.service, {})[name] = engine
        return engines

    async def _verify(self, engine: chain.Upstream, finders: int) -> None:
        began_at = anyio.current_time()
        verdict = await self._monitor.verify_report(engine)
        # An engine of which nothing is known stays held back for its time.
        if verdict is not probes.Verdict.UNSURE:
            self._findings.release(engine.name)
        counters.COUNTERS.add(f"load.reported_lost.{verdict}")
        logs.change(
            "upstream_reported_lost",
            upstream=engine.name,
            address=str(engine.address),
            entries=finders,
            found=str(verdict),
            seconds=round(anyio.current_time() - began_at, 3),
        )
