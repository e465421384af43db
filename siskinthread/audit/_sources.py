"""Sources: streams from whose records audit entries are derived."""

from siskinthread.audit._entries import configuration_entry, Kind
from siskinthread.configuration._fold import record_digest
from siskinthread.configuration._reader import LogReader
from siskinthread.configuration._reading import Condition


class SourceReading:
    """Result of one read of a source.

    Parameters
    ----------
    records : list of LogRecord
        Consecutive records that were read.
    entries : list of Entry
        Entries derived from the records, in the order of their offsets.
    trouble : str
        Reason why the source can't be followed; empty if it can.
    """

    __slots__ = ("entries", "records", "trouble")

    def __init__(self, records, entries, trouble=""):
        self.records = records
        self.entries = entries
        self.trouble = trouble


class ConfigurationSource:
    """Accepted and rejected changes of the configuration stream.

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
        # Reads the whole history, as snapshots don't contain rejected records.
        self._reader = LogReader(client, stream, whole_history=True)

    async def read_on(self):
        """Read the new records; return them as a `SourceReading`.

        Raises
        ------
        PlatformUnavailableError
            If the log does not answer.
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
        return SourceReading(reading.records, found, trouble)
