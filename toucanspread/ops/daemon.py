"""Start, signal handling and shutdown of the entry and endpoint daemons.

SIGTERM and SIGINT start a drain; the process exits once the machine has no work left,
or at once on a second signal.
"""

import random
import signal
import time
from collections.abc import Callable

from twisted.internet import reactor

from toucanspread.core import data, events, machine
from toucanspread.ops import loop, runtime, settings
from toucanspread.ops.telemetry import logs, metrics

EXIT_CANNOT_START = 1
SEED_BITS = 63


def new_incarnation() -> int:
    """Return an incarnation above that of every earlier process of this instance."""
    return int(time.time() * 1000)


def choose_seed(configured_seed: int) -> int:
    """Return the configured seed, or a random one if it is 0."""
    return configured_seed or random.SystemRandom().getrandbits(SEED_BITS)


class Daemon:
    """A process that runs a machine with its adapters.

    :param state_machine: the machine to run.
    :param seed: the machine's random seed, which is logged.
    """

    def __init__(self, state_machine: machine.Machine, seed: int):
        self.identity = state_machine.node.identity
        self.runtime = runtime.Runtime(state_machine, self._shut_down)
        self._exit_code = 0
        self._signal_count = 0
        self._seed = seed

    def run(self, on_started: Callable[[], None] = lambda: None) -> int:
        """Run until shutdown and return the exit code.

        :param on_started: called once all adapters have started.
        """
        logs.start(instance=self.identity.instance_id, role=self.identity.role.value)
        metrics.start()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(signal_number, self._on_signal)
        reactor.callWhenRunning(loop.spawn, self._start(on_started))
        reactor.run(installSignalHandlers=False)
        return self._exit_code

    async def _start(self, on_started: Callable[[], None]) -> None:
        try:
            await self.runtime.start()
        except Exception as error:
            logs.write("start_failed", kind=type(error).__name__, why=str(error))
            self._shut_down(EXIT_CANNOT_START)
            raise
        logs.write(
            "started",
            address=self.identity.address,
            incarnation=self.identity.incarnation,
            seed=self._seed,
        )
        on_started()

    def _on_signal(self, signal_number: int, _frame) -> None:
        self._signal_count += 1
        if self._signal_count > 1:
            reactor.callFromThread(self._shut_down, 0)
            return
        logs.write("shutdown_requested", signal=signal.Signals(signal_number).name)
        reactor.callFromThread(self.runtime.post, events.ShutdownRequested())

    def _shut_down(self, exit_code: int) -> None:
        logs.write("ending", exit_code=exit_code)
        self._exit_code = exit_code or self._exit_code
        loop.spawn(self._stop())

    async def _stop(self) -> None:
        try:
            await self.runtime.stop()
        finally:
            if reactor.running:
                reactor.stop()


def parse_seed_addresses(options: settings.Settings) -> tuple[data.Address, ...]:
    """Return the addresses to contact first when the platform is unavailable."""
    return tuple(data.Address(address) for address in options.seeds)
