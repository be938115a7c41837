"""Measures the speed and memory of reading captures: `python -m benchmarks.captures --mb 10 --mb 1000`.

Writes captures of the given sizes to a temporary folder (plain, fragmented, TCP, zstd), reads the calls of
each in a process of its own and prints packets and messages per second and the peak of resident memory. Not
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

TRAFFIC_BY_KIND = {
    "plain": TrafficProfile(call_count=2000, calls_per_s=100.0),
    "fragmented": TrafficProfile(call_count=2000, calls_per_s=100.0, padding_bytes=3000),
    "tcp": TrafficProfile(call_count=2000, calls_per_s=100.0, transport="TCP"),
}


def write_capture(path: Path, kind: str, size: int) -> None:
    """Writes blocks of calls, one after another in time, until the file has at least `size` bytes."""
    pcap, start_ns, written, seed = PcapEncoder(), START_NS, 0, 1
    with path.open("wb") as file:
        file.write(pcap.file_header())
        while written < size:
            frames = to_packets(generate_traffic(TRAFFIC_BY_KIND[kind], seed, start_ns))
            data = b"".join(pcap.packet_record(time_ns, frame) for time_ns, frame in frames)
            file.write(data)
            written, start_ns, seed = written + len(data), frames[-1][0] + 10**9, seed + 1


def measure_reading(path: str) -> None:
    """Reads one capture and prints counts, time and peak memory as JSON."""
    from landingdeal.capture.calls import CallTracker
    from landingdeal.capture.reader import ReadReport, read_messages

    reading, calls = ReadReport(), CallTracker()
    started_at = time.perf_counter()
    call_count = sum(1 for seen in read_messages([path], reading) for _ in calls.feed(seen)) + sum(
        1 for _ in calls.end()
    )
    duration_s = time.perf_counter() - started_at
    print(json.dumps({
        "packets": reading.counts["packets"], "messages": reading.counts["messages"], "calls": call_count,
        "seconds": duration_s, "mb": resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024,
        "complete": reading.complete,
    }))  # fmt: skip


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--mb", type=int, action="append")
    parser.add_argument("--read", help=argparse.SUPPRESS)
    args = parser.parse_args()
    if args.read:
        measure_reading(args.read)
        return 0
    with tempfile.TemporaryDirectory() as folder:
        for size in args.mb or [10]:
            for kind in (*TRAFFIC_BY_KIND, "zstd"):
                path = Path(folder) / kind
                write_capture(path, "plain" if kind == "zstd" else kind, size * 2**20)
                if kind == "zstd":
                    from landingdeal.capture.sink import compress_file

                    compress_file(path, "zstd")
                    path = path.with_name(path.name + ".zst")
                command = [sys.executable, "-m", "benchmarks.captures", "--read", str(path)]
                measured = json.loads(
                    subprocess.run(command, capture_output=True, check=True, text=True).stdout
                )
                print(f"{size:5} MB {kind:10} {measured['packets'] / measured['seconds']:9.0f} packets/s "
                      f"{measured['messages'] / measured['seconds']:8.0f} messages/s  "
                      f"{measured['mb']:6.1f} MB at most  {measured['calls']} calls, "
                      f"complete: {measured['complete']}", flush=True)  # fmt: skip
                path.unlink()
    return 0


if __name__ == "__main__":
    sys.exit(main())
