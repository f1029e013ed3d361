"""Responses of the product's own interface and engines' software versions."""

import gevent
import testtools

from hornbeampier import router
from hornbeampier.policy import health
from hornbeampier.policy import timeouts
from tests import clusters
from tests import processes

TOKENS = 12
REQUESTS = 8
VERSIONS = ("1.0", "1.0", "2.0", "2.0")


class ResponseVersionTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.patch(router, "BACKOFF_MS", 20.0)
        self.patch(health, "BASE_EJECTION_MS", 50.0)

    def interrupt(self, cluster, **control):
        """Lets each engine interrupt the next response."""
        for index, version in enumerate(VERSIONS):
            cluster.control(
                index,
                software_version=version,
                fault="truncate",
                fault_after=5,
                fault_count=1,
                **control,
            )

    def versions_by_request(self, cluster):
        versions = {}
        for run in cluster.runs():
            if run.tokens:
                versions.setdefault(run.request_id, set()).add(
                    run.software_version
                )
        return versions.values()

    # Guards against responses whose text two software versions wrote: the
    # router resumed them at any engine that was free.
    def test_response_is_resumed_at_the_version_that_began_it(self):
        with clusters.Cluster(engines=len(VERSIONS)) as cluster:
            for number in range(REQUESTS):
                self.interrupt(cluster)
                response = cluster.vm.chat(f"{number} tokens={TOKENS}")
                self.assertEqual(200, response.status, response.body)
                cluster.wait_idle()
            self.assertGreater(len(cluster.runs()), REQUESTS)
            for versions in self.versions_by_request(cluster):
                self.assertEqual(1, len(versions))

    def test_response_ends_if_no_engine_of_its_version_is_left(self):
        self.patch(timeouts, "RESUME_WAIT_MS", 300.0)
        classes = processes.CLASSES.replace("10000", "300")
        with clusters.Cluster(engines=2, classes=classes) as cluster:
            truncating = {
                "software_version": "1.0",
                "fault": "truncate",
                "fault_after": 5,
                "fault_count": 10,
            }
            cluster.control(0, **truncating)
            cluster.control(1, software_version="2.0", leaving=True)
            cluster.wait_for_versions("1.0", "2.0")
            call = gevent.spawn(cluster.vm.chat, f"tokens={TOKENS}")
            processes.wait_until(lambda: any(r.tokens for r in cluster.runs()))
            cluster.control(0, leaving=True, **truncating)
            cluster.control(1, software_version="2.0")
            response = call.get(timeout=10)
            self.assertNotIn("[DONE]", response.events())
            versions = {run.software_version for run in cluster.runs()}
            self.assertEqual({"1.0"}, versions)
