# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Choice of the entries that are told this entry's load."""

import typing

import anyio
import attrs

from crowdeck.membership import peer_selection
from crowdeck.observe import logs

# So many entries are told at once until one of them has answered. Rankings
# list entries that were shut down, and each costs a timeout.
MAX_CONCURRENT_PEERS = 3


@attrs.frozen
class _Silence:
    """A peer that did not answer. Times are loop times.

    :ivar failures: number of failures in a row.
    :ivar until: when it may be told again.
    """

    failures: int
    since: float
    until: float


class ResponsivePeers:
    """Passes over entries that did not answer, for some seconds."""

    def __init__(self) -> None:
        self._silences: dict[str, _Silence] = {}
        self._answered: set[str] = set()

    def choose(
        self, ranking: typing.Iterable[peer_selection.Peer]
    ) -> list[peer_selection.Peer]:
        """Return the first of a ranking that is expected to answer.

        Those before it that are to be tried again come with it.
        """
        now = anyio.current_time()
        chosen: list[peer_selection.Peer] = []
        for peer in ranking:
            silence = self._silences.get(peer.name)
            if silence is not None and now < silence.until:
                continue
            chosen.append(peer)
            if peer.name in self._answered:
                break
            if len(chosen) == MAX_CONCURRENT_PEERS:
                break
        return chosen

    def has_answered(self, peer: peer_selection.Peer) -> bool:
        """Whether a peer answered the last time."""
        return peer.name in self._answered

    def note_answer(self, peer: peer_selection.Peer) -> None:
        """Note that a peer answered."""
        self._silences.pop(peer.name, None)
        self._answered.add(peer.name)

    def note_failure(self, peer: peer_selection.Peer, reason: str) -> None:
        """Note that a peer did not answer as expected."""
        known = self._silences.get(peer.name)
        failures = 1 if known is None else known.failures + 1
        seconds = min(
            peer_selection.UNRESPONSIVE_BACKOFF_SECONDS
            * 2.0 ** min(failures - 1, 10),
            peer_selection.MAX_UNRESPONSIVE_BACKOFF_SECONDS,
        )
        now = anyio.current_time()
        self._silences[peer.name] = _Silence(failures, now, now + seconds)
        if known is None:
            logs.change(
                "load_peer_passed_over",
                peer=peer.name,
                address=str(peer.address),
                reason=reason,
                seconds=seconds,
            )
        self._answered.discard(peer.name)

    def note_alive(self, name: str) -> None:
        """Note that an entry was heard of, which may be told again.

        Not sooner than after the first backoff: that it is heard does not
        say that it can be reached.
        """
        silence = self._silences.get(name)
        if silence is None:
            return
        until = silence.since + peer_selection.UNRESPONSIVE_BACKOFF_SECONDS
        self._silences[name] = attrs.evolve(
            silence, until=min(silence.until, until)
        )
