# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Limits on requests that an upstream instance announces in its answers."""

import attrs


@attrs.frozen
class Backpressure:
    """The limits that one answer announces.

    :ivar requests_per_second: limit on the requests of all entries together,
        ``None`` for no limit.
    :ivar backoff_seconds: time for which the entry must send the instance no
        request.
    :ivar is_leaving: whether the instance will end soon.
    """

    requests_per_second: float | None = None
    backoff_seconds: float = 0.0
    is_leaving: bool = False


NONE = Backpressure()
