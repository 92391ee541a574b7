import testtools

from toucanspread.tools import virtual_swarm

CHUNK_BYTES = 1_000_000
PIECES = 64
WANTED_S = 60.0
COPY_BYTES = PIECES * CHUNK_BYTES


def new_swarm(endpoints, seed=1, **options):
    swarm = virtual_swarm.VirtualSwarm(
        seed,
        rate_bytes_s=2 * COPY_BYTES / WANTED_S,
        origin_rate_bytes_s=4 * COPY_BYTES / WANTED_S,
        slice_bytes=CHUNK_BYTES // virtual_swarm.SLICES,
        **options,
    )
    for number in range(endpoints):
        swarm.add_endpoint(f"endpoint-{number}", zone=f"zone-{number % 2}")
    return swarm


def start(swarm, version="v1", weight=1.0, shared=0):
    made = virtual_swarm.make_manifest(version, PIECES, CHUNK_BYTES, shared)
    name = swarm.publish(made)
    for endpoint in swarm.endpoints.values():
        swarm.want(endpoint, name, weight)
    return name


def finish(swarm, name, limit_s=600):
    return swarm.run(lambda: swarm.all_whole(name), limit_s)


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
