# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""A pool of links to other instances, dialled on first use."""

import typing

import anyio

from crowdeck import errors
from crowdeck import instance as instances
from crowdeck.wire import link


class InstanceResolver(typing.Protocol):
    """Resolves the names of instances to their addresses."""

    def find(self, name: str) -> instances.Instance | None:
        """Return the instance as last listed, or ``None``."""
        ...

    async def refresh(self) -> None:
        """Read the list again; on failure the last known list stays in use."""
        ...


class Links:
    """Keeps at most one dialled link per instance.

    Addresses are looked up by the instance's name; addresses in messages are
    never dialled.
    """

    def __init__(
        self, resolver: InstanceResolver, transport: link.Transport
    ) -> None:
        self._resolver = resolver
        self._transport = transport
        self._peers: dict[str, link.Peer] = {}
        self._dial_locks: dict[str, anyio.Lock] = {}

    def current(self, name: str) -> link.Peer | None:
        """Return the open link to an instance, if any."""
        peer = self._peers.get(name)
        return peer if peer is not None and peer.is_open else None

    async def get(self, name: str) -> link.Peer:
        """Return an open link to an instance, dialling if needed.

        :raises LinkLost: with ``was_sent`` false if no link can be opened.
        """
        peer = self.current(name)
        if peer is not None:
            return peer
        lock = self._dial_locks.setdefault(name, anyio.Lock())
        async with lock:
            return self.current(name) or await self._dial(name)

    async def _dial(self, name: str) -> link.Peer:
        listed = self._resolver.find(name)
        if listed is None:
            # The instance may have started after the last refresh.
            await self._resolver.refresh()
            listed = self._resolver.find(name)
        if listed is None:
            raise errors.LinkLost(
                f"{name} is not in the instance list",
                was_sent=False,
                culprit=name,
            )
        try:
            peer = await self._transport.dial(listed.address)
        except errors.LinkLost as error:
            raise errors.LinkLost(
                error.message, was_sent=False, culprit=name
            ) from None
        if peer.greeting.instance != name:
            # The list is outdated.
            peer.close()
            raise errors.LinkLost(
                f"{listed.address} is the address of "
                f"{peer.greeting.instance} instead of {name}",
                was_sent=False,
                culprit=name,
            )
        self._peers[name] = peer
        return peer
