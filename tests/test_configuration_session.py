"""VMs must follow what operators publish in spite of platform faults."""

import re

import testtools

from hornbeampier.operators import configuration_log
from tests import calls
from tests import configurations
from tests import golden
from tests import processes


class Session:
    """Records what operators do and what the VMs then report."""

    def __init__(self, deployment):
        self.deployment = deployment
        self.vms = list(deployment.vms)
        self.lines = []

    def add_comment(self, text):
        self.lines.append(f"# {text}")

    def publish(self, number, *args):
        text = self.deployment.configuration(accounts=number)
        result = self.deployment.publish(text, *args)
        self.lines.append(f"$ publish FILE {' '.join(map(str, args))}".strip())
        self.record(result)
        return result

    def record(self, result):
        self.lines += (result.stdout + result.stderr).splitlines()
        self.lines.append(f"exit code {result.exit_code}")

    def record_versions(self, min_version):
        for vm in self.vms:
            processes.wait_until(lambda v=vm: v.report()["ready"])
            processes.wait_until(
                lambda v=vm: v.report()["version"] >= min_version
            )
            version = vm.report()["version"]
            self.lines.append(f"{vm.name}: version {version}, ready")

    def append(self, text, base):
        body = configurations.record(base, text, "by-hand").encode()
        path = f"/streams/{configuration_log.STREAM}/records"
        calls.call(self.deployment.platform.port, "POST", path, body)

    def transcript(self, newest):
        """Returns the transcript without what differs from run to run.

        The version `newest` does: it counts the snapshots appended before it.
        """
        text = "\n".join(self.lines) + "\n"
        text = text.replace(f"version {newest}", "version NEWEST")
        text = re.sub(r"pub-[0-9a-f]+", "pub-ID", text)
        return re.sub(r"127\.0\.0\.1:\d+", "LOG", text)


class ConfigurationSessionTest(testtools.TestCase):
    def test_vms_follow_publishes_through_platform_faults(self):
        with processes.Deployment(vms=3) as deployment:
            session = Session(deployment)
            platform = deployment.platform
            session.add_comment("two operators start from version 0")
            session.publish(3, "--base", 0)
            session.publish(4, "--base", 0)
            session.record_versions(1)
            session.add_comment("the response to the append is lost")
            platform.control(lose_append_answers=1)
            session.publish(4, "--base", 1)
            session.record_versions(2)
            session.add_comment("bad files are appended by hand")
            for text in ("a = [", "a = " + "[" * 5_000, "a = " + "9" * 5_000):
                session.append(text, 2)
            session.publish(5, "--base", 2)
            session.record_versions(6)
            session.add_comment("the log is down; a VM is replaced")
            platform.control(log_down=True)
            session.vms.pop(0).process.kill()
            session.vms.append(deployment.start_vm())
            session.record_versions(6)
            session.add_comment("the log is back but was trimmed")
            calls.call(platform.port, "POST", "/forget/configuration/7")
            platform.control()
            newest = int(session.publish(6).stdout.split()[2].rstrip(","))
            session.record_versions(newest)
            golden.verify("configuration", session.transcript(newest))

    def test_vm_frozen_past_retention_catches_up(self):
        with processes.Deployment(
            vms=3, extra_vm_settings="snapshot_age_ms = 100\n"
        ) as deployment:
            frozen = deployment.vms[0]
            frozen.process.freeze()
            for number in (3, 4):
                result = deployment.publish(
                    deployment.configuration(accounts=number)
                )
                self.assertEqual(0, result.exit_code, result.stderr)
            live = deployment.vms[1:]
            for vm in live:
                processes.wait_until(lambda v=vm: v.report()["version"] > 0)
            newest = live[0].report()["version"]
            path = f"/forget/configuration/{newest}"
            calls.call(deployment.platform.port, "POST", path)
            frozen.process.thaw()
            processes.wait_until(lambda: frozen.report()["version"] == newest)
            self.assertTrue(frozen.report()["ready"])
