"""Stand-ins of the second review: the platform's store, its nodes' processes, clients."""
