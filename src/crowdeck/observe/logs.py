# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Structured logs: a JSON line for each decision and each state change.

Lines go to standard output through eliot. They are rate limited by event
and never block the process: lines over the limit, and lines that a full
pipe does not take, are dropped and counted.
"""

import collections
import os
import reprlib
import sys
import time
import typing

import eliot
import orjson

from crowdeck.observe import counters

# Fields that must never be logged, as they hold secrets or caller content.
SECRET_FIELDS = frozenset(
    {"authorization", "prompt", "body", "key", "bearer", "password"}
)
# Maximum number of lines per event and second. An entry decides on some tens
# of requests a second, whose lines all pass, while a burst of refusals is kept
# to about 30 KB a second.
LINES_PER_SECOND = 100
# Pipe writes up to this size are atomic (PIPE_BUF).
MAX_LINE_BYTES = 4_096

_KIND = "message_type"
_TIME = "timestamp"
# Fields of eliot that are not copied: its action tree is not used, and the
# event and the time are set here.
_OMITTED = frozenset({"task_uuid", "task_level", _KIND, _TIME})


class BoundedWriter:
    """Writes log messages as JSON lines without blocking.

    :param write: non-blocking write that returns the number of bytes
        written; raises ``BlockingIOError`` if the pipe is full.
    """

    def __init__(
        self,
        write: typing.Callable[[bytes], int],
        clock: typing.Callable[[], float] = time.monotonic,
    ) -> None:
        self._write = write
        self._clock = clock
        self._second = 0
        self._messages_this_second: collections.Counter[str] = (
            collections.Counter()
        )
        self._dropped: collections.Counter[str] = collections.Counter()

    def __call__(self, message: dict[str, typing.Any]) -> None:
        """Write one message, or count it as dropped."""
        kind = str(message.get(_KIND, "eliot"))
        self._begin_second_if_new()
        self._messages_this_second[kind] += 1
        if self._messages_this_second[kind] > LINES_PER_SECOND:
            self._drop(kind)
            return
        self._write_line(kind, _encode_line(kind, message))

    def _begin_second_if_new(self) -> None:
        """In a new second, restart the counts and report dropped lines."""
        second = int(self._clock())
        if second == self._second:
            return
        self._second = second
        self._messages_this_second.clear()
        if self._dropped:
            dropped = dict(self._dropped)
            self._dropped.clear()
            kind = "crowdeck:log_left_out"
            self._write_line(kind, _encode_line(kind, {"lines": dropped}))

    def _write_line(self, kind: str, line: bytes) -> None:
        try:
            written = self._write(line)
        except (BlockingIOError, BrokenPipeError):
            # A failure to log must not affect the process.
            self._drop(kind)
            return
        if written < len(line):
            self._drop(kind)

    def _drop(self, kind: str) -> None:
        self._dropped[kind] += 1
        counters.COUNTERS.add("log.left_out")


def _encode_line(kind: str, message: dict[str, typing.Any]) -> bytes:
    fields = {_TIME: round(time.time(), 3), _KIND: kind}
    fields.update(
        (name, value)
        for name, value in message.items()
        if name not in _OMITTED
    )
    line = _dumps(fields) + b"\n"
    if len(line) > MAX_LINE_BYTES:
        header = {name: fields[name] for name in (_TIME, _KIND)}
        line = orjson.dumps({**header, "too_long": len(line)}) + b"\n"
    return line


def _dumps(fields: dict[str, typing.Any]) -> bytes:
    """Return fields as JSON; those that JSON does not have become a text."""
    try:
        return orjson.dumps(fields, default=str)
    except TypeError:
        return orjson.dumps(
            {name: _loggable(value) for name, value in fields.items()}
        )


def _loggable(value: object) -> typing.Any:
    try:
        return orjson.Fragment(orjson.dumps(value, default=str))
    except TypeError:
        # Limits depth and length, unlike repr.
        try:
            return ascii(reprlib.repr(value))
        except ValueError:
            return f"{type(value).__name__} that cannot be shown"


def to_stdout() -> None:
    """Send log lines to standard output, set to non-blocking."""
    descriptor = sys.stdout.fileno()
    os.set_blocking(descriptor, False)
    eliot.add_destinations(
        BoundedWriter(lambda line: os.write(descriptor, line))
    )


def change(what: str, **fields: typing.Any) -> None:
    """Log a change of the state of this process or of its view of others.

    :param what: name of the event.

    >>> change("peer_lost", peer="engine-3")
    """
    assert not SECRET_FIELDS & fields.keys(), (
        f"secret fields must not be logged: {SECRET_FIELDS & fields.keys()}"
    )
    eliot.log_message(message_type=f"crowdeck:{what}", **fields)


def decision(what: str, request: str, **fields: typing.Any) -> None:
    """Log a decision on a request, with its inputs.

    :param what: name of the event.
    :param request: id of the request.
    """
    change(what, request=request, **fields)
