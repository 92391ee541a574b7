import msgspec
import testtools
from hypothesis import given
from hypothesis import strategies as st

from standins import virtual_swarm
from toucanspread.core.transfers import manifest


class ManifestTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.made = virtual_swarm.make_manifest("v1", pieces=3, chunk_bytes=1000)

    def changed(self, **fields):
        entry = msgspec.structs.replace(self.made.files[0], **fields)
        return manifest.encode(msgspec.structs.replace(self.made, files=(entry,)))

    def test_round_trip_keeps_the_hash(self):
        decoded = manifest.decode(manifest.encode(self.made))
        self.assertEqual(
            manifest.hash_manifest(self.made), manifest.hash_manifest(decoded)
        )

    def test_paths_that_leave_the_directory_are_refused(self):
        for path in ("../x", "/x", "a//b", "a/./b", ""):
            payload = self.changed(path=path)
            self.assertRaises(manifest.ManifestError, manifest.decode, payload)

    def test_sizes_that_contradict_the_chunks_are_refused(self):
        for size_bytes in (0, 2000, 3001):
            payload = self.changed(size_bytes=size_bytes)
            self.assertRaises(manifest.ManifestError, manifest.decode, payload)

    def test_a_chunk_that_stands_twice_is_one_piece(self):
        twice = self.made.files[0].chunks[:2] * 2
        payload = self.changed(chunks=twice, size_bytes=3500)
        pieces = manifest.list_pieces(manifest.decode(payload))
        self.assertEqual([0, 1000], [piece.offset_bytes for piece in pieces])

    @given(st.binary(max_size=200))
    def test_any_bytes_decode_or_raise(self, payload):
        try:
            manifest.decode(payload)
        except manifest.ManifestError:
            return
