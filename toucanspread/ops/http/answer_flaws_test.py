"""Tests that the head of one message is told from a mixture of two."""

import testtools

from toucanspread.ops.http import answer_flaws, http1

SINGULAR_HEADERS = (b"x-id", b"content-type")


def find(reason_phrase, *headers):
    head = http1.AnswerHead(200, [http1.Header(*header) for header in headers])
    return answer_flaws.find_flaw(reason_phrase, head, SINGULAR_HEADERS)


class FlawTest(testtools.TestCase):
    def test_a_status_line_within_a_head_is_found_wherever_it_stands(self):
        line = b"HTTP/1.1 500"
        expected = answer_flaws.AnswerFlaw.SECOND_STATUS_LINE
        for text in (line, b"O" + line, line + b" Error", b"a HTTP/1.0 404 No"):
            self.assertIs(expected, find(text), text)
            self.assertIs(expected, find(b"OK", (b"Server", text)), text)
            self.assertIs(expected, find(b"OK", (text, b"x")), text)

    def test_heads_of_one_message_have_no_flaw(self):
        self.assertIsNone(find(b"", (b"X-Id", b"7")))
        self.assertIsNone(find(b"HTTP version", (b"Via", b"HTTP/1.1 proxy")))
        self.assertIsNone(find(b"OK", (b"X-Id", b"7"), (b"x-id", b" 7 ")))
        self.assertIsNone(find(b"OK", (b"Link", b"a"), (b"Link", b"b")))

    def test_lines_of_one_singular_header_that_differ_are_a_conflict(self):
        expected = answer_flaws.AnswerFlaw.CONFLICTING_HEADERS
        self.assertIs(expected, find(b"OK", (b"X-Id", b"7"), (b"x-id", b"8")))
        self.assertIs(expected, find(b"OK", (b"x-id", b"7"), (b"X-Id", b"")))
