"""Decoding of the platform's settings, records, documents and headers."""

import json
import math

import curio
import pytest
from hypothesis import given, strategies as st

from siskinthread.errors import DocumentError, SettingsError
from siskinthread.gateway import RequestKind, TargetEntry
from siskinthread.group_maps import GroupMap, Hold, OrderResult, Prepare, RankPlace
from siskinthread.http_server import RequestHead
from siskinthread.observability import Metrics
from siskinthread.outcomes import Head
from siskinthread.platform._host_settings import read_host_settings
from siskinthread.platform._published import read_route_table
from siskinthread.platform._rank_client import _encode_order, RankClient
from siskinthread.platform._rank_places import fetch_rank_places, rank_places_page
from siskinthread.platform._server_entry import read_target_entry
from siskinthread.platform._sources import ListedTargets
from siskinthread.platform._store_records import (
    decode_record,
    KeyedRecord,
    split_records,
)
from siskinthread.platform._wire import EXPECTED_INSTANCE, PlatformWire
from siskinthread.platform.tests.system import published, route
from siskinthread.settings import Address
from siskinthread.shared_services._http import Answer
from siskinthread.timing import SYSTEM_CLOCK
from standins._http_server import HttpServer

SETTINGS_TEXT = """
node = "front-a-1"
zone = "a"
ip = "10.1.0.40"
internal_ports = [7340, 7355]
unknown = "ignored"
[listen]
front = "10.1.0.40:8227"
ready = "10.1.0.40:8220"
[bounds]
grace_s = 8
[platform]
address = "10.200.1.7:8223"
parts = 8
"""
ENTRY = {
    "service": "app",
    "address": "10.128.0.9:8080",
    "zone": "a",
    "version": "v1",
    "slots": 6,
    "state": "ready",
    "cold_remaining_ms": 0,
    "sequence": 1,
}
JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=10,
)


def test_settings_are_read():
    """Each field gets its name in the product."""
    settings = read_host_settings(SETTINGS_TEXT, "settings.toml")
    assert settings.host == "front-a-1"
    assert settings.failure_domain == "a"
    assert str(settings.callers_listen) == "10.1.0.40:8227"
    assert settings.stop_limit_s == 8


def test_memory_of_the_host_limits_buffers():
    """Guards against buffers that exceed the host's memory.

    Without the limits a host of 152 MB held up to 67 MB of bodies, each of them twice
    while it was sent.
    """
    assert read_host_settings(SETTINGS_TEXT, "settings.toml").memory_limits == {}
    text = SETTINGS_TEXT + "[limits]\nmemory_mb = 152\n"
    assert read_host_settings(text, "settings.toml").memory_limits == {
        "bodies_limit_bytes": 19_000_000,
        "answers_limit_bytes": 9_500_000,
        "slow_readers_limit_bytes": 38_000_000,
        "connections_limit_bytes": 25_333_333,
    }


def test_descriptors_of_the_process_limit_connections():
    """Guards against connections of callers that leave none for targets."""
    assert read_host_settings(SETTINGS_TEXT, "settings.toml").descriptor_limits == {}
    text = SETTINGS_TEXT + "[limits]\nmax_fds = 2870\n"
    limits = read_host_settings(text, "settings.toml").descriptor_limits
    assert limits == {"connections_limit": 2002}


@pytest.mark.parametrize(
    ("old", "new", "message"),
    [
        ("[7340, 7355]", "[]", "internal_ports begins with no port"),
        ("[7340, 7355]", '["7340"]', "internal_ports begins with no port"),
        ("[7340, 7355]", "[0, 5]", "internal_ports begins with no port"),
        ("[7340, 7355]", "[true]", "internal_ports begins with no port"),
        ("[7340, 7355]", "[7340]\nseeds = [5]", "seeds is no list of strings"),
        ('zone = "a"', "", "zone is missing"),
        ('zone = "a"', "zone = 5", "zone has the value 5"),
        ('"10.200.1.7:8223"', '"10.200.1.7"', "platform.address is no address"),
        ("parts = 8", "parts = true", "platform.parts has the value True"),
        ("[listen]", "[listen", "settings.toml"),
    ],
)
def test_unusable_settings_are_explained(old, new, message):
    """The message names the file and the field."""
    with pytest.raises(SettingsError, match=message.replace(".", r"\.")):
        read_host_settings(SETTINGS_TEXT.replace(old, new), "settings.toml")


@pytest.mark.parametrize(
    ("fields", "kind"),
    [
        ({"kind": "safe"}, RequestKind.IDEMPOTENT),
        ({"kind": "unsafe"}, RequestKind.ONCE),
        ({"kind": "of the future"}, RequestKind.ONCE),
        ({"kind": "streaming"}, RequestKind.STREAM_ONCE),
        ({"kind": "streaming", "resumable": True}, RequestKind.STREAM_RESUMABLE),
        ({"kind": "streaming", "resumable": "false"}, RequestKind.STREAM_ONCE),
        ({"kind": "streaming", "resumable": [0]}, RequestKind.STREAM_ONCE),
        ({"kind": "streaming", "resumable": 1}, RequestKind.STREAM_ONCE),
        ({"kind": "streaming", "resumable": None}, RequestKind.STREAM_ONCE),
    ],
)
def test_what_may_be_repeated_follows_from_the_kind(fields, kind):
    """A request of an unknown kind may not be repeated."""
    values = route("/x/", fields.pop("kind"), **fields)
    table = read_route_table("config", published(routes=[values]))
    assert table.find_route(values["host"], "/x/y").kind is kind


@pytest.mark.parametrize("value", ["false", "true", "", 0, 1, [0], {"a": 1}, None])
def test_malformed_flag_makes_no_route_public(value):
    """Guards against requests without a key on a route that is not public."""
    values = route("/x/", "safe", public=value)
    table = read_route_table("config", published(routes=[values]))
    assert not table.find_route(values["host"], "/x/y").is_public


def test_keys_of_an_account_are_accepted_beside_a_malformed_account():
    """Guards against a key that is refused because another account is malformed."""
    tenants = [
        {"name": "broken"},
        {"name": "b", "api_keys": [5, "good", None], "priority": "high"},
        "abc",
    ]
    table = read_route_table("config", published(tenants=tenants))
    assert list(table.accounts_by_key) == ["good"]
    account = table.accounts_by_key["good"]
    assert (account.name, account.priority) == ("b", None)


@given(JSON_VALUES)
def test_only_a_configuration_without_accounts_needs_no_keys(tenants):
    """Guards against any value of the field that accepts requests without a key."""
    table = read_route_table("config", published(tenants=tenants))
    assert all(isinstance(one, str) and one for one in table.accounts_by_key)
    document = published()
    del document["tenants"]
    assert read_route_table("config", document).accounts_by_key is None


@given(JSON_VALUES)
def test_any_document_is_a_table_or_an_error(document):
    """No document of an operator ends the process."""
    try:
        read_route_table("config", document)
        read_target_entry("i-1", document)
    except DocumentError:
        return


@given(st.sampled_from(sorted(published())), JSON_VALUES)
def test_any_change_of_a_document_is_a_table_or_an_error(field, value):
    """A document with one malformed field is decoded or raises `DocumentError`."""
    try:
        read_route_table("config", published() | {field: value})
    except DocumentError:
        return


@given(st.binary(max_size=200))
def test_any_bytes_are_records_or_an_error(data):
    """A truncated answer of the store raises; any record is readable or None."""
    try:
        contents = split_records(data)
    except ValueError:
        return
    for content in contents:
        assert content
        decode_record(content)


@given(st.lists(st.tuples(st.text(max_size=20), st.binary(max_size=40)), max_size=5))
def test_records_are_read_as_they_were_written(records):
    """Keys and values round-trip; an empty value drops its key."""
    data = bytes(16)
    for key, value in records:
        content = bytes([len(key.encode())]) + key.encode() + value
        data += len(content).to_bytes(4, "big") + content
    read = [decode_record(content) for content in split_records(data)]
    read = [(one.key, one.value) for one in read]
    assert read == [(key, value or None) for key, value in records]


@given(st.text(st.characters(max_codepoint=255), max_size=30))
def test_any_header_value_is_read(value):
    """Numbers from callers and servers may have any value."""
    wire = PlatformWire()
    names = ["x-deadline-ms", "last-event-id", "x-token-counts", "authorization"]
    head = RequestHead("GET", "/", [(name, value) for name in names])
    facts = wire.read_request(head)
    assert facts.wait_limit_s is None or facts.wait_limit_s >= 0
    names = ["x-server-load", "keep-alive", "connection"]
    wire.read_answer(Head(200, [(name, value) for name in names]))


@pytest.mark.parametrize(
    ("text", "sizes"),
    [("1460,80", (1460, 80)), ("1460", None), ("many,80", None), (None, None)],
)
def test_size_of_a_request(text, sizes):
    """An unreadable size counts as no size, and the request is served."""
    headers = [] if text is None else [("x-token-counts", text)]
    counts = PlatformWire().read_request(RequestHead("GET", "/", headers)).token_counts
    assert (None if counts is None else (counts.prompt, counts.most_output)) == sizes


MANY_DIGITS = "9" * 5000


@pytest.mark.parametrize(
    "name", ["X-Deadline-Ms", "Last-Event-Id", "X-Length-Hint", "X-Token-Counts"]
)
def test_number_of_many_digits_in_a_request_is_ignored(name):
    """Guards against a header that ends its connection with an error."""
    head = RequestHead("GET", "/", [(name.lower(), f"{MANY_DIGITS},{MANY_DIGITS}")])
    several = PlatformWire().read_request(head)
    head = RequestHead("GET", "/", [(name.lower(), MANY_DIGITS)])
    facts = PlatformWire().read_request(head)
    assert facts.wait_limit_s is facts.last_event_id is facts.token_counts is None
    assert several.token_counts is None


@pytest.mark.parametrize(
    ("name", "value"),
    [
        ("x-server-load", f"{MANY_DIGITS},0,6"),
        ("keep-alive", f"timeout={MANY_DIGITS}"),
    ],
)
def test_number_of_many_digits_in_an_answer_is_ignored(name, value):
    """Guards against a header of a server that ends the caller's connection."""
    facts = PlatformWire().read_answer(Head(200, [(name, value)]))
    assert facts.load is facts.keep_alive_s is None


@pytest.mark.parametrize(
    ("text", "parts"),
    [
        ("5c1e07a2:800,91BD3f06:410,e4402b7d:250", ("5c1e07a2", "91bd3f06")),
        ("5c1e07a2:800", ()),
        ("a:1,,:3,a:4, b ,c:1", ("a", "b")),
        (",".join(f"{number:x}:1" for number in range(600)), None),
        ("", ()),
        (None, ()),
    ],
)
def test_shared_parts_of_a_prompt(text, parts):
    """The last part is the request's own; an empty id names no part."""
    headers = [] if text is None else [("x-prompt-prefix", text)]
    read = PlatformWire().read_request(RequestHead("GET", "/", headers)).shared_parts
    assert len(read) == 512 if parts is None else read == parts


def test_objectives_of_a_route():
    """Each route has an objective; streams have a permitted pause as well."""
    table = read_route_table("config", published())
    stream = table.find_route("ficu95.example", "/stream/")
    safe = table.find_route("ficu95.example", "/safe/")
    assert (stream.objective_s, stream.pause_limit_s) == (0.4, 0.12)
    assert (safe.objective_s, safe.pause_limit_s) == (0.4, None)


def test_entry_of_a_server():
    """A draining server is a leaving target."""
    entry = read_target_entry("i-7", ENTRY | {"state": "draining"})
    assert (entry.instance_id, entry.host, entry.port) == ("i-7", "10.128.0.9", 8080)
    assert entry.is_leaving


def test_start_of_a_server_is_part_of_its_instance():
    """State of one start of a server does not apply to the next start."""
    first = read_target_entry("i-7", ENTRY | {"born": 1_771_618_566_009})
    second = read_target_entry("i-7", ENTRY | {"born": 1_771_618_599_000})
    assert first.listed_id == second.listed_id == "i-7"
    assert first.instance_id != second.instance_id


@pytest.mark.parametrize("field", sorted(ENTRY))
def test_entry_without_a_field_names_no_target(field):
    """Guards against requests to a server that does not exist.

    Another writer than a server leaves an incomplete entry; missing fields must not get
    usual values.
    """
    document = {name: value for name, value in ENTRY.items() if name != field}
    with pytest.raises(DocumentError, match=field):
        read_target_entry("i-7", document)


@pytest.mark.parametrize(
    ("field", "value"),
    [
        ("slots", True),
        ("slots", 1.5),
        ("slots", "6"),
        ("slots", 0),
        ("slots", -1),
        ("slots", 10**30),
        ("state", "new"),
        ("state", ["ready"]),
        ("zone", 5),
        ("zone", ""),
        ("service", ["app"]),
        ("address", "10.128.0.9"),
        ("address", "10.128.0.9:0"),
        ("address", "10.128.0.9:99999"),
        ("address", "10.128.0.9:٣"),
        ("address", "host.example:8080"),
        ("address", {}),
        ("sequence", False),
        ("born", 1.0),
        ("born", True),
        ("born", "1771618566009"),
        ("born", -1),
    ],
)
def test_entry_with_a_field_of_another_form_names_no_target(field, value):
    """Guards against malformed entries; ``true`` must not count as one slot."""
    with pytest.raises(DocumentError, match=field):
        read_target_entry("i-7", ENTRY | {field: value})


@given(st.sampled_from(sorted(ENTRY)), JSON_VALUES)
def test_any_entry_names_a_target_or_none(field, value):
    """Any value of a field gives a valid target or an error."""
    try:
        entry = read_target_entry("i-7", ENTRY | {field: value})
    except DocumentError:
        return
    assert entry.slot_count >= 1 and entry.service_name and entry.failure_domain


def test_unreadable_entry_leaves_the_others():
    """Guards against one unreadable record that hides all targets or fills the log.

    Another writer leaves bytes and deeply nested JSON among the entries of servers, and
    overwrites one of them.  The read must not fail, and the overwritten target must go.
    """
    source = ListedTargets(None)
    good = json.dumps(ENTRY).encode()
    source.apply([KeyedRecord("i-1", good), KeyedRecord("i-2", good)])
    nested = b"[" * 100_000
    records = [KeyedRecord("i-2", nested), KeyedRecord("x", b"\xff\x00")]
    changes = {one.listed_id: one.entry for one in source.apply(records)}
    assert changes == {"i-2": None, "x": None}
    assert list(source.listed) == ["i-1"]


ENGINE = {
    "stride": 4,
    "step_ms": 4.5,
    "per_seq_ms": 1.8,
    "sets": 3,
    "experts": 96,
    "places": 11,
    "spare": 4,
    "expert_mb": 2200.0,
    "expert_share": 0.85,
    "link_mbps": 44000.0,
    "report_lag_ms": 200.0,
}


def test_strictest_pause_of_its_routes_limits_the_passes_of_a_service():
    """Streams of all routes share the passes of a group."""
    routes = [
        route("/a/", "streaming", target_gap_ms=200),
        route("/b/", "streaming", target_gap_ms=120),
        route("/c/", "safe"),
    ]
    document = published(routes=routes)
    document["services"][0]["engine"] = ENGINE
    name = document["services"][0]["name"]
    layout = read_route_table("config", document).services[name].experts
    assert layout.pass_limit_s == 0.12
    assert layout.copy_s == pytest.approx(0.4)


@pytest.mark.parametrize("usual", [{"prompt": 800, "answer": 92}, {"prompt": 0}, None])
def test_engine_without_readable_memory_bounds_no_request(usual):
    """A figure that one engine does not publish must not block the configuration."""
    document = published()
    document["services"][0]["engine"] = ENGINE | {"kv_capacity": 6000, "usual": usual}
    tokens = read_route_table("config", document).services["app"].tokens
    if usual is None or len(usual) < 2:
        assert tokens is None
    else:
        assert (tokens.capacity, tokens.per_event, tokens.usual_size) == (6000, 4, 892)


class FakeHttp:
    """Records the headers of calls, and answers them with a status."""

    def __init__(self, status, answer_headers):
        self._status = status
        self._answer_headers = answer_headers
        self.headers = []

    async def call(self, method, target, body, headers, wait_s):
        """Answer a call."""
        self.headers.append(headers)
        return Answer(self._status, None, b"", self._answer_headers)


def rank_client(target, status, answer_headers):
    """Return a client with scripted answers, and a list of its reported answers."""
    reported = []
    client = RankClient(
        target,
        None,
        Metrics().counter("calls", "Calls.", ("call",)),
        SYSTEM_CLOCK,
        lambda entry, sent_at_s, facts: reported.append((entry, facts)),
        None,
    )
    client._http = FakeHttp(status, answer_headers)
    return client, reported


def test_calls_to_ranks_name_the_expected_instance():
    """Guards against a rank of another group that accepts an order.

    A rank is gone, and its address is reused; the address alone does not identify it.
    """
    target = TargetEntry("i-7", "app", "127.0.0.1", 1, "a", 6, False)
    client, reported = rank_client(target, 421, [(b"server-leaving", b"1")])
    result = curio.run(client.order, Hold(1, 5), 0.1)
    assert result is OrderResult.REFUSED
    assert (EXPECTED_INSTANCE, "i-7") in client._http.headers[0]
    # Headers of another instance do not apply to this one.
    assert reported == []


def test_answers_to_orders_report_limits_and_leaving():
    """A leaving server that gets no requests can announce it in these answers only."""
    target = TargetEntry("i-7", "app", "127.0.0.1", 1, "a", 6, False)
    headers = [(b"server-leaving", b"1"), (b"server-limit", b"4")]
    client, reported = rank_client(target, 200, headers)
    assert curio.run(client.order, Hold(1, 5), 0.1) is OrderResult.TAKEN
    [(entry, facts)] = reported
    assert entry is target
    assert (facts.is_leaving, facts.stated_limit.rate_per_s) == (True, 4.0)


def test_map_is_encoded_once_for_all_ranks():
    """Guards against an entry that answers nothing for 0.25 s at each map change.

    That happens if the map of 96 ranks is encoded anew for each of them.
    """
    order = Prepare(1, GroupMap(2, [[(0, 1), (2, 3)]], 4))
    bodies = {id(_encode_order(order)) for _ in range(3)}
    assert len(bodies) == 1
    assert json.loads(_encode_order(order))["map"] == [[[0, 1], [2, 3]]]


def test_rank_places_round_trip():
    """Rank places of one entry arrive unchanged at another one."""

    async def main():
        page = rank_places_page({"i-1": RankPlace("g", 3, 8)})

        async def serve(request, exchange):
            await exchange.answer_json(page.status, json.loads(page.body))

        async with HttpServer(serve) as server:
            return await fetch_rank_places(Address(server.host, server.port), 1.0)

    places = curio.run(main)
    place = places["i-1"]
    assert (place.group_name, place.rank, place.size) == ("g", 3, 8)


@pytest.mark.parametrize(
    ("texts", "rate_per_s"),
    [
        ([], None),
        (["0"], 0.0),
        (["1"], 1.0),
        ([" 12.75 "], 12.75),
        (["0.5"], 0.5),
        ([".5"], 0.5),
        (["999999999999"], 999_999_999_999.0),
    ],
)
def test_stated_limit_is_read(texts, rate_per_s):
    """A limit is a decimal number of requests per second of any size."""
    headers = [("server-limit", text) for text in texts]
    stated = PlatformWire().read_answer(Head(503, headers)).stated_limit
    assert (stated.rate_per_s, stated.unreadable) == (rate_per_s, None)


@pytest.mark.parametrize(
    "texts",
    [
        [""],
        ["-1"],
        ["inf"],
        ["nan"],
        ["1e3"],
        ["9" * 400],
        ["4, 5"],
        ["4", "5"],
        ["4", "4"],
        ["1_000"],
        ["four"],
        ["\u0664"],
    ],
)
def test_malformed_limit_is_unreadable(texts):
    """Guards against a malformed header that stops all requests or the process."""
    headers = [("server-limit", text) for text in texts]
    stated = PlatformWire().read_answer(Head(200, headers)).stated_limit
    assert stated.rate_per_s is None
    assert stated.unreadable is not None


@pytest.mark.parametrize(
    ("status", "texts", "wait_s", "is_readable"),
    [
        (503, [], 0.0, True),
        (503, ["0"], 0.0, True),
        (503, ["3"], 3.0, True),
        (503, [" 0.25 "], 0.25, True),
        (429, ["3"], 3.0, True),
        (503, ["99999999999"], 99_999_999_999.0, True),
        (200, ["3"], 0.0, True),
        (500, ["3"], 0.0, True),
        (503, ["-3"], 0.0, False),
        (503, ["soon"], 0.0, False),
        (503, ["inf"], 0.0, False),
        (503, ["9" * 400], 0.0, False),
        (503, ["Thu, 03 Dec 2026 09:00:00 GMT"], 0.0, False),
        (503, ["3", "1"], 3.0, False),
        (503, ["soon", "1"], 1.0, False),
    ],
)
def test_stated_backoff_is_read(status, texts, wait_s, is_readable):
    """Seconds of a refusal; the longest readable value counts."""
    headers = [("retry-after", text) for text in texts]
    stated = PlatformWire().read_answer(Head(status, headers)).stated_backoff
    assert stated.wait_s == wait_s
    assert (stated.unreadable is None) is is_readable


@pytest.mark.parametrize(
    ("texts", "is_leaving"),
    [([], False), (["1"], True), ([" 1 "], True), (["0"], False), (["0", "1"], True)],
)
def test_stated_leaving_is_read(texts, is_leaving):
    """Any answer may state it, whatever its status."""
    headers = [("server-leaving", text) for text in texts]
    for status in (200, 421, 500, 503):
        facts = PlatformWire().read_answer(Head(status, headers))
        assert facts.is_leaving is is_leaving


@pytest.mark.parametrize(
    ("texts", "cold_left_s"),
    [
        ([], None),
        (["0"], 0.0),
        ([" 1500 "], 1.5),
        (["soon"], None),
        (["-1"], None),
        (["9" * 400], None),
        (["200", "3000"], 3.0),
        (["soon", "3000"], 3.0),
    ],
)
def test_stated_cold_time_is_read(texts, cold_left_s):
    """Any answer may state it; a malformed value changes nothing."""
    headers = [("x-cold-ms", text) for text in texts]
    facts = PlatformWire().read_answer(Head(200, headers))
    assert facts.cold_left_s == cold_left_s


@pytest.mark.parametrize(
    ("time_ms", "cold_left_s"), [(0, 0.0), (2500, 2.5), (10**400, 86_400.0)]
)
def test_cold_time_of_an_entry_is_read(time_ms, cold_left_s):
    """The report number distinguishes a new report from one that was read before."""
    fields = {"cold_remaining_ms": time_ms, "sequence": 7}
    entry = read_target_entry("i-1", ENTRY | fields)
    assert (entry.cold_left_s, entry.report_number) == (cold_left_s, 7)


@pytest.mark.parametrize(
    ("fields", "expected"),
    [
        ({}, (0.0, 0.0)),
        ({"cold_start_s": 4, "cold_per_s": 2.5}, (4.0, 2.5)),
        ({"cold_start_s": 0, "cold_per_s": None}, (0.0, 0.0)),
    ],
)
def test_cold_start_of_a_service_is_read(fields, expected):
    """Guards against refusing or limiting a service without these fields."""
    service = {"name": "app"} | fields
    table = read_route_table("config", published(services=[service]))
    read = table.services["app"]
    assert (read.cold_start_s, read.cold_per_s) == expected


@pytest.mark.parametrize(
    "value", [-1, math.inf, math.nan, [1], [], {}, "", "2", False, True]
)
def test_cold_start_that_is_no_number_refuses_the_document(value):
    """A quota of NaN would end the process."""
    service = {"name": "app", "cold_start_s": 4, "cold_per_s": value}
    with pytest.raises(DocumentError):
        read_route_table("config", published(services=[service]))


@pytest.mark.parametrize(
    ("text", "limits"),
    [
        ("", {}),
        ("cold_over = 1.5", {}),
        ("cold_slack = 5", {}),
        (
            "cold_over = 1.5\ncold_slack = 5",
            {"excess_ratio": 1.5, "excess_count": 5},
        ),
    ],
)
def test_bounds_of_cold_targets_are_read(text, limits):
    """The rule needs both values."""
    settings_text = SETTINGS_TEXT.replace("grace_s = 8", f"grace_s = 8\n{text}")
    assert read_host_settings(settings_text, "settings.toml").cold_limits == limits
