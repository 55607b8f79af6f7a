# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Who reads the store for the entries of an availability zone.

Each call to the store is charged for, a watch that waits as well, and an
entry has to prove every second that its config is current. With 68 entries
that each watched for themselves a calm minute took 5,916 calls. So the
entries of a zone ask one of them, the first in an order that all of them
compute alike, and only that one asks the store.

Nothing is agreed on and nobody is appointed: an entry that is asked reads
the store itself as long as it is asked. An entry that gets no help, or is
told that the other has lost the store, asks the store itself at once and
the next in the order after that.
"""

import contextlib
import typing

import anyio
import attrs

from crowdeck import errors
from crowdeck import instance as instances
from crowdeck.observe import counters
from crowdeck.observe import logs
from crowdeck.state import objects as stores
from crowdeck.state import store_health

# An entry that is asked reads the store itself for so long after the last
# question: several times the longest pause between two questions, which is
# a watch of a second.
ASKED_SECONDS = 5.0
# A peer that did not answer is left alone for this long, twice as long each
# further time. A restarted process answers after two seconds; one that left
# for good costs each entry of its zone a try of a quarter of a second.
SILENT_SECONDS = 2.0
SILENT_MOST_SECONDS = 60.0
# A peer that has lost the store says so at once, so asking it again costs
# a millisecond; it tries the store about as often itself.
LOST_SECONDS = 0.5
# Beyond so many peers that have lost the store it is the store that is
# away, and not their way to it: an entry then tries for itself. A store may
# turn a third of all away for ten seconds; with two, all 13 others of a zone
# whose first two were turned away called it themselves.
LOST_PEERS_MOST = 3
# An entry that would be the first of its zone, and has lost the store,
# tries its own way again this long after its last failure.
OWN_TRY_SECONDS = 1.5
# While the store is lost to all, the first of a zone tries for all: it has
# the store again within 0.3 s, and the others hear of it half a second
# later. They try their own ways as well, more seldom: 68 entries that each
# tried every 0.3 s made 226 calls a second.
OTHERS_TRY_SECONDS = 1.5


@attrs.frozen
class Peer:
    """Another entry of this availability zone."""

    name: str
    address: instances.Address


class PeerClient(typing.Protocol):
    """Reaches the copies that other entries keep."""

    async def watch(
        self, peer: Peer, kind: str, after: stores.Position, wait: float
    ) -> stores.PeerChanges:
        """Return what a peer knows to have changed after a position.

        :raises CrowdeckError: ``STORE_DOWN`` when the peer has lost the
            store or knows it in an earlier epoch, ``STORE_HISTORY`` when it
            does not know what changed, ``TOO_LARGE`` when the changes had
            better be read from the store, anything else when the peer did
            not answer.
        """
        ...


Ranking = typing.Callable[[], tuple[Peer, ...]]

# Refusals that say nothing against the peer.
_UNABLE = (errors.Code.STORE_HISTORY, errors.Code.TOO_LARGE)


@attrs.frozen
class PeerCopy:
    """One peer's copies; implements ``PeerReplica``."""

    _peer: Peer
    _selector: "PeerSelector"

    async def watch(
        self, kind: str, after: stores.Position, wait: float
    ) -> stores.PeerChanges | None:
        """Return what the peer knows, ``None`` where it cannot help now.

        :raises CrowdeckError: when only the store can tell.
        """
        return await self._selector.watch(self._peer, kind, after, wait)


class PeerSelector:
    """One entry's choice of whom to ask instead of the store.

    :param name: this entry's name.
    :param ranking: returns the entries of this zone, this one included, in
        the order in which they are to read the store.
    """

    def __init__(
        self,
        name: str,
        ranking: Ranking,
        peers: PeerClient,
        health: store_health.StoreHealth,
    ) -> None:
        self._name = name
        self._ranking = ranking
        self._peers = peers
        self._health = health
        self._asked_at = float("-inf")
        self._silent_until: dict[str, float] = {}
        self._silences: dict[str, int] = {}
        self._lost_until: dict[str, float] = {}
        self._helpless: set[str] = set()
        self._watches: dict[str, set[anyio.CancelScope]] = {}

    @property
    def reads_store(self) -> bool:
        """Whether this entry asks the store itself."""
        return self._first() is None

    def pause(self) -> float:
        """Return the seconds between two tries of a store that is lost."""
        now = anyio.current_time()
        for peer in self._ranking():
            if peer.name == self._name:
                break
            if self._silent_until.get(peer.name, 0.0) <= now:
                return OTHERS_TRY_SECONDS
        return store_health.PROBE_INTERVAL_SECONDS

    def choose(self) -> "PeerCopy | None":
        """Return whom to ask, or ``None`` to ask the store."""
        peer = self._first()
        return PeerCopy(peer, self) if peer is not None else None

    def _first(self) -> Peer | None:
        now = anyio.current_time()
        must_try = self._may_try_itself(now)
        if now - self._asked_at < ASKED_SECONDS and must_try:
            return None
        lost = 0
        for peer in self._ranking():
            if peer.name == self._name:
                if must_try:
                    return None
            elif self._silent_until.get(peer.name, 0.0) > now:
                continue
            elif self._lost_until.get(peer.name, 0.0) > now:
                lost += 1
                if lost >= LOST_PEERS_MOST:
                    return None
            else:
                return peer
        return None

    def seconds_to_next(self) -> float:
        """Return after how long a peer may help that cannot now."""
        now = anyio.current_time()
        ends = [*self._lost_until.values(), *self._silent_until.values()]
        return min(
            (end - now for end in ends if end > now), default=LOST_SECONDS
        )

    def note_peer_request(self) -> None:
        """Note that a peer asks this entry."""
        self._asked_at = anyio.current_time()

    async def watch(
        self, peer: Peer, kind: str, after: stores.Position, wait: float
    ) -> stores.PeerChanges | None:
        """Return what a peer knows, ``None`` where it cannot help now.

        :raises CrowdeckError: when only the store can tell.
        """
        counters.COUNTERS.add("peers.asked")
        with self._watching(peer):
            try:
                sighting = await self._peers.watch(peer, kind, after, wait)
            except errors.CrowdeckError as error:
                if error.code in _UNABLE:
                    raise
                self._note_failure(peer, kind, error)
                return None
            self._silences.pop(peer.name, None)
            if peer.name in self._helpless:
                self._helpless.discard(peer.name)
                logs.change("peer_helps", peer=peer.name)
            return sighting
        return None

    def _may_try_itself(self, now: float) -> bool:
        if not self._health.is_lost:
            return True
        # Not what peers told of: two that each heard of the other's loss
        # never tried their own ways again.
        return now - self._health.own_failed_at >= OWN_TRY_SECONDS

    @contextlib.contextmanager
    def _watching(self, peer: Peer) -> typing.Iterator[None]:
        """End the block when another question to the same peer fails.

        A peer that has fallen silent answers none of them, and some wait
        ten times as long as others.
        """
        scopes = self._watches.setdefault(peer.name, set())
        with anyio.CancelScope() as scope:
            scopes.add(scope)
            try:
                yield
            finally:
                scopes.discard(scope)

    def _note_failure(
        self, peer: Peer, kind: str, error: errors.CrowdeckError
    ) -> None:
        counters.COUNTERS.add("peers.failed")
        now = anyio.current_time()
        if error.code is errors.Code.STORE_DOWN:
            self._lost_until[peer.name] = now + LOST_SECONDS
            self._health.note_peer_failure()
        elif self._silent_until.get(peer.name, 0.0) <= now:
            silences = self._silences.get(peer.name, 0)
            self._silences[peer.name] = silences + 1
            seconds = SILENT_SECONDS * 2.0 ** min(silences, 10)
            pause = min(seconds, SILENT_MOST_SECONDS)
            self._silent_until[peer.name] = now + pause
        if peer.name not in self._helpless:
            self._helpless.add(peer.name)
            logs.change(
                "peer_of_no_help",
                peer=peer.name,
                address=str(peer.address),
                kind=kind,
                reason=error.message,
            )
        for scope in self._watches.get(peer.name, ()):
            scope.cancel()
