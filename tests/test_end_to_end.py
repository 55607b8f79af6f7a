# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Tests of the programs over TCP, as callers and operators use them."""

import contextlib
import io
import json
import os
import pathlib
import signal
import subprocess
import sys
import typing

import anyio
import httpcore
import openai
import orjson
import pytest

from crowdeck.cmd import cli
from crowdeck.standin import cluster as clusters

KIOSKS = f"Bearer {clusters.KIOSKS_KEY}"
SURVEYORS = f"Bearer {clusters.SURVEYORS_KEY}"
FAST = clusters.ClusterOptions(batch_seconds=0.0005)


def run(check: typing.Any, options: clusters.ClusterOptions = FAST) -> None:
    """Run a check on a new cluster."""

    async def run_check() -> None:
        async with clusters.Cluster(options) as cluster:
            await check(cluster)

    anyio.run(run_check)


async def send_request(
    cluster: clusters.Cluster,
    method: str,
    path: str,
    body: bytes = b"",
    headers: dict[str, str] | None = None,
    bearer: str = KIOSKS,
    entry: int = 0,
) -> httpcore.Response:
    """Send one request to an entry."""
    all_headers = {"authorization": bearer, **(headers or {})}
    async with httpcore.AsyncConnectionPool() as pool:
        return await pool.request(
            method,
            cluster.urls[entry] + path,
            headers=[
                (name.encode(), value.encode())
                for name, value in all_headers.items()
            ],
            content=body,
        )


def chat_body(prompt: str, **more: typing.Any) -> bytes:
    """Return a chat request's body."""
    body = {
        "model": clusters.MODEL,
        "messages": [{"role": "user", "content": prompt}],
        "max_tokens": 10,
        **more,
    }
    return orjson.dumps(body)


class TestOpenAiClient:
    """The unmodified ``openai`` package as a caller."""

    def test_streamed_and_whole_answers_are_equal(self) -> None:
        async def check(cluster: clusters.Cluster) -> None:
            prompt = "explain a failed recharge"
            expected = "".join(
                token.text
                for token in cluster.model.answer(f"user: {prompt}", 25)
            )
            async with openai.AsyncOpenAI(
                base_url=cluster.urls[0] + "/v1", api_key=clusters.KIOSKS_KEY
            ) as client:
                whole = await client.chat.completions.create(
                    model=clusters.MODEL,
                    messages=[{"role": "user", "content": prompt}],
                    max_tokens=25,
                )
                assert whole.choices[0].message.content == expected
                assert whole.choices[0].finish_reason == "length"
                stream = await client.chat.completions.create(
                    model=clusters.MODEL,
                    messages=[{"role": "user", "content": prompt}],
                    max_tokens=25,
                    stream=True,
                )
                texts = [
                    chunk.choices[0].delta.content or ""
                    async for chunk in stream
                ]
                assert "".join(texts) == expected
                assert len(texts) == 26
                models = await client.models.list()
                assert [model.id for model in models.data] == [clusters.MODEL]

        run(check)

    def test_plain_completion(self) -> None:
        async def check(cluster: clusters.Cluster) -> None:
            async with openai.AsyncOpenAI(
                base_url=cluster.urls[1] + "/v1", api_key=clusters.KIOSKS_KEY
            ) as client:
                answer = await client.completions.create(
                    model=clusters.MODEL, prompt="balance", max_tokens=5
                )
                expected = cluster.model.answer("balance", 5)
                assert answer.choices[0].text == "".join(
                    token.text for token in expected
                )

        run(check)

    def test_wrong_key_raises_an_authentication_error(self) -> None:
        async def check(cluster: clusters.Cluster) -> None:
            async with openai.AsyncOpenAI(
                base_url=cluster.urls[0] + "/v1",
                api_key="wrong",
                max_retries=0,
            ) as client:
                with pytest.raises(openai.AuthenticationError):
                    await client.models.list()

        run(check)


class TestResume:
    """``Last-Event-ID`` at another entry."""

    def test_stream_resumes_at_the_other_entry(self) -> None:
        async def check(cluster: clusters.Cluster) -> None:
            body = chat_body("draft a reply", stream=True, max_tokens=60)
            texts, last = await _read_events(cluster, body, {}, stop_at=20)
            cluster.kill("entry-0")
            more, _ = await _read_events(
                cluster, body, {"last-event-id": last}, stop_at=1000
            )
            expected = cluster.model.answer("user: draft a reply", 60)
            assert texts + more == [token.text for token in expected]

        run(check)

    def test_invalid_event_id_is_refused(self) -> None:
        async def check(cluster: clusters.Cluster) -> None:
            for event_id in ("nonsense", "a~b~c~-1", "a~b~c~x"):
                response = await send_request(
                    cluster,
                    "POST",
                    "/v1/chat/completions",
                    chat_body("hello", stream=True),
                    {"last-event-id": event_id},
                )
                assert response.status == 400

        run(check)


class TestServices:
    """Plain services, their keys and their companions."""

    def test_keyed_call_runs_once(self) -> None:
        async def check(cluster: clusters.Cluster) -> None:
            answers = [
                await send_request(
                    cluster,
                    "POST",
                    "/services/records/receipts/7",
                    headers={"idempotency-key": "k"},
                    entry=entry,
                )
                for entry in (0, 1, 0)
            ]
            assert {answer.content for answer in answers} == {
                b"receipt 7, copy 1\n"
            }
            assert cluster.service.runs["receipt 7"] == 1

        run(check)

    def test_answer_includes_its_companions(self) -> None:
        async def check(cluster: clusters.Cluster) -> None:
            response = await send_request(
                cluster, "GET", "/services/maps/lots/12", bearer=SURVEYORS
            )
            assert response.status == 200
            for part in (b"lot 12", b"tile 0 of lot 12", b"tile 1 of lot 12"):
                assert part in response.content

        run(check)

    def test_missing_companion_is_an_error(self) -> None:
        async def check(cluster: clusters.Cluster) -> None:
            response = await send_request(
                cluster, "GET", "/services/maps/lots/torn", bearer=SURVEYORS
            )
            error = orjson.loads(response.content)["error"]
            assert response.status == 502
            assert error["code"] == "COMPANION_MISSING"
            assert error["verdict"] == "ran"

        run(check)


class TestSecurity:
    """What a caller may not do."""

    def test_team_sees_only_its_own_services(self) -> None:
        async def check(cluster: clusters.Cluster) -> None:
            response = await send_request(
                cluster,
                "GET",
                "/services/records/receipts/7",
                bearer=SURVEYORS,
            )
            unknown = await send_request(cluster, "GET", "/services/nothing/x")
            assert response.status == unknown.status == 404
            assert not cluster.service.runs

        run(check)

    @pytest.mark.parametrize("header", ["", "Bearer x", "Basic a2V5", "x"])
    def test_request_without_a_valid_key_is_refused(self, header: str) -> None:
        async def check(cluster: clusters.Cluster) -> None:
            response = await send_request(
                cluster,
                "POST",
                "/v1/chat/completions",
                chat_body("hello"),
                bearer=header,
            )
            assert response.status == 401
            assert clusters.KIOSKS_KEY.encode() not in response.content

        run(check)

    def test_large_body_and_many_headers_are_refused(self) -> None:
        async def check(cluster: clusters.Cluster) -> None:
            response = await send_request(
                cluster,
                "POST",
                "/v1/chat/completions",
                chat_body("x" * 1_100_000),
            )
            assert response.status == 413
            response = await send_request(
                cluster,
                "GET",
                "/v1/models",
                headers={f"x-{n}": "1" for n in range(120)},
            )
            assert response.status == 413

        run(check)

    @pytest.mark.parametrize(
        "body",
        [
            b"",
            b"[]",
            b"\xff\xfe",
            b'{"model": 1}',
            b'{"model": "m", "messages": []}',
            b'{"model": "m", "messages": [1]}',
            b'{"model": "m", "messages": [{"role": "user"}]}',
            chat_body("x", max_tokens=-1),
            chat_body("x", max_tokens=True),
            chat_body(" "),
        ],
    )
    def test_bad_body_is_refused_with_a_code(self, body: bytes) -> None:
        async def check(cluster: clusters.Cluster) -> None:
            response = await send_request(
                cluster, "POST", "/v1/chat/completions", body
            )
            error = orjson.loads(response.content)["error"]
            assert response.status == 400
            assert error["code"] == "BAD_REQUEST"
            assert error["verdict"] == "not_run"
            valid = await send_request(
                cluster, "POST", "/v1/chat/completions", chat_body("hello")
            )
            assert valid.status == 200

        run(check)


class TestMalformedLinks:
    """Connections to the peer port that do not speak the protocol."""

    def test_foreign_bytes_close_only_their_own_link(self) -> None:
        async def check(cluster: clusters.Cluster) -> None:
            address = cluster.sidecars["engine-0-0"].running.address
            for payload in (
                b"GET / HTTP/1.1\r\n\r\n",
                b"\0" * 64,
                b"\xff" * 4096,
            ):
                async with await anyio.connect_tcp(
                    address.host, address.port
                ) as stream:
                    await stream.send(payload)
                    with (
                        contextlib.suppress(
                            anyio.EndOfStream, anyio.BrokenResourceError
                        ),
                        anyio.move_on_after(3.0),
                    ):
                        await stream.receive()
            response = await send_request(
                cluster, "POST", "/v1/chat/completions", chat_body("hello")
            )
            assert response.status == 200

        run(check)


class TestCommandLine:
    """``crowdeck`` against a running system."""

    def test_status_settings_and_drain(
        self, capsys: pytest.CaptureFixture[str]
    ) -> None:
        async def check(cluster: clusters.Cluster) -> None:
            def crowdeck(*arguments: str) -> tuple[int, typing.Any]:
                output = io.StringIO()
                with contextlib.redirect_stdout(output):
                    code = cli.main(
                        ["--platform", cluster.store_url, *arguments]
                    )
                return code, json.loads(output.getvalue())

            async def call(*arguments: str) -> tuple[int, typing.Any]:
                return await anyio.to_thread.run_sync(
                    lambda: crowdeck(*arguments)
                )

            code, rows = await call("status", "--json")
            assert code == 0
            assert {row["state"] for row in rows} == {"up"}
            assert {row["store_epoch"] for row in rows} == {0}
            option_arguments = ("--team", "kiosks", "--option", "concurrency")
            code, _ = await call(
                "settings", "set", *option_arguments, "--value", "7", "--json"
            )
            assert code == 0
            code, found = await call(
                "settings", "get", *option_arguments, "--json"
            )
            assert (code, found["value"]) == (0, 7)
            code, body = await call(
                "settings",
                "set",
                *option_arguments,
                "--value",
                "many",
                "--json",
            )
            assert code == 2
            assert "an integer from" in body["error"]["message"]
            code, _ = await call("drain", "engine-0-0", "--json")
            assert code == 0
            code, rows = await call("status", "--json")
            assert code == 4
            code, body = await call("trace", "0" * 32, "--json")
            assert (code, body) == (1, [])

        run(check)

    def test_trace_has_a_span_per_hop(self) -> None:
        async def check(cluster: clusters.Cluster) -> None:
            trace = "4bf92f3577b34da6a3ce929d0e0e4736"
            response = await send_request(
                cluster,
                "POST",
                "/v1/chat/completions",
                chat_body("hello"),
                {"traceparent": f"00-{trace}-00f067aa0ba902b7-01"},
            )
            assert response.status == 200
            await anyio.sleep(0.2)
            spans = []
            for member in (
                *cluster.entries.values(),
                *cluster.sidecars.values(),
            ):
                tracer = getattr(member.running.component, "_tracer")
                spans += [json.loads(span) for span in tracer.find(trace)]
            assert {span["name"] for span in spans} == {"entry", "stage"}
            stages = {span["attributes"].get("stage") for span in spans}
            assert stages == {None, 0, 1, 2}

        run(check)


class TestDaemon:
    """``crowdeckd`` and its configuration files."""

    @pytest.mark.parametrize("role", ["entry", "sidecar"])
    def test_stop_signal_ends_the_daemon_cleanly(
        self, role: str, tmp_path: pathlib.Path
    ) -> None:
        """An entry that serves, and a sidecar that waits for its engine."""
        text = (
            f"[crowdeckd]\nrole = {role}\nname = one\n"
            "availability_zone = z\nhost = 127.0.0.1\n"
            "[platform]\nurl = http://127.0.0.1:9\n"
            "[entry]\nhttp_host = 127.0.0.1\n"
            "[sidecar]\nengine_url = http://127.0.0.1:9\n"
        )
        config = tmp_path / "one.ini"
        config.write_text(text)
        awaited_event = "started" if role == "entry" else "starting"
        with subprocess.Popen(
            [sys.executable, "-m", "crowdeck.cmd.daemon", "--config", config],
            stdout=subprocess.PIPE,
            text=True,
        ) as daemon:
            assert daemon.stdout is not None
            for line in daemon.stdout:
                if (
                    json.loads(line)["message_type"]
                    == f"crowdeck:{awaited_event}"
                ):
                    daemon.send_signal(signal.SIGTERM)
                    break
            daemon.stdout.read()
            assert daemon.wait() == 0

    @pytest.mark.parametrize("name", ["entry", "sidecar"])
    def test_sample_files_are_valid(self, name: str) -> None:
        path = os.path.join(os.path.dirname(__file__), "..", "etc")
        assert cli.main(["check", f"{path}/{name}.ini"]) == 0


async def _read_events(
    cluster: clusters.Cluster,
    body: bytes,
    headers: dict[str, str],
    stop_at: int,
) -> tuple[list[str], str]:
    """Return a stream's texts and the id of the last event read.

    :param stop_at: number of texts after which the stream is closed.
    """
    texts: list[str] = []
    last = ""
    raw_headers = [(b"authorization", KIOSKS.encode())]
    raw_headers += [
        (name.encode(), value.encode()) for name, value in headers.items()
    ]
    async with httpcore.AsyncConnectionPool() as pool:
        async with pool.stream(
            "POST",
            cluster.urls[0] + "/v1/chat/completions",
            headers=raw_headers,
            content=body,
        ) as response:
            assert response.status == 200
            buffered = b""
            async for chunk in response.aiter_stream():
                *events, buffered = (buffered + chunk).split(b"\n\n")
                for event in events:
                    lines = event.splitlines()
                    if not lines[0].startswith(b"id: "):
                        continue
                    last = lines[0][4:].decode()
                    data = orjson.loads(lines[1][6:])
                    texts.append(data["choices"][0]["delta"]["content"])
                    if len(texts) == stop_at:
                        return texts, last
    return texts, last
