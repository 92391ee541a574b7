"""Tests which requests are the same to an engine."""

import testtools

from toucanspread.core.entry import data as entry_data
from toucanspread.core.entry import fingerprints


def make(method=b"POST", target=b"/a/x", body=b"q", **fields):
    usual = {"attempt_id": "1", "host": "h", "path": "/a/x", "key": None}
    call = entry_data.Call(**usual | fields)
    return fingerprints.make_fingerprint(method, target, body, call)


class FingerprintTest(testtools.TestCase):
    def test_a_request_that_comes_again_has_the_same_fingerprint(self):
        again = make(attempt_id="2", key="k", last_event_id="7", budget_s=1.0)
        self.assertEqual(make(key="k"), again)

    def test_other_requests_have_other_fingerprints(self):
        others = {
            make(key=None),
            make(key="k"),
            make(key=None, method=b"GET"),
            make(key=None, target=b"/a/x?1"),
            make(key=None, body=b"q2"),
            make(key=None, host="h2"),
        }
        self.assertEqual(6, len(others))

    def test_fields_can_not_be_shifted_into_each_other(self):
        self.assertNotEqual(
            make(target=b"/a", body=b"/b", key=""), make(target=b"/a/b", body=b"")
        )
        self.assertNotEqual(make(key="k", body=b"q"), make(key="", body=b"kq"))

    def test_a_fingerprint_is_short_enough_for_notices(self):
        self.assertLessEqual(len(make(key="k")), entry_data.MAX_PART_ID_LENGTH)
