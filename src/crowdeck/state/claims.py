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


class ClaimsLedger:
    """Claims keys for one entry, in group commits."""

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

    async def claim(self, claim: Claim, replaces: str = "") -> Claim:
        """Claim a key and return its holder's claim.

        The caller holds the key if the claim returned has its nonce.

        :param replaces: nonce of an earlier claim that is known never to
            run, because its attempts were sealed wherever it could have;
            if that claim still stands, this one takes its place.
        :raises CrowdeckError: ``STORE_DOWN`` or ``STORE_UNSURE`` with
            ``NOT_RUN``: nothing ran, since claims come before runs.
        """
        shard = int(claim.key[:8], 16) % SHARD_COUNT
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
            await self._commit(f"shard-{shard}", batch)
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

    async def _commit(self, name: str, batch: list[_Waiting]) -> None:
        for _ in range(WRITE_TRIES):
            found = await self._store.get(KIND, name)
            shard = _decode(found.value if found is not None else None)
            merged = self._merge(shard, batch)
            if merged == shard:
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
                counters.COUNTERS.add("claims.written", len(batch))
                return
            except errors.CrowdeckError as error:
                if error.code == errors.Code.STORE_DOWN:
                    raise
                # A conflict, or a lost reply: reading back tells which
                # of our claims stand, by their nonces.
                counters.COUNTERS.add(f"claims.{error.code.lower()}")
        raise _unsure()

    def _merge(self, shard: Shard, batch: list[_Waiting]) -> Shard:
        """Add the batch's claims, the first claim of a key winning."""
        now = self._wall_clock()
        held = {one.key: one for one in shard.claims if one.expires > now}
        for waiting in batch:
            key = waiting.claim.key
            if key in held and held[key].nonce == waiting.replaces:
                del held[key]
            waiting.holder = held.setdefault(key, waiting.claim)
        return Shard(tuple(held.values()))


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
