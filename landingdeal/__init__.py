"""landingdeal: a border controller that brokers calls between callers and lab hubs, on real sockets."""
