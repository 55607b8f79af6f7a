# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Claims of idempotency keys: one run per key, across all entries.

A key is claimed in the platform's store before its request runs. Claims
that arrive together share one conditional update of their shard object,
so store writes depend on shards and time, not on the request rate. The
conditional update alone decides who holds a key; which process writes a
shard is a matter of speed only.
"""

import typing
import uuid

import anyio
import attrs
import cattrs
import orjson
import xxhash

from crowdeck import errors
from crowdeck.observe import counters
from crowdeck.observe import logs
from crowdeck.state import objects as stores
from crowdeck import timers

KIND = "claims"
# At most 1 / linger writes a second per shard and process: 16 shards
# and 50 ms give 320 a second at the very most, and one write carries all
# keys that came meanwhile.
SHARD_COUNT = 16
LINGER_SECONDS = 0.01
# A claim is kept as long as its caller may ask again.
EXPIRE_SECONDS = 900.0
WRITE_TRIES = 12
# The platform holds values up to a megabyte; a shard near that refuses
# new keys, since a claim that cannot be written must not run.
SHARD_BYTES = 900_000
# A store that comes back from a copy has lost its last claims. Those of so
# long are written again; a copy is some seconds old, 20 at most where the
# platform keeps no longer history.
REMEMBER_SECONDS = 60.0
# Entries look this often whether the store has come back from a copy, and
# for so long after one did a key that looks free is given to nobody: time
# for the others to see it as well, and to write what they hold.
EPOCH_CHECK_SECONDS = 0.2
SETTLE_SECONDS = 1.0


@attrs.frozen
class Claim:
    """One key's claim.

    :ivar key: digest of team, service and key; the key itself is secret.
    :ivar fingerprint: digest of the request that the key stands for.
    :ivar request: id under which the request runs.
    :ivar nonce: unique mark of the claimant, by which it knows its own.
    :ivar sidecars: names of those that may run it, in order of trial.
    :ivar incarnations: the runs of these sidecars it was meant for.
    :ivar expires: the platform's wall clock in seconds, coarse.
    """

    key: str
    fingerprint: str
    request: str
    nonce: str
    sidecars: tuple[str, ...]
    incarnations: tuple[int, ...]
    expires: float


@attrs.frozen
class Shard:
    """The claims in one stored object."""

    claims: tuple[Claim, ...] = ()


@attrs.define(eq=False)
class _Waiting:
    claim: Claim
    replaces: str
    done: anyio.Event = attrs.field(factory=anyio.Event)
    holder: Claim | None = None
    error: errors.CrowdeckError | None = None


class WallClock(typing.Protocol):
    """A source of wall-clock seconds."""

    def __call__(self) -> float:
        """Return seconds since the epoch."""
        ...


def digest_key(team: str, service: str, key: str) -> str:
    """Return what stands for a caller's key in the store."""
    named = f"{team}\0{service}\0{key}"
    return xxhash.xxh3_128_hexdigest(named.encode())


def new_nonce() -> str:
    """Return a mark that no other claimant has."""
    return uuid.uuid4().hex


@attrs.frozen
class _Remembered:
    claim: Claim
    until: float


class ClaimsLedger:
    """Claims keys for one entry, in group commits.

    A claim that the store has acknowledged may be lost when it comes back
    from a copy, and the key's caller may come again, at another entry. So
    entries write the claims that they know again, and give out no new ones
    until all have had the time to do so. What an entry claimed that has
    ended since, or is cut off, cannot be written again.
    """

    def __init__(
        self,
        store: stores.ObjectStore,
        clock: timers.Clock,
        wall_clock: WallClock,
        linger: float = LINGER_SECONDS,
    ) -> None:
        self._store = store
        self._clock = clock
        self._wall_clock = wall_clock
        self._linger = linger
        self._queues: dict[int, list[_Waiting]] = {}
        self._writing: set[int] = set()
        self._epoch: int | None = None
        self._settled_at = 0.0
        self._remembered: dict[str, _Remembered] = {}
        self._outdated: set[int] = set()

    async def check_epoch(self) -> None:
        """Write the claims again that a restored store may have lost.

        To be called every ``LOOK_SECONDS``; it calls the store only then.
        """
        self._meet_epoch()
        for shard in sorted(self._outdated):
            if shard not in self._writing:
                await self._write_shard(shard)
            if shard in self._outdated:
                # The store does not answer: the others have time as well.
                return

    async def claim(self, claim: Claim, replaces: str = "") -> Claim:
        """Claim a key and return its holder's claim.

        The caller holds the key if the claim returned has its nonce.

        :param replaces: nonce of an earlier claim that is known never to
            run, because its attempts were sealed wherever it could have;
            if that claim still stands, this one takes its place.
        :raises CrowdeckError: ``STORE_DOWN`` or ``STORE_UNSURE`` with
            ``NOT_RUN``: nothing ran, since claims come before runs.
        """
        shard = _shard_of(claim.key)
        waiting = _Waiting(claim, replaces)
        self._queues.setdefault(shard, []).append(waiting)
        while not waiting.done.is_set():
            if shard in self._writing:
                await waiting.done.wait()
            else:
                await self._write_shard(shard)
        if waiting.error is not None:
            raise waiting.error
        assert waiting.holder is not None
        return waiting.holder

    async def _write_shard(self, shard: int) -> None:
        """Write all that waits for a shard; the first comer does it."""
        self._writing.add(shard)
        batch: list[_Waiting] = []
        try:
            await anyio.sleep(self._linger)
            batch = self._queues.pop(shard, [])
            await self._commit(shard, batch)
        except errors.CrowdeckError as error:
            for waiting in batch:
                waiting.error = error
        except BaseException:
            # The first comer's caller may leave in mid-write; the others
            # must not wait for it forever, nor be told a falsehood.
            for waiting in batch:
                waiting.error = _unsure()
            raise
        finally:
            self._writing.discard(shard)
            for waiting in batch:
                waiting.done.set()
            self._wake_next(shard)

    def _wake_next(self, shard: int) -> None:
        # Whoever queued while we wrote waits on its own event; give the
        # first of them the pen by ending its wait as "not yet done".
        for waiting in self._queues.get(shard, ()):
            event, waiting.done = waiting.done, anyio.Event()
            event.set()

    async def _commit(self, number: int, batch: list[_Waiting]) -> None:
        name = f"shard-{number}"
        for _ in range(WRITE_TRIES):
            found = await self._store.get(KIND, name)
            if self._meet_epoch():
                # This answer may still be of the epoch before.
                continue
            shard = _decode(found.value if found is not None else None)
            merged = self._merge(shard, number, batch)
            if merged == shard:
                self._note_written(number, batch)
                return
            value = _encode(merged)
            if len(value) > SHARD_BYTES:
                raise errors.CrowdeckError(
                    errors.Code.OVERLOADED,
                    "too many idempotency keys are in use",
                    retry_after=60.0,
                )
            version = found.version if found is not None else stores.CREATE
            try:
                await self._store.put(KIND, name, value, version)
                if self._meet_epoch():
                    # It may have replaced what was written at the same
                    # version of another epoch.
                    continue
                counters.COUNTERS.add("claims.written", len(batch))
                self._note_written(number, batch)
                return
            except errors.CrowdeckError as error:
                if error.code == errors.Code.STORE_DOWN:
                    raise
                # A conflict, or a lost reply: reading back tells which
                # of our claims stand, by their nonces.
                counters.COUNTERS.add(f"claims.{error.code.lower()}")
        raise _unsure()

    def _merge(
        self, shard: Shard, number: int, batch: list[_Waiting]
    ) -> Shard:
        """Add the batch's claims, the first claim of a key winning."""
        now = self._wall_clock()
        held = {one.key: one for one in shard.claims if one.expires > now}
        for one in self._known(number):
            if held.setdefault(one.key, one).nonce != one.nonce:
                counters.COUNTERS.add("claims.lost")
                logs.change("claim_lost", request=one.request)
        is_settled = self._clock.now() >= self._settled_at
        for waiting in batch:
            key = waiting.claim.key
            waiting.holder = waiting.error = None
            if key in held and held[key].nonce == waiting.replaces:
                del held[key]
            if key not in held and not is_settled:
                waiting.error = self._unsettled()
                continue
            waiting.holder = held.setdefault(key, waiting.claim)
        return Shard(tuple(held.values()))

    # A store that came back from a copy.

    def _meet_epoch(self) -> bool:
        """Whether the store is in an epoch that was not met before."""
        epoch = self._store.epoch
        if epoch is None or epoch == self._epoch:
            return False
        known, self._epoch = self._epoch, epoch
        if known is None and not epoch:
            # It has never come back from a copy.
            return False
        self._settled_at = self._clock.now() + SETTLE_SECONDS
        if known is None:
            return False
        self._outdated = set(map(_shard_of, self._remembered))
        logs.change(
            "claims_outdated", epoch=epoch, known=len(self._remembered)
        )
        return True

    def _known(self, number: int) -> list[Claim]:
        """Return the claims of a shard that are written again."""
        if number not in self._outdated:
            return []
        now = self._clock.now()
        return [
            one.claim
            for key, one in self._remembered.items()
            if _shard_of(key) == number and one.until > now
        ]

    def _note_written(self, number: int, batch: list[_Waiting]) -> None:
        """Remember who holds the keys of a batch that was written."""
        self._outdated.discard(number)
        now = self._clock.now()
        for waiting in batch:
            holder = waiting.holder
            if holder is not None:
                # Newest last, also where a key was known before.
                self._remembered.pop(holder.key, None)
                self._remembered[holder.key] = _Remembered(
                    holder, now + REMEMBER_SECONDS
                )
        while self._remembered:
            oldest = next(iter(self._remembered))
            if self._remembered[oldest].until > now:
                return
            del self._remembered[oldest]

    def _unsettled(self) -> errors.CrowdeckError:
        return errors.CrowdeckError(
            errors.Code.STORE_DOWN,
            "the store came back from an older copy, and it is not known "
            "yet whether this key is in use",
            retry_after=self._settled_at - self._clock.now(),
        )


def _shard_of(key: str) -> int:
    return int(key[:8], 16) % SHARD_COUNT


def _decode(value: bytes | None) -> Shard:
    if value is None:
        return Shard()
    return cattrs.structure(orjson.loads(value), Shard)


def _encode(shard: Shard) -> bytes:
    return orjson.dumps(cattrs.unstructure(shard))


def _unsure() -> errors.CrowdeckError:
    return errors.CrowdeckError(
        errors.Code.STORE_UNSURE,
        "the store was too busy to say whether the key was claimed",
        retry_after=1.0,
    )
