import testtools

from toucanspread.core import data, events, machine
from toucanspread.core.transfers import tracker

MANIFEST_HASH = data.ManifestHash("a" * 64)


def make_identity(number, incarnation=1, region="region-0"):
    return data.Identity(
        data.InstanceId(f"endpoint-{number}"),
        data.Role.ENDPOINT,
        data.Incarnation(incarnation),
        data.ZoneName(f"zone-{number % 2}"),
        data.RegionName(region),
        data.Address(f"127.0.0.1:{number + 1}"),
    )


class TrackerTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        node = machine.Node(make_identity(999), 1, tracker=tracker.State())
        self.entry = machine.Machine(node, [tracker.HANDLERS])

    def request_peers(self, sender, now_s=0.0):
        message = tracker.PeersWanted(MANIFEST_HASH)
        sent = self.entry.step(now_s, events.MessageReceived(sender, message))
        return {effect.to: effect.message for effect in sent}

    def follower_ids(self):
        swarm = self.entry.node.tracker.swarms.get(MANIFEST_HASH)
        return set(swarm.followers) if swarm else set()

    def test_all_followers_are_offered_the_same_seeds(self):
        for number in range(20):
            self.request_peers(make_identity(number))
        offers = [
            self.request_peers(make_identity(n))[make_identity(n).address]
            for n in range(20)
        ]
        self.assertEqual(1, len({offer.seeds for offer in offers}))
        self.assertEqual(tracker.SEEDS_PER_REGION, len(offers[0].seeds))

    def test_peers_exclude_the_asker_and_other_regions(self):
        for number in range(10):
            self.request_peers(make_identity(number, region=f"region-{number % 2}"))
        offer = self.request_peers(make_identity(0))[make_identity(0).address]
        self.assertNotIn(make_identity(0), offer.peers)
        self.assertEqual({"region-0"}, {peer.region for peer in offer.peers})
        self.assertEqual(
            {"region-0", "region-1"}, {seed.region for seed in offer.seeds}
        )

    def test_changed_seeds_are_offered_at_once(self):
        self.request_peers(make_identity(0))
        offers = self.request_peers(make_identity(1))
        self.assertEqual(
            {make_identity(0).address, make_identity(1).address}, set(offers)
        )

    def test_silent_followers_are_removed(self):
        self.request_peers(make_identity(0))
        self.request_peers(make_identity(1), now_s=100.0)
        self.entry.step(tracker.FOLLOWER_TTL_S + 1, events.Tick())
        self.assertEqual({"endpoint-1"}, self.follower_ids())

    def test_death_of_an_earlier_incarnation_keeps_the_restarted_follower(self):
        self.request_peers(make_identity(0, incarnation=2))
        for incarnation in (1, 2):
            self.assertEqual({"endpoint-0"}, self.follower_ids())
            self.entry.step(
                1.0,
                events.MemberChanged(
                    make_identity(0, incarnation), data.MemberState.DEAD
                ),
            )
        self.assertEqual(set(), self.follower_ids())

    def test_number_of_swarms_is_bounded(self):
        for number in range(tracker.MAX_SWARMS + 5):
            message = tracker.PeersWanted(data.ManifestHash(str(number)))
            event = events.MessageReceived(make_identity(0), message)
            self.entry.step(0.0, event)
        swarms = self.entry.node.tracker.swarms
        self.assertEqual(tracker.MAX_SWARMS, len(swarms))
