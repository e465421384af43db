"""Checks of the soak's promises: each detects its violation and only that."""

import copy

import pytest

from scripts._caller_http import RawAnswer
from scripts.soak import _promises
from scripts.soak._pauses import Pause
from scripts.soak._records import (
    CallRecord,
    ColdSpan,
    Evacuation,
    Leaving,
    NamedLimit,
    Probe,
    Publication,
    Records,
    ServerCrash,
)
from standins.platform_service import expected_body

GATEWAY = "gateway-0"
# Late enough that a stable window lies before it.
AT_S = 100.0


def answer(status=200, body=None, whole=True, seal=True):
    """Return an answer as a caller received it."""
    raw = RawAnswer()
    raw.status = status
    raw.whole = whole
    raw.body += body if body is not None else b""
    raw.headers = {"x-response-seal": "s"} if seal else {}
    return raw


def call(kind="unsafe", seen=None, took_s=0.1, left=False, request_id="soak-1"):
    """Return the record of a request with its answer."""
    path = f"/{'stream' if kind == 'streaming' else kind}/x"
    if seen is None:
        seen = answer(body=expected_body(request_id, path))
    ended_s = AT_S + took_s
    return CallRecord(request_id, kind, path, GATEWAY, seen, AT_S, ended_s, left)


def run(request_id="soak-1", arrived_s=AT_S, ended_s=AT_S + 0.1, **fields):
    """Return a server's record of a request."""
    values = {
        "request_id": request_id,
        "path": "/unsafe/x",
        "account": "inspectorate",
        "arrived_s": arrived_s,
        "ended_s": ended_s,
        "ran": True,
        "answered": True,
        "is_misdirected": False,
        "backoff_asked_s": 0.0,
        "refused_s": None,
        "said_leaving": False,
        "limit_named_s": None,
    }
    return values | fields


def crashing_calls(count, started_s):
    """Return attempts of a request that crashes servers."""
    return [
        CallRecord(
            f"ending-{number}",
            "safe",
            "/safe/x",
            GATEWAY,
            answer(status=502),
            started_s + number,
            started_s + number + 0.1,
            crashing_body=b"ends",
        )
        for number in range(count)
    ]


def crashes_of(calls):
    """Return the crash of a server under each of the given requests."""
    return [ServerCrash("i-1", one.request_id, one.started_s) for one in calls]


def records(
    calls=(),
    runs=(),
    probes=(),
    publications=(),
    leavings=(),
    ends=(),
    limits=(),
    evacuations=(),
    cold_spans=(),
):
    """Return the records of a run with one server."""
    noted = Records()
    noted.evacuations += evacuations
    noted.cold_spans += cold_spans
    noted.limits += limits
    noted.server_crashes += ends
    noted.calls += calls
    noted.probes += probes
    noted.publications += publications
    noted.leavings += leavings
    noted.runs = {"i-1": list(runs)}
    noted.server_of = {"i-1": "server-0"}
    noted.domain_of = {"server-0": "a"}
    return noted


def broken(check, noted):
    """Return the findings of a check."""
    return check(noted, _promises.Runs(noted))


def test_run_in_order_breaks_nothing():
    """A request that ran once and was answered completely violates nothing."""
    noted = records([call()], [run()])
    assert _promises.broken_promises(noted, AT_S) == []


# Three attempts crash servers, and another after the time to inform all gateways.
CRASHING = crashing_calls(8, AT_S)
LATE_CRASHES = crashes_of([*CRASHING[:3], CRASHING[7]])
# Twelve requests within 0.6 s; eleven are allowed within 4 s.
CROWD = [
    CallRecord(f"soak-{n}", "safe", "/safe/x", GATEWAY, answer(), *2 * [AT_S + n / 20])
    for n in range(12)
]
NAMED_S = AT_S - 3.1
TOLD = CallRecord(
    "soak-90", "safe", "/safe/x", GATEWAY, answer(), NAMED_S - 0.1, NAMED_S + 0.1
)
NAMING = run("soak-90", NAMED_S - 0.1, NAMED_S, limit_named_s=NAMED_S)
LIMIT = NamedLimit("i-1", 1.0, AT_S - 5, AT_S + 9)
ARRIVALS = [run(one.request_id, one.started_s) for one in CROWD]
STARTED = ColdSpan("i-1", AT_S - 1, AT_S + 3, is_start=True)
ASKED = run(CROWD[0].request_id, ran=False, backoff_asked_s=3.0, refused_s=AT_S)
IN_THE_BACKOFF = [run(CROWD[n].request_id, AT_S + n) for n in (1, 2)]
LEAVING_ANSWER = call(seen=answer(body=b""), request_id="soak-7")
AFTER_LEAVING_ANSWER = CallRecord(
    "soak-8", "safe", "/safe/x", GATEWAY, answer(), *2 * [AT_S + 2.5]
)
LOST = answer(status=None, whole=False)
REFUSED = answer(status=503)
BROKEN = {
    "ran_twice": records([call()], [run(), run()]),
    "refused_but_ran": records([call(seen=REFUSED)], [run()]),
    "wrong_answer": records([call(seen=answer(body=b"soak-2 /unsafe/x\n"))]),
    "answer_lost": records([call(seen=LOST)], [run()]),
    "held_too_long": records([call(seen=LOST, took_s=4.0)]),
    "denied": records([call(seen=answer(status=401))]),
    "not_asked_for": records([], [run("smuggled")]),
    "leaving_server_used": records(
        [call()], [run(arrived_s=AT_S + 3)], leavings=[Leaving("i-1", AT_S)]
    ),
    "configuration_late": records(
        probes=[Probe(GATEWAY, 1, 2, 401, AT_S + 3, AT_S + 3.1)],
        publications=[Publication(1, AT_S - 50), Publication(2, AT_S)],
    ),
    "configuration_regressed": records(
        probes=[
            Probe(GATEWAY, 1, 2, 200, AT_S, AT_S + 0.1),
            Probe(GATEWAY, 1, 1, 200, AT_S + 1, AT_S + 1.1),
        ]
    ),
    "worked_on_for_nobody": records(
        [call("safe", LOST, left=True)], [run(ended_s=AT_S + 2)]
    ),
    "arrived_after_the_end": records(
        [call("safe")], [run(), run(arrived_s=AT_S + 5, ended_s=AT_S + 5.1)]
    ),
    "limit_exceeded": records(
        [TOLD, *CROWD],
        [NAMING, *(run(one.request_id, one.started_s) for one in CROWD)],
        limits=[LIMIT],
    ),
    "evacuated_domain_used": records(
        [call()], [run()], evacuations=[Evacuation("a", AT_S - 5.5)]
    ),
    "cold_exceeded": records(CROWD, ARRIVALS, cold_spans=[STARTED]),
    "backoff_ignored": records(
        CROWD, [ASKED, *IN_THE_BACKOFF, run(CROWD[3].request_id, AT_S + 2.9)]
    ),
    "used_after_it_said_so": records(
        [LEAVING_ANSWER, AFTER_LEAVING_ANSWER],
        [run("soak-7", said_leaving=True), run("soak-8", AT_S + 2.5)],
    ),
    "not_kept_off": records(CRASHING, ends=LATE_CRASHES),
    "refused_for_another": records(
        [call(seen=answer(status=503, body=b'{"reason": "ends_targets"}'))]
    ),
}


@pytest.mark.parametrize("name", BROKEN)
def test_broken_promise_is_seen(name):
    """Every check finds the violation that it looks for."""
    assert len(broken(getattr(_promises, name), BROKEN[name])) == 1


def test_every_check_has_a_case():
    """Guards against a check without a test."""
    assert {check.__name__ for check in _promises.CHECKS} == set(BROKEN)


def test_old_key_is_seen_too():
    """A revoked key that is accepted after the time bound is a violation."""
    noted = records(
        probes=[Probe(GATEWAY, 1, 1, 200, AT_S + 3, AT_S + 3.1)],
        publications=[Publication(1, AT_S - 50), Publication(2, AT_S)],
    )
    assert len(broken(_promises.configuration_late, noted)) == 1


@pytest.mark.parametrize("name", ["answer_lost", "held_too_long", "configuration_late"])
def test_time_bounds_hold_for_undisturbed_gateways(name):
    """Time bounds don't apply to a gateway that was disturbed just before."""
    noted = BROKEN[name]
    span = noted.disruptions.begin(("gateway", GATEWAY), AT_S - 1)
    try:
        assert broken(getattr(_promises, name), noted) == []
    finally:
        noted.disruptions.end(span, AT_S - 90)


def test_tries_soon_after_the_third_end_may_arrive():
    """They are in flight, or at gateways that have not been informed yet."""
    noted = records(CRASHING, ends=crashes_of(CRASHING[:7]))
    assert broken(_promises.not_kept_off, noted) == []


def test_planned_stop_excuses_no_lost_answer():
    """Guards against an upgrade that aborts requests in progress."""
    noted = records([call(seen=LOST)], [run()])
    noted.disruptions.begin(("stop", GATEWAY), AT_S - 1)
    assert len(broken(_promises.answer_lost, noted)) == 1


def test_refusals_at_the_end_are_no_recovery():
    """Guards against gateways that still refuse callers after all faults have ended."""
    noted = records([call(seen=REFUSED)])
    assert len(_promises.not_recovered(noted, AT_S - 1)) == 1
    assert len(_promises.not_recovered(noted, AT_S + 1)) == 1


def limited(naming=NAMING, informing=TOLD, crowd=CROWD):
    """Return records with a limit, a call that passed it on, and later arrivals."""
    arrivals = [run(one.request_id, one.started_s) for one in crowd]
    return records([informing, *crowd], [naming, *arrivals], limits=[LIMIT])


def other_call(request_id, started_s, ended_s, gateway=GATEWAY, seen=None, left=False):
    """Return the record of a request at any gateway."""
    seen = seen or answer()
    return CallRecord(
        request_id, "safe", "/safe/x", gateway, seen, started_s, ended_s, left
    )


def cold_end(refused_s, is_cold=True, status=503):
    """Return records of a server that is cold until `AT_S`, with refusals at a time."""
    refused = [
        other_call(f"soak-{n}", refused_s, refused_s + 0.1, seen=answer(status))
        for n in range(2)
    ]
    served = [other_call(f"soak-{n}", AT_S + 1, AT_S + 1.1) for n in range(2, 12)]
    spans = [ColdSpan("i-1", AT_S - 4, AT_S, is_start=True)] if is_cold else []
    noted = records([*refused, *served], cold_spans=spans)
    noted.judged_from_s = AT_S if is_cold else 0.0
    return noted


@pytest.mark.parametrize(
    ("noted", "count"),
    [
        (cold_end(AT_S - 1), 0),
        (cold_end(AT_S + 1), 1),
        (cold_end(AT_S - 1, status=504), 1),
        (cold_end(AT_S - 1, is_cold=False), 1),
    ],
)
def test_refusals_by_cold_servers_are_no_missing_recovery(noted, count):
    """Refusals while servers are cold don't count; other failures still count."""
    assert len(_promises.not_recovered(noted, AT_S - 2)) == count


def test_end_is_judged_once_servers_are_warm():
    """Guards against failures in the warm period that earlier successes outnumber.

    A warm period without any request is a violation as well.
    """
    noted = cold_end(AT_S - 1)
    noted.calls += [
        other_call(f"soak-{n}", AT_S - 1, AT_S - 0.9) for n in range(20, 60)
    ]
    noted.calls += [
        other_call(f"soak-{n}", AT_S + 1, AT_S + 1.1, seen=REFUSED) for n in (60, 61)
    ]
    assert len(_promises.not_recovered(noted, AT_S - 2)) == 1
    noted.calls = [one for one in noted.calls if one.started_s < AT_S]
    assert len(_promises.not_recovered(noted, AT_S - 2)) == 1


def paused(noted, began_s, length_s, of_machine=True, of_soak=True):
    """Return a copy of records in which one or both timers were paused."""
    noted = copy.deepcopy(noted)
    pause = Pause(began_s, began_s + length_s)
    noted.pauses.of_machine = [pause] if of_machine else []
    noted.pauses.of_soak = [pause] if of_soak else []
    return noted


def test_pause_of_the_machine_is_taken_off_a_wait_and_no_more():
    """Guards against a pause that excuses more than its overlap with the wait."""
    noted, check = BROKEN["held_too_long"], _promises.held_too_long
    assert broken(check, paused(noted, AT_S + 1, 0.35)) == []
    assert len(broken(check, paused(noted, AT_S + 1, 0.25))) == 1
    assert len(broken(check, paused(noted, AT_S - 50, 40))) == 1
    assert len(broken(check, paused(noted, AT_S + 5, 40))) == 1


def test_pause_that_one_timer_alone_has_seen_excuses_nothing():
    """Guards against treating the delay of one process as a pause of the machine."""
    for timers in ({"of_machine": False}, {"of_soak": False}):
        alone = paused(BROKEN["held_too_long"], AT_S + 1, 1.0, **timers)
        assert len(broken(_promises.held_too_long, alone)) == 1


def test_pause_excuses_no_late_arrival():
    """A pause of the machine is not known to delay requests, so it excuses none."""
    noted = paused(BROKEN["arrived_after_the_end"], AT_S + 0.1, 4.9)
    assert len(broken(_promises.arrived_after_the_end, noted)) == 1


OUT_OF_TIME = answer(status=504)


@pytest.mark.parametrize(
    ("seen", "length_s", "count"),
    [
        (OUT_OF_TIME, 2.95, 0),
        (LOST, 2.95, 0),
        (OUT_OF_TIME, 2.4, 1),
        (REFUSED, 2.95, 1),
    ],
)
def test_pause_excuses_at_the_end_only_requests_that_had_no_time(seen, length_s, count):
    """A pause while recovery is judged excuses time-outs only, and no refusals."""
    served = [call(request_id=f"soak-{number}") for number in range(2, 8)]
    noted = records([call(seen=seen, took_s=3.2), *served])
    assert len(_promises.not_recovered(noted, AT_S - 1)) == 1
    noted = paused(noted, AT_S + 0.1, length_s)
    assert len(_promises.not_recovered(noted, AT_S - 1)) == count


@pytest.mark.parametrize(("length_s", "count"), [(2.95, 0), (2.4, 1)])
def test_what_ran_after_a_routes_time_does_not_count_as_time_to_serve(length_s, count):
    """A stream is aborted in a pause, and its caller notices it 0.55 s later.

    Guards against counting these 0.55 s as time in which it could be served.
    """
    served = [call(request_id=f"soak-{number}") for number in range(2, 8)]
    noted = records([call(seen=LOST, took_s=3.7), *served])
    noted = paused(noted, AT_S + 0.1, length_s)
    assert len(_promises.not_recovered(noted, AT_S - 1)) == count


def test_end_at_which_the_machine_stood_still_shows_no_recovery():
    """Guards against a pass of a run in which no request is left to judge."""
    noted = paused(records([call(seen=LOST, took_s=3.2)]), AT_S + 0.1, 3.0)
    assert len(_promises.not_recovered(noted, AT_S - 1)) == 1


def test_limit_holds_from_three_seconds_after_it_was_first_named():
    """Guards against counting earlier requests and those of a disturbed gateway."""
    late = run("soak-90", NAMED_S, NAMED_S + 0.2, limit_named_s=NAMED_S + 0.2)
    assert broken(_promises.limit_exceeded, limited(late)) == []
    noted = limited()
    span = noted.disruptions.begin(("gateway", GATEWAY), AT_S - 1)
    noted.disruptions.end(span, AT_S)
    assert broken(_promises.limit_exceeded, noted) == []


def test_limit_that_no_answer_named_binds_nobody():
    """Guards against a limit that binds from the fault's start without an answer."""
    silent = NAMING | {"limit_named_s": None}
    assert broken(_promises.limit_exceeded, limited(silent)) == []


def test_limit_binds_no_gateway_that_has_not_passed_it_on():
    """Guards against counting requests of gateways that can't know the limit."""
    informing = other_call("soak-90", NAMED_S - 0.1, NAMED_S + 0.1, "gateway-1")
    assert broken(_promises.limit_exceeded, limited(informing=informing)) == []


@pytest.mark.parametrize(("told_before_s", "count"), [(0.45, 0), (0.55, 1)])
def test_limit_binds_a_gateway_half_a_second_after_it_passed_it_on(
    told_before_s, count
):
    """Another gateway was informed first, which starts the 3 s."""
    first = other_call("soak-90", NAMED_S - 0.1, NAMED_S + 0.1, "gateway-1")
    informed_s = AT_S - told_before_s
    informing = other_call("soak-91", informed_s - 0.1, informed_s + 0.1)
    noted = limited(informing=first)
    noted.calls.append(informing)
    naming = run("soak-91", informed_s - 0.1, informed_s, limit_named_s=informed_s)
    noted.runs["i-1"].append(naming)
    assert len(broken(_promises.limit_exceeded, noted)) == count


def test_answer_that_was_cut_off_tells_nobody_of_a_limit():
    """A refusal on a cut link informs no gateway; on a sound link it does."""
    refusal = NAMING | {"answered": False, "ran": False}
    noted = limited(refusal)
    assert len(broken(_promises.limit_exceeded, noted)) == 1
    noted.disruptions.begin(("server", "server-0"), NAMED_S)
    assert broken(_promises.limit_exceeded, noted) == []


def test_caller_that_left_shows_no_answer_passed_on():
    """The gateway of a disconnected caller may close its connection unread."""
    left = other_call("soak-90", NAMED_S - 0.1, NAMED_S, seen=LOST, left=True)
    assert broken(_promises.limit_exceeded, limited(informing=left)) == []


def test_answer_that_a_caller_received_tells_of_a_limit_on_any_link():
    """Guards against a disturbed link that excuses an answer that was received."""
    noted = limited()
    span = noted.disruptions.begin(("server", "server-0"), NAMED_S)
    noted.disruptions.end(span, NAMED_S + 0.2)
    assert len(broken(_promises.limit_exceeded, noted)) == 1


def test_requests_that_a_cut_link_held_up_were_sent_before_the_limit_was_known():
    """The end of a cut delivers requests that had been sent before the limit."""
    sent_s = NAMED_S + 0.3
    crowd = [other_call(one.request_id, sent_s, AT_S + 1) for one in CROWD]
    arrivals = [run(one.request_id, AT_S) for one in crowd]
    noted = records([TOLD, *crowd], [NAMING, *arrivals], limits=[LIMIT])
    # On a sound link these are retries, which the gateway sent knowing the limit.
    assert len(broken(_promises.limit_exceeded, noted)) == 1
    span = noted.disruptions.begin(("server", "server-0"), NAMED_S + 1)
    noted.disruptions.end(span, AT_S)
    assert broken(_promises.limit_exceeded, noted) == []
    for one in crowd:
        one.started_s = NAMED_S + 0.7
    assert len(broken(_promises.limit_exceeded, noted)) == 1


@pytest.mark.parametrize(
    ("evacuation", "fields"),
    [
        (Evacuation("b", AT_S - 5.5), {}),
        (Evacuation("a", AT_S - 5.1), {}),
        (Evacuation("a", AT_S - 9, ended_s=AT_S - 0.1), {}),
        (Evacuation("a", AT_S - 5.5), {"is_misdirected": True}),
        (Evacuation("a", AT_S - 5.5), {"request_id": "probe-1"}),
    ],
)
def test_request_that_an_evacuation_allows_breaks_nothing(evacuation, fields):
    """In another domain, soon after it, withdrawn, answered 421, or a probe."""
    noted = records([call()], [run(**fields)], evacuations=[evacuation])
    assert broken(_promises.evacuated_domain_used, noted) == []


@pytest.mark.parametrize(
    ("subject", "until_s", "count"),
    [
        (_promises.STORE, AT_S - 5.3, 1),
        (_promises.STORE, AT_S - 5.1, 0),
        (("gateway", GATEWAY), AT_S - 5.3, 1),
        (("gateway", GATEWAY), AT_S - 5.1, 0),
        (("gateway", "gateway-1"), AT_S, 1),
    ],
)
def test_evacuation_binds_gateways_that_had_the_time_to_hear_of_it(
    subject, until_s, count
):
    """A disturbance excuses a gateway only within the bound of an evacuation."""
    noted = copy.deepcopy(BROKEN["evacuated_domain_used"])
    noted.evacuations = [Evacuation("a", AT_S - 30)]
    noted.disruptions.end(noted.disruptions.begin(subject, AT_S - 20), until_s)
    assert len(broken(_promises.evacuated_domain_used, noted)) == count


@pytest.mark.parametrize(("started_s", "count"), [(AT_S - 2, 0), (AT_S - 0.1, 1)])
def test_link_that_was_cut_brings_what_was_sent_before_the_evacuation(started_s, count):
    """Guards against blaming a gateway for requests sent before the time bound."""
    noted = records(
        [other_call("soak-1", started_s, AT_S + 1)],
        [run()],
        evacuations=[Evacuation("a", AT_S - 5.5)],
    )
    noted.disruptions.begin(("server", "server-0"), AT_S - 3)
    assert len(broken(_promises.evacuated_domain_used, noted)) == count


def cold_run(count=12, gap_s=0.05, span=STARTED, held_up_s=0.0, **fields):
    """Return records in which requests reach a cold server at regular intervals."""
    times_s = [AT_S + number * gap_s for number in range(count)]
    calls = [
        other_call(f"soak-{number}", at_s - held_up_s, at_s + 0.1)
        for number, at_s in enumerate(times_s)
    ]
    arrivals = [
        run(f"soak-{number}", at_s, **fields) for number, at_s in enumerate(times_s)
    ]
    return records(calls, arrivals, cold_spans=[span])


@pytest.mark.parametrize(
    ("noted", "count"),
    [
        (cold_run(8), 0),
        (cold_run(9), 1),
        (cold_run(12, gap_s=0.12), 1),
        (cold_run(12, gap_s=0.13), 0),
        (cold_run(is_misdirected=True), 0),
        (cold_run(ran=False), 1),
        (cold_run(span=ColdSpan("i-1", AT_S - 4, AT_S, True)), 0),
        (cold_run(span=ColdSpan("i-2", AT_S - 1, AT_S + 3, True)), 0),
    ],
)
def test_cold_server_gets_at_most_the_bound_in_any_second(noted, count):
    """8 requests in a second are allowed; declined requests count, except with 421."""
    assert len(broken(_promises.cold_exceeded, noted)) == count


@pytest.mark.parametrize(
    ("cold_for_s", "is_start", "count"),
    [(0.5, True, 1), (0.5, False, 0), (2, False, 1)],
)
def test_server_that_turns_cold_is_known_to_be_a_while_later(
    cold_for_s, is_start, count
):
    """The bound of a server that has just started binds all gateways at once."""
    noted = cold_run(span=ColdSpan("i-1", AT_S - cold_for_s, AT_S + 3, is_start))
    assert len(broken(_promises.cold_exceeded, noted)) == count
    noted.disruptions.begin(("gateway", GATEWAY), AT_S - 0.1)
    assert len(broken(_promises.cold_exceeded, noted)) == is_start


def test_requests_that_a_link_held_up_were_not_sent_in_the_second_of_their_arrival():
    """The end of a cut delivers at once requests that were sent over seconds."""
    noted = cold_run(held_up_s=1.2)
    assert len(broken(_promises.cold_exceeded, noted)) == 1
    noted.disruptions.begin(("server", "server-0"), AT_S - 1)
    assert broken(_promises.cold_exceeded, noted) == []


def test_frozen_server_reads_late_what_came_in_time():
    """A cut link excuses no late arrival; a frozen process does."""
    noted = copy.deepcopy(BROKEN["arrived_after_the_end"])
    noted.disruptions.begin(("server", "server-0"), AT_S)
    assert len(broken(_promises.arrived_after_the_end, noted)) == 1
    noted.disruptions.begin(("process", "server-0"), AT_S)
    assert broken(_promises.arrived_after_the_end, noted) == []


def test_two_requests_in_a_rest_are_allowed():
    """Requests in flight when the answer arrives may still reach the server."""
    noted = records(
        CROWD, [ASKED, *IN_THE_BACKOFF, run(CROWD[3].request_id, AT_S + 0.4)]
    )
    assert broken(_promises.backoff_ignored, noted) == []


def test_only_a_restart_or_a_freeze_excuses_requests_after_the_leaving_was_said():
    """A disturbed link excuses nothing: the gateway has passed on the answer."""
    noted = copy.deepcopy(BROKEN["used_after_it_said_so"])
    noted.disruptions.begin(("gateway", GATEWAY), AT_S + 1)
    assert len(broken(_promises.used_after_it_said_so, noted)) == 1
    noted.disruptions.begin(("process", GATEWAY), AT_S + 1)
    assert broken(_promises.used_after_it_said_so, noted) == []
