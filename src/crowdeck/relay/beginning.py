# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0
"""The time of a stream until it has a path, by its urgency."""

import typing

from crowdeck import errors
from crowdeck.observe import counters
from crowdeck.relay import context as contexts
from crowdeck.relay import live
from crowdeck.relay import ranked_waiting
from crowdeck.routing import first_engines
from crowdeck.routing import stream_admission


class Beginning:
    """Tells the admission of one stream, and refuses what it keeps out.

    Only for streams of services with requests of different urgency.
    """

    def __init__(
        self, context: contexts.RelayContext, stream: live.LiveStream
    ) -> None:
        self._context = context
        self._ranked = context.ranked_parts()
        self._stream = stream
        self._service = stream.service.name
        self._urgency = stream.urgency
        self._was_let_in = False

    def refuse_if_too_late(
        self, record_refusal: typing.Callable[[], float]
    ) -> None:
        """Refuse a bounded stream that no first engine begins in time.

        :param record_refusal: records it, and returns the seconds after
            which the caller may retry.
        :raises CrowdeckError: ``NO_PATH`` with the verdict ``NOT_RUN``.
        """
        if not self._limits().is_bounded:
            return
        objective_seconds = self._stream.objective_seconds
        if self._soonest_seconds() <= objective_seconds:
            return
        self._count_kept_out("late")
        ranked_waiting.count("refused", self._urgency.rank)
        raise errors.CrowdeckError(
            errors.Code.NO_PATH,
            f"streams begin after the objective of {objective_seconds:g} s "
            "at every first engine, and more urgent requests lack capacity; "
            "retry later",
            retry_after=record_refusal(),
        )

    def note_let_in(self) -> None:
        """Note that the stream has a path; later paths have no effect."""
        if self._was_let_in:
            return
        self._was_let_in = True
        self._ranked.notes.note_begun(self._service, self._urgency)

    def note_refused(self) -> None:
        """Note that an engine refused the stream without running it."""
        self._ranked.notes.note_refused(self._service, self._urgency)

    def note_no_path(self) -> None:
        """Note that the stream found no path in time.

        Missing layers are no lack of capacity.
        """
        profile = self._stream.profile
        if self._context.gaps.find_gap(self._service, profile) is not None:
            return
        limits = self._limits()
        if limits.is_bounded:
            is_late = self._soonest_seconds() > limits.max_first_event_seconds
            self._count_kept_out("late" if is_late else "room")
        self.note_refused()

    def _limits(self) -> stream_admission.PathLimits:
        return self._ranked.admission.limits(
            self._service, self._urgency, self._stream.objective_seconds
        )

    def _soonest_seconds(self) -> float:
        return first_engines.soonest_first_event_seconds(
            self._context.registry.usable(self._service), self._context.heads
        )

    def _count_kept_out(self, reason: str) -> None:
        counters.COUNTERS.add(
            f"relay.kept_out.{reason}.{self._service}.{self._urgency.rank}"
        )
