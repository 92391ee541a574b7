"""Tests how a process asks its peers for newer values than the store's."""

import asyncio
import urllib.parse

import msgspec
import testtools
from twisted.internet import task

from toucanspread.core import data
from toucanspread.core.view import store_view
from toucanspread.ops.copies import (
    excerpt_client,
    excerpt_server,
    excerpt_server_test,
    newer_values,
)
from toucanspread.platform import decoding

REQUEST = newer_values.NewerValuesRequest(("op/",), {"op/config": 5, "op/version/m": 3})


def make_view():
    """Return a copy with a configuration, a version of weights and an engine."""
    view = store_view.View(decoding.read_version)
    values = {
        "op/config": {"version": 6},
        "op/version/m": {"model": "m", "version": 3},
        "servers/e": {"version": 9},
    }
    items = [
        store_view.KeyChange(key, 1, msgspec.json.encode(value))
        for key, value in values.items()
    ]
    view.replace(items, 1, 0.0)
    return view


class FetchTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.targets = []
        self.patch(excerpt_client, "call", self.call)

    async def call(self, pool, address, target, timeout_s, stall_timeout_s):
        self.targets.append(target)
        if address != "sound:1":
            raise excerpt_client.ExcerptError("silent")
        change = store_view.KeyChange("op/config", 1, b"6")
        return store_view.Excerpt(1, 0.0, False, (change,))

    def fetch(self, *addresses):
        known = [data.Address(address) for address in addresses]
        return asyncio.run(newer_values.fetch_newer(None, known, REQUEST))

    def test_peers_that_fail_do_not_hide_the_answer_of_another(self):
        values = [change.value for change in self.fetch("a:1", "sound:1", "b:1")]
        self.assertEqual([b"6"], values)

    def test_a_process_without_peers_starts_with_what_the_store_has(self):
        self.assertEqual([], self.fetch())

    def test_a_request_is_understood_by_peers(self):
        self.fetch("sound:1")
        _, _, query = self.targets[0].partition("?")
        arguments = {k: v[0] for k, v in urllib.parse.parse_qs(query).items()}
        self.assertEqual(REQUEST, newer_values.parse_request(arguments))

    def test_malformed_versions_are_refused(self):
        for versions in ("", "[]", '{"a": "b"}', '{"a": 1'):
            arguments = {"prefixes": "op/", "versions": versions}
            self.assertRaises(ValueError, newer_values.parse_request, arguments)


class AnswerTest(testtools.TestCase):
    def answer(self, view, request=REQUEST):
        exchange = excerpt_server_test.Exchange()
        server = excerpt_server.ExcerptServer(view, task.Clock())
        server.on_newer_request(exchange, request)
        return exchange

    def test_a_process_without_a_copy_answers_at_once(self):
        view = store_view.View(decoding.read_version)
        self.assertEqual(503, self.answer(view).status)

    def test_only_newer_values_are_sent(self):
        exchange = self.answer(make_view())
        excerpt = msgspec.msgpack.decode(exchange.body, type=store_view.Excerpt)
        self.assertEqual(["op/config"], [change.key for change in excerpt.changes])

    def test_only_requested_prefixes_are_sent(self):
        request = newer_values.NewerValuesRequest(("op/version/",), {})
        exchange = self.answer(make_view(), request)
        excerpt = msgspec.msgpack.decode(exchange.body, type=store_view.Excerpt)
        self.assertEqual(["op/version/m"], [change.key for change in excerpt.changes])
