"""Settings of a node: their model, and the loader that checks them."""

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
