# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""The entries of the cluster, from the record of each in the store."""

import typing

import anyio
import attrs
import orjson

from crowdeck import errors
from crowdeck import instance as instances
from crowdeck import json_text
from crowdeck.membership import peer_selection
from crowdeck.observe import logs
from crowdeck.quarantine import evidence as evidences
from crowdeck.quarantine import tracker as trackers
from crowdeck.routing import rendezvous
from crowdeck.state import objects as stores

KIND = "crowdeck-entries"
# A failed call to the store for this entry's record is repeated after this.
STORE_RETRY_SECONDS = 1.0
# Larger capacities are taken for errors.
MAX_CAPACITY = 1e15
# An entry waits this long for the first listing before it writes its record
# without one.
LIST_TIMEOUT_SECONDS = 2.0
# Each change of an upstream ends the watches of all entries. The more entries
# there are, the longer each waits before its next watch, so that all entries
# together call the store less often. The maximum is well below the two seconds
# for which a leaving upstream may still get work.
LINGER_SECONDS_PER_ENTRY = 0.04
MIN_LINGER_SECONDS = 0.2
MAX_LINGER_SECONDS = 0.6
# Records change when entries start and when instances end unexpectedly. An
# unexpected end has to be known to all entries within three seconds. With this
# and WRITE_DELAY_SECONDS it is known within 0.4 s.
RECORD_LINGER_SECONDS = 0.25
# Changes of an entry's own record within this time are written together.
WRITE_DELAY_SECONDS = 0.1
# Entries that start together have all written their records after this.
SETTLE_SECONDS = 2.0
# An entry whose records are older than this is cut off from the store: it may
# not know of entries that registered since. Longer than a watch of the store,
# at whose end the records are confirmed.
MAX_RECORD_AGE_SECONDS = 12.0


Listener = typing.Callable[[], None]
AgeSource = typing.Callable[[], float]


@attrs.frozen
class EntryRecord:
    """What an entry publishes about itself in the store.

    :ivar address: where its peers reach it, ``None`` if they cannot.
    :ivar capacity: relative capacity for serving its peers.
    :ivar evidence: what it observed of instances that ended unexpectedly.
    """

    availability_zone: str
    address: instances.Address | None = None
    capacity: float = 0.0
    evidence: evidences.Evidence = evidences.Evidence()


class Roster:
    """All entries that ever registered, from the mirror of their records.

    Entries that were shut down stay listed. Each entry's share of a limit is
    computed from the number of entries. If entries that no longer run are
    counted, the shares are smaller than necessary, so limits still hold.
    Implements ``budget.Membership``.

    :param name: this entry's name.
    :param record: this entry's record.
    :param quarantine: source of this entry's evidence, and receiver of that
        of the others.
    """

    def __init__(
        self,
        store: stores.ObjectStore,
        name: str,
        record: EntryRecord,
        quarantine: trackers.QuarantineTracker | None = None,
    ) -> None:
        self._store = store
        self._name = name
        self._record = record
        self._quarantine = quarantine or trackers.QuarantineTracker()
        self._must_write = anyio.Event()
        self._quarantine.subscribe_own_evidence(self._publish_evidence)
        self._records: dict[str, EntryRecord] = {name: record}
        self._versions: dict[str, int] = {}
        self._rankings: dict[str, tuple[peer_selection.Peer, ...]] = {}
        self._listed = anyio.Event()
        self._listeners: list[Listener] = []
        self._registered_at = float("inf")
        self._is_settled = False
        self._get_age: AgeSource = lambda: float("inf")
        self._update_ranking()

    @property
    def entry_count(self) -> int:
        """Number of all entries, 0 before the first listing."""
        return self.known_entry_count if self._listed.is_set() else 0

    @property
    def registered_at(self) -> float:
        """Event loop time since which this entry's record is in the store.

        Minus infinity if an earlier process wrote it, infinity if it is not
        written yet.
        """
        return self._registered_at

    @property
    def is_settled(self) -> bool:
        """Whether entries that started at the same time are counted.

        An entry may list the records before the others have written theirs,
        and then not learn of them while the store is unavailable.
        """
        if not self._is_settled:
            current_at = anyio.current_time() - self._get_age()
            self._is_settled = (
                current_at >= self._registered_at + SETTLE_SECONDS
            )
        return self._is_settled

    @property
    def is_outdated(self) -> bool:
        """Whether entries may have registered that are not counted."""
        return self._get_age() > MAX_RECORD_AGE_SECONDS

    @property
    def all_know_since(self) -> float:
        """Loop time from which every other entry counts this one.

        Those that are cut off from the store know by then that they are.
        """
        return self._registered_at + MAX_RECORD_AGE_SECONDS

    @property
    def known_entry_count(self) -> int:
        """Number of all known entries, this one included."""
        return len(self._records)

    @property
    def zone_count(self) -> int:
        """Number of known entries in this entry's availability zone."""
        zone = self._record.availability_zone
        return sum(
            1
            for record in self._records.values()
            if record.availability_zone == zone
        )

    def subscribe(self, listener: Listener) -> None:
        """Call ``listener`` after each change of the records."""
        self._listeners.append(listener)

    def set_age_source(self, age: AgeSource) -> None:
        """Set the callable that returns the age of the records in seconds."""
        self._get_age = age

    def ranking(self) -> tuple[peer_selection.Peer, ...]:
        """Return this zone's entries, preferred readers of the store first."""
        return self._rankings.get(self._record.availability_zone, ())

    def rankings_of_other_zones(
        self,
    ) -> dict[str, tuple[peer_selection.Peer, ...]]:
        """Return the entries of each other zone, ranked in the same way."""
        return {
            zone: ranking
            for zone, ranking in self._rankings.items()
            if zone != self._record.availability_zone
        }

    def linger_seconds(self) -> float:
        """Return the seconds to wait between two watches of the upstreams."""
        seconds = LINGER_SECONDS_PER_ENTRY * self.known_entry_count
        return min(MAX_LINGER_SECONDS, max(MIN_LINGER_SECONDS, seconds))

    async def wait_listed(self) -> None:
        """Wait until the records have been listed."""
        await self._listed.wait()

    async def register(self) -> None:
        """Write this entry's record, and retry until that succeeds.

        Does not write if the store holds the same record, as after a restart.
        """
        with anyio.move_on_after(LIST_TIMEOUT_SECONDS):
            await self._listed.wait()
        while not self._is_registered():
            await self._write()

    async def run(self) -> None:
        """Keep this entry's record in the store until cancelled."""
        while True:
            self._must_write = anyio.Event()
            await self.register()
            await self._must_write.wait()
            # Further streams that fail with the same instance add evidence;
            # one write should cover them.
            await anyio.sleep(WRITE_DELAY_SECONDS)

    def _publish_evidence(self) -> None:
        self._record = attrs.evolve(
            self._record, evidence=self._quarantine.own_evidence
        )
        self._must_write.set()

    async def _write(self) -> None:
        record = self._record
        version = self._versions.get(self._name, stores.NO_VERSION)
        try:
            self._versions[self._name] = await self._store.put(
                KIND, self._name, encode(record), version
            )
        except errors.CrowdeckError as error:
            if error.code is errors.Code.STORE_CONFLICT:
                await self._read_own()
                return
            logs.change("entry_unnoted", reason=error.message)
            await anyio.sleep(STORE_RETRY_SECONDS)
            return
        self._records[self._name] = record
        self._note_stored()

    def on_listed(self, objects: tuple[stores.StoredObject, ...]) -> None:
        """Apply a listing of all records.

        The store may have been restored from a backup. Versions known so far
        may then be higher than those of newer records, and this entry's own
        record may be missing or outdated. So known versions are dropped, and
        the record is written again if it differs.
        """
        is_first_listing = not self._listed.is_set()
        if is_first_listing and any(
            stored.name == self._name for stored in objects
        ):
            # Registered by an earlier process, so all other entries count it.
            self._registered_at = float("-inf")
        self._listed.set()
        self._versions.clear()
        self.on_changed(objects, ())
        if not self._is_registered():
            self._must_write.set()

    def on_changed(
        self,
        objects: tuple[stores.StoredObject, ...],
        removed: tuple[str, ...],
    ) -> None:
        """Apply changed records; removals are ignored."""
        previous_count = self.known_entry_count
        for stored in objects:
            self._apply(stored)
        self._update_ranking()
        for listener in self._listeners:
            listener()
        if self.known_entry_count != previous_count:
            logs.change(
                "entries_known",
                entries=self.known_entry_count,
                in_zone=self.zone_count,
                first=next((peer.name for peer in self.ranking()), ""),
            )

    def _apply(self, stored: stores.StoredObject) -> None:
        if self._versions.get(stored.name, stores.NO_VERSION) > stored.version:
            # A peer's mirror may be older than this entry's own write.
            return
        self._versions[stored.name] = stored.version
        record = self._records[stored.name] = decode_record(stored)
        if stored.name != self._name:
            self._quarantine.set_peer_evidence(stored.name, record.evidence)
            return
        self._note_stored()
        # Keeps the evidence of earlier processes of this entry.
        self._quarantine.merge_own_evidence(record.evidence)
        self._publish_evidence()

    def _note_stored(self) -> None:
        self._registered_at = min(self._registered_at, anyio.current_time())

    def _is_registered(self) -> bool:
        is_stored = self._name in self._versions
        return is_stored and self._records[self._name] == self._record

    async def _read_own(self) -> None:
        """Read this entry's record after another process has written it."""
        try:
            found = await self._store.get(KIND, self._name)
        except errors.CrowdeckError as error:
            logs.change("entry_unread", name=self._name, reason=error.message)
            await anyio.sleep(STORE_RETRY_SECONDS)
            return
        if found is not None:
            self.on_changed((found,), ())
        else:
            self._versions.pop(self._name, None)

    def _update_ranking(self) -> None:
        """Rank the entries of each zone by capacity, then by a hash.

        The hash makes the order of entries with the same capacity independent
        of the order of their names.
        """
        candidates = [
            (
                -record.capacity,
                -rendezvous.score(KIND, name),
                name,
                record.address,
                record.availability_zone,
            )
            for name, record in self._records.items()
            if record.address is not None
        ]
        candidates.sort(key=lambda candidate: candidate[:3])
        rankings: dict[str, list[peer_selection.Peer]] = {}
        for _, _, name, address, zone in candidates:
            if address is not None:
                rankings.setdefault(zone, []).append(
                    peer_selection.Peer(name, address)
                )
        self._rankings = {
            zone: tuple(ranking) for zone, ranking in rankings.items()
        }


def encode(record: EntryRecord) -> bytes:
    """Return the stored form of a record."""
    address = str(record.address) if record.address else ""
    return orjson.dumps(
        {
            "availability_zone": record.availability_zone,
            "address": address,
            "capacity": record.capacity,
            "evidence": evidences.encode(record.evidence),
        }
    )


def _capacity(value: object) -> float:
    if not isinstance(value, (int, float)) or not 0.0 <= value <= MAX_CAPACITY:
        raise ValueError(f"expected a capacity from 0 to {MAX_CAPACITY:g}")
    return float(value)


def decode_record(stored: stores.StoredObject) -> EntryRecord:
    """Return an entry's record, an empty one if it is malformed."""
    try:
        body = json_text.decode(stored.value)
        address = str(body.get("address") or "")
        return EntryRecord(
            str(body["availability_zone"]),
            instances.Address.parse(address) if address else None,
            _capacity(body.get("capacity") or 0.0),
            evidences.decode(body.get("evidence")),
        )
    except (
        AttributeError,
        KeyError,
        OverflowError,
        TypeError,
        ValueError,
    ) as error:
        logs.change("entry_unread", name=stored.name, reason=repr(error))
        return EntryRecord("")
