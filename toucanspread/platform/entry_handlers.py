"""Handlers for what an entry serves besides callers' requests.

Callers ask for the addresses of entries, the platform checks readiness, and other
processes of the system ask for parts of the copy of the store and for weights, and send
reports.
"""

import abc
import random
import urllib.parse

import msgspec
from twisted.internet import protocol, reactor

from toucanspread.core import data, decoder
from toucanspread.core.entry import cluster_state, entry_directory, region_rules
from toucanspread.core.entry import data as entry_data
from toucanspread.core.view import store_position
from toucanspread.core.weights import piece_placement
from toucanspread.ops import datagrams, loop, process
from toucanspread.ops.copies import (
    call_ids,
    excerpt_client,
    excerpt_server,
    newer_values,
)
from toucanspread.ops.forwarding import crash_notices, forwarder
from toucanspread.ops.http import http1, http1_exchange, http1_server
from toucanspread.ops.pieces import manifest_match, piece_cache, piece_parts
from toucanspread.ops.telemetry import logs

ADDRESS_LIST_TTL_S = 2.0  # a stopping entry is in no caller's list after this time
JSON_TYPE = http1.Header(b"Content-Type", b"application/json")


class ReportReceiver(protocol.DatagramProtocol, forwarder.EntryNotifier):
    """Receives reports of sidecars and notices of entries, and sends such notices.

    :param name: of this entry.
    :param zone: of this entry.
    :ivar crash_notices: receives the notices of crashes; None before the start.
    """

    def __init__(self, cluster: cluster_state.ClusterState, name: str, zone: str):
        self.crash_notices: crash_notices.CrashNotices | None = None
        self._cluster = cluster
        self._name = name
        self._zone = zone
        self._decoder = decoder.MsgpackDecoder(entry_data.EngineNotice)

    def datagramReceived(self, datagram: bytes, addr) -> None:  # noqa: N802
        """Apply a report or a notice."""
        try:
            report = self._decoder.decode(datagram)
        except decoder.MalformedError as error:
            logs.write("report_unreadable", sender=addr[0], why=str(error))
            return
        self._apply(report)

    def send_prompt_notice(self, notice: entry_data.PromptSent) -> None:
        """Notify the other entries of the zone of a prompt sent to an engine."""
        serving = self._cluster.directory.serving()
        self._send(notice, [r for r in serving if r.zone == self._zone])

    def send_notice(
        self, notice: entry_data.LimitNotice | entry_data.CrashNotice
    ) -> None:
        """Notify the entries of all zones of a limit, or of crashes of engines."""
        # Leaving entries still send what their callers have on open connections.
        self._send(notice, self._cluster.directory.all_entries())

    def _apply(self, report: entry_data.EngineNotice) -> None:
        if isinstance(report, entry_data.CrashNotice):
            if self.crash_notices is not None:
                self.crash_notices.receive(report)
            return
        alive = self._cluster.apply_report(report, reactor.seconds())
        if self.crash_notices is not None:
            self.crash_notices.record_alive(alive)

    def _send(
        self,
        notice: entry_data.EngineNotice,
        records: list[entry_directory.EntryRecord],
    ) -> None:
        payload = msgspec.msgpack.encode(notice)
        for record in records:
            if record.name == self._name:
                continue
            datagrams.send(self.transport, payload, record.reports)


class EntryState(abc.ABC):
    """What the handlers serve of the program of an entry.

    :ivar is_leaving: whether it is shutting down.
    :ivar cluster: its view of the system.
    :ivar excerpts: serves its copy of the store.
    :ivar pieces: its pieces of weights.
    """

    is_leaving: bool
    cluster: cluster_state.ClusterState
    excerpts: excerpt_server.ExcerptServer
    pieces: piece_cache.PieceCache
    random_source: random.Random

    @property
    @abc.abstractmethod
    def is_ready(self) -> bool:
        """Return whether callers should connect to this entry."""


class _LowTrafficHandler(http1_server.RequestHandler):
    """Serves requests that are few and small.

    :param entry: the program whose state is served.
    """

    def __init__(self, entry: EntryState):
        self._entry = entry

    def get_limits(self) -> http1_server.Limits:
        """Return the limits of such requests."""
        return process.LOW_TRAFFIC_LIMITS

    def is_closing(self) -> bool:
        """Return whether this entry is leaving."""
        return self._entry.is_leaving


class DirectoryHandler(_LowTrafficHandler):
    """Serves the entries' addresses to callers, and readiness to the platform."""

    def on_request(self, exchange: http1_exchange.Exchange) -> None:
        """Answer a readiness check or a request for addresses."""
        path, _, query = exchange.head.target.decode("latin-1").partition("?")
        if path == "/-/readyz":
            exchange.respond(200 if self._entry.is_ready else 503)
        elif path == "/-/resolve":
            self._send_addresses(exchange, urllib.parse.parse_qs(query))
        else:
            exchange.respond(404)

    def _send_addresses(
        self, exchange: http1_exchange.Exchange, query: dict[str, list[str]]
    ) -> None:
        entry = self._entry
        addresses = entry.cluster.directory.addresses_for(
            query.get("zone", [""])[0],
            query.get("region", [""])[0],
            entry.random_source,
            self._find_regions(query.get("name", [""])[0]),
        )
        if not addresses:
            exchange.respond(503)
            return
        body = msgspec.json.encode(
            {"addresses": addresses, "ttl_s": ADDRESS_LIST_TTL_S}
        )
        exchange.respond(200, [JSON_TYPE], body)

    def _find_regions(self, host: str) -> region_rules.Regions | None:
        table = self._entry.cluster.route_table
        return table.find_regions(host.lower()) if table is not None else None


class ControlHandler(_LowTrafficHandler):
    """Serves the other processes of the system."""

    def on_request(self, exchange: http1_exchange.Exchange) -> None:
        """Answer with an excerpt of the copy of the store, a manifest or a piece."""
        path, _, query = exchange.head.target.decode("latin-1").partition("?")
        arguments = {
            key: values[0] for key, values in urllib.parse.parse_qs(query).items()
        }
        try:
            if path == excerpt_client.EXCERPT_TARGET:
                request = excerpt_client.ExcerptRequest(
                    _parse_count(arguments["after"]),
                    tuple(arguments["prefixes"].split(",")),
                    _parse_count(arguments["wait_ms"]) / 1000,
                    _parse_count(arguments.get("era", str(store_position.UNKNOWN_ERA))),
                    arguments.get("deltas") == "1",
                    call_ids.parse(arguments.get(call_ids.ARGUMENT, "")),
                )
                can_decompress = arguments.get("compressed") == "1"
                self._entry.excerpts.on_request(exchange, request, can_decompress)
                return
            if path == newer_values.NEWER_VALUES_TARGET:
                request = newer_values.parse_request(arguments)
                self._entry.excerpts.on_newer_request(exchange, request, True)
                return
            key = piece_placement.PieceKey(
                data.ModelName(arguments["model"]),
                _parse_count(arguments["version"]),
                _parse_piece_number(arguments.get("number")),
            )
        except (KeyError, ValueError):
            exchange.respond(400)
            return
        only_held = arguments.get("held") == "1"
        if path == piece_cache.PIECE_TARGET:
            loop.spawn(self._send_piece(exchange, key, only_held))
        elif path == piece_cache.MANIFEST_TARGET:
            is_named = arguments.get("named") == "1"
            loop.spawn(self._send_manifest(exchange, key, only_held, is_named))
        else:
            exchange.respond(404)

    async def _send_piece(
        self,
        exchange: http1_exchange.Exchange,
        key: piece_placement.PieceKey,
        only_held: bool,
    ) -> None:
        if only_held and self._entry.pieces.peek_piece(key) is None:
            exchange.respond(404)
            return
        try:
            piece = await self._entry.pieces.get_piece(key)
        except piece_cache.NotYetError:
            exchange.respond(piece_cache.NOT_YET_STATUS)
            return
        except piece_cache.PieceError as error:
            logs.write("piece_missing", piece=key.text, why=str(error))
            exchange.respond(503)
            return
        byte_range = piece_parts.parse_range(exchange.head)
        if byte_range is None:
            exchange.respond(200, body=piece)
        elif byte_range.first >= len(piece):
            exchange.respond(416)
        else:
            header = piece_parts.make_content_range(byte_range, len(piece))
            part = piece[byte_range.first : byte_range.last + 1]
            exchange.respond(206, [header], part)

    async def _send_manifest(
        self,
        exchange: http1_exchange.Exchange,
        key: piece_placement.PieceKey,
        only_held: bool,
        is_named: bool,
    ) -> None:
        """Send a manifest.

        :param is_named: whether the process expects its model and version beside it, as
            those of an earlier release do not.
        """
        if only_held and self._entry.pieces.peek_digests(key) is None:
            exchange.respond(404)
            return
        try:
            digests = await self._entry.pieces.get_digests(key.model, key.version)
        except piece_cache.PieceError as error:
            logs.write("manifest_missing", piece=key.text, why=str(error))
            exchange.respond(503)
            return
        manifest = manifest_match.NamedManifest(key.model, key.version, digests)
        answer = manifest if is_named else digests
        exchange.respond(200, body=msgspec.msgpack.encode(answer))


def _parse_count(text: str) -> int:
    """Return a number that an argument contains.

    :raises ValueError: when it is none.
    """
    count = data.parse_count(text)
    if count is None:
        raise ValueError(f"{text[: data.MAX_COUNT_DIGITS]!r} is no number")
    return count


def _parse_piece_number(text: str | None) -> int:
    return piece_placement.MANIFEST_NUMBER if text is None else _parse_count(text)
