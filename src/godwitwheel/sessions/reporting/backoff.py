"""Pauses before requests to control are repeated."""

import random

# Pauses after the first failure and after many failures in a row, in seconds.
FIRST_PAUSE_S = 0.05
MAX_PAUSE_S = 0.15
# Part of a pause that is random, so that processes that failed together don't return
# together.
JITTER_SHARE = 0.5
# Longest pause before control is asked again for what it put off, in seconds.
MAX_POSTPONED_PAUSE_S = 0.2


def retry_pause_s(failures: int, rng: random.Random) -> float:
    """Returns the pause after a number of failures in a row, in seconds."""
    doublings = min(failures - 1, 16)
    longest = min(FIRST_PAUSE_S * 2**doublings, MAX_PAUSE_S)
    return longest * (1.0 - JITTER_SHARE * rng.random())


def postponed_pause_s(rng: random.Random) -> float:
    """Returns the pause after control has put something off, in seconds."""
    return rng.uniform(FIRST_PAUSE_S, MAX_POSTPONED_PAUSE_S)
