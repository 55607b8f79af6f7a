# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Logs: one JSON line for each change of state, by eliot."""

import sys
import typing

import eliot

# Names of fields that may never reach a log, whatever their value.
SECRET_FIELDS = frozenset(
    {"authorization", "prompt", "body", "key", "bearer", "password"}
)


def to_stdout() -> None:
    """Send log lines to standard output, where the platform takes them."""
    eliot.to_file(sys.stdout)


def change(what: str, **fields: typing.Any) -> None:
    """Log one change of state.

    Only changes are logged; what happens per request is counted.

    >>> change("peer_lost", peer="engine-3")
    """
    assert not SECRET_FIELDS & fields.keys(), "a secret must not be logged"
    eliot.log_message(message_type=f"crowdeck:{what}", **fields)
