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
# An entry that did not answer is passed over for this long, doubled at each
# further failure up to the maximum. Entries that are cut off from one another
# rely on estimates until they try again.
PASSED_OVER_SECONDS = 2.0
MAX_PASSED_OVER_SECONDS = 8.0


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
        """Return the first of a ranking that answered the last time.

        One of those before it that is to be tried again comes with it. If
        none has answered, several are returned that are to be tried.
        """
        now = anyio.current_time()
        untried: list[peer_selection.Peer] = []
        for peer in ranking:
            if peer.name in self._answered:
                return [*self._longest_untried(untried, 1), peer]
            silence = self._silences.get(peer.name)
            if silence is None or silence.until <= now:
                untried.append(peer)
        return self._longest_untried(untried, MAX_CONCURRENT_PEERS)

    def _longest_untried(
        self, peers: list[peer_selection.Peer], count: int
    ) -> list[peer_selection.Peer]:
        def tried_at(peer: peer_selection.Peer) -> float:
            silence = self._silences.get(peer.name)
            return silence.since if silence is not None else float("-inf")

        return sorted(peers, key=tried_at)[:count]

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
            PASSED_OVER_SECONDS * 2.0 ** min(failures - 1, 10),
            MAX_PASSED_OVER_SECONDS,
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

        Not sooner than ``PASSED_OVER_SECONDS`` after the last failure: that
        it is heard does not say that it can be reached.
        """
        silence = self._silences.get(name)
        if silence is None:
            return
        until = silence.since + PASSED_OVER_SECONDS
        self._silences[name] = attrs.evolve(
            silence, until=min(silence.until, until)
        )
