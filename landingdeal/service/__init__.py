"""The program as a service: its fronts and core wired together, its signals minded."""
