# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Load limits that an upstream instance announces in its answers."""

import attrs


@attrs.frozen
class Backpressure:
    """The limits that one answer announces.

    :ivar limit: requests a second that the instance accepts from all
        entries together, ``None`` for no limit.
    :ivar backoff: seconds for which the entry is to send it no request.
    :ivar is_leaving: whether the instance will end soon.
    """

    limit: float | None = None
    backoff: float = 0.0
    is_leaving: bool = False


NONE = Backpressure()
