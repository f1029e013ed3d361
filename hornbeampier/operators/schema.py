"""The schema of the configuration file."""

import enum
import re
from typing import Annotated

import pydantic

from hornbeampier import errors
from hornbeampier import toml
from hornbeampier.operators import references

Name = Annotated[str, pydantic.Field(pattern=r"^[A-Za-z0-9][A-Za-z0-9_.-]*$")]
PositiveMs = Annotated[float, pydantic.Field(gt=0)]
Fraction = Annotated[float, pydantic.Field(ge=0, le=1)]
Port = Annotated[int, pydantic.Field(ge=1, le=65535)]
Sha256Hex = Annotated[str, pydantic.Field(pattern="^[0-9a-f]{64}$")]
ROUTE_PATTERN = re.compile(r"^(GET|HEAD|POST|PUT|PATCH|DELETE) /\S*$")
MAX_TIERS = 16
MAX_TEXT_BYTES = 128 * 1024


class _Table(pydantic.BaseModel):
    """An immutable table that rejects unknown keys."""

    model_config = pydantic.ConfigDict(
        extra="forbid", frozen=True, allow_inf_nan=False
    )


class RequestClass(_Table):
    """A class of requests with its latency targets and tier.

    Attributes:
        tier: 1 is the most urgent.
        first_token_ms: Target from arrival to the first token.
        between_tokens_ms: Target for the 95th percentile of the time between
            two tokens.
        complete_ms: Target from arrival to the end of the response.
        max_wait_ms: Longest time in the queue before a refusal.
        min_share: Fraction of dispatched work, measured as expected run time,
            that is reserved for the class under load.
    """

    name: Name
    tier: int = pydantic.Field(ge=1, le=MAX_TIERS)
    first_token_ms: PositiveMs | None = None
    between_tokens_ms: PositiveMs | None = None
    complete_ms: PositiveMs | None = None
    max_wait_ms: PositiveMs
    min_share: Fraction = 0.0


class Model(_Table):
    """A model that callers may request."""

    name: Name


class Service(_Table):
    """A plain service behind `/services/NAME/`.

    Attributes:
        request_class: The class of its requests.
        non_idempotent: `METHOD /path` routes that must not be retried if they
            may have run; a trailing `*` matches any rest of the path.
        idempotent: POST and PATCH routes that may be retried nevertheless.
        timeout_ms: Timeout of one attempt.
    """

    name: Name
    request_class: Name
    non_idempotent: tuple[str, ...] = ()
    idempotent: tuple[str, ...] = ()
    timeout_ms: PositiveMs = 30_000

    @pydantic.field_validator("non_idempotent", "idempotent")
    @classmethod
    def _check_routes(cls, routes: tuple[str, ...]) -> tuple[str, ...]:
        for route in routes:
            if not ROUTE_PATTERN.match(route):
                raise ValueError(
                    f"{route!r} is not a route; write 'METHOD /path'"
                )
        return routes


class EndpointKind(enum.StrEnum):
    """What an endpoint runs."""

    ENGINE = "engine"
    SERVICE = "service"


class Endpoint(_Table):
    """A server that runs models or plain services.

    Attributes:
        serves: Names of the models or services that it runs.
        slots: Requests that it runs concurrently.
    """

    name: Name
    kind: EndpointKind
    serves: tuple[Name, ...] = pydantic.Field(min_length=1)
    availability_zone: Name
    host: str = pydantic.Field(min_length=1)
    port: Port
    slots: int = pydantic.Field(default=8, ge=1, le=4096)


class ClientAccount(_Table):
    """A client account; only hashes of its keys are stored.

    Attributes:
        key_sha256: SHA-256 hashes of its keys.
        classes: Request classes that the account may use.
        default_class: The class of requests that name none.
        weight: Weight in the fair queue of a class, relative to other
            accounts.
    """

    name: Name
    key_sha256: tuple[Sha256Hex, ...] = pydantic.Field(min_length=1)
    classes: tuple[Name, ...] = pydantic.Field(min_length=1)
    default_class: Name
    weight: float = pydantic.Field(default=1.0, gt=0)


class Configuration(_Table):
    """A configuration file."""

    deployment: Name
    classes: tuple[RequestClass, ...] = pydantic.Field(min_length=1)
    models: tuple[Model, ...] = ()
    services: tuple[Service, ...] = ()
    endpoints: tuple[Endpoint, ...] = pydantic.Field(min_length=1)
    accounts: tuple[ClientAccount, ...] = pydantic.Field(min_length=1)

    def find_class(self, name: str) -> RequestClass | None:
        """Returns the request class with this name, or None."""
        return next((c for c in self.classes if c.name == name), None)

    def find_service(self, name: str) -> Service | None:
        """Returns the plain service with this name, or None."""
        return next((s for s in self.services if s.name == name), None)


def parse(text: str) -> Configuration:
    """Parses and validates the text of a configuration file.

    Raises:
        errors.InvalidFileError: The file is invalid; names every problem.
    """
    if len(text.encode(errors="replace")) > MAX_TEXT_BYTES:
        raise errors.InvalidFileError(
            (f"file: is too large; allowed: {MAX_TEXT_BYTES} bytes",)
        )
    tree = toml.parse_tree(text)
    reference_problems = references.find_problems(tree)
    try:
        cfg = Configuration.model_validate(tree)
    except pydantic.ValidationError as exc:
        problems = toml.describe_problems(exc, tree)
        raise errors.InvalidFileError((*problems, *reference_problems)) from exc
    if reference_problems:
        raise errors.InvalidFileError(reference_problems)
    return cfg
