"""Dialogs (RFC 3261, chapter 12): tags, sequence numbers, route set and remote target of one call leg."""

from __future__ import annotations

from landingdeal.sip.address import AddressError, parse_name_addr, parse_uri, split_unquoted
from landingdeal.sip.message import Message, request
from landingdeal.sip.transaction import Flow


class Dialog:
    """The dialog of one call leg; `is_uac` is true if we sent the INVITE that created it."""

    def __init__(self, invite: Message, final_response: Message, flow: Flow, is_uac: bool) -> None:
        self.flow = flow
        self.call_id = invite.call_id
        local_name, remote_name = ("from", "to") if is_uac else ("to", "from")
        self.local_address, self.remote_address = (
            final_response.get(local_name),
            final_response.get(remote_name),
        )
        self.local_tag = parse_name_addr(self.local_address).tag
        self.remote_tag = parse_name_addr(self.remote_address).tag
        peer_message = final_response if is_uac else invite
        self.remote_target = contact_uri(peer_message) or (
            invite.uri if is_uac else parse_name_addr(self.remote_address).uri
        )
        route_set = [
            part.strip()
            for value in peer_message.get_all("record-route")
            for part in split_unquoted(value, ",")
        ]
        self.route_set = route_set[::-1] if is_uac else route_set
        self.sequence_number = invite.cseq[0] if is_uac else 0
        self.remote_sequence_number = -1 if is_uac else invite.cseq[0]
        self.invite_sequence_number = invite.cseq[0]
        self.terminated = False

    @property
    def key(self) -> tuple[str, str, str]:
        """The dialog ID: Call-ID, local tag, remote tag."""
        return self.call_id, self.local_tag, self.remote_tag

    def make_request(
        self,
        method: str,
        via: str,
        *extra_headers: tuple[str, str],
        sequence_number: int | None = None,
        body: bytes = b"",
    ) -> Message:
        """Makes a request within the dialog; an ACK is given the sequence number of its INVITE."""
        if sequence_number is None:
            self.sequence_number = sequence_number = self.sequence_number + 1
        route_set = [("route", route) for route in self.route_set]
        return request(
            method, self.remote_target, ("via", via), ("max-forwards", "70"), *route_set,
            ("from", self.local_address), ("to", self.remote_address), ("call-id", self.call_id),
            ("cseq", f"{sequence_number} {method}"), *extra_headers, body=body,
        )  # fmt: skip

    def next_hop(self) -> str:
        """The URI that requests are sent to: the first route, else the remote target."""
        return parse_name_addr(self.route_set[0]).uri if self.route_set else self.remote_target

    def refresh_remote_target(self, message: Message) -> None:
        """Takes the Contact of a re-INVITE or of its 2xx as the new remote target (12.2)."""
        self.remote_target = contact_uri(message) or self.remote_target


def contact_uri(message: Message) -> str:
    """Returns the URI of Contact; empty if there is no usable one."""
    value = message.get("contact")
    if not value:
        return ""
    try:
        uri = parse_name_addr(split_unquoted(value, ",")[0]).uri
        parse_uri(uri)
    except AddressError:
        return ""
    return uri
