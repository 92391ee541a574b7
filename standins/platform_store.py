"""Stand-in for the platform's metadata store: its published calls over HTTP.

Run it with ``python -m standins.platform_store --port 8007``. The system may not write
keys of the operator and of engines; these are written with PUT, and deleted with
DELETE, on ``/admin/keys/KEY``, or with the methods of the state in the same process.
POST on ``/admin/drop-history`` drops the history, and POST on
``/admin/return-from-copy?age_ms=N`` takes the store back by so many milliseconds.
"""

import sys

import msgspec
from twisted.internet import defer, reactor
from twisted.web import resource, server

from standins import platform_store_data as store_data
from standins import platform_store_state as store_state
from standins import stand_in_program, store_copies

CALL_PATH = "/-/"
ADMIN_KEYS_PATH = "/admin/keys/"
ADMIN_HISTORY_PATH = "/admin/drop-history"
ADMIN_RETURN_PATH = "/admin/return-from-copy"
MAX_WAIT_MS = 30_000
STATUS_BY_ERROR = {
    store_data.InvalidCallError: 400,
    store_data.ProtectedKeyError: 403,
    store_data.LeaseEndedError: 404,
    store_data.HistoryGoneError: 410,
}


class _LeaseRequest(msgspec.Struct, frozen=True):
    ttl_ms: int


class PlatformStoreResource(resource.Resource):
    """The resource of all paths of the store.

    :param max_page_items: maximum number of items in a page of a range.
    :ivar failure_status: status of the answers to all calls of the system; None while
        it serves them.
    """

    isLeaf = True  # noqa: N815

    def __init__(self, clock=reactor, max_page_items: int = store_state.MAX_PAGE_ITEMS):
        super().__init__()
        self.state = store_state.State(clock, max_page_items)
        self.failure_status: int | None = None
        self._handlers = {
            (b"GET", "kv-key"): self._read_key,
            (b"GET", "kv-range"): self._read_range,
            (b"GET", "kv-watch"): self._watch,
            (b"POST", "kv-txn"): self._commit,
            (b"POST", "kv-lease"): self._grant_lease,
            (b"POST", "kv-keep"): self._renew_lease,
            (b"DELETE", "kv-lease-end"): self._end_lease,
        }

    def render(self, request: server.Request) -> int:
        """Start to handle a call; its answer is written later."""
        answered = defer.ensureDeferred(self._answer(request))
        answered.addErrback(lambda failure: failure.printTraceback(sys.stderr))
        return server.NOT_DONE_YET

    async def _answer(self, request: server.Request) -> None:
        disconnections: list[object] = []
        request.notifyFinish().addErrback(disconnections.append)
        try:
            status, body = await self._handle(request)
        except store_data.ConditionFailedError as error:
            status, body = 412, {"items": error.items}
        except store_data.CallRefusedError as error:
            status, body = STATUS_BY_ERROR[type(error)], {"why": str(error)}
        except (msgspec.MsgspecError, ValueError) as error:
            status, body = 400, {"why": str(error)}
        if disconnections:
            return
        request.setResponseCode(status)
        request.setHeader(b"content-type", b"application/json")
        request.setHeader(store_copies.ERA_HEADER, b"%d" % self.state.era)
        request.write(msgspec.json.encode(body))
        request.finish()

    async def _handle(self, request: server.Request) -> tuple[int, object]:
        path = request.path.decode()
        if path.startswith("/admin/"):
            return self._handle_admin_call(path, request)
        name, _, argument = path.removeprefix(CALL_PATH).partition("/")
        handler = self._handlers.get((request.method, name))
        if handler is None or not path.startswith(CALL_PATH):
            return 404, {"why": "no such call"}
        if self.failure_status is None:
            status, body = await handler(request, argument)
        # Watches may have waited until it failed.
        if self.failure_status is not None:
            return self.failure_status, {"why": "unavailable"}
        return status, body

    def _handle_admin_call(
        self, path: str, request: server.Request
    ) -> tuple[int, object]:
        if path == ADMIN_HISTORY_PATH and request.method == b"POST":
            self.state.drop_history()
            return 200, {}
        if path == ADMIN_RETURN_PATH and request.method == b"POST":
            self.state.return_from_copy(
                int(stand_in_program.get_argument(request, b"age_ms")) / 1000
            )
            return 200, {}
        if not path.startswith(ADMIN_KEYS_PATH):
            return 404, {"why": "no such call"}
        key = path.removeprefix(ADMIN_KEYS_PATH)
        if request.method == b"DELETE":
            return 200, {"revision": self.state.delete_unchecked(key)}
        value = request.content.read()
        return 200, {"revision": self.state.write_unchecked(key, value)}

    async def _read_key(self, request: server.Request, _) -> tuple[int, object]:
        item = self.state.get(stand_in_program.get_argument(request, b"key"))
        if item is None:
            return 404, {"store_revision": self.state.revision}
        fields = msgspec.to_builtins(item)
        return 200, {**fields, "store_revision": self.state.revision}

    async def _read_range(self, request: server.Request, _) -> tuple[int, object]:
        prefix = stand_in_program.get_argument(request, b"prefix")
        return 200, self.state.read_page(
            prefix, stand_in_program.get_argument(request, b"after")
        )

    async def _watch(self, request: server.Request, _) -> tuple[int, object]:
        prefix = stand_in_program.get_argument(request, b"prefix")
        after = int(stand_in_program.get_argument(request, b"after"))
        wait_ms = int(stand_in_program.get_argument(request, b"wait_ms"))
        if not 0 <= wait_ms <= MAX_WAIT_MS:
            raise store_data.InvalidCallError(f"wait of {wait_ms} ms")
        if not self.state.list_events(prefix, after):
            await self.state.wait_for_event(prefix, wait_ms / 1000)
        events = self.state.list_events(prefix, after)
        return 200, {"events": events, "store_revision": self.state.revision}

    async def _commit(self, request: server.Request, _) -> tuple[int, object]:
        body = request.content.read()
        transaction = msgspec.json.decode(body, type=store_data.Transaction)
        return 200, {"revision": self.state.commit(transaction)}

    async def _grant_lease(self, request: server.Request, _) -> tuple[int, object]:
        wanted = msgspec.json.decode(request.content.read(), type=_LeaseRequest)
        lease_id, ttl_s = self.state.grant_lease(wanted.ttl_ms / 1000)
        return 200, {"lease": lease_id, "ttl_ms": int(ttl_s * 1000)}

    async def _renew_lease(self, request, argument: str) -> tuple[int, object]:
        ttl_s = self.state.renew_lease(int(argument))
        return 200, {"lease": int(argument), "ttl_ms": int(ttl_s * 1000)}

    async def _end_lease(self, request, argument: str) -> tuple[int, object]:
        self.state.end_lease(int(argument))
        return 200, {}


def main() -> None:
    """Serve until the process is stopped."""
    parser = stand_in_program.make_parser("stand-in for the platform's store")
    stand_in_program.serve(PlatformStoreResource(), parser.parse_args())


if __name__ == "__main__":
    main()
