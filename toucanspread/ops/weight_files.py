"""Reads weights in the published safetensors layout and builds their manifests.

A version is a directory with one or more shards, ``model.safetensors.index.json``
when there are several, configuration files, and one directory for each adapter
below ``adapters/``.
"""

import hashlib
import json
import math
import pathlib
import random
import shutil
import struct

from toucanspread.core import data, decoder
from toucanspread.core.transfers import manifest

INDEX_NAME = "model.safetensors.index.json"
ADAPTERS_NAME = "adapters"
HEADER_LENGTH_BYTES = 8
MAX_HEADER_BYTES = 100_000_000  # the limit of the published format
DEFAULT_CHUNK_BYTES = 1024 * 1024
ELEMENT_BYTES = {
    "BOOL": 1,
    "U8": 1,
    "I8": 1,
    "F8_E4M3": 1,
    "F8_E5M2": 1,
    "U16": 2,
    "I16": 2,
    "F16": 2,
    "BF16": 2,
    "U32": 4,
    "I32": 4,
    "F32": 4,
    "U64": 8,
    "I64": 8,
    "F64": 8,
}


class WeightsError(Exception):
    """A directory does not hold usable weights."""


def build_manifest(
    directory: pathlib.Path,
    model: data.ModelName,
    version: data.VersionName,
    chunk_bytes: int = DEFAULT_CHUNK_BYTES,
) -> manifest.Manifest:
    """Validate a directory of weights and return its manifest.

    :raises WeightsError: when a file violates the safetensors format, or the index
        names a tensor that its shard lacks.
    """
    paths = sorted(path for path in directory.rglob("*") if path.is_file())
    if not any(path.suffix == ".safetensors" for path in paths):
        raise WeightsError(f"{directory} contains no safetensors file")
    tensors = {}
    for path in paths:
        if path.suffix == ".safetensors":
            tensors[path.relative_to(directory).as_posix()] = read_header(path)
    _check_index(directory, tensors)
    weights_digest = hashlib.sha256()
    files = []
    for path in paths:
        name = path.relative_to(directory).as_posix()
        files.append(_read_file(path, name, chunk_bytes, weights_digest))
    return manifest.Manifest(
        model=model,
        version=version,
        chunk_bytes=chunk_bytes,
        weights_hash=weights_digest.hexdigest(),
        files=tuple(files),
        adapters=_group_adapters(files),
    )


def read_header(path: pathlib.Path) -> dict[str, dict]:
    """Return the tensors that the header of a safetensors file declares.

    :raises WeightsError: when the header is inconsistent or contradicts the file size.
    """
    size_bytes = path.stat().st_size
    with path.open("rb") as stream:
        prefix = stream.read(HEADER_LENGTH_BYTES)
        if len(prefix) < HEADER_LENGTH_BYTES:
            raise WeightsError(f"{path.name}: file ends within the header length")
        (header_bytes,) = struct.unpack("<Q", prefix)
        if header_bytes > min(MAX_HEADER_BYTES, size_bytes - HEADER_LENGTH_BYTES):
            raise WeightsError(
                f"{path.name}: header of {header_bytes} bytes exceeds file or limit"
            )
        raw = stream.read(header_bytes)
    try:
        header = decoder.parse_json(raw)
    except decoder.MalformedError as error:
        raise WeightsError(f"{path.name}: malformed header: {error}") from error
    if not isinstance(header, dict):
        raise WeightsError(f"{path.name}: header is not a JSON object")
    header.pop("__metadata__", None)
    _check_tensors(path.name, header, size_bytes - HEADER_LENGTH_BYTES - header_bytes)
    return header


def publish(
    directory: pathlib.Path,
    origin_directory: pathlib.Path,
    built_manifest: manifest.Manifest,
) -> data.ManifestHash:
    """Copy a version to an origin's directory and return its manifest hash.

    The origin serves ``<hash>.json`` as the manifest, and the files below ``<hash>``.
    """
    name = manifest.hash_manifest(built_manifest)
    target = origin_directory / name
    if not target.exists():
        shutil.copytree(directory, target)
    (origin_directory / f"{name}.json").write_bytes(manifest.encode(built_manifest))
    return name


def make_sample(
    directory: pathlib.Path,
    seed: int,
    size_bytes: int,
    shared_seed: int = 0,
    adapters: tuple[str, ...] = ("letters",),
) -> None:
    """Write a small version with two shards, an index, a configuration and adapters.

    The first shard depends on ``shared_seed`` only, so that versions share its chunks.
    """
    shard_bytes = size_bytes // 2
    names = ("model-00001-of-00002.safetensors", "model-00002-of-00002.safetensors")
    directory.mkdir(parents=True, exist_ok=True)
    weight_map = {}
    shards = zip(names, (shared_seed, seed), strict=True)
    for number, (name, shard_seed) in enumerate(shards):
        tensor = f"model.layers.{number}.weight"
        weight_map[tensor] = name
        _write_shard(directory / name, tensor, shard_seed, shard_bytes)
    index = {"metadata": {"total_size": 2 * shard_bytes}, "weight_map": weight_map}
    (directory / INDEX_NAME).write_text(json.dumps(index, sort_keys=True))
    configuration = {"model_type": "sample", "seed": seed}
    (directory / "config.json").write_text(json.dumps(configuration))
    for name in adapters:
        adapter = directory / ADAPTERS_NAME / name
        adapter.mkdir(parents=True, exist_ok=True)
        _write_shard(adapter / "adapter_model.safetensors", "lora_A.weight", seed, 4096)
        (adapter / "adapter_config.json").write_text(json.dumps({"r": 8}))


def _write_shard(path: pathlib.Path, tensor: str, seed: int, size_bytes: int) -> None:
    element_count = size_bytes // ELEMENT_BYTES["F16"]
    size_bytes = element_count * ELEMENT_BYTES["F16"]
    declaration = {
        "dtype": "F16",
        "shape": [element_count],
        "data_offsets": [0, size_bytes],
    }
    header = json.dumps({tensor: declaration}).encode()
    header += b" " * (-len(header) % HEADER_LENGTH_BYTES)
    payload = random.Random(seed).randbytes(size_bytes)
    path.write_bytes(struct.pack("<Q", len(header)) + header + payload)


def _check_tensors(name: str, header: dict, payload_bytes: int) -> None:
    spans = []
    for tensor, declaration in header.items():
        try:
            begin, end = declaration["data_offsets"]
            expected_bytes = (
                math.prod(declaration["shape"]) * ELEMENT_BYTES[declaration["dtype"]]
            )
        except (KeyError, TypeError, ValueError) as error:
            raise WeightsError(
                f"{name}: malformed declaration of tensor {tensor!r}"
            ) from error
        if end - begin != expected_bytes:
            raise WeightsError(
                f"{name}: tensor {tensor!r} has {end - begin} bytes, "
                "which does not match its shape and dtype"
            )
        spans.append((begin, end))
    offset_bytes = 0
    for begin, end in sorted(spans):
        if begin != offset_bytes:
            raise WeightsError(
                f"{name}: gap or overlap of tensors at byte {offset_bytes}"
            )
        offset_bytes = end
    if offset_bytes != payload_bytes:
        raise WeightsError(
            f"{name}: {payload_bytes} bytes of tensors, {offset_bytes} declared"
        )


def _check_index(directory: pathlib.Path, tensors: dict[str, dict]) -> None:
    path = directory / INDEX_NAME
    if not path.exists():
        return
    try:
        weight_map = decoder.parse_json(path.read_bytes())["weight_map"]
    except (decoder.MalformedError, KeyError) as error:
        raise WeightsError(f"{INDEX_NAME}: malformed index") from error
    for tensor, shard in weight_map.items():
        if tensor not in tensors.get(shard, {}):
            raise WeightsError(f"{INDEX_NAME}: {shard} lacks tensor {tensor!r}")


def _read_file(path, name: str, chunk_bytes: int, weights_digest) -> manifest.FileEntry:
    chunks = []
    with path.open("rb") as stream:
        while payload := stream.read(chunk_bytes):
            weights_digest.update(payload)
            chunks.append(manifest.hash_content(payload))
    return manifest.FileEntry(name, path.stat().st_size, tuple(chunks))


def _group_adapters(
    files: list[manifest.FileEntry],
) -> tuple[manifest.AdapterFiles, ...]:
    paths_by_adapter: dict[str, list[str]] = {}
    for entry in files:
        parts = entry.path.split("/")
        if len(parts) > 2 and parts[0] == ADAPTERS_NAME:
            paths_by_adapter.setdefault(parts[1], []).append(entry.path)
    return tuple(
        manifest.AdapterFiles(data.AdapterName(name), tuple(paths))
        for name, paths in sorted(paths_by_adapter.items())
    )
