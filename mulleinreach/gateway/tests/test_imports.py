"""Guards against imports of the gateway's modules from a higher layer."""

from __future__ import annotations

import ast
from pathlib import Path

import pytest

import mulleinreach.gateway

FOLDER = Path(mulleinreach.gateway.__file__).parent
PREFIX = "mulleinreach.gateway."
# Each layer may import the layers before it and modules of its own folder.
LAYERS_BOTTOM_UP = [
    "revision",
    "stored_rows",
    "model",
    "upstream",
    "deployment",
    "resources",
    "ports",
    "metrics",
    "http_server",
    "explain",
    "connectivity",
    "state",
    "coordination",
    "fleet",
    "request",
    "shared_state",
    "stopping",
    "node",
    "process",
]


def _modules() -> list[Path]:
    return [
        path
        for path in sorted(FOLDER.rglob("*.py"))
        if "tests" not in path.parts and path.name != "__init__.py"
    ]


def _layer(path: Path) -> str:
    return path.relative_to(FOLDER).with_suffix("").parts[0]


def _imported(source: str) -> list[str]:
    """Return all imported names in a source, including imports within functions."""
    names = []
    for statement in ast.walk(ast.parse(source)):
        if isinstance(statement, ast.Import):
            names += [alias.name for alias in statement.names]
        elif isinstance(statement, ast.ImportFrom):
            names += [f"{statement.module}.{alias.name}" for alias in statement.names]
    return names


def _imported_layers(path: Path) -> set[str]:
    names = _imported(path.read_text())
    return {name.removeprefix(PREFIX).split(".")[0] for name in names if name.startswith(PREFIX)}


@pytest.mark.parametrize("path", _modules(), ids=lambda path: str(path.relative_to(FOLDER)))
def test_no_module_imports_from_a_higher_layer(path):
    own = LAYERS_BOTTOM_UP.index(_layer(path))
    above = set(LAYERS_BOTTOM_UP[own + 1 :])
    assert not _imported_layers(path) & above
