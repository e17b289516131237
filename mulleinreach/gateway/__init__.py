"""Relays requests to upstreams without reading the bodies, and manages groups of hosts."""
