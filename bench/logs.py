# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Measures what logging costs a request, with the pipe empty and full.

``python -m bench.logs`` writes the lines of a stream that went well, as an
entry does, into a pipe that is read, into one that nobody reads, and
nowhere (with more lines a second than are let through).
"""

import os
import threading
import time
import typing

import eliot

from crowdeck.observe import logs

REQUESTS = 20_000
PATH = ",".join(
    f"10.1.64.{hop}:8089={hop * 9}-{hop * 9 + 9}" for hop in range(9)
)

Clock = typing.Callable[[], float]


def log_request(number: int) -> None:
    """Log what a stream that goes well has an entry decide."""
    request = f"{number:016x}"
    logs.decision(
        "path_chosen",
        request,
        path=PATH,
        after=-1,
        tokens=858,
        refusals=0,
        config=17,
    )
    logs.decision(
        "stream_ended",
        request,
        head="i-5f43d8dce4",
        first_event=0.0512,
        longest_pause=0.0561,
        last_event=85,
        seconds=2.112,
        attempts=1,
    )


def measure(write: typing.Callable[[bytes], int], clock: Clock) -> float:
    """Return the microseconds of processor time that a request costs."""
    writer = logs.BoundedWriter(write, clock)
    eliot.add_destinations(writer)
    try:
        began = time.process_time()
        for number in range(REQUESTS):
            log_request(number)
        took = time.process_time() - began
    finally:
        eliot.remove_destination(writer)
    return took / REQUESTS * 1e6


def every_line() -> Clock:
    """Return a clock by which no second has many lines."""
    seconds = iter(range(10**9))
    return lambda: float(next(seconds))


def to_pipe(is_read: bool) -> float:
    """Measure with a pipe that is read all the time, or never."""
    out, into = os.pipe()
    os.set_blocking(into, False)

    def drain() -> None:
        while os.read(out, 1 << 16):
            pass

    reader = threading.Thread(target=drain)
    if is_read:
        reader.start()
    try:
        return measure(lambda line: os.write(into, line), every_line())
    finally:
        os.close(into)
        if is_read:
            reader.join()
        os.close(out)


def main() -> None:
    """Print the figures."""
    sizes: list[int] = []

    def count(line: bytes) -> int:
        sizes.append(len(line))
        return len(line)

    print(f"nowhere: {measure(count, every_line()):.1f} us a request")
    print(f"size: {sum(sizes) / REQUESTS:.0f} bytes a request")
    print(f"pipe that is read: {to_pipe(True):.1f} us a request")
    print(f"full pipe: {to_pipe(False):.1f} us a request")
    bounded = measure(count, time.monotonic)
    print(f"over the bound of lines a second: {bounded:.1f} us a request")


if __name__ == "__main__":
    main()
