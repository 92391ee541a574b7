import testtools

from toucanspread.core import data, events, machine
from toucanspread.core.transfers import tracker

NAME = data.ManifestHash("a" * 64)


def identity(number, incarnation=1, region="region-0"):
    return data.Identity(
        data.InstanceId(f"endpoint-{number}"),
        data.Role.ENDPOINT,
        data.Incarnation(incarnation),
        data.ZoneName(f"zone-{number % 2}"),
        data.RegionName(region),
        data.Address(f"127.0.0.1:{number + 1}"),
    )


class TrackingTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        node = machine.Node(identity(999), 1, tracker=tracker.State())
        self.entry = machine.Machine(node, [tracker.HANDLERS])

    def ask(self, sender, now_s=0.0):
        message = tracker.PeersWanted(NAME)
        sent = self.entry.step(now_s, events.MessageReceived(sender, message))
        return {effect.to: effect.message for effect in sent}

    def followers(self):
        swarm = self.entry.node.tracker.swarms.get(NAME)
        return set(swarm.followers) if swarm else set()

    def test_all_are_offered_the_same_seeds(self):
        for number in range(20):
            self.ask(identity(number))
        offers = [self.ask(identity(n))[identity(n).address] for n in range(20)]
        self.assertEqual(1, len({offer.seeds for offer in offers}))
        self.assertEqual(tracker.SEEDS_PER_REGION, len(offers[0].seeds))

    def test_nobody_is_offered_itself_or_another_region(self):
        for number in range(10):
            self.ask(identity(number, region=f"region-{number % 2}"))
        offer = self.ask(identity(0))[identity(0).address]
        self.assertNotIn(identity(0), offer.peers)
        self.assertEqual({"region-0"}, {peer.region for peer in offer.peers})
        self.assertEqual(
            {"region-0", "region-1"}, {seed.region for seed in offer.seeds}
        )

    def test_seeds_that_change_are_told_at_once(self):
        self.ask(identity(0))
        told = self.ask(identity(1))
        self.assertEqual({identity(0).address, identity(1).address}, set(told))

    def test_silent_followers_are_forgotten(self):
        self.ask(identity(0))
        self.ask(identity(1), now_s=100.0)
        self.entry.step(tracker.FOLLOWER_TTL_S + 1, events.Tick())
        self.assertEqual({"endpoint-1"}, self.followers())

    def test_death_of_an_earlier_process_spares_the_restarted_one(self):
        self.ask(identity(0, incarnation=2))
        for incarnation in (1, 2):
            self.assertEqual({"endpoint-0"}, self.followers())
            self.entry.step(
                1.0,
                events.MemberChanged(identity(0, incarnation), data.MemberState.DEAD),
            )
        self.assertEqual(set(), self.followers())

    def test_swarms_are_bounded(self):
        for number in range(tracker.MAX_SWARMS + 5):
            message = tracker.PeersWanted(data.ManifestHash(str(number)))
            event = events.MessageReceived(identity(0), message)
            self.entry.step(0.0, event)
        swarms = self.entry.node.tracker.swarms
        self.assertEqual(tracker.MAX_SWARMS, len(swarms))
