"""Output and exit codes of the operator commands, run in process."""

import pathlib
import re
import tempfile

import testtools

from hornbeampier import errors
from hornbeampier import wsgi
from hornbeampier.coordination import records
from hornbeampier.coordination import standin
from hornbeampier.operators import overview
from hornbeampier.operators import report
from hornbeampier.operators import schema
from tests import cli_runner
from tests import configurations

HOST = "127.0.0.1"
INVALID_TEXT = (
    configurations.TEXT.replace("tier = 1", "tier = 99")
    .replace('kind = "engine"', 'kind = "motor"')
    .replace("min_share = 0.05", "min_share = 0.05\nmin_shares = 1")
    .replace('classes = ["urgent", "bulk"]', 'classes = ["urgent", "judges"]')
    .replace("max_wait_ms = 30000", "")
    .replace('default_class = "urgent"', 'default_class = "nobody"', 1)
    .replace('"PUT /fees/*"', '"PAY /fees/*"')
)
REPLACEMENT_VALUES = (
    "1", "-1", '""', '"x"', "[]", "[[1]]", "[1]", "{a = 1}", "nan", "true",
    "1979-05-27", '"\\u0000"',
)  # fmt: skip


class CheckTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.directory = pathlib.Path(directory.name)

    def write(self, text, name="site.toml"):
        path = self.directory / name
        path.write_text(text)
        return path

    def test_example_files_are_valid(self):
        files = sorted(cli_runner.EXAMPLES.glob("*/configuration.toml"))
        result = cli_runner.run("check", *files)
        self.assertEqual((0, ""), (result.exit_code, result.stderr))
        self.assertEqual(2, len(result.stdout.splitlines()))

    def test_all_problems_are_reported_together(self):
        path = self.write(INVALID_TEXT)
        result = cli_runner.run("check", path)
        self.assertEqual(3, result.exit_code)
        lines = [
            line.removeprefix(f"{path}: ")
            for line in result.stderr_lines
            if line.startswith(f"{path}: ")
        ]
        self.assertEqual(
            [
                "classes.urgent.tier: has to be at most 16; found 99",
                "classes.bulk.max_wait_ms: is missing; it has to be given",
                "classes.bulk.min_shares: is unknown; remove it or correct "
                "its spelling",
                "services.entry.non_idempotent: 'PAY /fees/*' is not a route; "
                "write 'METHOD /path'",
                "endpoints.engine-1.kind: is not allowed; allowed: 'engine' "
                "or 'service'; found 'motor'",
                "accounts.account-1.classes: 'judges' is unknown; allowed: "
                "bulk, urgent",
                "accounts.account-1.default_class: 'nobody' is unknown; "
                "allowed: judges, urgent",
                "accounts.account-2.classes: 'judges' is unknown; allowed: "
                "bulk, urgent",
            ],
            lines,
        )
        self.assertEqual(
            f"hornbeampier: error: {path} has 8 problems: correct the file "
            "and try again",
            result.stderr_lines[-1],
        )

    def test_one_invalid_file_makes_check_fail(self):
        good = self.write(configurations.TEXT, "good.toml")
        bad = self.write("a = [", "bad.toml")
        result = cli_runner.run("check", bad, good, self.directory / "none")
        self.assertEqual(3, result.exit_code)
        self.assertEqual(f"{good}: ok\n", result.stdout)
        self.assertIn("bad.toml: file: not valid TOML", result.stderr)
        self.assertIn("none: file: cannot be read", result.stderr)

    def test_invalid_value_of_any_key_is_reported_as_a_problem(self):
        lines = configurations.TEXT.splitlines()
        for index, line in enumerate(lines):
            key = re.match(r"\w+ = ", line)
            for value in REPLACEMENT_VALUES if key else ():
                changed = [*lines]
                changed[index] = key[0] + value
                try:
                    schema.parse("\n".join(changed))
                except errors.InvalidFileError as exc:
                    for problem in exc.problems:
                        self.assertRegex(problem, r"^[\w.-]+: \S")


class PublishCommandTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.cluster = configurations.ConfigurationCluster()
        server = wsgi.HttpServer(
            HOST, 0, standin.PlatformApp(self.cluster.platform)
        )
        server.start()
        self.addCleanup(server.stop)
        self.address = f"{HOST}:{server.port}"
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.path = pathlib.Path(directory.name) / "site.toml"

    def publish(self, text, *args):
        self.path.write_text(text)
        return cli_runner.run(
            "publish", self.path, "--log", self.address, *args
        )

    def test_acceptance_names_new_and_replaced_version(self):
        first = self.publish(configurations.TEXT)
        self.assertEqual("accepted: version 0\n", first.stdout)
        second = self.publish(configurations.text(1))
        self.assertEqual(
            "accepted: version 1, replaces version 0\n", second.stdout
        )

    def test_refusal_names_version_in_force_and_next_step(self):
        self.publish(configurations.TEXT)
        self.publish(configurations.text(1))
        result = self.publish(configurations.text(2), "--base", "0")
        self.assertEqual(4, result.exit_code)
        self.assertEqual(
            "hornbeampier: error: refused: the base is stale; version 1 is in "
            f"force: run 'hornbeampier fetch --log {self.address}', make your "
            "change there and publish with --base 1\n",
            result.stderr,
        )
        fetched = cli_runner.run("fetch", "--log", self.address)
        self.assertEqual(configurations.text(1), fetched.stdout)
        self.assertEqual("version 1\n", fetched.stderr)

    def test_invalid_file_is_not_appended(self):
        result = self.publish(INVALID_TEXT)
        self.assertEqual(3, result.exit_code)
        self.assertEqual({}, self.cluster.platform._streams)

    def test_lost_append_response_is_resolved_by_reading(self):
        self.cluster.platform.faults.lose_append_answers = 1
        result = self.publish(configurations.TEXT)
        self.assertEqual("accepted: version 0\n", result.stdout)
        stream = self.cluster.platform.read("configuration", 0, 10, 0)
        self.assertEqual(1, len(stream.records))

    def test_unreachable_log_is_reported(self):
        self.cluster.platform.faults.log_down = True
        result = cli_runner.run(
            "publish",
            self.write(),
            "--log",
            self.address,
            clock=self.cluster.clock,
        )
        self.assertEqual(6, result.exit_code)
        self.assertIn("error: not published: the log could", result.stderr)

    def test_unknown_publish_id_has_unknown_outcome(self):
        result = cli_runner.run(
            "publish-status", "pub-1", "--log", self.address
        )
        self.assertEqual(5, result.exit_code)
        self.assertIn("publish-status pub-1 --log", result.stderr)

    def test_publish_interrupted_after_append_has_unknown_outcome(self):
        read = self.cluster.platform.read
        streams = self.cluster.platform._streams

        def interrupt(*args):
            if "configuration" in streams and streams["configuration"].next:
                raise KeyboardInterrupt
            return read(*args)

        publisher = self.cluster.publisher()
        self.cluster.platform.read = interrupt
        self.assertRaises(
            KeyboardInterrupt, publisher.publish, configurations.TEXT
        )
        self.assertEqual("unknown", publisher.interrupted_result().outcome)

    def write(self):
        self.path.write_text(configurations.TEXT)
        return self.path


class StatusTest(testtools.TestCase):
    def make_report(self, **changes):
        fields = {
            "vm": "vm",
            "availability_zone": "z",
            "ready": True,
            "draining": False,
            "version": 4,
            "open_requests": 0,
            "endpoints": (report.EndpointRow("engine-1", "open", 2, 8),),
            "classes": (report.ClassRow("urgent", 1, 8, 6, 2, 0),),
            "useful_tokens": 90,
            "wasted_tokens": 10,
            "hint_bytes": 0,
            "log_age_ms": 100.0,
        }
        return report.VmReport(**{**fields, **changes})

    def serve_vm_list(self, *reports):
        """Serves a VM list and a report of each VM; returns its address."""
        platform = standin.Platform(configurations.ConfigurationCluster().clock)
        platform_port = self.serve(standin.PlatformApp(platform))
        for number, vm_report in enumerate(reports, 1):
            port = 1
            if vm_report is not None:
                port = self.serve(
                    lambda _, start, r=vm_report: wsgi.json_response(
                        start, 200, r
                    )
                )
            platform.put_vm(
                records.ListedVm(
                    f"vm-{number}", "z", HOST, hint_port=1, admin_port=port
                )
            )
        return f"{HOST}:{platform_port}"

    def serve(self, app):
        server = wsgi.HttpServer(HOST, 0, app)
        server.start()
        self.addCleanup(server.stop)
        return server.port

    def test_table_marks_vms_that_lag_or_do_not_respond(self):
        ejected = (report.EndpointRow("engine-1", "ejected", 1, 8),)
        address = self.serve_vm_list(
            self.make_report(),
            self.make_report(version=3, log_age_ms=9_000.0, endpoints=ejected),
            None,
        )
        result = cli_runner.run("status", "--vm-list", address)
        self.assertEqual(0, result.exit_code)
        self.assertEqual(
            [
                "VM               STATE    READY  VERSION  OPEN",
                "vm-1             live     yes    4        0",
                "vm-2             live     yes    3        0  behind  "
                "log not read for 9 s",
                "vm-3             live     no answer",
                "",
                "CLASS            WAITING  SERVED  REFUSED  ATTAINMENT",
                "urgent           2        16      4        60.0%",
                "",
                "ENDPOINT         STATES           IN FLIGHT",
                "engine-1         ejected/open     3",
                "",
                "goodput 16 answers, useful tokens 180, wasted tokens 20 "
                "(10.0%)",
            ],
            result.stdout.splitlines(),
        )

    def test_json_output_has_the_content_of_the_table(self):
        address = self.serve_vm_list(
            self.make_report(), self.make_report(version=3), None
        )
        overview_json = cli_runner.run(
            "status", "--vm-list", address, "--json"
        ).json()
        self.assertEqual(
            [False, True, False], [v["behind"] for v in overview_json["vms"]]
        )
        self.assertIsNone(overview_json["vms"][2]["report"])
        self.assertEqual(0.6, overview_json["classes"][0]["attainment"])

    def test_unreachable_vm_list_error_says_what_to_check(self):
        result = cli_runner.run("status", "--vm-list", f"{HOST}:1")
        self.assertEqual(6, result.exit_code)
        self.assertRegex(
            result.stderr,
            r"^hornbeampier: error: cannot connect to .*: check the platform's"
            r" address and try again\n$",
        )

    def test_overview_without_vms_can_be_rendered(self):
        self.assertIn("goodput 0", overview.render(overview.collect(())))
