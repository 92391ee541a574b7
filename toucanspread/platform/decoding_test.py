"""Tests that values of the store are decoded into the core's records or ignored."""

import json
import math
import random

import hypothesis
import msgspec
import testtools
from hypothesis import strategies

from toucanspread.core import bounds, data, decoder
from toucanspread.core.entry import (
    cluster_state,
    engine_requirements,
    engines,
    load_balancing,
)
from toucanspread.core.entry import data as entry_data
from toucanspread.core.view import store_view
from toucanspread.platform import decoding

ENTRY = {
    "service": "huvo11a",
    "address": "10.128.0.9:8080",
    "zone": "heredia-a",
    "version": "v1",
    "slots": 16,
    "state": "ready",
    "cold_left_ms": 1500,
    "born": 1771433930076,
    "models": [
        {
            "name": "m",
            "version": 3,
            "adapters": [],
            "layers": [{"from": 0, "to": 4, "version": 3}],
        }
    ],
    "sequence": 4,
}
CONFIG = {
    "version": 7,
    "routes": [
        {
            "name": "r1",
            "host": "Hulo84.example",
            "prefix": "/a/",
            "kind": "streaming",
            "timeout_ms": 6000,
            "slo_ms": 404,
            "priority": 1,
            "traffic_split": [
                {"service": "s1", "weight": 90},
                {"service": "s2", "weight": 10},
            ],
            "attempts": 2,
            "resume_streams": True,
            "gap_target_ms": 400,
        },
        {
            "name": "r2",
            "host": "hulo84.example",
            "prefix": "/a/b/",
            "kind": "non_idempotent",
            "timeout_ms": 800,
            "service": "s2",
        },
    ],
    "services": [
        {
            "name": "s1",
            "engine": {
                "slots": 16,
                "models": [{"name": "m", "warmup_s": 0.3}],
                "step_ms": 8.87,
                "stride": 5,
                "read_per_s": 19100.0,
                "layers": 4,
                "chunks": 8,
                "chunk_bytes": 100,
            },
        },
        {"name": "s3", "origin": "172.20.0.3:8006", "zone": "z2", "link_mbps": 15.0},
    ],
    "limits": {"max_header_bytes": 1000, "idle_timeout_ms": 9000},
    "tenants": [{"name": "t", "api_keys": ["k1", "k2"], "priority": 1}],
}

LONG_NUMBER = 10**309  # beyond the range of a float
NUMBER_FIELDS = {
    "slots": (1, bounds.MAX_SLOTS),
    "born": (0, bounds.MAX_UNIX_MS),
    "cold_left_ms": (0, bounds.MAX_DURATION_MS),
}
ODD_NUMBERS = strategies.one_of(
    strategies.integers(),
    strategies.integers(250, 400).map(lambda digits: 10**digits),
    strategies.integers(250, 400).map(lambda digits: -(10**digits)),
    strategies.floats(),
)
ODD_VALUES = strategies.recursive(
    strategies.none() | strategies.booleans() | strategies.text() | ODD_NUMBERS,
    lambda values: (
        strategies.lists(values) | strategies.dictionaries(strategies.text(), values)
    ),
    max_leaves=8,
)
LOCATION = engine_requirements.EntryLocation(data.ZoneName("heredia-a"), {}, 2)
ENGINE_KEY = "servers/i-1"


def encode_json(value):
    return json.dumps(value).encode()


def list_paths(value, path=()):
    """Yield the paths of all values inside a JSON value."""
    children = []
    if isinstance(value, dict):
        children = value.items()
    elif isinstance(value, list):
        children = enumerate(value)
    for key, child in children:
        yield (*path, key)
        yield from list_paths(child, (*path, key))


def change_at(value, path, changed):
    """Return a copy of a JSON value that has another value at a path."""
    if not path:
        return changed
    copied = value.copy()
    copied[path[0]] = change_at(value[path[0]], path[1:], changed)
    return copied


def choose_engine(configuration, entry):
    """Choose an engine for each service of a configuration, as an entry does."""
    for service in configuration.services:
        registry = engines.EngineRegistry(2.0)
        registry.put(
            entry_data.EngineEntry(
                "i-0", service.name, "10.0.0.1:1", "z", 16, entry_data.EngineState.READY
            )
        )
        if entry is not None:
            registry.put(entry)
        for engine in registry.of_service(service.name):
            if service.profile is not None:
                engine.add_prompt(100, service.profile, 0.0)
        requirements = engine_requirements.EngineRequirements(service, likely_tokens=10)
        load_balancing.choose_engine(
            registry, requirements, LOCATION, 0.0, random.Random(1)
        )


class DecodingTest(testtools.TestCase):
    def test_an_entry_is_decoded_with_its_times_in_seconds(self):
        entry = decoding.decode_engine("i-1", encode_json(ENTRY))
        self.assertEqual("10.128.0.9:8080", entry.address)
        self.assertEqual(1.5, entry.cold_left_s)
        self.assertEqual(1771433930076, entry.born_ms)
        profile = decoding.decode_configuration(encode_json(CONFIG)).services[0].profile
        self.assertEqual(3, entry_data.complete_version(entry.loaded, profile))

    def test_an_engine_with_some_layers_only_has_no_complete_version(self):
        partial_model = {
            **ENTRY["models"][0],
            "layers": [{"from": 0, "to": 3, "version": 3}],
        }
        entry = decoding.decode_engine(
            "i", encode_json({**ENTRY, "models": [partial_model]})
        )
        profile = decoding.decode_configuration(encode_json(CONFIG)).services[0].profile
        self.assertEqual(0, entry_data.complete_version(entry.loaded, profile))

    def test_unusable_entries_remove_the_engine(self):
        unusable_values = [
            b"\xff\xfe",
            b"[]",
            b"null",
            encode_json({}),
            encode_json({**ENTRY, "state": "gone"}),
            encode_json({**ENTRY, "slots": "16"}),
            encode_json({**ENTRY, "slots": 0}),
            encode_json({**ENTRY, "address": "here"}),
            encode_json({**ENTRY, "address": None}),
            encode_json({**ENTRY, "address": "10.0.0.1:\u00b2"}),
            encode_json({**ENTRY, "address": "10.0.0.1:99999"}),
            encode_json({**ENTRY, "address": "10.0.0.1:0"}),
            encode_json({**ENTRY, "address": "10.0.0.1:" + "9" * 5_000}),
        ]
        for value in unusable_values:
            change = store_view.KeyChange("servers/i-1", 3, value)
            event = decoding.decode_change(change)
            self.assertEqual(cluster_state.EngineRemoved("i-1"), event, value)

    @hypothesis.given(strategies.binary(max_size=200))
    @hypothesis.settings(derandomize=True, deadline=None)
    def test_no_value_in_the_store_raises_an_error(self, value):
        for key in ("servers/x", "op/config", "op/version/m", "entries/e", "other"):
            decoding.decode_change(store_view.KeyChange(key, 1, value))

    @hypothesis.given(
        strategies.sampled_from(list(list_paths(ENTRY))), ODD_NUMBERS | ODD_VALUES
    )
    @hypothesis.settings(derandomize=True, deadline=None, max_examples=400)
    def test_no_odd_entry_of_an_engine_raises_in_its_choice(self, path, odd):
        value = encode_json(change_at({**ENTRY, "service": "s1"}, path, odd))
        event = decoding.decode_change(store_view.KeyChange(ENGINE_KEY, 1, value))
        entry = getattr(event, "entry", None)
        choose_engine(decoding.decode_configuration(encode_json(CONFIG)), entry)

    def test_a_decode_pass_of_no_token_does_not_end_the_estimate_of_a_run(self):
        path = ("services", 0, "engine", "stride")
        value = encode_json(change_at(CONFIG, path, 0))
        (service, *_) = decoding.decode_configuration(value).services
        self.assertGreater(load_balancing.decode_s(service.profile, 10), 0.0)

    @hypothesis.given(
        strategies.sampled_from(list(list_paths(CONFIG))), ODD_NUMBERS | ODD_VALUES
    )
    @hypothesis.settings(derandomize=True, deadline=None, max_examples=400)
    def test_no_odd_configuration_raises_in_the_choice_of_an_engine(self, path, odd):
        value = encode_json(change_at(CONFIG, path, odd))
        change = store_view.KeyChange(decoding.CONFIGURATION_KEY, 1, value)
        event = decoding.decode_change(change)
        decoding.read_version(change.key, value)
        if event is None:
            return
        entry = decoding.decode_engine("i", encode_json({**ENTRY, "service": "s1"}))
        choose_engine(event.configuration, entry)
        for route in event.configuration.routes:
            weights = [share.weight for share in route.shares]
            self.assertTrue(math.isfinite(sum(weights)), weights)
            self.assertGreaterEqual(min(weights, default=0), 0)

    def test_an_entry_of_another_writer_without_a_field_names_no_engine(self):
        optional = {"born", "models"}
        for field in ENTRY:
            partial = {name: ENTRY[name] for name in ENTRY if name != field}
            entry = decoding.decode_engine("i-1", encode_json(partial))
            self.assertEqual(field in optional, entry is not None, field)
        for field in ("version", "sequence"):
            odd = {**ENTRY, field: [1]}
            self.assertIsNone(decoding.decode_engine("i-1", encode_json(odd)))

    def test_an_entry_with_fields_that_nobody_knows_is_used(self):
        value = encode_json({**ENTRY, "unknown": {"a": [1]}})
        self.assertIsNotNone(decoding.decode_engine("i-1", value))

    def test_numbers_of_an_entry_are_bounded_by_what_they_mean(self):
        for field, (lowest, highest) in NUMBER_FIELDS.items():
            for number in (lowest, highest):
                value = encode_json({**ENTRY, field: number})
                self.assertIsNotNone(decoding.decode_engine("i", value), field)
            for number in (lowest - 1, int(highest) + 1, LONG_NUMBER, math.nan):
                value = encode_json({**ENTRY, field: number})
                self.assertIsNone(decoding.decode_engine("i", value), field)

    def test_a_record_under_another_key_is_not_taken_for_that_of_an_entry(self):
        state = cluster_state.ClusterState(8.0, 2.0)
        timing = cluster_state.ChangeTiming(0.0, 0.0)
        record = {"name": "e-1", "zone": "z", "region": "r"}
        for key, ip in (("entries/e-1", "10.0.0.1"), ("entries/odd", "10.0.0.9")):
            ports = ("address", 80), ("control", 81), ("reports", 82)
            addresses = {name: f"{ip}:{port}" for name, port in ports}
            value = encode_json({**record, **addresses})
            event = decoding.decode_change(store_view.KeyChange(key, 1, value))
            if event is not None:
                state.apply(event, timing, False)
        serving = [known.address for known in state.directory.serving()]
        self.assertEqual(["10.0.0.1:80"], serving)

    def test_an_engine_whose_id_would_end_a_header_line_is_not_used(self):
        for engine_id in ("i-1\r\nX-Tenant: t", "i-1\n", "i\x00", "i\ud800"):
            entry = decoding.decode_engine(engine_id, encode_json(ENTRY))
            self.assertIsNone(entry, repr(engine_id))

    def test_more_ranges_of_layers_than_a_model_has_make_an_entry_unreadable(self):
        layers = [{"from": 0, "to": 1_000, "version": 1}]
        for count, is_read in ((1_000, True), (1_001, False)):
            models = [{"name": "m", "version": 1, "layers": layers * count}]
            for split in (models, [{**models[0], "layers": layers}] * count):
                entry = encode_json({**ENTRY, "models": split})
                decoded = decoding.decode_engine("i", entry)
                self.assertEqual(is_read, decoded is not None, count)

    def test_engines_keep_prompts_only_if_they_declare_it(self):
        for declared, expected in (({}, 0), ({"prefix_cache_tokens": 5_000}, 5_000)):
            settings = {"models": [{"name": "m"}], **declared}
            services = [{"name": "s", "engine": settings}]
            value = encode_json({"version": 1, "routes": [], "services": services})
            profile = decoding.decode_configuration(value).services[0].profile
            self.assertEqual(expected, profile.prefix_cache_tokens)

    def test_ranges_that_overlap_or_are_empty_count_each_layer_once(self):
        profile = decoding.decode_configuration(encode_json(CONFIG)).services[0].profile
        for ranges, version in (
            ([(0, 3), (1, 4)], 3),
            ([(0, 3), (1, 3)], 0),
            ([(4, 0)], 0),
            ([(2, 1), (0, 2), (2, 4)], 3),
        ):
            layers = [{"from": a, "to": b, "version": 3} for a, b in ranges]
            models = [{"name": "m", "version": 3, "layers": layers}]
            entry = encode_json({**ENTRY, "models": models})
            loaded = decoding.decode_engine("i", entry).loaded
            self.assertEqual(version, entry_data.complete_version(loaded, profile))

    def test_layers_beyond_those_of_any_model_are_never_counted_up(self):
        layers = {"from": 0, "to": 10**12, "version": 1}
        models = [{"name": "m", "version": 1, "layers": layers}]
        value = encode_json({**ENTRY, "models": models})
        self.assertIsNone(decoding.decode_engine("i", value))

    def test_an_odd_number_leaves_the_rest_of_the_configuration_in_force(self):
        for path, odd in (
            (("routes", 0, "priority"), LONG_NUMBER),
            (("routes", 0, "attempts"), LONG_NUMBER),
            (("routes", 0, "traffic_split", 0, "weight"), 1e308),
            (("routes", 0, "timeout_ms"), 1e308),
            (("services", 0, "engine", "chunks"), LONG_NUMBER),
            (("services", 0, "engine", "read_per_s"), 0),
            (("limits", "max_header_bytes"), LONG_NUMBER),
            (("tenants", 0, "priority"), -LONG_NUMBER),
        ):
            value = encode_json(change_at(CONFIG, path, odd))
            configuration = decoding.decode_configuration(value)
            self.assertEqual(2, len(configuration.routes), path)
            self.assertEqual(0.8, configuration.routes[1].timeout_s)
            # Records go to other processes in an encoding with integers of 64 bits.
            msgspec.msgpack.encode(configuration)

    def test_a_report_with_numbers_out_of_bounds_is_malformed(self):
        for field in ("active", "queued", "sequence", "born", "pace"):
            for number in (-1, LONG_NUMBER):
                self.assertRaises(
                    decoder.MalformedError,
                    decoding.decode_report,
                    encode_json({field: number}),
                )

    def test_a_configuration_is_decoded_into_routes_teams_and_limits(self):
        configuration = decoding.decode_configuration(encode_json(CONFIG))
        cluster = cluster_state.ClusterState(8.0, 2.0)
        cluster.apply(
            cluster_state.ConfigurationSeen(configuration),
            cluster_state.ChangeTiming(0.0, 0.0),
            False,
        )
        route = cluster.route_table.find_route("hulo84.example", "/a/b/c")
        self.assertEqual("r2", route.name)
        self.assertFalse(route.is_repeatable)
        route = cluster.route_table.find_route("hulo84.example", "/a/x")
        self.assertEqual([90, 10], [share.weight for share in route.shares])
        self.assertTrue(route.is_repeatable)
        self.assertEqual("t", cluster.route_table.find_team("k2").name)
        self.assertEqual(9.0, configuration.limits.idle_timeout_s)
        self.assertEqual("172.20.0.3:8006", cluster.route_table.origin_service().origin)
        self.assertEqual("z2", cluster.route_table.origin_service().origin_zone)

    def test_a_configuration_is_never_replaced_by_an_older_one(self):
        cluster = cluster_state.ClusterState(8.0, 2.0)
        for version in (7, 3, 9, 8):
            configuration = decoding.decode_configuration(
                encode_json({**CONFIG, "version": version})
            )
            cluster.apply(
                cluster_state.ConfigurationSeen(configuration),
                cluster_state.ChangeTiming(0.0, 0.0),
                False,
            )
        self.assertEqual(9, cluster.route_table.version)

    def test_only_values_of_the_operator_have_versions(self):
        for key, value, version in (
            ("op/config", encode_json(CONFIG), 7),
            ("op/version/m", b'{"model": "m", "version": 3}', 3),
            ("op/other", b'{"version": 3}', None),
            ("servers/e", encode_json(ENTRY), None),
            ("op/config", b"{", None),
            ("op/config", b'{"version": "7"}', None),
        ):
            self.assertEqual(version, decoding.read_version(key, value))
