"""Checks references between the tables of a configuration file.

The checks read the raw TOML tree, so that broken references are reported even
if other fields of the file are invalid.
"""

import collections
from collections.abc import Iterable
import dataclasses
from typing import Any

from hornbeampier import toml

TABLES = ("classes", "models", "services", "endpoints", "accounts")
SERVED_TABLES = {"engine": "models", "service": "services"}


@dataclasses.dataclass(frozen=True)
class _NamedRow:
    """A named row of a table."""

    path: str
    name: str
    fields: dict[str, Any]

    def string(self, key: str) -> str | None:
        value = self.fields.get(key)
        return value if isinstance(value, str) else None

    def strings(self, key: str) -> tuple[str, ...]:
        value = self.fields.get(key)
        if not isinstance(value, list):
            return ()
        return tuple(item for item in value if isinstance(item, str))


def find_problems(tree: dict[str, Any]) -> tuple[str, ...]:
    """Returns the problems that concern several rows.

    These are unknown names, names given twice, keys of two accounts and a sum
    of `min_share` above 1.
    """
    rows = {table: _named_rows(tree, table) for table in TABLES}
    names = {table: {r.name for r in rows[table]} for table in TABLES}
    return (
        *_find_duplicates(rows),
        *_find_account_problems(rows["accounts"], names["classes"]),
        *_find_service_problems(rows["services"], names["classes"]),
        *_find_endpoint_problems(rows["endpoints"], names),
        *_find_min_share_problems(rows["classes"]),
        *_find_account_key_problems(rows["accounts"]),
    )


def _named_rows(tree: dict[str, Any], table: str) -> list[_NamedRow]:
    return [
        _NamedRow(f"{table}.{toml.row_label(row, index)}", row["name"], row)
        for index, row in enumerate(_table_rows(tree, table))
        if isinstance(row.get("name"), str)
    ]


def _table_rows(tree: dict[str, Any], table: str) -> list[dict[str, Any]]:
    value = tree.get(table)
    table_rows = value if isinstance(value, list) else []
    return [row for row in table_rows if isinstance(row, dict)]


def _find_duplicates(rows: dict[str, list[_NamedRow]]) -> Iterable[str]:
    for table, table_rows in rows.items():
        counts = collections.Counter(row.name for row in table_rows)
        for name, count in counts.items():
            if count > 1:
                yield (
                    f"{table}.name: {name!r} is given {count} times; names "
                    "have to differ"
                )


def _find_account_problems(
    accounts: list[_NamedRow], classes: set[str]
) -> Iterable[str]:
    for account in accounts:
        account_classes = account.strings("classes")
        for name in account_classes:
            if name not in classes:
                yield _unknown(f"{account.path}.classes", name, classes)
        default = account.string("default_class")
        if default is not None and default not in account_classes:
            yield _unknown(
                f"{account.path}.default_class", default, set(account_classes)
            )


def _find_service_problems(
    services: list[_NamedRow], classes: set[str]
) -> Iterable[str]:
    for service in services:
        name = service.string("request_class")
        if name is not None and name not in classes:
            yield _unknown(f"{service.path}.request_class", name, classes)


def _find_endpoint_problems(
    endpoints: list[_NamedRow], names: dict[str, set[str]]
) -> Iterable[str]:
    for endpoint in endpoints:
        table = SERVED_TABLES.get(endpoint.string("kind") or "")
        if table is None:
            continue
        for name in endpoint.strings("serves"):
            if name not in names[table]:
                yield _unknown(f"{endpoint.path}.serves", name, names[table])


def _find_min_share_problems(classes: list[_NamedRow]) -> Iterable[str]:
    shares = [row.fields.get("min_share", 0) for row in classes]
    total = sum(s for s in shares if isinstance(s, int | float))
    if total > 1:
        yield f"classes.min_share: the sum is {total:g}; allowed: at most 1"


def _find_account_key_problems(accounts: list[_NamedRow]) -> Iterable[str]:
    owners: dict[str, str] = {}
    for account in accounts:
        for digest in account.strings("key_sha256"):
            owner = owners.setdefault(digest, account.name)
            if owner != account.name:
                yield (
                    f"{account.path}.key_sha256: a key also belongs to "
                    f"{owner!r}; a key may have only one account"
                )


def _unknown(path: str, name: str, allowed: set[str]) -> str:
    choices = (
        ", ".join(sorted(filter(toml.ROW_NAME.match, allowed)))
        or "none is defined"
    )
    return f"{path}: {name!r} is unknown; allowed: {choices}"
