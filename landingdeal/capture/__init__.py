"""Reads pcap and pcapng captures into SIP calls, replays them as load, and writes captures."""
