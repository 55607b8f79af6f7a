# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Claims on idempotency keys: one run per key across all entries.

A key is claimed in the platform's store before its request runs. Claims
that arrive together are batched into one conditional update of their shard
object, so the number of store writes does not grow with the request rate.
Only the conditional update decides who holds a key.
"""

import typing
import uuid

import anyio
import attrs
import cattrs
import orjson
import xxhash

from crowdeck import errors
from crowdeck import json_text
from crowdeck.observe import counters
from crowdeck.observe import logs
from crowdeck.state import objects as stores
from crowdeck import timers

KIND = "claims"
# One write of a shard carries all claims on it that came meanwhile, so the
# number of shards bounds the writes.
SHARD_COUNT = 16
# Claims on one shard are gathered for this long before they are written.
LINGER_SECONDS = 0.01
# How long a key stays claimed, so that its caller may repeat the request.
CLAIM_TTL_SECONDS = 900.0
MAX_WRITE_ATTEMPTS = 12
# The platform limits values to one megabyte. A shard near that limit refuses
# new keys, since no request may run without a written claim.
MAX_SHARD_BYTES = 900_000
# A claim written at most this long before a restore is written again after it.
# Must exceed the backup's age, since only older claims are in the backup. A
# backup is some seconds old, and 20 at most where the platform keeps no longer
# history.
REWRITE_WINDOW_SECONDS = 60.0
# Interval at which an entry looks for a new epoch in the store's answers, and
# rewrites the claims that a restore may have lost.
EPOCH_CHECK_SECONDS = 0.2
# New claims are refused for this long after a restore, so that all entries can
# notice it and rewrite their claims.
RESTORE_WAIT_SECONDS = 1.0


@attrs.frozen
class Claim:
    """A claim on one key.

    :ivar key: digest of team, service and key; the key itself is secret.
    :ivar fingerprint: digest of the service call that the key was used for,
        empty for a model request.
    :ivar request: id under which the request runs.
    :ivar nonce: unique to this claim; the claimant recognises its claim by
        it.
    :ivar sidecars: names of the sidecars that may run the request, in the
        order in which they are tried.
    :ivar incarnations: the incarnation of each of these sidecars.
    :ivar expires: wall-clock seconds at which the claim expires.
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
class _PendingClaim:
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
    """Return the digest under which a caller's key is stored.

    For a model request, ``service`` is the model. Fingerprints of service
    calls are computed with it as well, from method, path and body.
    """
    qualified_key = f"{team}\0{service}\0{key}"
    return xxhash.xxh3_128_hexdigest(qualified_key.encode())


def new_nonce() -> str:
    """Return a nonce for a new claim."""
    return uuid.uuid4().hex


@attrs.frozen
class _RecentClaim:
    claim: Claim
    rewrite_until: float


class ClaimsLedger:
    """Claims keys for one entry, batching concurrent claims.

    A store that is restored from a backup may lose acknowledged claims.
    Entries write their recent claims again, and grant no new ones for
    ``RESTORE_WAIT_SECONDS`` meanwhile. The claims of an entry that has
    stopped or is cut off from the store cannot be rewritten.
    """

    def __init__(
        self,
        store: stores.ObjectStore,
        clock: timers.Clock,
        wall_clock: WallClock,
        linger_seconds: float = LINGER_SECONDS,
    ) -> None:
        self._store = store
        self._clock = clock
        self._wall_clock = wall_clock
        self._linger_seconds = linger_seconds
        self._queues: dict[int, list[_PendingClaim]] = {}
        self._writing: set[int] = set()
        self._epoch: int | None = None
        # Monotonic time.
        self._no_new_claims_until = 0.0
        self._recent_claims: dict[str, _RecentClaim] = {}
        self._outdated_shards: set[int] = set()

    async def rewrite_outdated_claims(self) -> None:
        """Rewrite the claims that a restored store may have lost.

        To be called every ``EPOCH_CHECK_SECONDS``. The store is called only
        when there are claims to rewrite.
        """
        self._observe_epoch()
        for shard_number in sorted(self._outdated_shards):
            if shard_number not in self._writing:
                await self._write_shard(shard_number)
            if shard_number in self._outdated_shards:
                # Not rewritten yet; the next check tries again.
                return

    async def claim(self, claim: Claim, replaces: str = "") -> Claim:
        """Claim a key and return the claim that holds it.

        The caller holds the key if the returned claim has its nonce.

        :param replaces: nonce of an earlier claim whose request can no
            longer run or be answered; if that claim still holds the key,
            this one replaces it.
        :raises CrowdeckError: ``STORE_DOWN``, ``STORE_UNSURE`` or
            ``OVERLOADED`` with ``NOT_RUN``, since requests run only after
            their claim.
        """
        shard_number = _shard_number(claim.key)
        pending = _PendingClaim(claim, replaces)
        self._queues.setdefault(shard_number, []).append(pending)
        while not pending.done.is_set():
            if shard_number in self._writing:
                await pending.done.wait()
            else:
                await self._write_shard(shard_number)
        if pending.error is not None:
            raise pending.error
        assert pending.holder is not None
        return pending.holder

    async def _write_shard(self, shard_number: int) -> None:
        """Write all pending claims on a shard in one batch."""
        self._writing.add(shard_number)
        batch: list[_PendingClaim] = []
        try:
            await anyio.sleep(self._linger_seconds)
            batch = self._queues.pop(shard_number, [])
            await self._commit(shard_number, batch)
        except errors.CrowdeckError as error:
            for pending in batch:
                pending.error = error
        except BaseException:
            # The caller that writes may be cancelled. The others must not
            # wait forever, and whether they hold their keys is unknown.
            for pending in batch:
                pending.error = _unsure_error()
            raise
        finally:
            self._writing.discard(shard_number)
            for pending in batch:
                pending.done.set()
            self._wake_pending(shard_number)

    def _wake_pending(self, shard_number: int) -> None:
        # Wake the callers that queued during the write. ``done`` is replaced
        # first, so they find it unset, and the first one to run writes the
        # next batch.
        for pending in self._queues.get(shard_number, ()):
            event, pending.done = pending.done, anyio.Event()
            event.set()

    async def _commit(
        self, shard_number: int, batch: list[_PendingClaim]
    ) -> None:
        name = f"shard-{shard_number}"
        for _ in range(MAX_WRITE_ATTEMPTS):
            found = await self._store.get(KIND, name)
            if self._observe_epoch():
                # The value may still be from the previous epoch.
                continue
            shard = _decode(found.value if found is not None else None)
            merged = self._merge(shard, shard_number, batch)
            if merged == shard:
                self._remember(shard_number, batch)
                return
            value = _encode(merged)
            if len(value) > MAX_SHARD_BYTES:
                raise errors.CrowdeckError(
                    errors.Code.OVERLOADED,
                    "too many idempotency keys are in use",
                    retry_after=60.0,
                )
            version = found.version if found is not None else stores.NO_VERSION
            try:
                await self._store.put(KIND, name, value, version)
                if self._observe_epoch():
                    # The write may have replaced a value that has the same
                    # version in the new epoch.
                    continue
                counters.COUNTERS.add("claims.written", len(batch))
                self._remember(shard_number, batch)
                return
            except errors.CrowdeckError as error:
                if error.code == errors.Code.STORE_DOWN:
                    raise
                # After a conflict or a lost reply, reading back shows by
                # their nonces which of our claims were written.
                counters.COUNTERS.add(f"claims.{error.code.lower()}")
        raise _unsure_error()

    def _merge(
        self, shard: Shard, shard_number: int, batch: list[_PendingClaim]
    ) -> Shard:
        """Add the batch's claims; the first claim on a key wins."""
        now = self._wall_clock()
        claims_by_key = {
            claim.key: claim for claim in shard.claims if claim.expires > now
        }
        for claim in self._claims_to_rewrite(shard_number):
            if claims_by_key.setdefault(claim.key, claim).nonce != claim.nonce:
                counters.COUNTERS.add("claims.lost")
                logs.change("claim_lost", request=claim.request)
        may_grant_new = self._clock.now() >= self._no_new_claims_until
        for pending in batch:
            key = pending.claim.key
            pending.holder = pending.error = None
            if (
                key in claims_by_key
                and claims_by_key[key].nonce == pending.replaces
            ):
                del claims_by_key[key]
            if key not in claims_by_key and not may_grant_new:
                pending.error = self._recent_restore_error()
                continue
            pending.holder = claims_by_key.setdefault(key, pending.claim)
        return Shard(tuple(claims_by_key.values()))

    def _observe_epoch(self) -> bool:
        """Record the store's epoch; return whether it replaced a known one."""
        epoch = self._store.epoch
        if epoch is None or epoch == self._epoch:
            return False
        previous, self._epoch = self._epoch, epoch
        if previous is None and not epoch:
            # The store has never been restored.
            return False
        self._no_new_claims_until = self._clock.now() + RESTORE_WAIT_SECONDS
        if previous is None:
            return False
        self._outdated_shards = set(map(_shard_number, self._recent_claims))
        logs.change(
            "claims_outdated", epoch=epoch, known=len(self._recent_claims)
        )
        return True

    def _claims_to_rewrite(self, shard_number: int) -> list[Claim]:
        """Return the claims on a shard that have to be rewritten."""
        if shard_number not in self._outdated_shards:
            return []
        now = self._clock.now()
        return [
            recent.claim
            for key, recent in self._recent_claims.items()
            if _shard_number(key) == shard_number
            and recent.rewrite_until > now
        ]

    def _remember(self, shard_number: int, batch: list[_PendingClaim]) -> None:
        """Remember the holders of the keys of a written batch."""
        self._outdated_shards.discard(shard_number)
        now = self._clock.now()
        for pending in batch:
            holder = pending.holder
            if holder is not None:
                # Reinserted so that the newest claims come last.
                self._recent_claims.pop(holder.key, None)
                self._recent_claims[holder.key] = _RecentClaim(
                    holder, now + REWRITE_WINDOW_SECONDS
                )
        while self._recent_claims:
            oldest = next(iter(self._recent_claims))
            if self._recent_claims[oldest].rewrite_until > now:
                return
            del self._recent_claims[oldest]

    def _recent_restore_error(self) -> errors.CrowdeckError:
        return errors.CrowdeckError(
            errors.Code.STORE_DOWN,
            "the store may have been restored from a backup recently, so it "
            "is not known yet whether this key is in use",
            retry_after=self._no_new_claims_until - self._clock.now(),
        )


def _shard_number(key: str) -> int:
    return int(key[:8], 16) % SHARD_COUNT


def _decode(value: bytes | None) -> Shard:
    if value is None:
        return Shard()
    return cattrs.structure(json_text.decode(value), Shard)


def _encode(shard: Shard) -> bytes:
    return orjson.dumps(cattrs.unstructure(shard))


def _unsure_error() -> errors.CrowdeckError:
    return errors.CrowdeckError(
        errors.Code.STORE_UNSURE,
        "it is not known whether the idempotency key was claimed",
        retry_after=1.0,
    )
