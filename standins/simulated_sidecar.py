"""The link of an engine's instance, and the sidecar that fetches weights over it.

All bytes to an instance share its link in order of arrival. The sidecar decides with
the product's own stager how many pieces of weights it fetches at a time; requests, and
the closes of their connections, queue behind them.
"""

from collections.abc import Callable

from twisted.internet import task

from standins import load_profiles
from toucanspread.core.entry import data as entry_data
from toucanspread.core.weights import staging, staging_events, switch_turns

ROUND_TRIP_S = 0.0054  # to the holder of a piece
REPORT_INTERVAL_S = 0.2
CLOSE_BYTES = 60
REQUEST_HEAD_BYTES = 400
BYTES_PER_TOKEN = 4  # of a prompt


class InstanceLink:
    """The link to an instance; bytes arrive in the order in which they were sent."""

    def __init__(self, clock: task.Clock, profile: load_profiles.LinkProfile):
        self._clock = clock
        self._steps = profile.rates_mbps
        self._free_at_s = 0.0

    def send(self, size_bytes: int, call: Callable, *arguments) -> None:
        """Call a function once bytes that are sent now have passed the link."""
        now_s = self._clock.seconds()
        self._free_at_s = self._pass_s(max(self._free_at_s, now_s), size_bytes)
        self._clock.callLater(self._free_at_s - now_s, call, *arguments)

    def _pass_s(self, at_s: float, size_bytes: int) -> float:
        """Return when bytes have passed the link, which is free at a time."""
        bits = size_bytes * 8.0
        for until_s in [from_s for from_s, _ in self._steps if from_s > at_s]:
            rate = load_profiles.get_step_value(self._steps, at_s) * 1_000_000
            if at_s + bits / rate <= until_s:
                return at_s + bits / rate
            bits -= (until_s - at_s) * rate
            at_s = until_s
        rate = load_profiles.get_step_value(self._steps, at_s) * 1_000_000
        return at_s + bits / rate


class SimulatedSidecar:
    """Fetches the pieces of a version over the link, from its naming on.

    Its engine switches when the profile says so, not by the stager's order.

    :ivar link: the link to the instance.
    """

    def __init__(
        self,
        clock: task.Clock,
        link_profile: load_profiles.LinkProfile,
        model_profile: entry_data.ModelProfile,
    ):
        self.link = InstanceLink(clock, link_profile)
        self._clock = clock
        self._piece_bytes = model_profile.chunk_bytes
        transfer_s = self._piece_bytes * 8 / (link_profile.configured_mbps * 1_000_000)
        self._stager = staging.Stager(model_profile, transfer_s)
        self._digests = tuple(str(number) for number in range(model_profile.chunks))
        self._held_numbers: set[int] = set()
        self._is_done = False

    @property
    def link_delay_s(self) -> float:
        """The seconds for which pieces hold up other bytes, as the stager measures."""
        if self._is_done:
            return 0.0
        return self._stager.estimate_link_delay_s()

    def request_version(self, version: int) -> None:
        """Begin to fetch the pieces of a version that was named."""
        never_ordered = switch_turns.SwitchTiming(
            due_s=float("inf"), turn=1.0, max_spread_s=float("inf")
        )
        now_s = self._clock.seconds()
        self._execute(self._stager.on_version_named(version, never_ordered, now_s))
        self._report(version - 1)

    def on_switched(self) -> None:
        """End the fetching, as the engine switches."""
        self._is_done = True

    def _report(self, version: int) -> None:
        if self._is_done:
            return
        event = staging_events.ReportRead(version, False, 0, 0)
        self._execute(self._stager.on_report_read(event, self._clock.seconds()))
        self._clock.callLater(REPORT_INTERVAL_S, self._report, version)

    def _execute(self, effects: list) -> None:
        for effect in effects:
            if self._is_done:
                return
            match effect:
                case staging_events.ReadDigests(version=version):
                    event = staging_events.DigestsRead(version, self._digests)
                    self._clock.callLater(ROUND_TRIP_S, self._on_digests, event)
                case staging_events.CheckStagedPieces(version=version):
                    self._clock.callLater(0.0, self._on_checked, version)
                case staging_events.CollectPiece(version=version, number=number):
                    event = staging_events.PieceCollected(version, number)
                    self._clock.callLater(ROUND_TRIP_S, self._transfer, event)

    def _transfer(self, event: staging_events.PieceCollected) -> None:
        self.link.send(self._piece_bytes, self._on_piece, event)

    def _on_digests(self, event: staging_events.DigestsRead) -> None:
        self._execute(self._stager.on_digests_read(event, self._clock.seconds()))

    def _on_checked(self, version: int) -> None:
        event = staging_events.StagedPiecesChecked(
            version, frozenset(self._held_numbers)
        )
        self._execute(self._stager.on_staged_checked(event, self._clock.seconds()))

    def _on_piece(self, event: staging_events.PieceCollected) -> None:
        self._held_numbers.add(event.number)
        self._execute(self._stager.on_piece_collected(event, self._clock.seconds()))
