# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""What placements are worth, and the layout of engines that begin empty."""

import attrs
import pytest

from crowdeck import chain
from crowdeck import pipeline
from crowdeck.placement import capacity
from crowdeck.placement import initial_layout
from crowdeck.placement import plan
from tests import fleet_system

# An availability zone of mixed cards that hold 1.7 copies of the model
# with a little room, and one with ample room.
MIXED = attrs.evolve(
    fleet_system.PROFILE,
    token_bytes=590_000.0,
    cards={
        "wide": chain.AcceleratorType("wide", 72_000.0, 2.4, 3.2),
        "middle": chain.AcceleratorType("middle", 21_600.0, 16.0, 8.2),
        "narrow": chain.AcceleratorType("narrow", 14_400.0, 5.3, 7.9),
    },
)
CARDS = ("wide",) * 2 + ("middle",) * 4 + ("narrow",) * 4


def an_engine(number: int, card: str) -> chain.Upstream:
    return fleet_system.upstream(f"e{number}", "plateau", None, card)


def rooms_of(
    fleet: list[chain.Upstream], layout: initial_layout.Layout
) -> list[float]:
    """Return the tokens of room at each layer."""
    rooms = [0.0] * MIXED.layer_count
    for one in fleet:
        layers = layout[one.name]
        token_capacity = MIXED.token_capacity(
            one.card, layers.end - layers.first
        )
        for layer in range(layers.first, layers.end):
            rooms[layer] += token_capacity
    return rooms


class TestArrangement:
    """Engines that begin together share the layers for service."""

    def layout(self, fleet: list[chain.Upstream]) -> initial_layout.Layout:
        arranger = initial_layout.InitialLayoutSearch(
            MIXED,
            lambda one, token_capacity: plan.fitting_layer_count(
                one, MIXED, token_capacity
            ),
            plan.MIN_CONCURRENT_REQUESTS * capacity.request_tokens(MIXED),
        )
        return arranger.arrange(fleet)

    def test_no_layer_is_left_narrow(self) -> None:
        # A fixed room per engine held half of the layers twice and the
        # others once; paths had the room of one engine, 41,000 tokens, of
        # the 126,000 that each layer gets here on average.
        fleet = [an_engine(at, card) for at, card in enumerate(CARDS)]
        rooms = rooms_of(fleet, self.layout(fleet))
        assert min(rooms) >= 2.0 * capacity.needed_tokens(MIXED)

    def test_what_is_left_of_memory_goes_into_copies(self) -> None:
        fleet = [an_engine(at, card) for at, card in enumerate(CARDS)]
        layout = self.layout(fleet)
        held = sum(one.end - one.first for one in layout.values())
        assert held >= 1.4 * MIXED.layer_count

    def test_every_layer_comes_before_any_room(self) -> None:
        # Cards that hold the model once, with no more than the least room.
        fleet = [an_engine(at, "narrow") for at in range(10)]
        assert min(rooms_of(fleet, self.layout(fleet))) > 0.0

    @pytest.mark.parametrize(
        ("count", "cards"), [(60, CARDS), (18, ("wide",))]
    )
    def test_search_stays_bounded_in_a_large_group(
        self,
        monkeypatch: pytest.MonkeyPatch,
        count: int,
        cards: tuple[str, ...],
    ) -> None:
        # All engines of a large zone empty at once: the search held the
        # only thread for 17 s, and for 1.0 s where 19 engines could hold
        # half of the model each.
        looks = 0
        best_window = capacity.LayerCapacity.best_window

        def counted(
            rooms: capacity.LayerCapacity, engine: chain.Upstream, most: int
        ) -> capacity.Window | None:
            nonlocal looks
            looks += 1
            return best_window(rooms, engine, most)

        monkeypatch.setattr(capacity.LayerCapacity, "best_window", counted)
        fleet = [an_engine(at, cards[at % len(cards)]) for at in range(count)]
        rooms = rooms_of(fleet, self.layout(fleet))
        assert looks <= len(fleet)
        assert min(rooms) >= 4.0 * capacity.needed_tokens(MIXED)


class TestRooms:
    """What one more engine had better hold."""

    def test_a_missing_layer_comes_first(self) -> None:
        rooms = capacity.LayerCapacity(MIXED, capacity.needed_tokens(MIXED))
        rooms.add(an_engine(0, "wide"), pipeline.LayerRange(0, 30))
        rooms.add(an_engine(1, "wide"), pipeline.LayerRange(36, 80))
        window = rooms.best_window(an_engine(2, "narrow"), 8)
        assert window is not None
        assert window.layers.first <= 30
        assert window.layers.end >= 36

    def test_the_narrowest_layers_come_next(self) -> None:
        rooms = capacity.LayerCapacity(MIXED, capacity.needed_tokens(MIXED))
        rooms.add(an_engine(0, "wide"), pipeline.LayerRange(0, 40))
        rooms.add(an_engine(1, "wide"), pipeline.LayerRange(40, 80))
        rooms.add(an_engine(2, "middle"), pipeline.LayerRange(0, 10))
        rooms.add(an_engine(3, "middle"), pipeline.LayerRange(70, 80))
        window = rooms.best_window(an_engine(4, "middle"), 12)
        assert window is not None
        assert window.layers.first >= 10
        assert window.layers.end <= 70

    def test_counts_come_back_to_nothing(self) -> None:
        rooms = capacity.LayerCapacity(MIXED, capacity.needed_tokens(MIXED))
        before = rooms.score
        rooms.add(an_engine(0, "wide"), pipeline.LayerRange(0, 40))
        assert rooms.score > before
        rooms.drop(an_engine(0, "wide"), pipeline.LayerRange(0, 40))
        assert rooms.score == before
