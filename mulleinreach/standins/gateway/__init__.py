"""Stand-ins for a gateway: a store, hosts that form groups, and a whole deployment."""
