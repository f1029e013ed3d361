"""docs/configuration.md lists the keys of both files with their defaults.

That is every key of the configuration and of the VM settings, and no other.
"""

import json
import pathlib
import re
import typing

import pydantic
from pydantic import fields
import testtools

from hornbeampier import settings
from hornbeampier.operators import schema

PAGE = pathlib.Path(__file__).parent.parent / "docs" / "configuration.md"
ROW = re.compile(r"^\| `([a-z0-9_.]+)` \| .+ \| (.+) \| \S.* \|$", re.MULTILINE)


def inner_model(annotation):
    """Returns the model that an annotation holds, alone or in a sequence."""
    for candidate in (annotation, *typing.get_args(annotation)):
        if isinstance(candidate, type) and issubclass(
            candidate, pydantic.BaseModel
        ):
            return candidate
    return None


def show_default(field):
    if field.is_required():
        return "required"
    if field.default is None:
        return "none"
    return json.dumps(field.default)


def list_keys(model, prefix=""):
    """Yields the dotted keys of a model with their defaults."""
    for name, field in model.model_fields.items():
        assert isinstance(field, fields.FieldInfo)
        inner = inner_model(field.annotation)
        if inner:
            yield from list_keys(inner, f"{prefix}{name}.")
        else:
            yield f"{prefix}{name}", show_default(field)


class ConfigurationPageTest(testtools.TestCase):
    def test_every_key_is_described_with_its_default(self):
        documented = ROW.findall(PAGE.read_text())
        expected = [
            *list_keys(schema.Configuration),
            *list_keys(settings.VmSettings),
        ]
        self.assertEqual(sorted(expected), sorted(documented))
