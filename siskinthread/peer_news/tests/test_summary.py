"""Sums over the news of all peers, against sums that are made anew each time."""

import random

from hypothesis import given, settings as hypothesis_settings, strategies as st

from siskinthread.peer_news import HostState, News, PeerNews, PeerNewsSettings
from siskinthread.settings import Address
from siskinthread.timing import ManualClock

SETTINGS = PeerNewsSettings()
TARGETS = ("i-1", "i-2", "i-3")
PEERS = [Address(f"10.0.0.{number}", 1) for number in range(1, 6)]


def naive_counts(news, instance_id):
    """Return the requests of peers at a target, summed over all of them."""
    return sum(
        peer.news.state.counts.get(instance_id, 0)
        for peer in news._peers.values()
        if peer.news is not None and not peer.loads_fresh.passed()
    )


@given(st.integers(0, 10_000))
@hypothesis_settings(max_examples=60, deadline=None)
def test_sums_are_those_of_the_news_that_count(seed):
    """Whatever peers tell and when, the kept sums are the ones of this moment.

    Symptom otherwise: targets look busy that are idle, for as long as nothing is heard.
    """
    draw = random.Random(seed)
    clock = ManualClock()
    own = Address("10.0.0.9", 1)
    news = PeerNews(SETTINGS, own, "a", [], clock, draw)
    for _ in range(40):
        clock.advance(draw.choice([0.0, 0.1, 0.7, 1.6]))
        if draw.random() < 0.7:
            counts = {one: draw.randint(1, 4) for one in TARGETS if draw.random() < 0.5}
            groups = [one for one in ("g", "h") if draw.random() < 0.2]
            state = HostState(draw.randint(1, 9), True, counts, None, groups)
            news._take(News(draw.choice(PEERS), draw.choice("ab"), state, []))
        else:
            news._forget_silent()
        for one in TARGETS:
            assert news.counts(one) == naive_counts(news, one)
        fresh = [
            peer
            for peer in news._peers.values()
            if peer.news is not None and not peer.loads_fresh.passed()
        ]
        stalled = {group for peer in fresh for group in peer.news.state.stalled_groups}
        assert news.stalled_groups() == stalled
