# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Tests that are known to fail: KNOWN-RED.txt, a line each.

They run, and must fail: one that passes again has to leave the list.
"""

import pathlib

import pytest

KNOWN_RED = pathlib.Path(__file__).parent.parent / "KNOWN-RED.txt"


def _known() -> dict[str, str]:
    if not KNOWN_RED.exists():
        return {}
    lines = KNOWN_RED.read_text().splitlines()
    pairs = (line.partition(": ") for line in lines if line.strip())
    return {test: cause for test, _, cause in pairs}


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Mark what is known to fail."""
    known = _known()
    for item in items:
        cause = known.get(item.nodeid)
        if cause is not None:
            item.add_marker(pytest.mark.xfail(reason=cause, strict=True))


def pytest_terminal_summary(
    terminalreporter: pytest.TerminalReporter,
) -> None:
    """Print what is known to fail, with its cause."""
    for test, cause in _known().items():
        terminalreporter.write_line(f"known red: {test}: {cause}")
