"""Fakes of the platform in virtual time, for simulations of whole systems."""

import collections

from standins import agreement_simulation
from toucanspread.core import data, effects, events
from toucanspread.core.transfers import manifest

CHUNK_BYTES = 64 * 1024


class FakeKeyValue(agreement_simulation.FakeKeyValue):
    """A fake key-value service that supports deletion."""

    def _apply(self, now_s: float, effect: data.Effect) -> events.KvAnswered:
        if not isinstance(effect, effects.KvDelete):
            return super()._apply(now_s, effect)
        _, version = self.values.get(effect.key, (b"", 0))
        if version != effect.expected_version:
            return self._answer(effect, data.KvStatus.CONFLICT, version=version)
        self.values.pop(effect.key, None)
        return self._answer(effect, data.KvStatus.OK)


class FakeEngine:
    """A fake engine with staging; it loads only versions that are staged completely.

    :ivar checks_fence: whether the engine refuses orders with an old fencing number.
    """

    def __init__(self, checks_fence: bool):
        self.checks_fence = checks_fence
        self.staging: dict[data.ChunkHash, bytes] = {}
        self.status = data.EngineStatus()

    def stage(self, chunk_hash: data.ChunkHash, payload: bytes) -> None:
        """Stage a chunk or a manifest."""
        self.staging[chunk_hash] = payload

    def order(self, order: effects.EngineOrder) -> events.EngineOrderAnswered:
        """Execute an order at once."""
        status = self.status
        if self.checks_fence and order.fence < status.fence:
            return events.EngineOrderAnswered(order.operation_id, False, True)
        digests = dict(status.digests)
        active_version = status.active_version
        accepted = True
        if order.kind is data.OrderKind.LOAD:
            accepted = self._load(order, digests)
        elif order.kind is data.OrderKind.ACTIVATE:
            accepted = order.version in digests
            active_version = order.version if accepted else active_version
        elif order.kind is data.OrderKind.UNLOAD:
            digests.pop(order.version, None)
        self.status = data.EngineStatus(
            max(status.fence, order.fence), active_version, digests, order.adapters
        )
        return events.EngineOrderAnswered(order.operation_id, accepted)

    def _load(self, order: effects.EngineOrder, digests: dict) -> bool:
        payload = self.staging.get(data.ChunkHash(order.manifest_hash))
        if payload is None:
            return False
        described = manifest.decode(payload)
        for piece in manifest.list_pieces(described):
            if piece.chunk_hash not in self.staging:
                return False
        digests[order.version] = described.weights_hash
        return True


class FakeOrigin:
    """A fake origin with manifests of generated chunks.

    :ivar sent_chunks: number of chunks served, by manifest.
    """

    def __init__(self):
        self.manifests: dict[data.ManifestHash, bytes] = {}
        self.sent_chunks: collections.Counter = collections.Counter()

    def publish(self, version: str, pieces: int, shared: int) -> manifest.Manifest:
        """Publish a version; all versions have the same first ``shared`` chunks."""
        hashes = []
        for number in range(pieces):
            name = f"shared-{number}" if number < shared else f"{version}-{number}"
            hashes.append(manifest.hash_content(name.encode()))
        entry = manifest.FileEntry(
            "model.safetensors", pieces * CHUNK_BYTES, tuple(hashes)
        )
        described = manifest.Manifest(
            data.ModelName("model"),
            data.VersionName(version),
            CHUNK_BYTES,
            manifest.hash_content(version.encode()),
            (entry,),
        )
        name = manifest.hash_manifest(described)
        self.manifests[name] = manifest.encode(described)
        return described


class FakePlainService:
    """A fake plain service that counts executions per idempotency key."""

    def __init__(self):
        self.executions: collections.Counter[str] = collections.Counter()
