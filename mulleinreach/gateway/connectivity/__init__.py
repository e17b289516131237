"""How a node connects to upstreams: directly, or through another node."""
