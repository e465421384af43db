"""Records of a run: injected faults, and what callers and servers observed."""

import itertools
import math

from scripts.soak._cpu_history import CpuHistory
from scripts.soak._pauses import Pauses

# Undisturbed time of a part after which time bounds hold for it.
STABLE_WINDOW_S = 4.0


class Disruptions:
    """Spans in which each part of the system was disturbed.

    A part is identified by kind and name, as ``("gateway", "gateway-1")``.  A fault of
    a part's links counts as a disturbance of the part.
    """

    __slots__ = ("_spans",)

    def __init__(self):
        self._spans = {}

    def begin(self, subject, at_s):
        """Record the start of a disturbance; return its span, for `end`."""
        span = [at_s, None]
        self._spans.setdefault(subject, []).append(span)
        return span

    def end(self, span, at_s):
        """Record the end of a disturbance."""
        span[1] = at_s

    def is_stable(self, subject, from_s, until_s):
        """Return whether a part was undisturbed in a span and the window before it."""
        since_s = from_s - STABLE_WINDOW_S
        return not any(
            begun_s <= until_s and (ended_s is None or ended_s >= since_s)
            for begun_s, ended_s in self._spans.get(subject, ())
        )

    def is_undisturbed(self, subject, from_s, until_s):
        """Return whether no disturbance of a part overlaps a span."""
        return not any(
            begun_s <= until_s and (ended_s is None or ended_s >= from_s)
            for begun_s, ended_s in self._spans.get(subject, ())
        )


class CallRecord:
    """A request and its answer, as observed by the caller.

    Parameters
    ----------
    request_id, kind, path : str
        Id, kind and path of the request; kinds are "safe", "unsafe" and "streaming".
    gateway : str
        Name of the gateway that it was sent to.
    answer : scripts._caller_http.RawAnswer
        Received answer, complete or not.
    started_s, ended_s : float
        Start and end of the call, monotonic seconds.
    left : bool
        Whether the caller disconnected on purpose before the end.
    crashing_body : bytes
        Body that crashes servers, if any; all attempts with it count as one request.
    has_crashing_part : bool
        Whether `crashing_body` identifies a part of the prompt that the attempts share,
        while the requests themselves differ.
    """

    __slots__ = (
        "answer",
        "ended_s",
        "crashing_body",
        "gateway",
        "has_crashing_part",
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
        crashing_body=b"",
        has_crashing_part=False,
    ):
        self.request_id = request_id
        self.kind = kind
        self.path = path
        self.gateway = gateway
        self.answer = answer
        self.started_s = started_s
        self.ended_s = ended_s
        self.left = left
        self.crashing_body = crashing_body
        self.has_crashing_part = has_crashing_part

    @property
    def is_served(self):
        """Whether a complete answer with status 200 was received."""
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
    """Violation of a promise.

    Parameters
    ----------
    text : str
        Description for the report.
    from_s, until_s : float
        Span of the violation, monotonic seconds.
    """

    __slots__ = ("from_s", "text", "until_s")

    def __init__(self, text, from_s, until_s):
        self.text = text
        self.from_s = from_s
        self.until_s = until_s

    def __str__(self):
        return self.text


class Publication:
    """Configuration version that the store has confirmed.

    Parameters
    ----------
    version : int
        Version number; ``key_of(version)`` is valid only in this version.
    confirmed_s : float
        When the store's answer arrived, monotonic seconds.
    """

    __slots__ = ("confirmed_s", "version")

    def __init__(self, version, confirmed_s):
        self.version = version
        self.confirmed_s = confirmed_s


class Probe:
    """Request that shows which configuration version a gateway has in force.

    Parameters
    ----------
    gateway : str
        Name of the gateway.
    boot : int
        Number of the gateway's start.
    version : int
        Version whose key the request carries.
    status : int or None
        HTTP status; None if there was no answer.
    sent_s, ended_s : float
        Start and end of the request, monotonic seconds.
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
    """Planned departure of a server.

    Parameters
    ----------
    instance_id : str
        Id of the server's instance.
    confirmed_s : float
        When the store confirmed the departure, monotonic seconds.
    """

    __slots__ = ("confirmed_s", "instance_id")

    def __init__(self, instance_id, confirmed_s):
        self.instance_id = instance_id
        self.confirmed_s = confirmed_s


class ServerCrash:
    """Crash of a server under a request.

    Parameters
    ----------
    instance_id, request_id : str
        Ids of the server's instance and of the request.
    arrived_s : float
        Arrival of the request at the server, monotonic seconds.
    """

    __slots__ = ("arrived_s", "instance_id", "request_id")

    def __init__(self, instance_id, request_id, arrived_s):
        self.instance_id = instance_id
        self.request_id = request_id
        self.arrived_s = arrived_s


class NamedLimit:
    """Limit that the answers of a server stated.

    Parameters
    ----------
    instance_id : str
        Id of the server's instance.
    rate_per_s : float
        Limit on the requests of all gateways together, requests per second.
    named_s, ended_s : float
        Span in which the limit was stated, monotonic seconds.
    """

    __slots__ = ("ended_s", "instance_id", "named_s", "rate_per_s")

    def __init__(self, instance_id, rate_per_s, named_s, ended_s):
        self.instance_id = instance_id
        self.rate_per_s = rate_per_s
        self.named_s = named_s
        self.ended_s = ended_s


class Evacuation:
    """Evacuation of a failure domain by an operator.

    Parameters
    ----------
    domain : str
        Name of the failure domain.
    confirmed_s : float
        When the store confirmed the evacuation, monotonic seconds.

    Attributes
    ----------
    ended_s : float
        When the operator started to withdraw the evacuation, monotonic seconds;
        infinite before.
    """

    __slots__ = ("confirmed_s", "domain", "ended_s")

    def __init__(self, domain, confirmed_s, ended_s=math.inf):
        self.domain = domain
        self.confirmed_s = confirmed_s
        self.ended_s = ended_s


class ColdSpan:
    """Span in which a server was cold.

    Parameters
    ----------
    instance_id : str
        Id of the server's instance.
    from_s, until_s : float
        Start and end, monotonic seconds.
    is_start : bool
        Whether the span began with the start of the server, before which no gateway
        could use it; otherwise, the store confirmed the cold entry at `from_s`.
    """

    __slots__ = ("from_s", "instance_id", "is_start", "until_s")

    def __init__(self, instance_id, from_s, until_s, is_start):
        self.instance_id = instance_id
        self.from_s = from_s
        self.until_s = until_s
        self.is_start = is_start


class Records:
    """All records of a run.

    Attributes
    ----------
    calls, probes, publications, leavings, server_crashes, limits : list
        Instances of the classes above.
    evacuations, cold_spans : list
        Instances of `Evacuation` and `ColdSpan`.
    domain_of : dict of str to str
        Failure domain by server name.
    runs : dict of str to list
        Requests recorded by each server instance, by instance id, as JSON values.
    server_of : dict of str to str
        Server name by instance id.
    faults : list of str
        Descriptions of the injected faults, for the report.
    troubles : list of str
        Defects of the processes themselves.
    disruptions : Disruptions
        Spans in which each part was disturbed.
    pauses : scripts.soak._pauses.Pauses
        Spans in which the machine was paused.
    cpu_history : scripts.soak._cpu_history.CpuHistory
        Waits of the processes for a processor.
    started_s : float
        Start of the load, monotonic seconds.
    judged_from_s : float
        When all servers had restarted and were no longer cold, monotonic seconds; 0
        before the run has ended.
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
        "server_crashes",
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
        self.server_crashes = []
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
        """Return a new serial number for a request."""
        return next(self._numbers)
