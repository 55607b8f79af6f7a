# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Transfers KV caches from a leaving stage to the one that replaces it.

The leaving stage pauses between two positions, so the exported KV cache holds
exactly the positions it has run. The entry then opens a warm attempt, in
which no layer runs again for any token.
"""

from crowdeck import errors
from crowdeck.membership import links as links_module
from crowdeck.observe import counters
from crowdeck import pipeline
from crowdeck.sidecar import attempt as attempts
from crowdeck.sidecar import stage as stages
from crowdeck import upstream
from crowdeck.wire import questions

IMPORT_TIMEOUT_SECONDS = 5.0


class KvTransfers:
    """Exports and imports the KV caches of one stage's engine."""

    def __init__(
        self,
        stage: stages.Stage,
        engine: upstream.Engine,
        links: links_module.Links,
    ) -> None:
        self._stage = stage
        self._engine = engine
        self._links = links

    async def move_out(
        self, question: questions.MoveOut
    ) -> questions.MovedOut:
        """Send a request's KV cache to the stage that replaces this one.

        :raises CrowdeckError: if it could not be sent; the next attempt then
            has to prefill the whole context.
        """
        attempt = self._stage.registry.find(question.request)
        if attempt is None or attempt.epoch != question.epoch:
            raise errors.CrowdeckError(
                errors.Code.CACHE_GONE,
                f"attempt {question.epoch} is not at this sidecar; the next "
                f"attempt has to prefill the whole context",
            )
        attempt.is_moved = True
        await self._stage.wait_until_idle(question.request)
        self._require_paused(attempt)
        kv = await self._engine.export_kv(attempt.sequence)
        moved = questions.MovedOut(
            position=attempt.next_position, context=attempt.context
        )
        await self._send(question.target, attempt, kv)
        counters.COUNTERS.add("stage.moved_out")
        return moved

    def _require_paused(self, attempt: attempts.Attempt) -> None:
        if attempt.is_in_engine or not attempt.is_running:
            raise errors.CrowdeckError(
                errors.Code.STALLED,
                f"the KV cache is not moved: expected a paused attempt (is "
                f"running: {attempt.is_running}, has a step in the engine: "
                f"{attempt.is_in_engine})",
            )

    async def _send(
        self, target: pipeline.StageRef, attempt: attempts.Attempt, kv: bytes
    ) -> None:
        peer = await self._links.get(target.instance)
        reply = await peer.ask(
            questions.ImportKv(
                request=attempt.request,
                team=attempt.opening.team,
                context=attempt.context,
                kv=kv,
            ),
            IMPORT_TIMEOUT_SECONDS,
        )
        if isinstance(reply, questions.Refused):
            raise reply.as_error()

    async def import_kv(self, question: questions.ImportKv) -> questions.Done:
        """Import a KV cache for the warm opening that follows."""
        sequence = f"{question.request}.import"
        await self._engine.import_kv(sequence, question.kv)
        self._stage.registry.add_import(question, sequence)
        counters.COUNTERS.add("stage.moved_in")
        return questions.Done()
