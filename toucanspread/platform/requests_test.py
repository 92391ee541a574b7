"""Tests how the headers of callers' requests are read."""

import testtools

from toucanspread.core import bounds
from toucanspread.core.entry import data as entry_data
from toucanspread.ops.http import http1
from toucanspread.platform import requests

NO_NUMBERS = (b"", b"x", b"-1", b"1.5", b"\xb2", b"9" * 5_000)


class ReadCallTest(testtools.TestCase):
    def read(self, name, value):
        """Return the call of a request with one more header."""
        headers = [
            http1.Header(b"X-Attempt-Id", b"i"),
            http1.Header(b"Host", b"h"),
            http1.Header(name, value),
        ]
        head = http1.RequestHead(b"GET", b"/a/", headers)
        return requests.PlatformDialect().read_call(head)

    def test_numbers_are_read(self):
        self.assertEqual(2.5, self.read(b"X-Timeout-Ms", b" 2500").budget_s)
        self.assertEqual(80, self.read(b"X-Length-Hint", b"80").likely_tokens)
        usage = self.read(b"X-Token-Usage", b"1460, 80")
        self.assertEqual((1460, 80), (usage.prompt_tokens, usage.output_tokens))

    def test_what_is_no_number_counts_as_missing(self):
        for value in NO_NUMBERS:
            self.assertIsNone(self.read(b"X-Timeout-Ms", value).budget_s)
            self.assertEqual(0, self.read(b"X-Length-Hint", value).likely_tokens)
            usage = self.read(b"X-Token-Usage", b"1," + value)
            self.assertEqual((0, 0), (usage.prompt_tokens, usage.output_tokens))

    def test_more_tokens_than_any_request_has_count_as_missing(self):
        for value in (b"10000001", b"9" * 18):
            self.assertEqual(0, self.read(b"X-Length-Hint", value).likely_tokens)
            usage = self.read(b"X-Token-Usage", value + b",1")
            self.assertEqual((0, 0), (usage.prompt_tokens, usage.output_tokens))

    def test_the_shared_parts_of_a_prompt_are_read_without_the_last_part(self):
        cases = {
            b"5c1e07a2:800,91bd3f06:410,e4402b7d:250": ("5c1e07a2", "91bd3f06"),
            b" 5C1E:800 , 9:410,\te4:250 ": ("5c1e", "9"),
            b"5c1e:800": (),
            b",".join([b"a" * 64 + b":1"] * 32): ("a" * 64,) * 31,
        }
        for value, parts in cases.items():
            call = self.read(b"X-Prompt-Prefix", value)
            self.assertEqual(parts, call.prompt_parts)
            self.assertEqual(parts, tuple(p.part_id for p in call.sized_parts[:-1]))
        sizes = self.read(b"X-Prompt-Prefix", b"5c:800,91:410,e4:999999999")
        self.assertEqual(
            [800, 410, bounds.MAX_TOKENS], [p.tokens for p in sizes.sized_parts]
        )

    def test_a_malformed_list_of_parts_counts_as_none(self):
        for value in (
            b"",
            b",",
            b"a,b",
            b"a:1,b",
            b"a:1,,b:1",
            b"a:1,g:1,b:1",
            b"a:x,b:1",
            b"a:-1,b:1",
            b":1,b:1",
            b"a:1:1,b:1",
            b"a b:1,c:1",
            b"\xb2:1,b:1",
            b"a:" + b"9" * 19 + b",b:1",
            b"a" * 65 + b":1,b:1",
            b",".join([b"a:1"] * 33),
            b"," * 5_000,
        ):
            self.assertEqual((), self.read(b"X-Prompt-Prefix", value).prompt_parts)


class ReadAnswerTest(testtools.TestCase):
    def test_a_stream_is_recognised_however_its_type_is_written(self):
        cases = {
            b"text/event-stream": True,
            b"Text/Event-Stream ; charset=utf-8": True,
            b"text/event-streams": False,
            b"text/plain": False,
        }
        call = entry_data.Call("i", "h", "/", None)
        for value, is_stream in cases.items():
            head = http1.AnswerHead(200, [http1.Header(b"Content-Type", value)])
            answer = requests.PlatformDialect().read_answer(head, call)
            self.assertEqual(is_stream, answer.is_stream, value)
