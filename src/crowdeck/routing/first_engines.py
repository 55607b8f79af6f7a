# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0
"""When streams of a service can begin at the soonest."""

import typing

from crowdeck import chain
from crowdeck.routing import heads as head_records


def soonest_first_event_seconds(
    engines: typing.Iterable[chain.Upstream],
    heads: head_records.HeadRecords,
) -> float:
    """Return the least time that a first event takes at a first engine.

    It is 0 if there is no first engine, since nothing is known then.
    """

    def seconds(name: str) -> float:
        expected_seconds = heads.expected_first_event_seconds(name)
        if expected_seconds is None:
            return heads.first_event_seconds(name)
        return expected_seconds

    return min(
        (
            seconds(engine.name)
            for engine in engines
            if engine.layers is not None and engine.layers.first == 0
        ),
        default=0.0,
    )
