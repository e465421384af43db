"""Selects the processes that read the log for their failure domain."""

import collections

from siskinthread.configuration import chosen_readers


class ReaderChoice:
    """The readers of each failure domain, chosen from the host list.

    Parameters
    ----------
    host, failure_domain : str
        Host and failure domain of this process.
    membership : MembershipView
        Hosts on the host list; entries and agents are equally eligible.
    count : int
        Number of readers of each failure domain.
    """

    __slots__ = ("_count", "_failure_domain", "_host", "_hosts_by_domain", "_readers")

    def __init__(self, host, failure_domain, membership, count):
        self._host = host
        self._failure_domain = failure_domain
        self._count = count
        self._hosts_by_domain = {}
        self._readers = frozenset()
        membership.listen(self._update)
        self._update(membership)

    def reads_log(self):
        """Return whether this process reads the log.

        Notes
        -----
        While the host list shows no host of the own failure domain, as at the start,
        this process reads the log itself, because no other reader is known.
        """
        if not self._hosts_by_domain.get(self._failure_domain):
            return True
        return self._host in self._readers

    def is_reader(self, host):
        """Return whether a host reads the log for its failure domain."""
        return host in self._readers

    def _update(self, membership):
        found = collections.defaultdict(list)
        for entries in (membership.entries(), membership.agents()):
            for host, entry in entries.items():
                # A leaving host would soon be missing as a reader.
                if not membership.is_leaving(host):
                    found[entry.failure_domain].append(host)
        self._hosts_by_domain = found
        self._readers = frozenset(
            reader
            for hosts in found.values()
            for reader in chosen_readers(hosts, self._count)
        )
