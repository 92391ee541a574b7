"""Sends reports of an engine's load to the entries, which choose engines by them.

A datagram to each entry takes a few dozen bytes.
"""

from collections.abc import Callable

import msgspec
from twisted.internet import protocol

from toucanspread.core import data
from toucanspread.core.entry import data as entry_data
from toucanspread.core.entry import entry_directory
from toucanspread.ops import datagrams

UNCHANGED_LOAD_INTERVAL_S = 0.6  # shorter than the maximum age of a load report
REMOTE_ZONE_LOAD_INTERVAL_S = 0.6  # entries of other zones send few requests


class _SendSchedule:
    """Decides when to send a load report to a group of entries.

    :param interval_s: seconds after which an unchanged report is repeated.
    """

    def __init__(self, interval_s: float):
        self._interval_s = interval_s
        self._last_sent: entry_data.EngineLoad | None = None
        self._last_s = float("-inf")

    def record_if_due(self, content: entry_data.EngineLoad, now_s: float) -> bool:
        """Return whether to send the report now, and record it as sent if so.

        :param content: the part of the report of which each change is sent at once.
        """
        if content == self._last_sent and now_s - self._last_s < self._interval_s:
            return False
        self._last_sent = content
        self._last_s = now_s
        return True


class LoadReportSender(protocol.DatagramProtocol):
    """Sends load reports to the entries.

    Entries of other zones get changes of the load less often than changes that decide
    whether they may use the engine, since traffic between regions is expensive.

    :param entries: returns the entries to send to.
    :param zone: availability zone of the engine.
    """

    def __init__(
        self,
        entries: Callable[[], list[entry_directory.EntryRecord]],
        reactor,
        zone: data.ZoneName,
    ):
        self._entries = entries
        self._reactor = reactor
        self._zone = zone
        self._same_zone_schedule = _SendSchedule(UNCHANGED_LOAD_INTERVAL_S)
        self._other_zones_schedule = _SendSchedule(REMOTE_ZONE_LOAD_INTERVAL_S)

    def send(self, load: entry_data.EngineLoad) -> None:
        """Send a report to the entries for which it is new or due again."""
        now_s = self._reactor.seconds()
        # Times until an order and a load count down by themselves and are no changes.
        without_times = msgspec.structs.replace(load, order_in_s=None, coming_in_s=None)
        without_load = msgspec.structs.replace(without_times, active=0, queued=0)
        is_same_zone_due = self._same_zone_schedule.record_if_due(without_times, now_s)
        is_other_zones_due = self._other_zones_schedule.record_if_due(
            without_load, now_s
        )
        payload = msgspec.msgpack.encode(load)
        for entry in self._entries():
            is_due = (
                is_same_zone_due if entry.zone == self._zone else is_other_zones_due
            )
            if not is_due:
                continue
            datagrams.send(self.transport, payload, entry.reports)
