# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Links between availability zones, and their transfer times."""

import attrs

SAME_ZONE_DELAY_SECONDS = 0.0001
OTHER_ZONE_DELAY_SECONDS = 0.0005


@attrs.frozen
class ZoneLink:
    """The link between two availability zones.

    :ivar delay_seconds: one-way delay.
    :ivar bytes_per_second: bandwidth of one transfer.
    """

    delay_seconds: float
    bytes_per_second: float = 1.25e9

    def transfer_seconds(self, size_bytes: int) -> float:
        """Return the seconds that a transfer takes."""
        return self.delay_seconds + size_bytes / self.bytes_per_second


@attrs.frozen
class ZoneLinks:
    """All links between availability zones, with defaults.

    :ivar links: links by the pair of zones, or by the zone alone for the link
        within it.

    >>> links = ZoneLinks()
    >>> links.between("plateau", "plateau").delay_seconds
    0.0001
    """

    links: dict[frozenset[str], ZoneLink] = attrs.field(factory=dict)

    def between(self, zone: str, other_zone: str) -> ZoneLink:
        """Return the link between two availability zones."""
        link = self.links.get(frozenset((zone, other_zone)))
        if link is not None:
            return link
        is_same = zone == other_zone
        return ZoneLink(
            SAME_ZONE_DELAY_SECONDS if is_same else OTHER_ZONE_DELAY_SECONDS
        )
