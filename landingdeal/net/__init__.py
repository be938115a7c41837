"""The platform's front: callers and lab hubs over TCP, and the platform's configuration."""
