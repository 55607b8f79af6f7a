# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Bytes without end that are no answer to a request."""

import enum
import random

import attrs

# After this many bytes a fast flood goes on as a slow one.
MAX_FAST_BYTES = 4_000_000
# A flooded connection is reset after this time if its client is still there.
MAX_SECONDS = 8.0
FAST_PAUSE_SECONDS = 0.005
FAST_PIECES = 1000
SLOW_PAUSE_SECONDS = 0.05


class Part(enum.StrEnum):
    """The part of an answer that never ends."""

    INTERIM = "interim"
    HEADERS = "headers"
    BODY = "body"
    CHUNKS = "chunks"
    COMMENTS = "comments"
    GARBAGE = "garbage"


_STARTS = {
    Part.INTERIM: b"",
    Part.HEADERS: b"HTTP/1.1 200 OK\r\n",
    Part.BODY: b"HTTP/1.1 200 OK\r\n\r\n",
    Part.CHUNKS: b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n",
    Part.COMMENTS: b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream"
    b"\r\n\r\n",
    Part.GARBAGE: b"",
}
_PIECES = {
    Part.INTERIM: b"HTTP/1.1 103 Early Hints\r\n\r\n",
    Part.HEADERS: b"x-filler: 0123456789\r\n",
    Part.BODY: b"0123456789\n",
    Part.CHUNKS: b"b\r\n0123456789\n\r\n",
    Part.COMMENTS: b": filler\n\n",
    Part.GARBAGE: b"\x00no answer",
}


@attrs.frozen
class Flood:
    """Bytes to answer a request with.

    :ivar is_fast: whether it starts at the fast rate.
    """

    part: Part
    is_fast: bool

    @property
    def start(self) -> bytes:
        """The bytes before those that repeat."""
        return _STARTS[self.part]

    def piece_after(self, sent_bytes: int) -> bytes:
        """Return the next bytes."""
        piece = _PIECES[self.part]
        if self.is_fast and sent_bytes < MAX_FAST_BYTES:
            return piece * FAST_PIECES
        return piece

    def pause_after(self, sent_bytes: int) -> float:
        """Return the time in seconds until the next bytes."""
        if self.is_fast and sent_bytes < MAX_FAST_BYTES:
            return FAST_PAUSE_SECONDS
        return SLOW_PAUSE_SECONDS

    def __str__(self) -> str:
        """Return the part and the rate."""
        return f"{self.part} {'fast' if self.is_fast else 'slow'}"


def choose(rng: random.Random) -> Flood:
    """Return a random flood."""
    return Flood(rng.choice(tuple(Part)), rng.random() < 0.5)
