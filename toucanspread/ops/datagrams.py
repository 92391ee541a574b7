"""Sends datagrams whose loss the receivers tolerate."""

from toucanspread.ops.telemetry import metric_buffer


def send(transport, payload: bytes, address: str) -> None:
    """Send a datagram; one that cannot be sent counts as lost.

    :param transport: of the UDP port that sends it.
    :param address: ``ip:port`` of the receiver.
    """
    host, _, port = address.rpartition(":")
    try:
        transport.write(payload, (host, int(port)))
    except (OSError, ValueError):
        metric_buffer.count("datagrams_unsent")
