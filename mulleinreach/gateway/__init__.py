"""Relays requests to upstreams whose bodies aren't ours to read, and forms their groups."""
