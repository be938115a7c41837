"""Plays hostile clients against one process beside sound callers, and measures what the sound ones notice.

    python -m benchmarks.hostile_clients --front platform --load quiet
    python -m benchmarks.hostile_clients --front sip --transport udp --load options --rate 9000

The process is started with `run` of the deploy file, in the tree that `--tree` names, with the platform's
limit of descriptors. The load comes from processes of its own; `--rate` is its messages a second in all, 0
for as many as its sockets take. Prints one line: what was offered, how many sound calls were established,
their latency in milliseconds, the peak of resident memory, and what the lab hub received.
"""

from __future__ import annotations

import argparse
import socket
import struct
import time
from pathlib import Path

from landingdeal.lab.hostile.loads import HostileClients
from landingdeal.lab.hostile.messages import set_up
from landingdeal.lab.hostile.sound import SoundCalls
from landingdeal.lab.hostile.target import ROOT, running_target

LINGER_RESET = struct.pack("ii", 1, 0)
LOAD_BEFORE_S = 0.5  # of the load, before the first sound call
LEAVE_BY = ("close", "half-close", "reset")
LEAVING_CALLS = 300
CROSSING_S = 0.05  # what reaches the hub so soon after its caller has left may have crossed the leaving


def play_leaving(args: argparse.Namespace) -> str:
    """One client sends many set-ups at once and leaves; returns what the lab hub received after that."""
    how = args.load.removeprefix("leave-")
    with running_target(Path(args.tree).resolve(), args.front) as target:
        sock = socket.create_connection(("127.0.0.1", target.port))
        calls = (f"e{number:015x}" for number in range(LEAVING_CALLS))
        sock.sendall(b"".join(set_up(args.front, "tcp", call, "1000") for call in calls))
        time.sleep(args.stay_ms / 1000)
        left_at = time.time()
        if how == "half-close":
            sock.shutdown(socket.SHUT_WR)
        else:
            if how == "reset":
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
            sock.close()
        time.sleep(args.seconds)
        times = target.hub_times()
        late = [at - left_at for at in times if at > left_at + CROSSING_S]
        return (
            f"{args.front} {args.load} {args.stay_ms:.0f} ms after {LEAVING_CALLS} set-ups: "
            f"the lab hub received {len(times)}, "
            f"{len(late)} of them later than {CROSSING_S * 1000:.0f} ms after that, the last "
            f"{max(late, default=0) * 1000:.0f} ms after"
        )


def play(args: argparse.Namespace) -> str:
    """Runs one load beside sound callers; returns the line with what was measured."""
    seconds, count = args.seconds + LOAD_BEFORE_S + 0.5, 0 if args.load == "quiet" else args.clients
    with running_target(Path(args.tree).resolve(), args.front) as target:
        sound = SoundCalls(args.front, args.transport, target.port, args.sound_rate)
        with HostileClients(
            args.load, args.front, args.transport, target.port, seconds, args.rate, count
        ) as clients:
            time.sleep(LOAD_BEFORE_S)
            cpu_before = target.cpu_s()
            sound.run(args.seconds)
            cpu = target.cpu_s() - cpu_before
        ended = target.process.poll()
        memory = target.peak_memory_mb() if ended is None else -1.0
        log_lines = target.log_path.read_bytes().count(b"\n")
        return (
            f"{args.front}/{args.transport} {args.load}: {count} clients offered {clients.offered} messages "
            f"in {seconds:.1f} s; {sound.summary()}; peak {memory:.0f} MB, {cpu:.1f} s of processor, "
            f"{log_lines} lines of log, hub received {len(target.hub_times())}"
            + (", sound connection ended" if sound.connection_ended else "")
            + (f", ended with {ended}" if ended is not None else "")
        )


def main() -> int:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--front", choices=("platform", "sip"), default="platform")
    parser.add_argument("--transport", choices=("tcp", "udp"), default="tcp")
    parser.add_argument("--load", default="quiet")
    parser.add_argument("--rate", type=float, default=0.0, help="messages a second of all clients together")
    parser.add_argument("--clients", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=8.0)
    parser.add_argument("--sound-rate", type=float, default=40.0)
    parser.add_argument("--tree", default=str(ROOT))
    parser.add_argument("--stay-ms", type=float, default=20.0, help="of a leaving client, after its set-ups")
    args = parser.parse_args()
    print((play_leaving if args.load.startswith("leave-") else play)(args), flush=True)
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
