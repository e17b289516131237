"""Crowds of clients that keep to no limit, at a real gateway process."""
