"""Stand-in for a server whose answers never end."""

from typing import NamedTuple

from twisted.internet import interfaces, protocol
from zope.interface import implementer

PART_BYTES = 16_384


class EndlessAnswer(NamedTuple):
    """An answer that begins like others and repeats a part until the caller closes.

    :param beginning: sent once.
    :param repeated: sent again and again.
    """

    beginning: bytes
    repeated: bytes


CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

ENDLESS_HEADS = {
    "header lines": EndlessAnswer(b"HTTP/1.1 200 OK\r\n", b"A: b\r\n"),
    "header value": EndlessAnswer(b"HTTP/1.1 200 OK\r\nA: ", b"a"),
    "header name": EndlessAnswer(b"HTTP/1.1 200 OK\r\n", b"a"),
    "reason phrase": EndlessAnswer(b"HTTP/1.1 200 ", b"a"),
    "interim answers": EndlessAnswer(b"", b"HTTP/1.1 102 Processing\r\n\r\n"),
    "chunk extension": EndlessAnswer(CHUNKED + b"1;", b"a"),
    "chunk extensions": EndlessAnswer(CHUNKED, b"1;%b\r\na\r\n" % (b"e" * 1_000)),
    "trailers": EndlessAnswer(CHUNKED + b"0\r\n", b"A: b\r\n"),
}
ENDLESS_BODIES = {
    "no framing": EndlessAnswer(b"HTTP/1.1 200 OK\r\n\r\n", b"a"),
    "chunks": EndlessAnswer(CHUNKED, b"1000\r\n%b\r\n" % (b"a" * 4_096)),
    "small chunks": EndlessAnswer(CHUNKED, b"1\r\na\r\n"),
    "length": EndlessAnswer(
        b"HTTP/1.1 200 OK\r\nContent-Length: 1000000000000\r\n\r\n", b"a"
    ),
}


STREAM = (
    b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
    b"X-Attempt-Id: id-1\r\nX-Response-Seal: s\r\n"
)
ENDLESS_ENGINE_ANSWERS = {
    "body": EndlessAnswer(
        b"HTTP/1.1 200 OK\r\nX-Attempt-Id: id-1\r\nX-Response-Seal: s\r\n\r\n", b"a"
    ),
    "late body": EndlessAnswer(
        b"HTTP/1.1 200 OK\r\nX-Attempt-Id: id-0\r\nX-Response-Seal: s\r\n\r\n", b"a"
    ),
    "event": EndlessAnswer(STREAM + b"\r\ndata: ", b"a"),
    "events": EndlessAnswer(STREAM + b"\r\n", b"data: a\n\n"),
}


@implementer(interfaces.IPullProducer)
class _EndlessConnection(protocol.Protocol):
    def __init__(self, factory: "EndlessServer"):
        self._server = factory
        self._part = b""
        self._is_answering = False

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Begin the answer at the first bytes of a request."""
        if self._is_answering:
            return
        self._is_answering = True
        answer = self._server.answer
        self._part = answer.repeated * max(PART_BYTES // len(answer.repeated), 1)
        self._write(answer.beginning)
        self.transport.registerProducer(self, False)

    def resumeProducing(self) -> None:  # noqa: N802
        """Send the repeated part again."""
        self._write(self._part)

    def stopProducing(self) -> None:  # noqa: N802
        """Do nothing; the connection is closed."""

    def connectionLost(self, reason=protocol.connectionDone) -> None:  # noqa: N802
        """Count the connections that are closed."""
        self._server.closed_count += 1

    def _write(self, part: bytes) -> None:
        self._server.sent_bytes += len(part)
        self.transport.write(part)


class EndlessServer(protocol.Factory):
    """Answers each connection's first request without end.

    :ivar answer: the answer.
    :ivar sent_bytes: number of bytes written to all connections.
    :ivar opened_count: number of connections that were opened.
    :ivar closed_count: number of connections that were closed.
    """

    noisy = False

    def __init__(self, answer: EndlessAnswer):
        self.answer = answer
        self.sent_bytes = 0
        self.opened_count = 0
        self.closed_count = 0

    def buildProtocol(self, addr) -> _EndlessConnection:  # noqa: N802
        """Return the protocol of a new connection."""
        self.opened_count += 1
        return _EndlessConnection(self)
