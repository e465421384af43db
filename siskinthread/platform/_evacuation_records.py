"""Operators' records of evacuated failure domains."""

from siskinthread.observability import part_logger

KEY_PREFIX = "evacuate/"

_logger = part_logger("platform")


class EvacuationRecords:
    """Evacuated domains according to the records that were read last.

    Attributes
    ----------
    domains : set of str
        Evacuated domains.
    taken_back : list of str
        Domains whose records were dropped in the last read.

    Notes
    -----
    Any value evacuates the domain, since an operator who writes a malformed value means
    to evacuate it as well.
    """

    __slots__ = ("domains", "taken_back")

    def __init__(self):
        self.domains = set()
        self.taken_back = []

    def replace_all(self, records):
        """Replace the domains by those of the newest record of each key."""
        self.domains.clear()
        self.apply_changes(records)

    def take_told(self, domains):
        """Replace the domains by those at the read position of a peer."""
        self.domains = set(domains)
        self.taken_back = []

    def apply_changes(self, records):
        """Apply records in their order; records of other keys are ignored."""
        self.taken_back = []
        for record in records:
            if not record.key.startswith(KEY_PREFIX):
                continue
            domain = record.key.removeprefix(KEY_PREFIX)
            if not domain:
                _logger.event(
                    "evacuation record without failure domain", key=record.key
                )
            elif record.value is None:
                self.domains.discard(domain)
                self.taken_back.append(domain)
            else:
                self.domains.add(domain)
