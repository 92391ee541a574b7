"""The manifest of a version: its files, cut into content-hashed chunks.

A chunk is a block of a file, addressed by the SHA-256 of its content. A piece is one of
the version's distinct chunks with its place in the files; pieces are numbered from 0 in
file order. A manifest is itself addressed by the SHA-256 of its canonical JSON, so the
hash in an intent identifies every byte of the weights.
"""

import hashlib

import msgspec

from toucanspread.core import data, decoder

MAX_MANIFEST_BYTES = 2 * 1024 * 1024
MAX_CHUNK_BYTES = 2 * 1024 * 1024  # messages between processes hold up to 4 MiB
HASH_HEX_DIGITS = 64  # SHA-256
NO_CHUNK_HASH = data.ChunkHash("")


class ManifestError(Exception):
    """Raised when bytes are not a valid manifest."""


class FileEntry(data.Record):
    """One file of a version.

    :param chunks: the SHA-256 of each chunk; all but the last are ``chunk_bytes`` long.
    """

    path: str
    size_bytes: int
    chunks: tuple[data.ChunkHash, ...]


class AdapterFiles(data.Record):
    """The files that make up one adapter."""

    name: data.AdapterName
    paths: tuple[str, ...]


class Manifest(data.Record):
    """The files of a version, all that is needed to fetch and verify it.

    :param weights_hash: SHA-256 of all the files' bytes in order.
    """

    model: data.ModelName
    version: data.VersionName
    chunk_bytes: int
    weights_hash: str
    files: tuple[FileEntry, ...]
    adapters: tuple[AdapterFiles, ...] = ()


class Piece(data.Record):
    """A distinct chunk of a version and the place of its bytes in the files."""

    chunk_hash: data.ChunkHash
    path: str
    offset_bytes: int
    size_bytes: int


_decoder = decoder.JsonDecoder(Manifest)


def encode(manifest: Manifest) -> bytes:
    """Return the canonical JSON of a manifest, over which its hash is computed."""
    return msgspec.json.encode(manifest)


def hash_content(payload: bytes) -> data.ChunkHash:
    """Return the SHA-256 by which ``payload`` is addressed."""
    return data.ChunkHash(hashlib.sha256(payload).hexdigest())


def hash_manifest(manifest: Manifest) -> data.ManifestHash:
    """Return the hash by which a manifest is addressed."""
    return data.ManifestHash(hash_content(encode(manifest)))


def decode(payload: bytes) -> Manifest:
    """Return the manifest encoded in ``payload``.

    :raises ManifestError: when it is malformed or inconsistent.
    """
    if len(payload) > MAX_MANIFEST_BYTES:
        raise ManifestError(f"manifest of {len(payload)} bytes is too large")
    try:
        manifest = _decoder.decode(payload)
    except decoder.MalformedError as error:
        raise ManifestError(f"malformed manifest: {error}") from error
    _check_manifest(manifest)
    return manifest


def list_pieces(manifest: Manifest) -> tuple[Piece, ...]:
    """Return the pieces of a version: each distinct chunk once, in file order."""
    by_hash: dict[data.ChunkHash, Piece] = {}
    for entry in manifest.files:
        for piece in _cut_file(entry, manifest.chunk_bytes):
            by_hash.setdefault(piece.chunk_hash, piece)
    return tuple(by_hash.values())


def _cut_file(entry: FileEntry, chunk_bytes: int) -> list[Piece]:
    pieces = []
    for index, chunk_hash in enumerate(entry.chunks):
        offset_bytes = index * chunk_bytes
        size_bytes = min(chunk_bytes, entry.size_bytes - offset_bytes)
        pieces.append(Piece(chunk_hash, entry.path, offset_bytes, size_bytes))
    return pieces


def _check_manifest(manifest: Manifest) -> None:
    if not 0 < manifest.chunk_bytes <= MAX_CHUNK_BYTES:
        raise ManifestError(f"chunks of {manifest.chunk_bytes} bytes")
    if not _is_hash(manifest.weights_hash):
        raise ManifestError("weights_hash is not a SHA-256")
    paths = set()
    for entry in manifest.files:
        _check_file(entry, manifest.chunk_bytes)
        if entry.path in paths:
            raise ManifestError(f"file {entry.path!r} stands twice")
        paths.add(entry.path)
    for adapter in manifest.adapters:
        missing = set(adapter.paths) - paths
        if missing:
            raise ManifestError(f"adapter {adapter.name!r} lacks {sorted(missing)}")


def _check_file(entry: FileEntry, chunk_bytes: int) -> None:
    parts = entry.path.split("/")
    if not all(parts) or ".." in parts or "." in parts or "\\" in entry.path:
        raise ManifestError(f"unsafe path {entry.path!r}")
    if len(entry.chunks) != -(-entry.size_bytes // chunk_bytes):
        raise ManifestError(f"{entry.path!r}: chunk count contradicts its size")
    for chunk_hash in entry.chunks:
        if not _is_hash(chunk_hash):
            raise ManifestError(f"{entry.path!r}: {chunk_hash!r} is not a SHA-256")


def _is_hash(text: str) -> bool:
    return len(text) == HASH_HEX_DIGITS and not set(text) - set("0123456789abcdef")
