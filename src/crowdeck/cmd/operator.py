# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Access of the command line to the platform and the instances."""

import contextlib
import typing

import anyio
import attrs

from crowdeck.cmd import entry_status
from crowdeck import errors
from crowdeck import http
from crowdeck import instance as instances
from crowdeck.membership import directory as directories
from crowdeck.membership import links as links_module
from crowdeck.platform import store as platform_store
from crowdeck.wire import link
from crowdeck.wire import messages
from crowdeck.wire import questions
from crowdeck.wire import rpc


@attrs.frozen
class InstanceReply:
    """The reply of one instance, or the error instead of it."""

    name: str
    reply: questions.Reply | None
    error: errors.CrowdeckError | None


class _OperatorLinkHandler:
    """Ignores records and refuses questions."""

    def on_opened(self, peer: link.Peer) -> None:
        """Do nothing."""

    def on_closed(self, peer: link.Peer) -> None:
        """Do nothing."""

    def on_record(self, peer: link.Peer, record: messages.Record) -> None:
        """Do nothing."""

    async def on_question(
        self, peer: link.Peer, question: questions.Question
    ) -> questions.Reply:
        """Refuse every question."""
        raise errors.CrowdeckError(
            errors.Code.MALFORMED,
            "the operator command line answers no questions",
        )


class OperatorClient:
    """Reads the platform and asks instances; an async context manager.

    Use it inside ``capnp.kj_loop()``.

    :param timeout: longest wait for each reply, in seconds.
    """

    def __init__(
        self,
        platform_url: str,
        cluster: str,
        timeout: float,
        tls: rpc.TlsContexts,
    ) -> None:
        self._timeout = timeout
        self._stack = contextlib.AsyncExitStack()
        self._client = http.HttpClient(platform_url)
        self._entry_client = http.HttpClient("")
        self.store = platform_store.HttpStore(self._client)
        self._directory = directories.Directory(self.store)
        greeting = messages.Greeting(
            cluster=cluster,
            instance="operator",
            role=str(instances.Role.OPERATOR),
            availability_zone="",
            incarnation=instances.new_incarnation(),
        )
        self._transport = rpc.RpcTransport(
            greeting, _OperatorLinkHandler(), tls
        )
        self._links = links_module.Links(self._directory, self._transport)

    async def __aenter__(self) -> "OperatorClient":
        self._stack.push_async_callback(self._client.close)
        self._stack.push_async_callback(self._entry_client.close)
        await self._stack.enter_async_context(self._transport)
        return self

    async def __aexit__(self, *exc_info: typing.Any) -> None:
        await self._stack.__aexit__(*exc_info)

    async def instances(self) -> tuple[instances.Instance, ...]:
        """Return the platform's instance list.

        :raises CrowdeckError: ``STORE_DOWN`` when it cannot be read.
        """
        listing = await self.store.list_instances()
        return listing.instances if listing is not None else ()

    async def read_entry_statuses(self) -> list[entry_status.Row]:
        """Return the status of the fleet entries.

        :raises CrowdeckError: ``STORE_DOWN`` when they cannot be listed.
        """
        return await entry_status.read(
            self.store, self._entry_client, self._timeout
        )

    async def ask(
        self, name: str, question: questions.Question
    ) -> questions.Reply:
        """Ask one instance.

        :raises CrowdeckError: if it cannot be reached or refuses.
        """
        peer = await self._links.get(name)
        reply = await peer.ask(question, self._timeout)
        if isinstance(reply, questions.Refused):
            raise reply.as_error()
        return reply

    async def ask_all(
        self, question: questions.Question
    ) -> list[InstanceReply]:
        """Ask every listed instance concurrently.

        An instance that fails has its error in the result.
        """
        replies: list[InstanceReply] = []

        async def ask_instance(name: str) -> None:
            try:
                reply = await self.ask(name, question)
                replies.append(InstanceReply(name, reply, None))
            except errors.CrowdeckError as error:
                replies.append(InstanceReply(name, None, error))

        listed = await self.instances()
        async with anyio.create_task_group() as tasks:
            for instance in listed:
                tasks.start_soon(ask_instance, instance.name)
        return sorted(replies, key=lambda instance_reply: instance_reply.name)
