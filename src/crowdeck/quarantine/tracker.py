# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""What an entry knows of requests that end the instances they run at.

One request may end each instance that begins it, and its caller sends it
again, at any entry. Without a memory that entries share 18 of 39 engines
ended within 15 s, and half of what other callers asked was not served.
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

# For so long an end is held against a request, in seconds of the time of
# day: three engines an hour is what one request may cost, and a request
# that was repaired elsewhere (a new release of the engines) is served again
# within it.
KEEP_SECONDS = 3600.0
# An attempt whose first event came longer ago than this is no suspect. The
# cause brought its engine down 0.06 to 0.12 s after it had begun, 20 times
# of 20 before its first event; streams last for 2 to 4 s.
SOUND_SECONDS = 0.5
# An instance of which a connection broke is known to have ended at once, or
# when its entry goes: after three heartbeats and a watch.
PENDING_SECONDS = 8.0
# A caller that left had its request at an instance that ends within this.
LEFT_SECONDS = 1.0
# Other entries' part in an end is known here within 0.4 s. Until then an end
# counts against those alone that had no event there, and nobody whose own
# attempt was cut by it is refused: of 30 entries that each knew their own
# part, three blamed four requests that had run beside; of 12, six blamed
# eight that had not begun.
SETTLE_SECONDS = 0.5
# Requests kept that were served of late: a small entry's share of the peak,
# 16 a second, for as long as they matter, twice over.
SERVED_MOST = 1_024
# Clocks of entries differ by seconds. What claims to be later than this was
# written by another program, and would never be forgotten.
AHEAD_SECONDS = 600.0
# What is older than KEEP_SECONDS is looked for this often.
JUDGE_SECONDS = 60.0

Clock = typing.Callable[[], float]
Listener = typing.Callable[[], None]


@attrs.frozen
class AttemptRecord:
    """A request that an instance was given, and what came of it there.

    :ivar seconds_begun: how long ago its first event came from there, or
        ``None`` where none did.
    """

    request: fingerprint.Fingerprint
    seconds_begun: float | None

    @property
    def is_suspect(self) -> bool:
        """Whether it may have ended the instance."""
        return self.seconds_begun is None or self.seconds_begun < SOUND_SECONDS


@attrs.frozen
class _Pending:
    attempt_record: AttemptRecord
    until: float


class QuarantineTracker:
    """Ends of instances, as this entry and the others saw them.

    :param clock: returns the time of day, in seconds.
    """

    def __init__(self, clock: Clock = time.time) -> None:
        self._clock = clock
        self._own = evidence.Evidence()
        self._others: dict[str, evidence.Evidence] = {}
        self._pending: dict[str, list[_Pending]] = {}
        self._culprits: dict[fingerprint.Fingerprint, int] = {}
        self._suspects: collections.Counter[fingerprint.Fingerprint] = (
            collections.Counter()
        )
        self._judge_at = float("inf")
        self._served: dict[fingerprint.Fingerprint, float] = {}
        self._last_end = 0.0
        self._tellers: list[Listener] = []
        self._listeners: list[Listener] = []

    @property
    def own(self) -> evidence.Evidence:
        """What this entry saw itself, to be told to the others."""
        return self._own

    @property
    def is_empty(self) -> bool:
        """Whether no instance is known to have ended under a request."""
        return not self._suspects

    def subscribe_own(self, teller: Listener) -> None:
        """Call ``teller`` after each change of what is to be told."""
        self._tellers.append(teller)

    def subscribe(self, listener: Listener) -> None:
        """Call ``listener`` after a request has been put in quarantine."""
        self._listeners.append(listener)

    def is_quarantined(self, request: fingerprint.Fingerprint) -> bool:
        """Whether a request is to be sent on no more."""
        if self._clock() >= self._judge_at:
            self._judge()
        return request in self._culprits

    def is_suspect(self, request: fingerprint.Fingerprint) -> bool:
        """Whether an instance has ended under a request."""
        return request in self._suspects

    def seconds_to_settle(self) -> float:
        """Return in how many seconds all entries' parts are known."""
        settles_at = self._last_end + SETTLE_SECONDS
        return min(max(0.0, settles_at - self._clock()), SETTLE_SECONDS)

    def refusal_error(
        self, request: fingerprint.Fingerprint, has_run: bool
    ) -> errors.CrowdeckError:
        """Return the error with which a culprit is refused.

        :param has_run: whether it may have run in this attempt.
        """
        verdict = verdicts.Verdict.NOT_RUN
        if has_run:
            verdict = verdicts.Verdict.MAY_HAVE_RUN
        counters.COUNTERS.add("quarantine.refused")
        ended = self._culprits.get(request, 0)
        return errors.CrowdeckError(
            errors.Code.QUARANTINED,
            f"{ended} instances ended when they began this request",
            verdict=verdict,
            retry_after=KEEP_SECONDS,
        )

    def note_connection_lost(
        self, instance: str, attempt_record: AttemptRecord
    ) -> None:
        """Note an attempt whose connection broke or whose instance is mute.

        It counts once the instance is known to have ended.
        """
        self._note(instance, attempt_record, PENDING_SECONDS)

    def note_cancelled(
        self, instance: str, attempt_record: AttemptRecord
    ) -> None:
        """Note an attempt that its caller left before its end."""
        self._note(instance, attempt_record, LEFT_SECONDS)

    def note_end(self, instance: str) -> None:
        """Note that an instance has ended, and not as planned."""
        now = anyio.current_time()
        pending = self._pending.pop(instance, ())
        attempt_records = [
            one.attempt_record for one in pending if one.until >= now
        ]
        self._take_end(instance, attempt_records)

    def forget(self, instance: str) -> None:
        """Note that an instance has ended as planned."""
        self._pending.pop(instance, None)

    def note_served(self, request: fingerprint.Fingerprint) -> None:
        """Note a request that was answered whole."""
        # Whatever the clocks of those that saw the ends say.
        now = max(self._clock(), self._last_end)
        self._served.pop(request, None)
        self._served[request] = now
        self._forget_served(now)
        if request in self._suspects and self._testify():
            self._tell_own()

    def take(self, entry: str, told: evidence.Evidence) -> None:
        """Take all that another entry tells.

        What is older than known takes nothing back: a store that was
        restored from a copy shows an older note, and its writer may have
        ended since.
        """
        told = self._valid(told)
        known = self._others.get(entry, evidence.Evidence())
        if told == known or told.newest < self._valid(known).newest:
            return
        self._others[entry] = told
        self._judge()
        if self._testify():
            self._tell_own()

    def take_own(self, told: evidence.Evidence) -> None:
        """Take what an earlier run of this entry told."""
        merged = self._merged(self._own, told)
        if merged != self._own:
            self._own = merged
            self._judge()

    def _merged(
        self, known: evidence.Evidence, told: evidence.Evidence
    ) -> evidence.Evidence:
        told = self._valid(told)
        for end in told.ends:
            known = known.with_end(end, self._rank)
        for served in told.served:
            known = known.with_served(served)
        return known

    def _note(
        self, instance: str, attempt_record: AttemptRecord, seconds: float
    ) -> None:
        if not attempt_record.is_suspect:
            return
        self._drop_outdated()
        until = anyio.current_time() + seconds
        line = self._pending.setdefault(instance, [])
        line.append(_Pending(attempt_record, until))

    def _drop_outdated(self) -> None:
        now = anyio.current_time()
        for instance, line in list(self._pending.items()):
            if line[-1].until < now:
                del self._pending[instance]

    def _take_end(
        self, instance: str, attempt_records: list[AttemptRecord]
    ) -> None:
        if not attempt_records:
            return
        unbegun = frozenset(
            one.request for one in attempt_records if one.seconds_begun is None
        )
        begun = frozenset(one.request for one in attempt_records) - unbegun
        now = self._clock()
        end = evidence.InstanceEnd(instance, now, unbegun, begun)
        self._own = self._valid(self._own).with_end(end, self._rank)
        counters.COUNTERS.add("quarantine.ends")
        logs.change(
            "ended_under_requests",
            upstream=instance,
            unbegun=sorted(map(str, unbegun)),
            begun=sorted(map(str, begun)),
        )
        self._judge()
        self._testify()
        self._tell_own()

    def _valid(self, told: evidence.Evidence) -> evidence.Evidence:
        """Return what is not outdated, nor from a time that has not come."""
        now = self._clock()
        return told.between(now - KEEP_SECONDS, now + AHEAD_SECONDS)

    def _testify(self) -> bool:
        """Tell of suspects that were served here; true if there are any."""
        before = self._own
        for request in self._suspects:
            at = self._served.get(request)
            if at is not None:
                served = evidence.Served(request, at)
                self._own = self._own.with_served(served)
                logs.change("suspect_served", content=str(request))
        return self._own != before

    def _forget_served(self, now: float) -> None:
        since = now - attribution.SERVED_SECONDS
        while self._served:
            oldest = next(iter(self._served))
            is_needless = len(self._served) > SERVED_MOST
            if not is_needless and self._served[oldest] >= since:
                return
            del self._served[oldest]

    def _rank(self, request: fingerprint.Fingerprint) -> int:
        return self._suspects[request]

    def _tell_own(self) -> None:
        for teller in self._tellers:
            teller()
        self._judge()

    def _judge(self) -> None:
        """Find the culprits anew from all that is known."""
        now = self._clock()
        ends: dict[str, evidence.InstanceEnd] = {}
        served_at: dict[fingerprint.Fingerprint, float] = {}
        for one in (self._own, *self._others.values()):
            valid = self._valid(one)
            for end in valid.ends:
                held = ends.get(end.instance)
                ends[end.instance] = held.joined(end) if held else end
            for served in valid.served:
                before = served_at.get(served.request, served.at)
                served_at[served.request] = max(before, served.at)
        cases = attribution.open_cases(ends.values(), served_at)
        self._suspects = attribution.count(cases)
        self._last_end = max((one.at for one in ends.values()), default=0.0)
        settled = attribution.settle(cases, now - SETTLE_SECONDS)
        self._judge_at = self._next_judgement(now)
        self._change_to(attribution.culprits(settled))

    def _next_judgement(self, now: float) -> float:
        """Return when time alone may change what is found."""
        if not self._suspects:
            return float("inf")
        settles_at = self._last_end + SETTLE_SECONDS
        if now < settles_at < now + JUDGE_SECONDS:
            return settles_at
        return now + JUDGE_SECONDS

    def _change_to(self, found: dict[fingerprint.Fingerprint, int]) -> None:
        before, self._culprits = self._culprits, found
        for one in before.keys() - found.keys():
            logs.change("quarantine_ended", content=str(one))
        new = found.keys() - before.keys()
        for one in new:
            counters.COUNTERS.add("quarantine.begun")
            logs.change("quarantined", content=str(one), ends=found[one])
        if new:
            for listener in self._listeners:
                listener()
