# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Records of how first engines served this entry's recent streams.

An engine may answer status checks and still fail or delay its streams, so
only the outcomes of real streams count.
"""

import typing

import anyio
import attrs

# Weight of the newest sample in the moving averages.
EWMA_WEIGHT = 0.25
# Half-life of the averages: by then the streams that filled an engine have
# mostly ended.
HALF_LIFE_SECONDS = 2.0
# Failure rate at which an engine is barred; two failures in quick succession
# reach it. One failure alone makes 0.25 and two in a row 0.44, so that an
# engine whose answers are damaged now and then, such as one in forty, is not
# barred.
BARRED_FAILURE_RATE = 0.4
# How long an engine is barred (avoided by new streams) the first time; doubled
# each further time, up to MAX_BARRED_SECONDS. Afterwards it gets one stream at
# a time until one has had its first event.
BARRED_SECONDS = 1.0
MAX_BARRED_SECONDS = 8.0
# A first event that comes later than this after the last bar has ended resets
# the duration to BARRED_SECONDS.
RECOVERY_SECONDS = 10.0
# Cost of a first event that takes as long as its latency objective, in ms a
# token. Twice hops.OTHER_ZONE_HEAD_MS: from half of the objective on, a faster
# engine in another zone is worth the crossing.
LATE_MS = 16.0
# Cost of an engine that fails every stream, in ms a token. One failure alone
# costs less than a first engine in another zone.
FAILURE_MS = 20.0
# Cost of a barred engine, in ms a token: it is chosen only if there is no
# other.
BARRED_MS = 10_000.0
# Number of records above which stale ones are dropped. An engine leaves one
# behind each time it restarts.
MAX_RECORDS = 200


@attrs.define(eq=False)
class _Record:
    """What is known about one engine. Times are loop times.

    :ivar first_event_seconds: moving average of the time to a first event.
    :ivar first_event_at: when a stream last had its first event.
    :ivar failure_rate: moving average of the share of failed streams.
    :ivar outcome_at: when the failure rate was last updated.
    :ivar barred_until: end of the last bar.
    :ivar bar_count: number of bars since it last recovered, which sets the
        duration of the next one.
    :ivar awaits_first_event: whether no stream has had its first event since
        the engine was barred.
    :ivar waiting: start times of attempts without an event, by the
        attempt's key, oldest first.
    """

    first_event_seconds: float = 0.0
    first_event_at: float = float("-inf")
    failure_rate: float = 0.0
    outcome_at: float = float("-inf")
    barred_until: float = float("-inf")
    bar_count: int = 0
    awaits_first_event: bool = False
    waiting: dict[typing.Hashable, float] = attrs.field(factory=dict)


class HeadRecords:
    """Latency and failures of paths' first engines (heads) at this entry.

    Engines are given by name, and attempts by any key that is unique while
    they last.
    """

    def __init__(self) -> None:
        self._records: dict[str, _Record] = {}

    def __len__(self) -> int:
        """Return the number of engines with a record."""
        return len(self._records)

    def note_begun(self, name: str, attempt: typing.Hashable) -> None:
        """Record that an attempt at a stream was sent to an engine."""
        if len(self._records) > MAX_RECORDS:
            self._drop_stale()
        record = self._records.setdefault(name, _Record())
        record.waiting[attempt] = anyio.current_time()

    def note_first_event(self, name: str, attempt: typing.Hashable) -> None:
        """Record an attempt's first event; later events have no effect."""
        record = self._records.get(name)
        began_at = record.waiting.pop(attempt, None) if record else None
        if record is None or began_at is None:
            return
        now = anyio.current_time()
        average_seconds = record.first_event_seconds * _decay(
            now - record.first_event_at
        )
        record.first_event_seconds = average_seconds + EWMA_WEIGHT * (
            now - began_at - average_seconds
        )
        record.first_event_at = now
        record.failure_rate = self._failure_rate(record) * (1.0 - EWMA_WEIGHT)
        record.outcome_at = now
        record.awaits_first_event = False
        if now - record.barred_until > RECOVERY_SECONDS:
            record.bar_count = 0

    def note_ended(self, name: str, attempt: typing.Hashable) -> None:
        """Record that an attempt has ended, whatever its outcome."""
        record = self._records.get(name)
        if record is None:
            return
        record.waiting.pop(attempt, None)

    def note_failure(self, name: str) -> bool:
        """Record a failed stream; return whether this bars the engine."""
        record = self._records.setdefault(name, _Record())
        failure_rate = self._failure_rate(record)
        record.failure_rate = failure_rate + EWMA_WEIGHT * (1.0 - failure_rate)
        record.outcome_at = anyio.current_time()
        if (
            record.failure_rate < BARRED_FAILURE_RATE
            and not record.awaits_first_event
        ):
            return False
        return self.bar(name)

    def bar(self, name: str) -> bool:
        """Make new streams avoid an engine for a limited time.

        Return false if it is barred already.
        """
        record = self._records.setdefault(name, _Record())
        now = anyio.current_time()
        if now < record.barred_until:
            return False
        seconds = BARRED_SECONDS * 2.0**record.bar_count
        record.barred_until = now + min(seconds, MAX_BARRED_SECONDS)
        record.bar_count += 1
        record.awaits_first_event = True
        return True

    def is_barred(self, name: str) -> bool:
        """Whether new streams should avoid an engine now."""
        record = self._records.get(name)
        if record is None or not record.awaits_first_event:
            return False
        if anyio.current_time() < record.barred_until:
            return True
        return bool(record.waiting)

    def first_event_seconds(self, name: str) -> float:
        """Return how many seconds first events take at an engine.

        An attempt that is still waiting counts once it has taken longer than
        the average of past ones.
        """
        record = self._records.get(name)
        if record is None:
            return 0.0
        now = anyio.current_time()
        average_seconds = record.first_event_seconds * _decay(
            now - record.first_event_at
        )
        oldest = next(iter(record.waiting.values()), now)
        return max(average_seconds, now - oldest)

    def has_first_event_since(self, name: str, since: float) -> bool:
        """Whether any stream had its first event since ``since``."""
        record = self._records.get(name)
        return record is not None and record.first_event_at >= since

    def has_fast_alternative(self, name: str, seconds: float) -> bool:
        """Whether another engine's streams begin within ``seconds``."""
        now = anyio.current_time()
        return any(
            other != name
            and now - record.first_event_at < HALF_LIFE_SECONDS
            and record.first_event_seconds < seconds
            and not self.is_barred(other)
            and self.first_event_seconds(other) < seconds
            for other, record in self._records.items()
        )

    def is_another_engine_slow(self, name: str, seconds: float) -> bool:
        """Whether streams at another engine take over ``seconds`` to begin."""
        return any(
            other != name and self.first_event_seconds(other) > seconds
            for other in self._records
        )

    def cost(self, name: str, objective_seconds: float) -> float:
        """Return the cost of an engine by its record, in ms a token.

        :param objective_seconds: latency objective of the first event.
        """
        record = self._records.get(name)
        if record is None:
            return 0.0
        if self.is_barred(name):
            return BARRED_MS
        lateness = self.first_event_seconds(name) / max(
            objective_seconds, 1e-3
        )
        return LATE_MS * lateness + FAILURE_MS * self._failure_rate(record)

    def _failure_rate(self, record: _Record) -> float:
        age_seconds = anyio.current_time() - record.outcome_at
        return record.failure_rate * _decay(age_seconds)

    def _drop_stale(self) -> None:
        for name, record in list(self._records.items()):
            if not record.waiting and self._is_stale(record):
                del self._records[name]

    def _is_stale(self, record: _Record) -> bool:
        """Whether a record is too old to matter."""
        now = anyio.current_time()
        newest = max(
            record.first_event_at, record.outcome_at, record.barred_until
        )
        return now - newest > RECOVERY_SECONDS


def _decay(age_seconds: float) -> float:
    """Return the factor by which a value has decayed at an age."""
    return float(0.5 ** (age_seconds / HALF_LIFE_SECONDS))
