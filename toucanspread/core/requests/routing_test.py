import collections

import testtools

from toucanspread.core import data, events
from toucanspread.core.requests import endpoints, requests_test, routing

make_entry = requests_test.make_entry
report = requests_test.make_report
request = requests_test.make_request


def choose(entry, wanted=None, tried=()):
    found = routing.choose_endpoint(entry.node, wanted or request(), frozenset(tried))
    return found.instance_id if found is not None else None


def start(entry, name, count=1):
    identity = entry.node.routing.endpoints[name].identity
    for _ in range(count):
        entry.step(entry.node.now_s, endpoints.AttemptStarted(identity))


def finish(entry, name, reason=data.Reason.NONE, **fields):
    identity = entry.node.routing.endpoints[name].identity
    event = endpoints.AttemptFinished(identity, reason, **fields)
    entry.step(entry.node.now_s, event)


class FitTest(testtools.TestCase):
    def test_only_exactly_what_is_wanted_fits(self):
        entry = make_entry(
            report("p1", version="v1", model="m", adapters=("a1",)),
            report("p2", version="v2", model="m"),
            report("p3", version=""),
        )
        for fields, expected in (
            ({"version": "v1"}, {"p1"}),
            ({"version": "v2", "model": "m"}, {"p2"}),
            ({"adapter": "a1"}, {"p1"}),
            ({"model": "other"}, {None}),
            ({}, {"p1", "p2"}),
        ):
            wanted = request(**fields)
            chosen = {choose(entry, wanted) for _ in range(40)}
            self.assertEqual(expected, chosen, fields)

    def test_leaving_and_suspect_endpoints_get_nothing_new(self):
        entry = make_entry(report("p1"), report("p2"))
        leaving = report("p1", state=data.MemberState.LEAVING)
        entry.step(1.0, events.ReportReceived(leaving))
        self.assertEqual("p2", choose(entry))
        identity = requests_test.endpoint("p2")
        suspected = events.MemberChanged(identity, data.MemberState.SUSPECT)
        entry.step(1.1, suspected)
        self.assertIsNone(choose(entry))

    def test_an_endpoint_that_reports_elsewhere_gets_nothing_new(self):
        entry = make_entry(report("p1"), report("p2"))
        entry.step(1.0, events.ReportLost(data.InstanceId("p1")))
        self.assertEqual({"p2"}, {choose(entry) for _ in range(40)})
        entry.step(2.0, events.ReportReceived(report("p1")))
        self.assertEqual({"p1", "p2"}, {choose(entry) for _ in range(40)})

    def test_report_does_not_undo_what_membership_knows_of_a_leaving_endpoint(self):
        entry = make_entry(report("p1"))
        identity = requests_test.endpoint("p1")
        leaving = events.MemberChanged(identity, data.MemberState.LEAVING)
        entry.step(1.0, leaving)
        entry.step(1.1, events.ReportReceived(report("p1")))
        self.assertIsNone(choose(entry))

    def test_late_report_of_an_earlier_process_changes_nothing(self):
        entry = make_entry(report("p1", incarnation=2))
        entry.step(1.0, events.ReportReceived(report("p1", version="v0")))
        self.assertEqual("p1", choose(entry, request(version="v1")))

    def test_restarted_process_owes_nothing_of_its_predecessor(self):
        entry = make_entry(report("p1"))
        before = entry.node.routing.endpoints["p1"].identity
        start(entry, "p1")
        entry.step(1.0, events.ReportReceived(report("p1", incarnation=2)))
        start(entry, "p1")
        broken = endpoints.AttemptFinished(before, data.Reason.STREAM_BROKE)
        entry.step(1.1, broken)
        known = entry.node.routing.endpoints["p1"]
        self.assertEqual((1, 0), (known.in_flight, known.failures))


class PlaceTest(testtools.TestCase):
    def test_zone_comes_first_then_region_then_beyond(self):
        far = requests_test.endpoint("p3", "zc")
        entry = make_entry(
            report("p1"), report("p2", zone="zb"), report("p3", zone="zc")
        )
        entry.node.routing.endpoints["p2"].report = data.Report(
            data.Identity("p2", data.Role.ENDPOINT, 1, "zb", "ra", "127.0.0.1:2"),
            1,
            data.MemberState.LIVE,
            "redactor",
            version="v1",
            load=data.Load(limit=8),
        )
        entry.node.routing.places.clear()
        self.assertEqual("rc", far.region)
        self.assertEqual({"p1"}, {choose(entry) for _ in range(20)})
        start(entry, "p1", 8)
        self.assertEqual({"p2"}, {choose(entry) for _ in range(20)})
        start(entry, "p2", 8)
        self.assertEqual({"p3"}, {choose(entry) for _ in range(20)})

    def test_subset_is_bounded_and_the_same_after_a_change_elsewhere(self):
        entry = make_entry(*(report(f"p{n}") for n in range(200)))
        before = endpoints.group_by_proximity(entry.node, "redactor")[0]
        self.assertEqual(endpoints.MAX_GROUP_SIZE, len(before))
        entry.step(1.0, events.ReportReceived(report("p999")))
        after = endpoints.group_by_proximity(entry.node, "redactor")[0]
        common = {e.instance_id for e in before} & {e.instance_id for e in after}
        self.assertGreaterEqual(len(common), endpoints.MAX_GROUP_SIZE - 1)


class LoadTest(testtools.TestCase):
    def test_load_of_an_answer_is_fresher_than_the_next_report(self):
        entry = make_entry(report("p1"), report("p2"))
        start(entry, "p1")
        finish(entry, "p1", load=data.Load(running=7, limit=8))
        entry.step(0.2, events.ReportReceived(report("p1")))
        self.assertEqual(7, entry.node.routing.endpoints["p1"].busy())
        entry.step(1.2, events.ReportReceived(report("p1")))
        self.assertEqual(0, entry.node.routing.endpoints["p1"].busy())

    def test_slow_endpoint_gets_less_but_not_nothing(self):
        entry = make_entry(*(report(f"p{n}") for n in range(4)))
        for _ in range(20):
            for number in range(4):
                latency_s = 4.0 if number == 0 else 0.4
                finish(entry, f"p{number}", latency_s=latency_s)
        chosen = collections.Counter()
        for _ in range(400):
            name = choose(entry)
            chosen[name] += 1
            start(entry, name)
            if sum(e.in_flight for e in entry.node.routing.endpoints.values()) > 12:
                busiest = max(
                    entry.node.routing.endpoints.values(), key=lambda e: e.in_flight
                )
                finish(entry, busiest.instance_id)
        self.assertLess(chosen["p0"], 60)
        self.assertGreater(chosen["p0"], 0)

    def test_failing_endpoint_is_left_out_for_a_while_unless_it_is_the_last(self):
        entry = make_entry(report("p1"), report("p2"))
        finish(entry, "p1", data.Reason.UNREACHABLE)
        self.assertEqual({"p2"}, {choose(entry) for _ in range(20)})
        finish(entry, "p2", data.Reason.UNREACHABLE)
        self.assertEqual({"p1", "p2"}, {choose(entry) for _ in range(40)})
        entry.step(10.0, events.Tick())
        self.assertEqual({"p1", "p2"}, {choose(entry) for _ in range(40)})


class PrefixTest(testtools.TestCase):
    def test_prefix_stays_at_one_endpoint_until_that_is_overloaded(self):
        entry = make_entry(*(report(f"p{n}") for n in range(6)))
        wanted = request(prefix_hash=12345)
        home = choose(entry, wanted)
        self.assertEqual({home}, {choose(entry, wanted) for _ in range(30)})
        start(entry, home, 4)
        self.assertNotEqual(home, choose(entry, wanted))

    def test_entries_agree_on_a_prefix_and_on_a_call_that_may_not_be_repeated(self):
        plain = requests_test.PLAIN
        reports = [report(f"p{n}") for n in range(6)]
        calls = [report(f"r{n}", plain, zone=f"z{'abc'[n % 3]}") for n in range(6)]
        first = make_entry(*reports, *calls, seed=1)
        second = make_entry(*reversed(reports), *reversed(calls), seed=2)
        for number in range(20):
            wanted = request(prefix_hash=number * 7919 + 1)
            self.assertEqual(choose(first, wanted), choose(second, wanted))
            call = request(service=plain, idempotency_key=f"k{number}")
            self.assertEqual(choose(first, call), choose(second, call))
