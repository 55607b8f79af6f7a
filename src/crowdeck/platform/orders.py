# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Sends the placement controller's orders to engines."""

from crowdeck import chain
from crowdeck import errors
from crowdeck.placement import plan
from crowdeck.platform import engines
from crowdeck.relay import probes
from crowdeck import verdict as verdicts


class PlacementOrderClient:
    """Implements ``placement.controller.OrderClient`` by calls to engines."""

    def __init__(self, client: engines.UpstreamClient) -> None:
        self._client = client

    async def report(self, upstream: chain.Upstream) -> chain.EngineReport:
        """Return an engine's report."""
        return await probes.request_report(self._client, upstream)

    async def place(
        self, move: plan.Move, expected_orders: int, fencing_token: int
    ) -> bool:
        """Send an order and return whether the engine accepted it.

        :raises CrowdeckError: if the outcome is unknown.
        """
        outcome = await self._client.place(
            move.upstream,
            move.layers,
            expected_orders,
            fencing_token,
            stops_streams=move.is_urgent,
        )
        if outcome is engines.OrderOutcome.UNKNOWN:
            raise errors.CrowdeckError(
                errors.Code.UPSTREAM_LOST,
                "no valid reply to the order; the engine may have accepted it",
                verdict=verdicts.Verdict.MAY_HAVE_RUN,
                culprit=move.upstream.name,
            )
        return outcome in (
            engines.OrderOutcome.BEGUN,
            engines.OrderOutcome.HOLDS,
        )
