# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""What the commands that look at the store tell of it."""

import pytest

from crowdeck.cmd import commands
from crowdeck.cmd import inspection


class TestEpoch:
    """``crowdeck status`` tells how often the store came back."""

    ROWS = ({"instance": "entry-0", "state": "up"}, {"instance": "engine-0"})

    @pytest.mark.parametrize(
        ("epoch", "told"), [(0, "0"), (3, "3"), (None, "unknown")]
    )
    def test_is_told_to_people_and_programs(
        self, epoch: int | None, told: str
    ) -> None:
        shown = commands.Result(
            list(self.ROWS), "instance", commands.EXIT_UNREACHABLE
        )
        found = inspection.add_epoch(shown, epoch)
        lines = found.text.splitlines()
        assert lines[0] == "instance"
        assert lines[-1] == f"epoch of the store: {told}"
        assert found.data == [
            {**row, "store_epoch": epoch} for row in self.ROWS
        ]
        assert found.exit_code == commands.EXIT_UNREACHABLE
