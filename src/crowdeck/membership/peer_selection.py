# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Choice of the entry that reads the store for its availability zone.

Each call to the store is charged for, and every entry has to confirm once a
second that its config is current. So the entries of a zone send their watches
to the first entry of a ranking that all of them compute alike, and only that
entry calls the store. 68 entries that each watch the store make 5,916 calls a
minute without any change.

There is no election: an entry reads the store itself for as long as others
ask it. If a peer does not answer or cannot reach the store ("has lost" it),
the next peer of the ranking is asked. An entry calls the store itself if it
comes next in the ranking, if several peers have lost the store, or if no peer
is left.
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

# An entry reads the store itself for this long after a peer last asked it.
# Several times the longest interval between two watches.
PEER_REQUEST_TTL_SECONDS = 5.0
# A peer that did not answer is not asked for this long, doubled at each
# further failure up to the maximum. A restarted process answers after two
# seconds. One that is gone for good costs each entry of its zone a failed call
# of a quarter of a second.
UNRESPONSIVE_BACKOFF_SECONDS = 2.0
MAX_UNRESPONSIVE_BACKOFF_SECONDS = 60.0
# A peer that has lost the store is asked again after this long. It answers at
# once, so that such a call costs a millisecond.
STORE_LOST_RETRY_SECONDS = 0.5
# If this many peers have lost the store, the store is assumed to be down, and
# an entry calls it directly instead of asking further peers. A store may
# refuse a third of all processes for ten seconds. With two, all 13 others of a
# zone whose first two are refused would call it.
LOST_PEERS_LIMIT = 3
# An entry that has lost the store calls it directly again this long after
# its last failed call.
OWN_RETRY_SECONDS = 1.5
# While all entries of a zone have lost the store, the first of the ranking
# retries often. The others learn of its success and retry at this interval. 68
# entries that all retry every 0.3 s would make 226 calls a second.
FOLLOWER_RETRY_SECONDS = 1.5


@attrs.frozen
class Peer:
    """Another entry, or this one, and where it is reached."""

    name: str
    address: instances.Address


class PeerClient(typing.Protocol):
    """Reads the mirrors of other entries."""

    async def watch(
        self,
        peer: Peer,
        kind: str,
        after: stores.Position,
        wait_seconds: float,
    ) -> stores.PeerChanges:
        """Return what a peer knows to have changed after a position.

        :param wait_seconds: how long the peer waits for a change.
        :raises CrowdeckError: ``STORE_DOWN`` if the peer cannot reach the
            store or knows another epoch of it, ``STORE_HISTORY`` if it does
            not know the changes since the position, ``TOO_LARGE`` if the
            changes have to be read from the store, any other code if the peer
            did not answer.
        """
        ...


Ranking = typing.Callable[[], tuple[Peer, ...]]

# Error codes of a healthy peer that cannot serve the watch; the store is
# called instead.
_STORE_REQUIRED_CODES = (errors.Code.STORE_HISTORY, errors.Code.TOO_LARGE)


@attrs.frozen
class PeerMirrors:
    """The mirrors of one peer; implements ``PeerReplica``."""

    _peer: Peer
    _selector: "PeerSelector"

    async def watch(
        self, kind: str, after: stores.Position, wait: float
    ) -> stores.PeerChanges | None:
        """Return the changes that the peer knows, ``None`` if it failed.

        :param wait: seconds for which the peer waits for a change.
        :raises CrowdeckError: if the store has to be called instead.
        """
        return await self._selector.watch(self._peer, kind, after, wait)


class PeerSelector:
    """Decides which peer an entry asks instead of the store.

    :param name: this entry's name.
    :param ranking: returns the entries of this zone, this one included, in
        the order of preference for reading the store.
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
        self._last_asked_at = float("-inf")
        self._silent_until: dict[str, float] = {}
        self._silence_counts: dict[str, int] = {}
        self._store_lost_until: dict[str, float] = {}
        self._failed_peers: set[str] = set()
        self._watches: dict[str, set[anyio.CancelScope]] = {}

    @property
    def reads_store(self) -> bool:
        """Whether this entry calls the store itself."""
        return self._choose_peer() is None

    def store_retry_seconds(self) -> float:
        """Return the seconds between two calls while the store is lost."""
        now = anyio.current_time()
        for peer in self._ranking():
            if peer.name == self._name:
                break
            if self._silent_until.get(peer.name, 0.0) <= now:
                return FOLLOWER_RETRY_SECONDS
        return store_health.PROBE_INTERVAL_SECONDS

    def choose(self) -> "PeerMirrors | None":
        """Return the peer to ask, or ``None`` to call the store."""
        peer = self._choose_peer()
        return PeerMirrors(peer, self) if peer is not None else None

    def _choose_peer(self) -> Peer | None:
        now = anyio.current_time()
        may_call_store = self._may_call_store(now)
        if (
            now - self._last_asked_at < PEER_REQUEST_TTL_SECONDS
            and may_call_store
        ):
            return None
        lost_count = 0
        for peer in self._ranking():
            if peer.name == self._name:
                if may_call_store:
                    return None
            elif self._silent_until.get(peer.name, 0.0) > now:
                continue
            elif self._store_lost_until.get(peer.name, 0.0) > now:
                lost_count += 1
                if lost_count >= LOST_PEERS_LIMIT:
                    return None
            else:
                return peer
        return None

    def seconds_until_retry(self) -> float:
        """Return the seconds until a peer that failed may be asked again.

        If there is none, return ``STORE_LOST_RETRY_SECONDS``.
        """
        now = anyio.current_time()
        retry_times = [
            *self._store_lost_until.values(),
            *self._silent_until.values(),
        ]
        return min(
            (retry_at - now for retry_at in retry_times if retry_at > now),
            default=STORE_LOST_RETRY_SECONDS,
        )

    def note_peer_request(self) -> None:
        """Note that a peer asked this entry for changes."""
        self._last_asked_at = anyio.current_time()

    async def watch(
        self,
        peer: Peer,
        kind: str,
        after: stores.Position,
        wait_seconds: float,
    ) -> stores.PeerChanges | None:
        """Return the changes that a peer knows, ``None`` if it failed.

        :param wait_seconds: how long the peer waits for a change.
        :raises CrowdeckError: if the store has to be called instead.
        """
        counters.COUNTERS.add("peers.asked")
        with self._cancelled_on_failure(peer):
            try:
                peer_changes = await self._peers.watch(
                    peer, kind, after, wait_seconds
                )
            except errors.CrowdeckError as error:
                if error.code in _STORE_REQUIRED_CODES:
                    raise
                self._note_failure(peer, kind, error)
                return None
            self._silence_counts.pop(peer.name, None)
            if peer.name in self._failed_peers:
                self._failed_peers.discard(peer.name)
                logs.change("peer_helps", peer=peer.name)
            return peer_changes
        # Another watch at this peer failed and cancelled this one.
        return None

    def _may_call_store(self, now: float) -> bool:
        if not self._health.is_lost:
            return True
        # Counts from this entry's own last failure, not from failures that
        # peers reported. Otherwise two entries that ask each other could both
        # delay their calls without end.
        return now - self._health.own_failed_at >= OWN_RETRY_SECONDS

    @contextlib.contextmanager
    def _cancelled_on_failure(self, peer: Peer) -> typing.Iterator[None]:
        """Cancel the block when another watch at the same peer fails.

        A silent peer answers none of its watches, and some of them have a
        much longer timeout than others.
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
            self._store_lost_until[peer.name] = now + STORE_LOST_RETRY_SECONDS
            self._health.note_peer_failure()
        elif self._silent_until.get(peer.name, 0.0) <= now:
            silence_count = self._silence_counts.get(peer.name, 0)
            self._silence_counts[peer.name] = silence_count + 1
            seconds = UNRESPONSIVE_BACKOFF_SECONDS * 2.0 ** min(
                silence_count, 10
            )
            pause_seconds = min(seconds, MAX_UNRESPONSIVE_BACKOFF_SECONDS)
            self._silent_until[peer.name] = now + pause_seconds
        if peer.name not in self._failed_peers:
            self._failed_peers.add(peer.name)
            logs.change(
                "peer_of_no_help",
                peer=peer.name,
                address=str(peer.address),
                kind=kind,
                reason=error.message,
            )
        for scope in self._watches.get(peer.name, ()):
            scope.cancel()
