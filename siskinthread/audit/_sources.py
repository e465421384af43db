"""Streams whose records are the events themselves, from which entries are derived."""

from siskinthread.audit._entries import configuration_entry, Kind
from siskinthread.configuration._fold import record_digest
from siskinthread.configuration._reader import LogReader
from siskinthread.configuration._reading import Condition


class Derived:
    """What one read of a source gave.

    Parameters
    ----------
    records : list of LogRecord
        Consecutive records that were folded.
    entries : list of Entry
        Events among them, in the order of their offsets.
    trouble : str
        Why the source can't be followed; empty if it can.
    """

    __slots__ = ("entries", "records", "trouble")

    def __init__(self, records, entries, trouble=""):
        self.records = records
        self.entries = entries
        self.trouble = trouble


class ConfigurationSource:
    """Configuration changes, accepted and rejected, from their own stream.

    Parameters
    ----------
    client : siskinthread.shared_services.LogClient
        Client of the log.
    stream : str
        Name of the configuration stream.
    """

    __slots__ = ("_reader",)

    kind = Kind.CONFIGURATION

    def __init__(self, client, stream):
        # The whole history, since rejected records are in no snapshot.
        self._reader = LogReader(client, stream, whole_history=True)

    async def read_on(self):
        """Read what is new; return it as `Derived`.

        Raises
        ------
        PlatformUnavailableError
            If the log gave no answer.
        """
        reading = await self._reader.catch_up()
        entries = [
            configuration_entry(verdict, record_digest(record))
            for record, verdict in zip(reading.records, reading.verdicts, strict=True)
        ]
        trouble = ""
        if reading.condition is not Condition.GOOD:
            trouble = f"{reading.condition}: {reading.detail}"
        found = [entry for entry in entries if entry is not None]
        return Derived(reading.records, found, trouble)
