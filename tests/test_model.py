# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Checks that the specifications hold, and that each protection is needed."""

import pytest

from spec import check
from spec import model


class TestSpecifications:
    """Model checks with all protections and without each of them."""

    @pytest.mark.parametrize(
        "specification",
        check.ALL,
        ids=lambda specification: specification.name,
    )
    def test_properties_hold_and_each_protection_is_needed(
        self, specification: model.Specification
    ) -> None:
        reports = list(check.check_one(specification))
        assert len(reports) == 1 + len(specification.protections)
        for report in reports:
            assert report.is_as_expected, report.line

    def test_unexpected_results_are_reported(self) -> None:
        """Guards against a report that passes whatever was found."""
        specification = check.ALL[1]
        unprotected = check.Report(
            specification.name, "", model.check(specification, frozenset())
        )
        assert not unprotected.is_as_expected
        complete = model.check(
            specification, frozenset(specification.protections)
        )
        assert not check.Report(
            specification.name, "anything", complete
        ).is_as_expected
