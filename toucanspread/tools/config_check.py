"""Checks a configuration before it is sent, and formats the result."""

import enum
import json
from collections.abc import Collection
from typing import NamedTuple

from toucanspread.core import data
from toucanspread.tools import config_differences, config_findings, config_format

IN_FORCE = "in force"
Finding = config_format.Finding
Severity = config_format.Severity


class ExitStatus(enum.IntEnum):
    """Exit status of the command, by the gravest finding."""

    GOOD = 0
    WARNINGS = 1
    ERRORS = 2


class CheckResult(NamedTuple):
    """Result of a check.

    :param differences: None if there is nothing to compare.
    """

    findings: tuple[Finding, ...]
    differences: tuple[config_differences.Difference, ...] | None = None

    @property
    def exit_status(self) -> ExitStatus:
        """Return the exit status; notes do not count."""
        severities = {finding.severity for finding in self.findings}
        if Severity.ERROR in severities:
            return ExitStatus.ERRORS
        if Severity.WARNING in severities:
            return ExitStatus.WARNINGS
        return ExitStatus.GOOD


def check(
    configuration_format: config_format.ConfigurationFormat,
    value: bytes,
    in_force: bytes | None = None,
    regions: Collection[data.RegionName] | None = None,
    prompt_tokens: int = 0,
) -> CheckResult:
    """Check a configuration, and compare it with the one in force if that is given.

    :param regions: regions that have engines; None if they are not known.
    :param prompt_tokens: size of a usual prompt, with which targets are compared.
    """
    names = configuration_format.names
    checked = configuration_format.read(value)
    findings = list(checked.findings)
    if checked.configuration is not None:
        findings += config_findings.ConfigurationChecker(
            checked.configuration, names, regions, prompt_tokens
        ).find()
    if in_force is None:
        return CheckResult(tuple(findings))
    current = configuration_format.read(in_force)
    if current.configuration is None:
        # No error: the checked configuration may be the one that replaces it.
        findings += [
            Finding(Severity.WARNING, IN_FORCE, f"cannot be compared: {item.message}")
            for item in current.findings
        ]
    if checked.configuration is None or current.configuration is None:
        return CheckResult(tuple(findings))
    differences = config_differences.compare(current, checked, names)
    version = checked.configuration.version
    current_version = current.configuration.version
    if differences and version <= current_version:
        message = f"{version} is not above {current_version}, the one in force:"
        message += " the programs ignore this configuration"
        findings.append(Finding(Severity.ERROR, "version", message))
    return CheckResult(tuple(findings), tuple(differences))


def format_text(result: CheckResult) -> str:
    """Return the result for people, one line for each finding and difference."""
    lines = []
    for finding in result.findings:
        place = f"{finding.place}: " if finding.place else ""
        lines.append(f"{finding.severity.value}: {place}{finding.message}")
    for difference in result.differences or ():
        callers = ", ".join(difference.callers) or "no callers"
        lines.append(
            f"differs: {difference.place}: {difference.before} -> {difference.after}"
            f" (affects {callers})"
        )
    if result.differences == ():
        lines.append("no differences from the configuration in force")
    counts = [
        sum(finding.severity is severity for finding in result.findings)
        for severity in (Severity.ERROR, Severity.WARNING)
    ]
    lines.append(f"{counts[0]} errors, {counts[1]} warnings")
    return "\n".join(map(_escape, lines))


def format_json(result: CheckResult) -> str:
    """Return the result as a JSON object for programs."""
    differences = result.differences
    if differences is not None:
        differences = [item._asdict() for item in differences]
    document = {
        "status": result.exit_status.name.lower(),
        "findings": [
            item._asdict() | {"severity": item.severity.value}
            for item in result.findings
        ],
        "differences": differences,
    }
    return json.dumps(document, indent=1)


def _escape(line: str) -> str:
    """Return a line without control characters, which names may contain."""
    return "".join(
        char if char.isprintable() else json.dumps(char)[1:-1] for char in line
    )
