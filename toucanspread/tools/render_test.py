import testtools

from toucanspread.tools import render

SERVICE = {
    "service": "redactor",
    "version": "v2",
    "replicas": 4,
    "floor": 2,
    "whole_replicas": 1,
}
INSTANCE = {
    "instance_id": "heredia-a-e1",
    "role": "endpoint",
    "zone": "heredia-a",
    "state": "live",
    "service": "redactor",
    "version": "v1",
    "target_version": "v2",
    "staged_chunks": 5,
    "target_chunks": 10,
    "running": 2,
    "failure": "",
}
ENTRY_STATUS = {
    "instance_id": "heredia-a-1",
    "revision": 3,
    "services": [SERVICE],
    "instances": [INSTANCE],
}


class RenderTest(testtools.TestCase):
    def test_progress_counts_staged_chunks(self):
        self.assertEqual(0.375, render.compute_service_progress(ENTRY_STATUS, SERVICE))
        self.assertIn("[#########...............]  38%", render.progress(ENTRY_STATUS))

    def test_complete_only_with_all_replicas(self):
        self.assertFalse(render.has_all_replicas(ENTRY_STATUS))
        complete = {**ENTRY_STATUS, "services": [{**SERVICE, "whole_replicas": 4}]}
        self.assertTrue(render.has_all_replicas(complete))

    def test_status_shows_the_transfer(self):
        self.assertIn("v2: 5/10 chunks", render.status(ENTRY_STATUS))

    def test_differences_name_each_key(self):
        accepted = [{"service": "redactor", "version": "v1", "replicas": 4}]
        proposed = [{"service": "redactor", "version": "v2", "replicas": 4}]
        self.assertEqual(
            ["~ redactor.version: 'v1' -> 'v2'"],
            render.differences(accepted, proposed),
        )
        self.assertEqual([], render.differences(accepted, accepted))
