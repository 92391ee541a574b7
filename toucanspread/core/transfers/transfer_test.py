import testtools

from standins import transfer_simulation

CHUNK_BYTES = 1_000_000
PIECE_COUNT = 64
TARGET_S = 60.0
COPY_BYTES = PIECE_COUNT * CHUNK_BYTES


def make_swarm(endpoints, seed=1, regions=1, **options):
    swarm = transfer_simulation.TransferSimulation(
        seed,
        rate_bytes_s=2 * COPY_BYTES / TARGET_S,
        origin_rate_bytes_s=4 * COPY_BYTES / TARGET_S,
        slice_bytes=CHUNK_BYTES // transfer_simulation.SLICES_PER_CHUNK,
        **options,
    )
    for number in range(endpoints):
        region = number % regions
        zone = f"zone-{region}-{number // regions % 2}"
        swarm.add_endpoint(f"endpoint-{number}", zone, f"region-{region}")
    return swarm


def start_transfers(swarm, version="v1", weight=1.0, shared=0):
    described = transfer_simulation.make_manifest(
        version, PIECE_COUNT, CHUNK_BYTES, shared
    )
    manifest_hash = swarm.publish(described)
    for endpoint in swarm.endpoints.values():
        swarm.request_version(endpoint, manifest_hash, weight)
    return manifest_hash


def run_until_whole(swarm, manifest_hash, limit_s=600):
    return swarm.run(lambda: swarm.is_complete_everywhere(manifest_hash), limit_s)


def count_origin_copies(swarm):
    return swarm.origin.sent_bytes / COPY_BYTES


def list_endpoints(swarm):
    return list(swarm.endpoints.values())


def list_seeds(swarm):
    transfer = list_endpoints(swarm)[0].machine.node.transfer.current
    ids = {seed.instance_id for seed in transfer.seeds}
    return [
        endpoint
        for endpoint in list_endpoints(swarm)
        if endpoint.identity.instance_id in ids
    ]


class QuietBurstTest(testtools.TestCase):
    def test_one_copy_from_the_origin_suffices_for_all(self):
        swarm = make_swarm(8)
        manifest_hash = start_transfers(swarm)
        self.assertTrue(run_until_whole(swarm, manifest_hash))
        self.assertTrue(swarm.origin.sent_bytes <= 1.1 * COPY_BYTES)

    def test_shared_chunks_are_not_fetched_again(self):
        swarm = make_swarm(4)
        self.assertTrue(run_until_whole(swarm, start_transfers(swarm, "v1", shared=48)))
        bytes_before = swarm.origin.sent_bytes
        self.assertTrue(run_until_whole(swarm, start_transfers(swarm, "v2", shared=48)))
        fetched_bytes = swarm.origin.sent_bytes - bytes_before
        self.assertTrue(fetched_bytes <= 1.1 * 16 * CHUNK_BYTES)

    def test_lost_messages_do_not_prevent_completion(self):
        swarm = make_swarm(8, loss=0.2)
        manifest_hash = start_transfers(swarm)
        self.assertTrue(run_until_whole(swarm, manifest_hash))
        self.assertTrue(count_origin_copies(swarm) <= 4)


class FaultTest(testtools.TestCase):
    def assert_whole(self, swarm, manifest_hash, max_copies):
        self.assertTrue(run_until_whole(swarm, manifest_hash))
        self.assertTrue(
            count_origin_copies(swarm) <= max_copies, count_origin_copies(swarm)
        )

    def run_for(self, swarm, seconds):
        swarm.run(lambda: False, seconds)

    def test_peer_that_sends_corrupt_chunks_is_dropped_after_three(self):
        swarm = make_swarm(8)
        corrupt_endpoint = list_endpoints(swarm)[3]
        corrupt_endpoint.corrupting = True
        manifest_hash = start_transfers(swarm)
        self.assert_whole(swarm, manifest_hash, 2)
        for endpoint in list_endpoints(swarm):
            if endpoint is corrupt_endpoint:
                continue
            peers = endpoint.machine.node.transfer.current.peers
            peer = peers.by_id.get(corrupt_endpoint.identity.instance_id)
            self.assertTrue(peer is None or peer.corrupt_chunk_count < 3)

    def test_silent_peer_does_not_delay_others(self):
        swarm = make_swarm(8)
        manifest_hash = start_transfers(swarm)
        self.run_for(swarm, 5)
        silent = list_endpoints(swarm)[2]
        silent.stalled = True
        others = [
            endpoint for endpoint in list_endpoints(swarm) if endpoint is not silent
        ]
        done = swarm.run(
            lambda: all(
                manifest_hash in endpoint.completed_at_s for endpoint in others
            ),
            300,
        )
        self.assertTrue(done)
        self.assertTrue(count_origin_copies(swarm) <= 4)

    def test_pieces_of_a_dead_seed_are_taken_over(self):
        swarm = make_swarm(8)
        manifest_hash = start_transfers(swarm)
        self.run_for(swarm, 3)
        swarm.kill(list_seeds(swarm)[0])
        self.assert_whole(swarm, manifest_hash, 4)

    def test_pieces_are_taken_over_when_half_of_the_seeds_die(self):
        swarm = make_swarm(16)
        manifest_hash = start_transfers(swarm)
        self.run_for(swarm, 3)
        for seed in list_seeds(swarm)[:2]:
            swarm.kill(seed)
        self.assert_whole(swarm, manifest_hash, 4)

    def test_version_change_in_flight_keeps_shared_chunks(self):
        swarm = make_swarm(8)
        first = start_transfers(swarm, "v1", shared=32)
        self.run_for(swarm, 20)
        bytes_before = swarm.origin.sent_bytes
        for endpoint in list_endpoints(swarm):
            swarm.cancel(endpoint, first)
        second = start_transfers(swarm, "v2", shared=32)
        self.assertTrue(run_until_whole(swarm, second))
        self.assertFalse(
            any(first in endpoint.completed_at_s for endpoint in list_endpoints(swarm))
        )
        fetched_bytes = swarm.origin.sent_bytes - bytes_before
        self.assertTrue(fetched_bytes < COPY_BYTES, fetched_bytes)

    def test_transfer_completes_after_the_origin_refused_for_a_while(self):
        swarm = make_swarm(8)
        swarm.origin_refuses = True
        manifest_hash = start_transfers(swarm)
        self.run_for(swarm, 60)
        self.assertTrue(any(endpoint.failures for endpoint in list_endpoints(swarm)))
        swarm.origin_refuses = False
        self.assert_whole(swarm, manifest_hash, 1.5)

    def test_slow_origin_does_not_cause_extra_copies(self):
        swarm = make_swarm(8)
        swarm.origin.rate_bytes_s /= 10
        self.assert_whole(swarm, start_transfers(swarm), 1.5)

    def test_corrupt_chunk_of_the_origin_is_reported_and_no_peer_dropped(self):
        swarm = make_swarm(4)
        described = transfer_simulation.make_manifest("v1", PIECE_COUNT, CHUNK_BYTES)
        swarm.origin_corrupts.add(described.files[0].chunks[5])
        manifest_hash = start_transfers(swarm)
        self.assertFalse(run_until_whole(swarm, manifest_hash, 200))
        failures = [
            why for endpoint in list_endpoints(swarm) for why in endpoint.failures
        ]
        self.assertTrue(any("corrupt" in why for why in failures))
        for endpoint in list_endpoints(swarm):
            current = endpoint.machine.node.transfer.current
            self.assertEqual(PIECE_COUNT - 1, current.staged_count)
            self.assertEqual(3, len(current.peers.by_id))

    def test_restarted_empty_process_fetches_from_peers_only(self):
        swarm = make_swarm(8)
        manifest_hash = start_transfers(swarm)
        self.assert_whole(swarm, manifest_hash, 1.1)
        bytes_before = swarm.origin.sent_bytes
        old = list_endpoints(swarm)[4]
        swarm.kill(old)
        new = swarm.add_endpoint(
            old.identity.instance_id, old.identity.zone, incarnation=2
        )
        swarm.request_version(new, manifest_hash, 1.0)
        self.assert_whole(swarm, manifest_hash, 4)
        self.assertEqual(bytes_before, swarm.origin.sent_bytes)

    def test_transfer_completes_after_a_partition_of_regions(self):
        swarm = make_swarm(12, regions=2, origin_region="region-0")
        manifest_hash = start_transfers(swarm)
        self.run_for(swarm, 10)
        swarm.cut_regions = True
        origin_region = [
            endpoint
            for endpoint in list_endpoints(swarm)
            if endpoint.identity.region == "region-0"
        ]
        other_region = [
            endpoint
            for endpoint in list_endpoints(swarm)
            if endpoint not in origin_region
        ]
        done = swarm.run(
            lambda: all(
                manifest_hash in endpoint.completed_at_s for endpoint in origin_region
            ),
            200,
        )
        self.assertTrue(done)
        self.run_for(swarm, 60)
        self.assertTrue(any(endpoint.failures for endpoint in other_region))
        swarm.cut_regions = False
        self.assert_whole(swarm, manifest_hash, 4)

    def test_one_copy_crosses_to_another_region(self):
        swarm = make_swarm(12, regions=2, origin_region="region-0")
        self.assert_whole(swarm, start_transfers(swarm), 1.1)
        self.assertTrue(swarm.cross_region_bytes <= 1.1 * COPY_BYTES)
