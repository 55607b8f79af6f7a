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
from crowdeck import json_text
from crowdeck.observe import counters
from crowdeck.observe import logs
from crowdeck.state import objects as stores

KIND = "crowdeck-leases"
# A lease whose object has not changed for this long has expired. Long enough
# to outlive two lost renewals, and short enough that the work is taken up
# again while a request that waits for it still has time.
LEASE_SECONDS = 4.5
RENEW_SECONDS = 1.5
# Interval between a holder's steps after one has failed, so that it may still
# renew the lease before it expires. With 1 s it may expire in an outage of
# 2.5 s. Only the holder retries so often, for 3.8 s at most.
HOLDER_RETRY_SECONDS = 0.5
# Size of the range of terms reserved for each epoch of the store. Must exceed
# the number of versions in an epoch, so that the terms of a later epoch are
# higher than all earlier ones, including those that a restore has lost. At 400
# writes a second this many take 87 years.
TERMS_PER_EPOCH = 2**40
# A higher term is another writer's: terms of this system are below the number
# of its epochs times TERMS_PER_EPOCH.
MAX_TERM = 2**52
# The holder stops this long before others may take over, so that a request
# that it has already sent arrives before the next holder acts. Clocks need not
# agree, only run at the same rate.
SAFETY_MARGIN_SECONDS = 0.7
# Holder shown for a lease that cannot be read, and stored in an object that is
# closed. No process has this name.
UNREADABLE_HOLDER = "?"
# Index of the last object that may hold a lease. Each object that another
# writer corrupts is abandoned for the next one, and a process that starts
# has to step through all of them. It makes three calls for each: at 4 ms a
# call, all take less than a quarter of LEASE_SECONDS.
LAST_OBJECT_INDEX = 64


@attrs.frozen
class LeaseRecord:
    """The stored lease.

    :ivar holder: unique name of the process that holds it, empty once it was
        released.
    :ivar term: the fencing token, which grows with each change of holder.
    :ivar memo: data that a holder leaves for the next one.
    :ivar successor: name of the object that holds the lease instead of this
        one; empty while this one does.
    """

    holder: str
    term: int
    memo: tuple[str, ...] = ()
    successor: str = ""


class Lease:
    """A process's handle on a lease: takes, renews and releases it.

    Each process times the lease by its own monotonic clock: a lease whose
    object has not been seen to change for ``LEASE_SECONDS`` has expired.

    A store that is restored from a backup may show an outdated lease. So
    nobody takes the lease for ``LEASE_SECONDS`` after a new epoch, except a
    process that held it before the restore, which may write it back.

    If another writer corrupts the object, it is unknown who held the lease.
    A process that finds the corruption creates the next object, under another
    name, and closes the corrupted one by a conditional write. Others may take
    the lease in the next object ``LEASE_SECONDS`` later, when any holder has
    stopped; a current holder moves there at once. The lease is never taken in
    an object that has a next one.

    :param duty: name of the work that only the holder does; the lease's
        objects are named after it.
    :param holder: unique to this process, so that a restarted one does not
        mistake itself for the holder.
    :param is_candidate: returns whether this process is to read the lease and
        take it when free. A few candidates are enough, and each read is
        charged for. A holder keeps the lease in any case.
    :param is_new_fleet: whether no process of the fleet can have run before
        this one; otherwise a lease that looks free may come from an old
        backup, and is not taken for the first ``LEASE_SECONDS``.
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
        self._is_candidate = is_candidate
        self._is_new_fleet = is_new_fleet
        self._epoch: int | None = None
        # Whether the lease was last read in an earlier epoch.
        self._is_outdated = False
        self._has_failed = False
        # Event-loop time before which this process may not take the lease
        # unless it holds it.
        self._earliest_take_at = 0.0
        # Index of the current object.
        self._index = 0
        # Whether the lease has been found or written in this epoch. If its
        # object is missing later, it has been removed by another writer.
        self._has_existed = False
        # Whether the lease was written to the current object in this epoch.
        self._is_written_to_object = False
        # The highest version at which an object was closed in this epoch.
        self._highest_closed_version = 0
        self._version = stores.NO_VERSION
        self._record: LeaseRecord | None = None
        self._record_changed_at = 0.0
        self._held_until = 0.0
        self._was_held = False
        self._is_released = False
        # The highest term seen; the term after a corrupted lease is higher.
        self._highest_term = 0
        self._memo: tuple[str, ...] = ()
        # The memo of the last lease that could be read.
        self._last_memo: tuple[str, ...] = ()
        self._memo_changed = anyio.Event()
        self._first_held = anyio.Event()

    @property
    def is_held(self) -> bool:
        """Whether this process may act now."""
        return anyio.current_time() < self._held_until

    @property
    def term(self) -> int:
        """The fencing token, while the lease is held."""
        if self.is_held:
            # A restored store may show the term of an earlier holder.
            return self._highest_term
        return self._record.term if self._record else 0

    @property
    def memo(self) -> tuple[str, ...]:
        """The memo of this holder, or of the one before it."""
        return self._memo

    async def wait_held(self) -> None:
        """Wait until this process holds the lease for the first time."""
        await self._first_held.wait()

    def set_memo(self, memo: tuple[str, ...]) -> None:
        """Set the memo for the next holder, and renew the lease at once.

        The memo is lost if the holder dies before the renewal is stored.
        """
        if memo != self._memo:
            self._memo = memo
            self._memo_changed.set()

    async def run(self) -> None:
        """Take, renew or wait for the lease until cancelled."""
        while not self._is_released:
            epoch, self._has_failed = self._epoch, False
            try:
                if (
                    self.is_held
                    or self._is_recorded_holder
                    or self._is_candidate()
                ):
                    await self._step()
            except errors.CrowdeckError as error:
                self._has_failed = True
                counters.COUNTERS.add("lease.failed")
                await self._handle_failure(error)
            self._log_change()
            if self._is_outdated and self._epoch != epoch:
                # Step again at once: a lease that was held before the restore
                # may be written back.
                continue
            with anyio.move_on_after(self._step_interval()):
                await self._memo_changed.wait()
            self._memo_changed = anyio.Event()

    async def release(self) -> None:
        """Release the lease, if it is held here, so that others may take it.

        If the store cannot be reached, the others wait until it expires.
        """
        self._is_released = True
        self._held_until = 0.0
        record = self._record
        if record is None or record.holder != self._holder:
            return
        try:
            await self._write(LeaseRecord("", record.term, self._memo))
        except errors.CrowdeckError as error:
            logs.change("lease_kept", duty=self._duty, reason=error.message)
        self._held_until = 0.0
        self._log_change()

    @property
    def _is_recorded_holder(self) -> bool:
        return self._record is not None and self._record.holder == self._holder

    @property
    def _is_closed(self) -> bool:
        return self._record is not None and bool(self._record.successor)

    @property
    def _must_use_next_object(self) -> bool:
        """Whether the lease cannot stay in the current object."""
        if self._record is None or self._index >= LAST_OBJECT_INDEX:
            return False
        return self._is_closed or self._record.holder == UNREADABLE_HOLDER

    async def _step(self) -> None:
        if (
            self._record is None
            or not self._is_recorded_holder
            or self._is_outdated
        ):
            # A stale answer is cheaper, and can only make a take-over fail at
            # its conditional write.
            needs_current = self._record is None or self._is_outdated
            allow_stale = not (needs_current or self.is_held)
            await self._refresh(allow_stale=allow_stale)
            if allow_stale and self._must_use_next_object:
                # A stale answer may be from before the object was created.
                await self._refresh()
        while True:
            # Skip objects that have a next one. Reading that one costs a call,
            # so only a process that may take the lease does.
            may_take = self._may_take
            if not self._must_use_next_object and not (
                may_take and await self._has_next()
            ):
                break
            await self._move_to_next()
        if may_take:
            await self._take()
        elif self.is_held:
            await self._write(
                LeaseRecord(self._holder, self._highest_term, self._memo)
            )

    async def _take(self) -> None:
        """Take the lease in the current object, or move it there."""
        if not self._may_take:
            # This process's hold ended while the next object was read.
            return
        if not self.is_held and not self._is_recorded_holder:
            self._memo = self._record.memo if self._record else ()
        # In a later object the term must exceed any that was overwritten
        # unread.
        keeps_term = self.is_held and self._index == 0
        term = self._highest_term if keeps_term else self._next_term()
        await self._write(LeaseRecord(self._holder, term, self._memo))

    @property
    def _may_take(self) -> bool:
        """Whether this process may take or move the lease here."""
        if self.is_held:
            return not self._is_written_to_object
        now = anyio.current_time()
        return now >= self._earliest_take_at and self._is_free(now)

    def _is_free(self, now: float) -> bool:
        record = self._record
        return (
            record is None
            or not record.holder
            # Nobody else can have held it since: writes are conditional.
            or self._is_recorded_holder
            or now - self._record_changed_at >= LEASE_SECONDS
        )

    def _object_name(self, index: int) -> str:
        return f"{self._duty}.{index}" if index else self._duty

    async def _has_next(self) -> bool:
        """Whether there is an object after the current one."""
        found = await self._store.get(KIND, self._object_name(self._index + 1))
        return found is not None

    async def _move_to_next(self) -> None:
        """Close the current object and move on to the next one."""
        epoch = self._epoch
        if not await self._has_next():
            await self._create_next()
        # Read the current object after creating the next one: whoever reads
        # it from now on finds the next one, and does not take the lease here.
        await self._refresh()
        if self._epoch != epoch:
            # A new epoch begins with the first object again.
            return
        if not self._is_closed:
            await self._close()
        self._highest_closed_version = max(
            self._highest_closed_version, self._version
        )
        self._earliest_take_at = max(
            self._earliest_take_at, anyio.current_time() + LEASE_SECONDS
        )
        self._index += 1
        self._is_written_to_object = False
        self._record, self._version = None, stores.NO_VERSION
        logs.change(
            "lease_passed_on",
            duty=self._duty,
            place=self._object_name(self._index),
            is_held=self.is_held,
        )
        await self._refresh()

    async def _create_next(self) -> None:
        """Create the next object with a free lease."""
        name = self._object_name(self._index + 1)
        value = orjson.dumps(attrs.asdict(LeaseRecord("", 0, self._last_memo)))
        try:
            await self._store.put(KIND, name, value, stores.NO_VERSION)
        except errors.CrowdeckError as error:
            if error.code is not errors.Code.STORE_CONFLICT:
                raise

    async def _close(self) -> None:
        """Mark the current object as replaced by the next one."""
        successor = self._object_name(self._index + 1)
        closed = LeaseRecord(
            UNREADABLE_HOLDER, self._highest_term, self._last_memo, successor
        )
        value = orjson.dumps(attrs.asdict(closed))
        version = await self._store.put(
            KIND, self._object_name(self._index), value, self._version
        )
        self._version = version

    def _next_term(self) -> int:
        stored = self._record.term if self._record else 0
        epoch_base = (self._epoch or 0) * TERMS_PER_EPOCH
        is_unreadable = (
            self._record and self._record.holder == UNREADABLE_HOLDER
        )
        if stored <= epoch_base or is_unreadable:
            # An overwritten term that was never read here must not be used
            # again. No term exceeds ``epoch_base`` plus the version that its
            # write created, and that version is below the highest one known.
            return epoch_base + max(
                1, self._version, self._highest_closed_version
            )
        return stored if self._is_recorded_holder else stored + 1

    def _step_interval(self) -> float:
        """Return the seconds until the next step."""
        retries_soon = self.is_held and self._has_failed
        return HOLDER_RETRY_SECONDS if retries_soon else RENEW_SECONDS

    async def _handle_failure(self, error: errors.CrowdeckError) -> None:
        if error.code is errors.Code.STORE_CONFLICT:
            # After a restore a conflict does not show that another process
            # wrote: the expected version is of the earlier epoch.
            if not self._is_outdated:
                await self._handle_conflict()
        elif error.code is errors.Code.STORE_UNSURE:
            # The write may have been stored under an unknown version.
            await self._read_back()

    async def _handle_conflict(self) -> None:
        """Drop the lease after a conflict, unless it can be moved.

        A lease that is held here is kept if its object was corrupted or
        closed.
        """
        if self.is_held:
            self._record = None
            await self._read_back()
            if self._must_use_next_object:
                # No other process can take the lease before it has expired
                # in this object, so this process keeps it and moves it to
                # the next object.
                return
        self._abandon("another process wrote the lease")

    def _observe_epoch(self) -> bool:
        """Record the store's epoch; return whether it replaced a known one."""
        epoch = self._store.epoch
        if epoch is None or epoch == self._epoch:
            return False
        previous, self._epoch = self._epoch, epoch
        if previous is None and self._is_new_fleet:
            return False
        self._earliest_take_at = anyio.current_time() + LEASE_SECONDS
        if previous is None:
            return False
        self._is_outdated = True
        self._index, self._highest_closed_version = 0, 0
        self._has_existed = self._is_written_to_object = False
        logs.change(
            "lease_outdated",
            duty=self._duty,
            epoch=self._epoch,
            before=previous,
            is_held=self.is_held,
        )
        return True

    async def _refresh(self, allow_stale: bool = False) -> None:
        found = await self._store.get(
            KIND, self._object_name(self._index), allow_stale=allow_stale
        )
        while self._observe_epoch():
            # The value may still be from the previous epoch.
            found = await self._store.get(KIND, self._object_name(self._index))
        was_outdated, self._is_outdated = self._is_outdated, False
        if found is None and not self._has_existed:
            self._record, self._version = None, stores.NO_VERSION
            return
        self._has_existed = True
        version = found.version if found else stores.NO_VERSION
        if was_outdated or version != self._version or self._record is None:
            self._version = version
            self._record = self._parse(found.value if found else b"")
            self._record_changed_at = anyio.current_time()

    def _parse(self, value: bytes) -> LeaseRecord:
        """Parse a stored lease.

        One that is corrupted or missing counts as held by an unknown process
        that never renews it.
        """
        try:
            found = _decode(value)
        except errors.CrowdeckError as error:
            logs.change("lease_unread", duty=self._duty, reason=error.message)
            return LeaseRecord(
                UNREADABLE_HOLDER, self._highest_term, self._last_memo
            )
        self._highest_term = max(self._highest_term, found.term)
        self._last_memo = found.memo
        return found

    async def _read_back(self) -> None:
        try:
            await self._refresh()
        except errors.CrowdeckError as error:
            logs.change("lease_unread", duty=self._duty, reason=error.message)

    async def _write(self, record: LeaseRecord) -> None:
        sent_at = anyio.current_time()
        value = orjson.dumps(attrs.asdict(record))
        # Makes each value differ from the last one. The store may keep the
        # version of an unchanged value, and the others would not notice the
        # renewal.
        value = value[:-1] + f',"sent":{sent_at:.6f}}}'.encode()
        try:
            version = await self._store.put(
                KIND, self._object_name(self._index), value, self._version
            )
        finally:
            has_new_epoch = self._observe_epoch()
        if has_new_epoch:
            # The write may have replaced one by another process that has the
            # same version in the new epoch.
            raise errors.CrowdeckError(
                errors.Code.STORE_CONFLICT,
                f"the store was restored between reading and writing the "
                f"lease {self._duty}",
            )
        self._version = version
        self._has_existed = True
        self._is_written_to_object = True
        self._record = record
        self._highest_term = max(self._highest_term, record.term)
        self._record_changed_at = sent_at
        self._held_until = sent_at + LEASE_SECONDS - SAFETY_MARGIN_SECONDS

    def _abandon(self, reason: str) -> None:
        self._held_until = 0.0
        self._record = None
        logs.change("lease_conflict", duty=self._duty, reason=reason)

    def _log_change(self) -> None:
        if self.is_held != self._was_held:
            self._was_held = self.is_held
            if self.is_held:
                self._first_held.set()
            event = "lease_taken" if self.is_held else "lease_lost"
            logs.change(event, duty=self._duty, term=self.term)


def _decode(value: bytes) -> LeaseRecord:
    try:
        body = json_text.decode(value)
        return LeaseRecord(
            _text(body["holder"]),
            _term(body["term"]),
            _memo(body.get("memo", [])),
            _text(body.get("successor", "")),
        )
    except (AttributeError, KeyError, TypeError, ValueError) as error:
        raise errors.CrowdeckError(
            errors.Code.MALFORMED,
            f"expected a JSON object with holder and term ({error!r}); the "
            f"lease counts as held by an unknown process",
        ) from None


def _text(value: object) -> str:
    if not isinstance(value, str):
        raise TypeError(f"found a {type(value).__name__}, not a text")
    return value


def _term(value: object) -> int:
    if type(value) is not int:
        raise TypeError(f"found a {type(value).__name__}, not a term")
    if not 0 <= value <= MAX_TERM:
        raise ValueError(f"expected a term from 0 to {MAX_TERM}")
    return value


def _memo(value: object) -> tuple[str, ...]:
    if not isinstance(value, list):
        raise TypeError(f"found a {type(value).__name__}, not a memo")
    return tuple(map(_text, value))
