# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Finds a layout that restores a model with little loading.

Most engines stay in the order of the layers that they hold, so that each keeps
most of them: the engines next to a gap extend their ranges into it, and their
neighbours take over the layers that they give up. A few unconstrained engines,
preferably redundant ones, may take any range.
"""

import typing

import attrs

from crowdeck import pipeline

# A layout may load up to this many times as many layers as the cheapest one
# found, to leave more memory for requests and to reduce the most layers that
# one engine loads, which decide when the model is served again. Only the
# search of small groups is exact, if all their engines can be ordered; for
# larger groups less slack is allowed. In all, no more than 1.3 times the least
# possible is to be loaded, and the search of larger groups finds layouts of up
# to 1.15 times that.
EXACT_LOAD_SLACK = 1.25
INEXACT_LOAD_SLACK = 1.13
# The limit on the layers that all engines load is raised until it is this many
# times the layers of the model.
MAX_TOTAL_LOAD_FACTOR = 4
# Each unconstrained engine doubles the search time.
MAX_UNCONSTRAINED = 4
# In a group of up to this many engines, all that can be ordered are
# unconstrained. The search is exact if these are all engines of the group.
MAX_EXACT_ENGINES = 4
# Maximum number of ranges that a search, or a series of searches that improve
# its result, tries. Beyond it the best layout so far is used, or the search
# starts again with fewer unconstrained engines. A try takes 1 to 2 us of a
# full core.
MAX_TRIES = 250_000
# Number of ranges that are tried before other tasks may run.
YIELD_TRIES = 10_000

Layout = dict[str, pipeline.LayerRange]
T = typing.TypeVar("T")
# A computation that yields regularly, so that its caller can let other tasks
# run.
Cooperative = typing.Generator[None, None, T]


@attrs.frozen
class Member:
    """An engine that takes part in a layout.

    :ivar held: layers that it holds and need not load.
    :ivar max_layers: how many layers it can hold, at least as many as it holds
        now.
    :ivar is_fixed: whether it cannot be ordered now.
    """

    name: str
    held: pipeline.LayerRange | None
    max_layers: int
    is_fixed: bool = False


@attrs.frozen
class _State:
    """A partial layout that covers the first layers of the model.

    :ivar cost: number of layers loaded in total, and by the engine that loads
        most.
    :ivar previous: the state that was extended by giving ``layers`` to the
        engine ``name``; ``None`` for the empty layout.
    """

    cost: tuple[int, int]
    previous: "_State | None" = None
    name: str = ""
    layers: pipeline.LayerRange | None = None


# The cheapest state for each number of covered layers and bit set of the
# unconstrained engines that are placed.
_Frontier = dict[tuple[int, int], _State]


class _BudgetExceeded(Exception):
    """A search tried as many ranges as it may."""


@attrs.define
class _SearchBudget:
    """The number of ranges that searches may still try.

    :ivar tries_until_yield: ranges to try before other tasks may run.
    """

    tries_left: int
    tries_until_yield: int = YIELD_TRIES

    def use(self) -> None:
        """Count a range that is tried.

        :raises _BudgetExceeded: if the budget is used up.
        """
        self.tries_left -= 1
        self.tries_until_yield -= 1
        if self.tries_left < 0:
            raise _BudgetExceeded

    @property
    def should_yield(self) -> bool:
        """Whether to let other tasks run now; restarts the count if so."""
        if self.tries_until_yield > 0:
            return False
        self.tries_until_yield = YIELD_TRIES
        return True


def cover(
    members: typing.Sequence[Member],
    layer_count: int,
    layer_limits: typing.Sequence[typing.Mapping[str, int]] = (),
) -> Layout:
    """Return the result of :func:`cover_cooperatively` without yielding."""
    computation = cover_cooperatively(members, layer_count, layer_limits)
    while True:
        try:
            next(computation)
        except StopIteration as done:
            return typing.cast(Layout, done.value)


def cover_cooperatively(
    members: typing.Sequence[Member],
    layer_count: int,
    layer_limits: typing.Sequence[typing.Mapping[str, int]] = (),
) -> Cooperative[Layout]:
    """Find ranges that cover the model with little loading.

    Only engines that have to change are returned, and none if the engines
    cannot cover the model. An engine also keeps adjacent layers that it holds
    and has memory for.

    :param layer_limits: sets of layer limits by engine name that leave more
        memory for requests, in order of preference. The first set that needs
        little more loading is used.
    """
    if sum(member.max_layers for member in members) < layer_count:
        return {}
    search = yield from _first_search(members, layer_count)
    if search is None:
        return _consecutive_layout(members, layer_count)
    search = yield from _with_more_unconstrained(members, search, layer_count)
    if not search.is_found:
        return {}
    is_exact = len(members) <= MAX_EXACT_ENGINES
    slack = EXACT_LOAD_SLACK if is_exact else INEXACT_LOAD_SLACK
    max_total_loaded_layers = int(slack * search.cost[0])
    for limits in layer_limits:
        limited = search.with_limits(limits)
        try:
            yield from limited.run(max_total_loaded_layers)
        except _BudgetExceeded:
            continue
        if limited.is_found:
            return (yield from limited.layout(max_total_loaded_layers))
    return (yield from search.layout(max_total_loaded_layers))


def _first_search(
    members: typing.Sequence[Member], layer_count: int
) -> Cooperative["_Search | None"]:
    """Search with redundant engines unconstrained.

    Starts again with fewer of them whenever the budget is used up. Returns
    ``None`` if the budget does not even suffice without any.
    """
    unconstrained = _select_unconstrained(members, layer_count)
    while True:
        search = _Search(
            members, unconstrained, layer_count, _SearchBudget(MAX_TRIES)
        )
        try:
            yield from search.run()
        except _BudgetExceeded:
            if not unconstrained:
                return None
            unconstrained = unconstrained[: len(unconstrained) // 2]
            continue
        return search


def _with_more_unconstrained(
    members: typing.Sequence[Member], best: "_Search", layer_count: int
) -> Cooperative["_Search"]:
    """Make more engines unconstrained, one by one, while that loads less."""
    budget = best.budget
    # Unheld layers have to be loaded in any layout.
    missing = _holder_counts(members, layer_count).count(0)
    while (
        len(best.unconstrained) < MAX_UNCONSTRAINED and best.cost[0] > missing
    ):
        found = best
        for member in members:
            if (
                member.held is None
                or member.is_fixed
                or member in best.unconstrained
            ):
                continue
            tried = _Search(
                members, [*best.unconstrained, member], layer_count, budget
            )
            try:
                yield from tried.run()
            except _BudgetExceeded:
                return found
            if tried.cost < found.cost:
                found = tried
        if found is best:
            break
        best = found
    return best


def _select_unconstrained(
    members: typing.Sequence[Member], layer_count: int
) -> list[Member]:
    """Return engines that can move without leaving a layer unheld.

    Engines with the most memory come first. In a small group all engines that
    can be ordered are returned.
    """
    movable = [
        member
        for member in members
        if not member.is_fixed and member.max_layers
    ]
    if len(members) <= MAX_EXACT_ENGINES:
        return movable
    holder_counts = _holder_counts(members, layer_count)
    unconstrained: list[Member] = []
    for member in sorted(
        movable, key=lambda member: (-member.max_layers, member.name)
    ):
        if len(unconstrained) == MAX_UNCONSTRAINED:
            break
        held = _layers(member)
        if all(holder_counts[layer] > 1 for layer in held):
            unconstrained.append(member)
            for layer in held:
                holder_counts[layer] -= 1
    return unconstrained


def _consecutive_layout(
    members: typing.Sequence[Member], layer_count: int
) -> Layout:
    """Assign consecutive ranges in the order of the layers held.

    This is the fallback when the search exceeds its budget.
    """
    layout: Layout = {}
    first = 0
    for member in sorted(members, key=_sort_key):
        if first == layer_count:
            break
        if member.is_fixed:
            held = member.held
            if held is not None and held.first <= first:
                first = max(first, held.end)
            continue
        if member.max_layers:
            end = min(layer_count, first + member.max_layers)
            layers = pipeline.LayerRange(first, end)
            if layers != member.held:
                layout[member.name] = layers
            first = end
    return layout if first == layer_count else {}


class _Search:
    """Finds the layout with the least loading by dynamic programming.

    :ivar unconstrained: engines that may take any range.
    :ivar budget: number of ranges that it may still try.
    """

    def __init__(
        self,
        members: typing.Sequence[Member],
        unconstrained: list[Member],
        layer_count: int,
        budget: _SearchBudget,
    ) -> None:
        self.unconstrained = sorted(
            unconstrained, key=lambda member: (-member.max_layers, member.name)
        )
        self.budget = budget
        self._layer_count = layer_count
        self._members = {member.name: member for member in members}
        names = {member.name for member in unconstrained}
        others = [member for member in members if member.name not in names]
        self._ordered_members = sorted(
            (member for member in others if member.held), key=_sort_key
        )
        holder_counts = _holder_counts(others, layer_count)
        self._are_unconstrained_redundant = all(
            holder_counts[layer]
            for member in unconstrained
            for layer in _layers(member)
        )
        self._max_total_loaded_layers = 2 * max(1, holder_counts.count(0))
        self._found: _State | None = None

    @property
    def is_found(self) -> bool:
        """Whether a layout that covers the model was found."""
        return self._found is not None

    @property
    def cost(self) -> tuple[float, int]:
        """The cost of the layout found, as in ``_State``; infinite if none."""
        return self._found.cost if self._found else (float("inf"), 0)

    def with_limits(self, limits: typing.Mapping[str, int]) -> "_Search":
        """Return a search with other limits on the layers of each engine.

        :param limits: layer limits by engine name; an engine may keep the
            layers that it holds even if they are more.
        """
        members = [
            attrs.evolve(
                member,
                max_layers=min(
                    member.max_layers,
                    max(limits[member.name], len(_layers(member))),
                ),
            )
            for member in self._members.values()
        ]
        names = {member.name for member in self.unconstrained}
        unconstrained = [member for member in members if member.name in names]
        budget = _SearchBudget(MAX_TRIES)
        return _Search(members, unconstrained, self._layer_count, budget)

    def run(
        self, max_total_loaded_layers: int | None = None
    ) -> Cooperative[None]:
        """Find the layout with the least loading.

        :param max_total_loaded_layers: how many layers all engines may load in
            total; by default a limit that is raised until a layout is found.
        :raises _BudgetExceeded: if the budget is used up.
        """
        self._found = yield from self._run(
            self._layer_count, max_total_loaded_layers
        )

    def layout(self, max_total_loaded_layers: int) -> Cooperative[Layout]:
        """Minimize the most layers that one engine loads.

        Returns the best layout that is found within the budget.

        :param max_total_loaded_layers: how many layers all engines may load in
            total.
        """
        assert self._found is not None
        best = self._found
        low, high = 1, best.cost[1]
        self.budget.tries_left = MAX_TRIES
        while low < high:
            middle = (low + high) // 2
            try:
                found = yield from self._run(middle, max_total_loaded_layers)
            except _BudgetExceeded:
                break
            if found is not None:
                best, high = found, found.cost[1]
            else:
                low = middle + 1
        return self._changed_layout(best)

    def _run(
        self,
        max_loaded_layers: int,
        max_total_loaded_layers: int | None = None,
    ) -> Cooperative[_State | None]:
        """Return the final state of the cheapest layout, if there is one.

        The limit on the layers loaded in total starts low and doubles, because
        a low limit prunes most of the layouts.

        :param max_loaded_layers: how many layers one engine may load.
        :param max_total_loaded_layers: how many layers all engines may load in
            total; by default a limit that is raised until a layout is found.
        """
        if max_total_loaded_layers is not None:
            self._max_total_loaded_layers = max_total_loaded_layers
            return (yield from self._run_within(max_loaded_layers))
        while True:
            found = yield from self._run_within(max_loaded_layers)
            if (
                found
                or self._max_total_loaded_layers
                >= MAX_TOTAL_LOAD_FACTOR * self._layer_count
            ):
                return found
            self._max_total_loaded_layers *= 2

    def _run_within(
        self, max_loaded_layers: int
    ) -> Cooperative[_State | None]:
        frontier: _Frontier = {(0, 0): _State((0, 0))}
        yield from self._add_unconstrained(frontier, max_loaded_layers)
        for member in self._ordered_members:
            self._drop_too_costly(frontier, member)
            reached = dict(frontier)
            for key, state in frontier.items():
                for layers, loaded_count in self._ranges(
                    member, key[0], max_loaded_layers
                ):
                    next_key = layers.end, key[1]
                    self._offer(
                        reached, next_key, state, loaded_count, member, layers
                    )
                if self.budget.should_yield:
                    yield
            frontier = _pruned(reached)
            yield from self._add_unconstrained(frontier, max_loaded_layers)
        complete = [
            state
            for (covered_count, _), state in frontier.items()
            if covered_count == self._layer_count
        ]
        return min(complete, key=lambda final: final.cost, default=None)

    def _drop_too_costly(self, frontier: _Frontier, member: Member) -> None:
        """Drop states from which every layout would load too much.

        ``member`` and all later engines hold no layer before the first one of
        ``member``, so they would have to load the layers up to it. That gives
        no bound if an unconstrained engine is the only holder of a layer.
        """
        assert member.held is not None
        if not self._are_unconstrained_redundant:
            return
        for key, state in list(frontier.items()):
            gap = member.held.first - key[0]
            if state.cost[0] + gap > self._max_total_loaded_layers:
                del frontier[key]

    def _ranges(
        self, member: Member, first: int, max_loaded_layers: int
    ) -> typing.Iterator[tuple[pipeline.LayerRange, int]]:
        """Yield ranges that start at a layer, and how many layers to load."""
        held = member.held
        assert held is not None
        if member.is_fixed:
            if held.first <= first < held.end:
                yield pipeline.LayerRange(first, held.end), 0
            return
        max_end = min(self._layer_count, first + member.max_layers)
        for end in range(first + 1, max_end + 1):
            if held.first < end < min(held.end, max_end):
                # Held layers need no loading, so take all of them.
                continue
            layers = pipeline.LayerRange(first, end)
            loaded_count = end - first - _overlap(held, layers)
            if loaded_count > max_loaded_layers:
                return
            yield layers, loaded_count

    def _add_unconstrained(
        self, frontier: _Frontier, max_loaded_layers: int
    ) -> Cooperative[None]:
        """Extend states by unconstrained engines, one after another."""
        new_keys = sorted(frontier)
        for _ in self.unconstrained:
            known_keys = set(frontier)
            for key in new_keys:
                self._add_engine(frontier, key, max_loaded_layers)
                if self.budget.should_yield:
                    yield
            new_keys = sorted(set(frontier) - known_keys)

    def _add_engine(
        self, frontier: _Frontier, key: tuple[int, int], max_loaded_layers: int
    ) -> None:
        first, placed = key
        for index, member in enumerate(self.unconstrained):
            if placed >> index & 1:
                continue
            max_end = min(self._layer_count, first + member.max_layers)
            for end in range(first + 1, max_end + 1):
                layers = pipeline.LayerRange(first, end)
                loaded_count = end - first - _overlap(member.held, layers)
                if loaded_count > max_loaded_layers:
                    break
                next_key = end, placed | 1 << index
                self._offer(
                    frontier,
                    next_key,
                    frontier[key],
                    loaded_count,
                    member,
                    layers,
                )

    def _offer(
        self,
        frontier: _Frontier,
        key: tuple[int, int],
        state: _State,
        loaded_count: int,
        member: Member,
        layers: pipeline.LayerRange,
    ) -> None:
        """Extend a state by one engine; keep the result if it is cheapest.

        :raises _BudgetExceeded: if the budget is used up.
        """
        self.budget.use()
        cost = state.cost[0] + loaded_count, max(state.cost[1], loaded_count)
        if cost[0] > self._max_total_loaded_layers:
            return
        known = frontier.get(key)
        if known is None or cost < known.cost:
            frontier[key] = _State(cost, state, member.name, layers)

    def _changed_layout(self, final_state: _State) -> Layout:
        """Return the changed engines' ranges, extended by held layers."""
        layout: Layout = {}
        state: _State | None = final_state
        while state is not None:
            if state.layers is not None:
                member = self._members[state.name]
                layers = _widened(member, state.layers)
                if layers != member.held and not member.is_fixed:
                    layout[state.name] = layers
            state = state.previous
        return layout


def _sort_key(member: Member) -> tuple[int, int, str]:
    """Return the sort key by layers held; empty engines come last."""
    held = member.held
    if held is None:
        return 1_000_000, 0, member.name
    return held.first, held.end, member.name


def _layers(member: Member) -> range:
    held = member.held
    return range(held.first, held.end) if held else range(0)


def _holder_counts(
    members: typing.Iterable[Member], layer_count: int
) -> list[int]:
    """Return how many engines hold each layer."""
    counts = [0] * layer_count
    for member in members:
        for layer in _layers(member):
            counts[layer] += 1
    return counts


def _overlap(
    held: pipeline.LayerRange | None, layers: pipeline.LayerRange
) -> int:
    """Return how many of ``layers`` are held."""
    if held is None:
        return 0
    common = min(held.end, layers.end) - max(held.first, layers.first)
    return max(0, common)


def _pruned(frontier: _Frontier) -> _Frontier:
    """Return the frontier without dominated states.

    A state is dominated by another that covers at least as many layers with
    the same unconstrained engines at no higher cost.
    """
    pruned: _Frontier = {}
    least_costs: dict[int, tuple[int, int]] = {}
    for key in sorted(frontier, reverse=True):
        cost = frontier[key].cost
        if key[1] not in least_costs or cost < least_costs[key[1]]:
            least_costs[key[1]] = cost
            pruned[key] = frontier[key]
    return pruned


def _widened(
    member: Member, layers: pipeline.LayerRange
) -> pipeline.LayerRange:
    """Return ``layers`` extended by adjacent held layers that fit."""
    held = member.held
    if held is None or held.first > layers.end or held.end < layers.first:
        return layers
    room = max(0, member.max_layers - (layers.end - layers.first))
    added_before = min(room, max(0, layers.first - held.first))
    added_after = min(room - added_before, max(0, held.end - layers.end))
    return pipeline.LayerRange(
        layers.first - added_before, layers.end + added_after
    )
