"""Simulates the transfers of many processes in virtual time.

The machines are the real reducers, and links are queues with a rate. The simulation
measures the decisions of the transfer policy, not a cluster: it has no process, socket
or engine. Faults are set on the endpoints and on the origin while it runs.
"""

import heapq
import itertools
import random
import time
from collections.abc import Callable

from toucanspread.core import data, effects, events, machine
from toucanspread.core.transfers import manifest, tracker, transfer, transfer_events

TICK_S = 0.1
LATENCY_S = 0.002
TIME_DIGITS = 6  # precision of times in a session file
MAX_QUEUED_UPLOADS = 4  # uploads of one sender, as in the transfer adapter
SLICES_PER_CHUNK = (
    4  # slices of a chunk; the origin serves requests in turn, slice by slice
)


class FakeMembership:
    """The fake membership of a process: the members that it knows."""

    def __init__(self):
        self.members: dict[data.InstanceId, Member] = {}


class Member:
    """A process in the fake membership."""

    def __init__(self, identity: data.Identity):
        self.identity = identity
        self.state = data.MemberState.LIVE
        self.report = None


class Upload:
    """A chunk in transit; ``remaining_bytes`` are not sent yet."""

    def __init__(self, size_bytes: int, done: Callable[[], None]):
        self.remaining_bytes = size_bytes
        self.done = done
        self.cancelled = False


class Uplink:
    """The uplink of a sender.

    :param slice_bytes: number of bytes after which the next upload gets its turn; 0 to
        send each upload in one piece.
    """

    def __init__(
        self, simulation: "TransferSimulation", rate_bytes_s: float, slice_bytes: int
    ):
        self._simulation = simulation
        self.rate_bytes_s = rate_bytes_s
        self._slice_bytes = slice_bytes
        self._queue: list[Upload] = []
        self._busy = False
        self.sent_bytes = 0

    def count_uploads(self) -> int:
        """Return the number of queued and running uploads."""
        self._queue = [upload for upload in self._queue if not upload.cancelled]
        return len(self._queue) + self._busy

    def send(self, upload: Upload) -> None:
        """Queue an upload."""
        self._queue.append(upload)
        if not self._busy:
            self._send_next_slice()

    def _send_next_slice(self) -> None:
        self._queue = [upload for upload in self._queue if not upload.cancelled]
        self._busy = bool(self._queue)
        if not self._busy:
            return
        upload = self._queue.pop(0)
        size_bytes = min(
            upload.remaining_bytes, self._slice_bytes or upload.remaining_bytes
        )
        delay_s = size_bytes / self.rate_bytes_s
        self._simulation.call_later(
            delay_s, lambda: self._on_slice_sent(upload, size_bytes)
        )

    def _on_slice_sent(self, upload: Upload, size_bytes: int) -> None:
        self.sent_bytes += size_bytes
        upload.remaining_bytes -= size_bytes
        if upload.remaining_bytes:
            self._queue.append(upload)
        elif not upload.cancelled:
            upload.done()
        self._send_next_slice()


class Endpoint:
    """An endpoint process, the staging of its engine and its links.

    :ivar staged: hashes of the chunks that are staged.
    :ivar completed_at_s: time at which each version was complete and verified.
    :ivar missing_when_staged: chunks that were not staged when the process reported
        their version as staged.
    :ivar uploads: uploads to this process, by fetch id; None before they start.
    """

    def __init__(
        self, simulation: "TransferSimulation", identity: data.Identity, seed: int
    ):
        self.identity = identity
        self.seed = seed
        self.is_alive = True
        self.processor_s = 0.0
        self.steps = 0
        self.stalled = False
        self.corrupting = False
        self.staged: set[data.ChunkHash] = set()
        self.completed_at_s: dict[data.ManifestHash, float] = {}
        self.failures: list[str] = []
        self.missing_when_staged: set[data.ChunkHash] = set()
        self.uplink = Uplink(simulation, simulation.rate_bytes_s, 0)
        self.downlink_free_s = 0.0
        self.downlink_bytes = 0
        self.uploads: dict[int, Upload | None] = {}
        self.fake_membership = FakeMembership()
        state = transfer.State(simulation.origin_region)
        node = machine.Node(
            identity, seed, transfer=state, membership=self.fake_membership
        )
        watch = {
            events.VersionStaged: self._on_staged,
            events.VersionFailed: self._on_failed,
        }
        self.machine = machine.Machine(node, [transfer.HANDLERS, watch])

    def _on_staged(self, node: machine.Node, event: events.VersionStaged) -> list:
        self.completed_at_s.setdefault(event.manifest_hash, node.now_s)
        self.missing_when_staged |= (
            node.transfer.current.piece_numbers.keys() - self.staged
        )
        return []

    def _on_failed(self, node: machine.Node, event: events.VersionFailed) -> list:
        self.failures.append(event.why)
        return []


class TransferSimulation:
    """Endpoint processes, one entry as the tracker, and an origin in virtual time.

    :param rate_bytes_s: rate of the uplink and of the downlink of each endpoint.
    :param origin_rate_bytes_s: rate of the uplink of the origin.
    :param slice_bytes: see :class:`Uplink`; for the origin.
    :param origin_region: region of the origin; empty if it is never cut off.
    :param loss: part of the messages that are lost.
    """

    def __init__(
        self,
        seed: int,
        rate_bytes_s: float,
        origin_rate_bytes_s: float,
        slice_bytes: int,
        origin_region: str = "",
        loss: float = 0.0,
    ):
        self.now_s = 0.0
        self.rate_bytes_s = rate_bytes_s
        self.origin_region = data.RegionName(origin_region)
        self.random = random.Random(seed)
        self.loss_ratio = loss
        self.origin = Uplink(self, origin_rate_bytes_s, slice_bytes)
        self.origin_refuses = False
        self.origin_corrupts: set[data.ChunkHash] = set()
        self.manifests: dict[data.ManifestHash, bytes] = {}
        self.endpoints: dict[data.Address, Endpoint] = {}
        self.cut_regions = False
        self.cross_region_bytes = 0
        self.messages = 0
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self._add_entry()

    def _add_entry(self) -> None:
        identity = self._identity("entry-1", data.Role.ENTRY, "zone-0", "region-0")
        members = FakeMembership()
        node = machine.Node(identity, 1, tracker=tracker.State(), membership=members)
        self.entry = machine.Machine(node, [tracker.HANDLERS])
        self.call_later(TICK_S, self._tick_entry)

    def _identity(self, name, role, zone, region, incarnation=1) -> data.Identity:
        return data.Identity(
            data.InstanceId(name),
            role,
            data.Incarnation(incarnation),
            data.ZoneName(zone),
            data.RegionName(region),
            data.Address(name),
        )

    def add_endpoint(
        self, name: str, zone: str = "zone-0", region: str = "region-0", incarnation=1
    ) -> Endpoint:
        """Start an endpoint process with an empty engine."""
        identity = self._identity(name, data.Role.ENDPOINT, zone, region, incarnation)
        endpoint = Endpoint(self, identity, self.random.getrandbits(32))
        self.endpoints[identity.address] = endpoint
        entry = self.entry.node.identity
        endpoint.fake_membership.members[entry.instance_id] = Member(entry)
        self.call_later(self.random.random() * TICK_S, lambda: self._tick(endpoint))
        return endpoint

    def publish(self, described: manifest.Manifest) -> data.ManifestHash:
        """Store a manifest at the origin and return its hash."""
        payload = manifest.encode(described)
        name = data.ManifestHash(manifest.hash_content(payload))
        self.manifests[name] = payload
        return name

    def request_version(
        self, endpoint: Endpoint, manifest_hash: data.ManifestHash, weight: float
    ) -> None:
        """Request a version at an endpoint."""
        event = events.VersionRequested(
            data.ModelName("model"),
            data.VersionName(manifest_hash[:8]),
            manifest_hash,
            weight,
        )
        self._step(endpoint, event)

    def cancel(self, endpoint: Endpoint, manifest_hash: data.ManifestHash) -> None:
        """Cancel the request for a version."""
        self._step(endpoint, events.VersionCancelled(manifest_hash))

    def kill(self, endpoint: Endpoint) -> None:
        """Kill a process; the entry learns of its death 5 s later."""
        endpoint.is_alive = False
        event = events.MemberChanged(endpoint.identity, data.MemberState.DEAD)
        self.call_later(5.0, lambda: self.entry.step(self.now_s, event))

    def call_later(self, delay_s: float, action: Callable[[], None]) -> None:
        """Call a function after a delay."""
        at_s = round(self.now_s + delay_s, TIME_DIGITS)
        item = (max(at_s, self.now_s), next(self._order), action)
        heapq.heappush(self._queue, item)

    def run(self, until: Callable[[], bool], limit_s: float) -> bool:
        """Advance the time until a condition holds; return whether it does."""
        ends_s = self.now_s + limit_s
        while self._queue and self._queue[0][0] <= ends_s:
            self.now_s, _, action = heapq.heappop(self._queue)
            action()
            if until():
                return True
        self.now_s = max(self.now_s, ends_s)
        return until()

    def is_complete_everywhere(self, manifest_hash: data.ManifestHash) -> bool:
        """Return whether every live endpoint has the version complete and verified."""
        return all(
            manifest_hash in endpoint.completed_at_s
            for endpoint in self.endpoints.values()
            if endpoint.is_alive
        )

    def _tick_entry(self) -> None:
        self._carry_out(None, self.entry.step(self.now_s, events.Tick()))
        self.call_later(TICK_S, self._tick_entry)

    def _tick(self, endpoint: Endpoint) -> None:
        if not endpoint.is_alive:
            return
        self._step(endpoint, events.Tick())
        self.call_later(TICK_S, lambda: self._tick(endpoint))

    def _step(self, endpoint: Endpoint, event: data.Event) -> None:
        if not endpoint.is_alive:
            return
        started_s = time.process_time()
        outputs = endpoint.machine.step(self.now_s, event)
        endpoint.processor_s += time.process_time() - started_s
        endpoint.steps += 1
        self._carry_out(endpoint, outputs)

    def _carry_out(self, sender: Endpoint | None, outputs: list[data.Effect]) -> None:
        for effect in outputs:
            if isinstance(effect, effects.Send):
                self._send(sender, effect)
            elif isinstance(effect, transfer_events.FetchFromPeer):
                self._fetch_from_peer(sender, effect)
            elif isinstance(effect, transfer_events.FetchFromOrigin):
                self._fetch_from_origin(sender, effect)
            elif isinstance(effect, transfer_events.CancelFetch):
                self._cancel_fetch(sender, effect.fetch_id)
            elif isinstance(effect, transfer_events.ListStaging):
                self._answer_later(
                    sender, lambda sender=sender: _make_staging_listed(sender)
                )
            elif isinstance(effect, transfer_events.ReadManifest):
                self._answer_later(
                    sender, lambda effect=effect: self._read_manifest(sender, effect)
                )
            elif isinstance(effect, transfer_events.DeleteChunks):
                sender.staged -= set(effect.chunk_hashes)

    def _read_manifest(
        self, endpoint: Endpoint, effect: transfer_events.ReadManifest
    ) -> transfer_events.ManifestRead:
        payload = None
        if effect.manifest_hash in endpoint.staged:
            payload = self.manifests[effect.manifest_hash]
        return transfer_events.ManifestRead(effect.manifest_hash, payload)

    def _answer_later(self, endpoint: Endpoint, make: Callable[[], data.Event]) -> None:
        self.call_later(LATENCY_S, lambda: self._step(endpoint, make()))

    def _is_cut(self, one: data.Identity, other: data.Identity) -> bool:
        return self.cut_regions and one.region != other.region

    def _is_origin_cut(self, receiver: Endpoint) -> bool:
        if not self.origin_region:
            return False
        return self.cut_regions and receiver.identity.region != self.origin_region

    def _send(self, sender: Endpoint | None, effect: effects.Send) -> None:
        self.messages += 1
        if self.random.random() < self.loss_ratio:
            return
        identity = sender.identity if sender else self.entry.node.identity
        event = events.MessageReceived(identity, effect.message)
        delay_s = LATENCY_S * (0.5 + self.random.random())
        self.call_later(delay_s, lambda: self._deliver(effect.to, event))

    def _deliver(self, address: data.Address, event: events.MessageReceived) -> None:
        target = self.endpoints.get(address)
        identity = target.identity if target else self.entry.node.identity
        if self._is_cut(event.sender, identity):
            return
        if target is None:
            self._carry_out(None, self.entry.step(self.now_s, event))
        elif not target.stalled:
            self._step(target, event)

    def _fetch_from_peer(
        self, receiver: Endpoint, effect: transfer_events.FetchFromPeer
    ) -> None:
        receiver.uploads[effect.fetch_id] = None
        self.call_later(
            effect.deadline_s, lambda: self._time_out(receiver, effect.fetch_id)
        )
        self.call_later(LATENCY_S, lambda: self._serve_peer(receiver, effect))

    def _serve_peer(
        self, receiver: Endpoint, effect: transfer_events.FetchFromPeer
    ) -> None:
        peer = self.endpoints[effect.address]
        if effect.fetch_id not in receiver.uploads:
            return
        if peer.stalled or self._is_cut(peer.identity, receiver.identity):
            return
        if not peer.is_alive:
            self._finish_fetch(
                receiver, effect.fetch_id, transfer_events.FetchStatus.FAILED
            )
            return
        held = peer.machine.node.transfer.held_hashes
        if effect.chunk_hash not in held or effect.chunk_hash not in peer.staged:
            held.discard(effect.chunk_hash)
            self._finish_fetch(
                receiver, effect.fetch_id, transfer_events.FetchStatus.ABSENT
            )
            return
        if peer.uplink.count_uploads() >= MAX_QUEUED_UPLOADS:
            self._finish_fetch(
                receiver, effect.fetch_id, transfer_events.FetchStatus.BUSY
            )
            return
        upload = Upload(
            effect.size_bytes or 1, lambda: self._receive_chunk(receiver, effect, peer)
        )
        receiver.uploads[effect.fetch_id] = upload
        peer.uplink.send(upload)

    def _fetch_from_origin(
        self, receiver: Endpoint, effect: transfer_events.FetchFromOrigin
    ) -> None:
        receiver.uploads[effect.fetch_id] = None
        if self._is_origin_cut(receiver):
            self.call_later(
                effect.stall_s, lambda: self._time_out(receiver, effect.fetch_id)
            )
            return
        if self.origin_refuses:
            self.call_later(
                LATENCY_S,
                lambda: self._finish_fetch(
                    receiver, effect.fetch_id, transfer_events.FetchStatus.FAILED
                ),
            )
            return
        upload = Upload(
            effect.size_bytes or 1, lambda: self._receive_chunk(receiver, effect, None)
        )
        receiver.uploads[effect.fetch_id] = upload
        self.origin.send(upload)

    def _receive_chunk(self, receiver: Endpoint, effect, peer: Endpoint | None) -> None:
        """Receive a chunk that was sent, once the receiver's downlink is free."""
        if peer is not None and (not peer.is_alive or peer.stalled):
            return
        if peer is not None and peer.identity.region != receiver.identity.region:
            self.cross_region_bytes += effect.size_bytes
        transfer_s = effect.size_bytes / self.rate_bytes_s
        done_s = max(self.now_s, receiver.downlink_free_s + transfer_s)
        receiver.downlink_free_s = done_s
        receiver.downlink_bytes += effect.size_bytes
        is_corrupt = effect.chunk_hash in self.origin_corrupts
        if peer is not None:
            is_corrupt = peer.corrupting
        status = transfer_events.FetchStatus.STAGED
        if is_corrupt:
            status = transfer_events.FetchStatus.CORRUPT
        self.call_later(
            done_s - self.now_s + LATENCY_S,
            lambda: self._finish_fetch(
                receiver, effect.fetch_id, status, effect.chunk_hash
            ),
        )

    def _finish_fetch(
        self,
        receiver: Endpoint,
        fetch_id: int,
        status: transfer_events.FetchStatus,
        chunk_hash: data.ChunkHash = manifest.NO_CHUNK_HASH,
    ) -> None:
        if fetch_id not in receiver.uploads:
            return
        del receiver.uploads[fetch_id]
        if status is transfer_events.FetchStatus.STAGED:
            receiver.staged.add(chunk_hash)
        else:
            chunk_hash = manifest.NO_CHUNK_HASH
        self._step(receiver, transfer_events.FetchEnded(fetch_id, status, chunk_hash))

    def _time_out(self, receiver: Endpoint, fetch_id: int) -> None:
        if fetch_id not in receiver.uploads:
            return
        self._stop_upload(receiver, fetch_id)
        self._finish_fetch(receiver, fetch_id, transfer_events.FetchStatus.STALLED)

    def _cancel_fetch(self, receiver: Endpoint, fetch_id: int) -> None:
        if fetch_id in receiver.uploads:
            self._stop_upload(receiver, fetch_id)
            del receiver.uploads[fetch_id]

    def _stop_upload(self, receiver: Endpoint, fetch_id: int) -> None:
        upload = receiver.uploads[fetch_id]
        if upload is not None:
            upload.cancelled = True


def _make_staging_listed(endpoint: Endpoint) -> transfer_events.StagingListed:
    return transfer_events.StagingListed(tuple(sorted(endpoint.staged)))


def make_manifest(
    version: str, pieces: int, chunk_bytes: int, shared: int = 0
) -> manifest.Manifest:
    """Return a manifest of generated chunks.

    :param shared: number of first chunks that are the same in all versions.
    """
    hashes = []
    for number in range(pieces):
        name = f"shared-{number}" if number < shared else f"{version}-{number}"
        hashes.append(manifest.hash_content(name.encode()))
    entry = manifest.FileEntry("model.safetensors", pieces * chunk_bytes, tuple(hashes))
    return manifest.Manifest(
        data.ModelName("model"),
        data.VersionName(version),
        chunk_bytes,
        manifest.hash_content(version.encode()),
        (entry,),
    )
