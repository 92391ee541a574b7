"""Stand-in for the platform's instance list: JSON over HTTP, with a delay.

Run it with ``python -m standins.instance_list --port 8600``. GET ``/v1/instances``
returns a list of objects with ``instance_id``, ``role``, ``zone``, ``region``,
``address``, ``http_address`` and ``state`` (``live`` or ``leaving``), as it was
``lag_s`` ago, with an ``ETag``.

PUT on ``/admin/instances`` sets the whole list. PUT and DELETE on
``/admin/instances/ID`` set and remove one instance; PUT on ``/admin/leaving/ID`` marks
one as leaving. PUT on ``/admin/faults`` sets the fields of :class:`Faults`.
"""

import dataclasses
import hashlib
import json

from twisted.internet import reactor
from twisted.internet.interfaces import IReactorTime
from twisted.web import resource, server

from standins import stand_in_program

LIST_PATH = "/v1/instances"


@dataclasses.dataclass
class Faults:
    """Faults of the list.

    :param lag_s: age of the list that is returned.
    :param down: whether every connection is aborted.
    """

    lag_s: float = 0.0
    down: bool = False


class InstanceListResource(resource.Resource):
    """The resource of all paths of the list."""

    isLeaf = True  # noqa: N815

    def __init__(self, lag_s: float = 0.0, clock: IReactorTime = reactor):
        super().__init__()
        self.faults = Faults(lag_s=lag_s)
        self._clock = clock
        self._instances: dict[str, dict] = {}
        self._history: list[tuple[float, list[dict]]] = [(clock.seconds(), [])]

    def render(self, request: server.Request) -> bytes:
        """Answer a request at once."""
        path = request.path.decode()
        request.setHeader(b"content-type", b"application/json")
        if path.startswith("/admin/"):
            return self._handle_admin_call(path.removeprefix("/admin/"), request)
        if self.faults.down:
            request.transport.abortConnection()
            return server.NOT_DONE_YET
        if path != LIST_PATH or request.method != b"GET":
            request.setResponseCode(404)
            return b'"no such path"'
        body = json.dumps(self.get_delayed_list()).encode()
        etag = hashlib.sha256(body).hexdigest()[:16].encode()
        if request.setETag(b'"' + etag + b'"') is not None:
            return b""
        return body

    def get_delayed_list(self) -> list[dict]:
        """Return the list as it was ``lag_s`` ago."""
        time_s = self._clock.seconds() - self.faults.lag_s
        while len(self._history) > 1 and self._history[1][0] <= time_s:
            del self._history[0]
        return self._history[0][1]

    def _handle_admin_call(self, path: str, request: server.Request) -> bytes:
        kind, _, instance_id = path.partition("/")
        body = request.content.read()
        if kind == "faults":
            changes = json.loads(body)
            self.faults = dataclasses.replace(self.faults, **changes)
            return json.dumps(dataclasses.asdict(self.faults)).encode()
        if kind == "leaving":
            self._instances[instance_id]["state"] = "leaving"
        elif request.method == b"DELETE":
            self._instances.pop(instance_id, None)
        elif instance_id:
            self._put_instances([json.loads(body)])
        else:
            self._instances.clear()
            self._put_instances(json.loads(body))
        instances = [dict(instance) for instance in self._instances.values()]
        self._history.append((self._clock.seconds(), instances))
        return b"{}"

    def _put_instances(self, instances: list[dict]) -> None:
        for instance in instances:
            self._instances[instance["instance_id"]] = {"state": "live", **instance}


def main() -> None:
    """Serve until the process is stopped."""
    parser = stand_in_program.make_parser("instance list stand-in")
    parser.add_argument("--lag-s", type=float, default=0.0)
    options = parser.parse_args()
    stand_in_program.serve(InstanceListResource(options.lag_s), options)


if __name__ == "__main__":
    main()
