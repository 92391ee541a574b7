"""Stand-in for the key-value service: Consul's KV and session calls over HTTP.

Run it with ``python -m standins.key_value --port 8500``. PUT on ``/admin/faults`` with
a JSON object of the fields of :class:`Faults` sets faults; PUT on ``/admin/save`` saves
the state and on ``/admin/restore`` restores it; GET ``/admin/calls`` returns the
numbers of calls by kind.
"""

import base64
import collections
import dataclasses
import json
import sys

from twisted.internet import defer, reactor, task
from twisted.web import resource, server

from standins import key_value_store, stand_in_program

MAX_VALUE_BYTES = 1024 * 1024
MAX_WAIT_S = 600.0
KV_PATH = "/v1/kv/"
SESSION_PATH = "/v1/session/"


@dataclasses.dataclass
class Faults:
    """Faults of the service.

    :param down: whether each connection is aborted before the call has any effect.
    :param slow_s: delay before each call takes effect.
    :param lose_answers: number of the next writes that take effect without an answer.
    """

    down: bool = False
    slow_s: float = 0.0
    lose_answers: int = 0


class KeyValueResource(resource.Resource):
    """The resource of all paths of the service.

    :ivar calls: number of calls by kind.
    """

    isLeaf = True  # noqa: N815

    def __init__(self, clock=reactor):
        super().__init__()
        self.store = key_value_store.Store(clock)
        self.faults = Faults()
        self.calls: collections.Counter = collections.Counter()
        self._clock = clock

    def render(self, request: server.Request) -> int:
        """Start to handle a call; its answer is written later."""
        answered = defer.ensureDeferred(self._answer(request))
        answered.addErrback(lambda failure: failure.printTraceback(sys.stderr))
        return server.NOT_DONE_YET

    async def _answer(self, request: server.Request) -> None:
        disconnections: list[object] = []
        request.notifyFinish().addErrback(disconnections.append)
        path = request.path.decode()
        if path.startswith("/admin/"):
            self._reply(request, 200, self._handle_admin_call(path, request))
            return
        self.calls[self._classify_call(request, path)] += 1
        if self.faults.down:
            request.transport.abortConnection()
            return
        if self.faults.slow_s:
            await task.deferLater(self._clock, self.faults.slow_s, lambda: None)
        if path.startswith(SESSION_PATH):
            status, body = self._handle_session_call(path, request)
        elif path.startswith(KV_PATH):
            status, body = await self._handle_key_call(
                path.removeprefix(KV_PATH), request
            )
        else:
            status, body = 404, "no such path"
        if disconnections:
            return
        if request.method != b"GET" and self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            request.transport.abortConnection()
            return
        self._reply(request, status, body)

    def _classify_call(self, request: server.Request, path: str) -> str:
        if request.method == b"GET":
            return "watch" if b"index" in request.args else "read"
        return "session" if path.startswith(SESSION_PATH) else "write"

    def _reply(self, request: server.Request, status: int, body: object) -> None:
        request.setResponseCode(status)
        request.setHeader(b"content-type", b"application/json")
        request.write(json.dumps(body).encode())
        request.finish()

    def _handle_admin_call(self, path: str, request: server.Request) -> object:
        if path == "/admin/faults" and request.method == b"PUT":
            changes = json.loads(request.content.read())
            self.faults = dataclasses.replace(self.faults, **changes)
            return dataclasses.asdict(self.faults)
        if path == "/admin/save":
            return self.store.save()
        if path == "/admin/restore":
            return self.store.restore()
        return {**self.calls, "total": sum(self.calls.values())}

    def _handle_session_call(
        self, path: str, request: server.Request
    ) -> tuple[int, object]:
        action, _, session_id = path.removeprefix(SESSION_PATH).partition("/")
        if action == "create":
            options = json.loads(request.content.read())
            ttl_s = float(options["TTL"].removesuffix("s"))
            return 200, {"ID": self.store.create_session(ttl_s)}
        if action == "renew":
            if self.store.renew_session(session_id):
                return 200, [{"ID": session_id}]
            return 404, f"session {session_id} does not exist"
        if action == "destroy":
            self.store.destroy_session(session_id)
            return 200, True
        return 404, "no such path"

    async def _handle_key_call(
        self, key: str, request: server.Request
    ) -> tuple[int, object]:
        if request.method == b"GET":
            return await self._read_key(key, request)
        if request.method == b"DELETE":
            return 200, self.store.delete(key, _get_number_argument(request, b"cas"))
        value = request.content.read()
        if len(value) > MAX_VALUE_BYTES:
            return 413, f"value exceeds {MAX_VALUE_BYTES} bytes"
        if b"acquire" in request.args:
            return 200, self.store.acquire(
                key, value, stand_in_program.get_argument(request, b"acquire")
            )
        if b"release" in request.args:
            return 200, self.store.release(
                key, stand_in_program.get_argument(request, b"release")
            )
        return 200, self.store.put(key, value, _get_number_argument(request, b"cas"))

    async def _read_key(self, key: str, request: server.Request) -> tuple[int, object]:
        index = _get_number_argument(request, b"index")
        if index:
            wait = stand_in_program.get_argument(request, b"wait") or "60s"
            wait_s = float(wait.removesuffix("s"))
            await self.store.wait_for_change(key, index, min(wait_s, MAX_WAIT_S))
        self.store.expire_sessions()
        request.setHeader(
            b"x-consul-index", str(self.store.get_key_index(key)).encode()
        )
        entry = self.store.entries.get(key)
        if entry is None:
            return 404, []
        description = {
            "Key": key,
            "Flags": 0,
            "Value": base64.b64encode(entry.value).decode(),
            "CreateIndex": entry.create_index,
            "ModifyIndex": entry.modify_index,
            "LockIndex": entry.lock_index,
        }
        if entry.session:
            description["Session"] = entry.session
        return 200, [description]


def _get_number_argument(request: server.Request, name: bytes) -> int | None:
    text = stand_in_program.get_argument(request, name)
    return int(text) if text else None


def main() -> None:
    """Serve until the process is stopped."""
    parser = stand_in_program.make_parser("key-value service stand-in")
    stand_in_program.serve(KeyValueResource(), parser.parse_args())


if __name__ == "__main__":
    main()
