# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Whether what was told of other entries covers enough of them."""

import collections

import anyio

# Entries heard of within this time are expected to be there still. Beyond the
# length of most streams: those of an entry that ended hold nothing any more.
MEMORY_SECONDS = 60.0
# A sum that covers a smaller share of the expected entries is not relied on.
MIN_SHARE = 0.5


class LoadCoverage:
    """Remembers how many other entries were covered recently.

    The number of registered entries does not serve: those that were shut
    down stay registered.
    """

    def __init__(self) -> None:
        # Loop times and numbers of entries; the numbers fall.
        self._recent: collections.deque[tuple[float, int]] = (
            collections.deque()
        )

    @property
    def expected(self) -> int:
        """The largest number of other entries covered recently."""
        since = anyio.current_time() - MEMORY_SECONDS
        while self._recent and self._recent[0][0] < since:
            self._recent.popleft()
        return self._recent[0][1] if self._recent else 0

    def note(self, entry_count: int) -> None:
        """Note how many other entries a sum covers."""
        while self._recent and self._recent[-1][1] <= entry_count:
            self._recent.pop()
        self._recent.append((anyio.current_time(), entry_count))

    def is_enough(self, entry_count: int, registered_count: int) -> bool:
        """Whether a sum covers enough of the other entries.

        This entry counts on both sides.

        :param entry_count: other entries that the sum covers.
        :param registered_count: entries that ever registered, this one
            included; 0 while they are unknown.
        """
        if not entry_count:
            return registered_count == 1
        return entry_count + 1 >= MIN_SHARE * (self.expected + 1)
