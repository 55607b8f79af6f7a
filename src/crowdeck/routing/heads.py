# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""How first engines have served this entry's streams lately.

An engine may answer its status checks and reports and yet fail or hold up
what it is given, so what counts here is what became of real streams.
"""

import typing

import anyio
import attrs

# Weight of the newest first event, and of the newest outcome.
NEWEST = 0.25
# What was seen counts half as much after so long: about the time in which
# the streams that filled an engine have ended.
FORGET_SECONDS = 2.0
# An engine is barred when this share of its streams failed lately. One
# failure alone makes 0.25 and two in a row 0.44: answers that are spoilt
# now and then, one in forty on a bad day, bar nobody.
BARRED_SHARE = 0.4
# For so long it gets nothing, twice as long each further time, and then
# one stream at a time until one has begun.
BARRED_SECONDS = 1.0
BARRED_MOST_SECONDS = 8.0
# Times for which it was barred are forgotten when it served this long.
SOUND_SECONDS = 10.0
# A first event that takes its whole objective costs as much as going to
# another zone twice over (routing.hops has what that costs), in ms a
# token; so at half of the objective a quicker zone is worth going to.
LATE_MS = 16.0
# An engine that fails every stream; one failure alone stays below the
# cost of another zone.
FAILURE_MS = 20.0
# A barred engine is chosen only where there is no other.
BARRED_MS = 10_000.0
# Records beyond which those that say nothing any more are dropped: engines
# come and go all day, and each start of one has a name of its own.
MAX_RECORDS = 200


@attrs.define(eq=False)
class _Record:
    """What is known of one engine.

    :ivar waiting: when each attempt began that has no event yet, oldest
        first, by the attempt's key.
    :ivar bars: times that it was barred, less those long ago.
    """

    first_seconds: float = 0.0
    first_at: float = float("-inf")
    failure: float = 0.0
    failed_at: float = float("-inf")
    barred_until: float = float("-inf")
    bars: int = 0
    is_on_trial: bool = False
    waiting: dict[typing.Hashable, float] = attrs.field(factory=dict)


class HeadRecords:
    """Times and failures of first engines, as one entry saw them."""

    def __init__(self) -> None:
        self._records: dict[str, _Record] = {}

    def __len__(self) -> int:
        """Return how many engines something is known of."""
        return len(self._records)

    def begin(self, name: str, attempt: typing.Hashable) -> None:
        """Note that an attempt at a stream was sent to an engine."""
        if len(self._records) > MAX_RECORDS:
            self._drop_forgotten()
        record = self._records.setdefault(name, _Record())
        record.waiting[attempt] = anyio.current_time()

    def first_event(self, name: str, attempt: typing.Hashable) -> None:
        """Note that an attempt's first event came."""
        record = self._records.get(name)
        began = record.waiting.pop(attempt, None) if record else None
        if record is None or began is None:
            return
        now = anyio.current_time()
        before = record.first_seconds * _faded(now - record.first_at)
        record.first_seconds = before + NEWEST * (now - began - before)
        record.first_at = now
        record.failure = self._failure(record) * (1.0 - NEWEST)
        record.failed_at = now
        record.is_on_trial = False
        if now - record.barred_until > SOUND_SECONDS:
            record.bars = 0

    def end(self, name: str, attempt: typing.Hashable) -> None:
        """Note that an attempt has ended, whatever came of it."""
        record = self._records.get(name)
        if record is None:
            return
        record.waiting.pop(attempt, None)

    def fail(self, name: str) -> bool:
        """Note a stream that failed; returns whether this bars the engine."""
        record = self._records.setdefault(name, _Record())
        failure = self._failure(record)
        record.failure = failure + NEWEST * (1.0 - failure)
        record.failed_at = anyio.current_time()
        if record.failure < BARRED_SHARE and not record.is_on_trial:
            return False
        return self.bar(name)

    def bar(self, name: str) -> bool:
        """Give an engine no new streams for a while.

        Returns false where that is so already.
        """
        record = self._records.setdefault(name, _Record())
        now = anyio.current_time()
        if now < record.barred_until:
            return False
        seconds = BARRED_SECONDS * 2.0**record.bars
        record.barred_until = now + min(seconds, BARRED_MOST_SECONDS)
        record.bars += 1
        record.is_on_trial = True
        return True

    def is_barred(self, name: str) -> bool:
        """Whether an engine is to get no new stream now."""
        record = self._records.get(name)
        if record is None or not record.is_on_trial:
            return False
        if anyio.current_time() < record.barred_until:
            return True
        return bool(record.waiting)

    def first_seconds(self, name: str) -> float:
        """Return how long first events take at an engine, in seconds.

        Those that are waited for count as soon as they take longer than
        the ones that came.
        """
        record = self._records.get(name)
        if record is None:
            return 0.0
        now = anyio.current_time()
        came = record.first_seconds * _faded(now - record.first_at)
        oldest = next(iter(record.waiting.values()), now)
        return max(came, now - oldest)

    def has_first_event_since(self, name: str, since: float) -> bool:
        """Whether any stream had its first event since a time."""
        record = self._records.get(name)
        return record is not None and record.first_at >= since

    def has_fast_alternative(self, name: str, seconds: float) -> bool:
        """Whether another engine's streams begin within ``seconds``."""
        now = anyio.current_time()
        return any(
            other != name
            and now - record.first_at < FORGET_SECONDS
            and record.first_seconds < seconds
            and not self.is_barred(other)
            and self.first_seconds(other) < seconds
            for other, record in self._records.items()
        )

    def has_slow_alternative(self, name: str, seconds: float) -> bool:
        """Whether streams at another engine take over ``seconds`` to begin."""
        return any(
            other != name and self.first_seconds(other) > seconds
            for other in self._records
        )

    def cost(self, name: str, objective: float) -> float:
        """Return what these records make an engine cost, in ms a token.

        :param objective: seconds in which a first event is in time.
        """
        record = self._records.get(name)
        if record is None:
            return 0.0
        if self.is_barred(name):
            return BARRED_MS
        late = self.first_seconds(name) / max(objective, 1e-3)
        return LATE_MS * late + FAILURE_MS * self._failure(record)

    def _failure(self, record: _Record) -> float:
        age = anyio.current_time() - record.failed_at
        return record.failure * _faded(age)

    def _drop_forgotten(self) -> None:
        for name, record in list(self._records.items()):
            if not record.waiting and self._is_forgotten(record):
                del self._records[name]

    def _is_forgotten(self, record: _Record) -> bool:
        """Whether a record says nothing any more."""
        now = anyio.current_time()
        newest = max(record.first_at, record.failed_at, record.barred_until)
        return now - newest > SOUND_SECONDS


def _faded(age: float) -> float:
    return float(0.5 ** (age / FORGET_SECONDS))
