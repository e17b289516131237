"""Loads YAML files; rejects duplicate keys, and names file, key and value in errors."""

from __future__ import annotations

from pathlib import Path
from typing import TypeVar

import yaml
from pydantic import BaseModel, ValidationError

from mulleinreach.common import Code, MulleinreachError

Model = TypeVar("Model", bound=BaseModel)

MAX_FILE_BYTES = 1_000_000


class _UniqueKeyLoader(yaml.SafeLoader):
    """A safe YAML loader that rejects duplicate keys in a mapping."""

    def construct_mapping(self, node, deep=False):
        seen = set()
        for key_node, _ in node.value:
            key = self.construct_object(key_node, deep=True)
            if key in seen:
                line = key_node.start_mark.line + 1
                raise yaml.constructor.ConstructorError(
                    None, None, f"duplicate key {key!r} on line {line}", key_node.start_mark
                )
            seen.add(key)
        return super().construct_mapping(node, deep)


def parse_yaml(text: str, source: str) -> object:
    """Parse a YAML document; ``source`` is its name in errors.

    Examples
    ========

    >>> parse_yaml("a: 1", "x.yaml")
    {'a': 1}
    >>> parse_yaml("a: 1\\na: 2", "x.yaml")
    Traceback (most recent call last):
    ...
    mulleinreach.common.errors.MulleinreachError: bad_settings: x.yaml: duplicate key 'a' on line 2
    """
    try:
        return yaml.load(text, Loader=_UniqueKeyLoader)  # noqa: S506 - a SafeLoader
    except yaml.YAMLError as error:
        problem = getattr(error, "problem", None) or str(error)
        raise MulleinreachError(Code.BAD_SETTINGS, f"{source}: {problem}") from error


def check_document(document: object, model: type[Model], source: str) -> Model:
    """Validate ``document`` as ``model``; the error raised lists every fault."""
    try:
        return model.model_validate(document)
    except ValidationError as error:
        faults = [_describe_fault(fault) for fault in error.errors()]
        raise MulleinreachError(Code.BAD_SETTINGS, f"{source}: " + "; ".join(faults)) from error


def _describe_fault(fault: dict) -> str:
    key = ".".join(str(part) for part in fault["loc"]) or "(document)"
    if fault["type"] == "missing":
        return f"{key}: is required"
    if fault["type"] == "extra_forbidden":
        return f"{key}: unknown key, value {fault['input']!r}"
    return f"{key}: wrong value {fault['input']!r}, {fault['msg']}"


def load_file(path: Path, model: type[Model]) -> Model:
    """Load and validate one file; raises ``MulleinreachError`` with ``BAD_SETTINGS``."""
    try:
        if path.stat().st_size > MAX_FILE_BYTES:
            raise MulleinreachError(Code.BAD_SETTINGS, f"{path}: over {MAX_FILE_BYTES} bytes")
        text = path.read_text()
    except (OSError, UnicodeDecodeError) as error:
        raise MulleinreachError(Code.BAD_SETTINGS, f"{path}: {error}") from error
    return check_document(parse_yaml(text, str(path)), model, str(path))
