import testtools

from toucanspread.ops import settings

GOOD = {
    "instance_id": "brest-a-1",
    "zone": "brest-a",
    "region": "finistere",
    "address": "127.0.0.1:7000",
    "http_address": "127.0.0.1:7001",
    "key_value_url": "http://127.0.0.1:8500",
    "instance_list_url": "http://127.0.0.1:8600",
}


class SettingsTest(testtools.TestCase):
    def problems_of(self, **changes):
        loaded = {**GOOD, **changes}
        error = self.assertRaises(
            settings.SettingsError,
            settings.EntrySettings.from_config,
            loaded,
            "entry.yaml",
        )
        return error.problems

    def test_good(self):
        found = settings.EntrySettings.from_config(GOOD, "entry.yaml")
        self.assertEqual("brest-a", found.zone)

    def test_all_problems_are_reported_together(self):
        found = self.problems_of(address="entry:7000", zone="Brest A", port=1)
        self.assertEqual(3, len(found))
        self.assertEqual(
            "entry.yaml: address: 'entry:7000': "
            "allowed: ip:port, with the address as an IP number",
            next(line for line in found if ": address:" in line),
        )

    def test_wrong_type(self):
        found = self.problems_of(max_body_bytes="many")
        self.assertIn("max_body_bytes: 'many': Expected `int`", found[0])

    def test_missing(self):
        loaded = {key: value for key, value in GOOD.items() if key != "region"}
        error = self.assertRaises(
            settings.SettingsError,
            settings.EntrySettings.from_config,
            loaded,
            "entry.yaml",
        )
        self.assertEqual(["entry.yaml: region: missing"], error.problems)

    def test_endpoint_needs_just_one_service(self):
        loaded = {key: GOOD[key] for key in GOOD if key != "http_address"}
        error = self.assertRaises(
            settings.SettingsError,
            settings.EndpointSettings.from_config,
            loaded,
            "endpoint.yaml",
        )
        self.assertIn("engine_url", error.problems[0])
