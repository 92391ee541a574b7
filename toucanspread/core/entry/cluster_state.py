"""What an entry knows: the configuration, the engines, the versions, the entries.

It is made of the changes that the view reports, decoded into the events of this
module. A configuration never gives way to an older one within a process's life.
"""

from typing import NamedTuple

from toucanspread.core import data
from toucanspread.core.entry import data as entry_data
from toucanspread.core.entry import engines, entry_directory, routes
from toucanspread.core.view import source_selection

INITIAL_VERSION = 1  # of weights, until the operator names another
VERSION_MARGIN_S = 0.4  # a request's way to its engine, and its wait there
RESTART_GRACE_S = 2.6  # a process that has just come back is not held to older news yet
# All zones ask each other several times in this while the store is away.
OUTAGE_REPORT_MAX_AGE_S = 1.5


class ConfigurationSeen(data.Event):
    """The store holds a configuration."""

    configuration: entry_data.Configuration


class EngineSeen(data.Event):
    """The store holds an engine's entry."""

    entry: entry_data.EngineEntry


class EngineGone(data.Event):
    """An engine's entry is gone, or cannot be read any more."""

    engine_id: str


class VersionNamed(data.Event):
    """The operator has named a version of a model's weights."""

    model: data.ModelName
    version: int


class ChangeTiming(NamedTuple):
    """When a change was heard of, and since when it may have been in force.

    :param earliest_s: when the copy of the store was last known to be without it.
    :param outage_until_s: until when the store was known to be away for everybody.
    """

    received_s: float
    earliest_in_force_s: float
    outage_ended_s: float = float("-inf")

    def due_s(self, within_s: float) -> float:
        """Return when a change has to be carried out.

        Whoever was away for longer than a follower's copy ever is was started or cut
        off, and has a moment to come back. When the store was away for everybody,
        the time counts from the end of that.
        """
        due_s = self.earliest_in_force_s + within_s
        if (
            self.received_s - self.earliest_in_force_s
            <= source_selection.MAX_TRUSTED_AGE_S
        ):
            return due_s
        if self.received_s - self.outage_ended_s <= OUTAGE_REPORT_MAX_AGE_S:
            return self.outage_ended_s + within_s
        return max(due_s, self.received_s + RESTART_GRACE_S)


class EntrySeen(data.Event):
    """An entry has written its record."""

    record: entry_directory.EntryRecord


class EntryGone(data.Event):
    """An entry's record is gone."""

    name: str


class ModelVersions:
    """The newest version of a model, and what is known of when each was named."""

    def __init__(self):
        self.newest = INITIAL_VERSION
        self._news: dict[int, ChangeTiming] = {}

    def name(self, version: int, news: ChangeTiming) -> bool:
        """Take in a version; return whether it is newer than all before."""
        if version <= self.newest:
            return False
        self.newest = version
        self._news[version] = news
        return True

    def due_s(self, version: int, within_s: float) -> float:
        """Return when requests may no longer begin on versions before this one."""
        return self._news[version].due_s(within_s)

    def minimum(self, now_s: float, within_s: float) -> int:
        """Return the version below which no request may begin any more.

        :param within_s: how long after a version older ones may still be used.
        """
        due = [
            version for version in self._news if now_s >= self.due_s(version, within_s)
        ]
        return max(due, default=0)


class ClusterState:
    """All of it.

    :param version_within_s: within which requests have to begin on a new version.
    :param drain_s: for which an engine that leaves still answers.
    """

    def __init__(self, version_within_s: float, drain_s: float):
        self.route_table: routes.RouteTable | None = None
        self.registry = engines.EngineRegistry(drain_s)
        self.directory = entry_directory.EntryDirectory()
        self._version_within_s = max(version_within_s - VERSION_MARGIN_S, 0.0)
        self._named: dict[data.ModelName, ModelVersions] = {}

    def apply(
        self, event: data.Event, news: ChangeTiming, store_was_away: bool
    ) -> bool:
        """Take in a change; return whether it changed what the entry believes.

        :param store_was_away: whether records may have lapsed without cause.
        """
        now_s = news.received_s
        match event:
            case ConfigurationSeen(configuration):
                return self._configure(configuration)
            case EngineSeen(entry):
                return self.registry.put(entry)
            case EngineGone(engine_id):
                self.registry.remove(engine_id, now_s)
            case VersionNamed(model, version):
                return self.versions_of(model).name(version, news)
            case EntrySeen(record):
                self.directory.put(record)
            case EntryGone(name):
                self.directory.remove(name, now_s, store_was_away)
        return True

    def apply_report(
        self, report: entry_data.EngineLoad | entry_data.PromptSent, now_s: float
    ) -> None:
        """Take in what another process tells of an engine; late news may be void."""
        if isinstance(report, entry_data.EngineLoad):
            self.registry.apply_load(report, now_s)
            return
        engine = self.registry.get(report.engine_id)
        service = (
            self.route_table.services.get(report.service) if self.route_table else None
        )
        if engine is None or service is None or service.profile is None:
            return
        engine.add_remote_prompt(report.tokens, service.profile, now_s)

    def versions_of(self, model: data.ModelName) -> ModelVersions:
        """Return what is known of a model's versions."""
        return self._named.setdefault(model, ModelVersions())

    def due_in_s(self, event: VersionNamed, now_s: float) -> float:
        """Return the time until a version that was named has to be used."""
        named = self.versions_of(event.model)
        return named.due_s(event.version, self._version_within_s) - now_s

    def minimum_version(self, service: entry_data.Service, now_s: float) -> int:
        """Return the version below which no request to a service may begin."""
        if service.profile is None:
            return 0
        named = self.versions_of(service.profile.model)
        return named.minimum(now_s, self._version_within_s)

    def _configure(self, configuration: entry_data.Configuration) -> bool:
        if (
            self.route_table is not None
            and configuration.version <= self.route_table.version
        ):
            return False
        self.route_table = routes.RouteTable(configuration)
        return True
