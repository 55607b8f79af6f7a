# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Tests of the explanation of a request from logs."""

import pathlib

import anyio
import orjson
import pytest

from crowdeck.cmd import cli
from crowdeck.cmd import commands
from crowdeck.cmd import inspection
from crowdeck.observe import explain
from crowdeck.platform import names
from crowdeck.standin import chain_http
from crowdeck.standin import store as standin_store
from tests import fleet_system
from tests import test_platform_formats


def line(at: float, kind: str, source: str = "a", **fields: object) -> str:
    body = {"timestamp": at, "message_type": f"crowdeck:{kind}", **fields}
    return f"{source} {orjson.dumps(body).decode()}\n"


REFUSED = [
    line(10.0, "path_chosen", request="r1", path="10.0.0.1:1=0-80"),
    line(10.1, "upstream_avoided", upstream="i-1", address="10.0.0.1:1"),
    line(10.1, "upstream_avoided", upstream="i-2", address="10.0.0.2:1"),
    line(10.1, "upstream_avoided", "b", upstream="i-1", address="10.0.0.1:1"),
    line(10.2, "attempt_failed", request="r1", reason="10.0.0.1:1 failed"),
    line(
        10.3,
        "refused",
        request="r1",
        code="NO_PATH",
        reason="no path through the model has room",
        status=502,
    ),
    line(10.3, "refused", request="r2", code="UNAUTHORIZED", reason="x"),
]


class TestExplain:
    """Cause, lines and context of a request."""

    def test_refusal_has_its_cause_and_earlier_failures(self) -> None:
        found = explain.explain("r1", REFUSED)
        assert [shown.kind for shown in found.lines] == [
            "path_chosen",
            "attempt_failed",
            "refused",
        ]
        assert found.has_failed
        assert "no engines with free capacity" in found.cause
        assert "10.0.0.1:1 failed" in found.cause

    def test_context_is_limited_to_its_process_and_engines(self) -> None:
        found = explain.explain("r1", REFUSED)
        assert len(found.context) == 1
        assert found.context[0].fields["upstream"] == "i-1"
        assert found.context[0].source == "a"

    def test_quarantined_part_is_named_with_its_evidence(self) -> None:
        texts = [
            line(1.0, "quarantined", content="b", upstreams=["i-1", "i-2"]),
            line(1.1, "quarantined", content="z", upstreams=["i-3"]),
            line(
                90.0,
                "refused_as_quarantined",
                request="r1",
                content="q f b",
                parts=["5c1e"],
            ),
            line(90.0, "refused", request="r1", code="QUARANTINED"),
        ]
        found = explain.explain("r1", texts)
        assert "parts of the prompt: 5c1e" in found.cause
        assert [shown.fields["content"] for shown in found.context] == ["b"]

    def test_long_pause_of_a_stream_is_explained(self) -> None:
        texts = [
            line(1.0, "stream_silent", request="r1", culprits=["10.0.0.9:1"]),
            line(2.0, "stream_ended", request="r1", longest_pause=0.4),
        ]
        found = explain.explain("r1", texts)
        assert found.has_failed
        assert "0.4 s" in found.cause and "10.0.0.9:1" in found.cause
        assert not explain.explain(
            "r1", texts, max_pause_seconds=0.5
        ).has_failed

    def test_missing_layers_and_missing_room_are_explained(self) -> None:
        end = line(2.0, "refused", request="r1", code="NO_PATH", reason="x")
        common = {"request": "r1", "usable": 30, "tokens": 900}
        missing = line(
            1.0, "no_path", missing_layers=6, first_missing=24, **common
        )
        full = line(1.0, "no_path", missing_layers=0, **common)
        cause = explain.explain("r1", [missing, end]).cause
        assert "6 layers, the first being layer 24," in cause
        cause = explain.explain("r1", [full, end]).cause
        assert "lacked room for 900 tokens" in cause

    def test_layers_that_no_engine_holds_are_explained(self) -> None:
        common = {"request": "r1", "usable": 3, "tokens": 900}
        missing = line(
            1.0,
            "no_path",
            missing_layers=20,
            first_missing=20,
            unheld="20-40",
            needed="a load of about 3.5 s",
            **common,
        )
        unheld = line(0.9, "layers_unheld", service="m", layers="20-40")
        refusal = line(1.1, "refused", request="r1", code="NO_PATH")
        found = explain.explain("r1", [unheld, missing, refusal])
        assert "no engine holds layers 20-40" in found.cause
        assert "a load of about 3.5 s" in found.cause
        assert [shown.kind for shown in found.context] == ["layers_unheld"]

    def test_error_status_of_the_upstream_is_the_cause(self) -> None:
        texts = [
            line(
                1.0, "call_answered", request="r1", upstream="i-1", status=500
            )
        ]
        assert "i-1 itself answered 500" in explain.explain("r1", texts).cause

    def test_lines_of_other_programs_are_ignored(self) -> None:
        texts = ["", "{", "plain text", "[]", '{"message_type": 1}', *REFUSED]
        assert len(explain.explain("r1", texts).lines) == 3

    @pytest.mark.parametrize("request_id", ["r3", ""])
    def test_unknown_request_has_no_cause(self, request_id: str) -> None:
        found = explain.explain(request_id, REFUSED)
        assert found.lines == () and found.cause == ""


class TestCommand:
    """Commands that inspect logs and the store."""

    def test_exit_code_shows_whether_the_request_is_explained(
        self, tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
    ) -> None:
        log = tmp_path / "entry.log"
        log.write_text("".join(REFUSED))
        assert cli.main(["explain", "r1", str(log)]) == commands.EXIT_OK
        assert (
            "cause: no engines with free capacity" in capsys.readouterr().out
        )
        assert cli.main(["explain", "r9", str(log)]) == commands.EXIT_FAILED
        assert "contain no lines of this request" in capsys.readouterr().out

    def test_json_output(
        self, tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
    ) -> None:
        log = tmp_path / "entry.log"
        log.write_text("".join(REFUSED))
        cli.main(["explain", "--json", "r1", str(log)])
        result = orjson.loads(capsys.readouterr().out)
        assert result["has_failed"] is True
        assert len(result["lines"]) == 3

    def test_missing_file_is_named(
        self, tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
    ) -> None:
        missing = tmp_path / "none.log"
        assert cli.main(["explain", "r1", str(missing)]) != commands.EXIT_OK
        assert "none.log" in capsys.readouterr().err

    def test_bound_names_the_limiting_resource(self) -> None:
        async def body() -> commands.Result:
            store = standin_store.StandinStore()
            config = orjson.dumps(test_platform_formats.CONFIG)
            store.write(names.CONFIG_KIND, names.CONFIG_NAME, config)
            ranges = ((0, 40, "x"), (40, 80, "x"), (0, 5, "t4"))
            for first, end, card in ranges:
                listed = fleet_system.upstream(
                    f"{first}-{end}",
                    "plateau" if card == "x" else "pikine",
                    (first, end),
                    card,
                    "huvo11a",
                )
                chain_http.write_upstream_object(listed, store)
            return await inspection.show_bound(store)

        result = anyio.run(body)
        by_zone = {row["zone"]: row for row in result.data}  # type: ignore
        assert by_zone["pikine"]["binds"] == "layers that no engine holds"
        assert by_zone["pikine"]["layers"] == "5-80"
        assert by_zone["plateau"]["a second"] > 0

    def test_placement_shows_missing_layers(self) -> None:
        async def body() -> commands.Result:
            store = standin_store.StandinStore()
            config = orjson.dumps(test_platform_formats.CONFIG)
            store.write(names.CONFIG_KIND, names.CONFIG_NAME, config)
            for name, first, end in (("a", 0, 5), ("b", 5, 9)):
                listed = fleet_system.upstream(
                    name, "plateau", (first, end), "t4", "huvo11a"
                )
                chain_http.write_upstream_object(listed, store)
            return await inspection.show_placement(store)

        result = anyio.run(body)
        assert "71 missing" in result.text
        assert "1" * 9 + "0" * 71 in result.text
        assert "0-5" in result.text and "5-9" in result.text
