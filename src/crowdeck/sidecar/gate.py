# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""The gate before an upstream: the one place that may say NOT_RUN.

Each request passes here once per attempt, before anything of it reaches
the upstream. The gate remembers which attempts entered and which were
sealed, so that a late, doubled or foreign arrival is refused and a
question "did it run?" has a true answer.
"""

import collections

import attrs

from crowdeck import errors
from crowdeck import timers
from crowdeck import verdict as verdicts

# A note must outlive every message that could still be under way for its
# request. Deadlines are at most 300 s, and a link's messages die with the
# link, so twice that leaves a paused sender no window.
NOTE_SECONDS = 600.0
# At 200 bytes a note this is 40 MB, and 600 s at 333 requests/s: twenty
# times one sidecar's share of the size designed for.
NOTE_LIMIT = 200_000


@attrs.define
class _Note:
    time: float
    entered: int = -1
    sealed: int = -1
    is_done: bool = False


class Gate:
    """Admits each attempt at most once and never after it was sealed."""

    def __init__(
        self,
        incarnation: int,
        clock: timers.Clock,
        note_limit: int = NOTE_LIMIT,
    ) -> None:
        self._incarnation = incarnation
        self._clock = clock
        self._note_limit = note_limit
        self._notes: collections.OrderedDict[str, _Note] = (
            collections.OrderedDict()
        )
        self._is_leaving = False

    @property
    def incarnation(self) -> int:
        """The run of this sidecar that the gate speaks for."""
        return self._incarnation

    @property
    def is_leaving(self) -> bool:
        """Whether new work is refused because a stop is planned."""
        return self._is_leaving

    def leave(self) -> None:
        """Refuse all new work from now on."""
        self._is_leaving = True

    def enter(self, request: str, epoch: int, is_new_work: bool) -> None:
        """Let an attempt in.

        :param is_new_work: false for a stage of an answer in progress,
            which a leaving sidecar still takes.
        :raises CrowdeckError: always with ``NOT_RUN``: the attempt has
            not run here and, for this epoch, never will.
        """
        note = self._notes.get(request)
        if note is not None and epoch <= note.sealed:
            raise errors.CrowdeckError(
                errors.Code.SEALED, "this attempt was sealed before it came"
            )
        if note is not None and epoch <= note.entered:
            raise errors.CrowdeckError(
                errors.Code.STALE_EPOCH,
                "this or a later attempt has entered already",
                verdict=verdicts.Verdict.MAY_HAVE_RUN,
            )
        if self._is_leaving and is_new_work:
            raise errors.CrowdeckError(
                errors.Code.LEAVING, "this upstream is leaving", retry_after=0
            )
        self._write(request).entered = epoch

    def finish(self, request: str) -> None:
        """Note that the request's latest attempt has ended."""
        note = self._notes.get(request)
        if note is not None:
            note.is_done = True

    def withdraw(self, request: str, epoch: int) -> None:
        """Take back an entry: the upstream was never reached.

        The attempt is sealed as well, so that ``NOT_RUN`` stays true.
        """
        note = self._write(request)
        note.entered = -1
        note.sealed = max(note.sealed, epoch)

    def seal(
        self, request: str, epoch: int, incarnation: int
    ) -> verdicts.Verdict:
        """Bar attempts up to ``epoch`` and say whether one has run.

        ``NOT_RUN`` is given only by the very run of the sidecar that the
        attempt was sent to: another run cannot know what that one did.
        """
        if incarnation != self._incarnation:
            return verdicts.Verdict.MAY_HAVE_RUN
        note = self._write(request)
        note.sealed = max(note.sealed, epoch)
        if note.entered < 0:
            return verdicts.Verdict.NOT_RUN
        if note.is_done:
            return verdicts.Verdict.RAN
        return verdicts.Verdict.MAY_HAVE_RUN

    def has_sealed(self, request: str, epoch: int) -> bool:
        """Whether an attempt was barred by :meth:`seal`."""
        note = self._notes.get(request)
        return note is not None and epoch <= note.sealed

    def _write(self, request: str) -> _Note:
        self._expire()
        note = self._notes.get(request)
        if note is None:
            if len(self._notes) >= self._note_limit:
                # Forgetting a note early could let a sealed request run,
                # so a full gate refuses work instead.
                raise errors.CrowdeckError(
                    errors.Code.OVERLOADED,
                    "the gate's notes are full",
                    retry_after=1.0,
                )
            note = self._notes[request] = _Note(self._clock.now())
        else:
            note.time = self._clock.now()
            self._notes.move_to_end(request)
        return note

    def _expire(self) -> None:
        limit = self._clock.now() - NOTE_SECONDS
        while self._notes:
            oldest = next(iter(self._notes.values()))
            if oldest.time > limit:
                return
            self._notes.popitem(last=False)
