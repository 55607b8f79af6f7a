# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""The interface through which a caller receives an answer."""

import typing

from crowdeck.wire import messages


class AnswerSink(typing.Protocol):
    """Receives an answer piece by piece, at its caller's pace."""

    async def put(self, position: int, piece: messages.Piece) -> None:
        """Pass on one piece; return once the caller has room for more."""
        ...

    def set_location(self, epoch: int, head: str, tail: str) -> None:
        """Set the instances that keep the answer from now on."""
        ...
