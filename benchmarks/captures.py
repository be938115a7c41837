"""How fast captures are read, and in how much memory: `python -m benchmarks.captures --mb 10 --mb 1000`.

Makes captures of the given sizes in a temporary folder (plain, fragmented, TCP, zstd), reads each to its
calls in a process of its own and prints packets and messages a second and the peak of resident memory. Not
part of CI.
"""

from __future__ import annotations

import argparse
import json
import resource
import subprocess
import sys
import tempfile
import time
from pathlib import Path

from landingdeal.capture.encode import PcapEncoder
from landingdeal.capture.sample import START_NS, TrafficProfile, generate_traffic, to_packets

KINDS = {
    "plain": TrafficProfile(call_count=2000, calls_per_s=100.0),
    "fragmented": TrafficProfile(call_count=2000, calls_per_s=100.0, padding_bytes=3000),
    "tcp": TrafficProfile(call_count=2000, calls_per_s=100.0, transport="TCP"),
}


def make(path: Path, kind: str, size: int) -> None:
    """Blocks of calls, one after another in time, until the file is large enough."""
    form, at, written, seed = PcapEncoder(), START_NS, 0, 1
    with path.open("wb") as file:
        file.write(form.file_header())
        while written < size:
            frames = to_packets(generate_traffic(KINDS[kind], seed, at))
            data = b"".join(form.packet_record(time_ns, frame) for time_ns, frame in frames)
            file.write(data)
            written, at, seed = written + len(data), frames[-1][0] + 10**9, seed + 1


def read_one(path: str) -> None:
    from landingdeal.capture.calls import CallTracker
    from landingdeal.capture.reader import ReadReport, read_messages

    reading, calls = ReadReport(), CallTracker()
    began = time.perf_counter()
    found = sum(1 for seen in read_messages([path], reading) for _ in calls.feed(seen)) + sum(
        1 for _ in calls.end()
    )
    span = time.perf_counter() - began
    print(json.dumps({
        "packets": reading.counts["packets"], "messages": reading.counts["messages"], "calls": found,
        "seconds": span, "mb": resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024,
        "complete": reading.complete,
    }))  # fmt: skip


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--mb", type=int, action="append")
    parser.add_argument("--read", help=argparse.SUPPRESS)
    args = parser.parse_args()
    if args.read:
        read_one(args.read)
        return 0
    with tempfile.TemporaryDirectory() as folder:
        for size in args.mb or [10]:
            for kind in (*KINDS, "zstd"):
                path = Path(folder) / kind
                make(path, "plain" if kind == "zstd" else kind, size * 2**20)
                if kind == "zstd":
                    from landingdeal.capture.sink import compress_file

                    compress_file(path, "zstd")
                    path = path.with_name(path.name + ".zst")
                command = [sys.executable, "-m", "benchmarks.captures", "--read", str(path)]
                told = json.loads(subprocess.run(command, capture_output=True, check=True, text=True).stdout)
                print(f"{size:5} MB {kind:10} {told['packets'] / told['seconds']:9.0f} packets/s "
                      f"{told['messages'] / told['seconds']:8.0f} messages/s  {told['mb']:6.1f} MB at most  "
                      f"{told['calls']} calls, complete: {told['complete']}", flush=True)  # fmt: skip
                path.unlink()
    return 0


if __name__ == "__main__":
    sys.exit(main())
