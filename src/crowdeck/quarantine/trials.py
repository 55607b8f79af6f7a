# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Trials of quarantined parts of prompts.

Requests that share a part differ in all else, and so more of them are refused
than one caller's. A part may have been blamed wrongly, or a new release of
the engines may run it. So after some time one request with it is sent. If it
is served the quarantine ends, otherwise the next trial is later.
"""

import typing

import attrs

from crowdeck.quarantine import attribution
from crowdeck.quarantine import evidence
from crowdeck.quarantine import fingerprint

# Time from the last end that is attributed to a part to its first trial. Each
# trial may cost an engine.
FIRST_TRIAL_SECONDS = 30.0
# Each further trial is later by this factor.
TRIAL_FACTOR = 4.0
# Ends that are further apart than this were caused by different trials.
ROUND_GAP_SECONDS = FIRST_TRIAL_SECONDS / 2


def _delay_seconds(culprit: attribution.Culprit) -> float:
    times = [end.at for end in culprit.ends]
    trial_count = sum(
        1
        for before, after in zip(times, times[1:], strict=False)
        if after - before > ROUND_GAP_SECONDS
    )
    return FIRST_TRIAL_SECONDS * TRIAL_FACTOR**trial_count


@attrs.define
class Trials:
    """The trials that one entry has claimed."""

    _next_at: dict[fingerprint.Fingerprints, float] = attrs.field(factory=dict)

    def claim(
        self,
        culprits: typing.Collection[attribution.Culprit],
        own_evidence: evidence.Evidence,
        now: float,
    ) -> bool:
        """Whether to send a request that these culprits quarantine.

        :param own_evidence: the evidence of this entry. Only an entry that
            reported the last end of a culprit claims its trials, so that the
            entries do not make one each.
        :param now: wall-clock time in seconds.
        """
        self._prune(now)
        is_due = bool(culprits) and all(
            self._is_due(culprit, own_evidence, now) for culprit in culprits
        )
        if not is_due:
            return False
        for culprit in culprits:
            self._next_at[culprit.fingerprints] = now + _delay_seconds(culprit)
        return True

    def due_at(self, culprit: attribution.Culprit) -> float:
        """Return the wall-clock time of the next trial of any entry."""
        return culprit.last_end.at + _delay_seconds(culprit)

    def _is_due(
        self,
        culprit: attribution.Culprit,
        own_evidence: evidence.Evidence,
        now: float,
    ) -> bool:
        if culprit.names_request or now < self.due_at(culprit):
            return False
        if now < self._next_at.get(culprit.fingerprints, now):
            return False
        return any(
            culprit.matches(request)
            for end in own_evidence.ends
            if end.instance == culprit.last_end.instance
            for request in end.requests
        )

    def _prune(self, now: float) -> None:
        """Forget trials whose successor is due."""
        self._next_at = {
            fingerprints: at
            for fingerprints, at in self._next_at.items()
            if at > now
        }
