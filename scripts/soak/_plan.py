"""Plan of a seed: its faults and their times."""

import random

GATEWAY, SERVER, STORE, OPERATOR = "gateway", "server", "store", "operator"
DOMAINS = ("a", "b")
# Kind of fault: its target part, and the range of its duration, seconds.
FAULT_KINDS = {
    "freeze gateway": (GATEWAY, (0.2, 3.0)),
    "kill gateway": (GATEWAY, (0.1, 1.5)),
    "stop gateway": (GATEWAY, (0.1, 1.0)),
    "reload gateway": (GATEWAY, (0.0, 0.0)),
    "delay callers": (GATEWAY, (0.5, 3.0)),
    "reset callers": (GATEWAY, (0.0, 0.0)),
    "silence callers": (GATEWAY, (0.0, 0.0)),
    "cut callers": (GATEWAY, (0.3, 2.0)),
    "delay store link": (GATEWAY, (0.5, 3.0)),
    "reset store link": (GATEWAY, (0.0, 0.0)),
    "silence store link": (GATEWAY, (0.0, 0.0)),
    "cut store link": (GATEWAY, (0.5, 4.0)),
    "freeze server": (SERVER, (0.2, 3.0)),
    "kill server": (SERVER, (0.1, 1.0)),
    "retire server": (SERVER, (0.0, 0.0)),
    "spoil answers": (SERVER, (0.5, 4.0)),
    "delay server link": (SERVER, (0.5, 3.0)),
    "reset server link": (SERVER, (0.0, 0.0)),
    "silence server link": (SERVER, (0.0, 0.0)),
    "cut server link": (SERVER, (0.3, 3.0)),
    "store busy": (STORE, (0.3, 5.0)),
    "store silent": (STORE, (0.3, 4.0)),
    "store resets": (STORE, (0.3, 5.0)),
    "store deaf": (STORE, (0.3, 3.0)),
    "store forgets": (STORE, (0.0, 0.0)),
    "entries lapse": (STORE, (1.0, 4.0)),
    "publish": (OPERATOR, (0.0, 0.0)),
    "publish storm": (OPERATOR, (0.0, 0.0)),
}
DRAWN_KINDS = list(FAULT_KINDS)
# Drawn from a generator of its own, so that the plans of existing seeds don't change.
RESTORE_KIND = "store comes back older"
RESTORE_SPAN_S = (1.0, 4.0)
RESTORES_LIMIT = 2
FAULT_KINDS[RESTORE_KIND] = (STORE, RESTORE_SPAN_S)
# A server that only states a limit doesn't count as disturbed.
LIMITED = "limited server"
LIMIT_KIND = "name a limit"
# Long enough for a window that is judged: 3 s until a limit binds, plus the 4 s window.
LIMIT_SPAN_S = (8.0, 11.0)
FAULT_KINDS[LIMIT_KIND] = (LIMITED, LIMIT_SPAN_S)
# Longer than gateways wait for an answer, so that requests time out during the cut.
LONG_CUT_KIND = "cut server link for long"
LONG_CUT_SPAN_S = (4.0, 7.0)
LONG_CUTS_LIMIT = 2
FAULT_KINDS[LONG_CUT_KIND] = (SERVER, LONG_CUT_SPAN_S)
BACKOFF_KIND = "request back-off"
BACKOFF_SPAN_S = (1.0, 5.0)
FAULT_KINDS[BACKOFF_KIND] = (LIMITED, BACKOFF_SPAN_S)
LEAVING_KIND = "say leaving"
FAULT_KINDS[LEAVING_KIND] = (SERVER, (0.0, 0.0))
LEAVINGS_LIMIT = 2
# Seeds from this number on have evacuated domains and cold servers; the plans and
# systems of lower seeds don't change.
COLD_FROM_SEED = 1000
EVACUATION_KIND = "evacuate domain"
# Longer than the bound within which gateways must apply an evacuation.
EVACUATION_SPAN_S = (8.0, 11.0)
FAULT_KINDS[EVACUATION_KIND] = (OPERATOR, EVACUATION_SPAN_S)
COLD_KIND = "turn cold"
COLD_SPAN_S = (4.0, 6.0)
FAULT_KINDS[COLD_KIND] = (LIMITED, COLD_SPAN_S)
COLD_LIMIT = 3
# Kinds that restart a server; a server that starts during the load is cold.
START_KINDS = ("kill server", "retire server")
# Range of the fault rate: at a low rate parts stay undisturbed for long enough that
# time bounds hold for them; at a high rate faults overlap.
FAULTS_PER_S = (0.3, 2.5)
SERIES_SHARE = 0.3
SERIES_LENGTH = 3
SERIES_GAP_S = 0.7


class Fault:
    """A fault of a plan.

    Parameters
    ----------
    kind : str
        Key of `FAULT_KINDS`.
    subject : int
        Index of the gateway, server or domain.
    at_s : float
        Start, seconds after the start of the load.
    for_s : float
        Duration, seconds.
    seed : int
        Seed of the random choices within the fault.
    """

    __slots__ = ("at_s", "for_s", "kind", "seed", "subject")

    def __init__(self, kind, subject, at_s, for_s, seed):
        self.kind = kind
        self.subject = subject
        self.at_s = at_s
        self.for_s = for_s
        self.seed = seed

    def __str__(self):
        return f"{self.at_s:.2f} s {self.kind} {self.subject} for {self.for_s:.2f} s"


def draw_plan(seed, trouble_s, gateway_count, server_count):
    """Return the faults of a seed, sorted by start.

    Some form a series of the same kind on the same part; any faults may overlap.

    Parameters
    ----------
    seed : int
        Seed of the run.
    trouble_s : float
        Time by which all faults have ended, seconds after the start of the load.
    gateway_count, server_count : int
        Number of gateways and servers.
    """
    drawn = random.Random(seed)
    per_second = drawn.uniform(*FAULTS_PER_S)
    faults = []
    while len(faults) < trouble_s * per_second:
        kind = drawn.choice(DRAWN_KINDS)
        part, (shortest_s, longest_s) = FAULT_KINDS[kind]
        subject = drawn.randrange(gateway_count if part == GATEWAY else server_count)
        at_s = drawn.uniform(0.5, trouble_s)
        count = SERIES_LENGTH if drawn.random() < SERIES_SHARE else 1
        for number in range(count):
            begins_s = at_s + number * SERIES_GAP_S
            for_s = drawn.uniform(shortest_s, longest_s)
            for_s = min(for_s, trouble_s - begins_s)
            if for_s >= 0:
                fault = Fault(kind, subject, begins_s, for_s, drawn.randrange(2**31))
                faults.append(fault)
    faults += _draw_restores(seed, trouble_s)
    faults += _draw_limits(seed, trouble_s, server_count)
    faults += _draw_long_cuts(seed, trouble_s, server_count)
    faults += _draw_backoffs(seed, trouble_s, server_count)
    faults += _draw_leavings(seed, trouble_s, server_count)
    if has_cold_servers(seed):
        faults += _draw_evacuations(seed, trouble_s)
        faults += _draw_cold(seed, trouble_s, server_count)
    return sorted(faults, key=lambda fault: fault.at_s)


def has_cold_servers(seed):
    """Return whether a seed has evacuated domains, and servers that start cold."""
    return seed >= COLD_FROM_SEED


def _draw_restores(seed, trouble_s):
    """Return the restores of the store in a seed, often none."""
    drawn = random.Random(f"restores {seed}")
    restores = []
    for _ in range(drawn.randint(0, RESTORES_LIMIT)):
        for_s = drawn.uniform(*RESTORE_SPAN_S)
        at_s = drawn.uniform(0.5, max(0.5, trouble_s - for_s))
        for_s = min(for_s, trouble_s - at_s)
        restores.append(Fault(RESTORE_KIND, 0, at_s, for_s, drawn.randrange(2**31)))
    return restores


def _draw_limits(seed, trouble_s, server_count):
    """Return the limits that none, some or all servers of a seed state."""
    drawn = random.Random(f"limits {seed}")
    limits = []
    for server in drawn.sample(range(server_count), drawn.randint(0, server_count)):
        for_s = min(drawn.uniform(*LIMIT_SPAN_S), trouble_s)
        at_s = drawn.uniform(0.0, trouble_s - for_s)
        limits.append(Fault(LIMIT_KIND, server, at_s, for_s, drawn.randrange(2**31)))
    return limits


def _draw_long_cuts(seed, trouble_s, server_count):
    """Return the long cuts between a seed's servers and all gateways, often none."""
    drawn = random.Random(f"long cuts {seed}")
    cuts = []
    for _ in range(drawn.randint(0, LONG_CUTS_LIMIT)):
        for_s = min(drawn.uniform(*LONG_CUT_SPAN_S), trouble_s)
        at_s = drawn.uniform(0.0, trouble_s - for_s)
        server = drawn.randrange(server_count)
        cuts.append(Fault(LONG_CUT_KIND, server, at_s, for_s, drawn.randrange(2**31)))
    return cuts


def _draw_backoffs(seed, trouble_s, server_count):
    """Return the back-offs that none, some or all servers of a seed request."""
    drawn = random.Random(f"backoffs {seed}")
    backoffs = []
    for server in drawn.sample(range(server_count), drawn.randint(0, server_count)):
        for_s = min(drawn.uniform(*BACKOFF_SPAN_S), trouble_s)
        at_s = drawn.uniform(0.0, trouble_s - for_s)
        backoffs.append(
            Fault(BACKOFF_KIND, server, at_s, for_s, drawn.randrange(2**31))
        )
    return backoffs


def _draw_leavings(seed, trouble_s, server_count):
    """Return the servers of a seed that leave and announce it only in answers."""
    drawn = random.Random(f"leavings {seed}")
    return [
        Fault(
            LEAVING_KIND,
            drawn.randrange(server_count),
            drawn.uniform(0.5, trouble_s),
            0.0,
            drawn.randrange(2**31),
        )
        for _ in range(drawn.randint(0, LEAVINGS_LIMIT))
    ]


def _draw_evacuations(seed, trouble_s):
    """Return the evacuations of none, one or all domains in a seed."""
    drawn = random.Random(f"evacuations {seed}")
    evacuations = []
    for number in drawn.sample(range(len(DOMAINS)), drawn.randint(0, len(DOMAINS))):
        for_s = min(drawn.uniform(*EVACUATION_SPAN_S), trouble_s)
        at_s = drawn.uniform(0.0, trouble_s - for_s)
        evacuations.append(
            Fault(EVACUATION_KIND, number, at_s, for_s, drawn.randrange(2**31))
        )
    return evacuations


def _draw_cold(seed, trouble_s, server_count):
    """Return the servers of a seed that become cold, some by a restart."""
    drawn = random.Random(f"cold {seed}")
    faults = []
    for _ in range(drawn.randint(0, COLD_LIMIT)):
        kind = drawn.choice((COLD_KIND, *START_KINDS))
        for_s = min(drawn.uniform(*FAULT_KINDS[kind][1]), trouble_s)
        at_s = drawn.uniform(0.0, trouble_s - for_s)
        server = drawn.randrange(server_count)
        faults.append(Fault(kind, server, at_s, for_s, drawn.randrange(2**31)))
    return faults
