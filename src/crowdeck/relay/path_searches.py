# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0
"""Remembers searches for another path that failed."""

import weakref

import attrs

from crowdeck import chain
from crowdeck.relay import live

# A failed search is not repeated for this share of the stream's maximum pause
# unless the usable engines change.
REPEAT_SHARE = 0.5


@attrs.frozen
class PathSearch:
    """The inputs of a search.

    :ivar excluded: names of the engines to avoid.
    :ivar usable: names of the engines that may get work.
    """

    path: chain.ChainPath
    excluded: frozenset[str]
    usable: frozenset[str]


@attrs.frozen
class _Failure:
    search: PathSearch
    failed_at: float


class FailedPathSearches:
    """The last failed search of each stream; times are loop times."""

    def __init__(self) -> None:
        self._failures: weakref.WeakKeyDictionary[
            live.LiveStream, _Failure
        ] = weakref.WeakKeyDictionary()

    def note(
        self, stream: live.LiveStream, search: PathSearch, now: float
    ) -> None:
        """Note that a search failed."""
        self._failures[stream] = _Failure(search, now)

    def is_futile(
        self, stream: live.LiveStream, search: PathSearch, now: float
    ) -> bool:
        """Whether the same search failed shortly before."""
        failure = self._failures.get(stream)
        return (
            failure is not None
            and failure.search == search
            and now - failure.failed_at
            < REPEAT_SHARE * stream.max_pause_seconds
        )
