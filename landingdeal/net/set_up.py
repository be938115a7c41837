"""A caller's set-up read into an `Offer`: plain figures in range, hex ids, a whole description."""

from __future__ import annotations

from landingdeal.core.events import CallerSide, Offer
from landingdeal.sip.message import Message

MAX_HUB_NUMBER = 0xFFFF  # of lab hubs
MAX_WIDTH = 255
FACT_RANGES = {"dest": (0, MAX_HUB_NUMBER), "width": (1, MAX_WIDTH), "via": (-1, MAX_HUB_NUMBER),
               "transit": (0, 1), "again": (0, 1)}  # fmt: skip
HEX_DIGITS = frozenset("0123456789abcdefABCDEF")


def parse_integer(text: str) -> int:
    """A plain decimal number; int() would also take `1_0`, other scripts' digits and a thousand of them."""
    digits = text.removeprefix("-")
    if not (digits.isascii() and digits.isdecimal() and len(digits) <= 9):
        raise ValueError(f"no number: {text[:20]!r}")
    return int(text)


def parse_decimal(text: str) -> float:
    """`1500` or `1500.5`; raises ValueError on anything else."""
    main, _, part = text.partition(".")
    return parse_integer(main) + (parse_integer(part) / 10.0 ** len(part) if part else 0.0)


def parse_facts(text: str) -> dict[str, int]:
    """`dest:2;width:1;via:-1` as numbers; raises ValueError on what is none or out of range."""
    found: dict[str, int] = {}
    for part in text.split(";"):
        if part.strip():
            name, _, value = (word.strip() for word in part.partition(":"))
            low, high = FACT_RANGES.get(name, (-999999999, 999999999))
            number = parse_integer(value)
            if name in found or not low <= number <= high:
                raise ValueError(f"{name[:20]} is out of range or told twice")
            found[name] = number
    return found


def checked_hex_digits(text: str, max_digits: int = 16) -> str:
    """The text itself, if it is hex digits and so many at the most; raises ValueError."""
    if not 0 < len(text) <= max_digits or not HEX_DIGITS.issuperset(text):
        raise ValueError("no hex digits")
    return text


def parse_offer(message: Message, caller: CallerSide, arrived_ms: float, max_patience_ms: float) -> Offer:
    """Raises ValueError or KeyError on what is missing, no number or out of range."""
    facts = parse_facts(message.get("x-facts"))
    patience = parse_decimal(message.get("x-patience"))
    number = checked_hex_digits(message.uri.removeprefix("sip:").partition("@")[0])
    if not 0 < patience <= max_patience_ms:
        raise ValueError("patience")
    if not message.body.endswith(b"\r\n"):  # its length was wrong, or there is none
        raise ValueError("description")
    return Offer(
        call=checked_hex_digits(message.call_id),
        uri=message.uri,
        class_name=message.get("subject"),
        destination=facts["dest"],
        deadline_ms=arrived_ms + patience,
        description=message.body,
        caller=caller,
        facts=message.get("x-facts"),
        key=int(number, 16),
        width=facts.get("width", 1),
        advised=facts.get("via", -1),
        in_transit=bool(facts.get("transit", 0)),
        again_after_cut=bool(facts.get("again", 0)),
        team=message.get("organization"),
    )
