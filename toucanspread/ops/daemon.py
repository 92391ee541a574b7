"""What both daemons share: start, signals, the way to the end.

SIGTERM and SIGINT ask for a drain; the process ends once the machine says that
nothing is left, or at once on a second signal.
"""

import random
import signal
import time
from collections.abc import Callable

from twisted.internet import reactor

from toucanspread.core import data, events, machine
from toucanspread.ops import logs, loop, metrics, runtime, settings

EXIT_CANNOT_START = 1
SEED_BITS = 63


def new_incarnation() -> int:
    """Return a number above that of any earlier process of this instance."""
    return int(time.time() * 1000)


def choose_seed(configured: int) -> int:
    """Return the configured seed, or a fresh one for 0."""
    return configured or random.SystemRandom().getrandbits(SEED_BITS)


class Daemon:
    """One process: a runtime, its adapters and its exit code.

    :param stepper: the machine to run.
    :param seed: the machine's seed, for the log.
    """

    def __init__(self, stepper: machine.Machine, seed: int):
        self.identity = stepper.node.identity
        self.runtime = runtime.Runtime(stepper, self._end)
        self._exit_code = 0
        self._signals = 0
        self._seed = seed

    def run(self, on_started: Callable[[], None] = lambda: None) -> int:
        """Run until the end and return the exit code."""
        logs.start(instance=self.identity.instance_id, role=self.identity.role.value)
        metrics.start()
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, self._on_signal)
        reactor.callWhenRunning(loop.spawn, self._start(on_started))
        reactor.run(installSignalHandlers=False)
        return self._exit_code

    async def _start(self, on_started: Callable[[], None]) -> None:
        try:
            await self.runtime.start()
        except Exception as error:
            logs.write("start_failed", kind=type(error).__name__, why=str(error))
            self._end(EXIT_CANNOT_START)
            raise
        logs.write(
            "started",
            address=self.identity.address,
            incarnation=self.identity.incarnation,
            seed=self._seed,
        )
        on_started()

    def _on_signal(self, number: int, _frame) -> None:
        self._signals += 1
        if self._signals > 1:
            reactor.callFromThread(self._end, 0)
            return
        logs.write("shutdown_requested", signal=signal.Signals(number).name)
        reactor.callFromThread(self.runtime.post, events.ShutdownRequested())

    def _end(self, exit_code: int) -> None:
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
    """Return the addresses from which to learn when the platform is down."""
    return tuple(data.Address(address) for address in options.seeds)
