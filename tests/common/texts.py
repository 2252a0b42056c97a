"""Texts that a field of the line protocol may hold."""

import random

from hypothesis import strategies as st

# Characters that readers of lines, words or JSON may treat in a special way.
SPECIAL = "\n\r\0 \t\v\f\x1c\x85\u2028\u2029\ufeff\"\\'%\x7fé"
_characters = st.one_of(
    st.sampled_from(SPECIAL), st.characters(exclude_categories=["Cs"])
)


def is_allowed(text: str) -> bool:
    """Whether a message may end with a text: only CR LF ends a message."""
    return "\r\n" not in text


def field_texts(max_size: int = 20) -> st.SearchStrategy[str]:
    """Strategy for the last field of a message."""
    return st.text(_characters, max_size=max_size).filter(is_allowed)


def field_words() -> st.SearchStrategy[str]:
    """Strategy for a field that others follow: without blanks, and not empty."""
    return field_texts(8).filter(lambda text: text and " " not in text)


def draw_text(rng: random.Random) -> str:
    """Draws a short text for the last field of a message."""
    while True:
        text = "".join(rng.choices([*SPECIAL, "d", "QUERY x"], k=rng.randint(1, 6)))
        if is_allowed(text):
            return text
