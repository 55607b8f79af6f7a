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
_EVENT_ENDS = (b"\n\n", b"\r\n\r\n")

EventIdReader = typing.Callable[[bytes], int | None]


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

    def __init__(self, read_id: EventIdReader) -> None:
        self._read_id = read_id
        self._buffer = b""

    @property
    def is_complete(self) -> bool:
        """Whether everything so far was whole events."""
        return not self._buffer

    def feed(self, chunk: bytes) -> list[Event]:
        """Return the events that ``chunk`` completes.

        :raises CrowdeckError: ``WRONG_ANSWER`` for an endless event.
        """
        data = self._buffer + chunk
        events = []
        start = 0
        while True:
            end = _end_of_event(data, start)
            if end < 0:
                break
            content = data[start:end]
            events.append(Event(content, self._read_id(content)))
            start = end
        self._buffer = data[start:]
        if len(self._buffer) > EVENT_LIMIT:
            raise errors.CrowdeckError(
                errors.Code.WRONG_ANSWER,
                f"an event is over {EVENT_LIMIT} bytes",
                verdict=verdicts.Verdict.MAY_HAVE_RUN,
            )
        return events


def _end_of_event(data: bytes, start: int) -> int:
    ends = []
    for separator in _EVENT_ENDS:
        found = data.find(separator, start)
        if found >= 0:
            ends.append(found + len(separator))
    return min(ends, default=-1)
