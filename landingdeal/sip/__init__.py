"""SIP (RFC 3261): the message type and parser shared by both fronts, and the SIP front itself."""
