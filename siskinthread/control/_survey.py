"""Asking all hosts which configuration they hold."""

import curio

from siskinthread.control._operators import OPERATOR_ROLE
from siskinthread.errors import ConnectionLostError, ProtocolError
from siskinthread.platform import HostListClient
from siskinthread.settings import Address, Item, Section
from siskinthread.wire import (
    ConfigurationRequest,
    ConfigurationStatus,
    Frame,
    Identity,
    open_channel,
    PeerSettings,
    shake_hands,
)

OPERATOR_HOST = "operator"
MILLISECONDS_PER_SECOND = 1000
BEYOND_ALL_RECORDS = 2**62


class StatusSettings(Section):
    """What ``siskinthread status`` needs to reach the hosts."""

    host_list = Item(Address, description="The host list.")
    peers = Item(PeerSettings, description="Keys and waits of connections to hosts.")
    answer_wait_s = Item(
        float, default=2.0, minimum=0.01, description="Longest wait for an answer."
    )
    parallel_questions = Item(
        int, default=32, minimum=1, description="Hosts that are asked at a time."
    )
    old_view_s = Item(
        float,
        default=30.0,
        minimum=0.0,
        description="Age from which on a host's view counts as old.",
    )


class HostView:
    """What one host holds.

    Attributes
    ----------
    entry : siskinthread.platform.HostEntry
        Its line of the host list.
    status : ConfigurationStatus or None
        Its answer.
    problem : str or None
        Why there is none.
    """

    __slots__ = ("entry", "problem", "status")

    def __init__(self, entry, status=None, problem=None):
        self.entry = entry
        self.status = status
        self.problem = problem

    @property
    def version(self):
        """Version in force; None without one."""
        version = None if self.status is None else self.status.version
        return None if version is None or version < 0 else version

    @property
    def age_s(self):
        """Time since the host knew that nothing newer existed; None if never."""
        if self.status is None or self.status.confirmed_age_ms is None:
            return None
        return self.status.confirmed_age_ms / MILLISECONDS_PER_SECOND


async def survey_hosts(settings):
    """Return the `HostView` of each host on the host list, by name.

    Parameters
    ----------
    settings : StatusSettings
        Where to ask.

    Raises
    ------
    PlatformUnavailableError
        If the host list gave no answer.
    """
    client = HostListClient(settings)
    try:
        entries = await client.fetch()
    finally:
        await client.close()
    places = curio.Semaphore(settings.parallel_questions)
    async with curio.TaskGroup() as group:
        for entry in sorted(entries, key=lambda entry: entry.host):
            await group.spawn(_view_of, entry, settings, places)
    return sorted(group.results, key=lambda view: view.entry.host)


async def _view_of(entry, settings, places):
    async with places:
        try:
            async with curio.timeout_after(settings.answer_wait_s):
                return HostView(entry, await _ask(entry, settings.peers))
        except curio.TaskTimeout:
            return HostView(entry, problem="no answer in time")
        except (ConnectionLostError, ProtocolError) as error:
            return HostView(entry, problem=str(error))


async def _ask(entry, peers):
    channel = await open_channel(
        entry.address, entry.port, Frame, peers.frame_limit_bytes, peers.dial_wait_s
    )
    try:
        identity = Identity(OPERATOR_HOST, "", OPERATOR_ROLE)
        hello, frames = await shake_hands(channel, identity, peers, dialled=True)
        if hello.host != entry.host:
            raise ProtocolError(f"{hello.host} answered")
        # So far ahead that the answer holds no records.
        beyond = ConfigurationStatus(BEYOND_ALL_RECORDS, "")
        await channel.send(Frame(configuration_request=ConfigurationRequest(beyond)))
        while True:
            for frame in frames:
                if frame.configuration_update is not None:
                    return _checked(frame.configuration_update.status)
            frames = await channel.receive()
    finally:
        await channel.close()


def _checked(status):
    if status is None or status.applied_offset is None:
        raise ProtocolError("the answer holds no status")
    return status
