# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""How full each upstream is, from what this entry has under way there."""

import collections

import anyio
import attrs

from crowdeck import chain

# What a first engine told of its load holds for about this long: half of
# the requests that it counted have ended by then.
LOAD_REPORT_TTL_SECONDS = 1.5
# Crossings between zones are counted over this time: about that in which
# a prompt crosses a pipe that several others use as well.
PIPE_SECONDS = 1.0
# What an engine held for others when this entry started is taken to end
# evenly over this time: about as long as a stream takes.
INHERITED_SECONDS = 2.5


@attrs.frozen
class _Inherited:
    token_layers: float
    at: float


@attrs.frozen
class _Told:
    running: int
    at: float


class InFlight:
    """Requests that this entry has under way, by upstream instance.

    Other entries send theirs to the same engines, and no call tells how
    many. A first engine tells with each answer how many requests it runs
    in all: their number over our own there is the factor by which our own
    are multiplied, along the whole path. Where nothing was told lately,
    entries of the same availability zone are taken to send as much.
    """

    def __init__(self) -> None:
        self._sequences: dict[str, collections.Counter[str]] = {}
        self._cells: dict[str, collections.Counter[str]] = {}
        self._own: collections.Counter[str] = collections.Counter()
        self._told: dict[str, _Told] = {}
        self._inherited: dict[str, _Inherited] = {}
        self._crossed: dict[
            frozenset[str], collections.deque[tuple[float, float]]
        ] = {}
        self._entries = 1
        self._all_entries = 1

    def set_entry_count(self, entries: int, all_entries: int = 0) -> None:
        """Take this entry for one of ``entries`` with the same load.

        :param entries: entries of this availability zone.
        :param all_entries: entries of all zones.
        """
        self._entries = max(1, entries)
        self._all_entries = max(self._entries, all_entries)

    def zone_link_utilization(
        self, one: str, other: str, profile: chain.EngineProfile
    ) -> float:
        """Return the used share of the pipe between two zones."""
        crossed = self._crossed.get(frozenset((one, other)))
        if not crossed or not profile.zone_link_bytes_per_second:
            return 0.0
        since = anyio.current_time() - PIPE_SECONDS
        while crossed and crossed[0][0] < since:
            crossed.popleft()
        tokens = sum(count for _, count in crossed)
        used = tokens * profile.activation_bytes * self._all_entries
        return used / (profile.zone_link_bytes_per_second * PIPE_SECONDS)

    def note_load(self, head: chain.Upstream, running: int) -> None:
        """Take how many requests a first engine says that it runs."""
        now = anyio.current_time()
        for name in [n for n, it in self._told.items() if _is_old(it, now)]:
            del self._told[name]
        self._told[head.name] = _Told(running, now)

    def note_existing_load(
        self, upstream: chain.Upstream, token_layers: float
    ) -> None:
        """Take what an engine holds that this entry did not send.

        :param token_layers: tokens times layers.
        """
        now = anyio.current_time()
        self._inherited[upstream.name] = _Inherited(token_layers, now)

    def sequences(self, upstream: chain.Upstream) -> float:
        """Return how many requests pass an upstream instance, of all."""
        return self._estimate(self._sequences.get(upstream.name))

    def own_requests(self, upstream: chain.Upstream) -> int:
        """Return how many of this entry's requests are there."""
        return self._own[upstream.name]

    def cache_utilization(
        self, upstream: chain.Upstream, profile: chain.EngineProfile
    ) -> float:
        """Return the used share of an engine's memory for requests."""
        if upstream.layers is None:
            return 0.0
        count = upstream.layers.end - upstream.layers.first
        token_capacity = profile.token_capacity(upstream.card, count) * count
        used = self._estimate(self._cells.get(upstream.name))
        if upstream.layers.first == 0 and not used:
            # None of ours is there to multiply; the others' number tells.
            usual = (
                profile.mean_prompt_tokens + profile.mean_answer_tokens / 2.0
            )
            used = self._told_running(upstream.name) * usual * count
        used += self._inherited_cells(upstream.name)
        return used / max(1.0, token_capacity)

    def _inherited_cells(self, name: str) -> float:
        """Return what is left of the cells that an engine held before."""
        found = self._inherited.get(name)
        if found is None:
            return 0.0
        age = anyio.current_time() - found.at
        if age >= INHERITED_SECONDS:
            del self._inherited[name]
            return 0.0
        return found.token_layers * (1.0 - age / INHERITED_SECONDS)

    def add_request(self, path: chain.ChainPath, tokens: float) -> None:
        """Count a request on a path."""
        self._add(path, tokens, 1)
        for before, after in zip(path.hops, path.hops[1:], strict=False):
            one = before.upstream.availability_zone
            other = after.upstream.availability_zone
            if one != other:
                crossed = self._crossed.setdefault(
                    frozenset((one, other)), collections.deque()
                )
                crossed.append((anyio.current_time(), tokens))

    def remove_request(self, path: chain.ChainPath, tokens: float) -> None:
        """Take back what :meth:`add_request` counted."""
        self._add(path, tokens, -1)

    def add_call(self, upstream: chain.Upstream) -> None:
        """Count a call of a plain service."""
        self._own[upstream.name] += 1

    def remove_call(self, upstream: chain.Upstream) -> None:
        """Take back what :meth:`add_call` counted."""
        self._own[upstream.name] -= 1
        if not self._own[upstream.name]:
            del self._own[upstream.name]

    def _add(self, path: chain.ChainPath, tokens: float, sign: int) -> None:
        head = path.head.name
        self._own[head] += sign
        for hop in path.hops:
            name = hop.upstream.name
            layers = hop.layers.end - hop.layers.first
            passing = self._sequences.setdefault(name, collections.Counter())
            token_layers = self._cells.setdefault(name, collections.Counter())
            passing[head] += sign
            token_layers[head] += sign * int(tokens) * layers
            if not passing[head]:
                # An entry lives longer than engines: nothing may be kept
                # for each that ever was.
                del passing[head]
                del token_layers[head]
            if not passing:
                del self._sequences[name]
                del self._cells[name]
        if not self._own[head]:
            del self._own[head]

    def _estimate(
        self, own_requests: collections.Counter[str] | None
    ) -> float:
        if not own_requests:
            return 0.0
        return sum(
            count * self._factor(head) for head, count in own_requests.items()
        )

    def _factor(self, head: str) -> float:
        """Return how many times our own all entries' requests are."""
        running = self._told_running(head)
        if running <= 0:
            return float(self._entries)
        return max(1.0, running / max(1, self._own[head]))

    def _told_running(self, head: str) -> int:
        told = self._told.get(head)
        if told is None or _is_old(told, anyio.current_time()):
            return 0
        return told.running


def _is_old(told: _Told, now: float) -> bool:
    return now - told.at > LOAD_REPORT_TTL_SECONDS
