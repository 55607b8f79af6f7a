# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Starts ``crowdeckd``: first the callers' socket, then everything else.

Importing the daemon takes half a second of a full core, 1.4 s of an
instance with 0.4 of one. Until its socket listens, callers are refused, and
after a fault of all instances they find no other. So the socket is opened
before anything large is imported, and callers that come meanwhile wait in
its queue and are served late instead of never.

Nothing is imported here that takes long: neither the daemon nor attrs.
"""

from collections import abc
import configparser
import gc
import signal
import socket
import sys

# As many as uvicorn asks for; a queue that overflows drops callers, who try
# again after a second.
BACKLOG = 2048
_CONFIG_OPTION = "--config"
_SECTION = "fleet"
_CALLERS = "callers"

Daemon = abc.Callable[[list[str], socket.socket | None], int]


def main(arguments: list[str] | None = None) -> int:
    """Run the daemon; returns its exit code."""
    # By default the signal that tells of changed settings would end a
    # process that has only begun to start.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    given = sys.argv[1:] if arguments is None else arguments
    listener = open_listener(given)
    return _import_daemon()(given, listener)


def _import_daemon() -> Daemon:
    """Return the daemon's main function, imported as quickly as may be.

    What is imported stays for good, so looking through it for garbage is
    in vain, while importing and later: 0.46 s of processor time beside
    0.50 with it, medians of four imports beside other work.
    """
    gc.disable()
    # Imported only now: see above.
    from crowdeck.cmd import daemon

    gc.freeze()
    gc.enable()
    return daemon.main


def open_listener(arguments: list[str]) -> socket.socket | None:
    """Return the callers' socket, listening, where it can be opened.

    ``None`` where the configuration names none or something is wrong with
    it: the daemon checks it whole and says what.
    """
    if _CONFIG_OPTION not in arguments or "--check" in arguments:
        return None
    parser = configparser.ConfigParser(interpolation=None)
    try:
        with open(_after(arguments, _CONFIG_OPTION), encoding="utf-8") as file:
            parser.read_file(file)
        address = parser.get(_SECTION, _CALLERS)
        host, _, port = address.rpartition(":")
        return _listen(host, int(port))
    except (OSError, ValueError, configparser.Error):
        return None


def _after(arguments: list[str], option: str) -> str:
    position = arguments.index(option) + 1
    if position >= len(arguments):
        raise ValueError(f"{option} needs a value")
    return arguments[position]


def _listen(host: str, port: int) -> socket.socket:
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((host, port))
        listener.listen(BACKLOG)
    except OSError:
        listener.close()
        raise
    listener.setblocking(False)
    return listener
