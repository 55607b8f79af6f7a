# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""A retry budget that entries share without coordination."""

import bisect
import collections
import itertools
import math
import typing

import anyio
import attrs

# Parts of an entry's share that a process may spend: up to RESTART_SHARE while
# it is younger than STEADY_AFTER_WINDOWS windows, then STEADY_SHARE. A process
# does not know what its predecessors spent, so the parts add up to no more
# than the share.
STEADY_SHARE = 0.8
RESTART_SHARE = 1.0 - STEADY_SHARE

# Buckets per window. The bucket in which a window begins is only partly inside
# it. All its retries count and none of its requests earn, so rounding never
# allows too many retries.
WINDOW_BUCKETS = 40

# Retries in flight count in the windows that begin up to this many buckets
# from now, as they may still arrive there. For windows further ahead, few of
# the requests so far would earn retries.
BUCKETS_AHEAD = WINDOW_BUCKETS // 2

# Age of a process, in windows, from which it may spend STEADY_SHARE: no retry
# that its predecessor left in flight counts any more.
STEADY_AFTER_WINDOWS = 1.0 + BUCKETS_AHEAD / WINDOW_BUCKETS


class Membership(typing.Protocol):
    """What an entry knows about the entries that share its budget."""

    @property
    def entry_count(self) -> int:
        """Number of entries, this one included; 0 while unknown."""
        ...

    @property
    def registered_at(self) -> float:
        """Loop time from which the other entries count this one."""
        ...

    @property
    def is_settled(self) -> bool:
        """Whether entries that started at the same time are counted too."""
        ...

    @property
    def is_outdated(self) -> bool:
        """Whether entries may have registered that are not counted."""
        ...

    @property
    def all_know_since(self) -> float:
        """Loop time from which each other entry counts this one.

        Entries that cannot know of it are outdated from then on.
        """
        ...


@attrs.frozen
class FixedMembership:
    """A constant number of entries."""

    entry_count: int = 1
    registered_at: float = float("-inf")
    is_settled: bool = True
    is_outdated: bool = False
    all_know_since: float = float("-inf")


class _BucketCounter:
    """Event counts of the newest time buckets.

    :param bucket_seconds: length of a bucket.
    :param bucket_count: number of buckets kept.
    """

    def __init__(self, bucket_seconds: float, bucket_count: int) -> None:
        self._bucket_seconds = bucket_seconds
        self._counts = collections.deque([0] * bucket_count, bucket_count)
        self._newest_bucket: int | None = None

    def add(self, age_seconds: float = 0.0) -> None:
        """Count an event that happened ``age_seconds`` ago."""
        self._advance()
        bucket = math.floor(
            (anyio.current_time() - age_seconds) / self._bucket_seconds
        )
        bucket_age = self._current_bucket() - bucket
        if bucket_age < len(self._counts):
            self._counts[-1 - bucket_age] += 1

    def newest_first(self) -> list[int]:
        """Return the counts, that of the current bucket first."""
        self._advance()
        return list(reversed(self._counts))

    def _advance(self) -> None:
        current = self._current_bucket()
        new_buckets = (
            0 if self._newest_bucket is None else current - self._newest_bucket
        )
        self._newest_bucket = current
        self._counts.extend([0] * min(new_buckets, len(self._counts)))

    def _current_bucket(self) -> int:
        return math.floor(anyio.current_time() / self._bucket_seconds)


@attrs.frozen
class _CacheKey:
    """Key of the cached number of remaining retries.

    New requests and the passing of time within a bucket do not change the
    key; they take effect when the next bucket begins at the latest.

    :ivar bucket: number of the current bucket.
    :ivar changes: see :class:`_RetryCounts`.
    """

    bucket: int
    changes: int
    entries: int
    is_settled: bool
    is_outdated: bool


class _RetryCounts:
    """Counts of the retries that arrived recently, and of those in flight.

    :ivar changes: how often a retry was counted as reserved, arrived,
        abandoned or cancelled.
    :param window_seconds: length of the budget's window.
    """

    def __init__(self, window_seconds: float) -> None:
        self.changes = 0
        self._window_seconds = window_seconds
        self._bucket_seconds = window_seconds / WINDOW_BUCKETS
        self._arrived = _BucketCounter(
            self._bucket_seconds, WINDOW_BUCKETS + 1
        )
        # For each such retry, the loop time until which it counts in windows
        # that begin later; ascending.
        self._in_flight: list[float] = []
        self._abandoned: list[float] = []

    def counts_since(self) -> list[int]:
        """Return the retry count of a window that begins in each bucket.

        The newest bucket is first. Retries in flight count in each window.
        """
        self._settle_abandoned()
        in_flight = len(self._in_flight) + len(self._abandoned)
        arrived = itertools.accumulate(self._arrived.newest_first())
        return [in_flight + count for count in arrived]

    def counts_ahead(self) -> list[int]:
        """Return the retries that may still arrive in each future window."""
        if not self._in_flight and not self._abandoned:
            return [0] * BUCKETS_AHEAD
        current = math.floor(anyio.current_time() / self._bucket_seconds)
        return [
            _count_from(
                self._in_flight, (current + ahead) * self._bucket_seconds
            )
            + _count_from(
                self._abandoned, (current + ahead) * self._bucket_seconds
            )
            for ahead in range(1, BUCKETS_AHEAD + 1)
        ]

    def note_reserved(self) -> float:
        """Count a reserved retry as in flight.

        Return the loop time until which it counts in future windows, by
        which the other methods identify it.
        """
        self.changes += 1
        counts_until = anyio.current_time() + self._window_seconds
        self._in_flight.append(counts_until)
        return counts_until

    def note_arrived(self, counts_until: float) -> None:
        """Count a retry in flight as arrived now."""
        self.note_cancelled(counts_until)
        self._arrived.add()

    def note_abandoned(self, counts_until: float) -> None:
        """Count a retry as in flight for one more window, then as arrived."""
        self.note_cancelled(counts_until)
        self._abandoned.append(anyio.current_time() + self._window_seconds)

    def note_cancelled(self, counts_until: float) -> None:
        """Stop counting a retry as in flight, without an arrival."""
        self.changes += 1
        del self._in_flight[bisect.bisect_left(self._in_flight, counts_until)]

    def _settle_abandoned(self) -> None:
        """Count abandoned retries as arrived once their time is over."""
        now = anyio.current_time()
        expired_count = bisect.bisect_right(self._abandoned, now)
        for counts_until in self._abandoned[:expired_count]:
            # That time may lie in an earlier bucket.
            self._arrived.add(now - counts_until)
        del self._abandoned[:expired_count]


def _count_from(times: list[float], since: float) -> int:
    """Return how many of the ascending times are at ``since`` or later."""
    return len(times) - bisect.bisect_left(times, since)


class SharedRetryBudget:
    """This entry's share of a service's retry budget in a sliding window.

    In any window, all entries together may send ``ratio`` retries for each
    request of the window before, and ``slack`` more. The slack is divided
    between entries; what an entry's own requests earn is not. Callers move
    between entries. Requests of the window before earn, since added up over
    all entries they are those of one period, and none earns in two windows.

    Each entry checks its own share for every window that contains the
    current time, and for later windows in which a retry in flight may
    arrive. The share of a new process grows from zero, since it does not
    know what its predecessors spent. It grows at a constant rate, so that
    several which start one after the other within a window together spend
    less than ``RESTART_SHARE``.

    :param ratio: retries that each request earns.
    :param slack: further retries that all entries together may send in a
        window.
    :param window_seconds: length of the sliding window.
    :param started_at: loop time at which this process started.
    :param membership: the entries that share the slack.
    """

    def __init__(
        self,
        ratio: float,
        slack: float,
        window_seconds: float,
        started_at: float = float("-inf"),
        membership: Membership = FixedMembership(),
    ) -> None:
        self._ratio = ratio
        self._slack = slack
        self._window_seconds = window_seconds
        self._started_at = started_at
        self._membership = membership
        self._retries = _RetryCounts(window_seconds)
        self._cache_key: _CacheKey | None = None
        self._remaining = 0.0
        self._requests = _BucketCounter(
            window_seconds / WINDOW_BUCKETS, 2 * WINDOW_BUCKETS
        )

    @property
    def remaining(self) -> float:
        """Retries that may be sent now.

        Cached, because waiting streams read it many times a second.
        """
        cache_key = _CacheKey(
            math.floor(
                anyio.current_time() * WINDOW_BUCKETS / self._window_seconds
            ),
            self._retries.changes,
            self._membership.entry_count,
            self._membership.is_settled,
            self._membership.is_outdated,
        )
        if cache_key != self._cache_key:
            self._remaining = self._compute_remaining()
            self._cache_key = cache_key
        return self._remaining

    @property
    def remaining_share(self) -> float:
        """The part of the allowed retries that remains, 0 to 1.

        It is 0 while less than one retry remains.
        """
        remaining = self.remaining
        if remaining < 1.0:
            return 0.0
        earned = self._earned(self._cumulative_requests())[0]
        allowed = (
            self._spendable_fraction(self._started_at) * earned
            + self._slack_share()
        )
        return min(1.0, remaining / allowed)

    @property
    def requests(self) -> int:
        """Requests in the last window."""
        return sum(self._requests.newest_first()[:WINDOW_BUCKETS])

    def earn(self) -> None:
        """Count a request."""
        self._requests.add()

    def track_sends(self) -> "SendTracker":
        """Return a tracker of one request's sends, for the caller to close."""
        return SendTracker(self, self._retries, self._window_seconds)

    def _cumulative_requests(self) -> list[int]:
        """Return the requests in the newest n buckets, for each n from 0."""
        counts = self._requests.newest_first()
        return [0, *itertools.accumulate(counts)]

    def _compute_remaining(self) -> float:
        cumulative = self._cumulative_requests()
        earned = [*self._earned(cumulative), *self._earned_ahead(cumulative)]
        fraction = self._spendable_fraction(self._started_at)
        slack = self._slack_share()
        spent = [*self._retries.counts_since(), *self._retries.counts_ahead()]
        return min(
            fraction * allowed + slack - retries
            for allowed, retries in zip(earned, spent, strict=True)
        )

    def _earned(self, cumulative: list[int]) -> list[float]:
        """Return the retries earned for each window, the newest first.

        There is one item for each bucket in which a window that contains
        the current time can begin. Only buckets that are wholly in the
        window before it earn.
        """
        return [
            self._ratio
            * (cumulative[bucket + WINDOW_BUCKETS] - cumulative[bucket + 1])
            for bucket in range(WINDOW_BUCKETS + 1)
        ]

    def _earned_ahead(self, cumulative: list[int]) -> list[float]:
        """Return the retries that requests so far earn for future windows."""
        return [
            self._ratio * cumulative[WINDOW_BUCKETS - ahead]
            for ahead in range(1, BUCKETS_AHEAD + 1)
        ]

    def _slack_share(self) -> float:
        """Return this entry's part of the slack, in retries.

        It is 0 while the number of entries is unknown. While that number is
        not settled, or others may not count this entry, it is limited to the
        part of a new process. An entry whose number is outdated reckons with
        one more: together with the parts of as many as three that join one,
        or of half as many as are cut off, the slack is not exceeded.
        """
        membership = self._membership
        entry_count = membership.entry_count
        if not entry_count:
            return 0.0
        since = max(self._started_at, membership.registered_at)
        fraction = self._spendable_fraction(since)
        if not membership.is_settled or not self._is_counted_by_all():
            fraction = min(fraction, RESTART_SHARE)
        if membership.is_outdated:
            entry_count += 1
        return fraction * self._slack / entry_count

    def _is_counted_by_all(self) -> bool:
        """Whether no retry counts that others sent without counting this."""
        age_seconds = anyio.current_time() - self._membership.all_know_since
        return age_seconds >= STEADY_AFTER_WINDOWS * self._window_seconds

    def _spendable_fraction(self, since: float) -> float:
        """Return the fraction of a share that may be spent now, 0 to 1.

        :param since: loop time from which this process has the share.
        """
        age_seconds = max(0.0, anyio.current_time() - since)
        if age_seconds >= STEADY_AFTER_WINDOWS * self._window_seconds:
            return STEADY_SHARE
        return RESTART_SHARE * min(1.0, age_seconds / self._window_seconds)


class SendTracker:
    """Tracks how often one request is sent, and which sends have arrived.

    A retry counts from its reservation until one window after its arrival,
    since it may wait for a path, a connection or an unresponsive instance.
    An abandoned send may still arrive up to one window later, after a retry.
    Retries that arrive in that time therefore count as long as abandoned ones.

    :param budget: the budget in which retries are reserved.
    :param retries: the counts of that budget's retries.
    :param window_seconds: length of the budget's window.
    """

    def __init__(
        self,
        budget: SharedRetryBudget,
        retries: _RetryCounts,
        window_seconds: float,
    ) -> None:
        self._budget = budget
        self._retries = retries
        self._window_seconds = window_seconds
        self._reserved_retry: float | None = None
        self._is_sent = False
        self._abandoned_until = float("-inf")

    def reserve(self) -> bool:
        """Reserve a retry; return false if the budget is spent.

        An unused reservation is kept for the next retry.
        """
        if self._reserved_retry is not None:
            return True
        if self._budget.remaining < 1.0:
            return False
        self._reserved_retry = self._retries.note_reserved()
        return True

    def note_sent(self) -> None:
        """Record that the request is sent, for the first time or again."""
        self._is_sent = True

    def note_arrived(self) -> None:
        """Record that the last send has arrived."""
        if not self._is_sent:
            return
        self._is_sent = False
        counts_until = self._take_reservation()
        if counts_until is None:
            return
        if self._abandoned_until > anyio.current_time():
            self._retries.note_abandoned(counts_until)
        else:
            self._retries.note_arrived(counts_until)

    def note_send_failed(self) -> None:
        """Record that the last send failed before any connection was made."""
        self._is_sent = False

    def note_abandoned(self) -> None:
        """Record that the last send is abandoned; it may still arrive."""
        if not self._is_sent:
            return
        self._is_sent = False
        self._abandoned_until = anyio.current_time() + self._window_seconds
        counts_until = self._take_reservation()
        if counts_until is not None:
            self._retries.note_abandoned(counts_until)

    def close(self) -> None:
        """Abandon the last send unless it has arrived.

        An unused reservation is released.
        """
        self.note_abandoned()
        counts_until = self._take_reservation()
        if counts_until is not None:
            self._retries.note_cancelled(counts_until)

    def _take_reservation(self) -> float | None:
        counts_until, self._reserved_retry = self._reserved_retry, None
        return counts_until
