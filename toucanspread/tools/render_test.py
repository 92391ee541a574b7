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
SEEN = {
    "instance_id": "heredia-a-1",
    "revision": 3,
    "services": [SERVICE],
    "instances": [INSTANCE],
}


class RenderTest(testtools.TestCase):
    def test_progress_counts_staged_chunks(self):
        self.assertEqual(0.375, render.service_progress(SEEN, SERVICE))
        self.assertIn("[#########...............]  38%", render.progress(SEEN))

    def test_whole_only_with_all_replicas(self):
        self.assertFalse(render.is_whole(SEEN))
        done = {**SEEN, "services": [{**SERVICE, "whole_replicas": 4}]}
        self.assertTrue(render.is_whole(done))

    def test_status_names_the_transfer(self):
        self.assertIn("v2: 5/10 chunks", render.status(SEEN))

    def test_difference_names_each_key(self):
        accepted = [{"service": "redactor", "version": "v1", "replicas": 4}]
        proposed = [{"service": "redactor", "version": "v2", "replicas": 4}]
        self.assertEqual(
            ["~ redactor.version: 'v1' -> 'v2'"],
            render.difference(accepted, proposed),
        )
        self.assertEqual([], render.difference(accepted, accepted))
