"""Start, signals, settings file, metrics and shutdown of the platform's programs."""

import os
import pathlib
import signal
import sys
import time
from collections.abc import Callable
from typing import NamedTuple

from twisted.internet import reactor

from toucanspread.ops import loop
from toucanspread.ops.http import http1, http1_exchange, http1_server
from toucanspread.ops.telemetry import log_limits, logs, metric_buffer

SETTINGS_POLL_INTERVAL_S = 1.0  # the file may change without a signal
TASK_CANCEL_DELAY_S = 0.02
HANDLED_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
METRICS_PORT = 9464  # as in deploy/system.toml
METRICS_PATH = b"/metrics"
LOW_TRAFFIC_LIMITS = http1_server.Limits(idle_s=60.0)


class MetricsHandler(http1_server.RequestHandler):
    """Serves counters and histograms to the metrics scraper."""

    def on_request(self, exchange: http1_exchange.Exchange) -> None:
        """Answer a request for the metrics; other paths get status 404."""
        if exchange.head.target.partition(b"?")[0] != METRICS_PATH:
            exchange.respond(404)
            return
        content_type = http1.Header(b"Content-Type", b"text/plain; version=0.0.4")
        exchange.respond(200, [content_type], metric_buffer.render_exposition())

    def get_limits(self) -> http1_server.Limits:
        """Return the limits of a scraper's connection."""
        return LOW_TRAFFIC_LIMITS

    def is_closing(self) -> bool:
        """Return False, so that connections are kept open."""
        return False


class FileStamp(NamedTuple):
    """Properties by which a change of a file is noticed; zero if it is unreadable."""

    modified_ns: int = 0
    size_bytes: int = 0


def read_stamp(path: pathlib.Path) -> FileStamp:
    """Return the stamp of a file; to be read before its contents."""
    try:
        file_status = os.stat(path)
    except OSError as error:
        logs.write("settings_unreadable", why=str(error))
        return FileStamp()
    return FileStamp(file_status.st_mtime_ns, file_status.st_size)


class SettingsFileWatcher:
    """Calls back when the settings file has changed.

    :param stamp: stamp of the file before the settings in force were read from it.
    :param on_change: called after a change of the modification time or the size.
    """

    def __init__(
        self, path: pathlib.Path, stamp: FileStamp, on_change: Callable[[], None]
    ):
        self._path = path
        self._on_change = on_change
        self._last_stamp = stamp

    def start(self) -> None:
        """Start to check the file periodically."""
        loop.call_periodically("settings", SETTINGS_POLL_INTERVAL_S, self.check)

    def check(self) -> None:
        """Check the file now."""
        stamp = read_stamp(self._path)
        if stamp != self._last_stamp:
            self._last_stamp = stamp
            self._on_change()


def listen(
    address: str, handler: http1_server.RequestHandler
) -> http1_server.ServerFactory:
    """Serve a handler on an address.

    :return: the server, with its listening port as attribute ``port``.
    """
    host, _, port = address.rpartition(":")
    server = http1_server.ServerFactory(handler, reactor)
    server.port = reactor.listenTCP(int(port), server, backlog=511, interface=host)
    return server


def start_logs(instance: str, role: str) -> None:
    """Write the log to standard output, rate-limited and without blocking."""
    stream = log_limits.NonBlockingStream(sys.stdout.fileno())
    limiter = log_limits.Limiter(time.monotonic)
    logs.start(stream, limiter, instance=instance, role=role)


def run(
    start: Callable[[], None],
    on_terminate: Callable[[], None],
    on_hangup: Callable[[], None],
) -> None:
    """Run the reactor until it is stopped.

    :param start: called once the reactor runs.
    :param on_terminate: called on SIGTERM and SIGINT.
    :param on_hangup: called on SIGHUP.
    """

    def handle_signal(signal_number: int, _frame) -> None:
        name = signal.Signals(signal_number).name
        logs.write("signal_received", signal=name)
        callback = on_hangup if signal_number == signal.SIGHUP else on_terminate
        reactor.callFromThread(callback)

    for signal_number in HANDLED_SIGNALS:
        signal.signal(signal_number, handle_signal)
    reactor.callWhenRunning(start)
    reactor.run(installSignalHandlers=False)
    for signal_number in HANDLED_SIGNALS:
        # The interpreter's end would restore the default, which kills the process.
        signal.signal(signal_number, signal.SIG_IGN)


def stop() -> None:
    """Cancel all tasks and stop the reactor."""
    logs.write("ending")
    loop.cancel_all()
    if reactor.running:
        # Cancelled tasks need a few iterations of the loop to end.
        reactor.callLater(TASK_CANCEL_DELAY_S, reactor.stop)


def exit_with_error(why: str) -> None:
    """Print why the process cannot start and exit with code 2."""
    print(f"toucanspread: {why}", file=sys.stderr)
    sys.exit(2)
