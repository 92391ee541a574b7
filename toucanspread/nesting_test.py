"""Tests that deeply nested bytes of others are malformed to each of their readers."""

import asyncio
import json
import pathlib
import tempfile

import msgspec
import testtools
from twisted.internet import task

from toucanspread.core import data, sessions
from toucanspread.core.agreement import change_log, intents
from toucanspread.core.entry import data as entry_data
from toucanspread.core.entry import entry_directory
from toucanspread.core.gate import claim_table
from toucanspread.core.transfers import manifest
from toucanspread.core.view import store_view
from toucanspread.ops import codec, weight_files
from toucanspread.ops import engine as ops_engine
from toucanspread.ops import settings as ops_settings
from toucanspread.ops.copies import excerpt_codec, newer_values, prefix_store
from toucanspread.ops.http import http1, http1_pool
from toucanspread.ops.pieces import engine_control, piece_cache
from toucanspread.platform import decoding, engine, entry_handlers, settings, store

LEVEL_COUNT = 100_000
DEEP_LIST = b"[" * LEVEL_COUNT + b"]" * LEVEL_COUNT
DEEP_JSON = b'{"odd": ' + DEEP_LIST + b"}"
DEEP_MSGPACK = b"\x81\xa3odd" + b"\x91" * LEVEL_COUNT + b"\xc0"
SENDER = data.Identity(
    data.InstanceId("a"),
    data.Role.ENTRY,
    data.Incarnation(1),
    data.ZoneName("z"),
    data.RegionName("r"),
    data.Address("127.0.0.1:1"),
)


def nest(value):
    """Return the JSON of an object with one more field that is deeply nested."""
    return json.dumps(value).encode()[:-1] + b', "odd": ' + DEEP_LIST + b"}"


class Pool(http1_pool.ConnectionPool):
    """Answers each call with the same bytes."""

    def __init__(self, body):
        super().__init__(task.Clock())
        self._body = body

    async def call(self, *arguments, **options):
        return http1_pool.Reply(200, http1.AnswerHead(200, []), self._body)


class DeepNestingTest(testtools.TestCase):
    def write(self, name, payload):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        path = pathlib.Path(folder.name) / name
        path.write_bytes(payload)
        return path

    def check_refused(self, error, function, *arguments):
        raised = self.assertRaises(error, function, *arguments)
        self.assertNotIsInstance(raised, RecursionError)

    def check_answer_refused(self, error, answer):
        def wait():
            asyncio.run(answer())

        self.check_refused(error, wait)

    def test_values_of_the_store_are_ignored(self):
        configuration = nest({"version": 3, "routes": [], "services": []})
        named = nest({"model": "m", "version": 3})
        for key, value in (
            ("op/config", configuration),
            ("op/version/m", named),
            ("servers/i", nest({"service": "s"})),
            ("entries/e", DEEP_JSON),
        ):
            decoding.decode_change(store_view.KeyChange(key, 1, value))
            self.assertIsNone(decoding.read_version(key, value), key)
        self.assertIsNone(entry_directory.decode_record(DEEP_JSON))

    def test_answers_of_the_store_are_failed_calls(self):
        platform_store = store.PlatformStore(Pool(DEEP_JSON), "s:1")
        self.check_answer_refused(
            prefix_store.StoreError, lambda: platform_store.read_all("op/")
        )

    def test_answers_of_the_engine_and_the_origin_are_failed_calls(self):
        local = engine.LocalEngine(Pool(DEEP_JSON), "127.0.0.1:1", 1_000)
        local._report_pool = Pool(DEEP_JSON)
        origin = engine.Origin(
            Pool(DEEP_JSON), lambda: "127.0.0.1:1", lambda model: 1_000
        )
        self.check_answer_refused(engine_control.EngineError, local.read_report)
        self.check_answer_refused(
            engine_control.EngineError, lambda: local.list_pieces("m")
        )
        self.check_answer_refused(
            piece_cache.PieceError, lambda: origin.read_digests("m", 1)
        )
        self.check_refused(
            ops_engine.EngineError,
            ops_engine._decode_body,
            DEEP_JSON,
            manifest.Manifest,
        )

    def test_bytes_of_peers_are_malformed(self):
        deep_message = msgspec.msgpack.encode(
            {"version": 1, "sender": SENDER, "message": msgspec.Raw(DEEP_MSGPACK)}
        )
        self.check_refused(codec.CodecError, codec.decode, DEEP_MSGPACK)
        self.check_refused(codec.CodecError, codec.decode, deep_message)
        self.check_refused(
            excerpt_codec.ExcerptDecodeError,
            excerpt_codec.decode_excerpt,
            b"\x82\xa4type\xa7Excerpt" + DEEP_MSGPACK[1:],
        )
        arguments = {"prefixes": "op/", "versions": DEEP_LIST.decode()}
        self.check_refused(ValueError, newer_values.parse_request, arguments)
        self.check_refused(manifest.ManifestError, manifest.decode, DEEP_JSON)
        self.check_refused(claim_table.TableError, claim_table.decode, nest({"a": 1}))
        self.check_refused(change_log.ChangeLogError, change_log.decode_head, DEEP_LIST)

    def test_a_datagram_is_left_out(self):
        receiver = entry_handlers.ReportReceiver(None, "n", "z")
        notice = entry_data.PromptSent("e", data.ServiceName("s"), 1)
        fields = msgspec.msgpack.encode(notice)
        nested = bytes([fields[0] + 1]) + fields[1:] + DEEP_MSGPACK[1:]
        receiver.datagramReceived(nested, ("10.0.0.1", 1))

    def test_files_are_refused_with_a_reason(self):
        path = self.write("settings.json", DEEP_JSON)
        self.check_refused(settings.SettingsError, settings.Settings.from_file, path)
        path = self.write("settings.yaml", DEEP_JSON)
        self.check_refused(
            ops_settings.SettingsError, ops_settings.EntrySettings.from_file, path
        )
        header = len(DEEP_JSON).to_bytes(8, "little") + DEEP_JSON
        path = self.write("model.safetensors", header)
        self.check_refused(weight_files.WeightsError, weight_files.read_header, path)
        self.check_refused(ExceptionGroup, intents.parse, DEEP_LIST[:50_000].decode())
        self.check_refused(
            sessions.SessionError, sessions._decode_step, 1, DEEP_LIST.decode()
        )
