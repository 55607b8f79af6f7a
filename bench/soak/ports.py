# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Ports for the processes of one seed."""

import contextlib
import random
import socket

HOST = "127.0.0.1"
# Below those that Linux gives to outgoing connections, 32768 and more.
PORTS = range(10_000, 32_000)
# Seeds that are played beside one another draw from parts of their own: an
# entry's ports are free for a moment whenever it is killed.
PARTS = 20


def find_free(count: int, seed: int) -> list[int]:
    """Return ports that nobody listens at.

    They are used a moment later. Of those that the system gives itself one
    was an outgoing connection's by then, and an entry ended as it started.
    """
    part = PORTS[seed % PARTS :: PARTS]
    drawn = random.SystemRandom().sample(part, len(part))
    found: list[int] = []
    for port in drawn:
        if len(found) == count:
            break
        with contextlib.suppress(OSError), socket.socket() as one:
            one.bind((HOST, port))
            found.append(port)
    return found
