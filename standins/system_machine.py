"""The long randomised run: whole machines under every fault, alone and together.

Hypothesis chooses the faults and shrinks a failing run. ``make soak`` runs it with
seeds and steps as arguments; a short part runs among the tests.
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
DRAIN_ROUND_S = 10.0  # above what a drain takes
MAX_LEAVE_S = 3.0
MAX_VERSION_COUNT = 8
MAX_STOPPED_COUNT = 4  # of an instance each, so that some work always goes on

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
        """Start all processes and accept the first intents."""
        self.system = system_simulation.SystemSimulation(seed)
        for number in range(ENTRY_COUNT):
            self._add(f"entry-{number}", data.Role.ENTRY, number)
        for number in range(ENGINE_COUNT):
            checks_fence = number % 2 == 0
            self._add(
                f"engine-{number}",
                data.Role.ENDPOINT,
                number,
                checks_fence=checks_fence,
            )
        for number in range(DESK_COUNT):
            self._add(f"desk-{number}", data.Role.ENDPOINT, number, service="desk")
        self.system.run(4.0)
        desk = data.Intent(
            data.ServiceName("desk"),
            data.ServiceKind.PLAIN,
            DESK_COUNT,
            1,
            (),
            repeatable=False,
        )
        self.system.propose(self.names[0], self._pool(), desk)
        self.system.run(8.0)
        self.started_s = self.system.now_s

    def _add(self, name: str, role: data.Role, number: int, **fields) -> None:
        zone, region = LOCATIONS[number % len(LOCATIONS)]
        self.system.add_instance(name, role, zone, region, **fields)
        self.names.append(data.InstanceId(name))

    def _pool(self) -> data.Intent:
        self.version += 1
        version = f"v{self.version}"
        made = self.system.origin.publish(version, PIECE_COUNT, SHARED_PIECE_COUNT)
        return data.Intent(
            data.ServiceName("pool"),
            data.ServiceKind.MODEL,
            ENGINE_COUNT - 1,
            2,
            (),
            model=data.ModelName("model"),
            version=data.VersionName(version),
            manifest_hash=manifest.hash_manifest(made),
        )

    def _live_entry(self, number: int) -> data.InstanceId | None:
        name = self.names[number]
        process = self.system.processes.get(name)
        return None if process is None or process.frozen else name

    @stateful.rule(
        number=entry_numbers,
        service=strategies.sampled_from(["pool", "desk"]),
        count=strategies.integers(1, 6),
    )
    def request(self, number: int, service: str, count: int) -> None:
        """Callers of an entry send requests."""
        for _ in range(count):
            entry = self._live_entry(number)
            if entry is not None:
                self._request(entry, service)

    def _request(self, entry: data.InstanceId, service: str) -> None:
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
        """A caller sends a call again under its key, through any entry."""
        entry = self._live_entry(number)
        if entry is None:
            return
        before = self.unrepeatable[-min(back, len(self.unrepeatable))]
        self.count += 1
        request_id = data.RequestId(f"request-{self.count}")
        request = data.Request(
            request_id,
            before.team,
            before.service,
            REQUEST_BUDGET_S,
            repeatable=False,
            idempotency_key=before.idempotency_key,
        )
        self.system.send(entry, request)

    @stateful.rule(duration_s=strategies.sampled_from([0.1, 0.5, 2.0, 8.0]))
    def wait(self, duration_s: float) -> None:
        """Time passes."""
        self.system.run(duration_s)

    @stateful.rule(number=any_numbers)
    def kill(self, number: int) -> None:
        """A process dies."""
        name = self.names[number]
        dead = len(self.names) - len(self.system.processes)
        if name in self.system.processes and dead < MAX_STOPPED_COUNT:
            self.system.kill(name)

    @stateful.rule(number=any_numbers)
    def restart(self, number: int) -> None:
        """A dead process is replaced at its place."""
        name = self.names[number]
        if name not in self.system.processes:
            self.system.start(name)

    @stateful.rule(number=any_numbers)
    def freeze_or_thaw(self, number: int) -> None:
        """A process stops for a while, or goes on as if nothing had been."""
        process = self.system.processes.get(self.names[number])
        if process is None:
            return
        if process.frozen:
            self.system.thaw(self.names[number])
        else:
            self.system.freeze(self.names[number])

    @stateful.rule(pair=region_pairs)
    def cut_or_join(self, pair: tuple[int, int]) -> None:
        """Two regions lose each other, or meet again."""
        self.system.partitions ^= {
            frozenset((LOCATIONS[pair[0]][1], LOCATIONS[pair[1]][1]))
        }

    @stateful.rule(loss=strategies.sampled_from([0.0, 0.1, 0.3]))
    def lose(self, loss: float) -> None:
        """Messages get lost, late and doubled from now on."""
        self.system.loss_ratio = loss

    @stateful.rule(up=strategies.booleans(), lost=strategies.integers(0, 3))
    def trouble_key_value(self, up: bool, lost: int) -> None:
        """The key-value service goes down or loses answers."""
        self.system.key_value.is_up = up
        self.system.key_value.lose_answers = lost

    @stateful.rule(number=any_numbers)
    def corrupt(self, number: int) -> None:
        """An instance's chunks arrive corrupted, or are right again."""
        self.system.corrupting_ids ^= {self.names[number]}

    @stateful.rule(first=entry_numbers, second=entry_numbers)
    def upgrade(self, first: int, second: int) -> None:
        """One or two operators confirm a new version at the same time."""
        if self.version >= MAX_VERSION_COUNT:
            return
        for entry in {self._live_entry(first), self._live_entry(second)}:
            if entry is not None:
                self.system.propose(entry, self._pool())

    @stateful.rule(number=any_numbers)
    def shut_down(self, number: int) -> None:
        """A process is asked to drain and end."""
        dead = len(self.names) - len(self.system.processes)
        if dead < MAX_STOPPED_COUNT:
            self.system.post(self.names[number], events.ShutdownRequested())

    @stateful.invariant()
    def callers_are_served_rightly(self) -> None:
        """Judge every request so far."""
        system_checks.check_callers(self.system)

    def teardown(self) -> None:
        """End all faults; everything has to settle as declared."""
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
            # A process may still be draining; its instance is replaced once it ends.
            system.run(DRAIN_ROUND_S)
            self._replace_ended()
        system.run(system_checks.CONVERGENCE_S)
        system_checks.check_callers(system)
        system_checks.check_converged(system)

    def _replace_ended(self) -> None:
        for name in self.names:
            if name not in self.system.processes:
                self.system.start(name)
