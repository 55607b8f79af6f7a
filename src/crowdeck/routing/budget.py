# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""A retry budget that entries share without asking one another."""

import collections

import anyio
import attrs

# An entry sees only its own requests and repeats. What the others do at
# the edges of a window is unknown, so a part stays unspent.
MARGIN = 0.8


@attrs.frozen
class Membership:
    """What an entry knows of the entries that share a budget with it.

    :ivar entries: how many there are, this one included; 0 while that is
        not known.
    """

    entries: int = 1


ALONE = Membership()
UNKNOWN = Membership(entries=0)


class SharedBudget:
    """This entry's share of a service's budget in a sliding window.

    All entries together may repeat ``ratio`` of the window's requests
    and ``slack`` more. Each spends ``ratio`` of its own requests and its
    part of the slack, which adds up to no more.

    :param ratio: repeats allowed for each request.
    :param slack: repeats allowed on top, by all entries together.
    :param window: length of the sliding window in seconds.
    :param since: the loop's time from which this process may have spent.
        What the process before it spent is unknown, and still counts: the
        slack comes back over one window. Entries that were all started
        anew at once otherwise spent it twice, 637 repeats of 549.
    """

    def __init__(
        self,
        ratio: float,
        slack: float,
        window: float,
        since: float = float("-inf"),
    ) -> None:
        self._ratio = ratio
        self._slack = slack
        self._window = window
        self._since = since
        self._membership = ALONE
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

    def follow(self, membership: Membership) -> None:
        """Take the part of the slack that a membership leaves."""
        self._membership = membership

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
        return MARGIN * (earned + self._slack_share())

    def _slack_share(self) -> float:
        """Return this entry's part of the slack.

        Without knowing how many others there are any part may be too much;
        what its own requests earn is its own whoever else there is.
        """
        entries = self._membership.entries
        if not entries:
            return 0.0
        age = max(0.0, anyio.current_time() - self._since)
        return self._slack * min(1.0, age / self._window) / entries

    def _forget(self) -> None:
        since = anyio.current_time() - self._window
        for times in (self._requests, self._repeats):
            while times and times[0] < since:
                times.popleft()
