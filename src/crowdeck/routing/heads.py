# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Records of how first engines served this entry's recent streams.

An engine may answer status checks and still fail or delay its streams, so
only the outcomes of real streams count.
"""

from __future__ import annotations

import typing

import anyio
import attrs

if typing.TYPE_CHECKING:
    # Entries of fleets that rank no streams must not load this module.
    from crowdeck.routing import head_queue

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
# First events of which less than this is left no longer make up a mean.
MIN_RECENT_COUNT = 0.1
# An attempt without an event says nothing of its engine before this time.
MIN_LATE_SECONDS = 0.25
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


@attrs.frozen
class FirstEvents:
    """Recent first events at one engine, as this entry saw them.

    :ivar starting: attempts that have had no event yet.
    :ivar seconds: mean time to a first event; as
        :meth:`HeadRecords.first_event_seconds`, it decays while there is
        none.
    :ivar count: streams on which the mean rests; older ones count less.
    """

    starting: int
    seconds: float
    count: float


@attrs.define(eq=False)
class _Record:
    """What is known about one engine. Times are loop times.

    :ivar first_event_seconds: moving average of the time to a first event.
    :ivar first_event_at: when a stream last had its first event.
    :ivar newest_began_at: start time of the newest attempt that had one.
    :ivar recent_seconds: sum of the times to first events, decayed to
        ``first_event_at``.
    :ivar recent_count: number of first events, decayed likewise.
    :ivar failure_rate: moving average of the share of failed streams.
    :ivar outcome_at: when the failure rate was last updated.
    :ivar barred_until: end of the last bar.
    :ivar bar_count: number of bars since it last recovered, which sets the
        duration of the next one.
    :ivar awaits_first_event: whether no stream has had its first event since
        the engine was barred.
    :ivar waiting: start times of attempts without an event, by the
        attempt's key, oldest first.
    :ivar queue: how the time to a first event grows with those waiting;
        ``None`` where it is not used.
    """

    first_event_seconds: float = 0.0
    first_event_at: float = float("-inf")
    newest_began_at: float = float("-inf")
    recent_seconds: float = 0.0
    recent_count: float = 0.0
    failure_rate: float = 0.0
    outcome_at: float = float("-inf")
    barred_until: float = float("-inf")
    bar_count: int = 0
    awaits_first_event: bool = False
    waiting: dict[typing.Hashable, float] = attrs.field(factory=dict)
    queue: head_queue.HeadQueue | None = None


class HeadRecords:
    """Latency and failures of paths' first engines (heads) at this entry.

    Engines are given by name, and attempts by any key that is unique while
    they last.
    """

    def __init__(self) -> None:
        self._records: dict[str, _Record] = {}
        self._make_queue: typing.Callable[[], head_queue.HeadQueue] | None = (
            None
        )
        self._starting_elsewhere: typing.Callable[[str], int] = lambda _: 0

    def __len__(self) -> int:
        """Return the number of engines with a record."""
        return len(self._records)

    def use_queues(
        self,
        make_queue: typing.Callable[[], head_queue.HeadQueue],
        starting_elsewhere: typing.Callable[[str], int],
    ) -> None:
        """Foretell first events from the streams that wait at an engine.

        :param make_queue: returns a new queue; called for each engine.
        :param starting_elsewhere: returns how many streams of other entries
            wait, by name of the engine.
        """
        self._make_queue = make_queue
        self._starting_elsewhere = starting_elsewhere

    def note_begun(self, name: str, attempt: typing.Hashable) -> None:
        """Record that an attempt at a stream was sent to an engine."""
        if len(self._records) > MAX_RECORDS:
            self._drop_stale()
        record = self._records.setdefault(name, _Record())
        if record.queue is None and self._make_queue is not None:
            record.queue = self._make_queue()
        if record.queue is not None:
            record.queue.note_begun(attempt, self._starting(name))
        record.waiting[attempt] = anyio.current_time()

    def note_first_event(self, name: str, attempt: typing.Hashable) -> None:
        """Record an attempt's first event; later events have no effect."""
        record = self._records.get(name)
        began_at = record.waiting.pop(attempt, None) if record else None
        if record is None or began_at is None:
            return
        now = anyio.current_time()
        if record.queue is not None:
            record.queue.note_first_event(attempt, now - began_at)
        decay = _decay(now - record.first_event_at)
        average_seconds = record.first_event_seconds * decay
        record.first_event_seconds = average_seconds + EWMA_WEIGHT * (
            now - began_at - average_seconds
        )
        record.recent_seconds = record.recent_seconds * decay + now - began_at
        record.recent_count = record.recent_count * decay + 1.0
        record.first_event_at = now
        record.newest_began_at = max(began_at, record.newest_began_at)
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
        if record.queue is not None:
            record.queue.note_ended(attempt)

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

    def expected_first_event_seconds(self, name: str) -> float | None:
        """Return how many seconds the first event of a new stream will take.

        Counts the streams that wait for theirs at the engine; ``None`` while
        it cannot be told that each of them adds to it.
        """
        record = self._records.get(name)
        if record is None or record.queue is None:
            return None
        seconds = record.queue.expected_seconds(self._starting(name))
        if seconds is None:
            return None
        now = anyio.current_time()
        oldest = next(iter(record.waiting.values()), now)
        return max(seconds, now - oldest)

    def recent_first_events(self) -> dict[str, FirstEvents]:
        """Return the first events of each engine that has recent ones."""
        now = anyio.current_time()
        found = {
            name: _first_events(record, now)
            for name, record in self._records.items()
        }
        return {
            name: first_events
            for name, first_events in found.items()
            if first_events.starting or first_events.count
        }

    def has_first_event_since(self, name: str, since: float) -> bool:
        """Whether any stream had its first event since ``since``."""
        record = self._records.get(name)
        return record is not None and record.first_event_at >= since

    def has_passed_over(self, name: str, attempt: typing.Hashable) -> bool:
        """Whether a later attempt had its first event before this one."""
        record = self._records.get(name)
        began_at = record.waiting.get(attempt) if record else None
        return (
            record is not None
            and began_at is not None
            and record.newest_began_at > began_at
        )

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

    def _starting(self, name: str) -> int:
        """Return how many streams, of all entries, wait at an engine."""
        return len(self._records[name].waiting) + self._starting_elsewhere(
            name
        )

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


def _first_events(record: _Record, now: float) -> FirstEvents:
    decay = _decay(now - record.first_event_at)
    count = record.recent_count * decay
    mean_seconds = 0.0
    if count >= MIN_RECENT_COUNT:
        mean_seconds = record.recent_seconds / record.recent_count * decay
    else:
        count = 0.0
    # Attempts that already wait longer than the mean raise it: an engine that
    # begins no stream has no first events to tell of it.
    late_seconds = [
        now - began_at
        for began_at in record.waiting.values()
        if now - began_at > max(mean_seconds, MIN_LATE_SECONDS)
    ]
    total_count = count + len(late_seconds)
    if total_count:
        total_seconds = mean_seconds * count + sum(late_seconds)
        mean_seconds = total_seconds / total_count
    return FirstEvents(len(record.waiting), mean_seconds, total_count)


def _decay(age_seconds: float) -> float:
    """Return the factor by which a value has decayed at an age."""
    return float(0.5 ** (age_seconds / HALF_LIFE_SECONDS))
