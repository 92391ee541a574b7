import hashlib
import json
import pathlib
import tempfile

import testtools

from toucanspread.core import data
from toucanspread.core.transfers import manifest
from toucanspread.ops import weight_files

MODEL = data.ModelName("redactor")
SIZE_BYTES = 64 * 1024


class WeightFilesTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        temporary = tempfile.TemporaryDirectory()
        self.addCleanup(temporary.cleanup)
        self.root = pathlib.Path(temporary.name)

    def sample(self, name, seed):
        directory = self.root / name
        weight_files.make_sample(directory, seed, SIZE_BYTES)
        return directory

    def build(self, directory):
        return weight_files.build_manifest(
            directory, MODEL, data.VersionName("v"), 4096
        )

    def test_weights_hash_covers_all_files_in_order(self):
        directory = self.sample("v1", seed=1)
        built = self.build(directory)
        digest = hashlib.sha256()
        for entry in built.files:
            digest.update((directory / entry.path).read_bytes())
        self.assertEqual(digest.hexdigest(), built.weights_hash)
        self.assertEqual(["letters"], [adapter.name for adapter in built.adapters])

    def test_versions_share_the_chunks_of_their_common_shard(self):
        one = manifest.list_pieces(self.build(self.sample("v1", seed=1)))
        other = manifest.list_pieces(self.build(self.sample("v2", seed=2)))
        shared = {piece.chunk_hash for piece in one}
        shared &= {piece.chunk_hash for piece in other}
        self.assertTrue(SIZE_BYTES // 4096 // 2 <= len(shared) < len(one))

    def test_truncated_file_is_refused(self):
        directory = self.sample("v1", seed=1)
        shard = next(directory.glob("*.safetensors"))
        shard.write_bytes(shard.read_bytes()[:-1])
        self.assertRaises(weight_files.WeightsError, self.build, directory)

    def test_too_large_header_length_is_refused(self):
        directory = self.sample("v1", seed=1)
        shard = next(directory.glob("*.safetensors"))
        shard.write_bytes(b"\xff" * 8 + shard.read_bytes()[8:])
        self.assertRaises(weight_files.WeightsError, self.build, directory)

    def test_index_with_an_absent_tensor_is_refused(self):
        directory = self.sample("v1", seed=1)
        index = {"weight_map": {"absent": "model-00001-of-00002.safetensors"}}
        (directory / weight_files.INDEX_NAME).write_text(json.dumps(index))
        self.assertRaises(weight_files.WeightsError, self.build, directory)
