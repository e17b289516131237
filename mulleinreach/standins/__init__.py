"""Stand-ins of the systems that the project meets, for the demo, tests and benchmarks.

Explanation
===========

Each one answers the published or documented interface of a system at the edge,
in memory, with knobs for the ways in which that system fails.
"""
