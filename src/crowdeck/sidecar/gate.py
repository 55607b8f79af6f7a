# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Admits attempts to an upstream, and reports whether they have run.

Each attempt passes the gate before anything of it reaches the upstream. The
gate remembers which attempts were admitted and which were sealed, so that
late or duplicate arrivals are refused and an attempt that was reported as
``NOT_RUN`` never runs.
"""

import collections

import attrs

from crowdeck import errors
from crowdeck import timers
from crowdeck import verdict as verdicts

# A record has to outlive every message that may still arrive for its request.
# Deadlines are at most 300 s, and messages do not outlive their link, so twice
# that is safe even for a sender that was paused.
RECORD_TTL_SECONDS = 600.0
# Bounds the memory that records take. At 200 bytes each these are 40 MB, and
# they last RECORD_TTL_SECONDS at 333 requests a second, twenty times the share
# of one sidecar in the designed load.
MAX_RECORDS = 200_000


@attrs.define
class _RequestRecord:
    touched_at: float
    admitted_epoch: int = -1
    sealed_epoch: int = -1
    has_ended: bool = False


class Gate:
    """Admits each attempt at most once and never after it was sealed."""

    def __init__(
        self,
        incarnation: int,
        clock: timers.Clock,
        max_records: int = MAX_RECORDS,
    ) -> None:
        self._incarnation = incarnation
        self._clock = clock
        self._max_records = max_records
        self._records: collections.OrderedDict[str, _RequestRecord] = (
            collections.OrderedDict()
        )
        self._is_leaving = False

    @property
    def incarnation(self) -> int:
        """The incarnation of this sidecar."""
        return self._incarnation

    @property
    def is_leaving(self) -> bool:
        """Whether new work is refused because of a planned stop."""
        return self._is_leaving

    def leave(self) -> None:
        """Refuse all new work from now on."""
        self._is_leaving = True

    def admit(self, request: str, epoch: int, is_new_work: bool) -> None:
        """Admit an attempt.

        :param is_new_work: false for a stage of an answer in progress,
            which a leaving sidecar still admits.
        :raises CrowdeckError: ``SEALED`` if this or a later attempt was
            sealed, even if it was admitted before that; else ``STALE_EPOCH``
            if this or a later attempt was admitted. ``STALE_EPOCH`` has
            ``MAY_HAVE_RUN``, all others ``NOT_RUN``.
        """
        record = self._records.get(request)
        if record is not None and epoch <= record.sealed_epoch:
            raise errors.CrowdeckError(
                errors.Code.SEALED,
                f"attempt {epoch} must not run: attempts up to "
                f"{record.sealed_epoch} were sealed",
            )
        if record is not None and epoch <= record.admitted_epoch:
            raise errors.CrowdeckError(
                errors.Code.STALE_EPOCH,
                "this or a later attempt was admitted already",
                verdict=verdicts.Verdict.MAY_HAVE_RUN,
            )
        if self._is_leaving and is_new_work:
            raise errors.CrowdeckError(
                errors.Code.LEAVING,
                "this sidecar is stopping; retry at another one",
                retry_after=0,
            )
        self._touch(request).admitted_epoch = epoch

    def finish(self, request: str) -> None:
        """Record that the request's latest attempt has ended."""
        record = self._records.get(request)
        if record is not None:
            record.has_ended = True

    def withdraw(self, request: str, epoch: int) -> None:
        """Undo the admission of an attempt that never reached the upstream.

        The attempt is sealed, so that it cannot run later.
        """
        record = self._touch(request)
        record.admitted_epoch = -1
        record.sealed_epoch = max(record.sealed_epoch, epoch)

    def seal(
        self, request: str, epoch: int, incarnation: int
    ) -> verdicts.Verdict:
        """Refuse attempts up to ``epoch``, and return whether any has run.

        The verdict covers all attempts of the request: ``RAN`` once any of
        them has ended, even while a later one runs. ``NOT_RUN`` is returned
        only by the incarnation that the attempt was sent to, as another one
        cannot know what that one did.
        """
        if incarnation != self._incarnation:
            return verdicts.Verdict.MAY_HAVE_RUN
        record = self._touch(request)
        record.sealed_epoch = max(record.sealed_epoch, epoch)
        if record.admitted_epoch < 0:
            return verdicts.Verdict.NOT_RUN
        if record.has_ended:
            return verdicts.Verdict.RAN
        return verdicts.Verdict.MAY_HAVE_RUN

    def has_sealed(self, request: str, epoch: int) -> bool:
        """Whether an attempt was sealed."""
        record = self._records.get(request)
        return record is not None and epoch <= record.sealed_epoch

    def _touch(self, request: str) -> _RequestRecord:
        self._expire()
        record = self._records.get(request)
        if record is None:
            if len(self._records) >= self._max_records:
                # Dropping a record early could admit a sealed attempt, so a
                # full gate refuses new requests instead.
                raise errors.CrowdeckError(
                    errors.Code.OVERLOADED,
                    f"this sidecar remembers {len(self._records)} requests, "
                    f"its limit is {self._max_records}; retry later",
                    retry_after=1.0,
                )
            record = self._records[request] = _RequestRecord(self._clock.now())
        else:
            record.touched_at = self._clock.now()
            self._records.move_to_end(request)
        return record

    def _expire(self) -> None:
        limit = self._clock.now() - RECORD_TTL_SECONDS
        while self._records:
            oldest = next(iter(self._records.values()))
            if oldest.touched_at > limit:
                return
            self._records.popitem(last=False)
