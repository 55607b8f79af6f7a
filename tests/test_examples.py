# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Tests of the examples and of the public interface."""

import pathlib
import runpy
import subprocess
import sys

import pytest

import crowdeck

EXAMPLES = pathlib.Path(__file__).parent.parent / "examples"


class TestExamples:
    """The examples' output, and the names that the package exports."""

    def test_one_of_two_workers_claims_the_key(
        self, capsys: pytest.CaptureFixture[str]
    ) -> None:
        runpy.run_path(str(EXAMPLES / "claim_a_key.py"), run_name="__main__")
        lines = capsys.readouterr().out.splitlines()
        assert len(lines) == 2
        assert sum("holds the key" in line for line in lines) == 1

    def test_sealed_call_is_rejected(
        self, capsys: pytest.CaptureFixture[str]
    ) -> None:
        runpy.run_path(str(EXAMPLES / "seal_a_call.py"), run_name="__main__")
        assert capsys.readouterr().out.splitlines() == [
            "sealed before it arrived: not_run",
            "arrived after its seal: SEALED",
            "sealed after it ran: ran",
        ]

    def test_daemon_import_loads_no_sidecar_modules(self) -> None:
        # Modules that an entry with a fleet does not need delay its start.
        code = (
            "import sys; import crowdeck.cmd.daemon;"
            "print(*[m for m in sys.modules if m.startswith('crowdeck')])"
        )
        result = subprocess.run(
            [sys.executable, "-c", code],
            check=True,
            capture_output=True,
            text=True,
        )
        loaded = result.stdout.split()
        assert "crowdeck.cmd.fleet_process" in loaded
        for name in ("sidecar", "entry", "membership.fleet", "wire.link"):
            assert f"crowdeck.{name}" not in loaded

    def test_unknown_name_raises_attribute_error(self) -> None:
        with pytest.raises(AttributeError, match="nothing_like_it"):
            crowdeck.nothing_like_it  # noqa: B018

    def test_exported_names_are_documented(self) -> None:
        for name in crowdeck.__all__:
            assert getattr(crowdeck, name).__doc__, name
