import testtools

from standins import virtual_swarm

CHUNK_BYTES = 1_000_000
PIECES = 64
WANTED_S = 60.0
COPY_BYTES = PIECES * CHUNK_BYTES


def new_swarm(endpoints, seed=1, regions=1, **options):
    swarm = virtual_swarm.VirtualSwarm(
        seed,
        rate_bytes_s=2 * COPY_BYTES / WANTED_S,
        origin_rate_bytes_s=4 * COPY_BYTES / WANTED_S,
        slice_bytes=CHUNK_BYTES // virtual_swarm.SLICES,
        **options,
    )
    for number in range(endpoints):
        region = number % regions
        zone = f"zone-{region}-{number // regions % 2}"
        swarm.add_endpoint(f"endpoint-{number}", zone, f"region-{region}")
    return swarm


def start(swarm, version="v1", weight=1.0, shared=0):
    made = virtual_swarm.make_manifest(version, PIECES, CHUNK_BYTES, shared)
    name = swarm.publish(made)
    for endpoint in swarm.endpoints.values():
        swarm.want(endpoint, name, weight)
    return name


def finish(swarm, name, limit_s=600):
    return swarm.run(lambda: swarm.all_whole(name), limit_s)


def copies(swarm):
    return swarm.origin.sent_bytes / COPY_BYTES


def members(swarm):
    return list(swarm.endpoints.values())


def seeds(swarm):
    transfer = members(swarm)[0].machine.node.transfer.current
    ids = {seed.instance_id for seed in transfer.seeds}
    return [one for one in members(swarm) if one.identity.instance_id in ids]


class QuietBurstTest(testtools.TestCase):
    def test_everyone_is_whole_with_one_copy_from_the_origin(self):
        swarm = new_swarm(8)
        name = start(swarm)
        self.assertTrue(finish(swarm, name))
        self.assertTrue(swarm.origin.sent_bytes <= 1.1 * COPY_BYTES)

    def test_shared_chunks_are_not_moved_again(self):
        swarm = new_swarm(4)
        self.assertTrue(finish(swarm, start(swarm, "v1", shared=48)))
        before = swarm.origin.sent_bytes
        self.assertTrue(finish(swarm, start(swarm, "v2", shared=48)))
        moved = swarm.origin.sent_bytes - before
        self.assertTrue(moved <= 1.1 * 16 * CHUNK_BYTES)

    def test_lost_messages_only_cost_time(self):
        swarm = new_swarm(8, loss=0.2)
        name = start(swarm)
        self.assertTrue(finish(swarm, name))
        self.assertTrue(copies(swarm) <= 4)


class FaultTest(testtools.TestCase):
    def assert_whole(self, swarm, name, most_copies):
        self.assertTrue(finish(swarm, name))
        self.assertTrue(copies(swarm) <= most_copies, copies(swarm))

    def run_for(self, swarm, seconds):
        swarm.run(lambda: False, seconds)

    def test_corrupt_peer_is_left_alone_after_three_strikes(self):
        swarm = new_swarm(8)
        bad = members(swarm)[3]
        bad.corrupting = True
        name = start(swarm)
        self.assert_whole(swarm, name, 2)
        for one in members(swarm):
            if one is bad:
                continue
            neighbours = one.machine.node.transfer.current.peers
            known = neighbours.by_id.get(bad.identity.instance_id)
            self.assertTrue(known is None or known.corrupt_chunk_count < 3)

    def test_silent_peer_does_not_hold_others_up(self):
        swarm = new_swarm(8)
        name = start(swarm)
        self.run_for(swarm, 5)
        silent = members(swarm)[2]
        silent.stalled = True
        others = [one for one in members(swarm) if one is not silent]
        done = swarm.run(lambda: all(name in one.whole_at_s for one in others), 300)
        self.assertTrue(done)
        self.assertTrue(copies(swarm) <= 4)

    def test_dying_seed_is_taken_over(self):
        swarm = new_swarm(8)
        name = start(swarm)
        self.run_for(swarm, 3)
        swarm.kill(seeds(swarm)[0])
        self.assert_whole(swarm, name, 4)

    def test_half_of_the_seeds_dying_together(self):
        swarm = new_swarm(16)
        name = start(swarm)
        self.run_for(swarm, 3)
        for seed in seeds(swarm)[:2]:
            swarm.kill(seed)
        self.assert_whole(swarm, name, 4)

    def test_version_change_in_flight_keeps_shared_chunks(self):
        swarm = new_swarm(8)
        first = start(swarm, "v1", shared=32)
        self.run_for(swarm, 20)
        before = swarm.origin.sent_bytes
        for one in members(swarm):
            swarm.cancel(one, first)
        second = start(swarm, "v2", shared=32)
        self.assertTrue(finish(swarm, second))
        self.assertFalse(any(first in one.whole_at_s for one in members(swarm)))
        moved = swarm.origin.sent_bytes - before
        self.assertTrue(moved < COPY_BYTES, moved)

    def test_origin_that_refuses_for_a_while(self):
        swarm = new_swarm(8)
        swarm.origin_refuses = True
        name = start(swarm)
        self.run_for(swarm, 60)
        self.assertTrue(any(one.failures for one in members(swarm)))
        swarm.origin_refuses = False
        self.assert_whole(swarm, name, 1.5)

    def test_slow_origin_is_not_asked_twice(self):
        swarm = new_swarm(8)
        swarm.origin.rate_bytes_s /= 10
        self.assert_whole(swarm, start(swarm), 1.5)

    def test_corrupt_chunk_of_the_origin_is_reported_and_nobody_struck(self):
        swarm = new_swarm(4)
        made = virtual_swarm.make_manifest("v1", PIECES, CHUNK_BYTES)
        swarm.origin_corrupts.add(made.files[0].chunks[5])
        name = start(swarm)
        self.assertFalse(finish(swarm, name, 200))
        failures = [why for one in members(swarm) for why in one.failures]
        self.assertTrue(any("corrupt" in why for why in failures))
        for one in members(swarm):
            current = one.machine.node.transfer.current
            self.assertEqual(PIECES - 1, current.staged_count)
            self.assertEqual(3, len(current.peers.by_id))

    def test_restarted_empty_process_starts_again_from_peers(self):
        swarm = new_swarm(8)
        name = start(swarm)
        self.assert_whole(swarm, name, 1.1)
        before = swarm.origin.sent_bytes
        old = members(swarm)[4]
        swarm.kill(old)
        new = swarm.add_endpoint(
            old.identity.instance_id, old.identity.zone, incarnation=2
        )
        swarm.want(new, name, 1.0)
        self.assert_whole(swarm, name, 4)
        self.assertEqual(before, swarm.origin.sent_bytes)

    def test_regions_cut_in_a_burst_and_joined_again(self):
        swarm = new_swarm(12, regions=2, origin_region="region-0")
        name = start(swarm)
        self.run_for(swarm, 10)
        swarm.cut_regions = True
        near = [one for one in members(swarm) if one.identity.region == "region-0"]
        far = [one for one in members(swarm) if one not in near]
        done = swarm.run(lambda: all(name in one.whole_at_s for one in near), 200)
        self.assertTrue(done)
        self.run_for(swarm, 60)
        self.assertTrue(any(one.failures for one in far))
        swarm.cut_regions = False
        self.assert_whole(swarm, name, 4)

    def test_one_copy_crosses_between_regions(self):
        swarm = new_swarm(12, regions=2, origin_region="region-0")
        self.assert_whole(swarm, start(swarm), 1.1)
        self.assertTrue(swarm.cross_region_bytes <= 1.1 * COPY_BYTES)
