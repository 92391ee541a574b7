"""Tests how an entry handles the datagrams that other processes send it."""

import math
import random
from types import SimpleNamespace

import msgspec
import testtools
from twisted.internet import reactor, task

from toucanspread.core import data
from toucanspread.core.entry import (
    cluster_state,
    crash_evidence,
    entry_directory,
    guard_program,
)
from toucanspread.core.entry import data as entry_data
from toucanspread.ops.copies import excerpt_client
from toucanspread.ops.forwarding import crash_notices
from toucanspread.ops.http import http1
from toucanspread.platform import entry_handlers

SENDER = ("10.0.0.2", 9)


def make_entry():
    return entry_data.EngineEntry(
        "e",
        data.ServiceName("s"),
        data.Address("10.0.0.1:1"),
        data.ZoneName("z"),
        16,
        entry_data.EngineState.READY,
        born_ms=7,
    )


class FakeTransport:
    def __init__(self):
        self.written = []

    def write(self, payload, address):
        self.written.append((payload, address))


class FailingTransport(FakeTransport):
    """Fails to send to one host, as a socket does without a route or permission."""

    def __init__(self, host):
        super().__init__()
        self._host = host

    def write(self, payload, address):
        if address[0] == self._host:
            raise PermissionError(13, "Permission denied")
        super().write(payload, address)


class ExcerptRequestTest(testtools.TestCase):
    """A process of another version names fewer or more arguments."""

    TARGET = b"/excerpt?after=7&wait_ms=250&prefixes=a,b&compressed=1"

    def receive(self, target):
        requests = []

        def on_request(exchange, request, can_decompress):
            requests.append((request, can_decompress))

        excerpts = SimpleNamespace(on_request=on_request)
        program = SimpleNamespace(excerpts=excerpts, is_leaving=False)
        head = http1.RequestHead(b"GET", target, [])
        exchange = SimpleNamespace(head=head)
        entry_handlers.ControlHandler(program).on_request(exchange)
        return requests

    def test_a_request_of_an_earlier_version_is_not_answered_with_deltas(self):
        request = excerpt_client.ExcerptRequest(7, ("a", "b"), 0.25)
        self.assertEqual([(request, True)], self.receive(self.TARGET))
        target = self.TARGET + b"&deltas=0"
        self.assertEqual([(request, True)], self.receive(target))

    def test_a_request_that_accepts_deltas_is_answered_with_deltas(self):
        request = excerpt_client.ExcerptRequest(7, ("a", "b"), 0.25, 3, True)
        target = self.TARGET + b"&era=3&deltas=1&of_a_later_version=1"
        self.assertEqual([(request, True)], self.receive(target))


class OddArgumentTest(testtools.TestCase):
    def test_an_argument_that_is_no_number_of_its_kind_is_refused(self):
        responses = []
        for odd in (b"-1", b"9" * 400, b"1.5", b"%C2%B2", b""):
            for argument in (b"after=7", b"wait_ms=250"):
                name = argument.partition(b"=")[0]
                target = ExcerptRequestTest.TARGET.replace(argument, name + b"=" + odd)
                exchange = SimpleNamespace(
                    head=http1.RequestHead(b"GET", target, []),
                    respond=responses.append,
                )
                program = SimpleNamespace(excerpts=None, is_leaving=False)
                entry_handlers.ControlHandler(program).on_request(exchange)
        self.assertEqual([400] * 10, responses)


class ReportReceiverTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.cluster = cluster_state.ClusterState(8.0, 2.0)
        self.receiver = entry_handlers.ReportReceiver(self.cluster, "n1", "z")
        self.receiver.transport = FakeTransport()
        self.clock = task.Clock()
        self.clock.rightNow = reactor.seconds()
        self.receiver.crash_notices = crash_notices.CrashNotices(
            self.clock,
            random.Random(1),
            lambda: guard_program.Members("n1", ["n1", "n2"]),
            self.receiver.send_notice,
            lambda: None,
        )
        for name in ("n1", "n2"):
            addresses = [f"{name}:{port}" for port in (1, 2, 3)]
            record = entry_directory.EntryRecord(name, "z", "r", *addresses)
            self.cluster.directory.put(record)

    def receive(self, notice):
        self.receiver.datagramReceived(msgspec.msgpack.encode(notice), SENDER)

    def is_quarantined(self, part):
        call = entry_data.Call("id", "h", "/", None, prompt_parts=(part,))
        return self.receiver.crash_notices.guard.is_quarantined(call)

    def test_an_announced_quarantine_is_in_force_and_announced_again(self):
        self.receive(entry_data.PartsQuarantined(("P",), 0.0, 0, 30.0))
        self.assertTrue(self.is_quarantined("P"))
        self.clock.advance(1.1)
        ((payload, address),) = self.receiver.transport.written
        self.assertEqual(("n2", 3), address)
        decoder = msgspec.msgpack.Decoder(entry_data.EngineNotice)
        self.assertEqual(("P",), decoder.decode(payload).parts)

    def test_a_malformed_notice_harms_nothing(self):
        self.receive({"type": "PartsQuarantined", "parts": [], "idle_s": 0.0})
        self.receive({"type": "CrashSuspected", "parts": ["P"] * 99})
        self.receiver.datagramReceived(b"\xff\x00", SENDER)
        self.receive(entry_data.PartsQuarantined(("P",), 0.0, 0, 30.0))
        self.assertTrue(self.is_quarantined("P"))
        self.assertFalse(self.is_quarantined("a"))

    def test_a_report_with_numbers_out_of_bounds_is_not_applied(self):
        entry = make_entry()
        self.cluster.registry.put(entry)
        sound = entry_data.EngineLoad(entry.address, 7, 0, 0, 1, False)
        for field in ("pace", "order_in_s", "link_delay_s", "coming_in_s"):
            for number in (math.nan, math.inf, -1.0):
                self.receive(msgspec.structs.replace(sound, **{field: number}))
        for field in ("active", "queued", "version", "coming_version"):
            self.receive(msgspec.structs.replace(sound, **{field: -1}))
        self.receive(msgspec.structs.replace(sound, born_ms=2**60))
        engine = self.cluster.registry.get("e")
        self.assertIsNone(engine.load)
        self.assertFalse(engine.was_restarted)
        self.receive(sound)
        self.assertEqual(sound, engine.load)

    def test_an_entry_that_takes_no_datagrams_keeps_none_from_the_others(self):
        addresses = ["10.0.0.3:1"] * 3
        record = entry_directory.EntryRecord("n0", "z", "r", *addresses)
        self.cluster.directory.put(record)
        self.receiver.transport = FailingTransport("10.0.0.3")
        self.receiver.send_prompt_notice(
            entry_data.PromptSent("e", data.ServiceName("s"), 1)
        )
        ((_, address),) = self.receiver.transport.written
        self.assertEqual(("n2", 3), address)

    def test_a_load_report_shows_that_an_engine_did_not_crash(self):
        entry = make_entry()
        self.cluster.registry.put(entry)
        self.receive(entry_data.CrashSuspected("e", 7, 1, ("P",)))
        evidence = self.receiver.crash_notices.guard.evidence
        load = entry_data.EngineLoad(entry.address, 7, 0, 0, 1, False)
        self.receive(load)
        incarnation = crash_evidence.Incarnation("e", 7)
        self.assertEqual({incarnation}, evidence.crashes())
        self.clock.advance(crash_evidence.ALIVE_AFTER_S + 0.1)
        self.receive(load)
        self.assertEqual(frozenset(), evidence.crashes())
