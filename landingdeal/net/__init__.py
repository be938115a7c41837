"""The platform's front: callers, lab hubs and the event bus over TCP, and the platform's configuration."""
