import testtools

from toucanspread.ops import settings

VALID_SETTINGS = {
    "instance_id": "brest-a-1",
    "zone": "brest-a",
    "region": "finistere",
    "address": "127.0.0.1:7000",
    "http_address": "127.0.0.1:7001",
    "key_value_url": "http://127.0.0.1:8500",
    "instance_list_url": "http://127.0.0.1:8600",
}


class SettingsTest(testtools.TestCase):
    def collect_problems(self, **changes):
        content = {**VALID_SETTINGS, **changes}
        error = self.assertRaises(
            settings.SettingsError,
            settings.EntrySettings.from_config,
            content,
            "entry.yaml",
        )
        return error.problems

    def test_valid_settings(self):
        entry_settings = settings.EntrySettings.from_config(
            VALID_SETTINGS, "entry.yaml"
        )
        self.assertEqual("brest-a", entry_settings.zone)

    def test_all_errors_are_reported_together(self):
        problems = self.collect_problems(address="entry:7000", zone="Brest A", port=1)
        self.assertEqual(3, len(problems))
        self.assertEqual(
            "entry.yaml: address: 'entry:7000': "
            "must be ip:port with an IP address, not a host name",
            next(line for line in problems if ": address:" in line),
        )

    def test_wrong_type(self):
        problems = self.collect_problems(max_body_bytes="many")
        self.assertIn("max_body_bytes: 'many': Expected `int`", problems[0])

    def test_missing_required_key(self):
        content = {
            key: value for key, value in VALID_SETTINGS.items() if key != "region"
        }
        error = self.assertRaises(
            settings.SettingsError,
            settings.EntrySettings.from_config,
            content,
            "entry.yaml",
        )
        self.assertEqual(
            ["entry.yaml: region: required key is missing"], error.problems
        )

    def test_endpoint_needs_exactly_one_service(self):
        content = {
            key: VALID_SETTINGS[key] for key in VALID_SETTINGS if key != "http_address"
        }
        error = self.assertRaises(
            settings.SettingsError,
            settings.EndpointSettings.from_config,
            content,
            "endpoint.yaml",
        )
        self.assertIn("engine_url", error.problems[0])
