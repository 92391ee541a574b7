"""The command line: the two daemons and the operators' commands.

The libraries of the daemons are imported inside the commands that need them, so that
the operators' commands start fast. Functions, parameters and their docstrings become
commands, options and help texts.
"""

import json
import pathlib
import sys
import time
from collections.abc import Callable

import defopt

from toucanspread.tools import client, config_format, render

EXIT_USAGE = 2
EXIT_REFUSED = 3
EXIT_UNAVAILABLE = 4
WATCH_INTERVAL_S = 0.5


def entry(config: pathlib.Path) -> None:
    """Run the daemon of an entry instance.

    :param config: YAML settings file of the daemon.
    """
    from toucanspread.ops import entry as daemon
    from toucanspread.ops import settings

    sys.exit(daemon.run(_read_settings(settings.EntrySettings, config)))


def endpoint(config: pathlib.Path) -> None:
    """Run the daemon of an endpoint instance.

    :param config: YAML settings file of the daemon.
    """
    from toucanspread.ops import endpoint as daemon
    from toucanspread.ops import settings

    sys.exit(daemon.run(_read_settings(settings.EndpointSettings, config)))


def plan(
    file: pathlib.Path,
    *,
    entry: str,
    output: pathlib.Path | None = None,
    manifest: list[pathlib.Path] = [],  # noqa: B006 (defopt reads the default)
    remove: list[str] = [],  # noqa: B006
) -> None:
    """Show what a file of intents would change, and save the plan for "confirm".

    :param file: YAML file of intents.
    :param entry: HTTP address of an entry, as ip:port.
    :param output: file for the plan; FILE with the suffix .plan.json if not given.
    :param manifest: manifest files, to fill in missing manifest hashes of intents.
    :param remove: services to remove from the configuration.
    """
    intents, removed = _read_intents(file, manifest)
    removed += remove
    body = json.dumps({"intents": intents, "removed": removed}).encode()
    try:
        answer = client.post(entry, "/v1/plans", body)
    except client.EntryError as error:
        _exit_with_error(error)
    print(render.plan(answer))
    saved = {
        "plan_id": answer["plan"]["plan_id"],
        "base_revision": answer["plan"]["base_revision"],
        "intents": intents,
        "removed": removed,
    }
    path = output or file.with_suffix(".plan.json")
    path.write_text(json.dumps(saved, indent=1) + "\n")
    print(f"plan saved to {path}; confirm it with: toucanspread confirm {path}")


def confirm(plan: pathlib.Path, *, entry: str) -> None:
    """Confirm a plan that "plan" saved.

    :param plan: file of the saved plan.
    :param entry: HTTP address of an entry, as ip:port.
    """
    try:
        answer = client.post(entry, "/v1/confirmations", plan.read_bytes())
    except OSError as error:
        print(
            f"toucanspread: {plan}: cannot be read: {error.strerror}", file=sys.stderr
        )
        sys.exit(EXIT_USAGE)
    except client.EntryError as error:
        _exit_with_error(error)
    print(render.verdict(answer))


def status(*, entry: str) -> None:
    """Show the services and the instances that an entry knows.

    :param entry: HTTP address of an entry, as ip:port.
    """
    try:
        print(render.status(client.get(entry, "/v1/status")))
    except client.EntryError as error:
        _exit_with_error(error)


def watch(*, entry: str, until_whole: bool = False, timeout_s: float = 0.0) -> None:
    """Show the rollout of each service as a progress bar until interrupted.

    :param entry: HTTP address of an entry, as ip:port.
    :param until_whole: exit once every service has all its replicas.
    :param timeout_s: exit with code 4 after this many seconds; 0 means no limit.
    """
    started_s = time.monotonic()
    while True:
        try:
            entry_status = client.get(entry, "/v1/status")
        except client.EntryError as error:
            _exit_with_error(error)
        print(render.progress(entry_status), flush=True)
        if until_whole and render.has_all_replicas(entry_status):
            return
        if timeout_s and time.monotonic() - started_s > timeout_s:
            sys.exit(EXIT_UNAVAILABLE)
        time.sleep(WATCH_INTERVAL_S)


def diff(
    file: pathlib.Path,
    *,
    entry: str,
    manifest: list[pathlib.Path] = [],  # noqa: B006 (defopt reads the default)
) -> None:
    """Compare a file of intents with the accepted ones; exit with 1 if they differ.

    :param file: YAML file of intents.
    :param entry: HTTP address of an entry, as ip:port.
    :param manifest: manifest files, to fill in missing manifest hashes of intents.
    """
    from toucanspread.tools import intent_files

    proposed, _ = _read_intents(file, manifest)
    try:
        accepted = client.get(entry, "/v1/intents")
    except client.EntryError as error:
        _exit_with_error(error)
    lines = render.differences(
        intent_files.fill_defaults(accepted["intents"]),
        intent_files.fill_defaults(proposed),
    )
    print("\n".join(lines) or f"no differences at revision {accepted['revision']}")
    sys.exit(1 if lines else 0)


def manifest(
    directory: pathlib.Path, *, model: str, version: str, output: pathlib.Path
) -> None:
    """Write the manifest of a safetensors directory and print its hash.

    :param directory: directory of the shards, their index and the adapters.
    :param model: name of the model.
    :param version: name of the version.
    :param output: file for the manifest.
    """
    from toucanspread.core.transfers import manifest as manifests
    from toucanspread.ops import weight_files

    try:
        built = weight_files.build_manifest(directory, model, version)
    except weight_files.WeightsError as error:
        print(f"toucanspread: {error}", file=sys.stderr)
        sys.exit(EXIT_USAGE)
    output.write_bytes(manifests.encode(built))
    print(manifests.hash_manifest(built))


def explain(request_id: str, files: list[pathlib.Path]) -> None:
    """Print the log events of one request from several processes, ordered by time.

    :param request_id: id that the caller gave the request.
    :param files: log files of any processes, in any order.
    """
    from toucanspread.tools import request_trace

    log_lines = request_trace.select_request_lines(request_id, _read_lines(files))
    for line in request_trace.format_trace(log_lines):
        print(line)
    if not log_lines:
        sys.exit(EXIT_REFUSED)


def report(picture: pathlib.Path, files: list[pathlib.Path]) -> None:
    """Plot outcomes, latencies and versions from logs (requires matplotlib).

    :param picture: image file to write; its suffix selects PNG, SVG or PDF.
    :param files: log files of any processes, in any order.
    """
    from toucanspread.tools import log_summary, summary_plot

    try:
        summary_plot.write_plot(
            log_summary.summarize_lines(_read_lines(files)), picture
        )
    except log_summary.NoLogLinesError as error:
        print(f"toucanspread: {error}", file=sys.stderr)
        sys.exit(EXIT_REFUSED)
    except ImportError:
        print(
            "toucanspread: report requires matplotlib, which is not installed",
            file=sys.stderr,
        )
        sys.exit(EXIT_USAGE)


def sizes(files: list[pathlib.Path]) -> None:
    """Print by route and size of the prompt which part of the attempts was served.

    :param files: log files of any entries, in any order.
    """
    from toucanspread.tools import size_summary

    for line in size_summary.format_lines(_read_lines(files)):
        print(line)


def make_check_config(
    configuration_format: config_format.ConfigurationFormat,
) -> Callable[..., None]:
    """Return the command "check-config" for a wire format of the configuration."""

    def check_config(
        file: str,
        *,
        in_force: str | None = None,
        regions: str | None = None,
        prompt_tokens: int = 0,
        json: bool = False,
    ) -> None:
        """Check a configuration; exit with 1 for warnings only and 2 for errors.

        :param file: JSON file of the configuration; - for the standard input.
        :param in_force: JSON file of the configuration to compare with.
        :param regions: regions that have engines, separated by commas.
        :param prompt_tokens: size of a usual prompt, compared with the targets.
        :param json: print JSON instead of text.
        """
        from toucanspread.tools import config_check

        result = config_check.check(
            configuration_format,
            _read_bytes(file),
            None if in_force is None else _read_bytes(in_force),
            None if regions is None else _split_names(regions),
            prompt_tokens,
        )
        format_result = config_check.format_json if json else config_check.format_text
        print(format_result(result))
        sys.exit(result.exit_status)

    return check_config


def main(
    configuration_format: config_format.ConfigurationFormat | None = None,
) -> None:
    """Run the command line.

    :param configuration_format: wire format of the configuration; None leaves out the
        command that checks one.
    """
    commands: list[Callable[..., None]] = [
        entry,
        endpoint,
        plan,
        confirm,
        status,
        watch,
        diff,
        manifest,
        explain,
        report,
        sizes,
    ]
    if configuration_format is not None:
        commands.append(make_check_config(configuration_format))
    defopt.run(commands)


def _split_names(text: str) -> frozenset[str]:
    return frozenset(name.strip() for name in text.split(","))


def _read_bytes(path: str) -> bytes:
    """Return the content of a file, or of the standard input for "-"."""
    try:
        if path == "-":
            return sys.stdin.buffer.read()
        return pathlib.Path(path).read_bytes()
    except (OSError, ValueError) as error:
        print(f"toucanspread: {path}: cannot be read: {error}", file=sys.stderr)
        sys.exit(EXIT_USAGE)


def _read_lines(files: list[pathlib.Path]) -> list[str]:
    lines = []
    for path in files:
        lines.extend(path.read_text(errors="replace").splitlines())
    return lines


def _read_settings(settings_type: type, path: pathlib.Path):
    from toucanspread.ops import settings

    try:
        return settings_type.from_file(path)
    except settings.SettingsError as error:
        for problem in error.problems:
            print(f"toucanspread: {problem}", file=sys.stderr)
        sys.exit(EXIT_USAGE)


def _read_intents(
    path: pathlib.Path, manifests: list[pathlib.Path]
) -> tuple[list[dict], list[str]]:
    from toucanspread.tools import intent_files

    try:
        return intent_files.read_intent_file(path, manifests)
    except intent_files.IntentFileError as error:
        for problem in error.problems:
            print(f"toucanspread: {problem}", file=sys.stderr)
        sys.exit(EXIT_USAGE)


def _exit_with_error(error: client.EntryError) -> None:
    print(f"toucanspread: {error}", file=sys.stderr)
    if error.answer is not None:
        print(render.refusal(error.answer), file=sys.stderr)
    sys.exit(EXIT_REFUSED if 400 <= error.status < 500 else EXIT_UNAVAILABLE)
