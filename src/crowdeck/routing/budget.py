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

# The part of an entry's share that a running process spends; the rest is
# for processes that replace it within a window. None of them knows what its
# predecessors spent, so the parts must not add up to more than the share.
STEADY_SHARE = 0.8
RESTART_SHARE = 1.0 - STEADY_SHARE

# Buckets per window. In the bucket in which a window begins, all retries count
# and no request earns, so that rounding never allows too many retries.
WINDOW_BUCKETS = 40

# Retries in flight count in the windows that begin up to this many buckets
# from now, as they may still arrive there.
BUCKETS_AHEAD = WINDOW_BUCKETS // 2

# How long retries that a process left in flight may count after its end, in
# windows.
RESTART_WINDOWS = 1.0 + BUCKETS_AHEAD / WINDOW_BUCKETS


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


@attrs.frozen
class FixedMembership:
    """A constant number of entries."""

    entry_count: int = 1
    registered_at: float = float("-inf")
    is_settled: bool = True


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

    New requests and the time within a bucket do not change the key: what they
    earn is counted in the next bucket at the latest.

    :ivar bucket: number of the current bucket.
    :ivar changes: see :class:`_RetryCounts`.
    """

    bucket: int
    changes: int
    entries: int
    is_settled: bool


class _RetryCounts:
    """Counts of the retries that arrived recently, and of those in flight.

    :ivar changes: how often a retry was counted as sent, arrived, abandoned
        or cancelled.
    :param window_seconds: length of the budget's window.
    """

    def __init__(self, window_seconds: float) -> None:
        self.changes = 0
        self._window_seconds = window_seconds
        self._bucket_seconds = window_seconds / WINDOW_BUCKETS
        self._arrived = _BucketCounter(
            self._bucket_seconds, WINDOW_BUCKETS + 1
        )
        # Loop times until which the retries count in future windows,
        # ascending.
        self._in_flight: list[float] = []
        self._abandoned: list[float] = []

    def counts_since(self) -> list[int]:
        """Return the retries that count from each bucket on, newest first.

        Those in flight count from every bucket on.
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

    def note_sent(self) -> float:
        """Count a retry as in flight.

        Return the loop time until which it counts in future windows, by
        which the other methods identify it.
        """
        self.changes += 1
        until = anyio.current_time() + self._window_seconds
        self._in_flight.append(until)
        return until

    def note_arrived(self, until: float) -> None:
        """Count a retry in flight as arrived now."""
        self.note_cancelled(until)
        self._arrived.add()

    def note_abandoned(self, until: float) -> None:
        """Count a retry as in flight for one more window, then as arrived."""
        self.note_cancelled(until)
        self._abandoned.append(anyio.current_time() + self._window_seconds)

    def note_cancelled(self, until: float) -> None:
        """Stop counting a retry in flight."""
        self.changes += 1
        del self._in_flight[bisect.bisect_left(self._in_flight, until)]

    def _settle_abandoned(self) -> None:
        """Count abandoned retries as arrived once their time is over."""
        now = anyio.current_time()
        expired_count = bisect.bisect_right(self._abandoned, now)
        for until in self._abandoned[:expired_count]:
            # That time may lie in an earlier bucket.
            self._arrived.add(now - until)
        del self._abandoned[:expired_count]


def _count_from(times: list[float], since: float) -> int:
    """Return how many of the ascending times are at ``since`` or later."""
    return len(times) - bisect.bisect_left(times, since)


class SharedRetryBudget:
    """This entry's share of a service's retry budget in a sliding window.

    In any window, all entries together may send ``ratio`` retries for each
    request, and ``slack`` more. Entries do not coordinate, and callers move
    between them, so each entry keeps to its share in every window that
    contains the current time. The retries of a window are earned by the
    requests of the window before it, so that all entries count requests of
    the same period and no request earns twice. A retry in flight may arrive
    in a later window, so requests so far must have earned it there too.

    An entry gets a part of the slack once the other entries count it. What
    its own requests earn is not divided between entries.

    A new process does not know what its predecessors spent. Its share grows
    from zero to ``RESTART_SHARE`` over one window, which bounds what several
    processes spend one after the other, and becomes ``STEADY_SHARE`` once
    nothing that they left in flight still counts.

    :param ratio: retries that each request earns.
    :param slack: further retries that all entries together may send in a
        window.
    :param window_seconds: length of the sliding window.
    :param began: loop time at which this process started.
    :param membership: the entries that share the slack.
    """

    def __init__(
        self,
        ratio: float,
        slack: float,
        window_seconds: float,
        began: float = float("-inf"),
        membership: Membership = FixedMembership(),
    ) -> None:
        self._ratio = ratio
        self._slack = slack
        self._window_seconds = window_seconds
        self._began = began
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
        allowed = self._share_since(self._began) * earned + self._slack_share()
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
        """Return the requests in the newest 0, 1, 2, ... all buckets."""
        counts = self._requests.newest_first()
        return [0, *itertools.accumulate(counts)]

    def _compute_remaining(self) -> float:
        cumulative = self._cumulative_requests()
        earned = [*self._earned(cumulative), *self._earned_ahead(cumulative)]
        share = self._share_since(self._began)
        slack = self._slack_share()
        spent = [*self._retries.counts_since(), *self._retries.counts_ahead()]
        return min(
            share * allowed + slack - retries
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

        It is 0 while the number of entries is unknown, and no more than
        a new process gets while some entries may not be counted.
        """
        entry_count = self._membership.entry_count
        if not entry_count:
            return 0.0
        since = max(self._began, self._membership.registered_at)
        share = self._share_since(since)
        if not self._membership.is_settled:
            share = min(share, RESTART_SHARE)
        return share * self._slack / entry_count

    def _share_since(self, since: float) -> float:
        """Return the part of a share that may be spent now, 0 to 1.

        :param since: loop time from which this process has the share.
        """
        age_seconds = max(0.0, anyio.current_time() - since)
        if age_seconds >= RESTART_WINDOWS * self._window_seconds:
            return STEADY_SHARE
        return RESTART_SHARE * min(1.0, age_seconds / self._window_seconds)


class SendTracker:
    """Tracks how often one request is sent, and which sends have arrived.

    A retry counts from its reservation until one window after its arrival,
    since it may wait for a path, a connection or an unresponsive instance.
    An abandoned send may arrive after later sends, so retries that arrive
    within one window after it count as abandoned too.

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
        self._reserved_until: float | None = None
        self._is_sent = False
        self._abandoned_until = float("-inf")

    def reserve(self) -> bool:
        """Reserve a retry; return false if the budget is spent.

        An unused reservation is kept for the next retry.
        """
        if self._reserved_until is not None:
            return True
        if self._budget.remaining < 1.0:
            return False
        self._reserved_until = self._retries.note_sent()
        return True

    def note_sent(self) -> None:
        """Record that the request is sent, for the first time or again."""
        self._is_sent = True

    def note_arrived(self) -> None:
        """Record that the last send has arrived."""
        if not self._is_sent:
            return
        self._is_sent = False
        until = self._take_reservation()
        if until is None:
            return
        if self._abandoned_until > anyio.current_time():
            self._retries.note_abandoned(until)
        else:
            self._retries.note_arrived(until)

    def note_send_failed(self) -> None:
        """Record that the last send failed before any connection was made."""
        self._is_sent = False

    def note_abandoned(self) -> None:
        """Record that the last send is abandoned; it may still arrive."""
        if not self._is_sent:
            return
        self._is_sent = False
        self._abandoned_until = anyio.current_time() + self._window_seconds
        until = self._take_reservation()
        if until is not None:
            self._retries.note_abandoned(until)

    def close(self) -> None:
        """Abandon the last send and release an unused reservation."""
        self.note_abandoned()
        until = self._take_reservation()
        if until is not None:
            self._retries.note_cancelled(until)

    def _take_reservation(self) -> float | None:
        until, self._reserved_until = self._reserved_until, None
        return until
