"""What a node knows of configuration, upstreams and their load, and how it hears of it."""
