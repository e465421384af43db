"""Mix of requests that the demo and the failure runs send."""

import json
import random
import time

import curio

from scripts._cluster_configuration import ACCOUNTS, MODEL, PLAIN_SERVICE
from scripts._load import Call

DRAFT_TIMEOUT_S = 8.0
ALERT_TIMEOUT_S = 8.0
SHORTEST_DRAFT_TOKENS = 20
LONGEST_DRAFT_TOKENS = 200
STREAMED_SHARE = 0.9
IDEMPOTENT_SHARE = 0.5
PROMPTS = (
    "Water stands below the boiler of house 4.",
    "The barrier at crossing 11 stays down.",
    "Hand over the south round to the evening.",
)


class Mix:
    """Drafts of several accounts and alerts of one account, at a steady rate.

    Parameters
    ----------
    drafts_per_s, alerts_per_s : float
        Rates, requests per second.
    seed : int
        Seed of all random choices.
    """

    __slots__ = ("_alert_share", "_interval_s", "_random")

    def __init__(self, drafts_per_s, alerts_per_s, seed):
        requests_per_s = drafts_per_s + alerts_per_s
        self._alert_share = alerts_per_s / requests_per_s
        self._interval_s = 1 / requests_per_s
        self._random = random.Random(seed)

    async def send(self, callers, group, duration_s):
        """Start requests for `duration_s`, each as a task of its own in the group."""
        next_at_s = time.monotonic()
        ends_at_s = next_at_s + duration_s
        number = 0
        while next_at_s < ends_at_s:
            number += 1
            await group.spawn(callers.make, self._next_call(number))
            next_at_s += self._interval_s
            await curio.sleep(max(0.0, next_at_s - time.monotonic()))

    def _next_call(self, number):
        if self._random.random() < self._alert_share:
            return _alert(number)
        return self._draft(number)

    def _draft(self, number):
        account = self._random.choice(ACCOUNTS[:3])
        prompt = self._random.choice(PROMPTS)
        body = {
            "model": MODEL,
            "messages": [{"role": "user", "content": f"{prompt} Report {number}."}],
            "max_tokens": self._random.randint(
                SHORTEST_DRAFT_TOKENS, LONGEST_DRAFT_TOKENS
            ),
            "stream": self._random.random() < STREAMED_SHARE,
        }
        return Call(
            "draft",
            account.key,
            "/v1/chat/completions",
            json.dumps(body).encode(),
            DRAFT_TIMEOUT_S,
            idempotent=self._random.random() < IDEMPOTENT_SHARE,
        )


def _alert(number):
    body = json.dumps({"crossing": number, "text": "the barrier stays up"}).encode()
    return Call(
        "alert",
        ACCOUNTS[3].key,
        f"/services/{PLAIN_SERVICE}/alerts",
        body,
        ALERT_TIMEOUT_S,
        idempotency_key=f"alert-{number}",
    )
