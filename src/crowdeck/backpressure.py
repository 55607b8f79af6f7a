# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""What an upstream instance says in its answers of how much it can bear."""

import attrs


@attrs.frozen
class Backpressure:
    """What one answer asks of those that send the instance requests.

    :ivar limit: requests a second that it takes from all entries together,
        ``None`` where it names no limit.
    :ivar backoff: seconds for which it wants nothing more from the entry
        that it answers, 0 where it asks for no such thing.
    :ivar is_leaving: whether it says that it will end soon.
    """

    limit: float | None = None
    backoff: float = 0.0
    is_leaving: bool = False


NONE = Backpressure()
