"""Carrying out requests: attempts, retries, resumes, and claims on once-only ones."""
