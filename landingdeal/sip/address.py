"""Parsers for SIP URIs, Via, and the name-addr headers (From, To, Contact, Route) with their parameters."""

from __future__ import annotations

from dataclasses import dataclass

DEFAULT_PORT = 5060
MAGIC_COOKIE = "z9hG4bK"


class AddressError(ValueError):
    """A URI or a header value that is not valid or not supported."""


def split_unquoted(text: str, separator: str) -> list[str]:
    """Splits at `separator`, but not inside quotes or angle brackets."""
    parts, start, quoted, depth = [], 0, False, 0
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
        elif char == separator and not quoted and depth == 0:
            parts.append(text[start:index])
            start = index + 1
    return [*parts, text[start:]]


def parse_params(raw_params: list[str]) -> dict[str, str]:
    """Parses `name=value` parameters; names become lower case, quotes around values are removed."""
    params = {}
    for raw_param in raw_params:
        name, _, value = raw_param.partition("=")
        if name.strip():
            params[name.strip().lower()] = value.strip().strip('"')
    return params


def parse_host_port(text: str) -> tuple[str, int]:
    """Parses `host`, `host:port` or `[IPv6]:port`; the port defaults to 5060."""
    if text.startswith("["):
        host, bracket, rest = text[1:].partition("]")
        if not bracket or rest and not rest.startswith(":"):
            raise AddressError(f"host {text!r}")
        port = rest[1:]
    else:
        host, colon, port = text.partition(":")
        if colon and not port:
            raise AddressError(f"port in {text!r}")
    if not host or any(char.isspace() for char in host):
        raise AddressError(f"host {text!r}")
    if not port:
        return host, DEFAULT_PORT
    if not (port.isascii() and port.isdecimal() and 0 < int(port) < 65536):
        raise AddressError(f"port in {text!r}")
    return host, int(port)


@dataclass(frozen=True, slots=True)
class Uri:
    """A `sip:` URI; `transport` is the parameter of that name, `loose_routing` says that `lr` is present."""

    user: str
    host: str
    port: int
    transport: str
    loose_routing: bool


def parse_uri(text: str) -> Uri:
    """Parses a `sip:` URI; its headers (after `?`) are ignored. Raises AddressError."""
    scheme, colon, rest = text.partition(":")
    if not colon or scheme.lower() != "sip":
        raise AddressError(f"scheme of {text!r}")
    rest = rest.partition("?")[0]
    address, *raw_params = rest.split(";")
    user, at_sign, host_port = address.rpartition("@")
    host, port = parse_host_port(host_port)
    params = parse_params(raw_params)
    return Uri(user if at_sign else "", host, port, params.get("transport", "").lower(), "lr" in params)


@dataclass(frozen=True, slots=True)
class NameAddr:
    """The value of From, To, Contact or Route: the URI as written, and the parameters of the header."""

    uri: str
    params: dict[str, str]

    @property
    def tag(self) -> str:
        return self.params.get("tag", "")


def parse_name_addr(text: str) -> NameAddr:
    """Parses an address with or without angle brackets. Raises AddressError."""
    address, *raw_params = split_unquoted(text, ";")
    _, bracket, rest = address.partition("<")
    if not bracket:
        return NameAddr(address.strip(), parse_params(raw_params))
    uri, closed, _ = rest.partition(">")
    if not closed or not uri:
        raise AddressError(f"address {text!r}")
    return NameAddr(uri.strip(), parse_params(raw_params))


@dataclass(frozen=True, slots=True)
class Via:
    """One Via value: the transport and address of the sender, and the parameters."""

    transport: str
    host: str
    port: int
    params: dict[str, str]

    @property
    def branch(self) -> str:
        return self.params.get("branch", "")


def parse_via(text: str) -> Via:
    """Parses one Via value. Raises AddressError."""
    sent_by, *raw_params = split_unquoted(text, ";")
    words = sent_by.split()
    if len(words) != 2 or not words[0].upper().startswith("SIP/2.0/"):
        raise AddressError(f"Via {text!r}")
    host, port = parse_host_port(words[1])
    return Via(words[0][8:].upper(), host, port, parse_params(raw_params))


def top_via(values: list[str]) -> Via:
    """Parses the topmost value of the Via headers of a message. Raises AddressError."""
    if not values:
        raise AddressError("no Via")
    return parse_via(split_unquoted(values[0], ",")[0])
