# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""A retry budget that entries share without asking one another."""

import collections
import typing

import anyio
import attrs

# Of what an entry may repeat in a window, its process uses one part and the
# processes that are started in its place within the window the other. None
# of them knows what those before it spent, so the parts add up to all.
STEADY_SHARE = 0.8
RESTART_SHARE = 1.0 - STEADY_SHARE


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


class SharedBudget:
    """This entry's share of a service's budget in a sliding window.

    All entries together may repeat ``ratio`` of the window's requests
    and ``slack`` more. Each spends ``ratio`` of its own requests and its
    part of the slack, which adds up to no more.

    A part of the slack is this entry's from when the others know of it; what
    its own requests earn is its own whoever else there is.

    A process starts after the one before it has ended, and knows nothing of
    it. It may have spent its whole share a moment before, and so may several
    that ended soon after they started. So a share comes at a constant rate
    at first: what processes spend in one window, one after the other, stays
    below the part that is kept for them. One window after its start, a
    process has its full share.

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
        self._requests: collections.deque[float] = collections.deque()
        self._repeats: collections.deque[float] = collections.deque()

    @property
    def left(self) -> float:
        """Repeats that may be made now."""
        return self._allowed() - len(self._repeats)

    @property
    def left_share(self) -> float:
        """The part of what may be repeated that is left, 0 to 1."""
        allowed = self._allowed()
        if allowed < 1.0:
            return 0.0
        return max(0.0, 1.0 - len(self._repeats) / allowed)

    @property
    def requests(self) -> int:
        """Requests in the window that ends now."""
        self._forget()
        return len(self._requests)

    def earn(self) -> None:
        """Count a request."""
        self._requests.append(anyio.current_time())

    def spend(self) -> bool:
        """Count a repeat, unless the budget is spent."""
        if self.left < 1.0:
            return False
        self._repeats.append(anyio.current_time())
        return True

    def _allowed(self) -> float:
        """Return the repeats allowed in the window that ends now."""
        self._forget()
        earned = self._ratio * len(self._requests)
        return self._share_since(self._began) * earned + self._slack_part()

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
        if age >= self._window:
            return STEADY_SHARE
        return RESTART_SHARE * age / self._window

    def _forget(self) -> None:
        since = anyio.current_time() - self._window
        for times in (self._requests, self._repeats):
            while times and times[0] < since:
                times.popleft()
