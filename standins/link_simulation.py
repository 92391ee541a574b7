"""Links with limited bandwidth, and HTTP exchanges over them in virtual time.

Concurrent answers share a link segment by segment. An answer that its receiver abandons
stops after the segments that are already on their way.
"""

import asyncio
from collections.abc import Callable

from standins import virtual_time
from toucanspread.ops.http import http1, http1_client, http1_pool

SEGMENT_BYTES = 4_096
WINDOW_SEGMENTS = 8  # segments of an answer that may be on their way
HEAD_BYTES = 200
DELAY_S = 0.002


class Link:
    """One direction of a link.

    :param mbps: bandwidth in Mbit/s; it may be changed for what is sent later.
    :ivar sent_bytes: number of bytes that were sent over it.
    """

    def __init__(self, mbps: float):
        self.mbps = mbps
        self._free_at_s = 0.0
        self.sent_bytes = 0

    def reserve(self, at_s: float, size_bytes: int) -> float:
        """Send bytes that are ready at a time; return when they have been sent."""
        self.sent_bytes += size_bytes
        start_s = max(at_s, self._free_at_s)
        self._free_at_s = start_s + size_bytes * 8 / (self.mbps * 1_000_000)
        return self._free_at_s


class Machine:
    """A machine with its link and the server that runs on it.

    :ivar handle: answers an exchange; None if the machine does not respond.
    :ivar is_cut: whether nothing passes between this machine and the others.
    :ivar links: further links between this machine and all others.
    """

    def __init__(self, address: str, mbps: float):
        self.address = address
        self.uplink = Link(mbps)
        self.downlink = Link(mbps)
        self.links: list[Link] = []
        self.handle: Callable[[Exchange], None] | None = None
        self.is_cut = False


class Network:
    """Machines by address."""

    def __init__(self, loop: virtual_time.VirtualTimeLoop):
        self.loop = loop
        self.reactor = virtual_time.VirtualReactor(loop)
        self.machines: dict[str, Machine] = {}

    def add_machine(self, address: str, mbps: float) -> Machine:
        """Add a machine that does not respond yet."""
        machine = self.machines[address] = Machine(address, mbps)
        return machine

    def list_shared_links(self, source: Machine, target: Machine) -> list[Link]:
        """Return the links between two machines besides their own."""
        return [*source.links, *target.links]

    def send_message(
        self, source: Machine, target: Machine, size_bytes: int, receive: Callable
    ) -> None:
        """Send bytes that arrive as a whole, behind all that was sent before."""
        shared = self.list_shared_links(source, target)
        links = [source.uplink, *shared, target.downlink]
        self._pass_message((source, target), links, size_bytes, receive)

    def _pass_message(
        self,
        ends: tuple[Machine, Machine],
        links: list[Link],
        size_bytes: int,
        receive: Callable,
    ) -> None:
        if any(machine.is_cut for machine in ends):
            return
        if not links:
            receive()
            return
        at_s = links[0].reserve(self.loop.time(), size_bytes)
        delay_s = DELAY_S if len(links) == 1 else 0.0
        self.loop.call_at(
            at_s + delay_s, self._pass_message, ends, links[1:], size_bytes, receive
        )


class Exchange:
    """A request on its way, and its answer.

    :ivar is_first_on_connection: whether its connection carried no request before;
        connections are not simulated.
    """

    is_first_on_connection = True

    def __init__(
        self,
        network: Network,
        caller: Machine,
        server: Machine,
        head: http1.RequestHead,
        listener: http1_client.AnswerListener,
    ):
        self.head = head
        self.caller = caller
        self.on_disconnected = _do_nothing
        self._network = network
        self._server = server
        self._listener = listener
        self._is_closed = False
        self._is_answered = False

    def start(self) -> None:
        """Pass the request to the server."""
        self._network.loop.call_later(DELAY_S, self._arrive)

    def cancel(self) -> None:
        """Abandon the request."""
        if self._is_closed:
            return
        self._is_closed = True
        self._network.loop.call_later(DELAY_S, self._disconnect)

    def respond(self, status: int, headers=(), body: bytes = b"") -> None:
        """Send a complete answer."""
        if self._is_answered or self._is_closed:
            return
        self._is_answered = True
        length = http1.Header(b"Content-Length", b"%d" % len(body))
        self._network.loop.create_task(self._send(status, [*headers, length], body))

    @property
    def _is_cut(self) -> bool:
        return self.caller.is_cut or self._server.is_cut

    def _arrive(self) -> None:
        if self._is_closed or self._is_cut or self._server.handle is None:
            return
        self._server.handle(self)

    def _disconnect(self) -> None:
        if not self._is_answered:
            self.on_disconnected()

    async def _send(self, status: int, headers: list[http1.Header], body: bytes):
        loop = self._network.loop
        arrivals_s = [await self._send_segment(HEAD_BYTES)]
        head = http1.AnswerHead(status, headers)
        loop.call_at(arrivals_s[-1], self._receive, self._listener.on_head, head)
        for start in range(0, len(body), SEGMENT_BYTES):
            if self._is_closed or self._is_cut:
                return
            part = body[start : start + SEGMENT_BYTES]
            arrivals_s.append(await self._send_segment(len(part)))
            loop.call_at(
                arrivals_s[-1], self._receive, self._listener.on_body_data, part
            )
            if len(arrivals_s) >= WINDOW_SEGMENTS:
                await _sleep_until(loop, arrivals_s[-WINDOW_SEGMENTS])
        await _sleep_until(loop, arrivals_s[-1])
        self._receive(self._listener.on_end)

    async def _send_segment(self, size_bytes: int) -> float:
        """Return when the segment arrives, as soon as the server has sent it."""
        now_s = self._network.loop.time()
        at_s = self._server.uplink.reserve(now_s, size_bytes)
        await _sleep_until(self._network.loop, at_s)
        # Before the segment gets there, others may use the next links.
        shared = self._network.list_shared_links(self._server, self.caller)
        for link in [*shared, self.caller.downlink]:
            at_s = link.reserve(at_s, size_bytes)
        return at_s + DELAY_S

    def _receive(self, callback, *arguments) -> None:
        if self._is_cut:
            # The rest of the answer is of no use without the lost part.
            self._listener = _IGNORE
        elif not self._is_closed and self._listener is not _IGNORE:
            callback(*arguments)


class SimulatedPool(http1_pool.ConnectionPool):
    """A machine's pool of client connections, over simulated links."""

    def __init__(self, network: Network, machine: Machine):
        super().__init__(network.reactor)
        self._network = network
        self._machine = machine

    def send(self, address, render, listener, max_idle_s=None) -> Exchange:
        """Send a request; the listener receives its answer."""
        server = self._network.machines[address]
        head = _parse_request(render())
        exchange = Exchange(self._network, self._machine, server, head, listener)
        exchange.start()
        return exchange


class _IgnoringListener(http1_client.AnswerListener):
    """Ignores the rest of an answer of which a part was lost."""

    def on_head(self, head: http1.AnswerHead) -> bool:
        return False

    def on_body_data(self, part: bytes) -> None:
        return

    def on_end(self) -> None:
        return

    def on_failure(self, failure: http1_client.ExchangeFailure) -> None:
        return


_IGNORE = _IgnoringListener()


def _parse_request(request: bytes) -> http1.RequestHead:
    lines = request.partition(b"\r\n\r\n")[0].split(b"\r\n")
    method, target, _ = lines[0].split(b" ")
    headers = [http1.Header(*line.split(b": ", 1)) for line in lines[1:]]
    return http1.RequestHead(method, target, headers)


async def _sleep_until(loop: asyncio.AbstractEventLoop, at_s: float) -> None:
    await asyncio.sleep(max(at_s - loop.time(), 0.0))


def _do_nothing() -> None:
    return
