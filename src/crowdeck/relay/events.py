# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Splits a stream of bytes into server-sent events."""

import re
import typing

import attrs

from crowdeck import errors
from crowdeck import verdict as verdicts

# Far above the size of any event: a longer event means a broken stream.
EVENT_LIMIT_BYTES = 1024 * 1024
_EVENT_END = re.compile(rb"\n\n|\r\n\r\n")
_DATA = re.compile(rb"(?:^|[\r\n])data[:\r\n]")
_LONGEST_END_BYTES = 4

EventIdReader = typing.Callable[[bytes], int | None]


@attrs.frozen
class Event:
    """The bytes of one event, and its id if it has one."""

    content: bytes
    id: int | None

    @property
    def has_data(self) -> bool:
        """Whether it has a field ``data``, unlike a comment."""
        return bool(_DATA.search(self.content))


class EventSplitter:
    """Splits a stream's bytes into complete events.

    Incomplete events are not returned: a stream may break in the middle of
    an event and resume at another engine with a complete event.
    """

    def __init__(self, read_id: EventIdReader) -> None:
        self._read_id = read_id
        self._buffer = bytearray()

    @property
    def is_complete(self) -> bool:
        """Whether the bytes so far end with a complete event."""
        return not self._buffer

    def feed(self, chunk: bytes) -> list[Event]:
        """Return the events that ``chunk`` completes.

        :raises CrowdeckError: ``WRONG_ANSWER`` if an incomplete event is
            longer than ``EVENT_LIMIT_BYTES``.
        """
        # No end is in what was there, but one may begin in its last bytes.
        position = max(0, len(self._buffer) - _LONGEST_END_BYTES + 1)
        self._buffer += chunk
        events = []
        start = 0
        while found := _EVENT_END.search(self._buffer, position):
            content = bytes(self._buffer[start : found.end()])
            events.append(Event(content, self._read_id(content)))
            start = position = found.end()
        del self._buffer[:start]
        if len(self._buffer) > EVENT_LIMIT_BYTES:
            raise errors.CrowdeckError(
                errors.Code.WRONG_ANSWER,
                f"an event is longer than {EVENT_LIMIT_BYTES} bytes",
                verdict=verdicts.Verdict.MAY_HAVE_RUN,
            )
        return events
