# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""How full each upstream is, from what this entry has under way there."""

import collections

from crowdeck import chain


class InFlight:
    """Requests that this entry has under way, by upstream instance.

    Other entries of the same availability zone send as much, near
    enough, to the same engines: what is counted here is multiplied by
    their number. That is wrong for a moment after entries come or go,
    and right again within the time of one request, without a call.
    """

    def __init__(self) -> None:
        self._sequences: collections.Counter[str] = collections.Counter()
        self._cells: collections.Counter[str] = collections.Counter()
        self._entries = 1

    def share_among(self, entries: int) -> None:
        """Take this entry for one of ``entries`` with the same load."""
        self._entries = max(1, entries)

    def sequences(self, upstream: chain.Upstream) -> float:
        """Return how many requests pass an upstream instance."""
        return float(self._sequences[upstream.name] * self._entries)

    def own(self, upstream: chain.Upstream) -> int:
        """Return how many of this entry's requests are there."""
        return self._sequences[upstream.name]

    def fullness(
        self, upstream: chain.Upstream, profile: chain.EngineProfile
    ) -> float:
        """Return the used share of an engine's memory for requests."""
        if upstream.layers is None:
            return 0.0
        count = upstream.layers.end - upstream.layers.first
        room = profile.room(upstream.card, count) * count
        return self._cells[upstream.name] * self._entries / max(1.0, room)

    def enter(self, path: chain.ChainPath, tokens: float) -> None:
        """Count a request on a path."""
        for hop in path.hops:
            layers = hop.layers.end - hop.layers.first
            self._sequences[hop.upstream.name] += 1
            self._cells[hop.upstream.name] += int(tokens) * layers

    def leave(self, path: chain.ChainPath, tokens: float) -> None:
        """Take back what :meth:`enter` counted."""
        for hop in path.hops:
            layers = hop.layers.end - hop.layers.first
            self._sequences[hop.upstream.name] -= 1
            self._cells[hop.upstream.name] -= int(tokens) * layers

    def enter_call(self, upstream: chain.Upstream) -> None:
        """Count a call of a plain service."""
        self._sequences[upstream.name] += 1

    def leave_call(self, upstream: chain.Upstream) -> None:
        """Take back what :meth:`enter_call` counted."""
        self._sequences[upstream.name] -= 1
