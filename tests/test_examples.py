# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""The examples run and say what they should."""

import pathlib
import runpy

import pytest

import crowdeck

EXAMPLES = pathlib.Path(__file__).parent.parent / "examples"


class TestExamples:
    """Each example is a program of its own."""

    def test_one_of_two_workers_holds_the_key(
        self, capsys: pytest.CaptureFixture[str]
    ) -> None:
        runpy.run_path(str(EXAMPLES / "claim_a_key.py"), run_name="__main__")
        lines = capsys.readouterr().out.splitlines()
        assert len(lines) == 2
        assert sum("holds the key" in line for line in lines) == 1

    def test_sealed_call_is_kept_out(
        self, capsys: pytest.CaptureFixture[str]
    ) -> None:
        runpy.run_path(str(EXAMPLES / "seal_a_call.py"), run_name="__main__")
        assert capsys.readouterr().out.splitlines() == [
            "late: not_run",
            "its late arrival: SEALED",
            "prompt: ran",
        ]

    def test_public_surface_is_what_it_says(self) -> None:
        for name in crowdeck.__all__:
            assert getattr(crowdeck, name).__doc__, name
