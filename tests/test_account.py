# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""The account of what the clients of a process hold."""

import typing

import anyio
import attrs
from hypothesis import given
from hypothesis import strategies
import pytest

from crowdeck.serving import account as accounts
from tests import virtual

LIMIT_BYTES = 1_000
CONNECTIONS = 3


@attrs.define(eq=False)
class Client:
    """A connection that sheds and ends when it is told to."""

    began_at: float = 0.0
    holding: accounts.Holding | None = None
    was_shed: bool = False
    has_ended: bool = False

    @property
    def spare_bytes(self) -> int:
        return self.holding.byte_count if self.holding else 0

    def shed(self) -> None:
        assert self.holding is not None
        self.holding.release()
        self.was_shed = True

    def end(self) -> None:
        self.has_ended = True


def make_account() -> accounts.Account:
    return accounts.Account(accounts.AccountSize(LIMIT_BYTES, CONNECTIONS))


def run(body: typing.Callable[[], typing.Awaitable[None]]) -> None:
    virtual.run(body)


class TestSize:
    """The size that follows from the machine's limits."""

    def test_leaves_descriptors_for_connections_to_others(self) -> None:
        size = accounts.size_for(100_000, 4_100)
        assert size.connection_count == 2_925

    def test_of_a_small_machine_is_bounded_by_its_memory(self) -> None:
        size = accounts.size_for(300, 100_000)
        connection_bytes = size.connection_count * accounts.CONNECTION_BYTES
        assert size.byte_count + connection_bytes <= 150 * 2**20

    def test_with_tls_allows_fewer_connections(self) -> None:
        plain = accounts.size_for(300, 4_100)
        encrypted = accounts.size_for(300, 4_100, has_tls=True)
        assert encrypted.connection_count < plain.connection_count / 4

    def test_allows_a_connection_whatever_the_limits(self) -> None:
        assert accounts.size_for(64, 0).connection_count == 1


class TestBytes:
    """Bytes that requests hold."""

    def test_request_that_cost_the_most_is_shed_first(self) -> None:
        async def body() -> None:
            account = make_account()
            listener = account.open_listener("callers")
            old, large, small = Client(), Client(), Client()
            for client, at, size in (
                (old, 0.0, 300),
                (large, 8.0, 600),
                (small, 9.9, 100),
            ):
                client.began_at = at
                client.holding = accounts.Holding(account)
                listener.add(client)
                assert client.holding.grow(size)
            await anyio.sleep(10.0 - anyio.current_time())
            newcomer = accounts.Holding(account)
            assert newcomer.grow(50)
            assert [old.was_shed, large.was_shed, small.was_shed] == [
                True,
                False,
                False,
            ]

        run(body)

    def test_requests_in_service_are_not_shed(self) -> None:
        async def body() -> None:
            account = make_account()
            account.open_listener("callers")
            served = accounts.Holding(account)
            assert served.grow(LIMIT_BYTES)
            assert not accounts.Holding(account).grow(1)
            served.release()
            assert accounts.Holding(account).grow(1)

        run(body)

    def test_client_beside_which_others_hold_little_is_served(self) -> None:
        async def body() -> None:
            account = make_account()
            listener = account.open_listener("callers")
            clients = [Client(holding=accounts.Holding(account))]
            clients.append(Client(holding=accounts.Holding(account)))
            for client, size in zip(clients, (LIMIT_BYTES // 10, 100)):
                assert client.holding is not None
                listener.add(client)
                assert client.holding.grow(size)
            await anyio.sleep(1.0)
            assert clients[1].holding is not None
            for _ in range(20):
                assert clients[1].holding.grow(100)
            assert not any(client.was_shed for client in clients)

        run(body)

    def test_request_that_sheds_itself_holds_nothing(self) -> None:
        async def body() -> None:
            account = make_account()
            listener = account.open_listener("callers")
            client = Client(holding=accounts.Holding(account))
            other = accounts.Holding(account)
            listener.add(client)
            assert client.holding is not None
            assert other.grow(LIMIT_BYTES // 2)
            assert client.holding.grow(LIMIT_BYTES // 2)
            await anyio.sleep(1.0)
            assert not client.holding.grow(1)
            assert client.was_shed
            assert account.held_bytes == other.byte_count

        run(body)

    @given(
        strategies.lists(
            strategies.tuples(
                strategies.integers(0, 5),
                strategies.integers(1, LIMIT_BYTES // 2),
                strategies.booleans(),
            ),
            max_size=60,
        )
    )
    def test_account_is_never_overdrawn(
        self, steps: list[tuple[int, int, bool]]
    ) -> None:
        """Whatever grows and is released, in any order."""

        async def body() -> None:
            account = make_account()
            listener = account.open_listener("callers")
            clients = [Client() for _ in range(6)]
            for client in clients:
                client.holding = accounts.Holding(account)
                listener.add(client)
            for number, size, is_end in steps:
                client = clients[number]
                assert client.holding is not None
                if is_end:
                    client.holding.release()
                    client.holding = accounts.Holding(account)
                else:
                    client.holding.grow(size)
                held = [client.spare_bytes for client in clients]
                assert account.held_bytes == sum(held)
                others = sum(held) - max(held)
                is_alone = others <= accounts.ROOM_SHARE * LIMIT_BYTES
                assert sum(held) <= LIMIT_BYTES or is_alone

        run(body)


class TestConnections:
    """Accepted sockets of one listener."""

    def test_one_that_was_answered_last_is_kept_longest(self) -> None:
        listener = make_account().open_listener("callers")
        clients = [Client() for _ in range(CONNECTIONS)]
        for client in clients:
            assert listener.accept()
            listener.add(client)
        listener.begin_service(clients[0])
        listener.end_service(clients[0])
        assert listener.accept()
        assert [client.has_ended for client in clients] == [False, True, False]

    def test_one_in_service_is_never_ended(self) -> None:
        listener = make_account().open_listener("callers")
        clients = [Client() for _ in range(CONNECTIONS)]
        for client in clients:
            assert listener.accept()
            listener.add(client)
            listener.begin_service(client)
        assert not listener.accept()
        assert not any(client.has_ended for client in clients)
        listener.release()
        assert listener.accept()

    @pytest.mark.parametrize("share", [0.0, 0.4, 1.0])
    def test_listener_has_its_share(self, share: float) -> None:
        listener = make_account().open_listener("status", share)
        accepted = 0
        while listener.accept():
            accepted += 1
        assert accepted == max(1, int(share * CONNECTIONS))
