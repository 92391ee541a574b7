"""Starts the platform's programs as processes, with stand-ins of what they call.

The stand-ins of the store, the engines and the origin are served by the caller's event
loop. Each process gets a loopback address of its own, since all processes serve their
metrics on the same port.
"""

import asyncio
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable

from toucanspread.ops import loop  # isort: skip  # installs the reactor

from twisted.internet import reactor
from twisted.web import resource, server

from standins import platform_engine, platform_store
from toucanspread.ops import process
from toucanspread.platform import settings

ROOT = pathlib.Path(__file__).resolve().parent.parent
DEADLINE_S = 20.0  # starting a process takes about a second on an idle machine
POLL_INTERVAL_S = 0.05
LOG_TAIL_CHARACTERS = 2_000
FAULT_MARKS = ("event=handler_failed", "event=task_failed", "Traceback", "Unhandled")
ZONE = "heredia-a"
REGION = "gran-area"
OTHER_ZONE = "liberia-a"
OTHER_REGION = "guanacaste"
MODEL = "daka510000"
PIECES = [b"%d" % number * 1_000 for number in range(4)]
HOST = "jepu9.example"
KEY = "jnbanfqasnmgkcuyj8pj"
TENANT = "bozi300"


class ConditionNotMetError(Exception):
    """A condition was not met in time, or a process failed meanwhile."""


class Program:
    """A process of the system, with its settings file and its log.

    :param module: the module that is run.
    :param fields: of the settings file.
    """

    def __init__(self, directory: pathlib.Path, module: str, fields: dict):
        self.name = fields["node_name"]
        self._fields = fields
        self._log_path = directory / f"{self.name}.log"
        self._settings_path = directory / f"{self.name}.json"
        self._write_settings()
        environment = {**os.environ, settings.PATH_VARIABLE: str(self._settings_path)}
        with self._log_path.open("wb") as log:
            self._process = subprocess.Popen(
                [sys.executable, "-m", module],
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    @property
    def exit_code(self) -> int | None:
        """Return the exit code, or None while the process runs."""
        return self._process.poll()

    @property
    def log(self) -> str:
        """Return what the process has printed."""
        return self._log_path.read_text(errors="replace")

    @property
    def metrics_address(self) -> str:
        """Return the address on which the process serves its metrics."""
        return f"{self._fields['ip']}:{process.METRICS_PORT}"

    def get_address(self, purpose: str) -> str:
        """Return an address on which the process listens, by its name in the file."""
        return self._fields["listen"][purpose]

    @property
    def reports_address(self) -> tuple[str, int]:
        """Return the address and port at which an entry gets load reports."""
        return self._fields["ip"], self._fields["internal_ports"][0]

    def change_settings(self, **changes) -> None:
        """Write the settings file with some fields changed."""
        self._fields = {**self._fields, **changes}
        self._write_settings()

    def terminate(self) -> None:
        """Ask the process to end."""
        self._process.terminate()

    def hang_up(self) -> None:
        """Tell the process that its settings file has changed."""
        self._process.send_signal(signal.SIGHUP)

    def kill(self) -> None:
        """End the process if it still runs."""
        self._process.kill()
        self._process.wait()

    def list_faults(self) -> list[str]:
        """Return the lines of the log that show an unexpected exception."""
        return [
            f"{self.name}: {line}"
            for line in self.log.splitlines()
            if any(mark in line for mark in FAULT_MARKS)
        ]

    def describe(self) -> str:
        """Return the exit code and the end of the log, for messages of failures."""
        log = self.log[-LOG_TAIL_CHARACTERS:]
        return f"{self.name}: exit code {self.exit_code}, log:\n{log}"

    def _write_settings(self) -> None:
        new_path = self._settings_path.with_suffix(".new")
        new_path.write_text(json.dumps(self._fields))
        new_path.replace(self._settings_path)


class Deployment:
    """Stand-ins of the store, two engines and the origin, and the system's processes.

    :ivar store: the stand-in of the store.
    :ivar state: of the store.
    :ivar allowed_regions: those of the route of a prefix; all without any.
    :ivar timeout_ms: of the routes that are written.
    :ivar kinds: kind of the route of a prefix; idempotent without one.
    :ivar resumable_prefixes: prefixes of the routes whose streams may be resumed.
    :ivar plain_engine: of the service "plain", which has no model.
    :ivar model_engine: of the service "model". Its entry in the store names no weights,
        so that entries use it only after reports of its sidecar.
    """

    def __init__(self):
        self.timeout_ms = 3000
        self.kinds: dict[str, str] = {}
        self.resumable_prefixes: set[str] = set()
        self.allowed_regions: dict[str, list[str]] = {}
        self._scratch = tempfile.TemporaryDirectory()
        self._directory = pathlib.Path(self._scratch.name)
        self._ports = []
        self._programs: list[Program] = []
        self.store = platform_store.PlatformStoreResource()
        self.state = self.store.state
        self._store_address = self._serve(self.store)
        self._origin_address = self._serve(platform_engine.OriginResource(PIECES))
        self.plain_engine = platform_engine.EngineResource("")
        self._plain_address = self._serve(self.plain_engine)
        self.plain_engine.on_crash = self._write_plain_engine
        self._write_plain_engine()
        self.model_engine = platform_engine.EngineResource(MODEL)
        self._model_address = self._serve(self.model_engine)
        born_ms = platform_engine.BORN_MS
        self._write_engine("i-model", "model", self._model_address, born_ms)

    def add_plain_engine(
        self, engine_id: str, zone: str = ZONE
    ) -> platform_engine.EngineResource:
        """Add an engine of the service "plain"."""
        engine = platform_engine.EngineResource("")
        address = self._serve(engine)
        self._write_engine(engine_id, "plain", address, engine.born_ms, zone)
        return engine

    def start_entry(self, name: str, grace_s: float = 8) -> Program:
        """Start the program of an entry.

        :param grace_s: time from the signal to terminate until the platform kills it.
        """
        address = find_free_address()
        purposes = ("front", "readiness", "control", "directory")
        reports_port, *ports = find_free_ports(address, 1 + len(purposes))
        listen = {
            purpose: f"{address}:{port}"
            for purpose, port in zip(purposes, ports, strict=True)
        }
        fields = self._make_common_settings(name, address)
        fields["listen"] = listen
        fields["bounds"]["grace_s"] = grace_s
        fields["internal_ports"] = [reports_port, reports_port]
        return self._start("toucanspread.platform.entry", fields)

    def start_sidecar(self, name: str) -> Program:
        """Start the program beside the engine with a model."""
        fields = self._make_common_settings(name, find_free_address())
        fields["app"] = self._model_address
        fields["service"] = "model"
        return self._start("toucanspread.platform.side", fields)

    def write_configuration(self, version: int, *plain_prefixes: str) -> None:
        """Write a configuration, as the operator does.

        :param plain_prefixes: prefixes of the routes to the engine without a model.
        """
        served = [(prefix, "plain") for prefix in plain_prefixes] + [
            ("/model/", "model")
        ]
        routes = [
            _make_route(
                prefix, service, self.timeout_ms, self.kinds.get(prefix, "idempotent")
            )
            for prefix, service in served
        ]
        for route in routes:
            route["allowed_regions"] = self.allowed_regions.get(route["prefix"], [])
            route["resume_streams"] = route["prefix"] in self.resumable_prefixes
        origin = {"name": "origin", "origin": self._origin_address, "zone": ZONE}
        configuration = {
            "version": version,
            "routes": routes,
            "services": [{"name": "plain"}, _make_model_service(), origin],
            "limits": {"max_header_bytes": 16384, "idle_timeout_ms": 15000},
            "tenants": [{"name": TENANT, "api_keys": [KEY]}],
        }
        self._write("op/config", configuration)

    def name_version(self, version: int) -> None:
        """Name a version of the model's weights, as the operator does."""
        self._write(f"op/version/{MODEL}", {"model": MODEL, "version": version})

    def evacuate(self, zone: str) -> None:
        """Declare that a zone is evacuated, as the operator does."""
        self._write(f"op/evacuate/{zone}", {})

    def take_back(self, zone: str) -> None:
        """End the evacuation of a zone, as the operator does."""
        self.state.delete_unchecked(f"op/evacuate/{zone}")

    def fail_store(self, status: int) -> None:
        """Let the store answer all calls with a status, also the waiting watches."""
        self.store.failure_status = status
        self._write("op/unrelated", {})

    def kill(self, program: Program) -> None:
        """End a process without notice; another one may take its name."""
        program.kill()
        self._programs.remove(program)

    async def wait_until(self, probe: Callable[[], Awaitable[bool]]) -> None:
        """Poll until a coroutine function returns true.

        :raises ConditionNotMetError: after the deadline or when a process has failed.
        """
        deadline_s = time.monotonic() + DEADLINE_S
        while not await probe():
            if time.monotonic() > deadline_s:
                self._fail(f"{probe.__name__}: not in {DEADLINE_S} s")
            if any(program.exit_code for program in self._programs):
                self._fail(f"{probe.__name__}: a process has failed")
            await asyncio.sleep(POLL_INTERVAL_S)

    def list_faults(self) -> list[str]:
        """Return the lines of all logs that show an unexpected exception."""
        return [line for program in self._programs for line in program.list_faults()]

    async def close(self) -> None:
        """End the processes and the stand-ins."""
        for program in self._programs:
            program.kill()
        for port in self._ports:
            await loop.as_future(port.stopListening())
        self._scratch.cleanup()

    def _fail(self, why: str) -> None:
        logs = [program.describe() for program in self._programs]
        raise ConditionNotMetError("\n".join([why, *logs]))

    def _serve(self, served: resource.Resource) -> str:
        port = reactor.listenTCP(0, server.Site(served), interface="127.0.0.1")
        self._ports.append(port)
        return f"127.0.0.1:{port.getHost().port}"

    def _write(self, key: str, value: dict) -> None:
        self.state.write_unchecked(key, json.dumps(value).encode())

    def _write_plain_engine(self) -> None:
        born_ms = self.plain_engine.born_ms
        self._write_engine("i-plain", "plain", self._plain_address, born_ms)

    def _write_engine(
        self,
        engine_id: str,
        service: str,
        address: str,
        born_ms: int,
        zone: str = ZONE,
    ) -> None:
        entry = {
            "service": service,
            "address": address,
            "zone": zone,
            "version": "v1",
            "slots": 16,
            "state": "ready",
            "cold_left_ms": 0,
            "born": born_ms,
            "sequence": 0,
        }
        self._write(f"servers/{engine_id}", entry)

    def _make_common_settings(self, name: str, address: str) -> dict:
        return {
            "node_name": name,
            "ip": address,
            "zone": ZONE,
            "region": REGION,
            "zones": {ZONE: REGION, OTHER_ZONE: OTHER_REGION},
            "bootstrap": True,
            "limits": {"link_mbps": 350.0, "max_fds": 1535},
            "bounds": {"drain_ms": 2000, "grace_s": 8, "version_ms": 8000},
            "platform": {"address": self._store_address, "form": "kv"},
        }

    def _start(self, module: str, fields: dict) -> Program:
        program = Program(self._directory, module, fields)
        self._programs.append(program)
        return program


def find_free_address() -> str:
    """Return a loopback address on which the port of the metrics is free."""
    while True:
        address = "127." + ".".join(str(random.randint(1, 254)) for _ in range(3))
        with socket.socket() as probe:
            try:
                probe.bind((address, process.METRICS_PORT))
            except OSError:
                continue
            return address


def find_free_ports(address: str, count: int) -> list[int]:
    """Return distinct free TCP ports of an address."""
    sockets = [socket.socket() for _ in range(count)]
    for opened in sockets:
        opened.bind((address, 0))
    ports = [opened.getsockname()[1] for opened in sockets]
    for opened in sockets:
        opened.close()
    return ports


def _make_route(prefix: str, service: str, timeout_ms: int, kind: str) -> dict:
    return {
        "name": f"route-{prefix.strip('/')}",
        "host": HOST,
        "prefix": prefix,
        "kind": kind,
        "timeout_ms": timeout_ms,
        "slo_ms": 500,
        "service": service,
        "attempts": 2,
    }


def _make_model_service() -> dict:
    engine = {
        "models": [{"name": MODEL, "warmup_s": 0.3}],
        "layers": 4,
        "chunks": len(PIECES),
        "chunk_bytes": len(PIECES[0]),
    }
    return {"name": "model", "engine": engine}
