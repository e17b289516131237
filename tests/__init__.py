"""Tests of whole deployments: sessions, promises of the brief, real sockets."""
