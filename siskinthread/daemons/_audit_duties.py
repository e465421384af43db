"""What an agent does for the audit trail."""

import random as random_module

from siskinthread.audit import (
    Archiver,
    ConfigurationSource,
    OwnershipSource,
    Pace,
    Recorder,
)
from siskinthread.configuration import chosen_readers

ARCHIVERS_PER_DOMAIN = 1


class AuditDuties:
    """Writes events of this process, and copies those of others before they expire.

    Parameters
    ----------
    settings : AgentSettings
        Everything that the process is told.
    identity : Identity
        This process.
    membership : MembershipView
        The agents of the failure domain; one of them copies.
    client : LogClient
        Client of the log.
    clock : Clock
        The process's clock.
    metrics : Metrics
        The process's metrics.

    Attributes
    ----------
    recorder : Recorder
        Takes the events of this process.
    """

    __slots__ = ("_archiver", "_identity", "_membership", "recorder")

    def __init__(self, settings, identity, membership, client, clock, metrics):
        self._identity = identity
        self._membership = membership
        platform = settings.platform
        # One pace for both: the bound on all processes' appends counts each process
        # once.
        pace = Pace(settings.audit, clock, random_module.Random())
        self.recorder = Recorder(
            client,
            platform.audit_stream,
            settings.audit,
            pace,
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
            pace,
            self.is_archiver,
            clock,
            metrics,
        )

    def tasks(self):
        """Return the coroutine functions to run, by name."""
        return {"audit": self.recorder.run, "archive": self._archiver.run}

    def is_archiver(self):
        """Return whether this agent copies for its failure domain."""
        hosts = [
            host
            for host in self._membership.agents()
            if self._membership.failure_domain(host) == self._identity.failure_domain
        ]
        return self._identity.host in chosen_readers(hosts, ARCHIVERS_PER_DOMAIN)
