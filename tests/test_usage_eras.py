"""Reports of usage after the store has returned from an older copy."""

import random

from tests import test_usage_reports as usage_reports
from tests import usage_network


class StoreEraTest(usage_reports.UsageTestCase):
    def lose_holders(self, network):
        """Kills all VMs that hold reports, after the copy has returned."""
        collectors = next(iter(network.vms.values())).exchange.collectors()
        for host in {*collectors, network.platform.holder}:
            network.kill(host)
        return collectors

    # Guards against ONE: a window is reported with the counts of the VMs that
    # are left, after the store and all holders have lost its report.
    def test_window_whose_report_is_lost_is_not_reported_anew(self):
        for waits_ms in (0, 1_000, 4_000):
            network = usage_network.UsageNetwork(5)
            network.run(12_000)
            reported = set(network.reports())
            network.platform.restore({})
            killed = self.lose_holders(network)
            network.run(waits_ms)
            for host in killed:
                network.start(host)
            network.platform.give(network.candidate())
            next_window = network.window() + 1
            network.run(25_000)
            self.assertTrue(reported <= set(network.reports()))
            self.assert_reported(network, next_window, next_window + 2)

    # Guards against ONE: a second holder of the new era does not know which
    # windows the first one did not finalize.
    def test_successor_in_the_same_era_knows_the_doubtful_windows(self):
        network = usage_network.UsageNetwork(5)
        network.run(12_000)
        network.platform.restore({})
        self.lose_holders(network)
        network.platform.give(network.candidate())
        network.run(1_000)
        network.kill(network.platform.holder)
        network.start("10.0.0.9")
        network.platform.give(network.candidate())
        network.run(25_000)
        network.reports()

    # Guards against windows that a holder skips though it held the duty all the
    # while, and so knows all reports.
    def test_holder_that_stays_skips_nothing(self):
        network = usage_network.UsageNetwork(3)
        first = network.window()
        # The second window has ended and is not finalized yet.
        network.run(10_500)
        network.platform.restore({})
        network.run(12_000)
        self.assert_reported(network, first, first + 3, deviation=0.0)

    # Guards against ONE: a VM that held the duty before takes what another
    # holder has reported since for not reported.
    def test_former_holder_knows_no_reports_of_the_one_after_it(self):
        network = usage_network.UsageNetwork(5)
        network.run(8_000)
        former = network.platform.holder
        other = next(host for host in network.vms if host != former)
        network.platform.give(other)
        network.loss = 1.0
        network.run(5_500)
        window = network.window() - 1
        self.assertIn(window, network.reports())
        network.kill(other)
        network.loss = 0.0
        network.platform.restore({})
        network.platform.give(former)
        network.run(usage_reports.SETTLE_MS)
        network.reports()

    # Guards against windows that a later takeover of the same era skips.
    def test_takeover_long_after_the_return_skips_nothing(self):
        network = usage_network.UsageNetwork(5)
        first = network.window()
        network.run(8_000)
        network.platform.restore(network.platform.records)
        network.run(8_000)
        network.kill(network.platform.holder)
        network.run(4_000)
        network.platform.give(network.candidate())
        network.run(usage_reports.SETTLE_MS)
        self.assert_reported(network, first, first + 4)

    def play(self, seed):
        """Plays 40 s with copies, kills of many VMs and lost responses."""
        rng = random.Random(seed)
        network = usage_network.UsageNetwork(6, loss=0.05, seed=seed)
        platform = network.platform
        copies = [{}]
        gone = []
        for _ in range(40):
            copies = [*copies[-4:], dict(platform.records)]
            match rng.choice(("copy", "kill", "start", "api", "call", "-")):
                case "copy":
                    platform.restore(rng.choice(copies))
                    copies = [dict(platform.records)]
                case "kill" if len(network.vms) > 3:
                    for host in rng.sample(sorted(network.vms), 3):
                        network.kill(host)
                        gone.append(host)
                case "start" if gone:
                    network.start(gone.pop())
                case "api":
                    platform.api_up = not platform.api_up
                case "call":
                    platform.drops_calls = not platform.drops_calls
            network.run(1_000)
            if platform.holder not in network.vms or rng.random() < 0.1:
                platform.give(network.candidate())
        platform.api_up = True
        platform.drops_calls = False
        return network

    # Guards against ONE in any order of copies, kills and takeovers.
    def test_no_window_has_two_reports_that_differ(self):
        for seed in range(usage_reports.HISTORIES):
            network = self.play(seed)
            first = network.window() + 1
            network.run(20_000)
            self.assert_reported(network, first, first + 1)
