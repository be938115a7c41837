"""The platform's front: callers, lab hubs, event bus and configuration on TCP sockets."""
