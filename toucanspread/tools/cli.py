"""The command line: the two daemons and the operators' commands.

Imports of the daemons' libraries stand inside the commands, so that an operator's
command starts fast.
"""

import json
import pathlib
import sys
import time

import defopt

from toucanspread.tools import client, render

EXIT_USAGE = 2
EXIT_REFUSED = 3
EXIT_UNAVAILABLE = 4
WATCH_INTERVAL_S = 0.5


def entry(config: pathlib.Path) -> None:
    """Run the daemon of an entry instance.

    :param config: its YAML settings.
    """
    from toucanspread.ops import entry as daemon
    from toucanspread.ops import settings

    sys.exit(daemon.run(_read_settings(settings.EntrySettings, config)))


def endpoint(config: pathlib.Path) -> None:
    """Run the daemon of an endpoint instance.

    :param config: its YAML settings.
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
    """Show what a file of intents would change, and save the plan to confirm.

    :param file: YAML intents.
    :param entry: ip:port of an entry's HTTP address.
    :param output: where the plan is saved; FILE.plan.json when not given.
    :param manifest: manifests that give the intents' manifest hashes.
    :param remove: services whose intents are withdrawn.
    """
    intents, removed = _read_intents(file, manifest)
    removed += remove
    body = json.dumps({"intents": intents, "removed": removed}).encode()
    try:
        answer = client.post(entry, "/v1/plans", body)
    except client.EntryError as error:
        _fail(error)
    print(render.plan(answer))
    saved = {
        "plan_id": answer["plan"]["plan_id"],
        "base_revision": answer["plan"]["base_revision"],
        "intents": intents,
        "removed": removed,
    }
    path = output or file.with_suffix(".plan.json")
    path.write_text(json.dumps(saved, indent=1) + "\n")
    print(f"saved to {path}; confirm it with: toucanspread confirm {path}")


def confirm(plan: pathlib.Path, *, entry: str) -> None:
    """Confirm a plan that was saved by "plan".

    :param plan: the saved plan.
    :param entry: ip:port of an entry's HTTP address.
    """
    try:
        answer = client.post(entry, "/v1/confirmations", plan.read_bytes())
    except OSError as error:
        print(f"toucanspread: {plan}: {error.strerror}", file=sys.stderr)
        sys.exit(EXIT_USAGE)
    except client.EntryError as error:
        _fail(error)
    print(render.verdict(answer))


def status(*, entry: str) -> None:
    """Show the services and the instances as an entry sees them.

    :param entry: ip:port of an entry's HTTP address.
    """
    try:
        print(render.status(client.get(entry, "/v1/status")))
    except client.EntryError as error:
        _fail(error)


def watch(*, entry: str, until_whole: bool = False, timeout_s: float = 0.0) -> None:
    """Follow the spread of weights with a progress bar for each service.

    :param entry: ip:port of an entry's HTTP address.
    :param until_whole: end once every service has its replicas.
    :param timeout_s: end after this long with exit code 4; 0 is never.
    """
    started_s = time.monotonic()
    while True:
        try:
            seen = client.get(entry, "/v1/status")
        except client.EntryError as error:
            _fail(error)
        print(render.progress(seen), flush=True)
        if until_whole and render.is_whole(seen):
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
    """Compare a file of intents with the accepted ones; exits 1 when they differ.

    :param file: YAML intents.
    :param entry: ip:port of an entry's HTTP address.
    :param manifest: manifests that give the intents' manifest hashes.
    """
    from toucanspread.tools import intent_files

    proposed, _ = _read_intents(file, manifest)
    try:
        accepted = client.get(entry, "/v1/intents")
    except client.EntryError as error:
        _fail(error)
    lines = render.difference(
        intent_files.with_defaults(accepted["intents"]),
        intent_files.with_defaults(proposed),
    )
    print("\n".join(lines) or f"no difference at revision {accepted['revision']}")
    sys.exit(1 if lines else 0)


def manifest(
    directory: pathlib.Path, *, model: str, version: str, output: pathlib.Path
) -> None:
    """Write the manifest of a safetensors directory and print its hash.

    :param directory: the shards, their index and the adapters.
    :param model: the model's name.
    :param version: the version's name.
    :param output: where the manifest is written.
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
    """Tell the story of one request from the logs of many processes.

    :param request_id: the id that its caller gave the request.
    :param files: logs, of any processes and in any order.
    """
    from toucanspread.tools import explain as stories

    found = stories.story(request_id, _read_lines(files))
    for line in stories.render(found):
        print(line)
    if not found:
        sys.exit(EXIT_REFUSED)


def report(picture: pathlib.Path, files: list[pathlib.Path]) -> None:
    """Draw a day from the logs of many processes (needs matplotlib).

    :param picture: the file to write, by its suffix as PNG, SVG or PDF.
    :param files: logs, of any processes and in any order.
    """
    from toucanspread.tools import day as days
    from toucanspread.tools import picture as pictures

    try:
        pictures.draw(days.collect(_read_lines(files)), picture)
    except days.NoLinesError as error:
        print(f"toucanspread: {error}", file=sys.stderr)
        sys.exit(EXIT_REFUSED)
    except ImportError:
        print("toucanspread: matplotlib is not installed", file=sys.stderr)
        sys.exit(EXIT_USAGE)


def main() -> None:
    """Run the command line."""
    defopt.run(
        [
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
        ],
    )


def _read_lines(files: list[pathlib.Path]) -> list[str]:
    lines = []
    for path in files:
        lines.extend(path.read_text(errors="replace").splitlines())
    return lines


def _read_settings(kind: type, path: pathlib.Path):
    from toucanspread.ops import settings

    try:
        return kind.from_file(path)
    except settings.SettingsError as error:
        for problem in error.problems:
            print(f"toucanspread: {problem}", file=sys.stderr)
        sys.exit(EXIT_USAGE)


def _read_intents(
    path: pathlib.Path, manifests: list[pathlib.Path]
) -> tuple[list[dict], list[str]]:
    from toucanspread.tools import intent_files

    try:
        return intent_files.read(path, manifests)
    except intent_files.IntentFileError as error:
        for problem in error.problems:
            print(f"toucanspread: {problem}", file=sys.stderr)
        sys.exit(EXIT_USAGE)


def _fail(error: client.EntryError) -> None:
    print(f"toucanspread: {error}", file=sys.stderr)
    if error.answer is not None:
        print(render.refusal(error.answer), file=sys.stderr)
    sys.exit(EXIT_REFUSED if 400 <= error.status < 500 else EXIT_UNAVAILABLE)
