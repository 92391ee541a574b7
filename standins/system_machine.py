"""Stateful test of a whole system under all faults, single and combined.

Hypothesis chooses the faults and shrinks failing runs. ``make soak`` runs the test with
seeds and steps as arguments; a short run is part of the test suite.
"""

from hypothesis import stateful, strategies

from standins import system_checks, system_simulation
from toucanspread.core import data, events
from toucanspread.core.transfers import manifest

LOCATIONS = (("brest-a", "finistere"), ("vannes-a", "morbihan"), ("rennes-a", "rennes"))
ENTRY_COUNT = 4
ENGINE_COUNT = 5
DESK_COUNT = 3
PIECE_COUNT = 8
SHARED_PIECE_COUNT = 3
REQUEST_BUDGET_S = 6.0
DRAIN_ROUND_COUNT = 3
DRAIN_ROUND_S = 10.0  # longer than a drain takes
MAX_LEAVE_S = 3.0
MAX_VERSION_COUNT = 8
# Instances without a process; the others keep requests served.
MAX_STOPPED_COUNT = 4

entry_numbers = strategies.integers(0, ENTRY_COUNT - 1)
any_numbers = strategies.integers(0, ENTRY_COUNT + ENGINE_COUNT + DESK_COUNT - 1)
region_pairs = strategies.sampled_from([(0, 1), (0, 2), (1, 2)])


class SystemMachine(stateful.RuleBasedStateMachine):
    """Drives a :class:`system_simulation.SystemSimulation`."""

    def __init__(self):
        super().__init__()
        self.system = system_simulation.SystemSimulation(1)
        self.names: list[data.InstanceId] = []
        self.count = 0
        self.version = 0
        self.unrepeatable: list[data.Request] = []
        self.started_s = 0.0

    @stateful.initialize(seed=strategies.integers(0, 2**32 - 1))
    def start(self, seed: int) -> None:
        """Start all processes and confirm the first intents."""
        self.system = system_simulation.SystemSimulation(seed)
        for number in range(ENTRY_COUNT):
            self._add_instance(f"entry-{number}", data.Role.ENTRY, number)
        for number in range(ENGINE_COUNT):
            checks_fence = number % 2 == 0
            self._add_instance(
                f"engine-{number}",
                data.Role.ENDPOINT,
                number,
                checks_fence=checks_fence,
            )
        for number in range(DESK_COUNT):
            self._add_instance(
                f"desk-{number}", data.Role.ENDPOINT, number, service="desk"
            )
        self.system.run(4.0)
        desk = data.Intent(
            data.ServiceName("desk"),
            data.ServiceKind.PLAIN,
            DESK_COUNT,
            1,
            (),
            repeatable=False,
        )
        self.system.propose(self.names[0], self._publish_intent(), desk)
        self.system.run(8.0)
        self.started_s = self.system.now_s

    def _add_instance(self, name: str, role: data.Role, number: int, **fields) -> None:
        zone, region = LOCATIONS[number % len(LOCATIONS)]
        self.system.add_instance(name, role, zone, region, **fields)
        self.names.append(data.InstanceId(name))

    def _publish_intent(self) -> data.Intent:
        self.version += 1
        version = f"v{self.version}"
        published = self.system.origin.publish(version, PIECE_COUNT, SHARED_PIECE_COUNT)
        return data.Intent(
            data.ServiceName("pool"),
            data.ServiceKind.MODEL,
            ENGINE_COUNT - 1,
            2,
            (),
            model=data.ModelName("model"),
            version=data.VersionName(version),
            manifest_hash=manifest.hash_manifest(published),
        )

    def _find_live_entry(self, number: int) -> data.InstanceId | None:
        name = self.names[number]
        process = self.system.processes.get(name)
        return None if process is None or process.frozen else name

    @stateful.rule(
        number=entry_numbers,
        service=strategies.sampled_from(["pool", "desk"]),
        count=strategies.integers(1, 6),
    )
    def request(self, number: int, service: str, count: int) -> None:
        """Send requests to an entry."""
        for _ in range(count):
            entry = self._find_live_entry(number)
            if entry is not None:
                self._send_request(entry, service)

    def _send_request(self, entry: data.InstanceId, service: str) -> None:
        self.count += 1
        request = data.Request(
            data.RequestId(f"request-{self.count}"),
            data.TeamName("parents"),
            data.ServiceName(service),
            REQUEST_BUDGET_S,
            repeatable=service == "pool",
            idempotency_key=data.IdempotencyKey(f"key-{self.count}"),
        )
        if not request.repeatable:
            self.unrepeatable.append(request)
        self.system.send(entry, request)

    @stateful.precondition(lambda self: self.unrepeatable)
    @stateful.rule(number=entry_numbers, back=strategies.integers(1, 4))
    def repeat(self, number: int, back: int) -> None:
        """Repeat an earlier call with its idempotency key, through any entry."""
        entry = self._find_live_entry(number)
        if entry is None:
            return
        earlier = self.unrepeatable[-min(back, len(self.unrepeatable))]
        self.count += 1
        request_id = data.RequestId(f"request-{self.count}")
        request = data.Request(
            request_id,
            earlier.team,
            earlier.service,
            REQUEST_BUDGET_S,
            repeatable=False,
            idempotency_key=earlier.idempotency_key,
        )
        self.system.send(entry, request)

    @stateful.rule(duration_s=strategies.sampled_from([0.1, 0.5, 2.0, 8.0]))
    def wait(self, duration_s: float) -> None:
        """Advance the time."""
        self.system.run(duration_s)

    @stateful.rule(number=any_numbers)
    def kill(self, number: int) -> None:
        """Kill a process."""
        name = self.names[number]
        stopped_count = len(self.names) - len(self.system.processes)
        if name in self.system.processes and stopped_count < MAX_STOPPED_COUNT:
            self.system.kill(name)

    @stateful.rule(number=any_numbers)
    def restart(self, number: int) -> None:
        """Start a process on an instance that has none."""
        name = self.names[number]
        if name not in self.system.processes:
            self.system.start(name)

    @stateful.rule(number=any_numbers)
    def freeze_or_thaw(self, number: int) -> None:
        """Freeze a process, or resume it with its old state."""
        process = self.system.processes.get(self.names[number])
        if process is None:
            return
        if process.frozen:
            self.system.thaw(self.names[number])
        else:
            self.system.freeze(self.names[number])

    @stateful.rule(pair=region_pairs)
    def toggle_partition(self, pair: tuple[int, int]) -> None:
        """Separate two regions, or connect them again."""
        self.system.partitions ^= {
            frozenset((LOCATIONS[pair[0]][1], LOCATIONS[pair[1]][1]))
        }

    @stateful.rule(loss=strategies.sampled_from([0.0, 0.1, 0.3]))
    def set_message_loss(self, loss: float) -> None:
        """Set the part of messages that are lost, delayed and duplicated."""
        self.system.loss_ratio = loss

    @stateful.rule(up=strategies.booleans(), lost=strategies.integers(0, 3))
    def set_key_value_faults(self, up: bool, lost: int) -> None:
        """Stop or start the key-value service, or let it lose answers."""
        self.system.key_value.is_up = up
        self.system.key_value.lose_answers = lost

    @stateful.rule(number=any_numbers)
    def toggle_corruption(self, number: int) -> None:
        """Let an instance send corrupted chunks, or correct ones again."""
        self.system.corrupting_ids ^= {self.names[number]}

    @stateful.rule(first=entry_numbers, second=entry_numbers)
    def upgrade(self, first: int, second: int) -> None:
        """Confirm a new version at one entry, or at two entries at the same time."""
        if self.version >= MAX_VERSION_COUNT:
            return
        for entry in {self._find_live_entry(first), self._find_live_entry(second)}:
            if entry is not None:
                self.system.propose(entry, self._publish_intent())

    @stateful.rule(number=any_numbers)
    def shut_down(self, number: int) -> None:
        """Request the shutdown of a process, which drains and ends."""
        stopped_count = len(self.names) - len(self.system.processes)
        if stopped_count < MAX_STOPPED_COUNT:
            self.system.post(self.names[number], events.ShutdownRequested())

    @stateful.invariant()
    def callers_get_correct_outcomes(self) -> None:
        """Check the outcomes of all requests so far."""
        system_checks.check_callers(self.system)

    def teardown(self) -> None:
        """End all faults, and check that the system converges to the intents."""
        system = self.system
        if not self.names:
            return
        system.loss_ratio = 0.0
        system.partitions.clear()
        system.corrupting_ids.clear()
        system.key_value.is_up = True
        system.key_value.lose_answers = 0
        for name in self.names:
            process = system.processes.get(name)
            if process is not None and process.frozen:
                system.thaw(name)
        for _ in range(DRAIN_ROUND_COUNT):
            # A process may still be draining; a new one is started once it has ended.
            system.run(DRAIN_ROUND_S)
            self._restart_ended()
        system.run(system_checks.CONVERGENCE_S)
        system_checks.check_callers(system)
        system_checks.check_converged(system)

    def _restart_ended(self) -> None:
        for name in self.names:
            if name not in self.system.processes:
                self.system.start(name)
