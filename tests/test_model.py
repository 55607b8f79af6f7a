# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""The specifications: promises hold, and each protection is needed."""

import pytest

from spec import check
from spec import model


class TestSpecifications:
    """Every reachable state, whole and without each protection."""

    @pytest.mark.parametrize("one", check.ALL, ids=lambda one: one.name)
    def test_promises_hold_and_protections_matter(
        self, one: model.Specification
    ) -> None:
        reports = list(check.check_one(one))
        assert len(reports) == 1 + len(one.protections)
        for report in reports:
            assert report.is_as_expected, report.line

    def test_a_removed_protection_is_reported_as_broken(self) -> None:
        """The check itself can fail: a report must not pass blindly."""
        one = check.ALL[1]
        broken = check.Report(one.name, "", model.check(one, frozenset()))
        assert not broken.is_as_expected
        whole = model.check(one, frozenset(one.protections))
        assert not check.Report(one.name, "anything", whole).is_as_expected
