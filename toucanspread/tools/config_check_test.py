"""Tests that the check finds what the programs refuse, replace or never use."""

import io
import json
import sys
from unittest import mock

import hypothesis
from hypothesis import strategies

from toucanspread import __main__ as program
from toucanspread.core import decoder
from toucanspread.ops.telemetry import logs
from toucanspread.platform import configuration_format, decoding, decoding_test
from toucanspread.tools import cli_test, config_check

ROUTE = {
    "name": "r-1",
    "host": "chat.example",
    "prefix": "/a/",
    "kind": "idempotent",
    "timeout_ms": 3000,
    "slo_ms": 405,
    "service": "s-1",
    "attempts": 2,
}
ENGINE = {"models": [{"name": "m"}], "step_ms": 8, "stride": 5, "read_per_s": 10_000}
SERVICE = {"name": "s-1", "engine": ENGINE}
TEAM = {"name": "t-1", "api_keys": ["secret-1"]}
GOOD = {"version": 7, "routes": [ROUTE], "services": [SERVICE], "tenants": [TEAM]}
ORIGIN = {"name": "o", "origin": "10.0.0.1:80"}
FORMAT = configuration_format.StoreFormat()
CHECKED_REGIONS = frozenset({"a", "b"})


def check(configuration, in_force=None, **options):
    if in_force is not None:
        in_force = json.dumps(in_force).encode()
    value = json.dumps(configuration).encode()
    return config_check.check(FORMAT, value, in_force, **options)


def with_route(**fields):
    return GOOD | {"routes": [ROUTE | fields]}


def with_service(**fields):
    return GOOD | {"services": [SERVICE | fields]}


def with_team(**fields):
    return GOOD | {"tenants": [TEAM | fields]}


def with_split(*weights):
    split = [
        {"service": f"s-{number}", "weight": weight}
        for number, weight in enumerate(weights, 1)
    ]
    services = [{"name": part["service"]} for part in split]
    return with_route(traffic_split=split) | {"services": services}


def with_second_route(**fields):
    second = ROUTE | {"name": "r-2", "host": "b.example"} | fields
    return GOOD | {"routes": [ROUTE, second]}


def with_engine(**fields):
    return with_service(engine=ENGINE | fields)


# Configurations, each with the beginning of the one line that reports its fault.
SPLIT_2 = "routes[r-1].traffic_split[s-2].weight"
REGIONS = "allowed_regions"
REGIONS_APART = with_route(allowed_regions=["a"]) | {
    "tenants": [TEAM | {"allowed_regions": ["b"]}]
}
COLD_MODEL = {"name": "m", "warmup_s": -1}
TWICE = {"services": [SERVICE, SERVICE]}
UNUSED = {"services": [SERVICE, {"name": "s-2"}, ORIGIN]}
SHARED_KEY = {"tenants": [TEAM, TEAM | {"name": "t-2"}]}
CLAMPED = "out of bounds: the programs use"
FINDINGS = [
    ([], "error: the programs refuse it"),
    (GOOD | {"version": -1}, "error: the programs refuse it"),
    (GOOD | {"odd": [[[]] * 2] * 2}, "note: odd: not read"),
    (with_route(slo=3), "note: routes[r-1].slo: not read"),
    (with_route(timeout_ms=1e12), f"error: routes[r-1].timeout_ms: {CLAMPED}"),
    (with_split(1, 1e12), f"error: {SPLIT_2}: {CLAMPED} 1e+09"),
    (with_service(link_mbps=-1), f"error: services[s-1].link_mbps: {CLAMPED} 0"),
    (with_engine(layers=2000), f"error: services[s-1].engine.layers: {CLAMPED} 1000"),
    (
        with_engine(models=[COLD_MODEL]),
        f"error: services[s-1].engine.models[m].warmup_s: {CLAMPED} 0",
    ),
    (
        GOOD | {"limits": {"max_body_bytes": -1}},
        f"error: limits.max_body_bytes: {CLAMPED} 0",
    ),
    (with_team(priority=-1), f"error: tenants[t-1].priority: {CLAMPED} 0"),
    (with_route(kind="x", attempts=1), "error: routes[r-1].kind: unknown kind 'x'"),
    (GOOD | TWICE, "warning: services[s-1].name: 2 services"),
    (
        with_second_route(host="CHAT.example"),
        "warning: routes[r-2].prefix: hidden by route r-1",
    ),
    (with_route(prefix="a/"), "warning: routes[r-1].prefix: no path begins with 'a/'"),
    (GOOD | UNUSED, "warning: services[s-2]: no route"),
    (with_split(1, 0), f"warning: {SPLIT_2}: weight 0: the service gets no request"),
    (
        with_split(0),
        "warning: routes[r-1].traffic_split[s-1].weight: all weights are 0",
    ),
    (with_second_route(service=""), "error: routes[r-2]: names no service"),
    (
        with_second_route(service="x"),
        "error: routes[r-2].traffic_split[x]: no such service",
    ),
    (with_team(api_keys=[]), "warning: tenants[t-1].api_keys: no keys"),
    (
        GOOD | SHARED_KEY,
        "warning: tenants[t-1].api_keys[0]: the key also belongs to team t-2",
    ),
    (
        with_route(slo_ms=3001),
        "warning: routes[r-1].slo_ms: 3001 ms is over timeout_ms",
    ),
    (
        with_route(kind="non_idempotent"),
        "warning: routes[r-1].attempts: 2, but requests are not repeated",
    ),
    (
        with_route(kind="streaming"),
        "warning: routes[r-1].attempts: 2, but requests are not repeated",
    ),
    (with_service(cold_start_s=3), "warning: services[s-1].cold_per_s: 0 with cold_"),
    (
        with_route(slo_ms=39),
        "warning: routes[r-1].slo_ms: 39 ms, but an idle engine of s-1 needs 40 ms",
    ),
    (REGIONS_APART, f"warning: tenants[t-1].{REGIONS}: none in common with route r-1"),
    (
        with_team(allowed_regions=["a", "x"]),
        f"warning: tenants[t-1].{REGIONS}: region x has no engines",
    ),
    (
        with_route(allowed_regions=["x", "a"]),
        f"warning: routes[r-1].{REGIONS}: region x has no engines",
    ),
]


class FindingsTest(cli_test.CommandTestCase):
    def test_good_configuration_has_no_findings(self):
        # A check that warns of sound declarations would be ignored.
        result = check(GOOD | {"services": [SERVICE, ORIGIN]}, regions=CHECKED_REGIONS)
        self.assertEqual((), result.findings)
        self.assertEqual(config_check.ExitStatus.GOOD, result.exit_status)

    def test_each_fault_is_found_once_at_its_place(self):
        statuses = {"error": 2, "warning": 1, "note": 0}
        for configuration, line in FINDINGS:
            result = check(configuration, regions=CHECKED_REGIONS)
            lines = config_check.format_text(result).splitlines()
            self.assertEqual(line, lines[0][: len(line)])
            self.assertEqual(2, len(lines), lines)
            self.assertEqual(statuses[line.partition(":")[0]], result.exit_status)

    def test_target_is_compared_with_the_prefill_of_a_usual_prompt(self):
        result = check(GOOD, prompt_tokens=3651)
        self.assertIn("405.1 ms for a prompt of 3651", result.findings[0].message)
        self.assertEqual((), check(GOOD, prompt_tokens=3650).findings)

    def test_common_regions_without_engines_are_found(self):
        both = {"allowed_regions": ["x", "a"]}, {"allowed_regions": ["x", "b"]}
        configuration = with_route(**both[0]) | {"tenants": [TEAM | both[1]]}
        messages = [
            item.message
            for item in check(configuration, regions=CHECKED_REGIONS).findings
        ]
        self.assertIn("none with engines in common with route r-1", messages[-1])
        self.assertEqual((), check(configuration).findings)

    def test_values_nested_too_deeply_for_a_comparison_are_an_error(self):
        # Recursion over them would end with a traceback.
        deep = json.loads("[" * 100 + "]" * 100)
        self.assertEqual(2, check(GOOD | {"odd": deep}).exit_status)


class DifferencesTest(cli_test.CommandTestCase):
    def compare(self, before, after):
        result = check(after | {"version": 8}, before)
        return [tuple(difference) for difference in result.differences]

    def test_equal_values_written_in_another_way_do_not_differ(self):
        after = with_route(priority=5, slo_ms=405.0, allowed_regions=[])
        self.assertEqual([], self.compare(GOOD, after))

    def test_fields_differ_by_name_with_the_callers_affected(self):
        chat = "chat.example/a/"
        cases = [
            (with_route(gap_target_ms=3), "routes[r-1].gap_target_ms", "absent", "3"),
            (with_route(name="r-2"), "routes[r-1]", "present", "absent"),
            (with_engine(layers=3), "services[s-1].engine.layers", "1", "3"),
            (with_split(2), "routes[r-1].traffic_split", "[]", "absent"),
        ]
        cases = [(*case, chat) for case in cases] + [
            (
                with_route(prefix="/b/"),
                "routes[r-1].prefix",
                '"/a/"',
                '"/b/"',
                chat,
                "chat.example/b/",
            ),
            (with_team(priority=3), "tenants[t-1].priority", "null", "3", "team t-1"),
            (
                GOOD | {"limits": {"max_body_bytes": 9}},
                "limits.max_body_bytes",
                "4194304",
                "9",
                "all callers",
            ),
        ]
        for after, place, old, new, *callers in cases:
            found = self.compare(GOOD, after)
            self.assertEqual((place, old, new, tuple(callers)), found[0])

    def test_keys_are_counted_and_not_shown(self):
        # Keys are secrets; the output may go to a log.
        team = {"api_keys": ["secret-2"], "api_key": "secret-3"}
        result = check(with_team(**team), GOOD)
        text = config_check.format_text(result) + config_check.format_json(result)
        self.assertIn("1 keys (1 added, 1 removed)", text)
        self.assertNotIn("secret", text)

    def test_version_that_the_programs_would_ignore_is_an_error(self):
        result = check(with_route(slo_ms=400), GOOD)
        self.assertEqual(["version"], [item.place for item in result.findings])
        self.assertEqual(2, result.exit_status)

    def test_malformed_configuration_in_force_is_a_warning(self):
        # The checked configuration may be the repair.
        result = check(GOOD, {})
        self.assertEqual((1, None), (result.exit_status, result.differences))


class CommandTest(cli_test.CommandTestCase):
    def run_check(self, *words, standard_input=b""):
        stream = io.TextIOWrapper(io.BytesIO(standard_input))
        arguments = ["toucanspread", "check-config", *map(str, words)]
        with (
            mock.patch.object(sys, "argv", arguments),
            mock.patch.object(sys, "stdin", stream),
        ):
            return self.run_command(program.main)

    def test_json_output_of_the_standard_input(self):
        in_force = self.write("in-force.json", json.dumps(GOOD))
        checked = with_route(slo_ms=3001, allowed_regions=["x"]) | {"version": 8}
        options = (f"--in-force={in_force}", "--regions=a, b", "--json")
        stdin = json.dumps(checked).encode()
        code, output = self.run_check("-", *options, standard_input=stdin)
        document = json.loads(output)
        self.assertEqual((1, "warnings"), (code, document["status"]))
        self.assertEqual(["warning"] * 2, [f["severity"] for f in document["findings"]])
        expected = ["routes[r-1].slo_ms", "405", "3001", ["chat.example/a/"]]
        self.assertEqual(expected, list(document["differences"][0].values()))

    def test_text_output_has_no_control_characters_of_names(self):
        path = self.write("new.json", json.dumps(with_route(name="\x1b[2J", slo_ms=39)))
        code, output = self.run_check(path)
        self.assertEqual(1, code)
        self.assertIn("warning: routes[\\u001b[2J].slo_ms: 39 ms", output)

    def test_file_that_cannot_be_read_is_an_error_without_a_traceback(self):
        code, output = self.run_check(self.directory / "none.json")
        self.assertEqual(2, code)
        self.assertIn("cannot be read", output)


FULL = with_route(priority=1, traffic_split=[{"service": "s-1", "weight": 2.0}]) | {
    "services": [
        SERVICE
        | {"cold_start_s": 3, "cold_per_s": 14, "link_mbps": 2}
        | {"engine": ENGINE | {"layers": 4, "chunks": 8, "chunk_bytes": 100}}
    ],
    "limits": {"max_body_bytes": 9, "max_header_bytes": 9, "idle_timeout_ms": 9},
    "tenants": [TEAM | {"priority": 1}],
}


class FuzzTest(cli_test.CommandTestCase):
    def find_status(self, value):
        """Return the status of bytes, also compared with a good configuration."""
        good = json.dumps(GOOD).encode()
        for checked, in_force in ((value, good), (good, value), (value, None)):
            result = config_check.check(FORMAT, checked, in_force, CHECKED_REGIONS, 1)
            config_check.format_text(result).encode()
            json.loads(config_check.format_json(result))
        # The version is not above that in force, so only the last status counts.
        return result.exit_status

    def check_status(self, value):
        status = self.find_status(value)
        with mock.patch.object(logs, "write") as logged:
            try:
                decoding.decode_configuration(value)
            except decoder.MalformedError:
                self.assertEqual(config_check.ExitStatus.ERRORS, status)
        if logged.called:
            self.assertEqual(config_check.ExitStatus.ERRORS, status)

    @hypothesis.seed(20261206)
    @hypothesis.settings(max_examples=1000, deadline=None, database=None)
    @hypothesis.given(strategies.data())
    def test_changed_configurations_are_never_good_if_the_programs_reject_them(
        self, draws
    ):
        configuration = FULL
        odd_numbers = strategies.integers(-9, 10**10) | decoding_test.ODD_NUMBERS
        for _ in range(draws.draw(strategies.integers(1, 2))):
            paths = list(decoding_test.list_paths(configuration))
            path = draws.draw(strategies.sampled_from([(), *paths])) if paths else ()
            odd = draws.draw(odd_numbers | decoding_test.ODD_VALUES)
            configuration = decoding_test.change_at(configuration, path, odd)
        self.check_status(json.dumps(configuration).encode())

    def test_unchanged_configuration_of_the_fuzz_is_good(self):
        # Another error in it would hide a rejection that the check misses.
        self.assertEqual(0, self.find_status(json.dumps(FULL).encode()))

    @hypothesis.seed(20261206)
    @hypothesis.settings(max_examples=300, deadline=None, database=None)
    @hypothesis.given(strategies.binary(), strategies.integers(0))
    def test_damaged_bytes_never_end_with_a_traceback(self, damage, place):
        value = json.dumps(GOOD).encode()
        place %= len(value)
        self.check_status(value[:place] + damage + value[place + len(damage) :])
