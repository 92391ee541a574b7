import collections

import testtools

from toucanspread.core import data, events
from toucanspread.core.requests import endpoints, requests_test, routing

make_entry = requests_test.make_entry
make_report = requests_test.make_report
make_request = requests_test.make_request


def choose(entry, request=None, tried=()):
    chosen = routing.choose_endpoint(
        entry.node, request or make_request(), frozenset(tried)
    )
    return chosen.instance_id if chosen is not None else None


def start(entry, name, count=1):
    identity = entry.node.routing.endpoints[name].identity
    for _ in range(count):
        entry.step(entry.node.now_s, endpoints.AttemptStarted(identity))


def finish(entry, name, reason=data.Reason.NONE, **fields):
    identity = entry.node.routing.endpoints[name].identity
    event = endpoints.AttemptFinished(identity, reason, **fields)
    entry.step(entry.node.now_s, event)


class CanServeTest(testtools.TestCase):
    def test_only_endpoints_that_serve_what_the_request_names_are_chosen(self):
        entry = make_entry(
            make_report("p1", version="v1", model="m", adapters=("a1",)),
            make_report("p2", version="v2", model="m"),
            make_report("p3", version=""),
        )
        for fields, expected in (
            ({"version": "v1"}, {"p1"}),
            ({"version": "v2", "model": "m"}, {"p2"}),
            ({"adapter": "a1"}, {"p1"}),
            ({"model": "other"}, {None}),
            ({}, {"p1", "p2"}),
        ):
            request = make_request(**fields)
            chosen = {choose(entry, request) for _ in range(40)}
            self.assertEqual(expected, chosen, fields)

    def test_leaving_and_suspect_endpoints_get_no_new_requests(self):
        entry = make_entry(make_report("p1"), make_report("p2"))
        leaving = make_report("p1", state=data.MemberState.LEAVING)
        entry.step(1.0, events.ReportReceived(leaving))
        self.assertEqual("p2", choose(entry))
        identity = requests_test.make_identity("p2")
        suspected = events.MemberChanged(identity, data.MemberState.SUSPECT)
        entry.step(1.1, suspected)
        self.assertIsNone(choose(entry))

    def test_endpoint_that_reports_to_other_entries_gets_no_new_requests(self):
        entry = make_entry(make_report("p1"), make_report("p2"))
        entry.step(1.0, events.ReportDropped(data.InstanceId("p1")))
        self.assertEqual({"p2"}, {choose(entry) for _ in range(40)})
        entry.step(2.0, events.ReportReceived(make_report("p1")))
        self.assertEqual({"p1", "p2"}, {choose(entry) for _ in range(40)})

    def test_report_does_not_override_the_leaving_state_of_membership(self):
        entry = make_entry(make_report("p1"))
        identity = requests_test.make_identity("p1")
        leaving = events.MemberChanged(identity, data.MemberState.LEAVING)
        entry.step(1.0, leaving)
        entry.step(1.1, events.ReportReceived(make_report("p1")))
        self.assertIsNone(choose(entry))

    def test_late_report_of_an_earlier_incarnation_is_ignored(self):
        entry = make_entry(make_report("p1", incarnation=2))
        entry.step(1.0, events.ReportReceived(make_report("p1", version="v0")))
        self.assertEqual("p1", choose(entry, make_request(version="v1")))

    def test_restarted_process_does_not_inherit_attempts_and_failures(self):
        entry = make_entry(make_report("p1"))
        previous = entry.node.routing.endpoints["p1"].identity
        start(entry, "p1")
        entry.step(1.0, events.ReportReceived(make_report("p1", incarnation=2)))
        start(entry, "p1")
        finished = endpoints.AttemptFinished(previous, data.Reason.STREAM_BROKE)
        entry.step(1.1, finished)
        known = entry.node.routing.endpoints["p1"]
        self.assertEqual((1, 0), (known.in_flight, known.failures))


class ProximityTest(testtools.TestCase):
    def test_same_zone_is_preferred_to_same_region_and_that_to_the_rest(self):
        remote = requests_test.make_identity("p3", "zc")
        entry = make_entry(
            make_report("p1"),
            make_report("p2", zone="zb"),
            make_report("p3", zone="zc"),
        )
        entry.node.routing.endpoints["p2"].report = data.Report(
            data.Identity("p2", data.Role.ENDPOINT, 1, "zb", "ra", "127.0.0.1:2"),
            1,
            data.MemberState.LIVE,
            "redactor",
            version="v1",
            load=data.Load(limit=8),
        )
        entry.node.routing.proximity_groups.clear()
        self.assertEqual("rc", remote.region)
        self.assertEqual({"p1"}, {choose(entry) for _ in range(20)})
        start(entry, "p1", 8)
        self.assertEqual({"p2"}, {choose(entry) for _ in range(20)})
        start(entry, "p2", 8)
        self.assertEqual({"p3"}, {choose(entry) for _ in range(20)})

    def test_group_is_bounded_and_stable_when_an_endpoint_is_added(self):
        entry = make_entry(*(make_report(f"p{n}") for n in range(200)))
        before = endpoints.group_by_proximity(entry.node, "redactor")[0]
        self.assertEqual(endpoints.MAX_GROUP_SIZE, len(before))
        entry.step(1.0, events.ReportReceived(make_report("p999")))
        after = endpoints.group_by_proximity(entry.node, "redactor")[0]
        common = {e.instance_id for e in before} & {e.instance_id for e in after}
        self.assertGreaterEqual(len(common), endpoints.MAX_GROUP_SIZE - 1)


class LoadTest(testtools.TestCase):
    def test_load_of_an_answer_outlasts_the_next_report(self):
        entry = make_entry(make_report("p1"), make_report("p2"))
        start(entry, "p1")
        finish(entry, "p1", load=data.Load(running=7, limit=8))
        entry.step(0.2, events.ReportReceived(make_report("p1")))
        self.assertEqual(7, entry.node.routing.endpoints["p1"].estimate_requests())
        entry.step(1.2, events.ReportReceived(make_report("p1")))
        self.assertEqual(0, entry.node.routing.endpoints["p1"].estimate_requests())

    def test_slow_endpoint_gets_fewer_requests_but_not_none(self):
        entry = make_entry(*(make_report(f"p{n}") for n in range(4)))
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

    def test_failing_endpoint_is_avoided_for_a_while_unless_it_is_the_last(self):
        entry = make_entry(make_report("p1"), make_report("p2"))
        finish(entry, "p1", data.Reason.UNREACHABLE)
        self.assertEqual({"p2"}, {choose(entry) for _ in range(20)})
        finish(entry, "p2", data.Reason.UNREACHABLE)
        self.assertEqual({"p1", "p2"}, {choose(entry) for _ in range(40)})
        entry.step(10.0, events.Tick())
        self.assertEqual({"p1", "p2"}, {choose(entry) for _ in range(40)})


class AffinityTest(testtools.TestCase):
    def test_prefix_stays_at_one_endpoint_until_it_is_overloaded(self):
        entry = make_entry(*(make_report(f"p{n}") for n in range(6)))
        request = make_request(prefix_hash=12345)
        preferred = choose(entry, request)
        self.assertEqual({preferred}, {choose(entry, request) for _ in range(30)})
        start(entry, preferred, 4)
        self.assertNotEqual(preferred, choose(entry, request))

    def test_entries_choose_the_same_endpoint_for_a_prefix_and_for_a_key(self):
        plain = requests_test.PLAIN
        reports = [make_report(f"p{n}") for n in range(6)]
        calls = [make_report(f"r{n}", plain, zone=f"z{'abc'[n % 3]}") for n in range(6)]
        first = make_entry(*reports, *calls, seed=1)
        second = make_entry(*reversed(reports), *reversed(calls), seed=2)
        for number in range(20):
            request = make_request(prefix_hash=number * 7919 + 1)
            self.assertEqual(choose(first, request), choose(second, request))
            call = make_request(service=plain, idempotency_key=f"k{number}")
            self.assertEqual(choose(first, call), choose(second, call))
