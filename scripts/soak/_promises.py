"""Promises (invariants and time bounds) that every run must keep.

Each check takes the `Records` and the `Runs` of a soak run and returns a `Finding` for
each violation.  Time bounds hold only for gateways that were undisturbed for a stable
window, and for a store that was undisturbed as well.  Time in which two independent
timers were paused at once, since the machine ran nothing, is subtracted from a caller's
wait; the rest must keep the bound.
"""

import collections
import math

from scripts.soak._records import Finding, STABLE_WINDOW_S
from scripts.soak._runs import Runs
from scripts.soak._system import (
    ACCOUNT,
    COLD_OVER,
    COLD_PER_S,
    COLD_SLACK,
    ROUTE_TIMEOUT_S,
)
from standins.platform_service import expected_body

NOT_RUN_STATUSES = (408, 421, 429, 503)
DENIED_STATUSES = (401, 403, 404)
# Time bounds of the platform.
IN_FORCE_S = 2.0
LEAVING_S = 2.0
FINAL_ANSWER_S = 0.5
ABANDONED_WORK_S = 0.5
REGRESS_S = 0.25
ARRIVED_LATE_S = 0.5
BACKOFF_SLACK_S = 0.5
BACKOFF_COUNT = 2
LIMIT_SETTLED_S = 3.0
LIMIT_PROPAGATION_S = 0.5
LIMIT_WINDOW_S = 4.0
LIMIT_RATIO = 1.5
LIMIT_COUNT = 5
EVACUATED_S = 5.0
COLD_WINDOW_S = 1.0
# Time within which gateways in touch with the store learn of a changed entry, as for a
# server that leaves.
COLD_KNOWN_S = 2.0
MEASUREMENT_SLACK_S = 0.2
LEAST_SERVED_SHARE = 0.9
# Twice the length of a stream; a request with less running time could not be served.
LEAST_SERVING_TIME_S = 0.5
CRASHED_SERVERS_LIMIT = 3
# After this many crashes under a shared part of prompts, this many more requests with
# that part may reach servers.
CRASHES_UNDER_PART_LIMIT = 5
LATE_WITH_PART_LIMIT = 3
STORE = ("store", "store")


def ran_twice(records, runs):
    """Find unsafe requests that ran more than once."""
    return [
        _of_call(f"ran {len(runs.of(call))} times", call)
        for call in records.calls
        if call.kind == "unsafe" and len(runs.of(call)) > 1
    ]


def refused_but_ran(records, runs):
    """Find unsafe requests that ran although the answer states that they did not."""
    return [
        _of_call("refused but ran", call)
        for call in records.calls
        if call.kind == "unsafe"
        and call.answer.status in NOT_RUN_STATUSES
        and runs.of(call)
    ]


def wrong_answer(records, runs):
    """Find answers of status 200 that differ from the server's answer."""
    broken = []
    for call in records.calls:
        answer = call.answer
        if answer.status != 200:
            continue
        expected = expected_body(call.request_id, call.path)
        body = bytes(answer.body)
        is_right = body == expected if answer.whole else expected.startswith(body)
        if not is_right or "x-response-seal" not in answer.headers:
            broken.append(_of_call(f"wrong answer {body[:80]!r}", call))
    return broken


def answer_lost(records, runs):
    """Find requests that a sound server answered and whose caller got no answer."""
    return [
        _of_call("answer lost", call)
        for call in records.calls
        if call.answer.status is None
        and not call.left
        and _is_gateway_stable(records, call)
        and runs.answered_undisturbed(call)
    ]


def held_too_long(records, runs):
    """Find requests without a final answer 0.5 s after their route's time-out."""
    limit_s = ROUTE_TIMEOUT_S + FINAL_ANSWER_S + MEASUREMENT_SLACK_S
    return [
        _of_call("held too long", call)
        for call in records.calls
        if not call.left
        and records.pauses.running_s(call.started_s, call.ended_s) > limit_s
        and _is_in_touch(records, call.gateway, call.started_s, call.ended_s)
    ]


def denied(records, runs):
    """Find denied requests that every configuration version allows."""
    return [
        _of_call("denied", call)
        for call in records.calls
        if call.answer.status in DENIED_STATUSES
    ]


def not_asked_for(records, runs):
    """Find runs of requests that no caller sent, or of another client account."""
    sent = {call.request_id for call in records.calls}
    broken = []
    for instance_id, of_server in records.runs.items():
        for run in of_server:
            is_known = run["request_id"] in sent
            is_probe = run["request_id"].startswith("probe-")
            if not (is_known or is_probe) or run["account"] != ACCOUNT:
                text = f"not asked for at {instance_id}: {run}"
                broken.append(Finding(text, run["arrived_s"], run["arrived_s"]))
    return broken


def leaving_server_used(records, runs):
    """Find requests that reached a server too late after it reported its departure."""
    gateways = {call.request_id: call.gateway for call in records.calls}
    broken = []
    for leaving in records.leavings:
        limit_s = leaving.confirmed_s + LEAVING_S + MEASUREMENT_SLACK_S
        server = ("server", records.server_of[leaving.instance_id])
        for run in records.runs.get(leaving.instance_id, ()):
            gateway = gateways.get(run["request_id"])
            if gateway is None or run["arrived_s"] <= limit_s:
                continue
            since_s = leaving.confirmed_s
            if _is_in_touch_with_store(records, gateway, since_s, run["arrived_s"]):
                # The departure itself is recorded as a disturbance of the server, so a
                # stable server can't be required here.  Disturbances of its link show
                # in the arrival time of the request.
                late_s = run["arrived_s"] - leaving.confirmed_s
                text = f"{server[1]} used {late_s:.2f} s after: {run}"
                broken.append(Finding(text, since_s, run["arrived_s"]))
    return broken


def configuration_late(records, runs):
    """Find probes that show an old version although a newer one must be in force."""
    broken = []
    for probe in records.probes:
        newest = _newest_due(records, probe.sent_s)
        if newest is None or not _is_probe_in_touch(records, probe, newest):
            continue
        is_newest = probe.version == newest.version
        is_last = _newest_due(records, probe.ended_s + IN_FORCE_S) is newest
        if is_newest and is_last and probe.status == 401:
            broken.append(_of_probe("a new key is denied", probe, newest.confirmed_s))
        if probe.version < newest.version and probe.status == 200:
            text = "an old key is accepted"
            broken.append(_of_probe(text, probe, newest.confirmed_s))
    return broken


def configuration_regressed(records, runs):
    """Find probes that show an older version than before from the same process."""
    broken = []
    seen = {}
    for probe in sorted(records.probes, key=lambda one: one.sent_s):
        if probe.status != 200:
            continue
        start = (probe.gateway, probe.boot)
        version, since_s = seen.get(start, (0, 0.0))
        if probe.version < version and probe.sent_s > since_s + REGRESS_S:
            text = f"went back from version {version}"
            broken.append(_of_probe(text, probe, since_s))
        if probe.version > version:
            seen[start] = (probe.version, probe.ended_s)
    return broken


def worked_on_for_nobody(records, runs):
    """Find repeatable requests that still run after their caller disconnected."""
    broken = []
    for call in records.calls:
        if not call.left or call.kind == "unsafe":
            continue
        if not _is_in_touch(records, call.gateway, call.started_s, call.ended_s):
            continue
        limit_s = call.ended_s + ABANDONED_WORK_S + MEASUREMENT_SLACK_S
        for instance_id, run in runs.of(call):
            server = ("server", records.server_of[instance_id])
            is_stable = records.disruptions.is_stable(server, call.started_s, limit_s)
            if is_stable and (run["ended_s"] is None or run["ended_s"] > limit_s):
                broken.append(_of_call(f"worked on for nobody at {instance_id}", call))
    return broken


def arrived_after_the_end(records, runs):
    """Find requests that reached a server too late after their final answer."""
    broken = []
    for call in records.calls:
        limit_s = call.ended_s + ARRIVED_LATE_S + MEASUREMENT_SLACK_S
        for instance_id, run in runs.arrived(call):
            if run["arrived_s"] <= limit_s:
                continue
            # A frozen process may have received the request in time and read it late.
            process = ("process", records.server_of[instance_id])
            span_s = call.started_s, run["arrived_s"]
            is_read = records.disruptions.is_stable(process, *span_s)
            if is_read and _is_in_touch(records, call.gateway, *span_s):
                late_s = run["arrived_s"] - call.ended_s
                text = f"{instance_id} got {call} {late_s:.2f} s after its end"
                broken.append(Finding(text, *span_s))
    return broken


def limit_exceeded(records, runs):
    """Find servers that got more requests than their stated limit allows.

    From 3 s after a server first stated its limit, a request counts if its gateway had
    passed on an answer with the limit at least 0.5 s before it sent the request.
    """
    calls = {call.request_id: call for call in records.calls}
    broken = []
    for limit in records.limits:
        of_server = records.runs.get(limit.instance_id, ())
        named_s = [run["limit_named_s"] for run in of_server if run["limit_named_s"]]
        if not named_s:
            continue
        from_s = min(named_s) + LIMIT_SETTLED_S
        informed_s = _informed_of_limit(records, limit, calls)
        arrived_s = sorted(
            run["arrived_s"]
            for run in of_server
            if from_s <= run["arrived_s"] <= limit.ended_s
            and _is_bound_by_limit(
                records, calls.get(run["request_id"]), run, limit, informed_s
            )
        )
        allowed = LIMIT_RATIO * limit.rate_per_s * LIMIT_WINDOW_S + LIMIT_COUNT
        for first_s in arrived_s:
            count = sum(
                first_s <= at_s < first_s + LIMIT_WINDOW_S for at_s in arrived_s
            )
            if count > allowed:
                text = (
                    f"{limit.instance_id} got {count} requests in {LIMIT_WINDOW_S} s "
                    f"from {first_s:.2f}, named {limit.rate_per_s} a second"
                )
                broken.append(Finding(text, first_s, first_s + LIMIT_WINDOW_S))
                break
    return broken


def _informed_of_limit(records, limit, calls):
    """Return when each gateway first passed on an answer that states a limit.

    An answer has been passed on when its caller has received it.  It also counts as
    passed on when the server has sent it over an undisturbed link, unless the caller
    disconnected on purpose.
    """
    server = ("server", records.server_of[limit.instance_id])
    informed_s = {}
    for run in records.runs[limit.instance_id]:
        call = calls.get(run["request_id"])
        named_s = run["limit_named_s"]
        if call is None or named_s is None:
            continue
        got_s = call.ended_s if call.is_served and run["answered"] else math.inf
        passes_s = (named_s - LIMIT_PROPAGATION_S, named_s + LIMIT_PROPAGATION_S)
        if not call.left and records.disruptions.is_undisturbed(server, *passes_s):
            got_s = min(got_s, named_s)
        informed_s[call.gateway] = min(got_s, informed_s.get(call.gateway, math.inf))
    return informed_s


def _is_bound_by_limit(records, call, run, limit, informed_s):
    """Return whether the gateway of a request must know a limit and keep it."""
    if call is None or call.gateway not in informed_s:
        return False
    sent_s = _earliest_sent_s(records, call, run, limit.instance_id)
    known_s = informed_s[call.gateway]
    if sent_s < known_s + LIMIT_PROPAGATION_S:
        return False
    return _is_in_touch(records, call.gateway, known_s, run["arrived_s"])


def _earliest_sent_s(records, call, run, instance_id):
    """Return the earliest time at which a request may have been sent to a server.

    A request that a disturbed link has delayed may have been sent at any time since the
    start of its call.
    """
    if call is None:
        return run["arrived_s"]
    server = ("server", records.server_of[instance_id])
    span_s = call.started_s, run["arrived_s"]
    is_undisturbed = records.disruptions.is_undisturbed(server, *span_s)
    return run["arrived_s"] if is_undisturbed else call.started_s


def evacuated_domain_used(records, runs):
    """Find requests that reached a domain too late after its evacuation."""
    calls = {call.request_id: call for call in records.calls}
    broken = []
    for evacuation in records.evacuations:
        late = [
            (run["arrived_s"], instance_id, calls[run["request_id"]])
            for instance_id, of_server in records.runs.items()
            if records.domain_of[records.server_of[instance_id]] == evacuation.domain
            for run in of_server
            if run["request_id"] in calls
            and _violates_evacuation(
                records, evacuation, calls[run["request_id"]], run, instance_id
            )
        ]
        if late:
            arrived_s, instance_id, call = max(late, key=lambda one: one[0])
            text = (
                f"{len(late)} requests in evacuated domain {evacuation.domain}, the "
                f"last {arrived_s - evacuation.confirmed_s:.2f} s after the store's "
                f"confirmation at {instance_id}: {call}"
            )
            broken.append(Finding(text, evacuation.confirmed_s, arrived_s))
    return broken


def _violates_evacuation(records, evacuation, call, run, instance_id):
    """Return whether a gateway that must know of an evacuation sent a request.

    It must know if it has been in touch with the store for the time within which it has
    to apply an evacuation.
    """
    arrived_s = run["arrived_s"]
    limit_s = evacuation.confirmed_s + EVACUATED_S + MEASUREMENT_SLACK_S
    sent_s = _earliest_sent_s(records, call, run, instance_id)
    if run["is_misdirected"] or sent_s <= limit_s or arrived_s >= evacuation.ended_s:
        return False
    # `is_stable` itself also checks the stable window before the span.
    since_s = arrived_s - EVACUATED_S - MEASUREMENT_SLACK_S + STABLE_WINDOW_S
    return _is_in_touch_with_store(records, call.gateway, since_s, arrived_s)


def cold_exceeded(records, runs):
    """Find cold servers that got more requests in a second than the bound allows."""
    calls = {call.request_id: call for call in records.calls}
    allowed = COLD_PER_S * COLD_OVER + COLD_SLACK
    broken = []
    for span in records.cold_spans:
        spans_s = []
        for run in records.runs.get(span.instance_id, ()):
            call = calls.get(run["request_id"])
            if not run["is_misdirected"] and _is_known_cold(records, span, call, run):
                sent_s = _earliest_sent_s(records, call, run, span.instance_id)
                spans_s.append((sent_s, run["arrived_s"]))
        counts = [
            (_count_within(spans_s, first_s, first_s + COLD_WINDOW_S), first_s)
            for first_s, _ in spans_s
        ]
        count, first_s = max(counts, default=(0, 0.0))
        if count > allowed:
            text = (
                f"cold {span.instance_id} got {count} requests in {COLD_WINDOW_S} s, "
                f"{first_s - span.from_s:.2f} s after it "
                f"{'started' if span.is_start else 'said so'}"
            )
            broken.append(Finding(text, first_s, first_s + COLD_WINDOW_S))
    return broken


def _is_known_cold(records, span, call, run):
    """Return whether a request counts against the bound of a cold server.

    At a server that has just started all requests count, since no gateway used it
    before.  A server that becomes cold later is known to be cold after
    `COLD_KNOWN_S`, by gateways in touch with the store.
    """
    if not span.from_s <= run["arrived_s"] <= span.until_s:
        return False
    if span.is_start:
        return True
    if call is None or run["arrived_s"] < span.from_s + COLD_KNOWN_S:
        return False
    touch_s = span.from_s, run["arrived_s"]
    return _is_in_touch_with_store(records, call.gateway, *touch_s)


def _count_within(spans_s, from_s, until_s):
    return sum(from_s <= sent_s and at_s < until_s for sent_s, at_s in spans_s)


def backoff_ignored(records, runs):
    """Find servers that got requests of a gateway within a requested back-off."""
    gateways = {call.request_id: call.gateway for call in records.calls}
    broken = []
    for instance_id, of_server in records.runs.items():
        server = ("server", records.server_of[instance_id])
        for refusal in of_server:
            gateway = gateways.get(refusal["request_id"])
            if gateway is None or not refusal["backoff_asked_s"]:
                continue
            from_s = refusal["refused_s"] + BACKOFF_SLACK_S
            until_s = refusal["refused_s"] + refusal["backoff_asked_s"]
            count = sum(
                from_s < run["arrived_s"] < until_s
                and not run["is_misdirected"]
                and gateways.get(run["request_id"]) == gateway
                for run in of_server
            )
            is_link_stable = records.disruptions.is_stable(server, from_s, until_s)
            in_touch = _is_in_touch(records, gateway, refusal["refused_s"], until_s)
            if count > BACKOFF_COUNT and is_link_stable and in_touch:
                text = (
                    f"{instance_id} got {count} requests of {gateway} in a back-off of "
                    f"{refusal['backoff_asked_s']} s from {refusal['refused_s']:.2f}"
                )
                broken.append(Finding(text, refusal["refused_s"], until_s))
    return broken


def used_after_it_said_so(records, runs):
    """Find requests at a server after their gateway passed on its departure."""
    calls = {call.request_id: call for call in records.calls}
    broken = []
    for instance_id, of_server in records.runs.items():
        informed_s = {}
        for run in of_server:
            call = calls.get(run["request_id"])
            if call is not None and run["said_leaving"] and call.is_served:
                before_s = informed_s.get(call.gateway, call.ended_s)
                informed_s[call.gateway] = min(before_s, call.ended_s)
        for run in of_server:
            call = calls.get(run["request_id"])
            if call is None or run["is_misdirected"] or call.gateway not in informed_s:
                continue
            since_s = informed_s[call.gateway]
            process = ("process", call.gateway)
            is_same = records.disruptions.is_undisturbed(
                process, since_s, run["arrived_s"]
            )
            if is_same and call.started_s > since_s + LEAVING_S:
                late_s = call.started_s - since_s
                text = f"{instance_id} used {late_s:.2f} s after its word: {call}"
                broken.append(Finding(text, since_s, run["arrived_s"]))
    return broken


def not_kept_off(records, runs):
    """Find requests that crashed three servers and are still sent to others.

    Only attempts at gateways count that had a stable window to learn of the crashes.
    For requests that only share a part of their prompts, more than three attempts after
    five crashes are a violation.
    """
    attempts = {call.request_id: call for call in records.calls if call.crashing_body}
    arrivals = collections.defaultdict(list)
    for end in records.server_crashes:
        call = attempts[end.request_id]
        arrivals[call.kind, call.crashing_body].append((end.arrived_s, call, True))
    for of_server in records.runs.values():
        for run in of_server:
            call = attempts.get(run["request_id"])
            if call is not None:
                key = call.kind, call.crashing_body
                arrivals[key].append((run["arrived_s"], call, False))
    broken = []
    for (kind, body), of_request in arrivals.items():
        ends_s = sorted(at_s for at_s, _, has_ended in of_request if has_ended)
        ends_limit, late_limit = CRASHED_SERVERS_LIMIT, 0
        if of_request[0][1].has_crashing_part:
            ends_limit, late_limit = CRASHES_UNDER_PART_LIMIT, LATE_WITH_PART_LIMIT
        if len(ends_s) < ends_limit:
            continue
        shown_s = ends_s[ends_limit - 1]
        later = [
            call
            for at_s, call, _ in of_request
            if call.started_s > shown_s + STABLE_WINDOW_S
            and _is_in_touch_with_store(records, call.gateway, call.started_s, at_s)
        ]
        if len(later) > late_limit:
            text = f"{len(later)} tries after {ends_limit} ends: {kind} {body}, "
            broken.append(Finding(text + str(later[0]), shown_s, later[-1].ended_s))
    return broken


def refused_for_another(records, runs):
    """Find harmless requests that are refused as if they crashed servers."""
    return [
        _of_call("refused as if it ended servers", call)
        for call in records.calls
        if not call.crashing_body and b"ends_targets" in call.answer.body
    ]


def not_recovered(records, recovered_s):
    """Find whether too few requests are served after recovery.

    While a server is cold, refusals are not counted; once no server is cold, 90% of all
    requests must be served.

    Parameters
    ----------
    records : Records
        Records of the run.
    recovered_s : float
        Time from which on requests count, monotonic seconds.
    """
    calls = [
        call
        for call in records.calls
        if call.started_s >= recovered_s and not call.left and not call.crashing_body
    ]
    calls = [call for call in calls if not _ended_by_pause(records, call)]
    warm_s = max(recovered_s, records.judged_from_s)
    warm = [call for call in calls if call.started_s >= warm_s]
    allowed = [call for call in calls if not _is_refused_while_cold(records, call)]
    # Without cold servers both lists are the same.
    return _too_few_served(warm, warm_s) or _too_few_served(allowed, recovered_s)


def _too_few_served(calls, from_s):
    served = sum(call.is_served for call in calls)
    if calls and served >= LEAST_SERVED_SHARE * len(calls):
        return []
    first = next((str(call) for call in calls if not call.is_served), "none was sent")
    text = f"served {served} of {len(calls)} at the end; {first}"
    return [Finding(text, from_s, math.inf)]


def _is_refused_while_cold(records, call):
    """Return whether a request was refused while a server was cold."""
    is_cold = any(
        span.from_s <= call.started_s < span.until_s for span in records.cold_spans
    )
    return is_cold and call.answer.whole and call.answer.status == 503


CHECKS = (
    ran_twice,
    refused_but_ran,
    wrong_answer,
    answer_lost,
    held_too_long,
    denied,
    not_asked_for,
    leaving_server_used,
    configuration_late,
    configuration_regressed,
    worked_on_for_nobody,
    arrived_after_the_end,
    limit_exceeded,
    evacuated_domain_used,
    cold_exceeded,
    backoff_ignored,
    used_after_it_said_so,
    not_kept_off,
    refused_for_another,
)


def broken_promises(records, recovered_s):
    """Return a `Finding` for each violation of a promise in a run."""
    runs = Runs(records)
    broken = [Finding(text, -math.inf, math.inf) for text in records.troubles]
    for check in CHECKS:
        broken += check(records, runs)
    return broken + not_recovered(records, recovered_s)


def _ended_by_pause(records, call):
    """Return whether a request timed out because the machine was paused.

    Running time after the route's time-out can't serve the request any more and is not
    counted.  A refusal is a decision of the gateway, which no pause excuses.
    """
    is_out_of_time = not call.answer.whole or call.answer.status == 504
    until_s = min(call.ended_s, call.started_s + ROUTE_TIMEOUT_S)
    running_s = records.pauses.running_s(call.started_s, until_s)
    is_paused = running_s < until_s - call.started_s
    return is_out_of_time and is_paused and running_s < LEAST_SERVING_TIME_S


def _of_call(text, call):
    return Finding(f"{text}: {call}", call.started_s, call.ended_s)


def _of_probe(text, probe, since_s):
    return Finding(f"{text}: {probe}", since_s, probe.ended_s)


def _is_gateway_stable(records, call):
    """Return whether a gateway was undisturbed in a call and the window before it.

    A planned stop is not a disturbance here: it must not abort requests in progress.
    """
    subject = ("gateway", call.gateway)
    return records.disruptions.is_stable(subject, call.started_s, call.ended_s)


def _is_in_touch(records, gateway, from_s, until_s):
    """Return whether a gateway was neither disturbed nor stopped in a span."""
    return all(
        records.disruptions.is_stable((kind, gateway), from_s, until_s)
        for kind in ("gateway", "stop")
    )


def _is_in_touch_with_store(records, gateway, since_s, until_s):
    is_store_stable = records.disruptions.is_stable(STORE, since_s, until_s)
    return is_store_stable and _is_in_touch(records, gateway, since_s, until_s)


def _newest_due(records, at_s):
    """Return the newest publication that must be in force at a time, or None."""
    due = [one for one in records.publications if one.confirmed_s + IN_FORCE_S < at_s]
    return due[-1] if due else None


def _is_probe_in_touch(records, probe, publication):
    since_s = publication.confirmed_s
    is_store_stable = records.disruptions.is_stable(STORE, since_s, probe.ended_s)
    in_touch = _is_in_touch(records, probe.gateway, since_s, probe.ended_s)
    return is_store_stable and in_touch
