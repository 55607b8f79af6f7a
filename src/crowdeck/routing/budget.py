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

# Buckets per window. In the bucket in which a window begins, retries count
# and requests earn nothing.
WINDOW_BUCKETS = 40

# Windows that begin up to this many buckets from now must also cover the
# retries in flight.
BUCKETS_AHEAD = WINDOW_BUCKETS // 2

# Retries that a process left in flight count for this many windows after its
# end.
RESTART_WINDOWS = 1.0 + BUCKETS_AHEAD / WINDOW_BUCKETS


class Membership(typing.Protocol):
    """What an entry knows of the entries that share its budget."""

    @property
    def entries(self) -> int:
        """Number of entries, this one included; 0 while unknown."""
        ...

    @property
    def since(self) -> float:
        """Loop time from which the other entries count this one."""
        ...

    @property
    def is_settled(self) -> bool:
        """Whether entries that started at the same time are counted."""
        ...


@attrs.frozen
class FixedMembership:
    """A constant number of entries."""

    entries: int = 1
    since: float = float("-inf")
    is_settled: bool = True


class _BucketCounter:
    """Event counts for the newest ``kept`` time buckets.

    :param seconds: length of a bucket.
    """

    def __init__(self, seconds: float, kept: int) -> None:
        self._seconds = seconds
        self._counts = collections.deque([0] * kept, kept)
        self._newest: int | None = None

    def add(self, ago: float = 0.0) -> None:
        """Count one event ``ago`` seconds before now."""
        self._advance()
        then = math.floor((anyio.current_time() - ago) / self._seconds)
        passed = self._current_bucket() - then
        if passed < len(self._counts):
            self._counts[-1 - passed] += 1

    def newest_first(self) -> list[int]:
        """Return the counts, that of the current bucket first."""
        self._advance()
        return list(reversed(self._counts))

    def _advance(self) -> None:
        present = self._current_bucket()
        passed = 0 if self._newest is None else present - self._newest
        self._newest = present
        self._counts.extend([0] * min(passed, len(self._counts)))

    def _current_bucket(self) -> int:
        return math.floor(anyio.current_time() / self._seconds)


@attrs.frozen
class _CacheKey:
    """Key of the cached number of remaining retries.

    It leaves out requests and time within a bucket.

    :ivar bucket: number of the current bucket.
    :ivar changes: retries counted as sent, arrived, abandoned or cancelled.
    """

    bucket: int
    changes: int
    entries: int
    is_settled: bool


class _Arrivals:
    """Retries that arrived within a window, and those in flight.

    :ivar changes: retries counted as sent, arrived, abandoned or cancelled.
    :param window_seconds: length of the window.
    """

    def __init__(self, window_seconds: float) -> None:
        self.changes = 0
        self._window_seconds = window_seconds
        self._bucket_seconds = window_seconds / WINDOW_BUCKETS
        self._arrived = _BucketCounter(
            self._bucket_seconds, WINDOW_BUCKETS + 1
        )
        # Times until which the retries count in future windows, ascending.
        self._in_flight: list[float] = []
        self._abandoned: list[float] = []

    def newest_first(self) -> list[int]:
        """Return the retries since each bucket, the newest first."""
        self._settle_abandoned()
        in_flight = len(self._in_flight) + len(self._abandoned)
        arrived = itertools.accumulate(self._arrived.newest_first())
        return [in_flight + count for count in arrived]

    def counts_ahead(self) -> list[int]:
        """Return the retries that may still arrive in each future window."""
        if not self._in_flight and not self._abandoned:
            return [0] * BUCKETS_AHEAD
        present = math.floor(anyio.current_time() / self._bucket_seconds)
        return [
            _count_from(
                self._in_flight, (present + ahead) * self._bucket_seconds
            )
            + _count_from(
                self._abandoned, (present + ahead) * self._bucket_seconds
            )
            for ahead in range(1, BUCKETS_AHEAD + 1)
        ]

    def note_sent(self) -> float:
        """Count a retry as in flight.

        Return the time until which it counts in future windows.
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
        closed = bisect.bisect_right(self._abandoned, now)
        for until in self._abandoned[:closed]:
            # This may run long after that time.
            self._arrived.add(now - until)
        del self._abandoned[:closed]


def _count_from(times: list[float], since: float) -> int:
    return len(times) - bisect.bisect_left(times, since)


class SharedRetryBudget:
    """This entry's share of a service's retry budget in a sliding window.

    All entries together may retry ``ratio`` of the requests, and ``slack``
    more, in any window. Entries do not coordinate, and callers move between
    them, so each entry keeps to its share in every window that contains the
    present. A window's retries are earned by the requests of the window
    before it: those of all entries come from the same time, and no request
    earns twice. A retry in flight may arrive in a later window, so it must
    also be covered by what requests so far earn there.

    An entry has a part of the slack from when the others count it. What its
    own requests earn is its own in any case.

    A new process does not know what its predecessors spent. Its share grows
    from zero to ``RESTART_SHARE`` over one window, which bounds what several
    processes spend one after the other, and becomes ``STEADY_SHARE`` once
    nothing that they left in flight still counts.

    :param ratio: retries allowed for each request.
    :param slack: retries allowed on top, by all entries together.
    :param window_seconds: length of the sliding window.
    :param began: loop time at which this process was started.
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
        self._retries = _Arrivals(window_seconds)
        self._cache_key: _CacheKey | None = None
        self._remaining = 0.0
        self._requests = _BucketCounter(
            window_seconds / WINDOW_BUCKETS, 2 * WINDOW_BUCKETS
        )

    @property
    def remaining(self) -> float:
        """Retries that may be made now.

        Cached, because waiting streams ask many times a second.
        """
        cache_key = _CacheKey(
            math.floor(
                anyio.current_time() * WINDOW_BUCKETS / self._window_seconds
            ),
            self._retries.changes,
            self._membership.entries,
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
        """Return the sums of the newest buckets, from none to all of them."""
        counts = self._requests.newest_first()
        return [0, *itertools.accumulate(counts)]

    def _compute_remaining(self) -> float:
        cumulative = self._cumulative_requests()
        earned = [*self._earned(cumulative), *self._earned_ahead(cumulative)]
        share = self._share_since(self._began)
        slack = self._slack_share()
        spent = [*self._retries.newest_first(), *self._retries.counts_ahead()]
        return min(
            share * allowed + slack - retries
            for allowed, retries in zip(earned, spent, strict=True)
        )

    def _earned(self, cumulative: list[int]) -> list[float]:
        """Return what requests earned for each window, the newest first.

        There is one item for each bucket in which a window that contains
        the present can begin. Only buckets that are wholly in the window
        before it count.
        """
        return [
            self._ratio
            * (cumulative[bucket + WINDOW_BUCKETS] - cumulative[bucket + 1])
            for bucket in range(WINDOW_BUCKETS + 1)
        ]

    def _earned_ahead(self, cumulative: list[int]) -> list[float]:
        """Return what requests so far earn for each window to come."""
        return [
            self._ratio * cumulative[WINDOW_BUCKETS - ahead]
            for ahead in range(1, BUCKETS_AHEAD + 1)
        ]

    def _slack_share(self) -> float:
        """Return this entry's part of the slack.

        It is 0 while the number of entries is unknown, and no more than
        that of a new process while some entries may not be counted.
        """
        entries = self._membership.entries
        if not entries:
            return 0.0
        since = max(self._began, self._membership.since)
        share = self._share_since(since)
        if not self._membership.is_settled:
            share = min(share, RESTART_SHARE)
        return share * self._slack / entries

    def _share_since(self, since: float) -> float:
        """Return the part of a share that may be spent this long after."""
        age = max(0.0, anyio.current_time() - since)
        if age >= RESTART_WINDOWS * self._window_seconds:
            return STEADY_SHARE
        return RESTART_SHARE * min(1.0, age / self._window_seconds)


class SendTracker:
    """Tracks how often one request is sent, and which sends have arrived.

    A retry counts from its reservation until one window after its arrival,
    since it may wait for a path, a connection or an unresponsive instance.
    A send that was given up without an answer may arrive after later ones,
    so for one window those count as if they had been given up too.

    :param budget: the budget in which retries are reserved.
    :param retries: where they are counted.
    :param window_seconds: length of the budget's window.
    """

    def __init__(
        self,
        budget: SharedRetryBudget,
        retries: _Arrivals,
        window_seconds: float,
    ) -> None:
        self._budget = budget
        self._retries = retries
        self._window_seconds = window_seconds
        self._reserved_until: float | None = None
        self._is_sent = False
        self._abandoned_until = float("-inf")

    def reserve(self) -> bool:
        """Reserve a retry; false where the budget is spent.

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
