"""Request path of the gateway: admission, scheduling, retries, exchange with an upstream."""
