"""The parts of SIP headers that are read: URIs, Via, and From, To and Contact with their parameters."""

from __future__ import annotations

from dataclasses import dataclass

DEFAULT_PORT = 5060
MAGIC = "z9hG4bK"


class BadAddress(ValueError):
    """A URI or a header value that can't be used."""


def split_top(text: str, mark: str) -> list[str]:
    """Splits at `mark`, but not inside quotes or angle brackets."""
    parts, at, quoted, depth = [], 0, False, 0
    escaped = False
    for index, char in enumerate(text):
        if escaped:
            escaped = False
        elif quoted and char == "\\":
            escaped = True
        elif char == '"':
            quoted = not quoted
        elif not quoted and char in "<>":
            depth += 1 if char == "<" else -1
        elif char == mark and not quoted and depth == 0:
            parts.append(text[at:index])
            at = index + 1
    return [*parts, text[at:]]


def params_of(parts: list[str]) -> dict[str, str]:
    found = {}
    for part in parts:
        name, _, value = part.partition("=")
        if name.strip():
            found[name.strip().lower()] = value.strip().strip('"')
    return found


def host_port(text: str) -> tuple[str, int]:
    """`host`, `host:port` or `[v6]:port`; a port that is not named is the default."""
    if text.startswith("["):
        host, bracket, rest = text[1:].partition("]")
        if not bracket or rest and not rest.startswith(":"):
            raise BadAddress(f"host {text!r}")
        port = rest[1:]
    else:
        host, colon, port = text.partition(":")
        if colon and not port:
            raise BadAddress(f"port in {text!r}")
    if not host or any(c.isspace() for c in host):
        raise BadAddress(f"host {text!r}")
    if not port:
        return host, DEFAULT_PORT
    if not (port.isascii() and port.isdecimal() and 0 < int(port) < 65536):
        raise BadAddress(f"port in {text!r}")
    return host, int(port)


@dataclass(frozen=True, slots=True)
class Uri:
    user: str
    host: str
    port: int
    transport: str
    loose: bool


def parse_uri(text: str) -> Uri:
    scheme, colon, rest = text.partition(":")
    if not colon or scheme.lower() != "sip":
        raise BadAddress(f"scheme of {text!r}")
    rest = rest.partition("?")[0]
    main, *parts = rest.split(";")
    user, at, where = main.rpartition("@")
    host, port = host_port(where)
    given = params_of(parts)
    return Uri(user if at else "", host, port, given.get("transport", "").lower(), "lr" in given)


@dataclass(frozen=True, slots=True)
class NameAddr:
    """From, To, Contact, Route: the URI as written, and the header's own parameters."""

    uri: str
    params: dict[str, str]

    @property
    def tag(self) -> str:
        return self.params.get("tag", "")


def parse_name_addr(text: str) -> NameAddr:
    main, *parts = split_top(text, ";")
    _, bracket, rest = main.partition("<")
    if not bracket:
        return NameAddr(main.strip(), params_of(parts))
    uri, closed, _ = rest.partition(">")
    if not closed or not uri:
        raise BadAddress(f"address {text!r}")
    return NameAddr(uri.strip(), params_of(parts))


@dataclass(frozen=True, slots=True)
class Via:
    transport: str
    host: str
    port: int
    params: dict[str, str]

    @property
    def branch(self) -> str:
        return self.params.get("branch", "")


def parse_via(text: str) -> Via:
    main, *parts = split_top(text, ";")
    words = main.split()
    if len(words) != 2 or not words[0].upper().startswith("SIP/2.0/"):
        raise BadAddress(f"Via {text!r}")
    host, port = host_port(words[1])
    return Via(words[0][8:].upper(), host, port, params_of(parts))


def top_via(values: list[str]) -> Via:
    if not values:
        raise BadAddress("no Via")
    return parse_via(split_top(values[0], ",")[0])
