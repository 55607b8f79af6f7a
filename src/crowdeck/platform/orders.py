# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Placement orders, as the placement duty gives them."""

from crowdeck import chain
from crowdeck import errors
from crowdeck.placement import plan
from crowdeck.platform import engines
from crowdeck import verdict as verdicts


class PlacementOrderClient:
    """Implements ``placement.controller.OrderClient`` by calls to engines."""

    def __init__(self, client: engines.UpstreamClient) -> None:
        self._client = client

    async def report(self, upstream: chain.Upstream) -> chain.EngineReport:
        """Return what an engine says of itself."""
        return await self._client.report(upstream)

    async def place(
        self, move: plan.Move, expected_orders: int, fencing_token: int
    ) -> bool:
        """Give an order; false when the engine refused it.

        :raises CrowdeckError: when it may have been taken, or may yet be.
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
                "an order got no answer",
                verdict=verdicts.Verdict.MAY_HAVE_RUN,
                culprit=move.upstream.name,
            )
        return outcome in (
            engines.OrderOutcome.BEGUN,
            engines.OrderOutcome.HOLDS,
        )
