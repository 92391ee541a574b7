import testtools

from standins import agreement_simulation
from toucanspread.core import data
from toucanspread.core.agreement import change_log, confirmations, leases, plans

MANIFEST = data.ManifestHash("a" * 64)
NEXT_MANIFEST = data.ManifestHash("b" * 64)
WALL_S = agreement_simulation.WALL_START_S
ZONES = (("brest-a", "finistere"), ("vannes-a", "morbihan"))


def intent(service="pool", replicas=2, floor=1, manifest=MANIFEST, **fields):
    return data.Intent(
        service,
        data.ServiceKind.MODEL,
        replicas,
        floor,
        (),
        model="m",
        version=f"v-{manifest[0]}",
        manifest_hash=manifest,
        **fields,
    )


def make_fleet(entries=4, endpoints=4, seed=1):
    fleet = agreement_simulation.Fleet(seed)
    for index in range(entries):
        zone, region = ZONES[index % 2]
        fleet.add(f"entry-{index}", data.Role.ENTRY, zone, region)
    for index in range(endpoints):
        zone, region = ZONES[index % 2]
        fleet.add(f"engine-{index}", data.Role.ENDPOINT, zone, region)
    fleet.run(2.0)
    return fleet


def confirmation(base, *intents, removed=(), operation="op"):
    plan_id = plans.compute_plan_id(base, intents, removed)
    return confirmations.ConfirmRequested(operation, base, intents, removed, plan_id)


def confirm_and_run(fleet, *intents, entry="entry-0", operation="op", seconds=6.0):
    base = fleet.nodes[entry].config.revision
    fleet.post(entry, confirmation(base, *intents, operation=operation))
    fleet.run(seconds)
    return fleet.answers[-1]


def known_revisions(fleet):
    return {node.config.revision for node in fleet.nodes.values()}


def lease_holders(fleet):
    return [node for node in fleet.list_entries() if leases.is_held(node)]


def list_verdicts(fleet):
    verdicts = []
    for answer in fleet.answers:
        if isinstance(answer, confirmations.ConfirmAnswered):
            verdicts.append(answer.verdict)
    return verdicts


def logged_fields(fleet, event):
    return [log.fields for _, _, log in fleet.logs if log.event == event]


def served_versions(fleet):
    versions = {}
    for node in fleet.list_endpoints():
        if node.orders.serving is not None and not node.orders.draining:
            versions[node.identity.instance_id] = node.orders.serving.version
    return versions


def read_head(fleet):
    return change_log.decode_head(fleet.kv.values[change_log.HEAD_KEY][0])


class AgreementTest(testtools.TestCase):
    def test_accepted_change_is_in_force_everywhere_and_served(self):
        fleet = make_fleet()
        answer = confirm_and_run(fleet, intent())
        self.assertEqual(confirmations.Verdict.ACCEPTED, answer.verdict)
        self.assertEqual({1}, known_revisions(fleet))
        fleet.run(20.0)
        serving = [n for n in fleet.list_endpoints() if n.orders.serving is not None]
        self.assertEqual(2, len(serving))
        self.assertEqual(1, len(lease_holders(fleet)))

    def test_racing_confirmations_accept_exactly_one(self):
        fleet = make_fleet()
        fleet.post("entry-0", confirmation(0, intent(replicas=2), operation="left"))
        fleet.post("entry-1", confirmation(0, intent(replicas=3), operation="right"))
        fleet.run(3.0)
        verdicts = {each.verdict for each in fleet.answers}
        expected = {confirmations.Verdict.ACCEPTED, confirmations.Verdict.CONFLICT}
        self.assertEqual(expected, verdicts)
        conflict = next(each for each in fleet.answers if each.changed)
        self.assertIn("left", conflict.changed[0])
        self.assertEqual(1, conflict.plan.base_revision)

    def test_confirming_twice_is_idempotent(self):
        fleet = make_fleet()
        fleet.post("entry-0", confirmation(0, intent(), operation="first"))
        fleet.run(1.0)
        fleet.post("entry-1", confirmation(0, intent(), operation="second"))
        fleet.run(1.0)
        self.assertEqual([1, 1], [each.revision for each in fleet.answers])
        self.assertEqual({1}, known_revisions(fleet))
