"""Randomized failure runs of gateways on stand-ins of the users' platform.

Real programs run as processes on loopback while faults come from outside them; callers
and servers note what they see, and the promises of the platform's pages are judged from
that.  ``python -m scripts.soak --seed 7`` runs one seed; `failed_seeds.txt` holds those
that ever failed.

Not covered: groups of ranks (their map changes are enumerated by
``group_maps/tests/test_change.py``), clock steps (the programs decide by monotonic time
only), and more than one machine.
"""
