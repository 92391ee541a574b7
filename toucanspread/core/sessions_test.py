import testtools

from toucanspread.core import data, effects, events, machine, sessions

IDENTITY = data.Identity(
    data.InstanceId("brest-a-1"),
    data.Role.ENTRY,
    data.Incarnation(1),
    data.ZoneName("brest-a"),
    data.RegionName("finistere"),
    data.Address("127.0.0.1:1"),
)


def send_back(node, event):
    return [effects.Send(event.sender.address, event.message)]


def count_random(node, event):
    return [effects.Count(f"draw-{node.random.randrange(1000)}")]


HANDLERS = {events.MessageReceived: send_back, events.Tick: count_random}


def new_machine(seed=1):
    return machine.Machine(machine.Node(IDENTITY, seed), [HANDLERS])


class SessionsTest(testtools.TestCase):
    def record_session(self):
        recorder = sessions.Recorder(new_machine())
        report = data.Report(IDENTITY, 1, data.MemberState.LIVE)
        recorder.step(0.5, events.MessageReceived(IDENTITY, report))
        recorder.step(1.0, events.Tick(wall_s=5.0))
        return recorder.text()

    def test_replay_gives_the_same_effects(self):
        self.assertEqual([], sessions.replay(self.record_session(), new_machine()))

    def test_replay_reports_the_line_that_differs(self):
        mismatches = sessions.replay(self.record_session(), new_machine(seed=2))
        self.assertEqual([2], [mismatch.line for mismatch in mismatches])

    def test_replay_rejects_text_that_is_not_a_session(self):
        self.assertRaises(sessions.SessionError, sessions.replay, "{}\n", new_machine())
