# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""A retry budget that entries share without asking one another."""

import bisect
import collections
import itertools
import math
import typing

import anyio
import attrs

# Of what an entry may repeat in a window, its process uses one part and the
# processes that are started in its place within the window the other. None
# of them knows what those before it spent, so the parts add up to all.
STEADY_SHARE = 0.8
RESTART_SHARE = 1.0 - STEADY_SHARE

# A window is looked at in so many parts. What falls into the part in which
# a window begins counts against it, and earns nothing.
WINDOW_PARTS = 40

# A repeat that is under way may arrive in a window that begins so many parts
# from now. Counting further ahead, few requests would be left to earn it.
PARTS_AHEAD = WINDOW_PARTS // 2

# What a process left under way may arrive in a window that begins so long
# after its end, and counts until that is over.
RESTART_WINDOWS = 1.0 + PARTS_AHEAD / WINDOW_PARTS


class Membership(typing.Protocol):
    """What an entry knows of those that share a budget with it."""

    @property
    def entries(self) -> int:
        """How many there are, this one included; 0 while not known."""
        ...

    @property
    def since(self) -> float:
        """The loop's time from which the others count this entry."""
        ...

    @property
    def is_settled(self) -> bool:
        """Whether those are counted that started at the same time."""
        ...


@attrs.frozen
class FixedMembership:
    """So many entries, for as long as the process runs."""

    entries: int = 1
    since: float = float("-inf")
    is_settled: bool = True


class _Tally:
    """Counts by parts of time, for the newest ``kept`` of them.

    :param seconds: length of a part.
    """

    def __init__(self, seconds: float, kept: int) -> None:
        self._seconds = seconds
        self._counts = collections.deque([0] * kept, kept)
        self._newest: int | None = None

    def add(self, ago: float = 0.0) -> None:
        """Count one as of ``ago`` seconds before now."""
        self._move_on()
        then = math.floor((anyio.current_time() - ago) / self._seconds)
        passed = self._present() - then
        if passed < len(self._counts):
            self._counts[-1 - passed] += 1

    def newest_first(self) -> list[int]:
        """Return the counts, that of the present part first."""
        self._move_on()
        return list(reversed(self._counts))

    def _move_on(self) -> None:
        present = self._present()
        passed = 0 if self._newest is None else present - self._newest
        self._newest = present
        self._counts.extend([0] * min(passed, len(self._counts)))

    def _present(self) -> int:
        return math.floor(anyio.current_time() / self._seconds)


@attrs.frozen
class _Basis:
    """From what it follows how many repeats are left.

    :ivar part: number of the present part of the window.
    :ivar changes: how often a repeat was sent, or its end known.
    """

    part: int
    changes: int
    entries: int
    is_settled: bool


class _Arrivals:
    """Repeats that arrived in a window, and those that still may.

    :ivar changes: how often one was sent, or its end known.
    :param window: length of the window in seconds.
    """

    def __init__(self, window: float) -> None:
        self.changes = 0
        self._window = window
        self._part = window / WINDOW_PARTS
        self._arrived = _Tally(self._part, WINDOW_PARTS + 1)
        # The times until which they may arrive, in order.
        self._under_way: list[float] = []
        self._left_open: list[float] = []

    def newest_first(self) -> list[int]:
        """Return how many count since each part in which a window begins."""
        self._close()
        open_ones = len(self._under_way) + len(self._left_open)
        arrived = itertools.accumulate(self._arrived.newest_first())
        return [open_ones + count for count in arrived]

    def next_first(self) -> list[int]:
        """Return how many may arrive from each part on that is to come."""
        if not self._under_way and not self._left_open:
            return [0] * PARTS_AHEAD
        present = math.floor(anyio.current_time() / self._part)
        return [
            _count_from(self._under_way, (present + ahead) * self._part)
            + _count_from(self._left_open, (present + ahead) * self._part)
            for ahead in range(1, PARTS_AHEAD + 1)
        ]

    def send(self) -> float:
        """Count one that is on its way; returns until when it may arrive."""
        self.changes += 1
        until = anyio.current_time() + self._window
        self._under_way.append(until)
        return until

    def arrive(self, until: float) -> None:
        """Count one that was on its way as arrived by now."""
        self.cancel(until)
        self._arrived.add()

    def leave_open(self, until: float) -> None:
        """Count one as on its way for one window more, then as arrived."""
        self.cancel(until)
        self._left_open.append(anyio.current_time() + self._window)

    def cancel(self, until: float) -> None:
        """Count one no more that was on its way."""
        self.changes += 1
        del self._under_way[bisect.bisect_left(self._under_way, until)]

    def _close(self) -> None:
        """Count those as arrived that were open for long enough."""
        now = anyio.current_time()
        closed = bisect.bisect_right(self._left_open, now)
        for until in self._left_open[:closed]:
            # Looked at only when a repeat is wanted, which may be much later.
            self._arrived.add(now - until)
        del self._left_open[:closed]


def _count_from(times: list[float], since: float) -> int:
    return len(times) - bisect.bisect_left(times, since)


class SharedRetryBudget:
    """This entry's share of a service's budget in a sliding window.

    All entries together may repeat ``ratio`` of the requests and ``slack``
    more in any window. Entries do not ask one another, and their callers
    move between them. So every entry keeps to its share in every window
    that contains the present, and in each of them the requests of the window
    before it count: added up over all entries, those are the requests of
    one and the same time, and none earns in two windows. What is under way
    may arrive in a window that begins later: it keeps to what requests up to
    now earn there, which is less the later the window begins.

    A part of the slack is this entry's from when the others know of it; what
    its own requests earn is its own whoever else there is.

    A process starts after the one before it has ended, and knows nothing of
    it. It may have spent its whole share a moment before, and so may several
    that ended soon after they started. So a share comes at a constant rate
    at first: what processes spend in one window, one after the other, stays
    below the part that is kept for them. A process has its full share once
    no window is left in which something of those before it may arrive.

    :param ratio: repeats allowed for each request.
    :param slack: repeats allowed on top, by all entries together.
    :param window: length of the sliding window in seconds.
    :param began: the loop's time at which this process was started.
    :param membership: the entries that share the slack.
    """

    def __init__(
        self,
        ratio: float,
        slack: float,
        window: float,
        began: float = float("-inf"),
        membership: Membership = FixedMembership(),
    ) -> None:
        self._ratio = ratio
        self._slack = slack
        self._window = window
        self._began = began
        self._membership = membership
        self._repeats = _Arrivals(window)
        self._basis: _Basis | None = None
        self._left = 0.0
        self._requests = _Tally(window / WINDOW_PARTS, 2 * WINDOW_PARTS)

    @property
    def remaining(self) -> float:
        """Repeats that may be made now.

        Streams that wait for one ask many times a second, and what is left
        changes by arrivals and with each part of the window only.
        """
        basis = _Basis(
            math.floor(anyio.current_time() * WINDOW_PARTS / self._window),
            self._repeats.changes,
            self._membership.entries,
            self._membership.is_settled,
        )
        if basis != self._basis:
            self._left = self._count_left()
            self._basis = basis
        return self._left

    @property
    def remaining_share(self) -> float:
        """The part of what may be repeated that is left, 0 to 1.

        0 where less than one repeat is left: who begins anew relies on it.
        """
        remaining = self.remaining
        if remaining < 1.0:
            return 0.0
        earned = self._earned(self._requests_since())[0]
        allowed = self._share_since(self._began) * earned + self._slack_part()
        return min(1.0, remaining / allowed)

    @property
    def requests(self) -> int:
        """Requests in the last window."""
        return sum(self._requests.newest_first()[:WINDOW_PARTS])

    def earn(self) -> None:
        """Count a request."""
        self._requests.add()

    def track_sends(self) -> "SendTracker":
        """Return the account of one request's sends; who has it closes it."""
        return SendTracker(self, self._repeats, self._window)

    def _requests_since(self) -> list[int]:
        """Return how many came in the newest parts, from none to all."""
        counts = self._requests.newest_first()
        return [0, *itertools.accumulate(counts)]

    def _count_left(self) -> float:
        total = self._requests_since()
        earned = [*self._earned(total), *self._earned_ahead(total)]
        share = self._share_since(self._began)
        slack = self._slack_part()
        spent = [*self._repeats.newest_first(), *self._repeats.next_first()]
        return min(
            share * one + slack - repeats
            for one, repeats in zip(earned, spent, strict=True)
        )

    def _earned(self, total: list[int]) -> list[float]:
        """Return what requests earned for each window, the newest first.

        One entry for each part in which a window can begin that contains the
        present. Of the window before it, only parts that are in it whole.
        """
        return [
            self._ratio * (total[part + WINDOW_PARTS] - total[part + 1])
            for part in range(WINDOW_PARTS + 1)
        ]

    def _earned_ahead(self, total: list[int]) -> list[float]:
        """Return what requests up to now earn for windows to come.

        One entry for each part ahead in which a window can begin.
        """
        return [
            self._ratio * total[WINDOW_PARTS - ahead]
            for ahead in range(1, PARTS_AHEAD + 1)
        ]

    def _slack_part(self) -> float:
        """Return this entry's part of the slack.

        While the number of entries is not known any part may be too much.
        One that others may still miss stays with the part of a process that
        has just started.
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
        """Return which part may be spent so long after a start."""
        age = max(0.0, anyio.current_time() - since)
        if age >= RESTART_WINDOWS * self._window:
            return STEADY_SHARE
        return RESTART_SHARE * min(1.0, age / self._window)


class SendTracker:
    """How often one request is sent, and whether each time is known to end.

    A repeat counts from its reservation until one window after its arrival:
    what waits for a path, a connection or an instance that does not read
    may arrive in any window until then. After one that was given up without
    an answer no later one of the request is the last to arrive.

    :param budget: the budget of which its repeats are reserved.
    :param repeats: where they are counted.
    :param window: length of the budget's window in seconds.
    """

    def __init__(
        self, budget: SharedRetryBudget, repeats: _Arrivals, window: float
    ) -> None:
        self._budget = budget
        self._repeats = repeats
        self._window = window
        self._reserved_until: float | None = None
        self._is_sent = False
        self._open_until = float("-inf")

    def reserve(self) -> bool:
        """Reserve a repeat; false where the budget is spent.

        One that was reserved and not sent serves again.
        """
        if self._reserved_until is not None:
            return True
        if self._budget.remaining < 1.0:
            return False
        self._reserved_until = self._repeats.send()
        return True

    def send(self) -> None:
        """Note that the request is sent, for the first time or again."""
        self._is_sent = True

    def arrive(self) -> None:
        """Note that what was sent last has arrived."""
        if not self._is_sent:
            return
        self._is_sent = False
        until = self._take_reserved()
        if until is None:
            return
        if self._open_until > anyio.current_time():
            self._repeats.leave_open(until)
        else:
            self._repeats.arrive(until)

    def fail_to_send(self) -> None:
        """Note that what was to be sent has not left: none was connected."""
        self._is_sent = False

    def give_up(self) -> None:
        """Note that what was sent last is waited for no longer."""
        if not self._is_sent:
            return
        self._is_sent = False
        self._open_until = anyio.current_time() + self._window
        until = self._take_reserved()
        if until is not None:
            self._repeats.leave_open(until)

    def close(self) -> None:
        """End the account: what was reserved and not sent is free again."""
        self.give_up()
        until = self._take_reserved()
        if until is not None:
            self._repeats.cancel(until)

    def _take_reserved(self) -> float | None:
        until, self._reserved_until = self._reserved_until, None
        return until
