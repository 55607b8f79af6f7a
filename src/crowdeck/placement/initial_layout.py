# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Which layers engines take that begin together, all of them empty."""

import typing

from crowdeck import chain
from crowdeck import pipeline
from crowdeck.placement import capacity

# Rooms, in needs, at which a first layout cuts the cards: from many thin
# copies to one with most of the memory left. Each is then improved, and
# the best is taken: on four fleets of mixed cards no single one was best.
START_ROOMS = (0.0, 0.5, 1.0, 2.0, 4.0)
# Times that every engine is moved to where it is worth most; the third
# time changed nothing on three fleets of four.
SWEEPS = 4
# Larger groups are swept once, from one start: the search takes as long as
# the square of their number. 13 engines take 0.2 s of processor time, 107
# would take 4.8 s, in which the process does nothing else.
MAX_SEARCHED_ENGINES = 24
# The search also takes as long as the layers that each may hold: 19 engines
# of 41 took 1.0 s beside other work, 13 of a zone with 4 kinds of cards,
# 185 to 400 layers in all, 0.1 to 0.25 s.
SEARCHED_LAYERS_MOST = 500
LARGE_START_ROOMS = (1.0,)
LARGE_SWEEPS = 1

Layout = dict[str, pipeline.LayerRange]
Limit = typing.Callable[[chain.Upstream, float], int]


class InitialLayoutSearch:
    """Finds layers for engines that serve one model together.

    :param limit: how many layers leave an engine so many tokens of room.
    :param least: tokens of room that an engine keeps in any case.
    """

    def __init__(
        self, profile: chain.EngineProfile, limit: Limit, least: float
    ) -> None:
        self._profile = profile
        self._limit = limit
        self._least = least
        self._need = capacity.needed_tokens(profile)

    def arrange(self, engines: typing.Sequence[chain.Upstream]) -> Layout:
        """Return the layers of each engine that gets some."""
        # Large cards first: they take the long runs, small ones fill gaps.
        ordered = sorted(
            engines,
            key=lambda one: (-self._limit(one, self._least), one.name),
        )
        is_large = len(ordered) > MAX_SEARCHED_ENGINES or (
            sum(self._limit(one, self._least) for one in ordered)
            > SEARCHED_LAYERS_MOST
        )
        starts = LARGE_START_ROOMS if is_large else START_ROOMS
        sweeps = LARGE_SWEEPS if is_large else SWEEPS
        best: Layout = {}
        most = float("-inf")
        for start in starts:
            layout = self._lay_out(ordered, start * self._need)
            score = self._improve(ordered, layout, sweeps)
            if score > most + 1e-9:
                best, most = layout, score
        return best

    def _lay_out(self, engines: list[chain.Upstream], room: float) -> Layout:
        """Lay engines end to end, again from the start at the end."""
        count = self._profile.layer_count
        layout: Layout = {}
        first = 0
        for engine in engines:
            size = self._limit(engine, max(room, self._least))
            if not size:
                continue
            end = min(count, first + size)
            layout[engine.name] = pipeline.LayerRange(first, end)
            first = end % count
        return layout

    def _improve(
        self, engines: list[chain.Upstream], layout: Layout, sweeps: int
    ) -> float:
        """Move one engine after the other to where it is worth most."""
        rooms = capacity.LayerCapacity(self._profile, self._need)
        for engine in engines:
            if engine.name in layout:
                rooms.add(engine, layout[engine.name])
        for _ in range(sweeps):
            if not self._sweep(rooms, engines, layout):
                break
        return rooms.score

    def _sweep(
        self,
        rooms: capacity.LayerCapacity,
        engines: list[chain.Upstream],
        layout: Layout,
    ) -> bool:
        """Move each engine once; returns whether any moved."""
        has_moved = False
        for engine in engines:
            held = layout.get(engine.name)
            if held is not None:
                rooms.drop(engine, held)
            most = self._limit(engine, self._least)
            window = rooms.best_window(engine, most)
            if window is None:
                continue
            rooms.add(engine, window.layers)
            layout[engine.name] = window.layers
            has_moved = has_moved or window.layers != held
        return has_moved
