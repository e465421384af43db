"""Tasks of an agent for the audit trail."""

import random as random_module

from siskinthread.audit import (
    AppendLimiter,
    Archiver,
    ConfigurationSource,
    OwnershipSource,
    Recorder,
)
from siskinthread.configuration import chosen_readers

ARCHIVERS_PER_DOMAIN = 1


class AuditDuties:
    """Records the events of this process, and archives those of streams that expire.

    Parameters
    ----------
    settings : AgentSettings
        Settings of the process.
    identity : Identity
        Identity of this process.
    membership : MembershipView
        Agents of the failure domain, of which one archives.
    client : LogClient
        Client of the log.
    clock : Clock
        Clock of the process.
    metrics : Metrics
        Metrics of the process.

    Attributes
    ----------
    recorder : Recorder
        Buffers and appends the events of this process.
    """

    __slots__ = ("_archiver", "_identity", "_membership", "recorder")

    def __init__(self, settings, identity, membership, client, clock, metrics):
        self._identity = identity
        self._membership = membership
        platform = settings.platform
        # The recorder and the archiver share one rate limit: the bound on the appends
        # of the fleet counts each process once.
        limiter = AppendLimiter(settings.audit, clock, random_module.Random())
        self.recorder = Recorder(
            client,
            platform.audit_stream,
            settings.audit,
            limiter,
            identity.host,
            identity.incarnation,
            clock,
            metrics,
        )
        self._archiver = Archiver(
            client,
            platform,
            settings.configuration,
            settings.audit,
            [
                ConfigurationSource(client, platform.configuration_stream),
                OwnershipSource(client, platform.ownership_stream),
            ],
            limiter,
            self.is_archiver,
            clock,
            metrics,
        )

    def tasks(self):
        """Return the coroutine functions to run, by task name."""
        return {"audit": self.recorder.run, "archive": self._archiver.run}

    def is_archiver(self):
        """Return whether this agent archives for its failure domain."""
        hosts = [
            host
            for host in self._membership.agents()
            if self._membership.failure_domain(host) == self._identity.failure_domain
        ]
        return self._identity.host in chosen_readers(hosts, ARCHIVERS_PER_DOMAIN)
