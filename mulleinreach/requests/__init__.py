"""Request execution: attempts, retries, resumed streams and at-most-once claims."""
