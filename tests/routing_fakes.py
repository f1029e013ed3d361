"""Endpoints, prompts and requests for routing tests without a network."""

import itertools
import random

from hornbeampier import clock as clocks
from hornbeampier.routing import announcements
from hornbeampier.routing import catalog
from hornbeampier.routing import choosers
from hornbeampier.routing import domain
from hornbeampier.routing import engine_model
from hornbeampier.routing import fleet
from hornbeampier.routing import limit_shares
from hornbeampier.routing import load_shedding
from hornbeampier.routing import peer_loads
from hornbeampier.routing import pools
from hornbeampier.routing import prefill
from hornbeampier.routing import prompt_kinds
from hornbeampier.routing import requests
from hornbeampier.routing import service_speeds

SERVICE = "models"
_ids = itertools.count()


def endpoint(endpoint_id, **overrides):
    fields = {
        "id": endpoint_id,
        "service": SERVICE,
        "host": "10.0.0.1",
        "port": 80,
        "availability_zone": "zone-1",
        "slots": 8,
        "leaving": False,
        "warmup_ms": 0.0,
        "started_ms": 1,
    }
    return domain.Endpoint(**{**fields, **overrides})


def route(name="route", **overrides):
    fields = {
        "name": name,
        "host": "site.example",
        "path_prefix": f"/{name}/",
        "semantics": domain.RequestSemantics.STREAM,
        "traffic_split": (domain.WeightedService(SERVICE, 1.0),),
        "timeout_ms": 10_000.0,
        "latency_target_ms": 500.0,
        "inter_event_target_ms": 200.0,
        "tier": 1,
        "max_attempts": 1,
        "anonymous": False,
        "resumable": False,
    }
    return domain.Route(**{**fields, **overrides})


def prompt(tokens, *shared):
    """A prompt of shared segments (id, tokens) and one segment of its own."""
    segments = [
        domain.PromptSegment(segment_id, count) for segment_id, count in shared
    ]
    own = tokens - sum(count for _, count in shared)
    segments.append(domain.PromptSegment(f"own-{next(_ids)}", own))
    return domain.Prompt("m", tokens, 100, 50, tuple(segments))


def request(prompt=None, request_route=None, **overrides):
    fields = {
        "id": f"id-{next(_ids)}",
        "method": b"POST",
        "target": b"/route/x",
        "host": b"site.example",
        "headers": (),
        "body": b"",
        "route": request_route or route(),
        "service": SERVICE,
        "account": None,
        "arrived_ms": 0.0,
        "deadline_ms": 10_000.0,
        "caller_deadline_ms": 10_000.0,
        "fingerprint": "f",
        "prompt": prompt,
        "urgency": 0,
    }
    return requests.Request(**{**fields, **overrides})


class RoutingFixture:
    """A catalog, a fleet and the loads of peers, on one manual clock."""

    def __init__(self, count):
        self.clock = clocks.ManualClock()
        self.catalog = catalog.Catalog()
        self.announcements = announcements.Announcements(
            limit_shares.LimitShares("10.0.0.1", tuple).share_per_s,
            lambda service, kind: None,
            self.clock,
            random.Random(1),
        )
        self.fleet = fleet.Fleet(self.catalog, self.announcements, self.clock)
        self.peers = peer_loads.PeerLoads(self.clock)
        for number in range(count):
            self.catalog.apply_endpoint(endpoint(f"e{number}"))

    @property
    def states(self):
        return self.fleet.serving(SERVICE)


class ChooserFixture:
    """An engine chooser with the components that tests access."""

    def __init__(self, fixture, traits=lambda service: None, seed=1, zone=""):
        self.classifier = prompt_kinds.PromptClassifier()
        self.models = engine_model.EngineModels()
        self.pools = pools.EnginePools(
            self.classifier, self.models, traits, fixture.clock
        )
        self.prefill_meter = prefill.PrefillMeter(fixture.clock)
        self.load_shedder = load_shedding.LoadShedder(
            self.classifier, fixture.clock, random.Random(seed)
        )
        self.chooser = choosers.EngineChooser(
            fixture.fleet,
            fixture.peers,
            self.pools,
            self.classifier,
            self.prefill_meter,
            self.load_shedder,
            self.models,
            traits,
            service_speeds.ServiceSpeeds(
                fixture.fleet, fixture.peers, fixture.clock
            ),
            random.Random(seed),
            zone,
        )
