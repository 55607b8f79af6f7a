# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Tracking of requests that crash the instances they are sent to.

One request may crash each instance that begins it, while its caller repeats
it at any entry. So entries share their evidence and quarantine such requests
before they bring down the fleet. Without that, one request can end 18 of 39
engines within 15 s, and half of the other requests are not served.
"""

import collections
import time
import typing

import anyio
import attrs

from crowdeck import errors
from crowdeck.observe import counters
from crowdeck.observe import logs
from crowdeck.quarantine import attribution
from crowdeck.quarantine import evidence
from crowdeck.quarantine import fingerprint
from crowdeck import verdict as verdicts

# How long an end counts as evidence, and so about how long a request may
# stay quarantined after the last end at which it was present. One request may
# cost three engines in this time, and a request that a new release of the
# engines can run is served again after it.
EVIDENCE_TTL_SECONDS = 3600.0
# An attempt whose first event is older than this is not a suspect: a request
# that crashes its engine does so soon after it has begun. It does so
# after 0.06 to 0.12 s, before its first event, and streams last for 2 to 4 s.
MAX_SUSPECT_EVENT_AGE_SECONDS = 0.5
# A lost connection counts if the end of its instance becomes known within this
# time; the instance's record is removed from the store some heartbeats after
# its end.
LOST_ATTEMPT_TTL_SECONDS = 8.0
# A cancelled attempt counts if its instance ends within this time.
CANCELLED_ATTEMPT_TTL_SECONDS = 1.0
# The evidence of the other entries arrives within this time after an end.
# Until then only requests without an event count as suspects of that end. It
# takes up to 0.4 s. Entries that judge earlier, each by its own evidence,
# blame requests that merely ran beside the culprit.
SETTLE_SECONDS = 0.5
# Number of recently served requests that are remembered. Twice what a small
# entry serves at peak, 16 a second, in SERVED_EXEMPTION_SECONDS.
MAX_SERVED = 1_024
# Clocks of entries may differ. Evidence that is further in the future than
# this is dropped, since it would not expire in time.
CLOCK_SKEW_SECONDS = 600.0
# Longest time between reviews while there are suspects, so that expired
# evidence stops counting.
REVIEW_SECONDS = 60.0

WallClock = typing.Callable[[], float]
Listener = typing.Callable[[], None]


@attrs.frozen
class AttemptRecord:
    """An attempt at a request that was in progress at an instance.

    :ivar seconds_since_first_event: age of its first event, ``None`` if there
        was none.
    """

    request: fingerprint.Fingerprint
    seconds_since_first_event: float | None

    @property
    def is_suspect(self) -> bool:
        """Whether it may have crashed the instance."""
        return (
            self.seconds_since_first_event is None
            or self.seconds_since_first_event < MAX_SUSPECT_EVENT_AGE_SECONDS
        )


@attrs.frozen
class _PendingAttempt:
    attempt_record: AttemptRecord
    expires_at: float


class QuarantineTracker:
    """Decides by the evidence of all entries which requests to quarantine.

    :param clock: returns the wall-clock time in seconds.
    """

    def __init__(self, clock: WallClock = time.time) -> None:
        self._clock = clock
        self._own_evidence = evidence.Evidence()
        self._evidence_by_entry: dict[str, evidence.Evidence] = {}
        self._pending: dict[str, list[_PendingAttempt]] = {}
        self._culprits: dict[fingerprint.Fingerprint, int] = {}
        self._suspects: collections.Counter[fingerprint.Fingerprint] = (
            collections.Counter()
        )
        # Wall-clock time of the next review.
        self._review_at = float("inf")
        self._served_at: dict[fingerprint.Fingerprint, float] = {}
        # Wall-clock time of the last end that any entry has reported.
        self._last_end_at = 0.0
        self._evidence_listeners: list[Listener] = []
        self._quarantine_listeners: list[Listener] = []

    @property
    def own_evidence(self) -> evidence.Evidence:
        """This entry's own evidence, which is published to the others."""
        return self._own_evidence

    @property
    def has_no_suspects(self) -> bool:
        """Whether no request is a suspect."""
        return not self._suspects

    def subscribe_own_evidence(self, listener: Listener) -> None:
        """Call ``listener`` when this entry's evidence is to be published."""
        self._evidence_listeners.append(listener)

    def subscribe(self, listener: Listener) -> None:
        """Call ``listener`` after requests have been quarantined."""
        self._quarantine_listeners.append(listener)

    def is_quarantined(self, request: fingerprint.Fingerprint) -> bool:
        """Whether a request must not be sent to any instance."""
        if self._clock() >= self._review_at:
            self._review()
        return request in self._culprits

    def is_suspect(self, request: fingerprint.Fingerprint) -> bool:
        """Whether a request may have crashed an instance."""
        return request in self._suspects

    def seconds_to_settle(self) -> float:
        """Return the seconds until all entries have reported the last end."""
        settles_at = self._last_end_at + SETTLE_SECONDS
        return min(max(0.0, settles_at - self._clock()), SETTLE_SECONDS)

    def refusal_error(
        self, request: fingerprint.Fingerprint, may_have_run: bool
    ) -> errors.CrowdeckError:
        """Return the error with which a quarantined request is refused.

        :param may_have_run: whether the request may have been executed.
        """
        verdict = verdicts.Verdict.NOT_RUN
        if may_have_run:
            verdict = verdicts.Verdict.MAY_HAVE_RUN
        counters.COUNTERS.add("quarantine.refused")
        crash_count = self._culprits.get(request, 0)
        return errors.CrowdeckError(
            errors.Code.QUARANTINED,
            f"this request is quarantined: {crash_count} instances crashed "
            f"while it ran there; it is refused until that evidence expires",
            verdict=verdict,
            retry_after=EVIDENCE_TTL_SECONDS,
        )

    def note_connection_lost(
        self, instance: str, attempt_record: AttemptRecord
    ) -> None:
        """Note an attempt whose instance closed the connection or is silent.

        It counts once the instance is known to have ended.
        """
        self._add_pending(instance, attempt_record, LOST_ATTEMPT_TTL_SECONDS)

    def note_cancelled(
        self, instance: str, attempt_record: AttemptRecord
    ) -> None:
        """Note an attempt that its caller cancelled."""
        self._add_pending(
            instance, attempt_record, CANCELLED_ATTEMPT_TTL_SECONDS
        )

    def note_end(self, instance: str) -> None:
        """Note that an instance has ended unexpectedly."""
        now = anyio.current_time()
        pending = self._pending.pop(instance, ())
        attempt_records = [
            attempt.attempt_record
            for attempt in pending
            if attempt.expires_at >= now
        ]
        self._add_end(instance, attempt_records)

    def forget(self, instance: str) -> None:
        """Drop the attempts at an instance that has ended as planned."""
        self._pending.pop(instance, None)

    def note_served(self, request: fingerprint.Fingerprint) -> None:
        """Note a request that was served completely."""
        # This clock may be behind that of the entry that saw the last end.
        now = max(self._clock(), self._last_end_at)
        self._served_at.pop(request, None)
        self._served_at[request] = now
        self._prune_served(now)
        if request in self._suspects and self._record_served_suspects():
            self._publish_and_review()

    def set_peer_evidence(
        self, entry: str, reported: evidence.Evidence
    ) -> None:
        """Replace the evidence of another entry.

        Outdated evidence is ignored: a store that was restored from a backup
        has older records, whose writers may have ended since.
        """
        reported = self._valid(reported)
        known = self._evidence_by_entry.get(entry, evidence.Evidence())
        if (
            reported == known
            or reported.newest_at < self._valid(known).newest_at
        ):
            return
        self._evidence_by_entry[entry] = reported
        self._review()
        if self._record_served_suspects():
            self._publish_and_review()

    def merge_own_evidence(self, reported: evidence.Evidence) -> None:
        """Add the evidence of an earlier process of this entry."""
        merged = self._merged(self._own_evidence, reported)
        if merged != self._own_evidence:
            self._own_evidence = merged
            self._review()

    def _merged(
        self, known: evidence.Evidence, reported: evidence.Evidence
    ) -> evidence.Evidence:
        reported = self._valid(reported)
        for end in reported.ends:
            known = known.with_end(end, self._count_ends_of)
        for served in reported.served:
            known = known.with_served(served)
        return known

    def _add_pending(
        self, instance: str, attempt_record: AttemptRecord, ttl_seconds: float
    ) -> None:
        if not attempt_record.is_suspect:
            return
        self._prune_pending()
        expires_at = anyio.current_time() + ttl_seconds
        attempts = self._pending.setdefault(instance, [])
        attempts.append(_PendingAttempt(attempt_record, expires_at))

    def _prune_pending(self) -> None:
        now = anyio.current_time()
        for instance, attempts in list(self._pending.items()):
            if attempts[-1].expires_at < now:
                del self._pending[instance]

    def _add_end(
        self, instance: str, attempt_records: list[AttemptRecord]
    ) -> None:
        if not attempt_records:
            return
        unbegun = frozenset(
            record.request
            for record in attempt_records
            if record.seconds_since_first_event is None
        )
        begun = (
            frozenset(record.request for record in attempt_records) - unbegun
        )
        now = self._clock()
        end = evidence.InstanceEnd(instance, now, unbegun, begun)
        self._own_evidence = self._valid(self._own_evidence).with_end(
            end, self._count_ends_of
        )
        counters.COUNTERS.add("quarantine.ends")
        logs.change(
            "ended_under_requests",
            upstream=instance,
            unbegun=sorted(map(str, unbegun)),
            begun=sorted(map(str, begun)),
        )
        self._review()
        self._record_served_suspects()
        self._publish_and_review()

    def _valid(self, reported: evidence.Evidence) -> evidence.Evidence:
        """Return the evidence that is neither outdated nor from the future."""
        now = self._clock()
        return reported.between(
            now - EVIDENCE_TTL_SECONDS, now + CLOCK_SKEW_SECONDS
        )

    def _record_served_suspects(self) -> bool:
        """Add served suspects to the evidence; return whether it changed."""
        before = self._own_evidence
        for request in self._suspects:
            at = self._served_at.get(request)
            if at is not None:
                served = evidence.ServedRequest(request, at)
                self._own_evidence = self._own_evidence.with_served(served)
                logs.change("suspect_served", content=str(request))
        return self._own_evidence != before

    def _prune_served(self, now: float) -> None:
        since = now - attribution.SERVED_EXEMPTION_SECONDS
        while self._served_at:
            oldest = next(iter(self._served_at))
            is_full = len(self._served_at) > MAX_SERVED
            if not is_full and self._served_at[oldest] >= since:
                return
            del self._served_at[oldest]

    def _count_ends_of(self, request: fingerprint.Fingerprint) -> int:
        return self._suspects[request]

    def _publish_and_review(self) -> None:
        for listener in self._evidence_listeners:
            listener()
        self._review()

    def _review(self) -> None:
        """Determine the quarantined requests from all evidence."""
        now = self._clock()
        ends: dict[str, evidence.InstanceEnd] = {}
        served_at: dict[fingerprint.Fingerprint, float] = {}
        for reported in (
            self._own_evidence,
            *self._evidence_by_entry.values(),
        ):
            valid = self._valid(reported)
            for end in valid.ends:
                known = ends.get(end.instance)
                ends[end.instance] = known.merged_with(end) if known else end
            for served in valid.served:
                before = served_at.get(served.request, served.at)
                served_at[served.request] = max(before, served.at)
        unexplained = attribution.without_served_suspects(
            ends.values(), served_at
        )
        self._suspects = attribution.count_ends(unexplained)
        self._last_end_at = max(
            (instance_end.at for instance_end in ends.values()), default=0.0
        )
        settled = attribution.without_recent_begun_suspects(
            unexplained, now - SETTLE_SECONDS
        )
        self._review_at = self._next_review(now)
        self._set_culprits(attribution.find_culprits(settled))

    def _next_review(self, now: float) -> float:
        """Return when the result may next change without new evidence."""
        if not self._suspects:
            return float("inf")
        settles_at = self._last_end_at + SETTLE_SECONDS
        if now < settles_at < now + REVIEW_SECONDS:
            return settles_at
        return now + REVIEW_SECONDS

    def _set_culprits(self, found: dict[fingerprint.Fingerprint, int]) -> None:
        before, self._culprits = self._culprits, found
        for request in before.keys() - found.keys():
            logs.change("quarantine_ended", content=str(request))
        new = found.keys() - before.keys()
        for request in new:
            counters.COUNTERS.add("quarantine.begun")
            logs.change(
                "quarantined", content=str(request), ends=found[request]
            )
        if new:
            for listener in self._quarantine_listeners:
                listener()
