"""What both programs on the platform share: start, signals, settings, the end."""

import os
import pathlib
import signal
import sys
import time
from collections.abc import Callable

from twisted.internet import reactor, task

from toucanspread.ops import (
    http1,
    http1_server,
    log_limits,
    logs,
    loop,
    metric_buffer,
)

SETTINGS_CHECK_S = 1.0  # the file may change without a signal
ENDING_S = 0.02
METRICS_PORT = 9464  # of deploy/system.toml
METRICS_PATH = b"/metrics"
SCRAPER_BOUNDS = http1_server.Limits(idle_s=60.0)


class MetricsHandler(http1_server.RequestHandler):
    """Serves the counters and histograms."""

    def on_request(self, exchange: http1_server.Exchange) -> None:
        """Answer a scrape."""
        if exchange.head.target.partition(b"?")[0] != METRICS_PATH:
            exchange.respond(404)
            return
        kind = http1.Header(b"Content-Type", b"text/plain; version=0.0.4")
        exchange.respond(200, [kind], metric_buffer.render_exposition())

    def get_limits(self) -> http1_server.Limits:
        """Return what a scraper may take."""
        return SCRAPER_BOUNDS

    def is_closing(self) -> bool:
        """Keep connections."""
        return False


class SettingsFileWatcher:
    """Tells when the settings file has changed."""

    def __init__(self, path: pathlib.Path, on_change: Callable[[], None]):
        self._path = path
        self._on_change = on_change
        self._seen = self._stamp()
        self._checking = task.LoopingCall(self.check)

    def start(self) -> None:
        """Look at the file from time to time."""
        self._checking.start(SETTINGS_CHECK_S, now=False)

    def check(self) -> None:
        """Look at the file now."""
        stamp = self._stamp()
        if stamp != self._seen:
            self._seen = stamp
            self._on_change()

    def _stamp(self) -> tuple[int, int]:
        try:
            found = os.stat(self._path)
        except OSError as error:
            logs.write("settings_unreadable", why=str(error))
            return (0, 0)
        return (found.st_mtime_ns, found.st_size)


def listen(
    address: str, handler: http1_server.RequestHandler
) -> http1_server.ServerFactory:
    """Serve a handler on an address; the port is kept as ``port`` of the server."""
    host, _, port = address.rpartition(":")
    server = http1_server.ServerFactory(handler, reactor)
    server.port = reactor.listenTCP(int(port), server, backlog=511, interface=host)
    return server


def start_logs(instance: str, role: str) -> None:
    """Write the log to standard output, bounded and without waiting for a reader."""
    stream = log_limits.NonBlockingStream(sys.stdout.fileno())
    limiter = log_limits.Limiter(time.monotonic)
    logs.start(stream, limiter, instance=instance, role=role)


def run(
    start: Callable[[], None],
    on_terminate: Callable[[], None],
    on_hangup: Callable[[], None],
) -> None:
    """Run the reactor until something stops it."""

    def handle(number: int, _frame) -> None:
        name = signal.Signals(number).name
        logs.write("signal_received", signal=name)
        wanted = on_hangup if number == signal.SIGHUP else on_terminate
        reactor.callFromThread(wanted)

    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        signal.signal(number, handle)
    reactor.callWhenRunning(start)
    reactor.run(installSignalHandlers=False)


def stop() -> None:
    """End the process in good order."""
    logs.write("ending")
    loop.cancel_all()
    if reactor.running:
        # Cancelled tasks need a few turns of the loop to end.
        reactor.callLater(ENDING_S, reactor.stop)


def exit_with_error(why: str) -> None:
    """End a process that cannot start, with one clear line."""
    print(f"toucanspread: {why}", file=sys.stderr)
    sys.exit(2)
