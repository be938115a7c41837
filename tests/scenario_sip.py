"""Runs the scenario language on the SIP front, over UDP or TCP, with test doubles for lab hubs 1 and 2.

    caller send INVITE a                  starts a call, or sends a re-INVITE once `a` is established
    caller again a                        resends the last request of `a`, byte for byte
    caller send INVITE a drop=from        leaves a header out; also version=, branch=, cseq=, uri=, to=
    caller repeats 2                      waits until this many messages were received again, byte for byte
    hub1 expect INVITE a                  gives the name `a` to the call of this INVITE at that hub
    hub1 answer_on_new_connection a       sends 200 to its INVITE, on a new connection to the address in Via
    hub1 send 200 a of=INVITE             responds to the last request of that method, by default INVITE

1xx responses are skipped unless one is expected.
"""

from __future__ import annotations

import queue
import socket
import subprocess
import sys
import threading
import time
from collections.abc import Mapping, Sequence
from contextlib import suppress
from dataclasses import replace
from pathlib import Path

from landingdeal.lab.ports import free_port
from landingdeal.sip.address import parse_name_addr, top_via
from landingdeal.sip.message import MalformedMessage, Message, decode_datagram, encode, request, response
from tests.scenario import BODY, ROOT, TIMEOUT_S, Mailbox, TcpConnection, check_message

T1_MS = 50


class UdpConnection:
    """A datagram socket with the address of its peer."""

    def __init__(self, sock: socket.socket, peer: tuple[str, int]) -> None:
        self.sock, self.peer = sock, peer

    def put(self, data: bytes) -> None:
        self.sock.sendto(data, self.peer)

    def close(self, reset: bool) -> None:
        self.sock.close()


class ScenarioParty(Mailbox):
    """One caller or lab hub: its address, what it received of each call, and the last request it sent."""

    def __init__(self, name: str, transport: str) -> None:
        super().__init__()
        self.name, self.transport = name, transport
        self.receive_counts: dict[bytes, int] = {}
        self.call_ids: dict[str, str] = {}  # the Call-ID at this party by the scenario's name of a call
        self.received_requests: dict[tuple[str, str], tuple[UdpConnection | TcpConnection, Message]] = {}
        self.last_sent: dict[str, Message] = {}
        self.final_responses: dict[str, Message] = {}
        self.established_responses: dict[str, Message] = {}
        self.cseq_numbers: dict[str, int] = {}
        if transport == "udp":
            self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            self.sock.bind(("127.0.0.1", 0))
            threading.Thread(target=self._datagrams, daemon=True).start()
        else:
            self.sock = socket.create_server(("127.0.0.1", 0))
            threading.Thread(target=self._accept, daemon=True).start()
        self.port = self.sock.getsockname()[1]

    def _datagrams(self) -> None:
        with suppress(OSError):
            while True:
                data, peer = self.sock.recvfrom(65536)
                self.on_message(UdpConnection(self.sock, peer), decode_datagram(data))

    def _accept(self) -> None:
        with suppress(OSError):
            while True:
                sock, _ = self.sock.accept()
                TcpConnection(sock, self)

    def on_message(self, connection: object, message: Message | MalformedMessage | None) -> None:
        assert not isinstance(message, MalformedMessage), message
        if message is None:
            super().on_message(connection, None)  # type: ignore[arg-type]
            return
        data = encode(message)
        self.receive_counts[data] = self.receive_counts.get(data, 0) + 1
        if self.receive_counts[data] == 1:
            if message.method:
                self.received_requests[message.call_id, message.method] = (connection, message)  # type: ignore[assignment]
            elif message.status >= 200 and message.cseq[1] == "INVITE":
                self.final_responses[message.call_id] = message
                if message.status < 300:
                    self.established_responses[message.call_id] = message
            self.received.put((connection, message))  # type: ignore[arg-type]

    def repeat_count(self) -> int:
        """How many messages were received again, byte for byte."""
        return sum(count - 1 for count in list(self.receive_counts.values()))

    def contact(self) -> tuple[str, str]:
        """Its Contact header."""
        return "contact", f"<sip:{self.name}@127.0.0.1:{self.port};transport={self.transport}>"


def operator_file(port: int, hubs: dict[str, ScenarioParty], extra: str = "") -> str:
    """An operator's file that enables the SIP front with these lab hubs."""
    text = (ROOT / "deploy/operator.toml").read_text()
    settings = text[text.index("[settings]") :]
    hub_tables = "".join(
        f'[[sip.hub]]\nname = "{name}"\nnumber = {name[3:]}\naddress = "127.0.0.1:{hub.port}"\n'
        f'transport = "{hub.transport}"\ncircuits = 120\n'
        f'[[sip.route]]\nprefix = "{name[3:]}"\nhub = {name[3:]}\n'
        for name, hub in hubs.items()
    )
    return (
        f'[sip]\nenabled = true\nlisten = "127.0.0.1:{port}"\nt1_ms = {T1_MS}\n{extra}{hub_tables}{settings}'
    )


class SipHarness:
    """The program with its SIP front, and the parties of a scenario."""

    with_rport = False  # whether the parties put `rport` into their Via

    def __init__(
        self,
        folder: Path,
        transport: str,
        extra: str = "",
        hubs: Mapping[str, ScenarioParty] | None = None,
        port: int = 0,
        stderr: int | None = None,
        settings_changes: Sequence[tuple[str, str]] = (),
    ) -> None:
        """Starts the program; its log goes to a file, or to the descriptor `stderr`.

        `settings_changes` are texts of the operator's file and what takes their place.
        """
        self.transport, self.port = transport, port or free_port()
        self.parties = dict(hubs or {name: ScenarioParty(name, transport) for name in ("hub1", "hub2")})
        path = folder / "operator.toml"
        text = operator_file(self.port, self.parties, extra)
        for old, new in settings_changes:
            text = text.replace(old, new)
        path.write_text(text)
        self.log_path = folder / "log"
        with self.log_path.open("wb") as log:
            self.program = subprocess.Popen(
                [sys.executable, "-m", "landingdeal", "--operator", str(path)],
                cwd=ROOT,
                stderr=log if stderr is None else stderr,
            )
        deadline = time.monotonic() + TIMEOUT_S
        while time.monotonic() < deadline:
            with suppress(OSError), socket.create_connection(("127.0.0.1", self.port)):
                return
            time.sleep(0.02)
        raise AssertionError("the program did not become ready")

    def run_step(self, party_name: str, verb: str, *words: str) -> None:
        """Runs one step of a scenario."""
        if party_name == "program":
            if verb == "stop":
                self.program.terminate()
            else:
                assert self.program.wait(TIMEOUT_S) == int(words[0])
            return
        party = (
            self.parties.setdefault(party_name, ScenarioParty(party_name, self.transport))
            if party_name not in self.parties
            else None
        )
        getattr(self, f"_{verb}")(party or self.parties[party_name], *words)

    def connection(self, party: ScenarioParty) -> UdpConnection | TcpConnection:
        """The connection that a party sends on; over TCP a new one is opened if it has none."""
        if self.transport == "udp":
            return UdpConnection(party.sock, ("127.0.0.1", self.port))
        if not party.connections:
            TcpConnection(socket.create_connection(("127.0.0.1", self.port)), party)
        connection = party.connections[-1]
        assert isinstance(connection, TcpConnection)
        return connection

    # --- steps ---

    def _send(self, party: ScenarioParty, method_or_status: str, name: str, *options: str) -> None:
        fields = dict(m.split("=", 1) for m in options if "=" in m.partition(":")[0])
        pairs = [m.partition(":") for m in options if "=" not in m.partition(":")[0]]
        headers = [(name.lower(), value) for name, _, value in pairs]
        if method_or_status.isdecimal():
            self._send_response(party, int(method_or_status), name, fields.get("of", "INVITE"), headers)
        else:
            self._send_request(party, method_or_status, name, fields, headers)

    def _send_response(
        self,
        party: ScenarioParty,
        status: int,
        name: str,
        request_method: str,
        headers: list[tuple[str, str]],
    ) -> None:
        connection, answered_request = party.received_requests[party.call_ids[name], request_method]
        body = BODY if status == 200 and request_method == "INVITE" else b""
        message = response(answered_request, status, party.contact(), *headers, body=body)
        tagged = tuple((k, v + ";tag=h" if k == "to" and ";tag=" not in v else v) for k, v in message.headers)
        message = Message(status=status, reason_phrase=message.reason_phrase, headers=tagged, body=body)
        if request_method == "INVITE" and status < 300:
            party.established_responses.setdefault(answered_request.call_id, message)
        connection.put(encode(message))

    def _answer_on_new_connection(self, party: ScenarioParty, name: str) -> None:
        """Answers the INVITE with 200 on a connection to the address in its Via (RFC 3261, 18.2.2)."""
        key = party.call_ids[name], "INVITE"
        via = top_via(party.received_requests[key][1].get_all("via"))
        connection = TcpConnection(socket.create_connection((via.host, via.port)), party)
        party.received_requests[key] = (connection, party.received_requests[key][1])
        self._send_response(party, 200, name, "INVITE", [])

    def _send_request(
        self,
        party: ScenarioParty,
        method: str,
        name: str,
        fields: dict[str, str],
        headers: list[tuple[str, str]],
    ) -> None:
        call_id = party.call_ids.setdefault(name, f"{name}-{party.name}")
        final_response, established_response = (
            party.final_responses.get(call_id),
            party.established_responses.get(call_id),
        )
        refused = final_response is not None and final_response.status >= 300
        last_request = party.last_sent.get(call_id)
        uri = fields.get("uri", f"sip:{fields.get('to', '1000')}@127.0.0.1:{self.port}")
        if party.name.startswith("hub"):  # within the dialog that the program opened
            assert established_response is not None
            uri = parse_name_addr(party.received_requests[call_id, "INVITE"][1].get("contact")).uri
            local, remote = established_response.get("to"), established_response.get("from")
        else:
            local, remote = f"<sip:{party.name}@127.0.0.1>;tag=t{name}", f"<{uri}>"
            dialog_response = final_response if method == "ACK" else established_response
            remote = dialog_response.get("to") if dialog_response is not None else remote
        if method in ("ACK", "CANCEL"):
            number = party.cseq_numbers.get(call_id, 1)
        elif "cseq" in fields:
            number = int(fields["cseq"])
        else:
            number = party.cseq_numbers[call_id] = party.cseq_numbers.get(call_id, 0) + 1
        branch = fields.get("branch", f"z9hG4bK{party.name}{call_id}{method}{number}")
        if last_request is not None and (method == "CANCEL" or method == "ACK" and refused):
            branch = last_request.get("via").rpartition("branch=")[2]
        rport = ";rport" if self.with_rport else ""
        via = f"SIP/2.0/{self.transport.upper()} 127.0.0.1:{party.port}{rport};branch={branch}"
        body = BODY if method == "INVITE" else b""
        message = request(method, uri, ("via", via), ("max-forwards", "70"), ("from", local), ("to", remote),
                          ("call-id", call_id), ("cseq", f"{number} {method}"), party.contact(), *headers,
                          body=body)  # fmt: skip
        dropped_header = fields.get("drop", "")
        message = replace(
            message, headers=tuple(h for h in message.headers if h[0] != dropped_header or h in headers)
        )
        if method != "ACK":
            party.last_sent[call_id] = message if method != "CANCEL" or last_request is None else last_request
        connection = self.connection(party)
        if party.name.startswith("hub") and self.transport == "tcp":
            hub_connection = party.received_requests[call_id, "INVITE"][0]
            connection = hub_connection if hub_connection in party.connections else connection
        version = fields.get("version", "2.0")
        connection.put(encode(message).replace(b" SIP/2.0\r\n", f" SIP/{version}\r\n".encode(), 1))

    def _again(self, party: ScenarioParty, name: str) -> None:
        self.connection(party).put(encode(party.last_sent[party.call_ids[name]]))

    def _expect(self, party: ScenarioParty, expected: str, name: str = "", *options: str) -> None:
        while True:
            _, message = party.received.get(timeout=TIMEOUT_S)
            if message is None and expected != "end":
                continue  # the end of a connection may come at any time
            if message is None or not (100 <= message.status < 200 and expected != str(message.status)):
                break
        known_call_id = (
            party.call_ids.setdefault(name, message.call_id) if name and message is not None else ""
        )
        check_message(party.name, expected, name, known_call_id, message, options)

    def _repeats(self, party: ScenarioParty, count: str) -> None:
        deadline = time.monotonic() + TIMEOUT_S
        while party.repeat_count() < int(count):
            assert time.monotonic() < deadline, f"{party.name}: {party.repeat_count()} repeats"
            time.sleep(0.01)

    def _wait(self, party: ScenarioParty, duration_ms: str) -> None:
        deadline = time.monotonic() + int(duration_ms) / 1000
        with suppress(queue.Empty):
            while True:
                message = party.received.get(timeout=max(deadline - time.monotonic(), 0))[1]
                assert (
                    message is None or 100 <= message.status < 200
                ), f"{party.name}: expected no message, got {message}"

    def _close(self, party: ScenarioParty) -> None:
        party.close(False)

    def _reset(self, party: ScenarioParty) -> None:
        party.close(True)

    def _gone(self, party: ScenarioParty) -> None:
        """Closes its listening socket and resets its connections."""
        with suppress(OSError):
            party.sock.shutdown(socket.SHUT_RDWR)
        party.sock.close()
        party.close(True)

    def end(self) -> str:
        """Stops everything that was started; returns the program's log."""
        for party in self.parties.values():
            party.sock.close()
        if self.program.poll() is None:
            self.program.kill()
        self.program.wait()
        return self.log_path.read_text()
