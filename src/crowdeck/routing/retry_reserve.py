# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0
"""How much of the retry budget a stream leaves to others."""

import attrs

from crowdeck.routing import arrival_rates
from crowdeck import urgency as urgencies

# Share of this entry's retry budget that the least urgent streams leave to
# more urgent ones. Ranks between leave a proportional part.
MAX_RANK_SHARE = 0.4
# Further share that a refused stream leaves to those that have run, which an
# engine's end interrupts many at a time.
REFUSED_SHARE = 0.4


@attrs.frozen
class RetryNeed:
    """A stream that needs a retry.

    :ivar position: place of its rank among those that arrived lately.
    :ivar has_started: whether its caller has a part of the answer, which
        would be lost without the retry.
    :ivar was_refused: whether the failed attempt was refused without running.
        Its caller loses nothing and can ask again later.
    """

    urgency: urgencies.Urgency
    position: arrival_rates.RankPosition
    has_started: bool
    was_refused: bool

    @property
    def reserved_share(self) -> float:
        """Share of the budget that must remain for the retry, 0 to 1.

        A stream leaves it to more urgent ones and to those whose answer has
        started; a refused one also to those of its rank that have run.
        """
        if self.has_started or not self.urgency.is_ranked:
            return 0.0
        last = max(1, self.position.count - 1)
        rank_share = MAX_RANK_SHARE * self.position.ahead / last
        return rank_share + (REFUSED_SHARE if self.was_refused else 0.0)
