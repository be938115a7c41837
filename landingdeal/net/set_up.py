"""A caller's set-up read into an `Offer`: plain figures in range, hex ids, a whole description."""

from __future__ import annotations

from landingdeal.core.events import CallerResponder, Offer
from landingdeal.sip.message import Message

NUMBER_MOST = 0xFFFF  # of lab hubs
WIDTH_MOST = 255
RANGES = {"dest": (0, NUMBER_MOST), "width": (1, WIDTH_MOST), "via": (-1, NUMBER_MOST), "transit": (0, 1),
          "again": (0, 1)}  # fmt: skip
HEX = frozenset("0123456789abcdefABCDEF")


def whole(text: str) -> int:
    """A plain decimal number; int() would also take `1_0`, other scripts' digits and a thousand of them."""
    digits = text.removeprefix("-")
    if not (digits.isascii() and digits.isdecimal() and len(digits) <= 9):
        raise ValueError(f"no number: {text[:20]!r}")
    return int(text)


def decimal(text: str) -> float:
    """`1500` or `1500.5`; raises ValueError on anything else."""
    main, _, part = text.partition(".")
    return whole(main) + (whole(part) / 10.0 ** len(part) if part else 0.0)


def facts_of(text: str) -> dict[str, int]:
    """`dest:2;width:1;via:-1` as numbers; raises ValueError on what is none or out of range."""
    found: dict[str, int] = {}
    for part in text.split(";"):
        if part.strip():
            name, _, value = (word.strip() for word in part.partition(":"))
            low, high = RANGES.get(name, (-999999999, 999999999))
            number = whole(value)
            if name in found or not low <= number <= high:
                raise ValueError(f"{name[:20]} is out of range or told twice")
            found[name] = number
    return found


def hex_digits(text: str, most: int = 16) -> str:
    """The text itself, if it is hex digits and so many at the most; raises ValueError."""
    if not 0 < len(text) <= most or not HEX.issuperset(text):
        raise ValueError("no hex digits")
    return text


def offer_of(message: Message, caller: CallerResponder, came_ms: float, patience_most_ms: float) -> Offer:
    """Raises ValueError or KeyError on what is missing, no number or out of range."""
    facts = facts_of(message.get("x-facts"))
    patience = decimal(message.get("x-patience"))
    number = hex_digits(message.uri.removeprefix("sip:").partition("@")[0])
    if not 0 < patience <= patience_most_ms:
        raise ValueError("patience")
    if not message.body.endswith(b"\r\n"):  # its length was wrong, or there is none
        raise ValueError("description")
    return Offer(
        call_id=hex_digits(message.call_id),
        uri=message.uri,
        class_name=message.get("subject"),
        destination=facts["dest"],
        deadline_ms=came_ms + patience,
        description=message.body,
        caller=caller,
        facts=message.get("x-facts"),
        called_number=int(number, 16),
        width=facts.get("width", 1),
        advised_tandem=facts.get("via", -1),
        in_transit=bool(facts.get("transit", 0)),
        again_after_cut=bool(facts.get("again", 0)),
        team=message.get("organization"),
    )
