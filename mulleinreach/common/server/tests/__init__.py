"""Tests of the bounds on clients."""
