# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Splitting a stream into its events."""

import typing

import attrs

from crowdeck import errors
from crowdeck import verdict as verdicts

# An event of 2 tokens takes some hundred bytes; one that is larger than
# this is no event.
EVENT_LIMIT = 1024 * 1024
_ENDS = (b"\n\n", b"\r\n\r\n")

IdOf = typing.Callable[[bytes], int | None]


@attrs.frozen
class Event:
    """One event as its bytes, and its id if it bears one."""

    content: bytes
    id: int | None


class EventSplitter:
    """Takes a stream's bytes and gives its whole events.

    Only whole events are handed on: an upstream may break off in the
    middle of one, and what goes on elsewhere begins with a whole one.
    """

    def __init__(self, id_of: IdOf) -> None:
        self._id_of = id_of
        self._rest = b""

    @property
    def is_between(self) -> bool:
        """Whether everything so far was whole events."""
        return not self._rest

    def feed(self, chunk: bytes) -> list[Event]:
        """Return the events that ``chunk`` completes.

        :raises CrowdeckError: ``WRONG_ANSWER`` for an endless event.
        """
        data = self._rest + chunk
        events = []
        begin = 0
        while True:
            end = _end_of_event(data, begin)
            if end < 0:
                break
            content = data[begin:end]
            events.append(Event(content, self._id_of(content)))
            begin = end
        self._rest = data[begin:]
        if len(self._rest) > EVENT_LIMIT:
            raise errors.CrowdeckError(
                errors.Code.WRONG_ANSWER,
                f"an event is over {EVENT_LIMIT} bytes",
                verdict=verdicts.Verdict.MAY_HAVE_RUN,
            )
        return events


def _end_of_event(data: bytes, begin: int) -> int:
    ends = []
    for mark in _ENDS:
        found = data.find(mark, begin)
        if found >= 0:
            ends.append(found + len(mark))
    return min(ends, default=-1)
