# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Starts a whole system as local processes on the loopback interface."""

import collections
import contextlib
import json
import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import time
import typing
import urllib.request

import attrs

from crowdeck.settings import holder
from crowdeck.standin import engine as engines
from crowdeck import team as teams

HOST = "127.0.0.1"
MODEL = "desk"
VERSION = "1"
LAYER_COUNT = 12
ZONES = ("plateau", "almadies", "pikine")
START_TIMEOUT_SECONDS = 30.0


@attrs.frozen
class AcceleratorKind:
    """A kind of accelerator, with the speed of its stand-in."""

    name: str
    speed: engines.EngineSpeed


def make_kind(
    name: str, step_time_ratio: float, step_time_factor: float = 1.0
) -> AcceleratorKind:
    """Return a kind of accelerator.

    :param step_time_ratio: step time relative to the fastest kind.
    :param step_time_factor: factor on the step times of all kinds.
    """
    total_factor = step_time_ratio * step_time_factor
    return AcceleratorKind(
        name,
        engines.EngineSpeed(
            batch_seconds=0.008 * total_factor,
            token_seconds=0.0005 * total_factor,
            prefill_token_seconds=0.00005 * total_factor,
            batch_limit=16,
        ),
    )


@attrs.frozen
class FleetSpec:
    """Numbers, kinds and options of the processes of a system.

    :ivar kinds: accelerators of the engines of each stage.
    :ivar service_count: number of instances of the service ``records``.
    :ivar extra_default_lines: lines added to section ``[defaults]`` of the
        settings.
    :ivar extra_entry_lines: lines added to section ``[entry]`` of each entry.
    """

    stage_count: int = 3
    kinds: tuple[AcceleratorKind, ...] = (
        make_kind("a", 1.0),
        make_kind("b", 1.5),
    )
    entry_count: int = 1
    service_count: int = 1
    team_count: int = 10
    extra_default_lines: str = ""
    extra_entry_lines: str = ""

    @property
    def engine_names(self) -> list[str]:
        """Names of all engines, stage by stage."""
        return [
            f"engine-{stage}-{index}"
            for stage in range(self.stage_count)
            for index in range(len(self.kinds))
        ]


def team_key(number: int) -> str:
    """Return the bearer key of a team."""
    return f"bench-key-{number}"


@attrs.define(eq=False)
class Child:
    """A process that the bench started.

    :ivar config: path of the configuration, ``None`` for stand-ins.
    :ivar port: port of a daemon, 0 for stand-ins.
    """

    name: str
    process: subprocess.Popen[str]
    config: pathlib.Path | None = None
    port: int = 0

    @property
    def cpu_seconds(self) -> float:
        """Processor time used so far."""
        stat = pathlib.Path(f"/proc/{self.process.pid}/stat").read_text()
        fields = stat.rsplit(")", 1)[1].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    @property
    def memory_bytes(self) -> int:
        """Resident memory in bytes."""
        text = pathlib.Path(f"/proc/{self.process.pid}/statm").read_text()
        return int(text.split()[1]) * os.sysconf("SC_PAGE_SIZE")


class Fleet:
    """A running system with its stand-ins.

    It is a context manager: it starts the processes, and kills them at exit.
    """

    def __init__(self, spec: FleetSpec) -> None:
        self.spec = spec
        self.children: dict[str, Child] = {}
        self.store_url = ""
        self.entry_urls: list[str] = []
        self._stack = contextlib.ExitStack()
        self._directory = pathlib.Path()
        self._upstream_ports: dict[str, int] = {}

    def __enter__(self) -> "Fleet":
        try:
            self._start_all()
        except BaseException:
            self._stack.close()
            raise
        return self

    def __exit__(self, *exc_info: object) -> None:
        for child in self.children.values():
            with contextlib.suppress(ProcessLookupError):
                child.process.send_signal(signal.SIGKILL)
        self._stack.close()

    def _start_all(self) -> None:
        self._directory = pathlib.Path(
            self._stack.enter_context(tempfile.TemporaryDirectory())
        )
        ports = self._start_standins("store", {"store": {"delay": 0.002}})
        self.store_url = f"http://{HOST}:{ports['store']}"
        self._write_settings()
        for stage in range(self.spec.stage_count):
            specs = self._engine_specs(stage)
            ports = self._start_standins(
                f"engines-{stage}", {"engines": specs}
            )
            self._upstream_ports.update(ports)
        service_delay_seconds = {
            f"records-{number}": 0.02
            for number in range(self.spec.service_count)
        }
        if service_delay_seconds:
            self._upstream_ports.update(
                self._start_standins(
                    "services", {"services": service_delay_seconds}
                )
            )
        for index, name in enumerate(self._upstream_ports):
            self.start_sidecar(name, ZONES[index % len(ZONES)])
        for number in range(self.spec.entry_count):
            self._start_entry(number)
        for name in self._upstream_ports:
            self._register(name)
        self._wait_ready()

    def _engine_specs(self, stage: int) -> dict[str, typing.Any]:
        layers_per_stage = LAYER_COUNT // self.spec.stage_count
        return {
            f"engine-{stage}-{index}": {
                "model": MODEL,
                "version": VERSION,
                "first": stage * layers_per_stage,
                "end": (stage + 1) * layers_per_stage,
                "layer_count": LAYER_COUNT,
                "accelerator": kind.name,
                **attrs.asdict(kind.speed),
            }
            for index, kind in enumerate(self.spec.kinds)
        }

    def _start_standins(
        self, name: str, standin_spec: dict[str, typing.Any]
    ) -> dict[str, int]:
        child = self._spawn(
            name,
            ["-m", "crowdeck.standin.serve", json.dumps(standin_spec)],
        )
        assert child.process.stdout is not None
        ports: dict[str, int] = json.loads(child.process.stdout.readline())
        return ports

    def _write_settings(self) -> None:
        lines = [
            "[defaults]",
            "concurrency = 100000",
            "deadline_seconds = 60",
            self.spec.extra_default_lines,
            "[service:records]",
        ]
        for number in range(self.spec.team_count):
            lines += [
                f"[team:team-{number}]",
                f"keys_sha256 = {teams.hash_key(team_key(number))}",
                "services = *",
            ]
        text = "\n".join(lines) + "\n"
        self._send_to_store(
            "PUT",
            f"/objects/{holder.KIND}/{holder.NAME}",
            holder.encode(1, "bench", text),
        )

    def _send_to_store(
        self, method: str, path: str, body: bytes = b""
    ) -> None:
        request = urllib.request.Request(
            self.store_url + path, data=body or None, method=method
        )
        with urllib.request.urlopen(request, timeout=5) as response:
            response.read()

    def start_sidecar(self, name: str, zone: str) -> None:
        """Start the sidecar of an upstream."""
        url = f"http://{HOST}:{self._upstream_ports[name]}"
        if name.startswith("engine"):
            section = f"[sidecar]\nengine_url = {url}\n"
        else:
            section = f"[sidecar]\nservices = records={url}\n"
        self._start_daemon("sidecar", name, zone, section)

    def _start_entry(self, number: int) -> None:
        name = f"entry-{number}"
        port = _free_port()
        self._start_daemon(
            "entry",
            name,
            ZONES[number % len(ZONES)],
            f"[entry]\nhttp_host = {HOST}\nhttp_port = {port}\n"
            "request_limit = 100000\n" + self.spec.extra_entry_lines,
        )
        self.entry_urls.append(f"http://{HOST}:{port}")
        self._register(name)

    def _start_daemon(
        self, role: str, name: str, zone: str, section: str
    ) -> None:
        port = _free_port()
        config = self._directory / f"{name}.ini"
        config.write_text(
            f"[crowdeckd]\nrole = {role}\nname = {name}\n"
            f"availability_zone = {zone}\nhost = {HOST}\nport = {port}\n"
            f"[platform]\nurl = {self.store_url}\n{section}"
        )
        child = self._spawn(
            name, ["-m", "crowdeck.cmd.daemon", "--config", str(config)]
        )
        child.config = config
        child.port = port

    def _register(self, name: str) -> None:
        child = self.children[name]
        assert child.config is not None
        body = {
            "role": "entry" if name.startswith("entry") else "sidecar",
            "availability_zone": self.zone_of(name),
            "address": {"host": HOST, "port": child.port},
        }
        self._send_to_store(
            "PUT", f"/instances/{name}", json.dumps(body).encode()
        )

    def _spawn(self, name: str, arguments: list[str]) -> Child:
        log = self._stack.enter_context(
            open(self._directory / f"{name}.log", "a")
        )
        is_standin = "standin" in arguments[1]
        process = subprocess.Popen(
            [sys.executable, *arguments],
            stdout=subprocess.PIPE if is_standin else log,
            stderr=log,
            text=True,
        )
        self._stack.callback(process.wait)
        if process.stdout is not None:
            self._stack.callback(process.stdout.close)
        child = Child(name, process)
        self.children[name] = child
        return child

    def _wait_ready(self) -> None:
        deadline = time.monotonic() + START_TIMEOUT_SECONDS
        min_usable = len(self._upstream_ports)
        while time.monotonic() < deadline:
            if all(self._is_ready(url, min_usable) for url in self.entry_urls):
                return
            time.sleep(0.2)
        raise RuntimeError(
            f"expected {min_usable} usable upstreams at each entry within "
            f"{START_TIMEOUT_SECONDS:g} s, found fewer"
        )

    def _is_ready(self, url: str, min_usable: int) -> bool:
        request = urllib.request.Request(url + "/readyz")
        try:
            with urllib.request.urlopen(request, timeout=1) as response:
                return int(json.load(response)["usable"]) >= min_usable
        except (OSError, ValueError, KeyError):
            return False

    def signal(self, name: str, signal_number: int) -> None:
        """Send a signal to a process of this system."""
        self.children[name].process.send_signal(signal_number)

    @property
    def daemon_names(self) -> list[str]:
        """Names of the entries and sidecars."""
        return [
            name
            for name, child in self.children.items()
            if child.config is not None
        ]

    def zone_of(self, name: str) -> str:
        """Return a daemon's availability zone."""
        config = self.children[name].config
        assert config is not None
        line = config.read_text().split("availability_zone = ")[1]
        return line.splitlines()[0]

    def is_running(self, name: str) -> bool:
        """Whether a process has not ended."""
        return self.children[name].process.poll() is None

    def slow_engine(self, name: str, slowness: float) -> None:
        """Multiply an engine's step time; 1 restores the normal speed."""
        self._get_from_standin(name, f"/standin/slowness?to={slowness}")

    def execution_counts(self) -> dict[str, int]:
        """Return the number of executions of each service operation."""
        counts: collections.Counter[str] = collections.Counter()
        for name in self._upstream_ports:
            if name.startswith("records"):
                counts.update(self._get_from_standin(name, "/standin/runs"))
        return dict(counts)

    def sequence_starts(self) -> dict[str, list[tuple[str, float]]]:
        """Return, by engine, sequence IDs with their start times.

        Times are monotonic, in seconds.
        """
        return {
            name: [
                (sequence_id, started_at)
                for sequence_id, started_at in self._get_from_standin(
                    name, "/standin/begun"
                )
            ]
            for name in self._upstream_ports
            if name.startswith("engine")
        }

    def _get_from_standin(self, name: str, path: str) -> typing.Any:
        url = f"http://{HOST}:{self._upstream_ports[name]}{path}"
        with urllib.request.urlopen(url, timeout=10) as response:
            return json.load(response)

    def counter_sum(self, name: str) -> int:
        """Return the sum of a counter over the entries that answer."""
        total = 0
        for url in self.entry_urls:
            try:
                with urllib.request.urlopen(
                    url + "/readyz", timeout=5
                ) as response:
                    total += json.load(response)["counters"].get(name, 0)
            except OSError:
                continue
        return total

    def deregister(self, name: str) -> None:
        """Remove an instance from the platform's list."""
        self._send_to_store("DELETE", f"/instances/{name}")

    def replace(self, name: str) -> None:
        """Wait for an instance's process to end, then start it again.

        The new process has the same configuration.
        """
        previous = self.children[name]
        previous.process.wait()
        assert previous.config is not None
        child = self._spawn(
            name,
            ["-m", "crowdeck.cmd.daemon", "--config", str(previous.config)],
        )
        child.config, child.port = previous.config, previous.port
        self._register(name)


def _free_port() -> int:
    import socket

    with socket.socket() as listener:
        listener.bind((HOST, 0))
        return int(listener.getsockname()[1])
