# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Ports for the processes of one seed."""

import contextlib
import random
import socket

HOST = "127.0.0.1"
# Below the ephemeral ports of Linux, which begin at 32768.
PORTS = range(10_000, 32_000)
# Seeds that differ modulo PORT_SHARES use disjoint ports: a concurrent seed
# could take the port of an entry that is being restarted.
PORT_SHARES = 20


def find_free(count: int, seed: int) -> list[int]:
    """Return ports on which nothing listens.

    Ephemeral ports, as the system assigns them, could be taken by an outgoing
    connection before an entry listens on them.
    """
    share = PORTS[seed % PORT_SHARES :: PORT_SHARES]
    candidates = random.SystemRandom().sample(share, len(share))
    found: list[int] = []
    for port in candidates:
        if len(found) == count:
            break
        with contextlib.suppress(OSError), socket.socket() as probe:
            probe.bind((HOST, port))
            found.append(port)
    return found
