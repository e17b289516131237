"""Who coordinates, and what nodes and the coordinator tell each other."""
