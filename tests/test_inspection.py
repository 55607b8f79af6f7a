# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Tests of the store's epoch in ``crowdeck status``."""

import pytest

from crowdeck.cmd import commands
from crowdeck.cmd import inspection


class TestEpoch:
    """``crowdeck status`` shows how often the store was restored."""

    ROWS = ({"instance": "entry-0", "state": "up"}, {"instance": "engine-0"})

    @pytest.mark.parametrize(
        ("epoch", "label"), [(0, "0"), (3, "3"), (None, "unknown")]
    )
    def test_is_in_text_and_data(self, epoch: int | None, label: str) -> None:
        shown = commands.Result(
            list(self.ROWS), "instance", commands.EXIT_UNREACHABLE
        )
        found = inspection.add_epoch(shown, epoch)
        lines = found.text.splitlines()
        assert lines[0] == "instance"
        assert lines[-1] == f"epoch of the store: {label}"
        assert found.data == [
            {**row, "store_epoch": epoch} for row in self.ROWS
        ]
        assert found.exit_code == commands.EXIT_UNREACHABLE
