# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Limits on the clients of one listener."""

import typing

import attrs

from crowdeck.serving import account as accounts


@attrs.frozen
class Limits:
    """Limits on what one client may send, and how long it may take.

    :ivar header_bytes: size of a request's target, and of its fields; also
        of bytes in a chunked body that are not content, without content in
        between.
    :ivar header_seconds: time from the first byte of a head to its end.
    :ivar idle_seconds: time between an answer and the next request.
    :ivar body_seconds: time from the end of a head to the end of its body.
    :ivar unread_seconds: time for which an answer may wait unread.
    """

    header_bytes: int
    header_seconds: float
    idle_seconds: float
    body_seconds: float
    unread_seconds: float


class LimitSource(typing.Protocol):
    """Tells the limits in force."""

    def __call__(self) -> Limits:
        """Return them."""
        ...


@attrs.frozen
class Intake:
    """What bounds the clients of one listener."""

    listener: accounts.ListenerAccount
    limits: LimitSource
