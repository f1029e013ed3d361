"""Configuration files of benchmark deployments."""

from bench import sites
from tests import processes

SERVICE_SLOTS = 16


def render(
    site: sites.Site,
    engine_ports: list[int],
    service_ports: list[int],
    flat: bool,
) -> str:
    """Returns a configuration file; `flat` puts all classes in one tier."""
    tables = [f'deployment = "{site.name}"\n']
    tables += [_class_table(c, flat) for c in site.classes]
    model_names = sorted({name for names in site.engines for name in names})
    tables += [f'[[models]]\nname = "{name}"\n' for name in model_names]
    service = next(c for c in site.classes if c.is_service)
    tables.append(
        f'[[services]]\nname = "{service.targets[0]}"\n'
        f'request_class = "{service.name}"\n'
    )
    tables += [_account_table(a, site) for a in site.accounts]
    rows = zip(site.engines, engine_ports, strict=True)
    for number, (names, port) in enumerate(rows, 1):
        tables.append(
            _endpoint_table(f"engine-{number}", "engine", names, port)
            + f"slots = {site.slots}\n"
        )
    for number, port in enumerate(service_ports, 1):
        tables.append(
            _endpoint_table(
                f"service-{number}", "service", service.targets, port
            )
            + f"slots = {SERVICE_SLOTS}\n"
        )
    return "\n".join(tables)


def _class_table(load: sites.ClassLoad, flat: bool) -> str:
    rows = [
        "[[classes]]",
        f'name = "{load.name}"',
        f"tier = {1 if flat else load.tier}",
        f"max_wait_ms = {load.max_wait_ms}",
        f"min_share = {0.0 if flat else load.min_share}",
    ]
    for key in ("first_token_ms", "between_tokens_ms", "complete_ms"):
        value = getattr(load, key)
        if value is not None:
            rows.append(f"{key} = {value}")
    return "\n".join(rows) + "\n"


def _account_table(account: sites.Account, site: sites.Site) -> str:
    names = ", ".join(f'"{c.name}"' for c in site.classes)
    return (
        f'[[accounts]]\nname = "{account.name}"\n'
        f'key_sha256 = ["{processes.hash_key(account.key)}"]\n'
        f"classes = [{names}]\n"
        f'default_class = "{site.classes[0].name}"\n'
    )


def _endpoint_table(name, kind, serves, port) -> str:
    names = ", ".join(f'"{s}"' for s in serves)
    return (
        f'[[endpoints]]\nname = "{name}"\nkind = "{kind}"\n'
        f'serves = [{names}]\navailability_zone = "zone-1"\n'
        f'host = "{processes.HOST}"\nport = {port}\n'
    )
