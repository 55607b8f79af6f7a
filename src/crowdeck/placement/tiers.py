# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Splits a group of engines with mixed cards into tiers of similar speed.

The time per token is the sum over the engines of a path, so one slow card
slows down the whole stream. A stream that takes longer or uses more engines is
interrupted more often. Where the fast cards alone can hold the model with
enough capacity, they form a tier with a copy of its own. Slower cards hold
further copies, which serve overflow and replace lost engines.

For 52 cards, 5 of step factor 2.4, 18 of 5.6 and 29 of 16, at 118 streams a
second, routing predicts 138 streams in progress with tiers and 170 without,
and 11 and 20 of them that the loss of one engine interrupts. If the fast cards
are too few to hold the model, as 4 of 39, there is one tier.
"""

import typing

from crowdeck import chain
from crowdeck.placement import capacity

# Engines are in one band if a decoding step on their card takes at most this
# many times as long as on the fastest card of the band. Separating more
# similar cards would cost capacity and gain little speed. Card types in use
# differ either by less than a tenth (15 and 16 times the step time of the
# profile) or by 1.7 (1.4 and 2.4) to 5 times (3.1 and 16).
MAX_STEP_RATIO = 1.5

LayerLimit = typing.Callable[[chain.Upstream, float], int]
_Group = list[chain.Upstream]


class Tiers:
    """A group of engines split by speed, fastest first.

    :param layer_limit: returns how many layers an engine can hold and still
        have capacity for the given number of tokens.
    :ivar complete: tiers that can hold the whole model each.
    :ivar remainder: slower engines that cannot; they add copies to the tiers.
    """

    def __init__(
        self,
        engines: typing.Iterable[chain.Upstream],
        profile: chain.EngineProfile,
        layer_limit: LayerLimit,
    ) -> None:
        self.complete: list[_Group] = []
        self.remainder: _Group = []
        needed_tokens = capacity.needed_tokens(profile)
        for band in _bands(engines, profile):
            self.remainder += band
            fitting_layers = sum(
                layer_limit(engine, needed_tokens) for engine in self.remainder
            )
            if fitting_layers >= profile.layer_count:
                self.complete.append(self.remainder)
                self.remainder = []


def _bands(
    engines: typing.Iterable[chain.Upstream], profile: chain.EngineProfile
) -> list[_Group]:
    """Split engines into bands of similar speed, fastest first."""

    def step_factor(engine: chain.Upstream) -> float:
        card = profile.cards.get(engine.card)
        return card.step_factor if card else 1.0

    bands: list[_Group] = []
    for engine in sorted(
        engines, key=lambda engine: (step_factor(engine), engine.name)
    ):
        if bands and step_factor(engine) <= MAX_STEP_RATIO * step_factor(
            bands[-1][0]
        ):
            bands[-1].append(engine)
        else:
            bands.append([engine])
    return bands
