"""Route look-up compared with a linear search, and order of table versions."""

from hypothesis import given, strategies as st

from siskinthread.gateway import RequestKind, Route, RouteTable, ServiceShare
from siskinthread.gateway._table import TableView

HOSTS = ["a.example", "b.example"]
SEGMENTS = st.sampled_from(["a", "b", "ab", "a%2Fb", ""])
PREFIXES = st.lists(SEGMENTS.filter(bool), max_size=3).map(
    lambda parts: "/" + "".join(f"{part}/" for part in parts)
)
PATHS = st.lists(SEGMENTS, max_size=5).map(lambda parts: "/" + "/".join(parts))


def build_route(host, prefix, shares=(("app", 1.0),)):
    """Return a route."""
    return Route(
        name=f"{host}{prefix}",
        host=host,
        path_prefix=prefix,
        kind=RequestKind.IDEMPOTENT,
        shares=[ServiceShare(*share) for share in shares],
        attempt_limit=2,
        wait_limit_s=1.0,
        priority=1,
        is_public=False,
    )


def build_table(version, routes=()):
    """Return a table without services."""
    return RouteTable(version, routes, [], None, None)


def naive_route(routes, host, path):
    """Return the route with the longest prefix by a linear search."""
    fitting = [
        route
        for route in routes
        if route.host == host and path.startswith(route.path_prefix)
    ]
    return max(fitting, key=lambda route: len(route.path_prefix), default=None)


@given(
    st.dictionaries(st.tuples(st.sampled_from(HOSTS), PREFIXES), st.none(), max_size=8),
    st.sampled_from([*HOSTS, "c.example"]),
    PATHS,
)
def test_longest_prefix_wins(names, host, path):
    """The table finds the same route as a linear search."""
    routes = [build_route(*name) for name in names]
    found = build_table(1, routes).find_route(host, path)
    assert found is naive_route(routes, host, path)


def test_host_is_compared_without_port_and_case():
    """``Host`` may include a port, and is case-insensitive."""
    route = build_route("a.example", "/")
    assert build_table(1, [route]).find_route("A.example:8080", "/x") is route


@given(st.floats(0, 1, exclude_max=True))
def test_shares_of_a_route_follow_their_weights(draw):
    """A service with nine tenths of the weight gets nine tenths of the requests."""
    route = build_route("a.example", "/", [("big", 90.0), ("small", 10.0)])
    assert route.choose_service(draw) == ("big" if draw < 0.9 else "small")


@given(st.lists(st.integers(1, 20), max_size=12))
def test_view_never_returns_to_an_older_version(versions):
    """Guards against reinstating a removed route.

    Tables of several readers may arrive out of order.
    """
    view = TableView()
    shown = []
    for version in versions:
        view.advance(build_table(version))
        shown.append(view.table.version)
    assert shown == sorted(shown)
    assert not versions or shown[-1] == max(versions)
