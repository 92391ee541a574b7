"""Checks on which version of the weights simulated engines begin requests.

The rule and its figure are the platform's: no request begins on an older version later
than a while after a newer one was named.
"""


class VersionCheck:
    """Records the named versions and the begins of requests.

    :param within_s: time within which requests must begin on a version that was named.
    :ivar violations: the begins on a version that was too old.
    """

    def __init__(self, within_s: float):
        self.violations: list[str] = []
        self._within_s = within_s
        self._due_s: dict[int, float] = {}

    def record_named(self, now_s: float, version: int) -> None:
        """Record that a version was named."""
        self._due_s[version] = now_s + self._within_s

    def record_begin(self, now_s: float, version: int) -> None:
        """Record that an engine began a request on a version."""
        for newer, due_s in self._due_s.items():
            if newer <= version or now_s <= due_s:
                continue
            self.violations.append(
                f"{now_s:.2f}: begun on version {version}, {now_s - due_s:.2f} s after "
                f"the time for version {newer}"
            )
