"""The same language for the SIP front, over UDP or TCP, with lab hubs 1 and 2 as stand-ins.

    caller send INVITE a                  a new call, or a re-INVITE once `a` stands
    caller again a                        the last request of `a`, byte for byte
    caller send INVITE a drop=from        without that header; also version=, branch=, cseq=, uri=, to=
    caller repeats 2                      so many messages came once more, byte for byte
    hub1 expect INVITE a                  names the call that this INVITE is of there
    hub1 send 200 a of=INVITE             a response to the last request of that method, INVITE by default

Responses 1xx are passed over unless they are what is expected.
"""

from __future__ import annotations

import queue
import socket
import subprocess
import sys
import threading
import time
from collections.abc import Mapping
from contextlib import suppress
from dataclasses import replace
from pathlib import Path

from landingdeal.lab.ports import free_port
from landingdeal.sip.address import parse_name_addr
from landingdeal.sip.message import MalformedMessage, Message, decode_datagram, encode, request, response
from tests.scenario import BODY, PATIENCE_S, ROOT, Mailbox, TcpWire, check

T1_MS = 50


class UdpWire:
    def __init__(self, sock: socket.socket, peer: tuple[str, int]) -> None:
        self.sock, self.peer = sock, peer

    def put(self, data: bytes) -> None:
        self.sock.sendto(data, self.peer)

    def close(self, reset: bool) -> None:
        self.sock.close()


class Party(Mailbox):
    """One caller or lab hub: its address, what it has seen of each call, and what it sent last."""

    def __init__(self, name: str, transport: str) -> None:
        super().__init__()
        self.name, self.transport = name, transport
        self.seen: dict[bytes, int] = {}
        self.names: dict[str, str] = {}  # the scenario's name of a call: its Call-ID here
        self.got: dict[tuple[str, str], tuple[UdpWire | TcpWire, Message]] = {}
        self.sent: dict[str, Message] = {}
        self.final: dict[str, Message] = {}
        self.stood: dict[str, Message] = {}
        self.number: dict[str, int] = {}
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
                self.came(UdpWire(self.sock, peer), decode_datagram(data))

    def _accept(self) -> None:
        with suppress(OSError):
            while True:
                sock, _ = self.sock.accept()
                TcpWire(sock, self)

    def came(self, wire: object, message: Message | MalformedMessage | None) -> None:
        assert not isinstance(message, MalformedMessage), message
        if message is None:
            super().came(wire, None)  # type: ignore[arg-type]
            return
        data = encode(message)
        self.seen[data] = self.seen.get(data, 0) + 1
        if self.seen[data] == 1:
            if message.method:
                self.got[message.call_id, message.method] = (wire, message)  # type: ignore[assignment]
            elif message.status >= 200 and message.cseq[1] == "INVITE":
                self.final[message.call_id] = message
                if message.status < 300:
                    self.stood[message.call_id] = message
            self.inbox.put((wire, message))  # type: ignore[arg-type]

    def repeats(self) -> int:
        return sum(count - 1 for count in list(self.seen.values()))

    def contact(self) -> tuple[str, str]:
        return "contact", f"<sip:{self.name}@127.0.0.1:{self.port};transport={self.transport}>"


def operator_file(port: int, hubs: dict[str, Party], extra: str = "") -> str:
    text = (ROOT / "deploy/operator.toml").read_text()
    settings = text[text.index("[settings]") :]
    rows = "".join(
        f'[[sip.hub]]\nname = "{name}"\nnumber = {name[3:]}\naddress = "127.0.0.1:{hub.port}"\n'
        f'transport = "{hub.transport}"\ncircuits = 120\n'
        f'[[sip.route]]\nprefix = "{name[3:]}"\nhub = {name[3:]}\n'
        for name, hub in hubs.items()
    )
    return f'[sip]\nenabled = true\nlisten = "127.0.0.1:{port}"\nt1_ms = {T1_MS}\n{extra}{rows}{settings}'


class SipStage:
    def __init__(
        self,
        folder: Path,
        transport: str,
        extra: str = "",
        hubs: Mapping[str, Party] | None = None,
        port: int = 0,
    ) -> None:
        self.transport, self.port = transport, port or free_port()
        self.parties = dict(hubs or {name: Party(name, transport) for name in ("hub1", "hub2")})
        path = folder / "operator.toml"
        path.write_text(operator_file(self.port, self.parties, extra))
        self.program = subprocess.Popen(
            [sys.executable, "-m", "landingdeal", "--operator", str(path)], cwd=ROOT, stderr=subprocess.PIPE
        )
        until = time.monotonic() + PATIENCE_S
        while time.monotonic() < until:
            with suppress(OSError), socket.create_connection(("127.0.0.1", self.port)):
                return
            time.sleep(0.02)
        raise AssertionError("the program does not get ready")

    def line(self, who: str, verb: str, *words: str) -> None:
        if who == "program":
            if verb == "stop":
                self.program.terminate()
            else:
                assert self.program.wait(PATIENCE_S) == int(words[0])
            return
        party = self.parties.setdefault(who, Party(who, self.transport)) if who not in self.parties else None
        getattr(self, f"_{verb}")(party or self.parties[who], *words)

    def wire(self, party: Party) -> UdpWire | TcpWire:
        if self.transport == "udp":
            return UdpWire(party.sock, ("127.0.0.1", self.port))
        if not party.wires:
            TcpWire(socket.create_connection(("127.0.0.1", self.port)), party)
        wire = party.wires[-1]
        assert isinstance(wire, TcpWire)
        return wire

    # --- verbs ---

    def _send(self, party: Party, what: str, name: str, *more: str) -> None:
        given = dict(m.split("=", 1) for m in more if "=" in m.partition(":")[0])
        pairs = [m.partition(":") for m in more if "=" not in m.partition(":")[0]]
        headers = [(name.lower(), value) for name, _, value in pairs]
        if what.isdecimal():
            self._answer(party, int(what), name, given.get("of", "INVITE"), headers)
        else:
            self._ask(party, what, name, given, headers)

    def _answer(self, party: Party, status: int, name: str, of: str, headers: list[tuple[str, str]]) -> None:
        wire, asked = party.got[party.names[name], of]
        body = BODY if status == 200 and of == "INVITE" else b""
        made = response(asked, status, party.contact(), *headers, body=body)
        tagged = tuple((k, v + ";tag=h" if k == "to" and ";tag=" not in v else v) for k, v in made.headers)
        made = Message(status=status, reason_phrase=made.reason_phrase, headers=tagged, body=body)
        if of == "INVITE" and status < 300:
            party.stood.setdefault(asked.call_id, made)
        wire.put(encode(made))

    def _ask(
        self, party: Party, what: str, name: str, given: dict[str, str], headers: list[tuple[str, str]]
    ) -> None:
        call = party.names.setdefault(name, f"{name}-{party.name}")
        final, stood = party.final.get(call), party.stood.get(call)
        refused = final is not None and final.status >= 300
        last = party.sent.get(call)
        uri = given.get("uri", f"sip:{given.get('to', '1000')}@127.0.0.1:{self.port}")
        if party.name.startswith("hub"):  # within the dialog that the program made
            assert stood is not None
            uri = parse_name_addr(party.got[call, "INVITE"][1].get("contact")).uri
            mine, theirs = stood.get("to"), stood.get("from")
        else:
            mine, theirs = f"<sip:{party.name}@127.0.0.1>;tag=t{name}", f"<{uri}>"
            known = final if what == "ACK" else stood
            theirs = known.get("to") if known is not None else theirs
        if what in ("ACK", "CANCEL"):
            number = party.number.get(call, 1)
        elif "cseq" in given:
            number = int(given["cseq"])
        else:
            number = party.number[call] = party.number.get(call, 0) + 1
        branch = given.get("branch", f"z9hG4bK{party.name}{call}{what}{number}")
        if last is not None and (what == "CANCEL" or what == "ACK" and refused):
            branch = last.get("via").rpartition("branch=")[2]
        via = f"SIP/2.0/{self.transport.upper()} 127.0.0.1:{party.port};branch={branch}"
        body = BODY if what == "INVITE" else b""
        made = request(what, uri, ("via", via), ("max-forwards", "70"), ("from", mine), ("to", theirs),
                       ("call-id", call), ("cseq", f"{number} {what}"), party.contact(), *headers,
                       body=body)  # fmt: skip
        drop = given.get("drop", "")
        made = replace(made, headers=tuple(h for h in made.headers if h[0] != drop or h in headers))
        if what != "ACK":
            party.sent[call] = made if what != "CANCEL" or last is None else last
        wire = self.wire(party)
        if party.name.startswith("hub") and self.transport == "tcp":
            made_on = party.got[call, "INVITE"][0]
            wire = made_on if made_on in party.wires else wire
        version = given.get("version", "2.0")
        wire.put(encode(made).replace(b" SIP/2.0\r\n", f" SIP/{version}\r\n".encode(), 1))

    def _again(self, party: Party, name: str) -> None:
        self.wire(party).put(encode(party.sent[party.names[name]]))

    def _expect(self, party: Party, what: str, name: str = "", *more: str) -> None:
        while True:
            _, message = party.inbox.get(timeout=PATIENCE_S)
            if message is None and what != "end":
                continue  # connections come and go
            if message is None or not (100 <= message.status < 200 and what != str(message.status)):
                break
        known = party.names.setdefault(name, message.call_id) if name and message is not None else ""
        check(party.name, what, name, known, message, more)

    def _repeats(self, party: Party, count: str) -> None:
        until = time.monotonic() + PATIENCE_S
        while party.repeats() < int(count):
            assert time.monotonic() < until, f"{party.name}: {party.repeats()} repeats"
            time.sleep(0.01)

    def _wait(self, party: Party, span_ms: str) -> None:
        until = time.monotonic() + int(span_ms) / 1000
        with suppress(queue.Empty):
            while True:
                got = party.inbox.get(timeout=max(until - time.monotonic(), 0))[1]
                assert got is None or 100 <= got.status < 200, f"{party.name}: nothing was due, got {got}"

    def _close(self, party: Party) -> None:
        party.close(False)

    def _reset(self, party: Party) -> None:
        party.close(True)

    def _gone(self, party: Party) -> None:
        """No longer reachable at its address either."""
        with suppress(OSError):
            party.sock.shutdown(socket.SHUT_RDWR)
        party.sock.close()
        party.close(True)

    def end(self) -> str:
        for party in self.parties.values():
            party.sock.close()
        if self.program.poll() is None:
            self.program.kill()
        _, log = self.program.communicate()
        return log.decode()
