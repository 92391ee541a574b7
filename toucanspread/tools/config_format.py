"""Types with which the check of a configuration reads its wire format.

Only :mod:`toucanspread.platform` knows that format, and the tools may not import it. It
implements :class:`ConfigurationFormat`, and ``toucanspread.__main__`` passes the
implementation to the command line.
"""

import abc
import enum
from typing import Any, NamedTuple

from toucanspread.core.entry import data as entry_data


class Severity(enum.Enum):
    """How serious a finding is."""

    ERROR = "error"
    WARNING = "warning"
    NOTE = "note"


class Finding(NamedTuple):
    """A remark on a configuration.

    :param place: path of the value in the configuration, as ``routes[r-1].attempts``;
        empty for the whole value.
    """

    severity: Severity
    place: str
    message: str


class WireNames(NamedTuple):
    """Names of the wire format that only the platform's package may contain."""

    teams: str
    keys: str
    target: str
    resumable: str


class Reading(NamedTuple):
    """What was read from the bytes of a configuration.

    :param configuration: as the programs decode it; None if they refuse it.
    :param fields: the JSON object with the defaults filled in.
    :param findings: what the programs refuse, replace or do not read.
    """

    configuration: entry_data.Configuration | None
    fields: dict[str, Any]
    findings: tuple[Finding, ...]


class ConfigurationFormat(abc.ABC):
    """Wire format of the configuration."""

    @property
    @abc.abstractmethod
    def names(self) -> WireNames:
        """Return the names of sections and fields."""

    @abc.abstractmethod
    def read(self, value: bytes) -> Reading:
        """Read a configuration; malformed bytes become a finding."""
