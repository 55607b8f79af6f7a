# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Which entries there are, from what each notes in the store."""

import typing

import anyio
import attrs
import orjson

from crowdeck import errors
from crowdeck import instance as instances
from crowdeck.membership import peer_selection
from crowdeck.observe import logs
from crowdeck.quarantine import evidence as evidences
from crowdeck.quarantine import tracker as trackers
from crowdeck.routing import rendezvous
from crowdeck.state import objects as stores

KIND = "crowdeck-entries"
RETRY_SECONDS = 1.0
# A listing takes some milliseconds; where the store is away, an entry does
# not wait for it with a note that it has to write anyway.
LIST_SECONDS = 2.0
# Every entry watches the upstreams' entries, and each change wakes all of
# them. They let changes gather for longer the more they are, which bounds
# the calls of all together. An upstream that leaves may get work for two
# seconds after its entry says so; less than a third of that is spent here.
LINGER_PER_ENTRY = 0.04
LINGER_LEAST = 0.2
LINGER_MOST = 0.6
# Notes change when entries start, and when engines end under requests. Ends
# have to be known everywhere within three seconds of the third; with these
# two they are within 0.4 s (six entries, in virtual time).
NOTES_LINGER = 0.25
WRITE_PAUSE = 0.1
# Notes of entries that start together are all written within this.
SETTLE_SECONDS = 2.0


Listener = typing.Callable[[], None]
Age = typing.Callable[[], float]


@attrs.frozen
class EntryRecord:
    """What an entry tells of itself.

    :ivar address: where its peers reach it, ``None`` where they cannot.
    :ivar capacity: how much it can do for its peers; larger is more.
    :ivar evidence: what it knows of requests under which engines ended.
    """

    availability_zone: str
    address: instances.Address | None = None
    capacity: float = 0.0
    evidence: evidences.Evidence = evidences.Evidence()


class Roster:
    """The entries that were ever started, as a follower of their mirror.

    Entries that left for good stay listed: a share computed from too many
    entries is too small, which is safe. Implements ``budget.Membership``.

    :param name: this entry's name.
    :param note: what it tells of itself.
    :param quarantine: what it tells of engines' ends, and learns of them.
    """

    def __init__(
        self,
        store: stores.ObjectStore,
        name: str,
        note: EntryRecord,
        quarantine: trackers.QuarantineTracker | None = None,
    ) -> None:
        self._store = store
        self._name = name
        self._note = note
        self._quarantine = quarantine or trackers.QuarantineTracker()
        self._must_write = anyio.Event()
        self._quarantine.subscribe_own(self._tell)
        self._notes: dict[str, EntryRecord] = {name: note}
        self._versions: dict[str, int] = {}
        self._ranking: tuple[peer_selection.Peer, ...] = ()
        self._listed = anyio.Event()
        self._listeners: list[Listener] = []
        self._since = float("inf")
        self._is_settled = False
        self._age: Age = lambda: float("inf")
        self._rank()

    @property
    def entries(self) -> int:
        """Entries in all, 0 while the others' notes were never listed."""
        return self.count if self._listed.is_set() else 0

    @property
    def since(self) -> float:
        """The loop's time at which this entry's note was in the store."""
        return self._since

    @property
    def is_settled(self) -> bool:
        """Whether entries that started at the same time are counted.

        Those that list before others have written do not know of them, and
        would not for as long as the store is silent from then on.
        """
        if not self._is_settled:
            proved_at = anyio.current_time() - self._age()
            self._is_settled = proved_at >= self._since + SETTLE_SECONDS
        return self._is_settled

    @property
    def count(self) -> int:
        """Entries in all."""
        return len(self._notes)

    @property
    def zone_count(self) -> int:
        """Entries in this entry's availability zone."""
        zone = self._note.availability_zone
        return sum(
            1 for one in self._notes.values() if one.availability_zone == zone
        )

    def subscribe(self, listener: Listener) -> None:
        """Call ``listener`` whenever the number of entries is learnt."""
        self._listeners.append(listener)

    def set_age_source(self, age: Age) -> None:
        """Learn by ``age`` for how long the notes were not proved current."""
        self._age = age

    def ranking(self) -> tuple[peer_selection.Peer, ...]:
        """Return this zone's entries in the order in which they read."""
        return self._ranking

    def linger(self) -> float:
        """Return for how many seconds changes of upstreams gather."""
        seconds = LINGER_PER_ENTRY * self.count
        return min(LINGER_MOST, max(LINGER_LEAST, seconds))

    async def wait_listed(self) -> None:
        """Wait until the other entries' notes are known."""
        await self._listed.wait()

    async def register(self) -> None:
        """Note this entry in the store, however long that takes.

        One that was noted already, as all are after a restart, costs no
        call.
        """
        with anyio.move_on_after(LIST_SECONDS):
            await self._listed.wait()
        while not self._is_noted():
            await self._write()

    async def run(self) -> None:
        """Keep this entry's note in the store until cancelled."""
        while True:
            self._must_write = anyio.Event()
            await self.register()
            await self._must_write.wait()
            # Others' streams through the same engine are lost a moment
            # later, and what they tell goes with this.
            await anyio.sleep(WRITE_PAUSE)

    def _tell(self) -> None:
        """Have what this entry saw of engines' ends told to the others."""
        self._note = attrs.evolve(self._note, evidence=self._quarantine.own)
        self._must_write.set()

    async def _write(self) -> None:
        note = self._note
        version = self._versions.get(self._name, stores.CREATE)
        try:
            self._versions[self._name] = await self._store.put(
                KIND, self._name, encode(note), version
            )
        except errors.CrowdeckError as error:
            if error.code is errors.Code.STORE_CONFLICT:
                await self._read_own()
                return
            logs.change("entry_unnoted", reason=error.message)
            await anyio.sleep(RETRY_SECONDS)
            return
        self._notes[self._name] = note
        self._note_since()

    def on_listed(self, objects: tuple[stores.StoredObject, ...]) -> None:
        """Take all entries.

        A listing that comes after a lost history may be of a store that was
        restored from a copy: versions known so far may be higher than those
        of newer notes, and this entry's own note may be gone or an older
        one. Refused or not written again, it would be missing, with what it
        tells of requests that end engines, until the next restart.
        """
        is_first = not self._listed.is_set()
        if is_first and any(one.name == self._name for one in objects):
            # An earlier run is noted, and counted by all the others.
            self._since = float("-inf")
        self._listed.set()
        self._versions.clear()
        self.on_changed(objects, ())
        if not self._is_noted():
            self._must_write.set()

    def on_changed(
        self,
        objects: tuple[stores.StoredObject, ...],
        removed: tuple[str, ...],
    ) -> None:
        """Take entries that were noted."""
        before = self.count
        for one in objects:
            self._take(one)
        self._rank()
        for listener in self._listeners:
            listener()
        if self.count != before:
            logs.change(
                "entries_known",
                entries=self.count,
                in_zone=self.zone_count,
                first=self._ranking[0].name if self._ranking else "",
            )

    def _take(self, stored: stores.StoredObject) -> None:
        if self._versions.get(stored.name, stores.CREATE) > stored.version:
            # Our own write is known before the copy that a peer keeps.
            return
        self._versions[stored.name] = stored.version
        note = self._notes[stored.name] = decode_record(stored)
        if stored.name != self._name:
            self._quarantine.take(stored.name, note.evidence)
            return
        self._note_since()
        # What an earlier run of this entry saw is its to tell as well.
        self._quarantine.take_own(note.evidence)
        self._tell()

    def _note_since(self) -> None:
        self._since = min(self._since, anyio.current_time())

    def _is_noted(self) -> bool:
        noted = self._name in self._versions
        return noted and self._notes[self._name] == self._note

    async def _read_own(self) -> None:
        """Find out what another run of this entry noted."""
        try:
            found = await self._store.get(KIND, self._name)
        except errors.CrowdeckError as error:
            logs.change("entry_unread", name=self._name, reason=error.message)
            await anyio.sleep(RETRY_SECONDS)
            return
        if found is not None:
            self.on_changed((found,), ())
        else:
            self._versions.pop(self._name, None)

    def _rank(self) -> None:
        """Put those that can do most for others first.

        Among equals a hash decides, so that names in a row do not make one
        rack read for a whole zone.
        """
        here = [
            (-note.capacity, -rendezvous.score(KIND, name), name, note.address)
            for name, note in self._notes.items()
            if note.address is not None
            and note.availability_zone == self._note.availability_zone
        ]
        self._ranking = tuple(
            peer_selection.Peer(name, address)
            for _, _, name, address in sorted(here, key=lambda one: one[:3])
            if address is not None
        )


def encode(note: EntryRecord) -> bytes:
    """Return a note as the store keeps it."""
    address = str(note.address) if note.address else ""
    return orjson.dumps(
        {
            "availability_zone": note.availability_zone,
            "address": address,
            "capacity": note.capacity,
            "evidence": evidences.encode(note.evidence),
        }
    )


def decode_record(stored: stores.StoredObject) -> EntryRecord:
    """Return what an entry noted; nothing where it cannot be read."""
    try:
        body = orjson.loads(stored.value)
        address = str(body.get("address") or "")
        return EntryRecord(
            str(body["availability_zone"]),
            instances.Address.parse(address) if address else None,
            float(body.get("capacity") or 0.0),
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
