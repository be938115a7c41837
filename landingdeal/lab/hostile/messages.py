"""The messages that callers and clients of both fronts send."""

from __future__ import annotations

from landingdeal.sip.message import Message, encode, request

BODY = b"9d41c07a5be2f318\r\nc=IN IP4 10.4.7.9\r\nm=audio 31000 RTP/AVP 0 8 101\r\n"
LARGE_BODY = b"c" * 7000 + b"\r\n"
MANY_FIELDS = "".join(f"x{n % 10}:\r\n" for n in range(2000))  # 12 KB of a head that holds at most 16 KiB


def _via(transport: str, branch: str) -> tuple[str, str]:
    return "via", f"SIP/2.0/{transport.upper()} 127.0.0.1:9;rport;branch=z9hG4bK{branch}"


def set_up(
    front: str, transport: str, call: str, user: str, class_name: str = "voice", body: bytes = BODY
) -> bytes:
    """A sound INVITE of this front."""
    if front == "platform":
        return encode(request(
            "INVITE", f"sip:{call}@net", ("via", "SIP/2.0/TCP peer"), ("call-id", call), ("cseq", "1 INVITE"),
            ("subject", class_name), ("x-patience", "3000"), ("x-facts", "dest:1;width:1;via:-1"), body=body,
        ))  # fmt: skip
    return encode(request(
        "INVITE", f"sip:{user}@127.0.0.1", _via(transport, call), ("max-forwards", "70"),
        ("from", f"<sip:c@127.0.0.1>;tag=t{call}"), ("to", f"<sip:{user}@127.0.0.1>"), ("call-id", call),
        ("cseq", "1 INVITE"), ("contact", "<sip:c@127.0.0.1:9>"), ("subject", class_name), body=body,
    ))  # fmt: skip


def in_dialog(method: str, transport: str, answer: Message, port: int, number: int) -> bytes:
    """An ACK or BYE after this answer."""
    branch = answer.call_id if method == "ACK" and answer.status >= 300 else f"{method}{answer.call_id}"
    headers = [(name, value) for name, value in answer.headers if name in ("from", "to", "call-id")]
    return encode(request(method, f"sip:landingdeal@127.0.0.1:{port}", _via(transport, branch),
                          ("max-forwards", "70"), *headers, ("cseq", f"{number} {method}")))  # fmt: skip


def simple_request(method: str, transport: str, number: int, cseq: str = "") -> bytes:
    """A request outside any dialog, under a Call-ID of its own."""
    call = f"f{number:015x}"
    return encode(request(
        method, "sip:ping@127.0.0.1", _via(transport, call), ("max-forwards", "70"),
        ("from", f"<sip:f@127.0.0.1>;tag=f{number}"), ("to", "<sip:ping@127.0.0.1>"), ("call-id", call),
        ("cseq", cseq or f"1 {method}"),
    ))  # fmt: skip


def flood_message(load: str, front: str, transport: str, number: int) -> bytes:
    """The message with this number of a flood."""
    call = f"e{number:015x}"
    match load:
        case "options" | "bye" | "cancel" | "ack":
            return simple_request(load.upper(), transport, number)
        case "method":
            return simple_request(f"M{number}", transport, number)
        case "malformed":
            return simple_request("OPTIONS", transport, number, cseq="x OPTIONS")
        case "bad-set-up":  # an invite without what its front asks for
            return simple_request("INVITE", transport, number)
        case "class":
            return set_up(front, transport, call, "1000", class_name=f"class-{number}")
        case "number":  # to a number that no route leads to, or no lab hub had
            return set_up(front, transport, call, f"7{number}").replace(b"dest:1", b"dest:7")
        case "set-up":
            return set_up(front, transport, call, f"1{number}")
        case "large-set-up":
            return set_up(front, transport, call, f"1{number}", body=LARGE_BODY)
        case "fields":
            return set_up(front, transport, call, f"1{number}").replace(
                b"\r\nCall-ID", f"\r\n{MANY_FIELDS}Call-ID".encode(), 1
            )
    raise ValueError(f"unknown load {load!r}")
