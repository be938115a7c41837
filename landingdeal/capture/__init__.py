"""Traffic from captures: pcap and pcapng files read into calls, offered as load, and written."""
