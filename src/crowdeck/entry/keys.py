# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Idempotency keys of model requests.

A model's answer may be computed twice, but a caller that repeats a request
with its key is to receive the answer that was already begun. The claim names
the head and the tail that keep that answer.
"""

import attrs

from crowdeck.entry import model_request as model_requests
from crowdeck import pipeline
from crowdeck.routing import planner as planners
from crowdeck.state import claims as claims_module


@attrs.frozen
class ClaimedAnswer:
    """The result of a claim: begin on ``path``, or resume at ``resume``.

    :ivar request: id under which the answer is kept.
    :ivar nonce: nonce of the claim that holds the key.
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
        self,
        model_request: model_requests.ModelRequest,
        key: str,
        replaces: str = "",
    ) -> ClaimedAnswer:
        """Claim a key; return where to begin or resume its answer.

        :param replaces: nonce of a claim whose answer is no longer kept.
        :raises CrowdeckError: if the store is down or there is no path.
        """
        path = self._planner.choose(
            model_request.model,
            adapter=model_request.adapter,
            gap_limit_seconds=model_request.gap_limit_seconds,
        )
        stages = (path.head, path.tail)
        own = claims_module.Claim(
            key=claims_module.digest_key(
                model_request.team, model_request.model, key
            ),
            fingerprint="",
            request=model_request.request,
            nonce=claims_module.new_nonce(),
            sidecars=tuple(stage.instance for stage in stages),
            incarnations=tuple(stage.incarnation for stage in stages),
            expires=self._wall_clock() + claims_module.CLAIM_TTL_SECONDS,
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
