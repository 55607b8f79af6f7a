# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Which layers engines take that hold some, but not all, of a model.

Engines stay in the order of what they hold, so that each keeps most of it:
the neighbours of a gap grow, and theirs take from them what they give up.
A few, those that can be spared above all, may go anywhere ("rovers").
"""

import typing

import attrs

from crowdeck import pipeline

# What is loaded beyond the least, for engines to have memory left for
# requests, and for the largest load, after which callers are served, to be
# small. No more than 1.3 times the least possible is asked for; the search is
# exact for few engines, for more it has found up to 1.15 times that.
EXACT_SLACK = 1.25
LOAD_SLACK = 1.13
# Layers loaded, as a share of all, beyond which no layout is looked for.
COST_SHARE_MOST = 4
# Rovers: the search takes twice as long with each.
ROVERS_MOST = 4
# So few engines may all go anywhere, which finds the least loading.
EXACT_MOST = 4
# Ranges of engines that a search tries, at 1 to 2 us of a full core each.
# Beyond these it takes what it has, or looks with fewer rovers.
TRIES_MOST = 250_000
# Ranges that are tried between two turns of everything else.
TURN_TRIES = 10_000

Layout = dict[str, pipeline.LayerRange]
T = typing.TypeVar("T")
# Does its work in parts, between which others have their turn.
Parts = typing.Generator[None, None, T]


@attrs.frozen
class Member:
    """An engine that is laid out anew.

    :ivar held: layers that it need not load.
    :ivar most: how many layers it can hold, no fewer than it does.
    :ivar is_fixed: whether it cannot be ordered now.
    """

    name: str
    held: pipeline.LayerRange | None
    most: int
    is_fixed: bool = False


@attrs.frozen
class _State:
    """The layers up to some one are held by the engines looked at so far.

    :ivar cost: layers loaded, and the most that one engine loads.
    :ivar before: from which state, by whom holding what.
    """

    cost: tuple[int, int]
    before: "_State | None" = None
    name: str = ""
    layers: pipeline.LayerRange | None = None


# States by how many layers are held, and which rovers have gone, a bit each.
_Front = dict[tuple[int, int], _State]


class _OutOfTries(Exception):
    """A search took as long as it may."""


@attrs.define
class _Tries:
    left: int
    until_turn: int = TURN_TRIES

    def use(self) -> None:
        """Count one.

        :raises _OutOfTries: when there are none left.
        """
        self.left -= 1
        self.until_turn -= 1
        if self.left < 0:
            raise _OutOfTries

    @property
    def is_turn(self) -> bool:
        """Whether others are to have their turn now."""
        if self.until_turn > 0:
            return False
        self.until_turn = TURN_TRIES
        return True


def cover(
    members: typing.Sequence[Member],
    layer_count: int,
    roomier: typing.Sequence[typing.Mapping[str, int]] = (),
) -> Layout:
    """Return what :func:`cover_in_parts` does, at once."""
    parts = cover_in_parts(members, layer_count, roomier)
    while True:
        try:
            next(parts)
        except StopIteration as done:
            return typing.cast(Layout, done.value)


def cover_in_parts(
    members: typing.Sequence[Member],
    layer_count: int,
    roomier: typing.Sequence[typing.Mapping[str, int]] = (),
) -> Parts[Layout]:
    """Find ranges that hold the model, with little loading.

    Only engines that are to change are returned; none where the engines
    cannot hold the model. An engine keeps, beside what is asked of it, what
    it holds next to that and has memory for.

    :param roomier: how many layers each engine had better hold at most, by
        its name; the first of these that takes little more is kept to.
    """
    if sum(one.most for one in members) < layer_count:
        return {}
    found = yield from _first_search(members, layer_count)
    if found is None:
        return _in_order(members, layer_count)
    found = yield from _with_more_rovers(members, found, layer_count)
    if not found.is_found:
        return {}
    is_exact = len(members) <= EXACT_MOST
    slack = EXACT_SLACK if is_exact else LOAD_SLACK
    cost_most = int(slack * found.rank[0])
    for mosts in roomier:
        roomy = found.roomier(mosts)
        try:
            yield from roomy.run(cost_most)
        except _OutOfTries:
            continue
        if roomy.is_found:
            return (yield from roomy.layout(cost_most))
    return (yield from found.layout(cost_most))


def _first_search(
    members: typing.Sequence[Member], layer_count: int
) -> Parts["_Search | None"]:
    """Search with those that can be spared; with fewer if it takes long."""
    rovers = _rovers(members, layer_count)
    while True:
        search = _Search(members, rovers, layer_count, _Tries(TRIES_MOST))
        try:
            yield from search.run()
        except _OutOfTries:
            if not rovers:
                return None
            rovers = rovers[: len(rovers) // 2]
            continue
        return search


def _with_more_rovers(
    members: typing.Sequence[Member], best: "_Search", layer_count: int
) -> Parts["_Search"]:
    """Let engines that hold layers alone go anywhere where that is less."""
    tries = best.tries
    # What nobody holds has to be loaded in any case.
    missing = _counts(members, layer_count).count(0)
    while len(best.rovers) < ROVERS_MOST and best.rank[0] > missing:
        found = best
        for one in members:
            if one.held is None or one.is_fixed or one in best.rovers:
                continue
            tried = _Search(members, [*best.rovers, one], layer_count, tries)
            try:
                yield from tried.run()
            except _OutOfTries:
                return found
            if tried.rank < found.rank:
                found = tried
        if found is best:
            break
        best = found
    return best


def _rovers(
    members: typing.Sequence[Member], layer_count: int
) -> list[Member]:
    """Return engines whose going takes no layer away, the largest first."""
    able = [one for one in members if not one.is_fixed and one.most]
    if len(members) <= EXACT_MOST:
        return able
    counts = _counts(members, layer_count)
    found: list[Member] = []
    for one in sorted(able, key=lambda one: (-one.most, one.name)):
        if len(found) == ROVERS_MOST:
            break
        held = _layers(one)
        if all(counts[layer] > 1 for layer in held):
            found.append(one)
            for layer in held:
                counts[layer] -= 1
    return found


def _in_order(members: typing.Sequence[Member], layer_count: int) -> Layout:
    """Lay engines end to end, in the order of what they hold.

    Where nothing better is found in time; it takes no search.
    """
    layout: Layout = {}
    first = 0
    for one in sorted(members, key=_place):
        if first == layer_count:
            break
        if one.is_fixed:
            held = one.held
            if held is not None and held.first <= first:
                first = max(first, held.end)
            continue
        if one.most:
            end = min(layer_count, first + one.most)
            layers = pipeline.LayerRange(first, end)
            if layers != one.held:
                layout[one.name] = layers
            first = end
    return layout if first == layer_count else {}


class _Search:
    """Finds the least loading with some engines free to go anywhere.

    :ivar rovers: these engines; they hold what they have until they go.
    :ivar tries: how many ranges it may try yet.
    """

    def __init__(
        self,
        members: typing.Sequence[Member],
        rovers: list[Member],
        layer_count: int,
        tries: _Tries,
    ) -> None:
        self.rovers = sorted(rovers, key=lambda one: (-one.most, one.name))
        self.tries = tries
        self._layer_count = layer_count
        self._members = {one.name: one for one in members}
        names = {one.name for one in rovers}
        rest = [one for one in members if one.name not in names]
        self._chain = sorted((one for one in rest if one.held), key=_place)
        counts = _counts(rest, layer_count)
        self._is_each_spare = all(
            counts[layer] for one in rovers for layer in _layers(one)
        )
        self._cost_most = 2 * max(1, counts.count(0))
        self._found: _State | None = None

    @property
    def is_found(self) -> bool:
        """Whether the model can be held."""
        return self._found is not None

    @property
    def rank(self) -> tuple[float, int]:
        """What is least for the search that is best."""
        return self._found.cost if self._found else (float("inf"), 0)

    def roomier(self, mosts: typing.Mapping[str, int]) -> "_Search":
        """Return a search in which engines hold no more than they do or so.

        :param mosts: how many layers, by name.
        """
        members = [
            attrs.evolve(
                one,
                most=min(one.most, max(mosts[one.name], len(_layers(one)))),
            )
            for one in self._members.values()
        ]
        names = {one.name for one in self.rovers}
        rovers = [one for one in members if one.name in names]
        tries = _Tries(TRIES_MOST)
        return _Search(members, rovers, self._layer_count, tries)

    def run(self, cost_most: int | None = None) -> Parts[None]:
        """Look for the least loading.

        :raises _OutOfTries: when it takes too long.
        """
        self._found = yield from self._run(self._layer_count, cost_most)

    def layout(self, cost_most: int) -> Parts[Layout]:
        """Return the layout with the smallest largest load.

        :param cost_most: how many layers may be loaded for it.
        """
        assert self._found is not None
        best = self._found
        low, high = 1, best.cost[1]
        self.tries.left = TRIES_MOST
        while low < high:
            middle = (low + high) // 2
            try:
                found = yield from self._run(middle, cost_most)
            except _OutOfTries:
                break
            if found is not None:
                best, high = found, found.cost[1]
            else:
                low = middle + 1
        return self._widened(best)

    def _run(
        self, load_most: int, cost_most: int | None = None
    ) -> Parts[_State | None]:
        """Return the end of the cheapest way to hold all layers.

        What loads more than a limit is left out: most ways that there are
        load most of the model, and the limit is soon met.
        """
        if cost_most is not None:
            self._cost_most = cost_most
            return (yield from self._run_within(load_most))
        while True:
            found = yield from self._run_within(load_most)
            if found or self._cost_most >= COST_SHARE_MOST * self._layer_count:
                return found
            self._cost_most *= 2

    def _run_within(self, load_most: int) -> Parts[_State | None]:
        front: _Front = {(0, 0): _State((0, 0))}
        yield from self._add_rovers(front, load_most)
        for member in self._chain:
            self._drop_late(front, member)
            reached = dict(front)
            for key, state in front.items():
                for layers, load in self._ranges(member, key[0], load_most):
                    to = layers.end, key[1]
                    self._offer(reached, to, state, load, member, layers)
                if self.tries.is_turn:
                    yield
            front = _thinned(reached)
            yield from self._add_rovers(front, load_most)
        whole = [
            state
            for (held, _), state in front.items()
            if held == self._layer_count
        ]
        return min(whole, key=lambda one: one.cost, default=None)

    def _drop_late(self, front: _Front, member: Member) -> None:
        """Drop states after which too much would have to be loaded.

        All engines yet to come hold layers after a member's. Rovers may
        hold what is before, where they hold it alone.
        """
        assert member.held is not None
        if not self._is_each_spare:
            return
        for key, state in list(front.items()):
            late = member.held.first - key[0]
            if state.cost[0] + late > self._cost_most:
                del front[key]

    def _ranges(
        self, member: Member, first: int, load_most: int
    ) -> typing.Iterator[tuple[pipeline.LayerRange, int]]:
        """Yield ranges from a layer on, with the layers to be loaded."""
        held = member.held
        assert held is not None
        if member.is_fixed:
            if held.first <= first < held.end:
                yield pipeline.LayerRange(first, held.end), 0
            return
        most_end = min(self._layer_count, first + member.most)
        for end in range(first + 1, most_end + 1):
            if held.first < end < min(held.end, most_end):
                # What is held costs nothing: rather all of it.
                continue
            layers = pipeline.LayerRange(first, end)
            load = end - first - _overlap(held, layers)
            if load > load_most:
                return
            yield layers, load

    def _add_rovers(self, front: _Front, load_most: int) -> Parts[None]:
        """Let rovers go wherever the layers held end, one after another."""
        new = sorted(front)
        for _ in self.rovers:
            before = set(front)
            for key in new:
                self._add_rover(front, key, load_most)
                if self.tries.is_turn:
                    yield
            new = sorted(set(front) - before)

    def _add_rover(
        self, front: _Front, key: tuple[int, int], load_most: int
    ) -> None:
        first, gone = key
        for number, rover in enumerate(self.rovers):
            if gone >> number & 1:
                continue
            end_most = min(self._layer_count, first + rover.most)
            for end in range(first + 1, end_most + 1):
                layers = pipeline.LayerRange(first, end)
                load = end - first - _overlap(rover.held, layers)
                if load > load_most:
                    break
                to = end, gone | 1 << number
                self._offer(front, to, front[key], load, rover, layers)

    def _offer(
        self,
        front: _Front,
        key: tuple[int, int],
        state: _State,
        load: int,
        member: Member,
        layers: pipeline.LayerRange,
    ) -> None:
        self.tries.use()
        cost = state.cost[0] + load, max(state.cost[1], load)
        if cost[0] > self._cost_most:
            return
        known = front.get(key)
        if known is None or cost < known.cost:
            front[key] = _State(cost, state, member.name, layers)

    def _widened(self, found: _State) -> Layout:
        """Return who changes, each with what it may keep beside."""
        layout: Layout = {}
        state: _State | None = found
        while state is not None:
            if state.layers is not None:
                member = self._members[state.name]
                layers = _widened(member, state.layers)
                if layers != member.held and not member.is_fixed:
                    layout[state.name] = layers
            state = state.before
        return layout


def _place(member: Member) -> tuple[int, int, str]:
    """Return by what engines are in order; empty ones come last."""
    held = member.held
    if held is None:
        return 1_000_000, 0, member.name
    return held.first, held.end, member.name


def _layers(member: Member) -> range:
    held = member.held
    return range(held.first, held.end) if held else range(0)


def _counts(members: typing.Iterable[Member], layer_count: int) -> list[int]:
    """Return by how many each layer is held."""
    counts = [0] * layer_count
    for one in members:
        for layer in _layers(one):
            counts[layer] += 1
    return counts


def _overlap(
    held: pipeline.LayerRange | None, layers: pipeline.LayerRange
) -> int:
    """Return how many of some layers are held."""
    if held is None:
        return 0
    common = min(held.end, layers.end) - max(held.first, layers.first)
    return max(0, common)


def _thinned(front: _Front) -> _Front:
    """Return a front without states that another is better than.

    To hold more for no more is never worse.
    """
    thin: _Front = {}
    least: dict[int, tuple[int, int]] = {}
    for key in sorted(front, reverse=True):
        cost = front[key].cost
        if key[1] not in least or cost < least[key[1]]:
            least[key[1]] = cost
            thin[key] = front[key]
    return thin


def _widened(
    member: Member, layers: pipeline.LayerRange
) -> pipeline.LayerRange:
    """Return the layers with as much of what is held as fits beside."""
    held = member.held
    if held is None or held.first > layers.end or held.end < layers.first:
        return layers
    room = max(0, member.most - (layers.end - layers.first))
    before = min(room, max(0, layers.first - held.first))
    after = min(room - before, max(0, held.end - layers.end))
    return pipeline.LayerRange(layers.first - before, layers.end + after)
