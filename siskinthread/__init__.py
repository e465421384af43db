"""Load balancer for expert-parallel model groups.

Each sub-package has one responsibility, with its own state, messages and tests.
`siskinthread.daemons` and `siskinthread.command_line` are thin layers on top of them.
"""
