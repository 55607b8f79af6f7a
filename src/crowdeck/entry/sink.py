# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Where an answer goes: the caller's side of one request."""

import typing

from crowdeck.wire import messages


class AnswerSink(typing.Protocol):
    """Takes an answer piece by piece, as fast as its caller does."""

    async def put(self, position: int, piece: messages.Piece) -> None:
        """Pass on one piece; returns once the caller has room for more."""
        ...

    def set_location(self, epoch: int, head: str, tail: str) -> None:
        """Take note of who keeps the answer from now on."""
        ...
