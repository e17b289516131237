"""Settings of a node: the schema, and the loader that validates files."""

from mulleinreach.settings.loader import check_document, load_file, parse_yaml
from mulleinreach.settings.model import NodeSettings, OperatorSettings, PeerKeySettings

__all__ = [
    "NodeSettings",
    "OperatorSettings",
    "PeerKeySettings",
    "check_document",
    "load_file",
    "parse_yaml",
]
