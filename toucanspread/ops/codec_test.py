import testtools

from toucanspread.core import data
from toucanspread.ops import codec

IDENTITY = data.Identity(
    data.InstanceId("brest-a-1"),
    data.Role.ENTRY,
    data.Incarnation(1),
    data.ZoneName("brest-a"),
    data.RegionName("finistere"),
    data.Address("127.0.0.1:1"),
)


class CodecTest(testtools.TestCase):
    def test_decode_returns_the_encoded_message(self):
        report = data.Report(IDENTITY, 3, data.MemberState.LIVE)
        payload = codec.encode(IDENTITY, report, b"body")
        self.assertEqual((IDENTITY, report, b"body"), codec.decode(payload))

    def test_unknown_wire_version_is_refused(self):
        payload = codec.encode(
            IDENTITY, data.Report(IDENTITY, 3, data.MemberState.LIVE)
        )
        changed = payload.replace(b"\xa7version\x01", b"\xa7version\x02", 1)
        self.assertRaises(codec.CodecError, codec.decode, changed)

    def test_malformed_envelope_is_refused(self):
        self.assertRaises(codec.CodecError, codec.decode, b"\x93junk")
