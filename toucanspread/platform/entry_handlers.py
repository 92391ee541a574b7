"""What an entry answers besides callers' requests.

Callers ask it where to connect, the platform asks whether it serves, other processes of
the system ask for parts of its view and for weights, and send it reports.
"""

import typing
import urllib.parse

import msgspec
from twisted.internet import protocol, reactor

from toucanspread.core import data
from toucanspread.core.entry import cluster_state
from toucanspread.core.entry import data as entry_data
from toucanspread.core.weights import piece_placement
from toucanspread.ops import (
    http1,
    http1_server,
    logs,
    loop,
    piece_cache,
    process,
    view_sync,
)

if typing.TYPE_CHECKING:
    from toucanspread.platform import entry as program

ADDRESS_LIST_TTL_S = 2.0  # a stopping entry is out of callers' lists after this
JSON_TYPE = http1.Header(b"Content-Type", b"application/json")


class ReportReceiver(protocol.DatagramProtocol):
    """Takes engines' loads from beside them, and prompts sent by near entries.

    :param name: of this entry.
    """

    def __init__(self, cluster: cluster_state.ClusterState, name: str, zone: str):
        self._cluster = cluster
        self._name = name
        self._zone = zone
        self._decoder = msgspec.msgpack.Decoder(
            entry_data.EngineLoad | entry_data.PromptSent
        )

    def datagramReceived(self, datagram: bytes, addr) -> None:  # noqa: N802
        """Take in a report."""
        try:
            report = self._decoder.decode(datagram)
        except msgspec.MsgspecError as error:
            logs.write("report_unreadable", sender=addr[0], why=str(error))
            return
        self._cluster.apply_report(report, reactor.seconds())

    def send_prompt_notice(self, notice: entry_data.PromptSent) -> None:
        """Tell the other entries of the zone of a prompt."""
        payload = msgspec.msgpack.encode(notice)
        for record in self._cluster.directory.serving():
            if record.zone != self._zone or record.name == self._name:
                continue
            host, _, port = record.reports.rpartition(":")
            self.transport.write(payload, (host, int(port)))


class _InternalHandler(http1_server.RequestHandler):
    """Answers those who ask little and seldom.

    :param entry: the program that it speaks for.
    """

    def __init__(self, entry: "program.Entry"):
        self._entry = entry

    def get_limits(self) -> http1_server.Limits:
        """Return what those may take who ask."""
        return process.LOW_TRAFFIC_LIMITS

    def is_closing(self) -> bool:
        """Tell whether this entry is about to end."""
        return self._entry.is_leaving


class DirectoryHandler(_InternalHandler):
    """Tells callers where to connect, and the platform whether this entry serves."""

    def on_request(self, exchange: http1_server.Exchange) -> None:
        """Answer one of the two questions."""
        path, _, query = exchange.head.target.decode("latin-1").partition("?")
        if path == "/-/readyz":
            exchange.respond(200 if self._entry.is_ready else 503)
        elif path == "/-/resolve":
            self._send_addresses(exchange, urllib.parse.parse_qs(query))
        else:
            exchange.respond(404)

    def _send_addresses(
        self, exchange: http1_server.Exchange, query: dict[str, list[str]]
    ) -> None:
        entry = self._entry
        addresses = entry.cluster.directory.addresses_for(
            query.get("zone", [""])[0],
            query.get("region", [""])[0],
            entry.random_source,
        )
        if not addresses:
            exchange.respond(503)
            return
        body = msgspec.json.encode(
            {"addresses": addresses, "ttl_s": ADDRESS_LIST_TTL_S}
        )
        exchange.respond(200, [JSON_TYPE], body)


class ControlHandler(_InternalHandler):
    """Serves the system's other processes."""

    def on_request(self, exchange: http1_server.Exchange) -> None:
        """Hand on a part of the view, a manifest or a piece."""
        path, _, query = exchange.head.target.decode("latin-1").partition("?")
        arguments = {
            key: values[0] for key, values in urllib.parse.parse_qs(query).items()
        }
        try:
            if path == view_sync.EXCERPT_TARGET:
                self._entry.excerpts.on_request(
                    exchange,
                    int(arguments["after"]),
                    int(arguments["wait_ms"]) / 1000,
                    arguments["prefixes"],
                )
                return
            key = piece_placement.PieceKey(
                data.ModelName(arguments["model"]),
                int(arguments["version"]),
                int(arguments.get("number", piece_placement.MANIFEST_NUMBER)),
            )
        except (KeyError, ValueError):
            exchange.respond(400)
            return
        only_held = arguments.get("held") == "1"
        if path == piece_cache.PIECE_TARGET:
            loop.spawn(self._send_piece(exchange, key, only_held))
        elif path == piece_cache.MANIFEST_TARGET:
            loop.spawn(self._send_manifest(exchange, key, only_held))
        else:
            exchange.respond(404)

    async def _send_piece(
        self,
        exchange: http1_server.Exchange,
        key: piece_placement.PieceKey,
        only_held: bool,
    ) -> None:
        if only_held and self._entry.pieces.peek_piece(key) is None:
            exchange.respond(404)
            return
        try:
            piece = await self._entry.pieces.get_piece(key)
        except piece_cache.PieceError as error:
            logs.write("piece_missing", piece=key.text, why=str(error))
            exchange.respond(503)
            return
        exchange.respond(200, body=piece)

    async def _send_manifest(
        self,
        exchange: http1_server.Exchange,
        key: piece_placement.PieceKey,
        only_held: bool,
    ) -> None:
        if only_held and self._entry.pieces.peek_digests(key) is None:
            exchange.respond(404)
            return
        try:
            digests = await self._entry.pieces.get_digests(key.model, key.version)
        except piece_cache.PieceError as error:
            logs.write("manifest_missing", piece=key.text, why=str(error))
            exchange.respond(503)
            return
        exchange.respond(200, body=msgspec.msgpack.encode(digests))
