"""A dialog (RFC 3261 chapter 12): tags, sequence numbers, route set and remote target of one leg."""

from __future__ import annotations

from landingdeal.sip.address import BadAddress, parse_name_addr, parse_uri, split_top
from landingdeal.sip.message import Message, request
from landingdeal.sip.transaction import Flow


class Dialog:
    """One leg of a call; `client` where we sent the INVITE that made it."""

    def __init__(self, invite: Message, final: Message, flow: Flow, client: bool) -> None:
        self.flow = flow
        self.call_id = invite.call_id
        mine, theirs = ("from", "to") if client else ("to", "from")
        self.local, self.remote = final.get(mine), final.get(theirs)
        self.local_tag = parse_name_addr(self.local).tag
        self.remote_tag = parse_name_addr(self.remote).tag
        other = final if client else invite
        self.target = contact_of(other) or (invite.uri if client else parse_name_addr(self.remote).uri)
        routes = [part.strip() for value in other.get_all("record-route") for part in split_top(value, ",")]
        self.routes = routes[::-1] if client else routes
        self.seq = invite.cseq[0] if client else 0
        self.remote_seq = -1 if client else invite.cseq[0]
        self.invite_seq = invite.cseq[0]
        self.over = False

    @property
    def key(self) -> tuple[str, str, str]:
        return self.call_id, self.local_tag, self.remote_tag

    def make(
        self, method: str, via: str, *more: tuple[str, str], seq: int | None = None, body: bytes = b""
    ) -> Message:
        """A request within the dialog; an ACK repeats the number of its INVITE."""
        if seq is None:
            self.seq = seq = self.seq + 1
        routes = [("route", route) for route in self.routes]
        return request(
            method, self.target, ("via", via), ("max-forwards", "70"), *routes, ("from", self.local),
            ("to", self.remote), ("call-id", self.call_id), ("cseq", f"{seq} {method}"), *more, body=body,
        )  # fmt: skip

    def next_hop(self) -> str:
        return parse_name_addr(self.routes[0]).uri if self.routes else self.target

    def refreshed(self, message: Message) -> None:
        """A re-INVITE, or its 2xx, may move the remote target (12.2)."""
        self.target = contact_of(message) or self.target


def contact_of(message: Message) -> str:
    """The URI of Contact, or nothing where there is none that can be used."""
    value = message.get("contact")
    if not value:
        return ""
    try:
        uri = parse_name_addr(split_top(value, ",")[0]).uri
        parse_uri(uri)
    except BadAddress:
        return ""
    return uri
