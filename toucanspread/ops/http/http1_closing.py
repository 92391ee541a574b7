"""Closing of accepted connections without loss of what was sent on them.

The kernel resets a connection that is closed while it holds unread bytes, or
to which bytes come afterwards. A reset takes away what the caller has not read yet. So
only the sending side is closed first, and the connection stays until the caller has
closed it too, or for a limited time.

A request that the caller sent while the connection was being closed is left unread, so
that the caller may repeat it. Only the rest of a refused request is read and discarded,
since its caller may read the refusal only after sending everything.
"""

import contextlib
import socket
import struct

# Time in s that a caller has for closing once it has acknowledged everything, and
# to any other one.
LINGER_S = 1.0
MAX_LINGER_S = 5.0
MAX_DISCARDED_BYTES = 8 * 1024 * 1024
MIN_CHECK_INTERVAL_S = 0.01
MAX_CHECK_INTERVAL_S = 0.25

# Kernel states of a connection, from linux/tcp.h
TCP_FIN_WAIT2 = 5
TCP_TIME_WAIT = 6
TCP_CLOSE = 7
ENDED_STATES = frozenset({TCP_TIME_WAIT, TCP_CLOSE})


def read_state(transport) -> int:
    """Return the kernel's state of a connection; closed if it can't be read."""
    try:
        info = transport.getHandle().getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)
    except OSError:
        return TCP_CLOSE
    return info[0]


def set_reset_at_close(transport, is_reset: bool) -> None:
    """Set whether the kernel resets a connection when it is closed, however it is."""
    option = struct.pack("ii", is_reset, 0)
    with contextlib.suppress(OSError):
        transport.getHandle().setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, option)


class OrderlyClose:
    """Closes one connection.

    :param discards: whether to read and discard what the caller still sends.
    """

    def __init__(self, transport, reactor, discards: bool):
        self._transport = transport
        self._reactor = reactor
        self._discards = discards
        self._discarded_bytes = 0
        self._sent_s = 0.0
        self._interval_s = MIN_CHECK_INTERVAL_S
        self._timer = None

    def start(self) -> None:
        """Close the sending side once everything written is in the kernel."""
        self._transport.pauseProducing()
        # The transport would not close while it has a paused producer.
        self._transport.unregisterProducer()
        self._transport.loseWriteConnection()

    def on_sent(self) -> None:
        """Wait for the caller now that the sending side is closed."""
        self._sent_s = self._reactor.seconds()
        if self._discards:
            self._transport.resumeProducing()
        self._schedule()

    def on_received(self, size_bytes: int) -> None:
        """Count bytes that were discarded, and stop reading at the limit."""
        self._discarded_bytes += size_bytes
        if self._discarded_bytes > MAX_DISCARDED_BYTES:
            self._transport.pauseProducing()

    def stop(self) -> None:
        """Stop the timer after the end of the connection."""
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._timer = None

    def _schedule(self) -> None:
        self._timer = self._reactor.callLater(self._interval_s, self._check)
        self._interval_s = min(2 * self._interval_s, MAX_CHECK_INTERVAL_S)

    def _check(self) -> None:
        if self._is_over():
            self._transport.loseConnection()
            return
        self._schedule()

    def _is_over(self) -> bool:
        state = read_state(self._transport)
        if state in ENDED_STATES:
            return True
        limit_s = LINGER_S if state == TCP_FIN_WAIT2 else MAX_LINGER_S
        return self._reactor.seconds() - self._sent_s >= limit_s
