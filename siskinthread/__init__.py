"""Load balancer for expert-parallel model groups.

The library is cut by duty; each sub-package has its own state, messages and tests.
The daemons and the command line in `siskinthread.daemons` and
`siskinthread.command_line` are thin.
"""
