"""What was done to a system, and what its callers saw."""

import itertools
import math

from scripts.soak._cpu_history import CpuHistory
from scripts.soak._pauses import Pauses

# How long a part must have been left alone before time bounds hold for it.
STABLE_WINDOW_S = 4.0


class Disruptions:
    """When each part of the system was disturbed.

    Parts are named by a kind and a name, as ``("gateway", "gateway-1")``; the store and
    the links of a part count with it.
    """

    __slots__ = ("_spans",)

    def __init__(self):
        self._spans = {}

    def begin(self, subject, at_s):
        """Note that a disturbance begins; return its span, for `end`."""
        span = [at_s, None]
        self._spans.setdefault(subject, []).append(span)
        return span

    def end(self, span, at_s):
        """Note that a disturbance has ended."""
        span[1] = at_s

    def is_calm(self, subject, from_s, until_s):
        """Return whether a part was left alone since a stable window before a span."""
        since_s = from_s - STABLE_WINDOW_S
        return not any(
            begun_s <= until_s and (ended_s is None or ended_s >= since_s)
            for begun_s, ended_s in self._spans.get(subject, ())
        )

    def is_untouched(self, subject, from_s, until_s):
        """Return whether no disturbance of a part overlaps a span."""
        return not any(
            begun_s <= until_s and (ended_s is None or ended_s >= from_s)
            for begun_s, ended_s in self._spans.get(subject, ())
        )


class CallRecord:
    """One request as its caller saw it.

    Parameters
    ----------
    request_id, kind, path : str
        The request; kinds are "safe", "unsafe" and "streaming".
    gateway : str
        The gateway that it was sent to.
    answer : scripts._caller_http.RawAnswer
        What came.
    started_s, ended_s : float
        When the caller began and ended, monotonic seconds.
    left : bool
        Whether the caller meant to leave before the end.
    ending_body : bytes
        Body under which servers end, if it had one; all tries with it are one request.
    has_ending_part : bool
        Whether that stands for a part of prompts, and no two requests are alike.
    """

    __slots__ = (
        "answer",
        "ended_s",
        "ending_body",
        "gateway",
        "has_ending_part",
        "kind",
        "left",
        "path",
        "request_id",
        "started_s",
    )

    def __init__(
        self,
        request_id,
        kind,
        path,
        gateway,
        answer,
        started_s,
        ended_s,
        left=False,
        ending_body=b"",
        has_ending_part=False,
    ):
        self.request_id = request_id
        self.kind = kind
        self.path = path
        self.gateway = gateway
        self.answer = answer
        self.started_s = started_s
        self.ended_s = ended_s
        self.left = left
        self.ending_body = ending_body
        self.has_ending_part = has_ending_part

    @property
    def is_served(self):
        """Whether the whole answer came with success."""
        return self.answer.whole and self.answer.status == 200

    def __str__(self):
        waited_s = self.ended_s - self.started_s
        word = self.answer.status if self.answer.status is not None else "no answer"
        whole = "whole" if self.answer.whole else "not whole"
        return (
            f"{self.kind} {self.request_id} at {self.gateway}: {word}, {whole}, "
            f"{len(self.answer.body)} bytes, began {self.started_s:.2f}, "
            f"took {waited_s:.2f} s"
        )


class Finding:
    """A promise that was broken.

    Parameters
    ----------
    text : str
        What was seen, for people.
    from_s, until_s : float
        The span in which the promise was broken, monotonic seconds.
    """

    __slots__ = ("from_s", "text", "until_s")

    def __init__(self, text, from_s, until_s):
        self.text = text
        self.from_s = from_s
        self.until_s = until_s

    def __str__(self):
        return self.text


class Publication:
    """A version of the configuration that the store has confirmed.

    Parameters
    ----------
    version : int
        The version; ``key_of(version)`` is valid in it alone.
    confirmed_s : float
        When the store's answer came.
    """

    __slots__ = ("confirmed_s", "version")

    def __init__(self, version, confirmed_s):
        self.version = version
        self.confirmed_s = confirmed_s


class Probe:
    """A request that shows which configuration a gateway has in force.

    Parameters
    ----------
    gateway : str
        The gateway.
    boot : int
        Number of its start.
    version : int
        The request bears the key of this version.
    status : int or None
        What came.
    sent_s, ended_s : float
        Monotonic seconds.
    """

    __slots__ = ("boot", "ended_s", "gateway", "sent_s", "status", "version")

    def __init__(self, gateway, boot, version, status, sent_s, ended_s):
        self.gateway = gateway
        self.boot = boot
        self.version = version
        self.status = status
        self.sent_s = sent_s
        self.ended_s = ended_s

    def __str__(self):
        return (
            f"probe of {self.gateway} (start {self.boot}) with the key of version "
            f"{self.version}: {self.status} at {self.sent_s:.2f}"
        )


class Leaving:
    """A server that leaves.

    Parameters
    ----------
    instance_id : str
        The server.
    confirmed_s : float
        When the store confirmed that it leaves.
    """

    __slots__ = ("confirmed_s", "instance_id")

    def __init__(self, instance_id, confirmed_s):
        self.instance_id = instance_id
        self.confirmed_s = confirmed_s


class ServerEnd:
    """A server that has ended under a request.

    Parameters
    ----------
    instance_id, request_id : str
        The server, and the request.
    arrived_s : float
        When the request arrived there, monotonic seconds.
    """

    __slots__ = ("arrived_s", "instance_id", "request_id")

    def __init__(self, instance_id, request_id, arrived_s):
        self.instance_id = instance_id
        self.request_id = request_id
        self.arrived_s = arrived_s


class NamedLimit:
    """A limit that the answers of a server named.

    Parameters
    ----------
    instance_id : str
        The server.
    rate_per_s : float
        Requests a second that it took from all gateways.
    named_s, ended_s : float
        From when to when, monotonic seconds.
    """

    __slots__ = ("ended_s", "instance_id", "named_s", "rate_per_s")

    def __init__(self, instance_id, rate_per_s, named_s, ended_s):
        self.instance_id = instance_id
        self.rate_per_s = rate_per_s
        self.named_s = named_s
        self.ended_s = ended_s


class Evacuation:
    """A failure domain that an operator has evacuated.

    Parameters
    ----------
    domain : str
        The domain.
    confirmed_s : float
        When the store confirmed it, monotonic seconds.

    Attributes
    ----------
    ended_s : float
        From when on the domain may have been taken back; infinite until then.
    """

    __slots__ = ("confirmed_s", "domain", "ended_s")

    def __init__(self, domain, confirmed_s, ended_s=math.inf):
        self.domain = domain
        self.confirmed_s = confirmed_s
        self.ended_s = ended_s


class ColdSpan:
    """A span in which a server was cold.

    Parameters
    ----------
    instance_id : str
        The server.
    from_s, until_s : float
        Monotonic seconds.
    is_start : bool
        Whether it began with the server's start, before which no gateway could use it;
        else the store had confirmed its entry with it at `from_s`.
    """

    __slots__ = ("from_s", "instance_id", "is_start", "until_s")

    def __init__(self, instance_id, from_s, until_s, is_start):
        self.instance_id = instance_id
        self.from_s = from_s
        self.until_s = until_s
        self.is_start = is_start


class Records:
    """Everything that a run has noted.

    Attributes
    ----------
    calls, probes, publications, leavings, server_ends, limits : list
        See the classes.
    evacuations, cold_spans : list
        Likewise.
    domain_of : dict of str to str
        Failure domain of each server, by its name.
    runs : dict of str to list
        What each server start has run, by instance id, as JSON values.
    server_of : dict of str to str
        Name of the server of each instance id.
    faults : list of str
        What was done, for people.
    troubles : list of str
        What went wrong with the processes themselves.
    disruptions : Disruptions
        When each part was disturbed.
    pauses : scripts.soak._pauses.Pauses
        When the machine stood still.
    cpu_history : scripts.soak._cpu_history.CpuHistory
        When gateways waited for a processor.
    started_s : float
        When the load began, monotonic seconds.
    judged_from_s : float
        When servers were back and no longer cold, monotonic seconds; 0 if none was.
    """

    __slots__ = (
        "_numbers",
        "calls",
        "cold_spans",
        "cpu_history",
        "disruptions",
        "domain_of",
        "evacuations",
        "faults",
        "judged_from_s",
        "leavings",
        "limits",
        "pauses",
        "probes",
        "publications",
        "runs",
        "server_ends",
        "server_of",
        "started_s",
        "troubles",
    )

    def __init__(self):
        self._numbers = itertools.count(1)
        self.calls = []
        self.probes = []
        self.publications = []
        self.leavings = []
        self.server_ends = []
        self.limits = []
        self.evacuations = []
        self.cold_spans = []
        self.domain_of = {}
        self.runs = {}
        self.server_of = {}
        self.faults = []
        self.troubles = []
        self.disruptions = Disruptions()
        self.pauses = Pauses()
        self.cpu_history = CpuHistory(dict)
        self.started_s = 0.0
        self.judged_from_s = 0.0

    def next_number(self):
        """Return a number that no request has had."""
        return next(self._numbers)
