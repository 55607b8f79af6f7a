# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Until when an instance that left may get work."""

import pytest

from crowdeck.membership import leaving_instances


class TestLeaving:
    """Instances that announced that they leave."""

    @pytest.mark.parametrize(
        ("confirmed_at", "until"),
        [(10.0, 11.0), (9.5, 11.0), (9.0, 10.8), (7.0, 8.8)],
    )
    def test_grace_ends_two_seconds_after_the_earliest_announcement(
        self, confirmed_at: float, until: float
    ) -> None:
        # Guards against a grace that begins when the news arrives, however
        # late that is.
        assert leaving_instances.leaving_until(
            10.0, confirmed_at
        ) == pytest.approx(until)


class TestLapse:
    """Instances whose records were removed around an outage."""

    @pytest.mark.parametrize("outage_at", [None, 5.0, 9.0])
    def test_removal_without_an_outage_may_be_as_old_as_the_copy(
        self, outage_at: float | None
    ) -> None:
        # Guards against work for an instance that left, as one call failed.
        assert leaving_instances.lapsed_until(
            10.0, 9.0, outage_at
        ) == pytest.approx(10.8)
        assert leaving_instances.lapsed_until(
            10.0, float("-inf"), None
        ) == float("-inf")

    def test_outage_keeps_instances_from_its_end_on(self) -> None:
        # Guards against dropping all instances when the store returns.
        assert leaving_instances.lapsed_until(10.0, 2.0, 9.7) == pytest.approx(
            11.8
        )
