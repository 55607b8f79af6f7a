# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0
"""How urgent a request is beside the others of its service."""

import attrs


@attrs.frozen
class Urgency:
    """The rank of a request among the urgencies that its service has.

    :ivar rank: 0 for the most urgent.
    :ivar rank_count: number of ranks that the config gives the service. With
        a single rank, requests are served in the order of their arrival.
    """

    rank: int = 0
    rank_count: int = 1

    @property
    def is_ranked(self) -> bool:
        """Whether the service has requests of different urgency."""
        return self.rank_count > 1
