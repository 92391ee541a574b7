"""An entry's view of the system: the configuration, engines, versions and entries.

It is built from changes of the store, which are decoded into the events of this module.
Within the life of a process, a configuration is never replaced by an older one.
"""

from typing import NamedTuple

from toucanspread.core import data
from toucanspread.core.entry import data as entry_data
from toucanspread.core.entry import engines, entry_directory, routes
from toucanspread.core.view import source_selection

INITIAL_VERSION = 1  # of weights, until the operator names another one
# No request is sent to an engine with an older version so long before the time by which
# requests must begin on the new one.
VERSION_DISPATCH_MARGIN_S = 0.4
# What has not begun on an older version is withdrawn so long before the same time, and
# earlier by the time for which bytes to the engine are held on the way.
VERSION_WITHDRAWAL_MARGIN_S = 0.3
WITHDRAWAL_INTERVAL_S = 0.1  # between checks whether the time has come for an engine
RESTART_GRACE_S = 2.6  # a restarted process may still use an older version meanwhile
# During an outage of the store, processes of all zones query each other several times
# within this time.
OUTAGE_REPORT_MAX_AGE_S = 1.5


class ConfigurationSeen(data.Event):
    """A configuration was read from the store."""

    configuration: entry_data.Configuration


class EngineSeen(data.Event):
    """The entry of an engine was read from the store."""

    entry: entry_data.EngineEntry


class EngineRemoved(data.Event, tag="EngineGone"):
    """The entry of an engine was removed, or cannot be decoded any more."""

    engine_id: str


class VersionNamed(data.Event):
    """The operator has named a version of a model's weights."""

    model: data.ModelName
    version: int


class ChangeTiming(NamedTuple):
    """When a change was received, and since when it may have been in force.

    :param earliest_in_force_s: last time at which the store certainly did not have it.
    :param outage_ended_s: end of the last known outage that affected all processes.
    :param started_s: start of this process; None if unknown.
    :param contact_age_s: time without contact with the store when the change was
        requested; None if it is not known apart from the age of the copy.
    """

    received_s: float
    earliest_in_force_s: float
    outage_ended_s: float = float("-inf")
    started_s: float | None = None
    contact_age_s: float | None = None

    def due_s(self, within_s: float) -> float:
        """Return the time by which the change has to be carried out.

        A process that received nothing from the store for longer than
        ``MAX_TRUSTED_AGE_S`` was restarted or disconnected, and gets a grace period.
        That of a restarted process counts from its start, however late its first copy
        of the store is. If the store was unavailable to all processes, the time counts
        from the end of that outage.
        """
        due_s = self.earliest_in_force_s + within_s
        if not self._was_cut_off:
            return due_s
        if self.received_s - self.outage_ended_s <= OUTAGE_REPORT_MAX_AGE_S:
            return self.outage_ended_s + within_s
        grace_from_s = self.received_s
        has_no_earlier_copy = self.earliest_in_force_s == float("-inf")
        if has_no_earlier_copy and self.started_s is not None:
            grace_from_s = self.started_s
        return max(due_s, grace_from_s + RESTART_GRACE_S)

    @property
    def removed_s(self) -> float:
        """Return the time from which a removal that is the change counts.

        What was removed while a process received nothing may have expired only because
        its owner could not renew it, and gets time to return.
        """
        if self._was_cut_off:
            return self.received_s
        return self.earliest_in_force_s

    @property
    def _was_cut_off(self) -> bool:
        """Return whether this process had received nothing from the store for long.

        The time that an answer is on its way is no such time, though the copy is as old
        as that.
        """
        age_s = self.contact_age_s
        if age_s is None:
            age_s = self.received_s - self.earliest_in_force_s
        return age_s > source_selection.MAX_TRUSTED_AGE_S


class EvacuationSeen(data.Event):
    """The operator evacuates an availability zone."""

    zone: data.ZoneName


class EvacuationEnded(data.Event):
    """The operator allows requests to an availability zone again."""

    zone: data.ZoneName


class EntrySeen(data.Event):
    """The record of an entry was read from the store."""

    record: entry_directory.EntryRecord


class EntryRemoved(data.Event, tag="EntryGone"):
    """The record of an entry was removed."""

    name: str


class ModelVersions:
    """Versions of a model that the operator named, with the time of each."""

    def __init__(self):
        self.newest = INITIAL_VERSION
        self._timings: dict[int, ChangeTiming] = {}

    def add(self, version: int, timing: ChangeTiming) -> bool:
        """Add a version; return whether it is newer than all known ones."""
        if version <= self.newest:
            return False
        self.newest = version
        self._timings[version] = timing
        return True

    def due_s(self, version: int, within_s: float) -> float:
        """Return the time from which requests may not begin on older versions."""
        return self._timings[version].due_s(within_s)

    def minimum(self, now_s: float, within_s: float) -> int:
        """Return the lowest version on which requests may begin.

        :param within_s: time for which older versions may be used after a new one.
        """
        due = [
            version
            for version in self._timings
            if now_s >= self.due_s(version, within_s)
        ]
        return max(due, default=0)

    def upcoming(
        self, now_s: float, within_s: float
    ) -> tuple[entry_data.DueVersion, ...]:
        """Return the named versions before whose time requests may still begin.

        :param within_s: time for which older versions may be used after a new one.
        """
        extra_s = VERSION_DISPATCH_MARGIN_S - VERSION_WITHDRAWAL_MARGIN_S
        due = {version: self.due_s(version, within_s) for version in self._timings}
        return tuple(
            entry_data.DueVersion(version, due_s + extra_s)
            for version, due_s in due.items()
            if now_s < due_s + extra_s
        )


def list_withdrawal_delays_s(last_in_s: float) -> list[float]:
    """Return in how long requests are checked for whether they must be withdrawn.

    :param last_in_s: time until those to engines without a delay are withdrawn.
    """
    count = round(engines.MAX_LINK_DELAY_S / WITHDRAWAL_INTERVAL_S)
    delays_s = [
        last_in_s - number * WITHDRAWAL_INTERVAL_S for number in range(count, 0, -1)
    ]
    return [delay_s for delay_s in delays_s if delay_s > 0] + [max(last_in_s, 0.0)]


class ClusterState:
    """The state of the system that an entry knows.

    :param version_within_s: time within which requests must begin on a new version.
    :param drain_s: time for which a leaving engine still answers.
    """

    def __init__(self, version_within_s: float, drain_s: float):
        self.route_table: routes.RouteTable | None = None
        self.registry = engines.EngineRegistry(drain_s)
        self.directory = entry_directory.EntryDirectory()
        self._version_within_s = max(version_within_s - VERSION_DISPATCH_MARGIN_S, 0.0)
        self._versions_by_model: dict[data.ModelName, ModelVersions] = {}

    def apply(
        self, event: data.Event, timing: ChangeTiming, store_was_unavailable: bool
    ) -> bool:
        """Apply a change; return whether it changed the state.

        :param store_was_unavailable: whether records may have expired only because
            their owners could not renew them.
        """
        now_s = timing.received_s
        match event:
            case ConfigurationSeen(configuration):
                return self._apply_configuration(configuration)
            case EngineSeen(entry):
                return self.registry.put(entry, now_s)
            case EngineRemoved(engine_id):
                removed_s = now_s if store_was_unavailable else timing.removed_s
                self.registry.remove(engine_id, removed_s)
            case VersionNamed(model, version):
                return self.versions_of(model).add(version, timing)
            case EvacuationSeen(zone):
                return self.registry.evacuations.begin(zone)
            case EvacuationEnded(zone):
                return self.registry.evacuations.end(zone, now_s)
            case EntrySeen(record):
                self.directory.put(record)
            case EntryRemoved(name):
                self.directory.remove(name, now_s, store_was_unavailable)
        return True

    def apply_report(
        self,
        report: entry_data.EngineLoad | entry_data.PromptSent | entry_data.LimitNotice,
        now_s: float,
    ) -> list[engines.Engine]:
        """Apply a report on an engine by another process; ignore an outdated one.

        :return: the engines that are alive, as it says.
        """
        if isinstance(report, entry_data.EngineLoad):
            return self.registry.apply_load(report, now_s)
        engine = self.registry.get(report.engine_id)
        if isinstance(report, entry_data.LimitNotice):
            if engine is not None:
                engine.limit.on_notice(report, now_s)
            return []
        service = (
            self.route_table.services.get(report.service) if self.route_table else None
        )
        if engine is not None and service is not None and service.profile is not None:
            engine.add_remote_prompt(report.tokens, service.profile, now_s)
        return []

    def versions_of(self, model: data.ModelName) -> ModelVersions:
        """Return the named versions of a model."""
        return self._versions_by_model.setdefault(model, ModelVersions())

    def due_in_s(self, event: VersionNamed, now_s: float) -> float:
        """Return the time until requests must begin on a version that was named."""
        versions = self.versions_of(event.model)
        return versions.due_s(event.version, self._version_within_s) - now_s

    def withdrawal_in_s(self, event: VersionNamed, now_s: float) -> float:
        """Return the time until what has not begun on older versions is withdrawn."""
        extra_s = VERSION_DISPATCH_MARGIN_S - VERSION_WITHDRAWAL_MARGIN_S
        return self.due_in_s(event, now_s) + extra_s

    def minimum_version(self, service: entry_data.Service, now_s: float) -> int:
        """Return the lowest version on which a request to a service may begin."""
        if service.profile is None:
            return 0
        versions = self.versions_of(service.profile.model)
        return versions.minimum(now_s, self._version_within_s)

    def upcoming_versions(
        self, service: entry_data.Service, now_s: float
    ) -> tuple[entry_data.DueVersion, ...]:
        """Return the versions of a service's model that are not in force yet."""
        if service.profile is None:
            return ()
        versions = self.versions_of(service.profile.model)
        return versions.upcoming(now_s, self._version_within_s)

    def _apply_configuration(self, configuration: entry_data.Configuration) -> bool:
        if (
            self.route_table is not None
            and configuration.version <= self.route_table.version
        ):
            return False
        self.route_table = routes.RouteTable(configuration)
        return True
