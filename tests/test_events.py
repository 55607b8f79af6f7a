# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Tests of how a stream's bytes are split into events."""

import time

import hypothesis
from hypothesis import strategies
import pytest

from crowdeck.platform import callers
from crowdeck.relay import events

PIECE_BYTES = 10
PIECES = 40_000
# Work per piece that grows with what came before exceeds this many times over.
MAX_COST_RATIO = 10


def split(pieces: list[bytes]) -> list[events.Event]:
    splitter = events.EventSplitter(callers.event_id)
    return [event for piece in pieces for event in splitter.feed(piece)]


def processor_seconds(pieces: list[bytes]) -> float:
    began = time.process_time()
    split(pieces)
    return time.process_time() - began


class TestPieces:
    """Events do not depend on the pieces in which they arrive."""

    @pytest.mark.parametrize("end", [b"\n\n", b"\r\n\r\n", b"\r\n\n"])
    @pytest.mark.parametrize("size", [1, 2, 3, 4, 5, 100])
    def test_an_end_may_be_in_several(self, end: bytes, size: int) -> None:
        content = b"id: 1" + end + b"\n" + b"id: 2" + end
        pieces = [
            content[start : start + size]
            for start in range(0, len(content), size)
        ]
        expected = [b"id: 1" + end, b"\nid: 2" + end]
        assert [event.content for event in split(pieces)] == expected
        assert [event.id for event in split(pieces)] == [1, 2]

    @hypothesis.given(
        strategies.lists(
            strategies.text("a\r\n", max_size=9).map(str.encode), max_size=20
        )
    )
    def test_are_those_of_the_whole(self, pieces: list[bytes]) -> None:
        assert split(pieces) == split([b"".join(pieces)])

    def test_long_event_in_small_pieces_does_not_hold_up_the_loop(
        self,
    ) -> None:
        whole = [b"x" * (PIECE_BYTES - 2) + b"\n\n"] * PIECES
        parts = [b"x" * PIECE_BYTES] * PIECES
        assert processor_seconds(parts) < MAX_COST_RATIO * processor_seconds(
            whole
        )

    def test_small_events_in_one_piece_do_not_hold_up_the_loop(self) -> None:
        whole = [b"x" * (PIECE_BYTES - 2) + b"\n\n"] * PIECES
        assert processor_seconds(
            [b"".join(whole)]
        ) < MAX_COST_RATIO * processor_seconds(whole)
