# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Links to other instances, dialled when first needed and then shared."""

import typing

import anyio

from crowdeck import errors
from crowdeck import instance as instances
from crowdeck.wire import link


class InstanceResolver(typing.Protocol):
    """Where instances are reached, by name."""

    def find(self, name: str) -> instances.Instance | None:
        """Return the instance as last listed, or ``None``."""
        ...

    async def refresh(self) -> None:
        """Read the list again; what is known stands while that fails."""
        ...


class Links:
    """At most one dialled link per instance.

    A link is found by an instance's name alone: addresses that come in
    messages are never dialled.
    """

    def __init__(
        self, resolver: InstanceResolver, transport: link.Transport
    ) -> None:
        self._resolver = resolver
        self._transport = transport
        self._peers: dict[str, link.Peer] = {}
        self._dialling: dict[str, anyio.Lock] = {}

    def current(self, name: str) -> link.Peer | None:
        """Return the open link to an instance, if there is one."""
        peer = self._peers.get(name)
        return peer if peer is not None and peer.is_open else None

    async def get(self, name: str) -> link.Peer:
        """Return an open link to an instance, dialling if needed.

        :raises LinkLost: with ``was_sent`` false when none can be had.
        """
        peer = self.current(name)
        if peer is not None:
            return peer
        lock = self._dialling.setdefault(name, anyio.Lock())
        async with lock:
            return self.current(name) or await self._dial(name)

    async def _dial(self, name: str) -> link.Peer:
        listed = self._resolver.find(name)
        if listed is None:
            # A peer that started after our last look, most likely: a
            # path must not fail for the second that the next one is off.
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
            # The address was given to another instance while the list
            # lags; what we were about to say is not for it.
            peer.close()
            raise errors.LinkLost(
                f"{listed.address} is no longer {name}",
                was_sent=False,
                culprit=name,
            )
        self._peers[name] = peer
        return peer
