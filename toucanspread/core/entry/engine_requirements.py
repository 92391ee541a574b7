"""What a choice among engines depends on: the request, and where the entry is."""

from typing import NamedTuple

from toucanspread.core import data
from toucanspread.core.entry import cold_engines, region_rules
from toucanspread.core.entry import data as entry_data


class EngineRequirements(NamedTuple):
    """Requirements of a request on its engine.

    :param minimum_version: minimum version of the weights; 0 if any version will do.
    :param excluded: ids of engines that were already tried.
    :param likely_tokens: likely number of tokens of the answer.
    :param was_interrupted: whether an engine has interrupted the request before.
    :param skips_limited: whether engines that name a limit are left out.
    :param skips_trials: whether engines are left out that a trial after a backoff has
        not shown to be back.
    :param upcoming_versions: versions from whose time on requests may not begin on
        older ones.
    :param prefill_s: time that an engine needs for the prefill of the prompt.
    :param rate_per_s: requests for the service that this entry gets in a second.
    :param allowed_regions: regions in which the request may be served; None for all.
    :param call: the request; None if its prompt does not matter.
    """

    service: entry_data.Service
    minimum_version: int = 0
    excluded: frozenset[str] = frozenset()
    likely_tokens: int = 0
    was_interrupted: bool = False
    skips_limited: bool = False
    skips_trials: bool = False
    upcoming_versions: tuple[entry_data.DueVersion, ...] = ()
    prefill_s: float = 0.0
    rate_per_s: float = 0.0
    allowed_regions: region_rules.Regions | None = None
    call: entry_data.Call | None = None


class EntryLocation(NamedTuple):
    """Location of the entry that chooses.

    :param entry_count: number of entries that send requests.
    :param senders: tells to which cold engines the entry may send; None if to all.
    """

    zone: data.ZoneName
    regions: dict[data.ZoneName, data.RegionName]
    entry_count: int
    senders: cold_engines.SenderSelector | None = None
