"""A small deployment for the cases of the review: stand-ins and the two programs.

The store is the project's own stand-in. The engines and the origin are written here, as
a case lets them fail in ways that the project's own do not know. All of it listens on
loopback addresses, and the programs are separate processes.
"""

import asyncio
import hashlib
import json
import os
import pathlib
import signal
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable

from toucanspread.ops import loop  # isort: skip  # installs the reactor

from twisted.internet import reactor
from twisted.web import resource, server

from standins import platform_deployment, platform_store

MODEL = platform_deployment.MODEL
HOST = platform_deployment.HOST
KEY = platform_deployment.KEY
ZONE = platform_deployment.ZONE
REGION = platform_deployment.REGION
SEAL = "3e1b.07.5a2.600.0.c9f2a4d1"
ENTRY_MODULE = "toucanspread.platform.entry"
SIDE_MODULE = "toucanspread.platform.side"
LAYER_COUNT = 4
PIECE_COUNT = 48
PIECE_BYTES = 4_096
BOUNDS = {
    "stable_ms": 3000,
    "drain_ms": 2000,
    "grace_s": 8,
    "config_apply_ms": 2000,
    "budget_ratio": 0.2,
    "budget_window_s": 10,
    "budget_slack": 234,
    "recover_s": 12,
    "version_ms": 8000,
}
START_LIMIT_S = 20.0
POLL_INTERVAL_S = 0.05
ANSWER_LIMIT_S = 9.0
CANCEL_S = 0.1  # until cancelled tasks have ended
EXIT_HELD = 0
EXIT_BROKEN = 10  # Python itself exits with 1 after an error
EXIT_NOT_RUN = 2


class CaseNotRunError(Exception):
    """The case could not be run up to its check."""


class Record:
    """What was sent, answered and run, as lines of ``record.txt`` in the case's folder.

    :param folder: of the case.
    """

    def __init__(self, folder: pathlib.Path):
        self._file = (folder / "record.txt").open("w")
        self._started_s = time.monotonic()

    def write(self, text: str) -> None:
        """Write a line with the seconds since the start of the case."""
        now_s = time.monotonic() - self._started_s
        self._file.write(f"{now_s:8.3f} {text}\n")
        self._file.flush()


def make_piece(version: int, number: int) -> bytes:
    """Return a piece of a version of the weights."""
    return (b"version %d piece %d " % (version, number)).ljust(PIECE_BYTES, b".")


class Origin(resource.Resource):
    """The service with all weights.

    :ivar spoils_manifests: number of manifests that are still sent with a wrong byte.
    """

    isLeaf = True  # noqa: N815

    def __init__(self, record: Record):
        super().__init__()
        self.spoils_manifests = 0
        self._record = record

    def render_GET(self, request: server.Request) -> bytes:  # noqa: N802
        """Serve the manifest or a piece of the version that the query names."""
        version = int(request.args[b"version"][0])
        if request.path.startswith(b"/-/piece/"):
            number = int(request.args[b"num"][0])
            self._record.write(f"origin sends piece {number} of version {version}")
            return make_piece(version, number)
        body = self._make_manifest(version)
        spoils = self.spoils_manifests > 0
        if spoils:
            self.spoils_manifests -= 1
            # One byte on the way, in the digest of the first piece.
            at = body.index(b'"digests":["') + len(b'"digests":["')
            body = body[:at] + bytes([body[at] ^ 1]) + body[at + 1 :]
        self._record.write(f"origin sends manifest of {version}, spoilt: {spoils}")
        request.setHeader("content-type", "application/json")
        return body

    def _make_manifest(self, version: int) -> bytes:
        pieces = [make_piece(version, number) for number in range(PIECE_COUNT)]
        manifest = {
            "model": MODEL,
            "version": version,
            "chunk_bytes": PIECE_BYTES,
            "layers": LAYER_COUNT,
            "digests": [hashlib.sha256(piece).hexdigest() for piece in pieces],
        }
        return json.dumps(manifest, separators=(",", ":")).encode()


class Engine(resource.Resource):
    """An engine that answers callers at once and loads weights at once.

    :param engine_id: its id in the store.
    :ivar version: of the weights that it holds; version 1 is staged at the start.
    :ivar runs: id and target of each request that it has run.
    """

    isLeaf = True  # noqa: N815

    def __init__(self, engine_id: str, record: Record):
        super().__init__()
        self.engine_id = engine_id
        self.version = 1
        self.born_ms = int(time.time() * 1000)
        self.runs: list[tuple[str, str]] = []
        self.staged = {number: make_piece(1, number) for number in range(PIECE_COUNT)}
        self._order_count = 0
        self._record = record

    def render(self, request: server.Request) -> bytes:
        """Answer a caller's request or a call of the process beside the engine."""
        path = request.path.decode()
        if path == "/-/report":
            return json.dumps(self._make_report()).encode()
        if path == "/-/order":
            return self._accept_order(request)
        if path.startswith("/-/stage-put/"):
            self.staged[int(request.args[b"num"][0])] = request.content.read()
            return b""
        if path.startswith("/-/stage-get/"):
            return self._read_staged(request)
        return self._answer_caller(request)

    def _make_report(self) -> dict:
        layers = [{"from": 0, "to": LAYER_COUNT, "version": self.version}]
        model = {"name": MODEL, "version": self.version, "adapters": []}
        return {
            "stage": "both",
            "models": [{**model, "layers": layers}],
            "busy": False,
            "sequence": self._order_count,
            "queued": 0,
            "active": 0,
            "kv_used": 0,
            "kv_total": 90_000,
            "handles": 0,
            "pace": 1.0,
            "born": self.born_ms,
        }

    def _accept_order(self, request: server.Request) -> bytes:
        order = json.load(request.content)
        if order["expected"] != self._order_count:
            request.setResponseCode(409)
            return b""
        self._order_count += 1
        self.version = order["version"]
        self._record.write(f"{self.engine_id} loads version {self.version}")
        request.setResponseCode(202)
        return b""

    def _read_staged(self, request: server.Request) -> bytes:
        if b"num" not in request.args:
            return json.dumps({"held": sorted(self.staged)}).encode()
        piece = self.staged.get(int(request.args[b"num"][0]))
        if piece is None:
            request.setResponseCode(404)
            return b""
        return piece

    def _answer_caller(self, request: server.Request) -> bytes:
        attempt_id = request.getHeader("x-attempt-id")
        request.setHeader("x-attempt-id", attempt_id)
        request.setHeader("x-instance-id", self.engine_id)
        expected_id = request.getHeader("x-expect-instance")
        expected_version = request.getHeader("x-expect-version")
        is_other = expected_id not in (None, self.engine_id)
        if is_other or expected_version not in (None, str(self.version)):
            request.setHeader("x-not-executed", "1")
            request.setResponseCode(421)
            return b""
        self._record.write(
            f"{self.engine_id} runs {attempt_id} {request.uri.decode()} "
            f"on version {self.version}"
        )
        self.runs.append((attempt_id, request.uri.decode()))
        request.setHeader("x-response-seal", SEAL)
        request.setHeader("x-weight-versions", str(self.version))
        return b"answer to " + attempt_id.encode()


class Fleet:
    """A store, an origin, model engines, entries and the processes beside engines.

    :param folder: of the case.
    :param origin_type: class of the origin.
    :ivar state: of the store.
    """

    def __init__(self, folder: pathlib.Path, origin_type: "type[Origin]"):
        self.record = Record(folder)
        self.engines: list = []
        self.entries: list[platform_deployment.Program] = []
        self.sides: list[platform_deployment.Program] = []
        self._scratch = tempfile.TemporaryDirectory()
        self._directory = pathlib.Path(self._scratch.name)
        self._fields: dict[str, tuple[str, dict]] = {}
        self._engine_entries: dict[str, dict] = {}
        store = platform_store.PlatformStoreResource()
        self.state = store.state
        self._store_address = serve(store)
        self.origin = origin_type(self.record)
        self._origin_address = serve(self.origin)

    def add_engine(self, engine_id: str, service: str = "model") -> None:
        """Add an engine with its entry in the store; a model engine holds version 1."""
        engine = Engine(engine_id, self.record)
        self.register_engine(engine, service, serve(engine))

    def register_engine(
        self, engine, service: str, address: str, slots: int = 16
    ) -> None:
        """Write the entry of an engine, which has an ``engine_id`` and ``born_ms``."""
        self.engines.append(engine)
        self._engine_entries[engine.engine_id] = {
            "service": service,
            "address": address,
            "zone": ZONE,
            "version": "v1",
            "slots": slots,
            "state": "ready",
            "cold_left_ms": 0,
            "born": engine.born_ms,
            "sequence": 0,
        }
        self.write_engine(engine.engine_id)

    def write_engine(self, engine_id: str) -> None:
        """Write the entry of an engine, as it does itself at every heartbeat."""
        entry = self._engine_entries[engine_id]
        entry["sequence"] += 1
        self.write(f"servers/{engine_id}", entry)

    def get_engine_address(self, engine_id: str) -> str:
        """Return the address of an engine."""
        return self._engine_entries[engine_id]["address"]

    def start_entry(self, name: str) -> platform_deployment.Program:
        """Start an entry."""
        address = platform_deployment.find_free_address()
        purposes = ("front", "readiness", "control", "directory")
        reports, *ports = platform_deployment.find_free_ports(address, 5)
        fields = self._make_settings(name, address)
        fields["listen"] = {
            purpose: f"{address}:{port}"
            for purpose, port in zip(purposes, ports, strict=True)
        }
        fields["internal_ports"] = [reports, reports]
        program = self._start(ENTRY_MODULE, fields)
        self.entries.append(program)
        return program

    def start_side(self, number: int) -> platform_deployment.Program:
        """Start the process beside an engine, by the number of that."""
        name = f"side-{number + 1}"
        fields = self._make_settings(name, platform_deployment.find_free_address())
        engine_id = self.engines[number].engine_id
        fields["app"] = self.get_engine_address(engine_id)
        fields["service"] = "model"
        program = self._start(SIDE_MODULE, fields)
        self.sides.append(program)
        return program

    def kill_all(self) -> None:
        """Kill all processes of the system at the same moment."""
        for program in [*self.entries, *self.sides]:
            program.kill()
        self.record.write("all processes of the system were killed")

    def restart_all(self) -> None:
        """Start all processes again, at their addresses."""
        for programs in (self.entries, self.sides):
            programs[:] = [self._restart(program) for program in programs]
        self.record.write("all processes of the system were started again")

    def _restart(
        self, program: platform_deployment.Program
    ) -> platform_deployment.Program:
        module, fields = self._fields[program.name]
        return self._start(module, {**fields, "bootstrap": False})

    def write(self, key: str, value: dict) -> None:
        """Write a key as the operator and the engines do."""
        self.state.write_unchecked(key, json.dumps(value).encode())
        self.record.write(f"the store has acknowledged {key}")

    def write_configuration(self, version: int, *routes: dict) -> None:
        """Write a desired state, as the operator does.

        :param routes: made by :func:`make_route`; one to the model engines if none.
        """
        services = sorted({entry["service"] for entry in self._engine_entries.values()})
        origin = {
            "name": "origin",
            "origin": self._origin_address,
            "zone": ZONE,
            "link_mbps": 15,
        }
        configuration = {
            "version": version,
            "routes": list(routes) or [make_route("/model/", "model")],
            "services": [make_service(name) for name in services] + [origin],
            "limits": {
                "max_header_bytes": 16_384,
                "max_body_bytes": 1_048_576,
                "header_timeout_ms": 3000,
                "idle_timeout_ms": 15_000,
            },
            "tenants": [{"name": platform_deployment.TENANT, "api_keys": [KEY]}],
        }
        self.write("op/config", configuration)

    def name_version(self, version: int) -> None:
        """Name a version of the model's weights, as the operator does."""
        self.write(f"op/version/{MODEL}", {"model": MODEL, "version": version})

    async def wait_until(self, probe: Callable[[], Awaitable[bool]]) -> None:
        """Poll until a coroutine function returns true.

        :raises CaseNotRunError: when it does not in time.
        """
        limit_s = time.monotonic() + START_LIMIT_S
        while not await probe():
            if time.monotonic() > limit_s:
                raise CaseNotRunError(f"{probe.__name__}: not in {START_LIMIT_S} s")
            await asyncio.sleep(POLL_INTERVAL_S)

    def close(self) -> None:
        """End all processes that were started."""
        for program in [*self.entries, *self.sides]:
            program.kill()
        if "KEEP_LOGS" in os.environ:
            for path in self._directory.glob("*.log"):
                print(f"== {path.name}\n{path.read_text(errors='replace')}")
        self._scratch.cleanup()

    def _make_settings(self, name: str, address: str) -> dict:
        return {
            "node_name": name,
            "ip": address,
            "zone": ZONE,
            "region": REGION,
            "zones": {ZONE: REGION},
            "seeds": [],
            "bootstrap": True,
            "limits": {"link_mbps": 350.0, "max_fds": 1535},
            "bounds": dict(BOUNDS),
            "platform": {"address": self._store_address, "form": "kv"},
        }

    def _start(self, module: str, fields: dict) -> platform_deployment.Program:
        self._fields[fields["node_name"]] = (module, fields)
        return platform_deployment.Program(self._directory, module, fields)


class Answer:
    """Answer to a caller's request.

    :ivar status: 0 without one.
    """

    def __init__(self, status: int, headers: dict[str, str], body: bytes):
        self.status = status
        self.headers = headers
        self.body = body


def make_route(prefix: str, service: str, kind: str = "idempotent") -> dict:
    """Return a route of a desired state."""
    return {
        "name": f"route-{service}",
        "host": HOST,
        "prefix": prefix,
        "kind": kind,
        "timeout_ms": 3000,
        "slo_ms": 500,
        "service": service,
        "attempts": 1 if kind == "non_idempotent" else 2,
    }


def make_service(name: str) -> dict:
    """Return a service of a desired state; the one named "model" has a model."""
    if name != "model":
        return {"name": name}
    engine = {
        "models": [{"name": MODEL, "warmup_s": 0.3}],
        "layers": LAYER_COUNT,
        "chunks": PIECE_COUNT,
        "chunk_bytes": PIECE_BYTES,
    }
    return {"name": name, "engine": engine}


async def send(
    address: str, attempt_id: str, target: str = "/model/x", timeout_ms: int = 3000
) -> Answer:
    """Send a caller's request on a new connection and return the answer."""
    try:
        async with asyncio.timeout(ANSWER_LIMIT_S):
            return await _exchange(address, attempt_id, target, timeout_ms)
    except (OSError, ValueError, TimeoutError, asyncio.IncompleteReadError):
        return Answer(0, {}, b"")


async def is_ready(program: platform_deployment.Program) -> bool:
    """Return whether the readiness check of an entry gets 200."""
    host, _, port = program.get_address("readiness").rpartition(":")
    try:
        reader, writer = await asyncio.open_connection(host, int(port))
    except OSError:
        return False
    writer.write(b"GET /-/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
    line = await reader.readline()
    writer.close()
    return b" 200 " in line


def serve(served: resource.Resource) -> str:
    """Serve a stand-in on a free loopback port and return its address."""
    port = reactor.listenTCP(0, server.Site(served), interface="127.0.0.1")
    return f"127.0.0.1:{port.getHost().port}"


def has_trouble() -> bool:
    """Return whether the disruption of the case is played."""
    return os.environ.get("TROUBLE", "1") != "0"


def run_case(
    folder: pathlib.Path,
    play: Callable[[Fleet], Awaitable[str | None]],
    origin_type: type[Origin] = Origin,
) -> None:
    """Run a case and exit with its code.

    :param play: returns what broke the rule, or None if it held.
    :param origin_type: class of the origin.
    """
    fleet = Fleet(folder, origin_type)
    # The limit of run.sh ends the programs, too.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(EXIT_NOT_RUN))
    try:
        broken = loop.EVENT_LOOP.run_until_complete(play(fleet))
    except CaseNotRunError as error:
        fleet.record.write(f"the case could not run: {error}")
        sys.exit(EXIT_NOT_RUN)
    finally:
        fleet.close()
        for task in asyncio.all_tasks(loop.EVENT_LOOP):
            task.cancel()
        loop.EVENT_LOOP.run_until_complete(asyncio.sleep(CANCEL_S))
    fleet.record.write(f"broken: {broken}" if broken else "the rule held")
    sys.exit(EXIT_BROKEN if broken else EXIT_HELD)


async def _exchange(
    address: str, attempt_id: str, target: str, timeout_ms: int
) -> Answer:
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    head = (
        f"POST {target} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {attempt_id}\r\n"
        f"X-Timeout-Ms: {timeout_ms}\r\nApi-Key: {KEY}\r\nX-Model: {MODEL}\r\n"
        "Content-Length: 8\r\nConnection: close\r\n\r\nquestion"
    )
    try:
        writer.write(head.encode())
        status = int((await reader.readline()).split()[1])
        headers = {}
        while (line := (await reader.readline()).strip()) != b"":
            name, _, value = line.decode("latin-1").partition(":")
            headers[name.lower()] = value.strip()
        if headers.get("transfer-encoding") == "chunked":
            return Answer(status, headers, await _read_chunks(reader))
        body = await reader.readexactly(int(headers["content-length"]))
        return Answer(status, headers, body)
    finally:
        writer.close()


async def _read_chunks(reader: asyncio.StreamReader) -> bytes:
    body = b""
    while size_bytes := int((await reader.readline()).strip(), 16):
        body += (await reader.readexactly(size_bytes + 2))[:-2]
    return body
