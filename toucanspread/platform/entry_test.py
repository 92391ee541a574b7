"""Tests what an assembled entry answers while its copy of the store is old."""

import pathlib

import testtools
from twisted.internet import reactor

from toucanspread.core.view import store_view
from toucanspread.ops.http import http1
from toucanspread.platform import decoding, decoding_test, entry, settings

LONGEST_IN_FORCE_S = 3.0  # the platform's bound at 101 machines


class Exchange:
    """A caller's request and the answer to it."""

    def __init__(self, path, key):
        headers = [
            http1.Header(b"Host", b"hulo84.example"),
            http1.Header(b"X-Attempt-Id", b"id-1"),
            http1.Header(b"Api-Key", key),
        ]
        self.head = http1.RequestHead(b"POST", path, headers)
        self.status = None
        self.headers = []

    def respond(self, status, headers=(), body=b""):
        self.status = status
        self.headers = [header.name.lower() for header in headers]


class OldCopyTest(testtools.TestCase):
    def start_entry(self, age_s):
        listen = settings.Listen(
            **dict.fromkeys(("front", "readiness", "control", "directory"), "n:1")
        )
        process_settings = settings.Settings(
            "n", "10.0.0.1", "z", "r", settings.StoreSettings("store:1"), listen=listen
        )
        program = entry.Entry(process_settings, pathlib.Path("settings"), None)
        value = decoding_test.encode_json(decoding_test.CONFIG)
        change = store_view.KeyChange(decoding.CONFIGURATION_KEY, 1, value)
        confirmed_s = reactor.seconds() - age_s
        program._on_changes(program.view.replace([change], 1, confirmed_s))
        return program

    def ask(self, age_s, path=b"/a/x", key=b"k1"):
        exchange = Exchange(path, key)
        self.start_entry(age_s)._forwarder.on_request(exchange)
        return exchange

    def test_an_entry_with_a_current_copy_denies(self):
        self.assertEqual(404, self.ask(0.0, path=b"/b/x").status)
        self.assertEqual(401, self.ask(0.0, key=b"k9").status)

    def test_an_entry_does_not_deny_a_route_that_may_have_been_added(self):
        exchange = self.ask(LONGEST_IN_FORCE_S + 0.1, path=b"/b/x")
        self.assertEqual(503, exchange.status)
        self.assertIn(b"retry-after", exchange.headers)

    def test_an_entry_does_not_deny_a_key_that_may_have_been_added(self):
        exchange = self.ask(LONGEST_IN_FORCE_S + 0.1, key=b"k9")
        self.assertEqual(503, exchange.status)
        self.assertIn(b"retry-after", exchange.headers)
