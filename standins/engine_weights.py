"""Staged chunks and loaded weights of the stand-in engine."""

import hashlib
import json


class OrderError(Exception):
    """An order or a staged chunk was refused.

    :param status: HTTP status of the refusal.
    :param detail: reason of the refusal.
    """

    def __init__(self, status: int, detail: str):
        super().__init__(detail)
        self.status = status


class Weights:
    """Staged chunks, loaded versions and the active version of an engine.

    :param ignore_fencing: whether orders with an old fencing number are executed.
    """

    def __init__(self, ignore_fencing: bool = False):
        self.staged: dict[str, bytes] = {}
        self.fence = 0
        self.role = "serve"
        self.active_version = ""
        self.digests: dict[str, str] = {}
        self.adapters: tuple[str, ...] = ()
        self.orders = 0
        self._ignore_fencing = ignore_fencing

    def stage(self, chunk_hash: str, payload: bytes) -> None:
        """Store a chunk.

        :raises OrderError: if the content does not have the hash.
        """
        if hashlib.sha256(payload).hexdigest() != chunk_hash:
            raise OrderError(400, f"content does not have the hash {chunk_hash}")
        self.staged[chunk_hash] = payload

    def unstage(self, chunk_hash: str) -> None:
        """Remove a chunk.

        :raises OrderError: if the chunk is not staged.
        """
        if self.staged.pop(chunk_hash, None) is None:
            raise OrderError(404, f"chunk {chunk_hash} is not staged")

    def carry_out(self, order: dict) -> None:
        """Execute an order.

        :raises OrderError: if the order is refused; versions and role do not change.
        """
        fence = int(order.get("fence", 0))
        if fence < self.fence and not self._ignore_fencing:
            raise OrderError(409, f"fencing number {fence} is below {self.fence}")
        self.fence = max(self.fence, fence)
        self.orders += 1
        kind = order.get("kind")
        if kind == "load":
            self._load(order)
        elif kind == "activate":
            self._activate(order)
        elif kind == "unload":
            self._unload(order)
        elif kind == "set role":
            self.role = str(order.get("role", "serve"))
        else:
            raise OrderError(400, f"unknown kind of order {kind!r}")

    def _load(self, order: dict) -> None:
        manifest = json.loads(self._get_staged_chunk(order["manifest_hash"]))
        digest = hashlib.sha256()
        for entry in manifest["files"]:
            size_bytes = 0
            for chunk_hash in entry["chunks"]:
                payload = self._get_staged_chunk(chunk_hash)
                size_bytes += len(payload)
                digest.update(payload)
            if size_bytes != entry["size_bytes"]:
                raise OrderError(422, f"{entry['path']} has {size_bytes} bytes")
        self.digests[order["version"]] = digest.hexdigest()
        adapters = [_get_adapter_name(item) for item in manifest.get("adapters", ())]
        self.adapters = tuple(sorted({*self.adapters, *adapters, *order["adapters"]}))

    def _activate(self, order: dict) -> None:
        if order["version"] not in self.digests:
            raise OrderError(422, f"version {order['version']!r} is not loaded")
        self.active_version = order["version"]

    def _unload(self, order: dict) -> None:
        self.digests.pop(order["version"], None)
        if self.active_version == order["version"]:
            self.active_version = ""

    def _get_staged_chunk(self, chunk_hash: str) -> bytes:
        payload = self.staged.get(chunk_hash)
        if payload is None:
            raise OrderError(422, f"chunk {chunk_hash} is not staged")
        return payload


def _get_adapter_name(item: object) -> str:
    return item["name"] if isinstance(item, dict) else str(item)
