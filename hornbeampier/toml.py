"""TOML files checked whole against a pydantic model."""

import pathlib
import tomllib
from typing import TypeVar

import pydantic

from hornbeampier import errors

Model = TypeVar("Model", bound=pydantic.BaseModel)


def load(path: pathlib.Path, model: type[Model]) -> Model:
    """Reads the file at `path` and checks it against `model`.

    Raises:
        errors.InvalidFileError: With every problem that was found.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as exc:
        raise errors.InvalidFileError((f"cannot be read: {exc}",)) from exc
    return parse(text, model)


def parse(text: str, model: type[Model]) -> Model:
    """Parses TOML text and checks it against `model`.

    Raises:
        errors.InvalidFileError: With every problem that was found.
    """
    try:
        tree = tomllib.loads(text)
    except tomllib.TOMLDecodeError as exc:
        raise errors.InvalidFileError((f"not valid TOML: {exc}",)) from exc
    try:
        return model.model_validate(tree)
    except pydantic.ValidationError as exc:
        problems = tuple(_describe(error) for error in exc.errors())
        raise errors.InvalidFileError(problems) from exc


def _describe(error) -> str:
    """Formats one pydantic error as `key.path: what is wrong`."""
    path = ".".join(str(part) for part in error["loc"]) or "file"
    message = error["msg"].removeprefix("Value error, ")
    return f"{path}: {message}"
