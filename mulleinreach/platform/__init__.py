"""Adapter that implements the gateway's ports on the users' platform.

It only translates; all decisions are made in the gateway. As a subpackage of ``mulleinreach``
it doesn't shadow the standard library's module ``platform``.
"""
