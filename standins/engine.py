"""HTTP server that stands in for a model engine.

``python -m standins.engine --port 8000 --tokens-per-s 2000 --slots 16 --admin``
"""

import json
import sys

import defopt
from twisted.internet import reactor, task
from twisted.web import resource, server

from standins import engine_batch, engine_weights

STEP_S = 0.005
DEFAULT_MAX_TOKENS = 16
MAX_TOKENS = 4096


class EngineServer:
    """The engine's HTTP interface.

    :param admin: whether faults can be set over HTTP.
    """

    def __init__(
        self,
        tokens_per_s: float = 2000.0,
        slots: int = 16,
        ignore_fencing: bool = False,
        admin: bool = False,
        clock=reactor,
    ):
        self.batch = engine_batch.Batch(tokens_per_s, slots)
        self.weights = engine_weights.Weights(ignore_fencing)
        self.deferred_calls: list = []
        self._clock = clock
        self._stepper = task.LoopingCall(self._step)
        self._stepper.clock = clock
        self._admin = admin

    def start(self) -> None:
        """Start to step the batch."""
        self._stepper.start(STEP_S)

    def stop(self) -> None:
        """Stop stepping the batch."""
        if self._stepper.running:
            self._stepper.stop()

    def make_site(self) -> server.Site:
        """Return the site of the engine's resources."""
        root = resource.Resource()
        version = resource.Resource()
        root.putChild(b"v1", version)
        root.putChild(b"stats", Status(self))
        version.putChild(b"completions", Completions(self))
        version.putChild(b"cancel", Cancel(self))
        version.putChild(b"staging", Staging(self))
        version.putChild(b"orders", Orders(self))
        version.putChild(b"status", Status(self))
        version.putChild(b"cache-events", CacheEvents(self))
        version.putChild(b"kv", KvCache(self))
        if self._admin:
            admin = resource.Resource()
            root.putChild(b"admin", admin)
            admin.putChild(b"faults", AdminFaults(self))
        return server.Site(root)

    def call_later(self, delay_s: float, function, *arguments) -> None:
        """Call a function after a delay."""
        self._clock.callLater(delay_s, function, *arguments)

    def thaw(self) -> None:
        """Answer the requests that were received while the engine was frozen."""
        calls, self.deferred_calls = self.deferred_calls, []
        for function in calls:
            function()

    def _step(self) -> None:
        self.batch.step(self._clock.seconds())


class EngineResource(resource.Resource):
    """A resource of the engine; it does not answer while the engine is frozen."""

    def __init__(self, engine: EngineServer):
        super().__init__()
        self.engine = engine

    def getChild(self, path, request):  # noqa: N802
        """Serve all paths below this one."""
        return self

    def render(self, request):
        """Answer, or keep the request until the engine is thawed."""
        if self.engine.batch.faults.frozen:
            self.engine.deferred_calls.append(lambda: self._render_deferred(request))
            return server.NOT_DONE_YET
        return self._answer(request)

    def _render_deferred(self, request) -> None:
        if request._disconnected:
            return
        body = self._answer(request)
        if body is server.NOT_DONE_YET:
            return
        request.write(body)
        request.finish()

    def _answer(self, request):
        try:
            return super().render(request)
        except engine_weights.OrderError as error:
            return _answer_json(request, {"error": str(error)}, error.status)
        except (ValueError, KeyError, TypeError) as error:
            return _answer_json(request, {"error": repr(error)}, 400)


class Completions(EngineResource):
    """Generates text, as a stream of server-sent events."""

    def render_POST(self, request):  # noqa: N802
        """Submit a job, or refuse the request without running it."""
        body = json.loads(request.content.read())
        weights = self.engine.weights
        request_id = request.getHeader("x-request-id") or body.get("request_id", "")
        version = request.getHeader("x-version") or weights.active_version
        adapter = request.getHeader("x-adapter") or ""
        if not weights.active_version or version != weights.active_version:
            detail = f"version {version!r} is not active"
            return _answer_json(request, {"error": detail}, 409, request_id)
        if adapter and adapter not in weights.adapters:
            detail = f"adapter {adapter!r} is not loaded"
            return _answer_json(request, {"error": detail}, 404, request_id)
        job = engine_batch.Job(
            request_id=request_id,
            prompt=str(body["prompt"]),
            max_tokens=min(MAX_TOKENS, int(body.get("max_tokens", DEFAULT_MAX_TOKENS))),
            priority=int(request.getHeader("x-priority") or body.get("priority", 1)),
            version=version,
            digest=weights.digests[version],
            emit=lambda index, text: None,
        )
        skip = int(request.getHeader("x-resume-events") or 0)
        job.produced = min(skip, job.max_tokens)
        CompletionStream(self.engine, request, job).start()
        return server.NOT_DONE_YET


class CompletionStream:
    """The stream of a job's tokens to its client."""

    def __init__(self, engine: EngineServer, request, job: engine_batch.Job):
        self._engine = engine
        self._request = request
        self._job = job
        self._id = job.request_id
        self._closed = False

    def start(self) -> None:
        """Submit the job to the batch; it is cancelled if the connection closes."""
        faults = self._engine.batch.faults
        if faults.crossed > 0:
            faults.crossed -= 1
            self._id = "another-" + self._id
        self._request.notifyFinish().addErrback(self._on_closed)
        self._job.emit = self._emit
        self._engine.call_later(faults.late_s, self._submit)

    def _submit(self) -> None:
        if self._closed:
            return
        self._request.setHeader("Content-Type", "text/event-stream")
        self._request.setHeader("X-Request-Id", self._id)
        self._engine.batch.submit(self._job)
        # Send the headers at once, before the first token.
        self._request.write(b"")

    def _on_closed(self, _) -> None:
        self._closed = True
        self._engine.batch.cancel(self._job.request_id)

    def _emit(self, index: int, text: str) -> None:
        if self._closed:
            return
        if index == engine_batch.BROKEN_INDEX:
            # Data that is already written is still sent.
            self._request.transport.loseConnection()
            return
        if index == engine_batch.END_INDEX:
            self._request.write(b"data: [DONE]\n\n")
            self._request.finish()
            return
        event = {"id": self._id, "choices": [{"index": index, "text": text}]}
        encoded = json.dumps(event, separators=(",", ":")).encode()
        self._request.write(b"data: " + encoded + b"\n\n")


class Cancel(EngineResource):
    """Cancels a job."""

    def render_POST(self, request):  # noqa: N802
        """Cancel the job whose id is the last part of the path."""
        found = self.engine.batch.cancel(_get_last_path_part(request))
        return _answer_json(request, {"found": found})


class Staging(EngineResource):
    """Staged chunks, from which versions are loaded."""

    def render_GET(self, request):  # noqa: N802
        """Return a chunk, or the list of the hashes of all chunks."""
        name = _get_last_path_part(request)
        if name in ("", "staging"):
            return _answer_json(request, list(self.engine.weights.staged))
        payload = self.engine.weights.staged.get(name)
        if payload is None:
            return _answer_json(request, {"error": "not staged"}, 404)
        return payload

    def render_PUT(self, request):  # noqa: N802
        """Stage the chunk whose hash is the last part of the path."""
        self.engine.weights.stage(_get_last_path_part(request), request.content.read())
        return _answer_json(request, {})

    def render_DELETE(self, request):  # noqa: N802
        """Remove a chunk."""
        self.engine.weights.unstage(_get_last_path_part(request))
        return _answer_json(request, {})


class Orders(EngineResource):
    """Executes orders to load, activate and unload versions."""

    def render_POST(self, request):  # noqa: N802
        """Execute an order."""
        self.engine.weights.carry_out(json.loads(request.content.read()))
        return _answer_json(request, {})


class Status(EngineResource):
    """The engine's status; its load is delayed."""

    def render_GET(self, request):  # noqa: N802
        """Return the status."""
        weights, batch = self.engine.weights, self.engine.batch
        running_count, queued_count = batch.get_delayed_load()
        status = {
            "fence": weights.fence,
            "active_version": weights.active_version,
            "digests": weights.digests,
            "adapters": weights.adapters,
            "running": running_count,
            "queued": queued_count,
            "role": weights.role,
            "served": batch.served,
            "cancelled": batch.cancelled,
            "prefix_hits": batch.prefix_hits,
            "orders": weights.orders,
            "staged_chunks": len(weights.staged),
        }
        return _answer_json(request, status)


class CacheEvents(EngineResource):
    """Events of the prefix cache, delayed and with gaps."""

    def render_GET(self, request):  # noqa: N802
        """Return the events with a higher sequence number than ``after``."""
        after = int(request.args.get(b"after", [b"0"])[0])
        return _answer_json(request, self.engine.batch.get_delayed_cache_events(after))


class KvCache(EngineResource):
    """Exports and imports the prefix cache."""

    def render_GET(self, request):  # noqa: N802
        """Return the blocks of the prefix cache."""
        return _answer_json(request, self.engine.batch.export_blocks())

    def render_POST(self, request):  # noqa: N802
        """Add blocks to the prefix cache."""
        self.engine.batch.import_blocks(json.loads(request.content.read()))
        return _answer_json(request, {})


class AdminFaults(EngineResource):
    """Sets faults for tests; it answers even while the engine is frozen."""

    def render(self, request):
        """Set the faults named in the body and return all faults."""
        faults = self.engine.batch.faults
        for name, value in json.loads(request.content.read() or b"{}").items():
            if not hasattr(faults, name):
                return _answer_json(request, {"error": f"no fault {name!r}"}, 400)
            setattr(faults, name, value)
        if not faults.frozen:
            self.engine.thaw()
        return _answer_json(request, vars(faults))


def _get_last_path_part(request) -> str:
    return request.path.rsplit(b"/", 1)[-1].decode()


def _answer_json(request, body: object, status: int = 200, request_id: str = ""):
    request.setResponseCode(status)
    request.setHeader("Content-Type", "application/json")
    if request_id:
        request.setHeader("X-Request-Id", request_id)
    return json.dumps(body).encode()


def main(
    *,
    port: int,
    host: str = "127.0.0.1",
    tokens_per_s: float = 2000.0,
    slots: int = 16,
    ignore_fencing: bool = False,
    admin: bool = False,
) -> None:
    """Serve until the process is stopped.

    :param port: TCP port to listen on.
    :param host: address to listen on.
    :param tokens_per_s: tokens per second that all requests share.
    :param slots: maximum number of requests in the batch.
    :param ignore_fencing: execute orders with an old fencing number as well.
    :param admin: allow faults to be set over HTTP.
    """
    engine = EngineServer(tokens_per_s, slots, ignore_fencing, admin)
    engine.start()
    reactor.listenTCP(port, engine.make_site(), interface=host)
    reactor.run()


if __name__ == "__main__":
    defopt.run(main, argv=sys.argv[1:])
