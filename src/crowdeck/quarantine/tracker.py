# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Tracking of requests that crash the instances they are sent to.

One request may crash each instance that begins it, while its caller repeats
it at any entry. So may many different requests that have a part of their
prompts in common. So entries share their evidence and quarantine such requests
before they bring down the fleet. Without that, one request can end 18 of 39
engines within 15 s, and half of the other requests are not served.
"""

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

if typing.TYPE_CHECKING:
    from crowdeck.quarantine import trials

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
SETTLE_SECONDS = attribution.SETTLE_SECONDS
# Number of recently served fingerprints that are remembered. Twice what a
# small entry serves at peak, 16 requests a second of four fingerprints, in
# SERVED_EXEMPTION_SECONDS.
MAX_SERVED = 4_096
# Suspects that were present at fewer ends need not be reported as served: one
# more end does not quarantine them.
MIN_REPORTED_ENDS = attribution.QUARANTINE_THRESHOLD - 1
# Clocks of entries may differ. Evidence that is further in the future than
# this is dropped, since it would not expire in time.
CLOCK_SKEW_SECONDS = 600.0
# Longest time between reviews while there are suspects, so that expired
# evidence stops counting.
REVIEW_SECONDS = 60.0
# A refused request is told to return no sooner than this.
MIN_RETRY_AFTER_SECONDS = 1.0
# Number of fingerprints and instances that one log line names.
MAX_LOGGED = 16

WallClock = typing.Callable[[], float]
Listener = typing.Callable[[], None]


@attrs.frozen
class AttemptRecord:
    """An attempt at a request that was in progress at an instance.

    :ivar seconds_since_first_event: age of its first event, ``None`` if there
        was none.
    """

    request: fingerprint.RequestContent
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


@attrs.frozen
class _SuspectRecord:
    """The ends of which something is suspected, and that it was served.

    :ivar first_end_at: wall-clock time of the first of these ends.
    :ivar served_at: when any entry has last reported it as served.
    """

    end_count: int
    first_end_at: float
    served_at: float

    def is_changed_by(self, served_at: float) -> bool:
        """Whether the evidence says more if it was served at that time."""
        exemption = attribution.SERVED_EXEMPTION_SECONDS
        return self.end_count >= MIN_REPORTED_ENDS and (
            served_at >= self.first_end_at
            or self.served_at + exemption
            < self.first_end_at
            <= served_at + exemption
        )


class QuarantineTracker:
    """Decides by the evidence of all entries which requests to quarantine.

    :param clock: returns the wall-clock time in seconds.
    """

    def __init__(self, clock: WallClock = time.time) -> None:
        self._clock = clock
        self._own_evidence = evidence.Evidence()
        self._evidence_by_entry: dict[str, evidence.Evidence] = {}
        self._pending: dict[str, list[_PendingAttempt]] = {}
        # Loop times at which instances are known to have ended. Attempts may
        # fail later, when their connections break or they are abandoned.
        self._ended_at: dict[str, float] = {}
        self._culprits: dict[
            fingerprint.Fingerprints, attribution.Culprit
        ] = {}
        self._suspects: dict[fingerprint.Fingerprint, _SuspectRecord] = {}
        self._created_trials: trials.Trials | None = None
        # Wall-clock time of the next review.
        self._review_at = float("inf")
        self._served_at: dict[fingerprint.Fingerprint, float] = {}
        # Wall-clock time of the last end that any entry has reported, and loop
        # time at which this entry learned of it.
        self._last_end_at = 0.0
        self._learned_of_end_at = float("-inf")
        self._evidence_listeners: list[Listener] = []
        self._quarantine_listeners: list[Listener] = []

    @property
    def own_evidence(self) -> evidence.Evidence:
        """This entry's own evidence, which is published to the others."""
        return self._own_evidence

    @property
    def has_no_suspects(self) -> bool:
        """Whether nothing is suspected."""
        return not self._suspects

    def subscribe_own_evidence(self, listener: Listener) -> None:
        """Call ``listener`` when this entry's evidence is to be published."""
        self._evidence_listeners.append(listener)

    def subscribe(self, listener: Listener) -> None:
        """Call ``listener`` after requests have been quarantined."""
        self._quarantine_listeners.append(listener)

    def is_quarantined(self, request: fingerprint.RequestContent) -> bool:
        """Whether a request must not be sent to any instance."""
        return self.find_culprit(request) is not None

    def find_culprit(
        self, request: fingerprint.RequestContent
    ) -> attribution.Culprit | None:
        """Return why a request must not be sent, ``None`` if it may."""
        if self._clock() >= self._review_at:
            self._review()
        for culprit in self._culprits.values():
            if culprit.matches(request):
                return culprit
        return None

    def claim_trial(self, request: fingerprint.RequestContent) -> bool:
        """Whether to send a quarantined request, to learn if it is served.

        Each trial is claimed once, by the entry that reported the last end.
        """
        matching = [
            culprit
            for culprit in self._culprits.values()
            if culprit.matches(request)
        ]
        if not self._trials().claim(
            matching, self._own_evidence, self._clock()
        ):
            return False
        counters.COUNTERS.add("quarantine.trials")
        logs.change("quarantine_trial", content=str(request))
        return True

    def is_suspect(self, request: fingerprint.RequestContent) -> bool:
        """Whether a request may have crashed an instance."""
        return not request.fingerprints.isdisjoint(self._suspects)

    def seconds_to_settle(self) -> float:
        """Return the seconds until all entries have reported the last end."""
        settles_at = self._last_end_at + SETTLE_SECONDS
        return min(max(0.0, settles_at - self._clock()), SETTLE_SECONDS)

    def refusal_error(
        self, request: fingerprint.RequestContent, may_have_run: bool
    ) -> errors.CrowdeckError:
        """Return the error with which a quarantined request is refused.

        :param may_have_run: whether the request may have been executed.
        """
        verdict = verdicts.Verdict.NOT_RUN
        if may_have_run:
            verdict = verdicts.Verdict.MAY_HAVE_RUN
        counters.COUNTERS.add("quarantine.refused")
        culprit = self.find_culprit(request)
        crash_count = len(culprit.ends) if culprit else 0
        kind = "requests with a part of this prompt are"
        if culprit is None or culprit.names_request:
            kind = "this request is"
        return errors.CrowdeckError(
            errors.Code.QUARANTINED,
            f"{kind} quarantined: {crash_count} instances crashed under it; "
            "it is refused until that evidence expires or one is served",
            verdict=verdict,
            retry_after=self._seconds_quarantined(culprit),
        )

    def _trials(self) -> "trials.Trials":
        """Return the trials, created on first use."""
        if self._created_trials is None:
            # Entries start faster without a module that is seldom needed.
            from crowdeck.quarantine import trials

            self._created_trials = trials.Trials()
        return self._created_trials

    def _seconds_quarantined(
        self, culprit: attribution.Culprit | None
    ) -> float:
        """Return the seconds until a request may be served again."""
        if culprit is None:
            return EVIDENCE_TTL_SECONDS
        now = self._clock()
        expires_at = culprit.last_end.at + EVIDENCE_TTL_SECONDS
        if not culprit.names_request:
            expires_at = min(expires_at, self._trials().due_at(culprit))
        return min(
            max(MIN_RETRY_AFTER_SECONDS, expires_at - now),
            EVIDENCE_TTL_SECONDS,
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
        self._prune_pending()
        now = anyio.current_time()
        self._ended_at[instance] = now
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
        self._ended_at.pop(instance, None)

    def note_served(self, attempt_record: AttemptRecord) -> None:
        """Note an attempt that did not crash its instance.

        It was served completely, or long after its first event. It is known
        to be harmless as of its first event only.
        """
        request = attempt_record.request
        seconds_ago = attempt_record.seconds_since_first_event or 0.0
        at = self._clock() - seconds_ago
        began_at = anyio.current_time() - seconds_ago
        if began_at >= self._learned_of_end_at:
            # This clock may be behind that of the entry that saw the last end.
            at = max(at, self._last_end_at)
        for served in request.fingerprints:
            before = self._served_at.pop(served, at)
            self._served_at[served] = max(before, at)
        self._prune_served(at)
        if self.is_suspect(request) and self._record_served_suspects(
            request.fingerprints
        ):
            self._publish()
            self._review()

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
        if self._record_served_suspects(self._suspects):
            self._publish()
            self._review()

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
        now = anyio.current_time()
        ended_at = self._ended_at.get(instance, float("-inf"))
        if now - ended_at <= ttl_seconds:
            self._add_end(instance, [attempt_record])
            return
        expires_at = now + ttl_seconds
        attempts = self._pending.setdefault(instance, [])
        attempts.append(_PendingAttempt(attempt_record, expires_at))

    def _prune_pending(self) -> None:
        now = anyio.current_time()
        for instance, attempts in list(self._pending.items()):
            if attempts[-1].expires_at < now:
                del self._pending[instance]
        for instance, ended_at in list(self._ended_at.items()):
            if now - ended_at > LOST_ATTEMPT_TTL_SECONDS:
                del self._ended_at[instance]

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
            unbegun=sorted(map(str, unbegun))[:MAX_LOGGED],
            begun=sorted(map(str, begun))[:MAX_LOGGED],
        )
        self._review()
        if self._record_served_suspects(self._suspects):
            self._review()
        self._publish()

    def _valid(self, reported: evidence.Evidence) -> evidence.Evidence:
        """Return the evidence that is neither outdated nor from the future."""
        now = self._clock()
        return reported.between(
            now - EVIDENCE_TTL_SECONDS, now + CLOCK_SKEW_SECONDS
        )

    def _record_served_suspects(
        self, candidates: typing.Iterable[fingerprint.Fingerprint]
    ) -> bool:
        """Add served suspects to the evidence; return whether it changed."""
        before = self._own_evidence
        for suspect in candidates:
            record = self._suspects.get(suspect)
            at = self._served_at.get(suspect)
            if record is None or at is None or not record.is_changed_by(at):
                continue
            served = evidence.ServedSuspect(suspect, at)
            self._own_evidence = self._own_evidence.with_served(served)
            logs.change("suspect_served", content=str(suspect))
        return self._own_evidence != before

    def _prune_served(self, now: float) -> None:
        since = now - attribution.SERVED_EXEMPTION_SECONDS
        while self._served_at:
            oldest = next(iter(self._served_at))
            is_full = len(self._served_at) > MAX_SERVED
            if not is_full and self._served_at[oldest] >= since:
                return
            del self._served_at[oldest]

    def _count_ends_of(self, suspect: fingerprint.Fingerprint) -> int:
        record = self._suspects.get(suspect)
        return record.end_count if record else 0

    def _publish(self) -> None:
        for listener in self._evidence_listeners:
            listener()

    def _review(self) -> None:
        """Determine what is quarantined from all evidence."""
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
                before = served_at.get(served.suspect, served.at)
                served_at[served.suspect] = max(before, served.at)
        unexplained = attribution.without_served_suspects(
            ends.values(), served_at, 0.0
        )
        self._suspects = _suspect_records(unexplained, served_at)
        last_end_at = max((end.at for end in ends.values()), default=0.0)
        if last_end_at > self._last_end_at:
            self._learned_of_end_at = anyio.current_time()
        self._last_end_at = last_end_at
        self._review_at = self._next_review(now)
        self._set_culprits(attribution.judge(unexplained, served_at, now))

    def _next_review(self, now: float) -> float:
        """Return when the result may next change without new evidence."""
        if not self._suspects:
            return float("inf")
        for seconds in (SETTLE_SECONDS, attribution.SERVED_SETTLE_SECONDS):
            settles_at = self._last_end_at + seconds
            if now < settles_at < now + REVIEW_SECONDS:
                return settles_at
        return now + REVIEW_SECONDS

    def _set_culprits(self, found: list[attribution.Culprit]) -> None:
        before = self._culprits
        self._culprits = {culprit.fingerprints: culprit for culprit in found}
        for fingerprints in before.keys() - self._culprits.keys():
            logs.change("quarantine_ended", content=_joined(fingerprints))
        new = self._culprits.keys() - before.keys()
        for fingerprints in new:
            counters.COUNTERS.add("quarantine.begun")
            _log_quarantined(self._culprits[fingerprints])
        if new:
            for listener in self._quarantine_listeners:
                listener()


def _suspect_records(
    unexplained: typing.Iterable[attribution.UnexplainedEnd],
    served_at: attribution.ServedTimes,
) -> dict[fingerprint.Fingerprint, _SuspectRecord]:
    """Return everything that may have caused one of the ends."""
    records: dict[fingerprint.Fingerprint, _SuspectRecord] = {}
    for end in sorted(unexplained, key=lambda end: end.end.at):
        for suspect in end.suspects:
            known = records.get(suspect)
            records[suspect] = _SuspectRecord(
                1 + (known.end_count if known else 0),
                known.first_end_at if known else end.end.at,
                served_at.get(suspect, float("-inf")),
            )
    return records


def _log_quarantined(culprit: attribution.Culprit) -> None:
    logs.change(
        "quarantined",
        content=_joined(culprit.fingerprints),
        kind="request" if culprit.names_request else "part",
        ends=len(culprit.ends),
        upstreams=[end.instance for end in culprit.ends][:MAX_LOGGED],
        cleared=_joined(culprit.others_at_all_ends()),
    )


def _joined(fingerprints: fingerprint.Fingerprints) -> str:
    return " ".join(sorted(map(str, fingerprints))[:MAX_LOGGED])
