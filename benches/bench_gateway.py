"""Measures the latency and processor time that the gateway adds to an engine call.

The stand-in engine, the client and the gateway with its real state machine run in one
process on loopback. Processor times are therefore those of all of them; the gateway's
part is the difference between gated and direct calls.
"""

import asyncio
import hashlib
import json
import time
from collections.abc import AsyncIterator, Callable

from toucanspread.ops import loop  # isort: skip  (installs the reactor)

from twisted.internet import reactor

from standins import engine as engine_standin
from standins import gate_harness
from toucanspread.core import data, effects, events
from toucanspread.ops import engine, gateway, runtime

WEIGHTS = b"weights"
SEQUENTIAL_REQUESTS = 200
SHORT_TOKENS = 20
PARALLEL_REQUESTS = 16
LONG_TOKENS = 500

SendRequest = Callable[[str, bytes], AsyncIterator]


class EngineClients:
    """Calls the engine either directly or through the gateway."""

    def __init__(self, local_engine: engine.Engine):
        self._engine = local_engine
        harness = gate_harness.GateHarness(limit=PARALLEL_REQUESTS)
        digest = hashlib.sha256(WEIGHTS).hexdigest()
        harness.node.orders.serving.weights_hash = digest
        host = runtime.Runtime(harness.machine, on_exit=lambda code: None)
        self._gateway = gateway.Gateway(host.post, model_engine=local_engine)
        host.add(self._gateway)
        self.host = host

    def call_engine(self, request_id: str, body: bytes) -> AsyncIterator:
        """Call the engine directly."""
        return self._engine.generate(
            _make_request(request_id), body, gate_harness.VERSION
        )

    def call_gateway(self, request_id: str, body: bytes) -> AsyncIterator:
        """Call the engine through the gateway."""
        dispatch = data.Dispatch(_make_request(request_id), 1, 30.0, "entry-1")
        return self._gateway.handle(gate_harness.ENTRY, dispatch, body)


def _make_request(request_id: str) -> data.Request:
    return data.Request(request_id, "parish", gate_harness.MODEL_SERVICE, 30.0)


def _make_body(tokens: int) -> bytes:
    return json.dumps({"prompt": "dear parish", "max_tokens": tokens}).encode()


async def _load_weights(local_engine: engine.Engine) -> None:
    chunk_hash = hashlib.sha256(WEIGHTS).hexdigest()
    entry = {"path": "a", "size_bytes": len(WEIGHTS), "chunks": [chunk_hash]}
    manifest = json.dumps({"files": [entry]}).encode()
    manifest_hash = hashlib.sha256(manifest).hexdigest()
    await local_engine.put_chunk(chunk_hash, WEIGHTS)
    await local_engine.put_chunk(manifest_hash, manifest)
    for kind in (data.OrderKind.LOAD, data.OrderKind.ACTIVATE):
        await local_engine.send_order(
            effects.EngineOrder("o", kind, 1, "m", "v1", manifest_hash)
        )


async def _time_request(
    send_request: SendRequest, request_id: str, tokens: int
) -> tuple[float, float]:
    started_s = time.perf_counter()
    first_s = 0.0
    async for _ in send_request(request_id, _make_body(tokens)):
        first_s = first_s or time.perf_counter() - started_s
    return first_s, time.perf_counter() - started_s


def _get_quantile(values: list[float], fraction: float) -> float:
    return sorted(values)[int(fraction * (len(values) - 1))]


async def _measure_latency(name: str, send_request: SendRequest) -> None:
    timings = [
        await _time_request(send_request, f"{name}-{number}", SHORT_TOKENS)
        for number in range(SEQUENTIAL_REQUESTS)
    ]
    for label, values in zip(
        ("first", "whole"), zip(*timings, strict=True), strict=True
    ):
        for quantile in (0.5, 0.99):
            value_ms = 1e3 * _get_quantile(list(values), quantile)
            print(f"{name}_{label}_ms_p{100 * quantile:g}={value_ms:.2f}")


async def _measure_cpu(name: str, send_request: SendRequest) -> float:
    started_s = time.process_time()
    await asyncio.gather(
        *(
            _time_request(send_request, f"{name}-parallel-{number}", LONG_TOKENS)
            for number in range(PARALLEL_REQUESTS)
        )
    )
    cpu_s = time.process_time() - started_s
    per_token_us = 1e6 * cpu_s / (PARALLEL_REQUESTS * LONG_TOKENS)
    print(f"{name}_all_sides_us_per_token={per_token_us:.2f}")
    return per_token_us


async def _measure() -> None:
    standin = engine_standin.EngineServer(
        tokens_per_s=20_000.0, slots=PARALLEL_REQUESTS
    )
    standin.start()
    port = reactor.listenTCP(0, standin.make_site(), interface="127.0.0.1")
    address = data.Address(f"127.0.0.1:{port.getHost().port}")
    local_engine = engine.HttpEngine.from_config(address)
    await _load_weights(local_engine)
    clients = EngineClients(local_engine)
    clients.host.post(events.EngineStatusReported(await local_engine.read_status()))
    cpu_us_per_token = {}
    for name, send_request in (
        ("direct", clients.call_engine),
        ("gated", clients.call_gateway),
    ):
        await _measure_latency(name, send_request)
        cpu_us_per_token[name] = await _measure_cpu(name, send_request)
    print(
        "gateway_us_per_token="
        f"{cpu_us_per_token['gated'] - cpu_us_per_token['direct']:.2f}"
    )
    standin.stop()
    await local_engine.close()
    stopping = port.stopListening()
    if stopping is not None:
        await loop.as_future(stopping)


def main() -> None:
    """Run and print all measurements."""
    loop.EVENT_LOOP.run_until_complete(_measure())


if __name__ == "__main__":
    main()
