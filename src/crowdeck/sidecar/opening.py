# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Begins attempts at one stage.

A cold opening prefills the whole context. A warm one continues with a KV
cache that the previous attempt left here or another stage has sent.
"""

from crowdeck import errors
from crowdeck.observe import counters
from crowdeck.observe import traces
from crowdeck import pipeline
from crowdeck.sidecar import attempt as attempts
from crowdeck.sidecar import attempt_registry
from crowdeck.sidecar import gate as gates
from crowdeck import timers
from crowdeck import upstream
from crowdeck.wire import link
from crowdeck.wire import messages


class AttemptOpener:
    """Begins the attempts of one sidecar."""

    def __init__(
        self,
        instance: str,
        gate: gates.Gate,
        registry: attempt_registry.AttemptRegistry,
        clock: timers.Clock,
        tracer: traces.Tracer,
    ) -> None:
        self._instance = instance
        self._gate = gate
        self._registry = registry
        self._clock = clock
        self._tracer = tracer

    def begin(
        self, peer: link.Peer, opening: messages.Opening
    ) -> attempts.Attempt:
        """Admit an attempt and register it in place of an earlier one.

        :raises CrowdeckError: with the gate's verdict when refused.
        """
        index = self._own_index(opening.path)
        is_warm = opening.warm_position >= 0
        earlier = self._registry.find(opening.request)
        warm_sequence = ""
        if earlier is not None and earlier.opening.team != opening.team:
            raise errors.CrowdeckError(
                errors.Code.FORBIDDEN, "this request belongs to another team"
            )
        if is_warm:
            warm_sequence = self._find_warm_sequence(earlier, opening)
        self._gate.admit(
            opening.request, opening.epoch, is_new_work=not is_warm
        )
        attempt = self._make_attempt(peer, opening, index)
        if earlier is not None:
            self._replace(earlier, opening, keeps_kv=is_warm)
        if is_warm:
            attempt.sequence = warm_sequence
            attempt.context = opening.warm_context
        attempt.is_in_engine = True
        self._registry.put(attempt)
        counters.COUNTERS.add("stage.opened")
        return attempt

    def _replace(
        self,
        earlier: attempts.Attempt,
        opening: messages.Opening,
        keeps_kv: bool,
    ) -> None:
        """End an earlier attempt, and cancel it at its next stage.

        A next stage that is on the new path too receives the new opening
        instead: a ``Cancel`` could drop the KV cache that a warm one needs.
        """
        new_path_instances = {stage.instance for stage in opening.path.stages}
        forward = earlier.forward
        if (
            forward is not None
            and forward.greeting.instance not in new_path_instances
        ):
            self._registry.send_to_next(
                earlier, messages.Cancel(earlier.request, earlier.epoch)
            )
        if keeps_kv:
            earlier.span.end("moved")
        else:
            self._registry.drop(earlier, "replaced")

    def _make_attempt(
        self, peer: link.Peer, opening: messages.Opening, index: int
    ) -> attempts.Attempt:
        now = self._clock.now()
        return attempts.Attempt(
            opening=opening,
            index=index,
            sequence=f"{opening.request}.{opening.epoch}",
            source=peer,
            deadline=now + opening.seconds_left,
            span=self._tracer.begin(
                "stage",
                opening.traceparent,
                {
                    "request": opening.request,
                    "epoch": opening.epoch,
                    "stage": index,
                },
            ),
            touched_at=now,
            next_position=len(opening.delivered),
            pieces=list(opening.delivered),
        )

    def _own_index(self, path: pipeline.Path) -> int:
        try:
            return path.index_of(self._instance, self._gate.incarnation)
        except LookupError:
            raise errors.CrowdeckError(
                errors.Code.WRONG_INCARNATION,
                f"the path does not contain this incarnation of "
                f"{self._instance}",
                culprit=self._instance,
            ) from None

    def _find_warm_sequence(
        self, earlier: attempts.Attempt | None, opening: messages.Opening
    ) -> str:
        """Return the engine sequence that a warm opening continues."""
        pending_import = self._registry.find_import(opening.request)
        if pending_import is not None and pending_import.team == opening.team:
            if pending_import.context == opening.warm_context:
                return pending_import.sequence
        has_usable_cache = (
            earlier is not None
            and not earlier.is_in_engine
            and earlier.context >= opening.warm_context
            and earlier.opening.team == opening.team
        )
        if earlier is None or not has_usable_cache:
            raise errors.CrowdeckError(
                errors.Code.CACHE_GONE,
                f"{self._instance} has no idle KV cache of at least "
                f"{opening.warm_context} tokens for this request",
                culprit=self._instance,
            )
        return earlier.sequence


def first_step(attempt: attempts.Attempt) -> upstream.EngineStep:
    """Return the first engine step of an attempt at its head."""
    opening = attempt.opening
    tokens = tuple(piece.token for piece in opening.delivered)
    if opening.warm_position >= 0:
        return upstream.EngineStep(
            sequence=attempt.sequence,
            context=opening.warm_context,
            tokens=tokens[-1:],
        )
    return upstream.EngineStep(
        sequence=attempt.sequence,
        context=0,
        prompt=opening.prompt,
        tokens=tokens,
    )
