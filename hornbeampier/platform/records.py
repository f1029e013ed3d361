"""Records that operators and endpoints write to the platform's store."""

from typing import Annotated
from typing import Literal

import msgspec

from hornbeampier import bounds
from hornbeampier import clock as clocks
from hornbeampier import errors
from hornbeampier.platform import fields
from hornbeampier.routing import domain

_SEMANTICS_BY_KIND = {
    "safe": domain.RequestSemantics.IDEMPOTENT,
    "unsafe": domain.RequestSemantics.ONCE,
    "streaming": domain.RequestSemantics.STREAM,
}
DEFAULT_INTER_EVENT_TARGET_MS = 1_000.0

MAX_AMOUNT = 1e15
# A finite number that is not below zero.
_Amount = Annotated[float, msgspec.Meta(ge=0, le=MAX_AMOUNT)]
_Timeout = Annotated[float, msgspec.Meta(gt=0, le=bounds.MAX_MS)]


class _WeightedService(msgspec.Struct):
    service: str
    weight: _Amount


class _Route(msgspec.Struct, rename="camel"):
    """A route; `sloMs` is the target for the first event, not a deadline."""

    name: str
    host: str
    path_prefix: str
    kind: Literal["safe", "unsafe", "streaming"]
    timeout_ms: bounds.Ms
    slo_ms: bounds.Ms
    priority: bounds.Integer
    max_attempts: bounds.Integer = 1
    service: str | None = None
    split: list[_WeightedService] | None = None
    anonymous: bool = False
    stream_resume: bool = False
    gap_aim_ms: bounds.Ms = DEFAULT_INTER_EVENT_TARGET_MS


class _Engine(msgspec.Struct, rename="camel"):
    """The engines of a service; `stride` is the number of tokens per event."""

    slots: bounds.Integer
    kv_tokens: bounds.Integer
    kv_bytes: _Amount = 0.0
    link_mbps: _Amount = 0.0
    stride: _Amount = 1.0


class _Autoscale(msgspec.Struct, rename="camel"):
    min: bounds.Integer
    max: bounds.Integer
    boot_time_s: bounds.Ms
    spot_price: float | None = None
    zone_prices: dict[str, float] = {}


class _Service(msgspec.Struct, rename="camel"):
    name: str
    health_path: str
    max_conns: bounds.Integer
    engine: _Engine | None = None
    autoscale: _Autoscale | None = None


class _Limits(msgspec.Struct, rename="camel"):
    header_bytes: bounds.Count
    max_body_bytes: bounds.Count
    header_timeout_ms: _Timeout
    idle_timeout_ms: _Timeout


class _Account(msgspec.Struct, rename="camel"):
    """A client account, which the platform calls tenant."""

    name: str
    api_keys: list[str]
    priority: bounds.Integer | None = None


class _Configuration(msgspec.Struct):
    version: bounds.Number
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits
    tenants: list[_Account] | None = None


class _Version(msgspec.Struct):
    """A configuration of which only the version is decoded."""

    version: bounds.Number


class _Endpoint(msgspec.Struct, rename="camel"):
    """An endpoint.

    `version` is that of its software, `born` the Unix time of its start in ms.
    """

    service: str
    address: str
    zone: str
    version: str
    slots: fields.Slots
    state: Literal["ready", "draining"]
    cold_left_ms: bounds.Ms
    sequence: bounds.Number
    born: bounds.Number = 0
    spot: bool = False
    leaves: bounds.Ms | None = msgspec.field(default=None, name="leaves_ms")


_version_decoder = msgspec.json.Decoder(_Version)
_configuration_decoder = msgspec.json.Decoder(_Configuration)
_endpoint_decoder = msgspec.json.Decoder(_Endpoint)


def decode_configuration(value: bytes) -> domain.Configuration:
    """Decodes a configuration record.

    Raises:
        errors.PlatformError: The record is malformed.
    """
    try:
        record = _configuration_decoder.decode(value)
        fields.check_text(record, value)
        return domain.Configuration(
            version=record.version,
            routes=tuple(_to_route(r) for r in record.routes),
            services={s.name: _to_service(s) for s in record.services},
            accounts=_to_accounts(record.tenants),
            limits=_to_limits(record.limits),
        )
    except Exception as exc:
        raise errors.PlatformError(f"malformed configuration: {exc}") from exc


def decode_version(value: bytes) -> int:
    """Decodes the version of a configuration record.

    Raises:
        errors.PlatformError: The record is malformed.
    """
    try:
        return _version_decoder.decode(value).version
    except Exception as exc:
        raise errors.PlatformError(f"malformed configuration: {exc}") from exc


def decode_endpoint(endpoint_id: str, value: bytes) -> domain.Endpoint:
    """Decodes an endpoint record.

    Raises:
        errors.PlatformError: The record is malformed.
    """
    try:
        fields.check_id(endpoint_id)
        record = _endpoint_decoder.decode(value)
        fields.check_text(record, value)
        address = fields.decode_address(record.address)
    except Exception as exc:
        raise errors.PlatformError(f"malformed endpoint record: {exc}") from exc
    return domain.Endpoint(
        id=endpoint_id,
        service=record.service,
        host=address.host,
        port=address.port,
        availability_zone=record.zone,
        slots=record.slots,
        leaving=record.state == "draining",
        warmup_ms=max(0.0, record.cold_left_ms),
        started_ms=record.born,
        software_version=record.version,
        sequence=record.sequence,
        spot=record.spot,
        leaves_in_ms=record.leaves,
    )


def _to_route(record: _Route) -> domain.Route:
    if record.split:
        traffic_split = tuple(
            domain.WeightedService(s.service, s.weight) for s in record.split
        )
    elif record.service is not None:
        traffic_split = (domain.WeightedService(record.service, 1.0),)
    else:
        raise ValueError(
            f"route {record.name} has neither a service nor a split"
        )
    return domain.Route(
        name=record.name,
        host=record.host,
        path_prefix=record.path_prefix,
        semantics=_SEMANTICS_BY_KIND[record.kind],
        traffic_split=traffic_split,
        timeout_ms=record.timeout_ms,
        latency_target_ms=record.slo_ms,
        inter_event_target_ms=record.gap_aim_ms,
        tier=record.priority,
        max_attempts=record.max_attempts,
        anonymous=record.anonymous,
        resumable=record.stream_resume,
    )


def _to_service(record: _Service) -> domain.Service:
    traits = None
    if record.engine is not None:
        traits = domain.EngineTraits(
            slots=record.engine.slots,
            kv_tokens=record.engine.kv_tokens,
            kv_bytes_per_token=record.engine.kv_bytes,
            link_mbps=record.engine.link_mbps,
            tokens_per_event=record.engine.stride,
        )
    return domain.Service(
        name=record.name,
        health_path=record.health_path,
        max_connections=record.max_conns,
        engine_traits=traits,
        autoscale=_to_autoscale(record.autoscale),
    )


def _to_autoscale(record: _Autoscale | None) -> domain.Autoscale | None:
    """Returns the bounds of orders, or None if they are invalid.

    Such bounds are not followed, but do not make the configuration invalid.
    """
    if record is None or not 0 <= record.min <= record.max:
        return None
    amounts = [record.boot_time_s, *record.zone_prices.values()]
    if record.spot_price is not None:
        amounts.append(record.spot_price)
    if any(amount < 0 for amount in amounts):
        return None
    return domain.Autoscale(
        min_per_zone=record.min,
        max_per_zone=record.max,
        boot_ms=record.boot_time_s * clocks.MS_PER_SECOND,
        spot_price=record.spot_price,
        zone_prices=record.zone_prices,
    )


def _to_accounts(
    records: list[_Account] | None,
) -> dict[str, domain.ClientAccount] | None:
    if records is None:
        return None
    accounts = {}
    for record in records:
        account = domain.ClientAccount(record.name, record.priority)
        accounts.update(dict.fromkeys(record.api_keys, account))
    return accounts


def _to_limits(record: _Limits) -> domain.Limits:
    return domain.Limits(
        header_bytes=record.header_bytes,
        body_bytes=record.max_body_bytes,
        header_timeout_ms=record.header_timeout_ms,
        idle_timeout_ms=record.idle_timeout_ms,
    )
