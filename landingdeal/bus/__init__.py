"""The event bus: when to ask it, one request, the decoding of an answer, and the events applied in order."""
