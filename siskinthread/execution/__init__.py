"""Agent side: link server, ledger of requests, stream buffers.

Interface: ``AgentServer(identity, settings, view, targets, clock, metrics)`` with
``async run(listening socket)``, ``async drain(deadline)`` and ``leaving``.
"""
