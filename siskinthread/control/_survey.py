"""Queries hosts for their state on behalf of an operator."""

import functools

import curio

from siskinthread.control._operators import OPERATOR_ROLE
from siskinthread.errors import ConnectionLostError, ProtocolError
from siskinthread.settings import Address, Item, Section
from siskinthread.shared_services import HostListClient
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
OFFSET_BEYOND_RECORDS = 2**62


class StatusSettings(Section):
    """Settings of ``siskinthread status``."""

    host_list = Item(Address, description="Address of the host list.")
    peers = Item(PeerSettings, description="Keys and timeouts of connections to hosts.")
    answer_wait_s = Item(
        float, default=2.0, minimum=0.01, description="Longest wait for an answer."
    )
    parallel_questions = Item(
        int,
        default=32,
        minimum=1,
        description="Most hosts that are queried concurrently.",
    )
    old_view_s = Item(
        float,
        default=30.0,
        minimum=0.0,
        description="Age above which a host's view counts as old.",
    )


class HostAnswer:
    """Result of the query of one host.

    Attributes
    ----------
    entry : siskinthread.shared_services.HostEntry
        The host's entry of the host list.
    status : ConfigurationStatus, ExpertsStatus or None
        The host's answer; None if it gave none.
    problem : str or None
        Why there is no answer; None if there is one.
    """

    __slots__ = ("entry", "problem", "status")

    def __init__(self, entry, status=None, problem=None):
        self.entry = entry
        self.status = status
        self.problem = problem


class HostView(HostAnswer):
    """Configuration of one host; ``status`` is a `ConfigurationStatus`."""

    __slots__ = ()

    @property
    def version(self):
        """Version in force; None if no version is in force."""
        version = None if self.status is None else self.status.version
        return None if version is None or version < 0 else version

    @property
    def age_s(self):
        """Time since the host last confirmed its view as current; None if never."""
        if self.status is None or self.status.confirmed_age_ms is None:
            return None
        return self.status.confirmed_age_ms / MILLISECONDS_PER_SECOND


async def survey_hosts(settings):
    """Return the `HostView` of each host on the host list, sorted by host name.

    Parameters
    ----------
    settings : StatusSettings
        Address of the host list, keys and timeouts.

    Raises
    ------
    PlatformUnavailableError
        If the host list gave no answer.
    """
    # An offset beyond all records, so that the answer holds no records.
    beyond = ConfigurationStatus(OFFSET_BEYOND_RECORDS, "")
    question = Frame(configuration_request=ConfigurationRequest(beyond))
    return await ask_hosts(settings, question, _configuration_status, HostView)


async def ask_hosts(
    settings, question, read_answer, answer_class=HostAnswer, role=None
):
    """Send the same question to the hosts of the host list.

    Parameters
    ----------
    settings : StatusSettings
        Address of the host list, keys and timeouts.
    question : Frame
        The question, sent to each host.
    read_answer : callable
        Returns the answer in a `Frame`, or None for a frame without an answer; raises
        `ProtocolError` if the answer is incomplete.
    answer_class : type
        `HostAnswer` or a subclass.
    role : str or None
        Only hosts of this role are queried; None for all.

    Returns
    -------
    list of HostAnswer
        Sorted by host name.

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
    slots = curio.Semaphore(settings.parallel_questions)
    async with curio.TaskGroup() as group:
        for entry in entries:
            if role in (None, entry.role):
                ask = functools.partial(
                    _ask, entry, settings.peers, question, read_answer
                )
                await group.spawn(_answer_of, entry, ask, answer_class, settings, slots)
    return sorted(group.results, key=lambda view: view.entry.host)


async def _answer_of(entry, ask, answer_class, settings, slots):
    async with slots:
        try:
            async with curio.timeout_after(settings.answer_wait_s):
                return answer_class(entry, await ask())
        except curio.TaskTimeout:
            return answer_class(entry, problem="no answer in time")
        except (ConnectionLostError, ProtocolError) as error:
            return answer_class(entry, problem=str(error))


async def _ask(entry, peers, question, read_answer):
    channel = await open_channel(
        entry.address, entry.port, Frame, peers.frame_limit_bytes, peers.dial_wait_s
    )
    try:
        identity = Identity(OPERATOR_HOST, "", OPERATOR_ROLE)
        hello, frames = await shake_hands(channel, identity, peers, dialled=True)
        if hello.host != entry.host:
            raise ProtocolError(f"{hello.host} answered")
        await channel.send(question)
        while True:
            for frame in frames:
                answer = read_answer(frame)
                if answer is not None:
                    return answer
            frames = await channel.receive()
    finally:
        await channel.close()


def _configuration_status(frame):
    if frame.configuration_update is None:
        return None
    status = frame.configuration_update.status
    if status is None or status.applied_offset is None:
        raise ProtocolError("the answer holds no status")
    return status
