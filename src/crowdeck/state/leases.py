# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""A lease in the platform's store: one holder of a duty at a time."""

import typing

import anyio
import attrs
import orjson

from crowdeck import errors
from crowdeck.observe import counters
from crowdeck.observe import logs
from crowdeck.state import objects as stores

KIND = "crowdeck-leases"
# Long enough to outlive two lost renewals, short enough that a duty is
# taken up again while a request that waits for it still has time.
LEASE_SECONDS = 4.5
RENEW_SECONDS = 1.5
# Whoever holds it tries again this soon while the store does not answer.
# One process does, for 3.8 s at most. A store that was away for 2.5 s was
# met by a try 1 s after its return, when the holder had already lapsed:
# with this it is met within 0.5 s, and the duty is not interrupted.
HOLD_RETRY_SECONDS = 0.5
# Terms of one epoch of the store. Those of the next are all higher, also
# where the store has forgotten the last ones that were given. More than the
# versions of an epoch: 400 writes a second take 87 years.
TERMS_PER_EPOCH = 2**40
# The holder stops this much before others may begin: time for an act
# under way to arrive. Clocks need not agree, only run at one rate.
SAFETY_SECONDS = 0.7
# No process has this name.
UNREADABLE_HOLDER = "?"
# Objects in which a lease may stand one after the other. Each one that
# another writer spoils is used up for good, and a process that starts asks
# for three of the store's calls at each: at 4 ms, all are passed within a
# quarter of the lease's length.
LAST_OBJECT_INDEX = 64


@attrs.frozen
class Holding:
    """The stored lease.

    :ivar holder: name of the holder's run, empty when it was given up.
    :ivar term: rises with each change of holder: the fencing token.
    :ivar memo: what a holder tells the next one.
    :ivar successor: name of the object that stands for it from now on; empty
        while this one does.
    """

    holder: str
    term: int
    memo: tuple[str, ...] = ()
    successor: str = ""


class Lease:
    """One process's side of a lease.

    Others judge the holder by their own clocks: a lease whose object has
    not changed for its whole length, as watched here, has run out. So no
    wall clock matters, and a jump of one does no harm.

    A store that comes back from a copy may show a lease that was passed on or
    given up since. So for its whole length after a new epoch was met nobody
    takes it. Whoever held it before the return holds it on meanwhile, and
    may write it back: all others, also those that start anew, wait longer
    than its time runs.

    Another writer may spoil the object, and nobody can tell what stood in it
    before: a renewal, or that somebody else had taken it. So a spoilt object
    is never held again. Whoever finds it makes the next one, of another
    name, and closes the spoilt one by a conditional write. From that write
    on nobody renews the lease in the closed one, and whoever held it there
    has lapsed a lease's length later, when the others take the next one. Who
    still holds it moves there at once: nobody else can hold it before. What
    has a next one is taken by nobody, whatever is written there again.

    :param holder: unique to this run of the process, so that a restarted
        process does not take itself for the holder.
    :param is_candidate: whether this process is to look after the lease. The
        looks of a few are enough to find it free, and each is charged for.
        Whoever holds it keeps it all the same.
    :param is_new_fleet: whether no process of the fleet can have run before
        this one; else a lease that is free may be so in an old copy only.
    """

    def __init__(
        self,
        store: stores.ObjectStore,
        duty: str,
        holder: str,
        is_candidate: typing.Callable[[], bool] = lambda: True,
        *,
        is_new_fleet: bool = True,
    ) -> None:
        self._store = store
        self._duty = duty
        self._holder = holder
        self._may_stand = is_candidate
        self._is_new_fleet = is_new_fleet
        self._epoch: int | None = None
        # What is known of the lease is of an earlier epoch.
        self._is_outdated = False
        self._has_failed = False
        # Before this moment only its holder may write it.
        self._free_at = 0.0
        # Which of the objects it stands in.
        self._place = 0
        # Whether it was read in the first place, in this epoch.
        self._was_there = False
        # Whether what is held here was begun here, in this epoch.
        self._is_settled = False
        # The store's version when the place before was closed.
        self._closed_at = 0
        self._version = stores.CREATE
        self._seen: Holding | None = None
        self._seen_at = 0.0
        self._held_until = 0.0
        self._was_held = False
        self._is_over = False
        # The highest term seen: one that follows a spoilt lease is higher.
        self._known_term = 0
        self._memo: tuple[str, ...] = ()
        # What the last holder that could be read had noted.
        self._told: tuple[str, ...] = ()
        self._memo_changed = anyio.Event()
        self._taken = anyio.Event()

    @property
    def is_held(self) -> bool:
        """Whether this process may act now."""
        return anyio.current_time() < self._held_until

    @property
    def term(self) -> int:
        """The fencing token, while the lease is held."""
        if self.is_held:
            # Not what a store that was restored shows of an earlier holder.
            return self._known_term
        return self._seen.term if self._seen else 0

    @property
    def memo(self) -> tuple[str, ...]:
        """What this holder, or the one before it, last noted."""
        return self._memo

    async def wait_held(self) -> None:
        """Wait until this process holds the lease for the first time."""
        await self._taken.wait()

    def set_memo(self, memo: tuple[str, ...]) -> None:
        """Have the next holder told something; written with a renewal.

        The renewal is made at once. A holder that dies before it has
        arrived leaves its note untold.
        """
        if memo != self._memo:
            self._memo = memo
            self._memo_changed.set()

    async def run(self) -> None:
        """Take, keep or await the lease until cancelled."""
        while not self._is_over:
            epoch, self._has_failed = self._epoch, False
            try:
                if self.is_held or self._is_mine or self._may_stand():
                    await self._step()
            except errors.CrowdeckError as error:
                self._has_failed = True
                counters.COUNTERS.add("lease.failed")
                await self._meet_failure(error)
            self._note_change()
            if self._is_outdated and self._epoch != epoch:
                # Once for each epoch: what is held may be written back yet.
                continue
            with anyio.move_on_after(self._pause()):
                await self._memo_changed.wait()
            self._memo_changed = anyio.Event()

    async def release(self) -> None:
        """Let another have the lease at once, if it is held here.

        Without it the others wait for its whole length. A store that
        cannot be reached costs no more than that.
        """
        self._is_over = True
        self._held_until = 0.0
        seen = self._seen
        if seen is None or seen.holder != self._holder:
            return
        try:
            await self._write(Holding("", seen.term, self._memo))
        except errors.CrowdeckError as error:
            logs.change("lease_kept", duty=self._duty, reason=error.message)
        self._held_until = 0.0
        self._note_change()

    @property
    def _is_mine(self) -> bool:
        return self._seen is not None and self._seen.holder == self._holder

    @property
    def _is_closed(self) -> bool:
        return self._seen is not None and bool(self._seen.successor)

    @property
    def _is_spoilt(self) -> bool:
        """Whether it cannot be held where it was looked for."""
        if self._seen is None or self._place >= LAST_OBJECT_INDEX:
            return False
        return self._is_closed or self._seen.holder == UNREADABLE_HOLDER

    async def _step(self) -> None:
        if self._seen is None or not self._is_mine or self._is_outdated:
            # An old answer only makes a take-over fail at its conditional
            # write; looking is what all other processes do all day.
            is_needed = self._seen is None or self._is_outdated
            allow_stale = not (is_needed or self.is_held)
            await self._look(allow_stale=allow_stale)
            if allow_stale and self._is_spoilt:
                # An old answer may be from before the object was made.
                await self._look()
        while True:
            may_begin = self._may_begin
            if not self._is_spoilt and not (
                may_begin and await self._has_next()
            ):
                break
            await self._pass_on()
        if may_begin:
            await self._begin()
        elif self.is_held:
            await self._write(
                Holding(self._holder, self._known_term, self._memo)
            )

    async def _begin(self) -> None:
        """Take the lease where it was looked for, or move it there."""
        if not self._may_begin:
            # It lapsed while the next object was asked for.
            return
        if not self.is_held and not self._is_mine:
            self._memo = self._seen.memo if self._seen else ()
        is_written_back = self.is_held and self._place == 0
        term = self._known_term if is_written_back else self._next_term()
        await self._write(Holding(self._holder, term, self._memo))

    @property
    def _may_begin(self) -> bool:
        """Whether this process may begin to hold it in this object."""
        if self.is_held:
            return not self._is_settled
        now = anyio.current_time()
        return now >= self._free_at and self._is_free(now)

    def _is_free(self, now: float) -> bool:
        seen = self._seen
        return (
            seen is None
            or not seen.holder
            # Nobody else can have had it since: writes are conditional.
            or self._is_mine
            or now - self._seen_at >= LEASE_SECONDS
        )

    def _name(self, place: int) -> str:
        return f"{self._duty}.{place}" if place else self._duty

    async def _has_next(self) -> bool:
        """Whether there is an object after the one it stands in."""
        found = await self._store.get(KIND, self._name(self._place + 1))
        return found is not None

    async def _pass_on(self) -> None:
        """Leave an object for the next one."""
        epoch = self._epoch
        if not await self._has_next():
            await self._make_next()
        # Closed or not counts only now that the next one is there: whoever
        # looks from here on finds it, and begins nothing here.
        await self._look()
        if self._epoch != epoch:
            # This is the first object again, as the new epoch has it.
            return
        if not self._is_closed:
            await self._close()
        self._closed_at = max(self._closed_at, self._version)
        self._free_at = max(
            self._free_at, anyio.current_time() + LEASE_SECONDS
        )
        self._place += 1
        self._is_settled = False
        self._seen, self._version = None, stores.CREATE
        logs.change(
            "lease_passed_on",
            duty=self._duty,
            place=self._name(self._place),
            is_held=self.is_held,
        )
        await self._look()

    async def _make_next(self) -> None:
        """Make the next object, free for whoever may begin."""
        name = self._name(self._place + 1)
        value = orjson.dumps(attrs.asdict(Holding("", 0, self._told)))
        try:
            await self._store.put(KIND, name, value, stores.CREATE)
        except errors.CrowdeckError as error:
            if error.code is not errors.Code.STORE_CONFLICT:
                raise

    async def _close(self) -> None:
        """Have an object hold the lease no more."""
        successor = self._name(self._place + 1)
        closed = Holding(
            UNREADABLE_HOLDER, self._known_term, self._told, successor
        )
        value = orjson.dumps(attrs.asdict(closed))
        version = await self._store.put(
            KIND, self._name(self._place), value, self._version
        )
        self._version = version

    def _next_term(self) -> int:
        stored = self._seen.term if self._seen else 0
        before = (self._epoch or 0) * TERMS_PER_EPOCH
        is_unread = self._seen and self._seen.holder == UNREADABLE_HOLDER
        if stored <= before or is_unread:
            # The first term of this epoch or of this object, or the one after
            # some that were replaced: by another writer, or by a write which
            # crossed the store's return. No term is higher than the version
            # it was written over.
            return before + max(1, self._version, self._closed_at)
        return stored if self._is_mine else stored + 1

    def _pause(self) -> float:
        """Return the seconds until the next step."""
        has_failed = self.is_held and self._has_failed
        return HOLD_RETRY_SECONDS if has_failed else RENEW_SECONDS

    async def _meet_failure(self, error: errors.CrowdeckError) -> None:
        if error.code is errors.Code.STORE_CONFLICT:
            # A version of an earlier epoch says nothing of who wrote it.
            if not self._is_outdated:
                await self._meet_conflict()
        elif error.code is errors.Code.STORE_UNSURE:
            # Our own write may stand under a version that we do not know;
            # reading it back tells.
            await self._read_back()

    async def _meet_conflict(self) -> None:
        """Find out who wrote a lease that was to be written here."""
        if self.is_held:
            self._seen = None
            await self._read_back()
            if self._is_spoilt:
                # No other can hold it within the time that it is held here
                # yet: it is moved.
                return
        self._lost("another wrote it")

    def _meet_epoch(self) -> bool:
        """Whether the store is in an epoch that was not met before."""
        epoch = self._store.epoch
        if epoch is None or epoch == self._epoch:
            return False
        known, self._epoch = self._epoch, epoch
        if known is None and self._is_new_fleet:
            return False
        self._free_at = anyio.current_time() + LEASE_SECONDS
        if known is None:
            return False
        self._is_outdated = True
        self._place, self._closed_at = 0, 0
        self._was_there = self._is_settled = False
        logs.change(
            "lease_outdated",
            duty=self._duty,
            epoch=self._epoch,
            before=known,
            is_held=self.is_held,
        )
        return True

    async def _look(self, allow_stale: bool = False) -> None:
        found = await self._store.get(
            KIND, self._name(self._place), allow_stale=allow_stale
        )
        while self._meet_epoch():
            # This answer may still be of the epoch before.
            found = await self._store.get(KIND, self._name(self._place))
        is_new, self._is_outdated = self._is_outdated, False
        if found is None and not self._was_there:
            self._seen, self._version = None, stores.CREATE
            return
        self._was_there = True
        version = found.version if found else stores.CREATE
        if is_new or version != self._version or self._seen is None:
            self._version = version
            self._seen = self._read(found.value if found else b"")
            self._seen_at = anyio.current_time()

    def _read(self, value: bytes) -> Holding:
        """Return what a stored lease says.

        One that another writer spoilt, or removed, is taken for somebody's
        who never renews it.
        """
        try:
            found = _decode(value)
        except errors.CrowdeckError as error:
            logs.change("lease_unread", duty=self._duty, reason=error.message)
            return Holding(UNREADABLE_HOLDER, self._known_term, self._told)
        self._known_term = max(self._known_term, found.term)
        self._told = found.memo
        return found

    async def _read_back(self) -> None:
        try:
            await self._look()
        except errors.CrowdeckError as error:
            logs.change("lease_unread", duty=self._duty, reason=error.message)

    async def _write(self, holding: Holding) -> None:
        sent_at = anyio.current_time()
        value = orjson.dumps(attrs.asdict(holding))
        # A changed value each time: a write that changes nothing would
        # not move the version by which the others see a renewal.
        value = value[:-1] + f',"sent":{sent_at:.6f}}}'.encode()
        try:
            version = await self._store.put(
                KIND, self._name(self._place), value, self._version
            )
        finally:
            is_outdated = self._meet_epoch()
        if is_outdated:
            # It may have replaced what another wrote at the same version.
            raise errors.CrowdeckError(
                errors.Code.STORE_CONFLICT,
                f"the lease {self._duty} was written in another epoch of the "
                "store than it was read in",
            )
        self._version = version
        self._was_there = True
        self._is_settled = True
        self._seen = holding
        self._known_term = max(self._known_term, holding.term)
        self._seen_at = sent_at
        self._held_until = sent_at + LEASE_SECONDS - SAFETY_SECONDS

    def _lost(self, reason: str) -> None:
        self._held_until = 0.0
        self._seen = None
        logs.change("lease_conflict", duty=self._duty, reason=reason)

    def _note_change(self) -> None:
        if self.is_held != self._was_held:
            self._was_held = self.is_held
            if self.is_held:
                self._taken.set()
            what = "lease_taken" if self.is_held else "lease_lost"
            logs.change(what, duty=self._duty, term=self.term)


def _decode(value: bytes) -> Holding:
    try:
        body = orjson.loads(value)
        holder, term = str(body["holder"]), int(body["term"])
        memo = tuple(str(one) for one in body.get("memo", ()))
        return Holding(holder, term, memo, str(body.get("successor", "")))
    except (
        AttributeError,
        KeyError,
        OverflowError,
        TypeError,
        ValueError,
    ) as error:
        raise errors.CrowdeckError(
            errors.Code.MALFORMED, f"the stored lease is malformed ({error!r})"
        ) from None
