# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Measures the processor time of logging for each request.

``python -m bench.logs`` logs the lines that an entry writes for a successful
stream: to a function that discards them, to a pipe that is read, to a full
pipe, and at a rate above the limit of lines a second.
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
    """Log the decisions of an entry for a successful stream."""
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
    """Return the processor time for each request, in microseconds.

    :param clock: time in seconds, by which the rate of lines is limited.
    """
    writer = logs.BoundedWriter(write, clock)
    eliot.add_destinations(writer)
    try:
        started = time.process_time()
        for number in range(REQUESTS):
            log_request(number)
        cpu_seconds = time.process_time() - started
    finally:
        eliot.remove_destination(writer)
    return cpu_seconds / REQUESTS * 1e6


def make_unlimited_clock() -> Clock:
    """Return a clock that advances 1 s a reading, to stay below the limit."""
    seconds = iter(range(10**9))
    return lambda: float(next(seconds))


def measure_pipe(is_read: bool) -> float:
    """Measure with a pipe that is read all the time, or never."""
    read_end, write_end = os.pipe()
    os.set_blocking(write_end, False)

    def drain() -> None:
        while os.read(read_end, 1 << 16):
            pass

    reader = threading.Thread(target=drain)
    if is_read:
        reader.start()
    try:
        return measure(
            lambda line: os.write(write_end, line), make_unlimited_clock()
        )
    finally:
        os.close(write_end)
        if is_read:
            reader.join()
        os.close(read_end)


def main() -> None:
    """Print the measurements."""
    sizes: list[int] = []

    def record_size(line: bytes) -> int:
        sizes.append(len(line))
        return len(line)

    print(
        f"discarded: {measure(record_size, make_unlimited_clock()):.1f} "
        "us a request"
    )
    print(f"size: {sum(sizes) / REQUESTS:.0f} bytes a request")
    print(f"pipe that is read: {measure_pipe(True):.1f} us a request")
    print(f"full pipe: {measure_pipe(False):.1f} us a request")
    limited = measure(record_size, time.monotonic)
    print(f"above the limit of lines a second: {limited:.1f} us a request")


if __name__ == "__main__":
    main()
