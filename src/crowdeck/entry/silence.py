# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Waiting for an answer's next record, and finding out why none comes."""

import anyio

from crowdeck.entry import answers
from crowdeck import errors
from crowdeck.membership import fleet as fleets
from crowdeck import pipeline
from crowdeck import timers
from crowdeck import verdict as verdicts

# Silence after which a path's stages are probed: ten times the aim between
# two tokens, or five times this answer's own pace where that is slower, so
# that probing is rare while all is well. A loaded system that probed at
# 0.4 s regardless sent a thousand probes in half a minute, and lost live
# sidecars to them.
SUSPECT_SECONDS = 0.4
SUSPECT_GAPS = 5.0
SLOWEST_SUSPECT_SECONDS = 2.0
GAP_SMOOTHING = 0.2


class ArrivalWatch:
    """Waits for the records of one answer, at that answer's own pace."""

    def __init__(
        self, fleet: fleets.Fleet, clock: timers.Clock, inbox: answers.Inbox
    ) -> None:
        self._fleet = fleet
        self._clock = clock
        self._inbox = inbox
        self._gap_seconds = 0.0
        self._token_at = 0.0

    def note_token(self, at: float) -> None:
        """Learn the answer's pace from a token that came at a time."""
        if self._token_at:
            gap = at - self._token_at
            self._gap_seconds += GAP_SMOOTHING * (gap - self._gap_seconds)
        self._token_at = at

    async def next(
        self, path: pipeline.Path | None, timeout: float
    ) -> answers.Arrival:
        """Return the next record, probing the path's stages meanwhile.

        A stage that is found lost comes as an arrival.

        :raises CrowdeckError: ``STALLED`` after ``timeout`` seconds.
        """
        started = self._clock.now()
        suspect = self._suspect_seconds()
        while self._clock.now() - started < timeout:
            with anyio.move_on_after(suspect):
                return await self._inbox.get()
            if path is not None:
                await self._fleet.probe(one.instance for one in path.stages)
        raise errors.CrowdeckError(
            errors.Code.STALLED,
            f"the path was silent for {timeout:g} s",
            verdict=verdicts.Verdict.MAY_HAVE_RUN,
            culprit=self._suspect(path),
        )

    def _suspect_seconds(self) -> float:
        own_pace = SUSPECT_GAPS * self._gap_seconds
        return min(SLOWEST_SUSPECT_SECONDS, max(SUSPECT_SECONDS, own_pace))

    def _suspect(self, path: pipeline.Path | None) -> str:
        """Return the stage that a silence is most likely due to."""
        if path is None:
            return ""
        for stage in path.stages:
            view = self._fleet.find(stage.instance)
            if view is None or not view.is_usable:
                return stage.instance
        return ""
