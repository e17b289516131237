"""Translates between the gateway's ports and the users' platform, and decides nothing.

Explanation
===========

The name stands in the package ``mulleinreach``, so that it doesn't hide the
standard library's module ``platform``.
"""
