import msgspec
import testtools
from hypothesis import given
from hypothesis import strategies as st

from standins import transfer_simulation
from toucanspread.core.transfers import manifest


class ManifestTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.manifest = transfer_simulation.make_manifest(
            "v1", pieces=3, chunk_bytes=1000
        )

    def encode_with_changes(self, **fields):
        entry = msgspec.structs.replace(self.manifest.files[0], **fields)
        return manifest.encode(msgspec.structs.replace(self.manifest, files=(entry,)))

    def test_encoding_and_decoding_keeps_the_hash(self):
        decoded = manifest.decode(manifest.encode(self.manifest))
        self.assertEqual(
            manifest.hash_manifest(self.manifest), manifest.hash_manifest(decoded)
        )

    def test_unsafe_paths_are_rejected(self):
        for path in ("../x", "/x", "a//b", "a/./b", ""):
            payload = self.encode_with_changes(path=path)
            self.assertRaises(manifest.ManifestError, manifest.decode, payload)

    def test_sizes_that_do_not_match_the_chunks_are_rejected(self):
        for size_bytes in (0, 2000, 3001):
            payload = self.encode_with_changes(size_bytes=size_bytes)
            self.assertRaises(manifest.ManifestError, manifest.decode, payload)

    def test_repeated_chunk_is_listed_as_one_piece(self):
        twice = self.manifest.files[0].chunks[:2] * 2
        payload = self.encode_with_changes(chunks=twice, size_bytes=3500)
        pieces = manifest.list_pieces(manifest.decode(payload))
        self.assertEqual([0, 1000], [piece.offset_bytes for piece in pieces])

    @given(st.binary(max_size=200))
    def test_arbitrary_bytes_raise_only_manifest_errors(self, payload):
        try:
            manifest.decode(payload)
        except manifest.ManifestError:
            return
