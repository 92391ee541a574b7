"""Starts the reactor for a test over loopback that runs its own coroutines.

Tests of trial start the reactor themselves, so it is stopped again after each test.
"""

import testtools
from twisted.internet import reactor

from toucanspread.ops import loop


def start(case: testtools.TestCase) -> None:
    """Start the reactor, and stop it when the test case has ended."""
    if reactor.running:
        return
    reactor.startRunning(installSignalHandlers=False)
    case.addCleanup(_stop)


def _stop() -> None:
    reactor.crash()
    # One more iteration, which takes back that the event loop is to stop.
    loop.EVENT_LOOP.run_forever()
