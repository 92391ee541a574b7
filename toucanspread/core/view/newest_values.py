"""The newest values of keys whose versions only grow.

The store may come back from an older copy and show an older value again until its
writer has written the newer one again. What a process has known stays in force.
"""

from collections.abc import Callable, Mapping
from typing import NamedTuple

VersionReader = Callable[[str, bytes], int | None]


class _VersionedValue(NamedTuple):
    version: int
    value: bytes


class NewestValues:
    """The newest value of each key that has versions.

    :param read_version: returns the version of a key's value; None if it has none.
    """

    def __init__(self, read_version: VersionReader):
        self._read_version = read_version
        self._newest: dict[str, _VersionedValue] = {}

    @property
    def has_versions(self) -> bool:
        """Return whether any key may have versions."""
        return self._read_version is not read_no_version

    @property
    def versions(self) -> dict[str, int]:
        """Return the newest known version of each key."""
        return {key: newest.version for key, newest in self._newest.items()}

    @property
    def values(self) -> dict[str, bytes]:
        """Return the newest known value of each key."""
        return {key: newest.value for key, newest in self._newest.items()}

    def choose(self, key: str, value: bytes) -> bytes:
        """Return a value, or the known one of a newer version in its place."""
        version = self._read_version(key, value)
        if version is None:
            return value
        known = self._newest.get(key)
        if known is not None and known.version > version:
            return known.value
        self._newest[key] = _VersionedValue(version, value)
        return value

    def forget(self, key: str) -> None:
        """Forget the value of a key that its writer has deleted."""
        self._newest.pop(key, None)

    def list_newer(self, versions: Mapping[str, int]) -> dict[str, bytes]:
        """Return the values of newer versions than the given ones, or of other keys."""
        newer = {}
        for key, newest in self._newest.items():
            known_version = versions.get(key)
            if known_version is None or newest.version > known_version:
                newer[key] = newest.value
        return newer


def read_no_version(key: str, value: bytes) -> None:
    """Return the version of a value where no key has versions."""
