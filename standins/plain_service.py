"""Stand-in for a plain service whose calls must not be repeated.

It counts the executions of each idempotency key. More than one is a fault of the system
that calls the service. Run it with
``python -m standins.plain_service --port 8001 --admin``.
"""

import collections
import dataclasses
import json
import sys

import defopt
from twisted.internet import reactor
from twisted.web import resource, server


@dataclasses.dataclass
class Faults:
    """Faults of the service, set by tests.

    :param frozen: whether calls wait until the service is thawed.
    :param slow_s: duration of each call.
    :param lose_answers: number of the next calls that are executed without an answer.
    :param crossed: number of the next answers that carry the id of another request.
    """

    frozen: bool = False
    slow_s: float = 0.0
    lose_answers: int = 0
    crossed: int = 0


class PlainServer:
    """HTTP interface of the service.

    :param admin: whether faults can be set over HTTP.
    :param slow_s: duration of each call.
    """

    def __init__(self, admin: bool = False, slow_s: float = 0.0):
        self.faults = Faults(slow_s=slow_s)
        self.executions: collections.Counter[str] = collections.Counter()
        self.deferred_calls: list = []
        self._admin = admin

    def make_site(self) -> server.Site:
        """Return the site of the service's resources."""
        root = resource.Resource()
        root.putChild(b"v1", Calls(self))
        root.putChild(b"stats", Stats(self))
        if self._admin:
            admin = resource.Resource()
            root.putChild(b"admin", admin)
            admin.putChild(b"faults", AdminFaults(self))
        return server.Site(root)

    def thaw(self) -> None:
        """Execute the calls that were received while the service was frozen."""
        calls, self.deferred_calls = self.deferred_calls, []
        for function in calls:
            function()


class Calls(resource.Resource):
    """Executes calls: booking a slot, charging a deposit, confirming a swap."""

    isLeaf = True  # noqa: N815

    def __init__(self, plain: PlainServer):
        super().__init__()
        self.plain = plain

    def render_POST(self, request):  # noqa: N802
        """Execute a call and answer it."""
        request_id = request.getHeader("x-request-id") or ""
        key = request.getHeader("idempotency-key") or request_id
        body = request.content.read()
        service = request.path.rsplit(b"/", 1)[-1].decode()
        call = Call(self.plain, request, request_id, key, service, body)
        if self.plain.faults.frozen:
            self.plain.deferred_calls.append(call.execute)
        else:
            reactor.callLater(self.plain.faults.slow_s, call.execute)
        request.notifyFinish().addErrback(call.on_closed)
        return server.NOT_DONE_YET


class Call:
    """A call in progress; it is executed even if its client disconnects."""

    def __init__(self, plain, request, request_id, key, service, body):
        self._plain = plain
        self._request = request
        self._request_id = request_id
        self._key = key
        self._service = service
        self._body = body
        self._closed = False

    def on_closed(self, _) -> None:
        """Record that the client has disconnected."""
        self._closed = True

    def execute(self) -> None:
        """Execute the call and answer it."""
        self._plain.executions[self._key] += 1
        faults = self._plain.faults
        if self._closed:
            return
        if faults.lose_answers > 0:
            faults.lose_answers -= 1
            self._request.transport.abortConnection()
            return
        answered_id = self._request_id
        if faults.crossed > 0:
            faults.crossed -= 1
            answered_id = "another-" + answered_id
        answer = {
            "service": self._service,
            "request_id": answered_id,
            "key": self._key,
            "execution": self._plain.executions[self._key],
            "body_bytes": len(self._body),
        }
        self._request.setHeader("Content-Type", "application/json")
        self._request.setHeader("X-Request-Id", answered_id)
        self._request.write(json.dumps(answer).encode())
        self._request.finish()


class Stats(resource.Resource):
    """Returns the executions per idempotency key."""

    isLeaf = True  # noqa: N815

    def __init__(self, plain: PlainServer):
        super().__init__()
        self.plain = plain

    def render_GET(self, request):  # noqa: N802
        """Return the counts and the keys that were executed more than once."""
        counts = self.plain.executions
        stats = {
            "executions": counts,
            "keys": len(counts),
            "repeated": sorted(key for key, count in counts.items() if count > 1),
        }
        return json.dumps(stats).encode()


class AdminFaults(resource.Resource):
    """Sets faults for tests."""

    isLeaf = True  # noqa: N815

    def __init__(self, plain: PlainServer):
        super().__init__()
        self.plain = plain

    def render(self, request):
        """Set the faults named in the body and return all faults."""
        faults = self.plain.faults
        for name, value in json.loads(request.content.read() or b"{}").items():
            if not hasattr(faults, name):
                request.setResponseCode(400)
                return json.dumps({"error": f"no fault {name!r}"}).encode()
            setattr(faults, name, value)
        if not faults.frozen:
            self.plain.thaw()
        return json.dumps(vars(faults)).encode()


def main(
    *,
    port: int,
    host: str = "127.0.0.1",
    admin: bool = False,
    slow_s: float = 0.0,
) -> None:
    """Serve until the process is stopped.

    :param port: TCP port to listen on.
    :param host: address to listen on.
    :param admin: allow faults to be set over HTTP.
    :param slow_s: duration of each call.
    """
    plain = PlainServer(admin, slow_s)
    reactor.listenTCP(port, plain.make_site(), interface=host)
    reactor.run()


if __name__ == "__main__":
    defopt.run(main, argv=sys.argv[1:])
