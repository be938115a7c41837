"""Parses a caller's set-up into an `Offer`: plain numbers in range, hex ids, a complete description."""

from __future__ import annotations

from landingdeal.core.events import CallerResponder, Offer
from landingdeal.sip.message import Message

MAX_HUB_NUMBER = 0xFFFF
MAX_WIDTH = 255
FACT_RANGES = {"dest": (0, MAX_HUB_NUMBER), "width": (1, MAX_WIDTH), "via": (-1, MAX_HUB_NUMBER),
               "transit": (0, 1), "again": (0, 1)}  # fmt: skip
HEX_DIGITS = frozenset("0123456789abcdefABCDEF")


def parse_integer(text: str) -> int:
    """Parses a plain integer; int() also accepts `1_0`, digits of other scripts and very long numbers."""
    digits = text.removeprefix("-")
    if not (digits.isascii() and digits.isdecimal() and len(digits) <= 9):
        raise ValueError(f"not a number: {text[:20]!r}")
    return int(text)


def parse_decimal(text: str) -> float:
    """Parses `1500` or `1500.5`; raises ValueError on anything else."""
    integer_part, _, fraction = text.partition(".")
    return parse_integer(integer_part) + (
        parse_integer(fraction) / 10.0 ** len(fraction) if fraction else 0.0
    )


def parse_facts(text: str) -> dict[str, int]:
    """Parses `dest:2;width:1;via:-1`; raises ValueError on a repeated name or a value out of range."""
    facts: dict[str, int] = {}
    for fact in text.split(";"):
        if fact.strip():
            name, _, value = (word.strip() for word in fact.partition(":"))
            low, high = FACT_RANGES.get(name, (-999999999, 999999999))
            number = parse_integer(value)
            if name in facts or not low <= number <= high:
                raise ValueError(f"{name[:20]} is out of range or repeated")
            facts[name] = number
    return facts


def checked_hex_digits(text: str, max_digits: int = 16) -> str:
    """Returns the text if it is one to `max_digits` hex digits; raises ValueError otherwise."""
    if not 0 < len(text) <= max_digits or not HEX_DIGITS.issuperset(text):
        raise ValueError("not hex digits")
    return text


def parse_offer(
    message: Message, caller: CallerResponder, arrived_ms: float, max_patience_ms: float
) -> Offer:
    """Parses an INVITE; raises ValueError or KeyError on a missing value or one that is not in range."""
    facts = parse_facts(message.get("x-facts"))
    patience = parse_decimal(message.get("x-patience"))
    number = checked_hex_digits(message.uri.removeprefix("sip:").partition("@")[0])
    if not 0 < patience <= max_patience_ms:
        raise ValueError("patience is out of range")
    if not message.body.endswith(b"\r\n"):  # missing, or cut off by a wrong Content-Length
        raise ValueError("description is not complete")
    return Offer(
        call_id=checked_hex_digits(message.call_id),
        uri=message.uri,
        class_name=message.get("subject"),
        destination=facts["dest"],
        deadline_ms=arrived_ms + patience,
        description=message.body,
        caller=caller,
        facts=message.get("x-facts"),
        called_number=int(number, 16),
        width=facts.get("width", 1),
        advised_number=facts.get("via", -1),
        in_transit=bool(facts.get("transit", 0)),
        is_redial_after_cut=bool(facts.get("again", 0)),
        team=message.get("organization"),
    )
