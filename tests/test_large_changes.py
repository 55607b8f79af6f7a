# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Answers of the store that are larger than this client reads."""

import typing

import anyio
import orjson
import pytest

from crowdeck import errors
from crowdeck import http
from crowdeck.platform import names
from crowdeck.platform import store as platform_store
from crowdeck.state import mirror as mirrors
from crowdeck.state import objects as stores
from crowdeck import upstream as services
from crowdeck import verdict as verdicts
from tests import virtual

KIND = "config"
LATEST_VERSION = 30
# Time in which a mirror that was behind has to know the latest version.
CATCH_UP_SECONDS = 1.0


class Listener:
    """Remembers the values that it was given."""

    def __init__(self) -> None:
        self.values: list[bytes] = []

    def on_listed(self, objects: tuple[stores.StoredObject, ...]) -> None:
        self.on_changed(objects, ())

    def on_changed(
        self,
        objects: tuple[stores.StoredObject, ...],
        removed: tuple[str, ...],
    ) -> None:
        self.values += [stored.value for stored in objects]


class ManyVersionsClient:
    """A store one of whose objects has changed very often.

    :ivar paths: the paths of all calls.
    """

    def __init__(self, version: int = 9, listing_is_large: bool = False):
        self.paths: list[str] = []
        self.version = version
        self.listing_is_large = listing_is_large

    async def send(
        self, method: str, path: str, *_: typing.Any
    ) -> services.ServiceResponse:
        self.paths.append(path)
        version = self.version
        await anyio.sleep(0.01)
        is_watch = names.WATCH in path
        asked_from = f"{names.WATCH}={version}&" in path
        if (is_watch and not asked_from) or self.listing_is_large:
            raise errors.CrowdeckError(
                errors.Code.TOO_LARGE, "6 MB", verdict=verdicts.Verdict.RAN
            )
        if is_watch:
            await anyio.sleep(0.8)
            body: dict[str, object] = {names.EVENTS: []}
        else:
            stored = {
                names.METADATA: {
                    names.NAME: "main",
                    names.REVISION: version,
                },
                names.SPECIFICATION: {"version": version},
            }
            body = {names.ITEMS: [stored], names.HAS_MORE: False}
        body[names.STORE_REVISION] = version
        return services.ServiceResponse(200, (), orjson.dumps(body))

    async def close_idle(self) -> None:
        return


def make_store(client: ManyVersionsClient) -> platform_store.HttpStore:
    return platform_store.HttpStore(typing.cast(http.HttpClient, client))


class TestChanges:
    """Changes that are too large for one answer."""

    def test_are_replaced_by_a_listing(self) -> None:
        # Guards against the same watch again and again, while an entry acts
        # on the config that it had before it was suspended.
        async def body() -> None:
            client = ManyVersionsClient()
            listener = Listener()
            mirror = mirrors.Mirror(make_store(client), KIND, listener, 0.8)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(mirror.run)
                await anyio.sleep(0.5)
                assert listener.values == [b'{"version":9}']
                client.version = LATEST_VERSION
                await anyio.sleep(0.8 + CATCH_UP_SECONDS)
                assert listener.values[-1] == b'{"version":30}'
                assert mirror.age() < CATCH_UP_SECONDS
                tasks.cancel_scope.cancel()

        virtual.run(body)

    def test_listing_that_is_too_large_is_a_failed_call(self) -> None:
        # Guards against listings without a pause.
        async def body() -> None:
            client = ManyVersionsClient(listing_is_large=True)
            mirror = mirrors.Mirror(make_store(client), KIND, Listener(), 0.8)
            with anyio.move_on_after(10.0):
                await mirror.run()
            assert not mirror.has_listed
            assert len(client.paths) <= 40

        virtual.run(body)


class TestDeclaredLength:
    """An answer whose head tells its length."""

    def test_is_not_read_beyond_the_limit(self) -> None:
        # Guards against seconds of a narrow link for an answer that is given
        # up in the end.
        async def body() -> None:
            with pytest.raises(errors.CrowdeckError) as raised:
                await make_response(b"1001").read(1_000)
            assert raised.value.code is errors.Code.TOO_LARGE
            assert anyio.current_time() == 0.0

        virtual.run(body)

    @pytest.mark.parametrize("length", [b"1000", b"", b"x", b"9" * 5_000])
    def test_otherwise_the_body_is_read(self, length: bytes) -> None:
        async def body() -> None:
            assert await make_response(length).read(1_000) == b"body"

        virtual.run(body)


def make_response(length: bytes) -> http.OpenResponse:
    async def content() -> typing.AsyncIterator[bytes]:
        await anyio.sleep(1.0)
        yield b"body"

    return http.OpenResponse(200, [(b"Content-Length", length)], content())
