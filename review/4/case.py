"""A version is named while the origin is lost, and when older ones still begin."""

import asyncio
import importlib
import itertools
import pathlib
import time

from review import fleet

engine_module = importlib.import_module("review.4.engine")

FOLDER = pathlib.Path(__file__).parent
ENGINE_COUNT = 8
INTERVAL_S = 0.07
BEFORE_S = 6.0
AFTER_S = 14.0
VERSION_S = 8.0  # the bound ``version_ms``
TIMEOUT_MS = 8000
SLO_MS = 4000


class LosableOrigin(fleet.Origin):
    """The service with all weights, which can be lost.

    :ivar is_lost: whether it resets all connections.
    """

    is_lost = False

    def render_GET(self, request):  # noqa: N802
        """Serve the manifest or a piece, or reset the connection."""
        if self.is_lost:
            request.transport.abortConnection()
            return fleet.server.NOT_DONE_YET
        return super().render_GET(request)


async def send_requests(deployment: fleet.Fleet) -> None:
    """Send requests until cancelled."""
    for number in itertools.count(1):
        asyncio.ensure_future(send_request(deployment, number))
        await asyncio.sleep(INTERVAL_S)


async def send_request(deployment: fleet.Fleet, number: int) -> None:
    """Send one request and record its answer."""
    attempt_id = f"{number:016x}"
    entry = deployment.entries[number % len(deployment.entries)]
    deployment.record.write(f"caller sends {attempt_id} to {entry.name}")
    address = entry.get_address("front")
    answer = await fleet.send(address, attempt_id, timeout_ms=TIMEOUT_MS)
    deployment.record.write(
        f"caller gets {answer.status} for {attempt_id}, "
        f"weights {answer.headers.get('x-weight-versions', 'none')}"
    )


async def play(deployment: fleet.Fleet) -> str | None:
    """Play the case and return what broke the rule, or None."""

    async def are_ready() -> bool:
        return all([await fleet.is_ready(entry) for entry in deployment.entries])

    async def have_begun() -> bool:
        return all(engine.begun for engine in engines)

    engines = []
    for number in range(ENGINE_COUNT):
        engine = engine_module.QueueingEngine(f"i-{number + 1}", deployment.record)
        engines.append(engine)
        address = await engine.start()
        deployment.register_engine(engine, "model", address, engine_module.SLOTS)
    route = fleet.make_route("/model/", "model", "non_idempotent")
    route |= {"timeout_ms": TIMEOUT_MS, "slo_ms": SLO_MS}
    deployment.write_configuration(3, route)
    for number in range(2):
        deployment.start_entry(f"entry-{number + 1}")
    for number in range(ENGINE_COUNT):
        deployment.start_side(number)
    await deployment.wait_until(are_ready)
    sending = asyncio.ensure_future(send_requests(deployment))
    await deployment.wait_until(have_begun)
    await asyncio.sleep(BEFORE_S)
    if fleet.has_trouble():
        deployment.origin.is_lost = True
        deployment.record.write("the origin is lost")
    deployment.name_version(2)
    named_s = time.monotonic()
    await asyncio.sleep(AFTER_S)
    sending.cancel()
    await asyncio.sleep(fleet.ANSWER_LIMIT_S)
    late = [
        (attempt_id, begun_s - named_s)
        for engine in engines
        for attempt_id, version, begun_s in engine.begun
        if version < 2 and begun_s - named_s > VERSION_S
    ]
    for attempt_id, after_s in late:
        deployment.record.write(f"{attempt_id} begins on 1, {after_s:.3f} s after 2")
    if late:
        longest_s = max(after_s for _, after_s in late)
        return (
            f"VERSION: {len(late)} begin on version 1, up to {longest_s:.3f} s after 2"
        )
    return None


if __name__ == "__main__":
    fleet.run_case(FOLDER, play, LosableOrigin)
