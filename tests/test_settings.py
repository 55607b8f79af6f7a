# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Tests of settings, the daemon configuration and the errors page."""

import pathlib

import anyio
import hypothesis
from hypothesis import strategies
import pytest

from crowdeck import errors
from crowdeck.settings import config as configs
from crowdeck.settings import editor as editors
from crowdeck.settings import holder as holders
from crowdeck.settings import tree as trees
from crowdeck.standin import store as stores
from tests import virtual

ETC = pathlib.Path(__file__).parent.parent / "etc"
DOCS = pathlib.Path(__file__).parent.parent / "docs"

TEXT = """\
[defaults]
concurrency = 10
[service:maps]
ordered = yes
[team:kiosks]
services = maps
[team:kiosks/service:maps]
concurrency = 5
[team:kiosks/service:maps/session:desk-7]
deadline_seconds = 9
"""


class TestTree:
    """Inheritance, validation and text edits."""

    def test_value_is_inherited_from_the_nearest_node(self) -> None:
        tree = trees.parse(TEXT, 1)
        scope = trees.SettingsScope("kiosks", "maps", "desk-7")
        found = tree.effective(scope, "concurrency")
        assert (found.value, found.section) == (5, "team:kiosks/service:maps")
        assert tree.number(scope, "deadline_seconds") == 9
        assert tree.effective(scope, "window").section == "built-in"
        other = trees.SettingsScope("others", "maps")
        assert tree.integer(other, "concurrency") == 10

    @pytest.mark.parametrize(
        ("text", "hint"),
        [
            ("[team:a]\nconcurency = 1", "did you mean concurrency?"),
            ("[team:a]\nconcurrency = many", "an integer from 1"),
            ("[team:a]\nconcurrency = 0", "an integer from 1"),
            ("[teams:a]\n", "expected [defaults]"),
            ("[team:a]\nservices = map\n[service:maps]\n", "did you mean"),
            ("[team:a]\nkeys_sha256 = k\n[team:b]\nkeys_sha256 = k", "team a"),
            ("concurrency = 1", "invalid INI syntax"),
            ("[defaults]\nwindow = 1\nwindow = 2", "invalid INI syntax"),
        ],
    )
    def test_invalid_text_is_rejected_with_a_hint(
        self, text: str, hint: str
    ) -> None:
        with pytest.raises(errors.SettingsError) as caught:
            trees.parse(text, 1)
        assert hint in str(caught.value)

    def test_edit_keeps_comments_and_unsets_options(self) -> None:
        text = "[defaults]\n# why\nwindow = 9\n"
        changed = trees.edit(text, "defaults", "window", "7")
        assert changed == "[defaults]\n# why\nwindow = 7\n"
        assert trees.edit(changed, "defaults", "window", None) == (
            "[defaults]\n# why\n"
        )
        with pytest.raises(errors.SettingsError):
            trees.edit(text, "defaults", "weight", None)
        added = trees.edit(text, "team:a", "weight", "2")
        assert (
            trees.parse(added, 1).number(trees.SettingsScope("a"), "weight")
            == 2
        )

    @hypothesis.settings(derandomize=True, database=None, deadline=None)
    @hypothesis.given(strategies.text(max_size=200))
    def test_any_text_is_parsed_or_rejected(self, text: str) -> None:
        for parse in (lambda given: trees.parse(given, 1), configs.parse):
            try:
                parse(text)
            except errors.CrowdeckError as error:
                assert error.code in (errors.Code.SETTINGS, errors.Code.CONFIG)


class TestEditor:
    """Accepted, concurrent and unacknowledged changes."""

    def test_conflict_shows_the_concurrent_edit(self) -> None:
        async def check() -> None:
            store = stores.StandinStore()
            editor = editors.SettingsEditor(store)
            base = await editor.apply(editors.EMPTY, "[defaults]\n")
            await editor.apply(base, "[defaults]\nwindow = 1\n")
            with pytest.raises(errors.CrowdeckError) as caught:
                await editor.apply(base, "[defaults]\nwindow = 2\n")
            assert caught.value.code == errors.Code.STORE_CONFLICT
            assert "+window = 1" in str(caught.value)
            assert (await editor.read()).generation == 2

        virtual.run(check)

    def test_change_is_found_after_a_lost_reply(self) -> None:
        async def check() -> None:
            store = stores.StandinStore()
            editor = editors.SettingsEditor(store)
            store.lost_replies = 1
            revision = await editor.apply(editors.EMPTY, TEXT, "change-1")
            assert (revision.generation, revision.change) == (1, "change-1")
            retried = await editor.apply(editors.EMPTY, TEXT, "change-1")
            assert retried.generation == 1
            history = await editor.history()
            assert [revision.generation for revision in history] == [1]
            assert await editor.text_of(1) == TEXT

        virtual.run(check)

    def test_invalid_tree_is_never_stored(self) -> None:
        async def check() -> None:
            store = stores.StandinStore()
            editor = editors.SettingsEditor(store)
            with pytest.raises(errors.SettingsError):
                await editor.apply(editors.EMPTY, "[nonsense]\n")
            assert not store.calls["put"]

        virtual.run(check)


class TestHolder:
    """The settings in force in one process."""

    def test_older_generation_without_a_change_id_is_not_applied(self) -> None:
        async def check() -> None:
            holder = holders.SettingsHolder(stores.StandinStore())
            assert holder.apply(trees.parse(TEXT, 5))
            assert not holder.apply(trees.parse("", 4))
            assert not holder.apply(trees.parse("", 5))
            assert holder.tree.text == TEXT

        virtual.run(check)

    def test_tree_raises_a_retry_safe_error_before_the_first_read(
        self,
    ) -> None:
        async def check() -> None:
            holder = holders.SettingsHolder(stores.StandinStore())
            with pytest.raises(errors.CrowdeckError) as caught:
                _ = holder.tree
            assert caught.value.verdict.is_retry_safe

        virtual.run(check)

    def test_valid_changes_are_applied_and_invalid_ones_ignored(self) -> None:
        async def check() -> None:
            store = stores.StandinStore()
            holder = holders.SettingsHolder(store)
            editor = editors.SettingsEditor(store)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(holder.follow)
                base = await editor.apply(editors.EMPTY, TEXT)
                await anyio.sleep(0.1)
                assert holder.generation == 1
                version = await store.put(
                    holders.KIND, holders.NAME, b"torn", base.version
                )
                await anyio.sleep(0.1)
                assert holder.tree.text == TEXT
                store.is_down = True
                await anyio.sleep(30.0)
                store.is_down = False
                await store.put(
                    holders.KIND,
                    holders.NAME,
                    holders.encode(3, "c", TEXT),
                    version,
                )
                await anyio.sleep(1.0)
                assert holder.generation == 3
                tasks.cancel_scope.cancel()

        virtual.run(check)

    def test_restored_store_neither_reverts_nor_hides_edits(self) -> None:
        # A restored store reuses the generation numbers of lost edits. A new
        # edit must apply even if the process has seen the lost edits.
        async def check() -> None:
            store = stores.StandinStore()
            holder = holders.SettingsHolder(store)
            editor = editors.SettingsEditor(store)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(holder.follow)
                base = await editor.apply(editors.EMPTY, TEXT)
                backup = store.back_up()
                second = await editor.apply(base, TEXT + "# 2\n")
                await editor.apply(second, TEXT + "# 3\n")
                await anyio.sleep(0.1)
                store.is_down = True
                await anyio.sleep(1.0)
                store.restore(backup)
                store.is_down = False
                await anyio.sleep(1.0)
                assert holder.tree.text == TEXT + "# 3\n"
                await editor.apply(await editor.read(), TEXT + "# 4\n")
                # The watch from before the restore is still open.
                await anyio.sleep(holders.WATCH_SECONDS)
                assert holder.tree.text == TEXT + "# 4\n"
                assert holder.generation == 2
                tasks.cancel_scope.cancel()

        virtual.run(check)

    def test_settings_are_listed_again_after_history_is_lost(self) -> None:
        # A refused watch must lead to a new listing, not to endless retries.
        async def check() -> None:
            store = stores.StandinStore()
            holder = holders.SettingsHolder(store)
            editor = editors.SettingsEditor(store)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(holder.follow)
                base = await editor.apply(editors.EMPTY, TEXT)
                await anyio.sleep(0.1)
                store.is_down = True
                await anyio.sleep(0.5)
                value = holders.encode(2, "c", TEXT)
                store.write(holders.KIND, holders.NAME, value)
                store.forget_history()
                store.is_down = False
                await anyio.sleep(2.0)
                assert holder.generation == base.generation + 1
                tasks.cancel_scope.cancel()

        virtual.run(check)


class TestConfig:
    """Sample files are valid; invalid files give one-line errors."""

    @pytest.mark.parametrize("name", ["entry", "sidecar"])
    def test_samples_are_valid_and_complete(self, name: str) -> None:
        text = (ETC / f"{name}.ini").read_text()
        configs.parse(text)
        for section in (configs.DAEMON, configs.PLATFORM, name, configs.TLS):
            for option in configs.SECTIONS[section]:
                assert f"\n{option.name} =" in text

    def test_sample_settings_are_valid(self) -> None:
        trees.parse((ETC / "settings.ini").read_text(), 1)

    @pytest.mark.parametrize(
        ("old", "new", "hint"),
        [
            ("role = entry", "role = entri", "one of entry, sidecar"),
            ("host = 127.0.0.1", "host = localhost", "an IP address"),
            ("port = 7400", "port = 70000", "from 0 to 65535"),
            ("[entry]", "[entri]", "no such section"),
            ("http_port", "http_prot", "did you mean http_port?"),
            ("name = entry-0", "name =", "a non-empty string"),
            ("[platform]\nurl = http://127.0.0.1:8000", "", "missing"),
        ],
    )
    def test_invalid_file_gives_a_one_line_error(
        self, tmp_path: pathlib.Path, old: str, new: str, hint: str
    ) -> None:
        text = (ETC / "entry.ini").read_text()
        assert old in text
        path = tmp_path / "entry.ini"
        path.write_text(text.replace(old, new, 1))
        with pytest.raises(errors.ConfigError) as caught:
            configs.load(path)
        message = str(caught.value)
        assert hint in message
        assert str(path) in message
        assert "\n" not in message


class TestErrorsPage:
    """``docs/ERRORS.md`` matches the error codes."""

    def test_every_code_is_documented_with_its_status(self) -> None:
        rows = {}
        for line in (DOCS / "ERRORS.md").read_text().splitlines():
            cells = [cell.strip() for cell in line.split("|")]
            if len(cells) > 3 and cells[1].startswith("`"):
                rows[cells[1].strip("`")] = int(cells[2])
        assert rows == {
            str(code): errors.CrowdeckError(code, "").http_status
            for code in errors.Code
        }
