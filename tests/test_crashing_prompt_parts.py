# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""A part of prompts that crashes each engine that begins to answer it.

Guards against requests that are all different, except for that part, and so
crash successive engines at any entry.
"""

import pytest

from tests import entries_system
from tests import prompt_parts_system as parts_system


class TestCrashingPart:
    """Requests with the part, and others of the same caller and route."""

    @pytest.mark.parametrize("count", [1, 3, 12])
    @pytest.mark.parametrize("position", [0, 1, 2])
    def test_is_not_sent_after_the_fifth_crash(
        self, position: int, count: int
    ) -> None:
        def check(entries: entries_system.Entries) -> None:
            late = parts_system.late_arrivals(entries)
            assert late <= parts_system.MAX_LATE_ARRIVALS

        traffic = parts_system.Traffic(bad_position=position)
        parts_system.play(traffic, check, count)

    @pytest.mark.parametrize("count", [1, 3, 12])
    @pytest.mark.parametrize("position", [0, 1, 2])
    def test_others_are_served_by_the_first_attempt(
        self, position: int, count: int
    ) -> None:
        def check(entries: entries_system.Entries) -> None:
            share = parts_system.first_share(entries)
            assert share >= parts_system.MIN_FIRST_SHARE

        traffic = parts_system.Traffic(bad_position=position)
        parts_system.play(traffic, check, count)

    def test_prompts_without_it_are_all_served(self) -> None:
        def check(entries: entries_system.Entries) -> None:
            assert entries.fleet.crashes == []
            assert parts_system.first_share(entries) == 1.0

        parts_system.play(parts_system.Traffic(bad_parts=()), check)
