# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Logs: one JSON line for each decision and each change of belief.

Lines go to standard output through eliot. Their number is bounded for
each kind and second, and a pipe that nobody reads never holds the
process up: what does not fit is left out and counted.
"""

import collections
import os
import sys
import time
import typing

import eliot
import orjson

from crowdeck.observe import counters

# Names of fields that may never reach a log, whatever their value.
SECRET_FIELDS = frozenset(
    {"authorization", "prompt", "body", "key", "bearer", "password"}
)
# Lines of one kind in a second. An entry decides on some tens of requests
# a second; 100 lets all of their lines through and keeps a storm of
# refusals to some 30 KB a second.
LINES_PER_SECOND = 100
# Writes up to this size reach a pipe whole or not at all (PIPE_BUF).
LINE_BYTES = 4_096

_KIND = "message_type"
_TIME = "timestamp"
# eliot's place of a message in its tree of actions, which is not used.
_DROPPED = frozenset({"task_uuid", "task_level", _KIND, _TIME})


class BoundedWriter:
    """Writes log messages as JSON lines and never waits.

    :param write: takes a line and returns how much of it was taken;
        raises ``BlockingIOError`` when there is no room.
    """

    def __init__(
        self,
        write: typing.Callable[[bytes], int],
        clock: typing.Callable[[], float] = time.monotonic,
    ) -> None:
        self._write = write
        self._clock = clock
        self._second = 0
        self._written: collections.Counter[str] = collections.Counter()
        self._left_out: collections.Counter[str] = collections.Counter()

    def __call__(self, message: dict[str, typing.Any]) -> None:
        """Write one message, or count it as left out."""
        kind = str(message.get(_KIND, "eliot"))
        self._begin_second()
        self._written[kind] += 1
        if self._written[kind] > LINES_PER_SECOND:
            self._leave_out(kind)
            return
        self._put(kind, _line(kind, message))

    def _begin_second(self) -> None:
        second = int(self._clock())
        if second == self._second:
            return
        self._second = second
        self._written.clear()
        if self._left_out:
            left_out = dict(self._left_out)
            self._left_out.clear()
            kind = "crowdeck:log_left_out"
            self._put(kind, _line(kind, {"lines": left_out}))

    def _put(self, kind: str, line: bytes) -> None:
        try:
            taken = self._write(line)
        except (BlockingIOError, BrokenPipeError):
            # Logging never holds up or ends what it tells of.
            self._leave_out(kind)
            return
        if taken < len(line):
            self._leave_out(kind)

    def _leave_out(self, kind: str) -> None:
        self._left_out[kind] += 1
        counters.COUNTERS.add("log.left_out")


def _line(kind: str, message: dict[str, typing.Any]) -> bytes:
    fields = {_TIME: round(time.time(), 3), _KIND: kind}
    fields.update(
        (name, value)
        for name, value in message.items()
        if name not in _DROPPED
    )
    line = orjson.dumps(fields, default=str) + b"\n"
    if len(line) > LINE_BYTES:
        short = {name: fields[name] for name in (_TIME, _KIND)}
        line = orjson.dumps({**short, "too_long": len(line)}) + b"\n"
    return line


def to_stdout() -> None:
    """Send log lines to standard output, where the platform takes them."""
    number = sys.stdout.fileno()
    os.set_blocking(number, False)
    eliot.add_destinations(BoundedWriter(lambda line: os.write(number, line)))


def change(what: str, **fields: typing.Any) -> None:
    """Log one change of what the process is or believes.

    >>> change("peer_lost", peer="engine-3")
    """
    assert not SECRET_FIELDS & fields.keys(), "a secret must not be logged"
    eliot.log_message(message_type=f"crowdeck:{what}", **fields)


def decision(what: str, request: str, **fields: typing.Any) -> None:
    """Log one decision on a request, with the inputs that decided it.

    :param request: the request's id, by which its lines are found.
    """
    change(what, request=request, **fields)
