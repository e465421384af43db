"""Randomized failure runs of gateways on stand-ins of the users' platform.

The real programs run as processes on loopback while faults are injected from outside.
Callers and servers record what they observe, and the promises of the platform (the
invariants and time bounds of `_promises`) are checked against these records.  ``python
-m scripts.soak --seed 7`` runs one seed; `failed_seeds.txt` lists the seeds that have
failed.

Not covered: groups of ranks (``group_maps/tests/test_change.py`` enumerates
their map changes), clock steps (the programs use monotonic time only), and more than
one machine.
"""
