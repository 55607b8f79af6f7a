# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Listening sockets.

Imported before everything else at the start of a process, so this module
must import nothing that is slow to load.
"""

import socket

# Same as uvicorn's default. If it overflows, connection attempts are dropped
# and TCP retries them after a second.
BACKLOG = 2048
# Accepted connections inherit it, and Linux doubles it. It bounds the bytes
# that wait in the sockets whose clients are not being read.
RECEIVE_BUFFER_BYTES = 16 * 1024
# Likewise, for the bytes of answers that clients do not read.
SEND_BUFFER_BYTES = 128 * 1024


def listen(host: str, port: int) -> socket.socket:
    """Return a non-blocking listening socket.

    :param host: an IP address.
    :param port: port to listen on; 0 for any free one.
    :raises OSError: if the address is invalid or in use.
    """
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    listener = socket.socket(family, socket.SOCK_STREAM)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        # TCP derives the window that it offers from this when it listens.
        listener.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        listener.setsockopt(
            socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES
        )
        listener.bind((host, port))
        listener.listen(BACKLOG)
    except OSError:
        listener.close()
        raise
    listener.setblocking(False)
    return listener
