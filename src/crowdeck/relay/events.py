# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Splits a stream of bytes into server-sent events."""

import typing

import attrs

from crowdeck import errors
from crowdeck import verdict as verdicts

# Far above the size of any event: a longer event means a broken stream.
EVENT_LIMIT_BYTES = 1024 * 1024
_EVENT_ENDS = (b"\n\n", b"\r\n\r\n")

EventIdReader = typing.Callable[[bytes], int | None]


@attrs.frozen
class Event:
    """The bytes of one event, and its id if it has one."""

    content: bytes
    id: int | None


class EventSplitter:
    """Splits a stream's bytes into complete events.

    Incomplete events are not returned: a stream may break in the middle of
    an event and resume at another engine with a complete event.
    """

    def __init__(self, read_id: EventIdReader) -> None:
        self._read_id = read_id
        self._buffer = b""

    @property
    def is_complete(self) -> bool:
        """Whether the bytes so far end with a complete event."""
        return not self._buffer

    def feed(self, chunk: bytes) -> list[Event]:
        """Return the events that ``chunk`` completes.

        :raises CrowdeckError: ``WRONG_ANSWER`` if an incomplete event is
            longer than ``EVENT_LIMIT_BYTES``.
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
        if len(self._buffer) > EVENT_LIMIT_BYTES:
            raise errors.CrowdeckError(
                errors.Code.WRONG_ANSWER,
                f"an event is longer than {EVENT_LIMIT_BYTES} bytes",
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
