"""The path of a request: admission, choice of when to send, exchange with an upstream."""
