# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Waits for an answer's next record, and probes a path that is silent."""

import anyio

from crowdeck.entry import answers
from crowdeck import errors
from crowdeck.membership import fleet as fleets
from crowdeck import pipeline
from crowdeck import timers
from crowdeck import verdict as verdicts

# Silence after which a path's stages are probed: a fixed time or a number of
# average token gaps, whichever is longer, up to a maximum. A loaded system has
# longer gaps, and is not to be flooded with probes. With the fixed time alone
# it would get a thousand probes in half a minute, and live sidecars would
# count as lost.
PROBE_AFTER_SECONDS = 0.4
PROBE_AFTER_GAPS = 5.0
MAX_PROBE_AFTER_SECONDS = 2.0
GAP_EWMA_WEIGHT = 0.2


class ArrivalWatch:
    """Waits for the records of one answer, and probes its path's stages."""

    def __init__(
        self, fleet: fleets.Fleet, clock: timers.Clock, inbox: answers.Inbox
    ) -> None:
        self._fleet = fleet
        self._clock = clock
        self._inbox = inbox
        self._average_gap_seconds = 0.0
        self._last_token_at = 0.0

    def note_token(self, at: float) -> None:
        """Update the answer's average gap between tokens.

        :param at: monotonic seconds at which the token was received.
        """
        if self._last_token_at:
            gap = at - self._last_token_at
            self._average_gap_seconds += GAP_EWMA_WEIGHT * (
                gap - self._average_gap_seconds
            )
        self._last_token_at = at

    async def next(
        self, path: pipeline.Path | None, timeout_seconds: float
    ) -> answers.Arrival:
        """Return the next record, probing the path's stages meanwhile.

        A stage that a probe finds lost is returned as an arrival.

        :raises CrowdeckError: ``STALLED`` after ``timeout_seconds``.
        """
        started = self._clock.now()
        probe_after = self._probe_after_seconds()
        while self._clock.now() - started < timeout_seconds:
            with anyio.move_on_after(probe_after):
                return await self._inbox.get()
            if path is not None:
                await self._fleet.probe(
                    stage.instance for stage in path.stages
                )
        raise errors.CrowdeckError(
            errors.Code.STALLED,
            f"the path was silent for {timeout_seconds:g} s",
            verdict=verdicts.Verdict.MAY_HAVE_RUN,
            culprit=self._find_unusable(path),
        )

    def _probe_after_seconds(self) -> float:
        by_gaps = PROBE_AFTER_GAPS * self._average_gap_seconds
        return min(MAX_PROBE_AFTER_SECONDS, max(PROBE_AFTER_SECONDS, by_gaps))

    def _find_unusable(self, path: pipeline.Path | None) -> str:
        """Return the first unusable stage of the path, or an empty name."""
        if path is None:
            return ""
        for stage in path.stages:
            view = self._fleet.find(stage.instance)
            if view is None or not view.is_usable:
                return stage.instance
        return ""
