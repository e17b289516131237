"""A node's view of the configuration, the upstreams and their load, and how it is updated."""
