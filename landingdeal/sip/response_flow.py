"""Where a response goes: on the connection of its request, else to the address that Via gives."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

from landingdeal.core.pending_send import PendingSend
from landingdeal.sip.address import Via, parse_via, split_unquoted
from landingdeal.sip.message import Message
from landingdeal.sip.transaction import Flow

FlowTo = Callable[[str, str, int], Flow]  # transport, host, port


def response_address(via: Via, source_host: str, source_port: int, reliable: bool) -> tuple[str, int]:
    """Returns the address for a response that can't go back on the connection of its request.

    `rport` asks for the source port of a datagram (RFC 3581, section 4). The source port of a connection is
    gone with it: there the port of sent-by is the one that the client listens on (RFC 3261, 18.2.2).
    """
    if "rport" in via.params and not reliable:
        return source_host, source_port
    return source_host, via.port


def with_source_address(message: Message, host: str, port: int) -> tuple[Message, Via]:
    """Returns a request with the address it came from in its topmost Via, and that Via as it was received.

    That is `received` if the host differs (RFC 3261, 18.2.1), and the value of an empty `rport` (RFC 3581).
    Raises AddressError if the Via is not valid.
    """
    first_via, *other_vias = split_unquoted(message.get("via"), ",")
    via = parse_via(first_via)
    marked_via = first_via.strip()
    if via.host != host:
        marked_via += f";received={host}"
    if "rport" in via.params and not via.params["rport"]:
        marked_via = marked_via.replace(";rport", f";rport={port}", 1)
    value = ", ".join([marked_via, *(other_via.strip() for other_via in other_vias)])
    index = next(position for position, (name, _) in enumerate(message.headers) if name == "via")
    headers = (*message.headers[:index], ("via", value), *message.headers[index + 1 :])
    return replace(message, headers=headers), via


class ResponseFlow:
    """Sends the responses to one request.

    `current_flow` is the one that carried the last response. Over TCP that is the connection of the request
    while it is alive, then a new connection to the address in Via.
    """

    was_connected = True

    def __init__(self, flow_to: FlowTo, request_flow: Flow, host: str, port: int, via: Via) -> None:
        self.flow_to, self.request_flow, self.current_flow = flow_to, request_flow, request_flow
        self.transport, self.reliable = request_flow.transport, request_flow.reliable
        self.source = request_flow.source
        self.host, self.port = response_address(via, host, port, self.reliable)

    @property
    def alive(self) -> bool:
        """Whether the flow that carried the last response is alive."""
        return self.current_flow.alive

    @property
    def peer_has_left(self) -> bool:
        """Whether the sender of the request has ended its connection."""
        return self.request_flow.peer_has_left

    def send(self, message: Message, pending: PendingSend | None = None) -> bool:
        if not self.reliable or not self.current_flow.alive:
            self.current_flow = self.flow_to(self.transport, self.host, self.port)
        return self.current_flow.send(message, pending)


def carrying_flow(flow: Flow) -> Flow:
    """Returns the connection or address behind a flow for responses; any other flow is returned as it is."""
    return flow.current_flow if isinstance(flow, ResponseFlow) else flow
