"""Validates TOML files against pydantic models and reports every problem."""

import pathlib
import re
import tomllib
from typing import Any
from typing import TypeVar

import pydantic

from hornbeampier import errors

Model = TypeVar("Model", bound=pydantic.BaseModel)

# Length to which the note on an offending value is cut.
MAX_VALUE_CHARS = 80
ROW_NAME = re.compile(r"^[\w.-]+$")
# Texts that replace pydantic's own, by pydantic's error type.
MESSAGE_BY_TYPE = {
    "missing": "is missing; it has to be given",
    "extra_forbidden": "is unknown; remove it or correct its spelling",
    "enum": "is not allowed; allowed: {expected}",
    "literal_error": "is not allowed; allowed: {expected}",
    "greater_than": "has to be above {gt}",
    "greater_than_equal": "has to be at least {ge}",
    "less_than_equal": "has to be at most {le}",
    "string_pattern_mismatch": "has to match {pattern}",
    "finite_number": "has to be a finite number",
    "too_short": "has too few entries; at least {min_length} needed",
}
# Error types whose text is clear without the offending value.
TYPES_WITHOUT_VALUE = frozenset({"missing", "extra_forbidden", "value_error"})


def load(path: pathlib.Path, model: type[Model]) -> Model:
    """Reads the file at `path` and validates it against `model`.

    Raises:
        errors.InvalidFileError: The file is unreadable or invalid; lists
            every problem.
    """
    return parse(read_text(path), model)


def read_text(path: pathlib.Path) -> str:
    """Reads a text file.

    Raises:
        errors.InvalidFileError: The file is unreadable or not UTF-8.
    """
    try:
        return path.read_text(encoding="utf-8")
    except OSError as exc:
        reason = exc.strerror or str(exc)
        raise errors.InvalidFileError(
            (f"file: cannot be read: {reason}",)
        ) from exc
    except UnicodeDecodeError as exc:
        raise errors.InvalidFileError(
            (f"file: is not UTF-8: {exc.reason} at byte {exc.start}",)
        ) from exc


def parse(text: str, model: type[Model]) -> Model:
    """Parses TOML text and validates it against `model`.

    Raises:
        errors.InvalidFileError: The text is invalid; lists every problem.
    """
    tree = parse_tree(text)
    try:
        return model.model_validate(tree)
    except pydantic.ValidationError as exc:
        raise errors.InvalidFileError(describe_problems(exc, tree)) from exc


def parse_tree(text: str) -> dict[str, Any]:
    """Parses TOML text into nested dicts and lists.

    Raises:
        errors.InvalidFileError: The text is not valid TOML.
    """
    try:
        return tomllib.loads(text)
    except RecursionError as exc:
        raise errors.InvalidFileError(
            ("file: not valid TOML: it is nested too deeply",)
        ) from exc
    except ValueError as exc:
        # Not `TOMLDecodeError`: tomllib raises a plain ValueError for some
        # faults.
        raise errors.InvalidFileError(
            (f"file: not valid TOML: {exc}",)
        ) from exc


def describe_problems(
    exc: pydantic.ValidationError, tree: Any
) -> tuple[str, ...]:
    """Returns a `key.path: problem and what is allowed` line per error."""
    return tuple(
        f"{_path(error['loc'], tree)}: {_describe_problem(error)}"
        for error in exc.errors(include_url=False)
        if not _is_caused_by_invalid_rows(error, tree)
    )


def _is_caused_by_invalid_rows(error, tree: Any) -> bool:
    """Returns whether a table is too short only because rows are invalid."""
    if error["type"] != "too_short":
        return False
    node = tree
    for key in error["loc"]:
        node = _child(node, key)
    return isinstance(node, list) and len(node) >= error["ctx"]["min_length"]


def _path(loc: tuple[int | str, ...], tree: Any) -> str:
    """Returns a dotted path; rows of tables are given by name if possible."""
    labels = []
    node = tree
    for key in loc:
        node = _child(node, key)
        labels.append(_label(node, key))
    return ".".join(labels) or "file"


def _child(node: Any, key: int | str) -> Any:
    try:
        return node[key]
    except (KeyError, IndexError, TypeError):
        return None


def _label(node: Any, key: int | str) -> str:
    return row_label(node, key) if isinstance(key, int) else str(key)


def row_label(row: Any, index: int) -> str:
    """Returns the `name` of a table's row, or its index if it has none."""
    name = row.get("name") if isinstance(row, dict) else None
    if isinstance(name, str) and ROW_NAME.match(name):
        return name
    return str(index)


def _describe_problem(error) -> str:
    message = MESSAGE_BY_TYPE.get(error["type"])
    if message is None:
        text = error["msg"].removeprefix("Value error, ")
        return f"{text[:1].lower()}{text[1:]}{_describe_value(error)}"
    return message.format(**error.get("ctx", {})) + _describe_value(error)


def _describe_value(error) -> str:
    """Returns a note on the offending value, empty if it explains nothing."""
    value = error.get("input")
    if error["type"] in TYPES_WITHOUT_VALUE or isinstance(
        value, dict | list | tuple
    ):
        return ""
    return f"; found {value!r}"[:MAX_VALUE_CHARS]
