# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Idempotency keys of model requests.

A model's answer may be computed twice without harm, but a caller that
asks again with its key wants the answer it was being given. The claim
names the head and tail that keep it.
"""

import attrs

from crowdeck.entry import model_request as model_requests
from crowdeck import pipeline
from crowdeck.routing import planner as planners
from crowdeck.state import claims as claims_module


@attrs.frozen
class ClaimedAnswer:
    """What a key's claim says: begin on ``path``, or take up ``resume``.

    :ivar request: id under which the answer is kept.
    :ivar nonce: mark of the claim that stands.
    """

    request: str
    nonce: str
    path: pipeline.Path | None = None
    resume: model_requests.ResumePoint | None = None


class AnswerKeys:
    """Claims the keys of model requests for one entry."""

    def __init__(
        self,
        claims: claims_module.ClaimsLedger,
        planner: planners.Planner,
        wall_clock: claims_module.WallClock,
    ) -> None:
        self._claims = claims
        self._planner = planner
        self._wall_clock = wall_clock

    async def claim(
        self, wanted: model_requests.ModelRequest, key: str, replaces: str = ""
    ) -> ClaimedAnswer:
        """Claim a key, or find who holds it.

        :param replaces: nonce of a claim whose answer is gone.
        :raises CrowdeckError: when the store is down or no path exists.
        """
        path = self._planner.choose(
            wanted.model, adapter=wanted.adapter, gap_limit=wanted.gap_limit
        )
        keepers = (path.head, path.tail)
        own = claims_module.Claim(
            key=claims_module.digest_key(wanted.team, wanted.model, key),
            fingerprint="",
            request=wanted.request,
            nonce=claims_module.new_nonce(),
            sidecars=tuple(stage.instance for stage in keepers),
            incarnations=tuple(stage.incarnation for stage in keepers),
            expires=self._wall_clock() + claims_module.EXPIRE_SECONDS,
        )
        holder = await self._claims.claim(own, replaces)
        if holder.nonce == own.nonce:
            return ClaimedAnswer(own.request, own.nonce, path=path)
        head, tail = holder.sidecars
        return ClaimedAnswer(
            holder.request,
            holder.nonce,
            resume=model_requests.ResumePoint(
                position=0, head=head, tail=tail
            ),
        )
